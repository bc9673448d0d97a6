package placement

import (
	"sapphirehead/internal/clock"
	"sapphirehead/internal/route"
	"sapphirehead/internal/runner"
)

const (
	// The admission deadline is a share of the route's target for the first token:
	// admissionDeadlineShare at rank 0, admissionDeadlineRankStep less for each
	// further rank, and at least minAdmissionDeadlineShare.
	admissionDeadlineShare    = 0.85
	admissionDeadlineRankStep = 0.05
	minAdmissionDeadlineShare = 0.6
	// minQueueShare is the least wait for earlier requests, as a share of the target,
	// at which a request is refused. A prompt that is too long to meet the target
	// even on an idle engine is still served.
	minQueueShare = 0.25
)

// Lateness returns the expected lateness, in milliseconds, of a request's first
// event against the admission deadline of its rank. The time that the request has
// already spent at this node is elapsed. 0 means that the request is admitted. A
// late request is refused early, as it would only delay others.
//
//	target 800 ms, rank 1, queue of at least 200 ms: late if expected after 640 ms
//	target 800 ms, rank 2, queue of at least 200 ms: late if expected after 600 ms
func (choice Choice) Lateness(routeConfig route.Route, rank int, elapsed clock.Millis) clock.Millis {
	if !choice.engine || routeConfig.FirstToken() == 0 {
		return 0
	}
	admissionDeadline := max(admissionDeadlineShare-admissionDeadlineRankStep*float64(rank), minAdmissionDeadlineShare) * float64(routeConfig.FirstToken())
	if choice.queue*choice.calibration*(1-decodeShare) < minQueueShare*float64(routeConfig.FirstToken()) {
		return 0
	}
	expectedMillis := float64(elapsed) + choice.wait*choice.calibration
	return max(0, clock.Millis(expectedMillis-admissionDeadline))
}

// PrefillTokens returns the least number of prompt tokens that an engine would have to
// prefill: those that it must prefill even where the session's parts are cached.
func PrefillTokens(prompt runner.Prompt) int {
	prefill := newPrefill(prompt)
	return prefill.uncachedTokens(1)
}
