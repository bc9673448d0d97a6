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
	return choice.Timing(routeConfig, rank, elapsed).lateness()
}

// Timing holds the figures, in milliseconds, by which a request is refused as late.
type Timing struct {
	applies  bool
	expected float64
	deadline float64
	queue    float64
	minQueue float64
}

// Timing returns the figures behind Lateness.
func (choice Choice) Timing(routeConfig route.Route, rank int, elapsed clock.Millis) Timing {
	target := float64(routeConfig.FirstToken())
	return Timing{
		applies:  choice.engine && target > 0,
		expected: float64(elapsed) + choice.wait*choice.calibration,
		deadline: max(admissionDeadlineShare-admissionDeadlineRankStep*float64(rank), minAdmissionDeadlineShare) * target,
		queue:    choice.queue * choice.calibration * (1 - decodeShare),
		minQueue: minQueueShare * target,
	}
}

func (timing Timing) lateness() clock.Millis {
	if !timing.applies || timing.queue < timing.minQueue {
		return 0
	}
	return max(0, clock.Millis(timing.expected-timing.deadline))
}

// Applies reports whether requests of the route are refused as late at all.
func (timing Timing) Applies() bool { return timing.applies }

// Expected returns the expected time from the arrival of the request to its first event.
func (timing Timing) Expected() float64 { return timing.expected }

// Deadline returns the admission deadline of the request's rank.
func (timing Timing) Deadline() float64 { return timing.deadline }

// Queue returns the part of the expected time for which earlier requests are the cause.
func (timing Timing) Queue() float64 { return timing.queue }

// MinQueue returns the least queue with which a request is refused.
func (timing Timing) MinQueue() float64 { return timing.minQueue }

// PrefillTokens returns the least number of prompt tokens that an engine would have to
// prefill: those that it must prefill even where the session's parts are cached.
func PrefillTokens(prompt runner.Prompt) int {
	prefill := newPrefill(prompt)
	return prefill.uncachedTokens(1)
}
