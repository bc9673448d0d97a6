package placement

import (
	"sapphirehead/internal/clock"
	"sapphirehead/internal/pool"
	"sapphirehead/internal/route"
)

const (
	// rankStep is the share of its target by which a request of the next rank may
	// be expected to be late less than one that is more urgent, before it is
	// refused; leastPatience bounds it.
	admissionDeadlineShare    = 0.85
	admissionDeadlineRankStep = 0.05
	minAdmissionDeadlineShare = 0.6
	// minQueueShare is the share of the target that prompts ahead must take before a
	// request is refused. A prompt that is too long to be in time even alone still
	// gets its answer.
	minQueueShare = 0.25
	// decodeShare is the share of an engine's time that the tokens of running
	// requests take from prefill when prompts wait.
	decodeShare = 0.15
)

// Lateness returns by how much the first event of a request on the route would miss
// what its rank is granted, if it were sent as chosen after it has been here for
// the time. A request that would be late by far is refused early, as it would
// only make others late: 0 means that it goes on.
//
//	target 800 ms, rank 1: refused if the first event is expected after 800 ms
//	target 800 ms, rank 2: refused if it is expected after 640 ms
func (choice Choice) Lateness(routeConfig route.Route, rank int, elapsed clock.Millis) clock.Millis {
	if !choice.engine || routeConfig.FirstToken() == 0 {
		return 0
	}
	admissionDeadline := max(admissionDeadlineShare-admissionDeadlineRankStep*float64(rank), minAdmissionDeadlineShare) * float64(routeConfig.FirstToken())
	if queue := choice.wait - float64(choice.uncachedTokens)/pool.PrefillTokensPerMillisecond; queue < minQueueShare*float64(routeConfig.FirstToken()) {
		return 0
	}
	expected := float64(elapsed) + choice.wait/(1-decodeShare)
	return max(0, clock.Millis(expected-admissionDeadline))
}
