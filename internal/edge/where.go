package edge

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/placement"
	"sapphirehead/internal/placement/placementhttp"
	"sapphirehead/internal/quarantine"
	"sapphirehead/internal/release"
	"sapphirehead/internal/request"
	"sapphirehead/platform/callers"
)

// serveWhere answers where the described request would go now, and why. The request is not
// sent and changes nothing.
func (edge *Edge) serveWhere(writer http.ResponseWriter, httpRequest *http.Request) {
	writer.Header().Set("Content-Type", "application/json")
	where, err := edge.newWhere(httpRequest.URL.RawQuery)
	if err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		json.NewEncoder(writer).Encode(placementhttp.Problem{Type: "badRequest", Reason: err.Error()})
		return
	}
	where.explain()
	json.NewEncoder(writer).Encode(where.form)
}

// where is a described request.
type where struct {
	requestContext
	query placementhttp.Query
	form  placementhttp.Answer
}

// newWhere decodes the description of a request.
func (edge *Edge) newWhere(rawQuery string) (*where, error) {
	query, err := placementhttp.DecodeQuery(rawQuery)
	if err != nil {
		return nil, err
	}
	call, err := callers.DecodeDescription(query.Parts, query.Tokens)
	if err != nil {
		return nil, err
	}
	where := &where{
		requestContext: requestContext{edge: edge, call: call, arrived: edge.clock.Now(), directory: edge.directory.Current()}, query: query,
		form: placementhttp.Answer{Host: edge.settings.Load().Host(), Candidates: []placementhttp.Server{}, LeftOut: []placementhttp.Server{}},
	}
	where.form.Configuration = where.version()
	return where, nil
}

// refuseBy records the first bound that refuses the request.
func (where *where) refuseBy(bound, reason string, wait clock.Millis) {
	if where.form.Bound == "" {
		where.form.Bound, where.form.Reason, where.form.RetryMillis = bound, reason, int64(wait)
	}
}

// explain makes the decisions on the request in their order. The servers are also explained
// if an earlier bound refuses it.
func (where *where) explain() {
	if where.matchRoute() {
		where.form.Route = where.route.Name()
		where.checkAccount()
		where.form.Rank = where.rank()
		if !where.edge.shutdownPolicy.Load().Admits(where.route.Streaming(), where.deadline(), where.arrived) {
			where.refuseBy(placementhttp.BoundStopping, "this node is stopping", shortRetryAfter)
		}
		where.checkAllotment()
		where.checkQuarantine()
		where.explainServers()
	}
	where.form.Admitted = where.form.Bound == ""
}

func (where *where) matchRoute() (ok bool) {
	if where.directory == nil {
		where.refuseBy(placementhttp.BoundConfiguration, "no configuration yet", shortRetryAfter)
		return false
	}
	if where.query.Route != "" {
		where.route, ok = where.directory.RouteNamed(where.query.Route)
	} else {
		where.route, ok = where.directory.Route(where.query.Host, where.query.Path)
	}
	if !ok {
		where.refuseBy(placementhttp.BoundRoute, "no such route", 0)
	}
	return ok
}

// checkAccount finds the client account by its name, as keys don't belong in a query.
func (where *where) checkAccount() {
	if !where.needsAccount() {
		return
	}
	name := where.query.Account
	account, ok := where.directory.AccountNamed(name)
	if !ok {
		where.refuseBy(placementhttp.BoundAccount, fmt.Sprintf("the route needs a client account, and there is none named %q", name), 0)
		return
	}
	where.account, where.form.Account = account, name
}

func (where *where) checkAllotment() {
	if where.account == nil {
		return
	}
	cost, decision := where.edge.lookCharge(where.account, where.call.Tokens())
	where.form.Allotment = &placementhttp.Allotment{Cost: cost, Level: decision.Level(), Needed: decision.Needed()}
	if !decision.Admitted() {
		where.refuseBy(placementhttp.BoundAllotment, fmt.Sprintf("the client account is over its allotment: its bucket holds %.0f tokens, and the request needs more than %.0f", decision.Level(), decision.Needed()), decision.Wait())
	}
}

