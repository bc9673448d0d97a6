package caller

import "sapphirehead/internal/clock"

const (
	// streamAdmission is the time for which a stopping node still admits streams that may
	// last longer than the node, but hardly ever do. The balancer sends new connections
	// for about 2 s after the node reports that it is not ready.
	streamAdmission = 2500 * clock.Millisecond
	// streamAdmissionPart is the part of the grace period that this time is at most.
	streamAdmissionPart = 3
	// responseMargin is the time that a response takes to reach the caller.
	responseMargin = 300 * clock.Millisecond
)

// ShutdownPolicy decides which requests a stopping node still admits. A request that may
// not end before the node does is refused as not run, so that no response is cut off:
//
//	start 0 s, end 7.3 s: streams until 2.4 s, and later ones of up to 4 s until 3 s;
//	                      other requests of up to 0.8 s until 6.2 s
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

// Admits reports whether a request that must have its response by the deadline, whatever
// retries and queues come on top, is admitted now.
func (policy *ShutdownPolicy) Admits(isStream bool, deadline, now clock.Millis) bool {
	if policy == nil || deadline+responseMargin < policy.end {
		return true
	}
	return isStream && now < policy.start+min(streamAdmission, (policy.end-policy.start)/streamAdmissionPart)
}
