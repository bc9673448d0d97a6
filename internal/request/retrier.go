package request

import (
	"sapphirehead/internal/clock"
	"sapphirehead/internal/route"
)

// Outcome is the result of one attempt at a backend server.
type Outcome int

// The outcomes of an attempt.
const (
	// OutcomeUnsent: no byte of the request was sent.
	OutcomeUnsent Outcome = iota + 1
	// OutcomeRefused: the server reported that it did not run the request.
	OutcomeRefused
	// OutcomeMisdirected: another server now has the address; it did not run the
	// request.
	OutcomeMisdirected
	// OutcomeLost: the request was sent and there is no usable response. It may
	// have run.
	OutcomeLost
	// OutcomeFailed: the server ran the request and reported a failure.
	OutcomeFailed
	// OutcomeAnswered: there is a response for the caller.
	OutcomeAnswered
	// OutcomeCut: the response broke off after a part of it was sent to the caller.
	OutcomeCut
	// OutcomeNoServer: there was no server to send the request to.
	OutcomeNoServer
	// OutcomeTooLate: every server would respond too late, so the request was not
	// sent.
	OutcomeTooLate
	// OutcomeQuarantined: a part of the prompt crashes servers, so the request was not
	// sent.
	OutcomeQuarantined
	// OutcomeLimited: the servers take no more requests for now, so the request was not
	// sent.
	OutcomeLimited
)

// String returns the name of the outcome in logs.
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
	case OutcomeQuarantined:
		return "quarantined"
	case OutcomeLimited:
		return "limited"
	default:
		return "unknown"
	}
}

// Step is the reaction to the outcome of an attempt.
type Step int

// The steps.
const (
	// StepRetry: send the request to another server. The retry budget is charged.
	StepRetry Step = iota + 1
	// StepDeliver: pass the response on to the caller.
	StepDeliver
	// StepRefuse: report to the caller that the request did not run and never will.
	StepRefuse
	// StepUnknown: report to the caller that the request may have run.
	StepUnknown
	// StepTimeout: as StepUnknown, because the deadline has passed.
	StepTimeout
	// StepBreak: end the response without its end mark.
	StepBreak
)

// String returns the name of the step in logs.
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

// maxSends bounds the sends of one request, including those that servers refused
// to run. Each send after the first is charged to the pool's retry budget.
const maxSends = 4

// minAttemptTime is the least time before the deadline at which a further attempt
// is started.
const minAttemptTime = 40 * clock.Millisecond

// Retrier decides the step after each attempt of one request that is forwarded to
// backend servers. It guarantees that a request which may run only once is never
// sent again after it may have run, and that a request is only reported as refused
// if it did not run.
//
//	idempotent, 2 attempts:  lost -> again -> answered -> deliver
//	non-idempotent:          refused -> again -> lost -> unknown
//	non-idempotent:          unsent, unsent, unsent, unsent -> refuse
//
// A Retrier is used by one goroutine.
type Retrier struct {
	route           route.Route
	deadline        clock.Millis
	sends           int
	runs            int
	responseStarted bool
}

// NewRetrier returns a retrier for a request on the route with the deadline.
func NewRetrier(routeConfig route.Route, deadline clock.Millis) *Retrier {
	return &Retrier{route: routeConfig, deadline: deadline}
}

// Deadline returns when the final response is due.
func (retrier *Retrier) Deadline() clock.Millis { return retrier.deadline }

// Sends returns the number of sends of the request, whether it ran or not.
func (retrier *Retrier) Sends() int { return retrier.sends }

// MayHaveRun reports whether an attempt ran or may have run.
func (retrier *Retrier) MayHaveRun() bool { return retrier.runs > 0 }

// ResponseStarted reports whether a part of a response was sent to the caller.
func (retrier *Retrier) ResponseStarted() bool { return retrier.responseStarted }

// StartResponse records that a part of a response is sent to the caller. From
// then on only the rest of that response may follow.
func (retrier *Retrier) StartResponse() { retrier.responseStarted = true }

// RecordSend records that the request is sent to a server.
func (retrier *Retrier) RecordSend() { retrier.sends++ }

// Next returns the step after the outcome of the latest attempt. It calls
// takeBudget, which takes one retry from the budget or returns false, only if
// another attempt is possible.
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
	case outcome == OutcomeNoServer, outcome == OutcomeTooLate, outcome == OutcomeQuarantined, outcome == OutcomeLimited, retrier.sends >= maxSends:
		return false
	case retrier.responseStarted && !retrier.route.Resumable():
		return false
	case retrier.MayHaveRun() && !retrier.route.Repeatable():
		return false
	default:
		return retrier.runs < retrier.route.MaxAttempts()
	}
}
