package caller

import (
	"sapphirehead/internal/clock"
	"sapphirehead/internal/route"
)

const (
	// streamAdmission is how long a stopping node still takes streams: the balancer
	// sends new connections for some 2 s after readiness went off.
	streamAdmission = 2500 * clock.Millisecond
	// responseMargin is the time that an answer needs on its way to the caller.
	responseMargin = 300 * clock.Millisecond
)

// ShutdownPolicy decides what a node that stops still takes. What would not end before
// the node does is refused as not run, so that no answer is cut:
//
//	stop at 0 s, end at 7.3 s: streams until 2.5 s, answers of 0.8 s until 6.2 s
//
// A nil Closing takes everything.
type ShutdownPolicy struct {
	start clock.Millis
	end   clock.Millis
}

// NewShutdownPolicy returns the decisions of a node that began to stop and will end at
// the times.
func NewShutdownPolicy(start, end clock.Millis) *ShutdownPolicy {
	return &ShutdownPolicy{start: start, end: end}
}

// Admits reports whether a request on the route may be taken now.
func (policy *ShutdownPolicy) Admits(on route.Route, now clock.Millis) bool {
	switch {
	case policy == nil:
		return true
	case on.Streaming():
		return now < policy.start+streamAdmission && now+responseMargin < policy.end
	default:
		return now+on.Deadline()+responseMargin < policy.end
	}
}
