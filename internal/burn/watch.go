package burn

import (
	"context"

	"github.com/pkg/errors"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/request"
)

// A request is late between tokens if more than lateGaps in hundred of its
// gaps were longer than the route's target.
const (
	lateGaps = 5
	hundred  = 100
)

// Watch follows one request from its acceptance to its end. It is used from
// the request's goroutine alone.
type Watch struct {
	meter    *Meter
	of       *request.Request
	first    clock.Millis
	last     clock.Millis
	gaps     int
	late     int
	began    bool
	replayed bool
	gone     bool
}

// Begin returns the watch of a request.
func (meter *Meter) Begin(of *request.Request) *Watch { return &Watch{meter: meter, of: of} }

// Tokens notes that tokens were delivered to the caller.
func (watch *Watch) Tokens() {
	now := watch.meter.clock.Now()
	if !watch.began {
		watch.began, watch.first, watch.last = true, now, now
		return
	}
	watch.gaps++
	if now-watch.last > watch.of.Route().BetweenTokens() {
		watch.late++
	}
	watch.last = now
}

// Returned notes that the caller has had the first token from an earlier
// connection.
func (watch *Watch) Returned() {
	watch.began, watch.first, watch.last = true, watch.of.Received(), watch.meter.clock.Now()
}

// Replayed notes that the answer is that of an earlier request with the same
// key, whose worth is already counted.
func (watch *Watch) Replayed() { watch.replayed = true }

// Gone notes that the caller's connection broke.
func (watch *Watch) Gone() { watch.gone = true }

// End counts the request by its error, or nil for a whole answer. A request
// whose caller went away, or which another node answers, counts as neither good nor bad.
func (watch *Watch) End(err error) {
	if watch.gone || err != nil && isGone(err) {
		return
	}
	outcome, worth := watch.outcome(err), 0.0
	if err == nil && outcome != LateWhole && !watch.replayed {
		worth = watch.of.Route().Worth()
	}
	watch.meter.Count(watch.of.Route().Name(), watch.of.Account(), outcome, worth)
}

func isGone(err error) bool {
	var notRun *request.NotRunError
	var unknown *request.OutcomeUnknownError
	var incomplete *request.IncompleteError
	var moved *request.MovedError
	if errors.As(err, &moved) {
		return true
	}
	told := errors.As(err, &notRun) || errors.As(err, &unknown) || errors.As(err, &incomplete)
	return !told && errors.Is(err, context.Canceled)
}

func (watch *Watch) outcome(err error) Outcome {
	now := watch.meter.clock.Now()
	var notRun *request.NotRunError
	var unknown *request.OutcomeUnknownError
	route := watch.of.Route()
	first := now
	if watch.began {
		first = watch.first
	}
	switch {
	case errors.As(err, &notRun):
		return Refused
	case errors.As(err, &unknown):
		return Failed
	case now >= watch.of.Deadline():
		return LateWhole
	case err != nil:
		return Failed
	case first-watch.of.Received() > route.FirstToken():
		return LateFirst
	case watch.late*hundred > watch.gaps*lateGaps:
		return LateBetween
	default:
		return Good
	}
}
