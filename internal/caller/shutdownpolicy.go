package caller

import (
	"sapphirehead/internal/clock"
	"sapphirehead/internal/route"
)

const (
	// streamAdmission is the time for which a stopping node still admits streams.
	// The balancer sends new connections for about 2 s after the node reports that
	// it is not ready.
	streamAdmission = 2500 * clock.Millisecond
	// responseMargin is the time that a response takes to reach the caller.
	responseMargin = 300 * clock.Millisecond
)

// ShutdownPolicy decides which requests a stopping node still admits. A request
// that would not end before the node is refused as not run, so that no response
// is cut off:
//
//	start 0 s, end 7.3 s: streams until 2.5 s, requests of up to 0.8 s until 6.2 s
//
// A nil ShutdownPolicy admits everything.
type ShutdownPolicy struct {
	start clock.Millis
	end   clock.Millis
}

// NewShutdownPolicy returns the policy of a node that began to stop at start and
// will end at end.
func NewShutdownPolicy(start, end clock.Millis) *ShutdownPolicy {
	return &ShutdownPolicy{start: start, end: end}
}

// Admits reports whether a request on the route is admitted now.
func (policy *ShutdownPolicy) Admits(routeConfig route.Route, now clock.Millis) bool {
	switch {
	case policy == nil:
		return true
	case routeConfig.Streaming():
		return now < policy.start+streamAdmission && now+responseMargin < policy.end
	default:
		return now+routeConfig.Deadline()+responseMargin < policy.end
	}
}
