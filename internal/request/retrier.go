package request

import (
	"sapphirehead/internal/clock"
	"sapphirehead/internal/route"
)

// Outcome is how one attempt at a backend server ended.
type Outcome int

// The outcomes of an attempt.
const (
	// OutcomeUnsent: no byte of the request left.
	OutcomeUnsent Outcome = iota + 1
	// OutcomeRefused: the server says that it did not run the request.
	OutcomeRefused
	// OutcomeMisdirected: another server has the address and did not run it.
	OutcomeMisdirected
	// OutcomeLost: the request was sent and there is no usable answer. It may
	// have run.
	OutcomeLost
	// OutcomeFailed: the server ran the request and answered with a failure.
	OutcomeFailed
	// OutcomeAnswered: there is an answer for the caller.
	OutcomeAnswered
	// OutcomeCut: the answer broke off after a part of it went to the caller.
	OutcomeCut
	// OutcomeNoServer: there was no server to send the request to.
	OutcomeNoServer
	// OutcomeTooLate: every server would answer too late, so none got it.
	OutcomeTooLate
)

// String returns the name of the outcome as logs write it.
func (outcome Outcome) String() string {
	switch outcome {
	case OutcomeUnsent:
		return "unsent"
	case OutcomeRefused:
		return "refused"
	case OutcomeMisdirected:
		return "misdirected"
	case OutcomeLost:
		return "lost"
	case OutcomeFailed:
		return "failed"
	case OutcomeAnswered:
		return "answered"
	case OutcomeCut:
		return "cut"
	case OutcomeNoServer:
		return "noServer"
	case OutcomeTooLate:
		return "tooLate"
	default:
		return "unknown"
	}
}

// Step is what follows from the outcome of an attempt.
type Step int

// The steps.
const (
	// StepRetry: send the request to another server, if there is a budget.
	StepRetry Step = iota + 1
	// StepDeliver: pass on the answer in hand.
	StepDeliver
	// StepRefuse: tell the caller that the request did not run and never will.
	StepRefuse
	// StepUnknown: tell the caller that nobody knows whether the request ran.
	StepUnknown
	// StepTimeout: as StepUnknown, because the time is up.
	StepTimeout
	// StepBreak: end the answer without its end mark.
	StepBreak
)

// String returns the name of the step as logs write it.
func (step Step) String() string {
	switch step {
	case StepRetry:
		return "again"
	case StepDeliver:
		return "deliver"
	case StepRefuse:
		return "refuse"
	case StepUnknown:
		return "unknown"
	case StepTimeout:
		return "timeout"
	case StepBreak:
		return "break"
	default:
		return "none"
	}
}

// maxSends bounds how often a request is sent when servers do not run it. Each
// send is one more arrival that the pool's retry budget has to pay.
const maxSends = 4

// minAttemptTime is the time that must be left for another attempt to be of use.
const minAttemptTime = 40 * clock.Millisecond

// Retrier decides, for one request that is passed on to backend servers, what
// follows from the outcome of each attempt. It keeps two promises: a request
// that may run only once is never sent again after it may have run, and a
// refusal is only given if it did not run.
//
//	idempotent, 2 attempts:  lost -> again -> answered -> deliver
//	non-idempotent:          refused -> again -> lost -> unknown
//	non-idempotent:          unsent, unsent, unsent, unsent -> refuse
//
// A Forward belongs to one goroutine.
type Retrier struct {
	route           route.Route
	deadline        clock.Millis
	sends           int
	runs            int
	responseStarted bool
}

// NewRetrier returns the decisions for a request on the route that must be
// answered by the deadline.
func NewRetrier(routeConfig route.Route, deadline clock.Millis) *Retrier {
	return &Retrier{route: routeConfig, deadline: deadline}
}

// Deadline returns when the request must have its final answer.
func (retrier *Retrier) Deadline() clock.Millis { return retrier.deadline }

// Sends returns how often the request was sent, whether it ran or not.
func (retrier *Retrier) Sends() int { return retrier.sends }

// MayHaveRun reports whether an attempt ran or may have run.
func (retrier *Retrier) MayHaveRun() bool { return retrier.runs > 0 }

// ResponseStarted reports whether a part of an answer went to the caller.
func (retrier *Retrier) ResponseStarted() bool { return retrier.responseStarted }

// StartResponse records that a part of an answer goes to the caller. From then on
// nothing but the rest of that answer may follow.
func (retrier *Retrier) StartResponse() { retrier.responseStarted = true }

// RecordSend records that the request is sent to a server.
func (retrier *Retrier) RecordSend() { retrier.sends++ }

// Next returns what follows from the outcome of the latest attempt. The
// budget is asked only if another attempt is possible.
func (retrier *Retrier) Next(outcome Outcome, now clock.Millis, takeBudget func() bool) Step {
	switch outcome {
	case OutcomeAnswered:
		return StepDeliver
	case OutcomeFailed, OutcomeLost, OutcomeCut:
		retrier.runs++
	default:
	}
	if retrier.mayRetry(outcome) && retrier.deadline-now >= minAttemptTime && takeBudget() {
		return StepRetry
	}
	switch {
	case retrier.responseStarted:
		return StepBreak
	case outcome == OutcomeFailed:
		return StepDeliver
	case !retrier.MayHaveRun():
		return StepRefuse
	case now >= retrier.deadline:
		return StepTimeout
	default:
		return StepUnknown
	}
}

func (retrier *Retrier) mayRetry(outcome Outcome) bool {
	switch {
	case outcome == OutcomeNoServer, outcome == OutcomeTooLate, retrier.sends >= maxSends:
		return false
	case retrier.responseStarted && !retrier.route.Resumable():
		return false
	case retrier.MayHaveRun() && !retrier.route.Repeatable():
		return false
	default:
		return retrier.runs < retrier.route.MaxAttempts()
	}
}