// checkQuarantine looks for a quarantine of parts of the prompt. Whether the whole request is
// quarantined can't be told without its body.
func (where *where) checkQuarantine() {
	traits := quarantine.NewTraits(where.call.Prompt(), 0)
	block, wait, blocked := where.edge.quarantine.Find(traits, where.arrived, func() bool { return where.edge.mayTryQuarantined(where.arrived) })
	if blocked {
		where.form.PartHashes = block.Names()
		where.refuseBy(placementhttp.BoundQuarantine, "parts of the prompt are quarantined, as they crash backend servers", wait)
	}
}

func (where *where) explainServers() {
	// A route with several pools goes to each of them in proportion to its share.
	where.pool = where.route.PickPool(rand.Float64())
	where.form.Pool = where.pool
	poolConfig, ok := where.directory.Pool(where.pool)
	if !ok {
		where.refuseBy(placementhttp.BoundNoServer, "the pool is not in the configuration", shortRetryAfter)
		return
	}
	var only release.ID
	if where.query.SoftwareVersion != "" {
		only = release.New(where.pool, where.query.SoftwareVersion)
	}
	explanation := where.edge.placement.Explain(poolConfig, where.call.Prompt(), where.rank(), nil, only, where.slack())
	for _, candidate := range explanation.Candidates() {
		where.form.Candidates = append(where.form.Candidates, where.serverEntry(candidate))
	}
	for _, candidate := range explanation.LeftOut() {
		where.form.LeftOut = append(where.form.LeftOut, where.serverEntry(candidate))
	}
	choice, found := explanation.Choice()
	if timing := choice.Timing(where.route, where.rank(), where.edge.clock.Now()-where.arrived); found && timing.Applies() {
		where.form.Lateness = &placementhttp.Lateness{
			Expected: rounded(timing.Expected()), Deadline: rounded(timing.Deadline()), Queue: rounded(timing.Queue()), MinQueue: rounded(timing.MinQueue()),
		}
	}
	switch outcome, wait := where.judge(choice, found, true); outcome {
	case request.OutcomeNoServer:
		where.refuseBy(placementhttp.BoundNoServer, outcome.String(), where.serverStartWait())
	case request.OutcomeLimited:
		where.refuseBy(placementhttp.BoundLimit, outcome.String(), wait)
	case request.OutcomeTooLate:
		where.refuseBy(placementhttp.BoundLateness, outcome.String(), wait)
	default:
	}
}

func (where *where) serverEntry(candidate placement.Candidate) placementhttp.Server {
	choice, now := candidate.Choice(), where.arrived
	server := choice.Server()
	entry := placementhttp.Server{
		ID: server.ID(), DataCentre: server.DataCentre(), SoftwareVersion: server.Software(), LeftOut: candidate.Exclusion().String(), LimitWait: int64(candidate.Wait()),
		Circuit: server.Circuit().State(now).String(), InFlight: server.InFlight(), PeerInFlight: server.PeerInFlight(),
		Pending: server.Work().OwnPending(), PeerPending: server.Work().PeerPending(), NamedLimit: server.RateLimit().PerSecond(),
	}
	if server.PeersAsOf() > 0 {
		entry.PeersAge = int64(max(0, now-server.PeersAsOf()))
	}
	if load := server.Load(); load != nil {
		entry.Reported = &placementhttp.Report{Running: load.Running(), Waiting: load.Queued(), Age: int64(max(0, now-load.At()))}
	}
	if slowdown := server.Slowdown(); slowdown != nil {
		entry.Slowdown = &placementhttp.Slowdown{Factor: rounded(slowdown.Factor()), Age: int64(max(0, now-slowdown.At()))}
	}
	if choice.Estimated() {
		entry.Estimate = &placementhttp.Estimate{
			Expected: rounded(choice.Wait()), Cost: rounded(choice.Cost()), Preferred: choice.Preferred(), CachedShare: choice.CachedShare(),
			UncachedTokens: choice.UncachedTokens(), Rate: rounded(choice.Rate()),
		}
	}
	return entry
}

// rounded returns the number with one hundredth as its last digit.
func rounded(number float64) float64 { return math.Round(number*100) / 100 }
