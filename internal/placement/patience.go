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
	patienceFirst = 0.85
	rankStep      = 0.05
	leastPatience = 0.6
	// leastQueue is the share of the target that prompts ahead must take before a
	// request is refused. A prompt that is too long to be in time even alone still
	// gets its answer.
	leastQueue = 0.25
	// busyShare is the share of an engine's time that the tokens of running
	// requests take from prefill when prompts wait.
	busyShare = 0.15
)

// Lateness returns by how much the first event of a request on the route would miss
// what its rank is granted, if it were sent as chosen after it has been here for
// the time. A request that would be late by far is refused early, as it would
// only make others late: 0 means that it goes on.
//
//	target 800 ms, rank 1: refused if the first event is expected after 800 ms
//	target 800 ms, rank 2: refused if it is expected after 640 ms
func (choice Choice) Lateness(on route.Route, rank int, here clock.Millis) clock.Millis {
	if !choice.engine || on.FirstToken() == 0 {
		return 0
	}
	granted := max(patienceFirst-rankStep*float64(rank), leastPatience) * float64(on.FirstToken())
	if queue := choice.wait - float64(choice.reads)/pool.PrefillTokensPerMillisecond; queue < leastQueue*float64(on.FirstToken()) {
		return 0
	}
	expected := float64(here) + choice.wait/(1-busyShare)
	return max(0, clock.Millis(expected-granted))
}
