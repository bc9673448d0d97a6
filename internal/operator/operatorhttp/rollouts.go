package operatorhttp

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"sapphirehead/internal/canary"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/response"
)

// RolloutsPath is the path of the report on rollouts at the metrics address of a node.
const RolloutsPath = "/rollouts"

// RolloutsForm is a node's report on rollouts as JSON.
type RolloutsForm struct {
	Host string `json:"host"`
	// On tells whether the settings turn rollouts on.
	On       bool          `json:"on"`
	Rollouts []RolloutForm `json:"rollouts"`
}

// RolloutForm is a node's knowledge of one order.
type RolloutForm struct {
	Pool      string  `json:"pool"`
	Version   string  `json:"version"`
	State     string  `json:"state"`
	Share     float64 `json:"share"`
	Withdrawn bool    `json:"withdrawn"`
	// OrderedAtMillis is in true time, 0 until it is stored; LeftMillis is the time to the
	// deadline.
	OrderedAtMillis int64 `json:"orderedAtMillis"`
	DurationMillis  int64 `json:"durationMillis"`
	LeftMillis      int64 `json:"leftMillis"`
	// Reason is that of the stored status.
	Reason string `json:"reason"`
	// Waiting says what the lease holder waits for; other nodes leave it empty.
	Waiting string `json:"waiting,omitempty"`
	// Halted tells that this node stopped using the version, and Evidence what speaks
	// against it.
	Halted   bool                 `json:"halted"`
	Evidence string               `json:"evidence,omitempty"`
	Servers  []VersionServersForm `json:"servers"`
	Routes   []RolloutRouteForm   `json:"routes"`
}

// VersionServersForm is the number of servers of a version that take requests.
type VersionServersForm struct {
	Version string `json:"version"`
	Servers int    `json:"servers"`
}

// RolloutRouteForm has the counts of the ordered version and of the others on a route, over
// all nodes that this node hears.
type RolloutRouteForm struct {
	Route   string           `json:"route"`
	Ordered RolloutCountForm `json:"ordered"`
	Others  RolloutCountForm `json:"others"`
}

// RolloutCountForm counts answers.
type RolloutCountForm struct {
	Answers int64   `json:"answers"`
	Failed  int64   `json:"failed"`
	Slow    int64   `json:"slow"`
	Crashes float64 `json:"crashes"`
}

// NewRolloutForm returns the form of an order and of the evidence about its version.
func NewRolloutForm(order canary.Order, verdict canary.Verdict, halted bool) RolloutForm {
	form := RolloutForm{
		Pool: order.Pool(), Version: order.Version(), State: order.State().String(), Share: order.Share(), Withdrawn: order.Withdrawn(),
		OrderedAtMillis: int64(order.OrderedAt()), DurationMillis: int64(order.Duration()), Halted: halted, Evidence: verdict.Reason(),
		Servers: []VersionServersForm{}, Routes: []RolloutRouteForm{},
	}
	for _, sum := range verdict.Routes() {
		form.Routes = append(form.Routes, RolloutRouteForm{Route: sum.Route(), Ordered: countForm(sum.Candidate()), Others: countForm(sum.Baseline())})
	}
	return form
}

func countForm(count canary.Count) RolloutCountForm {
	return RolloutCountForm{Answers: count.Answers(), Failed: count.Failed(), Slow: count.Slow(), Crashes: float64(count.Crashes()) / 1000}
}

// Rollouts returns the report of the node with the metrics address. Errors:
// *UnreachableError, *RefusedError.
func Rollouts(ctx context.Context, system *clock.Clock, address string, timeout clock.Millis) (RolloutsForm, error) {
	ctx, cancel := system.WithTimeout(ctx, timeout)
	defer cancel()
	message, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+RolloutsPath, http.NoBody)
	if err != nil {
		return RolloutsForm{}, &UnreachableError{address: address, cause: err}
	}
	transport := response.NewTransport(&http.Transport{DisableKeepAlives: true})
	response, err := transport.RoundTrip(message)
	if err != nil {
		return RolloutsForm{}, &UnreachableError{address: address, cause: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return RolloutsForm{}, &UnreachableError{address: address, cause: err}
	}
	if response.StatusCode != http.StatusOK {
		return RolloutsForm{}, responseError(response.StatusCode, data)
	}
	var form RolloutsForm
	return form, errors.Wrap(json.Unmarshal(data, &form), "decode answer")
}
