package canary

import "sapphirehead/internal/clock"

// Outcome is what an attempt shows about a server's version.
type Outcome int

// Outcomes of an attempt. Not to be recorded are attempts that show nothing about the
// version: crashes that the quarantine explains, refusals of servers that shed load or
// name a limit, answers lost without a crash, and callers that disconnected.
const (
	// OutcomeAnswered is a complete answer; it may still be slow.
	OutcomeAnswered Outcome = iota
	// OutcomeFailed is an answer that reports a failure of the server.
	OutcomeFailed
	// OutcomeOverdue is an attempt that has waited for Tracker.SlowAfter without an answer.
	// What comes of it later isn't recorded.
	OutcomeOverdue
	// OutcomeCrashed is an attempt lost as its server crashed.
	OutcomeCrashed
)

// Answer is the result of one attempt.
type Answer struct {
	route   string
	tokens  int
	outcome Outcome
	took    clock.Millis
	lost    int
}

// NewAnswer returns the result of an attempt on the route. The tokens are the length of
// the prompt, 0 if the route has none; took is the time from sending to the same point of
// the answer for all versions, such as the first event of a stream.
func NewAnswer(route string, tokens int, outcome Outcome, took clock.Millis) Answer {
	return Answer{route: route, tokens: tokens, outcome: outcome, took: took, lost: 1}
}

// WithLost returns a crashed attempt that was one of the number in progress at its server
// at all nodes, as far as this node knows. They count as one bad answer together.
func (answer Answer) WithLost(inProgress int) Answer {
	answer.lost = max(1, inProgress)
	return answer
}
