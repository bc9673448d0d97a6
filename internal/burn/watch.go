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

// Tracker follows one request from its acceptance to its end. It is used from
// the request's goroutine alone.
type Tracker struct {
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
func (meter *Meter) Begin(of *request.Request) *Tracker { return &Tracker{meter: meter, of: of} }

// RecordTokens notes that tokens were delivered to the caller.
func (tracker *Tracker) RecordTokens() {
	now := tracker.meter.clock.Now()
	if !tracker.began {
		tracker.began, tracker.first, tracker.last = true, now, now
		return
	}
	tracker.gaps++
	if now-tracker.last > tracker.of.Route().BetweenTokens() {
		tracker.late++
	}
	tracker.last = now
}

// Resumed notes that the caller has had the first token from an earlier
// connection.
func (tracker *Tracker) Resumed() {
	tracker.began, tracker.first, tracker.last = true, tracker.of.Received(), tracker.meter.clock.Now()
}

// Replayed notes that the answer is that of an earlier request with the same
// key, whose worth is already counted.
func (tracker *Tracker) Replayed() { tracker.replayed = true }

// Disconnected notes that the caller's connection broke.
func (tracker *Tracker) Disconnected() { tracker.gone = true }

// End counts the request by its error, or nil for a whole answer. A request
// whose caller went away, or which another node answers, counts as neither good nor bad.
func (tracker *Tracker) End(err error) {
	if tracker.gone || err != nil && isGone(err) {
		return
	}
	outcome, worth := tracker.outcome(err), 0.0
	if err == nil && outcome != LateWhole && !tracker.replayed {
		worth = tracker.of.Route().Worth()
	}
	tracker.meter.Count(tracker.of.Route().Name(), tracker.of.Account(), outcome, worth)
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

func (tracker *Tracker) outcome(err error) Outcome {
	now := tracker.meter.clock.Now()
	var notRun *request.NotRunError
	var unknown *request.OutcomeUnknownError
	route := tracker.of.Route()
	first := now
	if tracker.began {
		first = tracker.first
	}
	switch {
	case errors.As(err, &notRun):
		return Refused
	case errors.As(err, &unknown):
		return Failed
	case now >= tracker.of.Deadline():
		return LateWhole
	case err != nil:
		return Failed
	case first-tracker.of.Received() > route.FirstToken():
		return LateFirst
	case tracker.late*hundred > tracker.gaps*lateGaps:
		return LateBetween
	default:
		return Good
	}
}
