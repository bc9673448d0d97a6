package caller

import (
	"sapphirehead/internal/clock"
	"sapphirehead/internal/route"
)

const (
	// streamsTaken is how long a stopping node still takes streams: the balancer
	// sends new connections for some 2 s after readiness went off.
	streamsTaken = 2500 * clock.Millisecond
	// answerMargin is the time that an answer needs on its way to the caller.
	answerMargin = 300 * clock.Millisecond
)

// ShutdownPolicy decides what a node that stops still takes. What would not end before
// the node does is refused as not run, so that no answer is cut:
//
//	stop at 0 s, end at 7.3 s: streams until 2.5 s, answers of 0.8 s until 6.2 s
//
// A nil Closing takes everything.
type ShutdownPolicy struct {
	begun clock.Millis
	end   clock.Millis
}

// NewShutdownPolicy returns the decisions of a node that began to stop and will end at
// the times.
func NewShutdownPolicy(begun, end clock.Millis) *ShutdownPolicy {
	return &ShutdownPolicy{begun: begun, end: end}
}

// Admits reports whether a request on the route may be taken now.
func (closing *ShutdownPolicy) Admits(on route.Route, now clock.Millis) bool {
	switch {
	case closing == nil:
		return true
	case on.Streaming():
		return now < closing.begun+streamsTaken && now+answerMargin < closing.end
	default:
		return now+on.Deadline()+answerMargin < closing.end
	}
}
