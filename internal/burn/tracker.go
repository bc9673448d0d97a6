package burn

import (
	"context"

	"github.com/pkg/errors"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/request"
)

// A request is late between tokens if more than maxLateGapsPercent of its
// gaps were longer than the route's target.
const (
	maxLateGapsPercent = 5
	percentBase        = 100
)

// Tracker records the timing of one request from its admission to its end. It is
// used by the request's goroutine only.
type Tracker struct {
	meter        *Meter
	request      *request.Request
	firstToken   clock.Millis
	lastToken    clock.Millis
	gaps         int
	lateGaps     int
	started      bool
	replayed     bool
	disconnected bool
}

// Begin returns the tracker of a request.
func (meter *Meter) Begin(req *request.Request) *Tracker { return &Tracker{meter: meter, request: req} }

// RecordTokens records that tokens were delivered to the caller.
func (tracker *Tracker) RecordTokens() {
	now := tracker.meter.clock.Now()
	if !tracker.started {
		tracker.started, tracker.firstToken, tracker.lastToken = true, now, now
		return
	}
	tracker.gaps++
	if now-tracker.lastToken > tracker.request.Route().BetweenTokens() {
		tracker.lateGaps++
	}
	tracker.lastToken = now
}

// Resumed records that the caller received the first token over an earlier
// connection.
func (tracker *Tracker) Resumed() {
	tracker.started, tracker.firstToken, tracker.lastToken = true, tracker.request.Received(), tracker.meter.clock.Now()
}

// Replayed records that the response was recorded for an earlier request with the
// same key, whose worth is already counted.
func (tracker *Tracker) Replayed() { tracker.replayed = true }

// Disconnected records that the caller's connection broke.
func (tracker *Tracker) Disconnected() { tracker.disconnected = true }

// End counts the request with its error, which is nil for a complete response. A
// request whose caller disconnected, or which another node continues, is not
// counted.
func (tracker *Tracker) End(err error) {
	if tracker.disconnected || err != nil && isNotCounted(err) {
		return
	}
	outcome, worth := tracker.outcome(err), 0.0
	if err == nil && outcome != LateWhole && !tracker.replayed {
		worth = tracker.request.Route().Worth()
	}
	tracker.meter.Count(tracker.request.Route().Name(), tracker.request.Account(), outcome, worth)
}

func isNotCounted(err error) bool {
	var notRun *request.NotRunError
	var unknown *request.OutcomeUnknownError
	var incomplete *request.IncompleteError
	var moved *request.MovedError
	if errors.As(err, &moved) {
		return true
	}
	reported := errors.As(err, &notRun) || errors.As(err, &unknown) || errors.As(err, &incomplete)
	return !reported && errors.Is(err, context.Canceled)
}

func (tracker *Tracker) outcome(err error) Outcome {
	now := tracker.meter.clock.Now()
	var notRun *request.NotRunError
	var unknown *request.OutcomeUnknownError
	route := tracker.request.Route()
	first := now
	if tracker.started {
		first = tracker.firstToken
	}
	switch {
	case errors.As(err, &notRun):
		return Refused
	case errors.As(err, &unknown):
		return Failed
	case now >= tracker.request.Deadline():
		return LateWhole
	case err != nil:
		return Failed
	case first-tracker.request.Received() > route.FirstToken():
		return LateFirst
	case tracker.lateGaps*percentBase > tracker.gaps*maxLateGapsPercent:
		return LateBetween
	default:
		return Good
	}
}
