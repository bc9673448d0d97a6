package placement

import (
	"cmp"
	"math"
	"slices"
	"sync/atomic"

	"sapphirehead/internal/clock"
)

// What a process assumes of a pool until it has observed responses. The estimates of a
// new process are wrong by a factor of a few at most, and right after some tens of
// responses.
const (
	initialPrefillRate    = 40.0
	initialStreamMillis   = 1500.0
	initialResponseMillis = 60.0
	initialExpectedMillis = 100.0
)

const (
	// prefillQuantile is the quantile of the observed rates that counts as the rate of
	// an engine. Lower ones belong to prompts that waited, or whose other parts were
	// expected in the cache and gone.
	prefillQuantile = 0.9
	// decodeShare is the share of an engine's time spent decoding for running requests
	// while prompts wait for prefill.
	decodeShare = 0.15
	// minObservedTokens is the length of a prompt from which its prefill is observed,
	// and fullWeightTokens that from which an observation has its full weight: the
	// other parts of the time to the first event are not known exactly.
	minObservedTokens = 500
	fullWeightTokens  = 3000
	// gapCount is the number of latest streams whose gaps between events are known,
	// and gapQuantile the quantile of them that counts as the time of one event at a
	// server with little load, as where no queue was found.
	gapCount    = 32
	gapQuantile = 0.25
	// minPrefillShare is the least share of the time to the first event that counts as
	// prefill.
	minPrefillShare = 0.5
	// sampleCount is the number of latest observations that the estimate rests on.
	// The assumed rate counts as priorSamples more, as a high quantile of few samples is
	// their highest.
	sampleCount  = 64
	priorSamples = 16.0
	// minPrefillRate and maxPrefillRate bound the estimate, in tokens per millisecond.
	minPrefillRate = 1.0
	maxPrefillRate = 2000.0
	// maxCalibration bounds the factor by which first events count as later than expected.
	maxCalibration = 3.0
	// meanWeight is the weight of one observation in the mean times.
	meanWeight = 0.05
)

// Speed is what this node has learned about the speed of the servers of one pool from
// its own requests. It is safe for concurrent use; of two concurrent observations one
// may be lost.
//
// The prefill rate of an engine is not reported anywhere. It is estimated from prompts
// that found no queue, as a high quantile of
//
//	tokens that can't be in the cache / (time to the first event - time of one event)
//
// of the latest prompts, divided by the share of time that is not spent decoding. A
// quantile is moved by one wrong observation no further than by any other.
type Speed struct {
	state atomic.Pointer[speedState]
	// unseen holds the bits of a float64.
	unseen atomic.Uint64
}

// SetUnseenMillis sets the prefill time of the prompts that peers have sent to one server
// on average and that this node doesn't know of yet.
func (speed *Speed) SetUnseenMillis(unseen float64) { speed.unseen.Store(math.Float64bits(unseen)) }

// UnseenMillis returns the prefill time of the prompts at a server that this node doesn't
// know of yet, on average.
func (speed *Speed) UnseenMillis() float64 { return math.Float64frombits(speed.unseen.Load()) }

// sample is one observed prefill rate.
type sample struct {
	rate   float64
	weight float64
}

type speedState struct {
	// samples is a ring of the latest samples; observations counts all.
	samples      [sampleCount]sample
	observations int
	// prefillRate is the quantile of the observed rates, in tokens per millisecond.
	prefillRate float64
	// gaps is a ring of the times between two events of the latest streams, and
	// gapMillis their gapQuantile; streams counts all.
	gaps      [gapCount]float64
	gapMillis float64
	streams   int
	// streamMillis is the mean time from sending a request to the end of its stream,
	// and responseMillis that of a response which is no stream.
	streamMillis   float64
	responseMillis float64
	// expectedMillis and beganMillis are the mean expected and actual times to the first
	// event.
	expectedMillis float64
	beganMillis    float64
	// offset is the mean logarithm of observed times in relation to the expected ones,
	// variance its variance at a server, and rated the number of observations.
	offset   float64
	variance float64
	rated    int
	// slowdown is the mean slowdown that servers reported.
	slowdown float64
}

// NewSpeed returns the speed that is assumed before any observation.
func NewSpeed() *Speed {
	speed := &Speed{}
	speed.state.Store(&speedState{
		prefillRate: initialPrefillRate * (1 - decodeShare), streamMillis: initialStreamMillis, responseMillis: initialResponseMillis, slowdown: 1, variance: initialVariance,
		expectedMillis: initialExpectedMillis, beganMillis: initialExpectedMillis / (1 - decodeShare),
	})
	return speed
}

// PrefillRate returns the prompt tokens that an engine prefills in a millisecond while
// it does nothing else.
func (speed *Speed) PrefillRate() float64 { return speed.state.Load().prefillRate / (1 - decodeShare) }

// SlotWaitMillis returns the time until one of an engine's slots becomes free.
func (speed *Speed) SlotWaitMillis(slots int) float64 {
	return speed.state.Load().streamMillis / float64(max(slots, 1))
}

// ContentionMillis returns the delay that one more request in an engine's batch causes
// for the others until it ends, of which each is small against its own time.
func (speed *Speed) ContentionMillis() float64 {
	return contentionShare * speed.state.Load().streamMillis
}

// contentionShare is the share of a stream's time by which one more request in the
// batch delays the others.
const contentionShare = 0.001

// ResponseMillis returns the mean time of a response that is no stream.
func (speed *Speed) ResponseMillis() float64 { return speed.state.Load().responseMillis }

// ObserveFirstEvent records the time from sending a prompt to its first event. Tokens
// is the number of tokens that the engine had to prefill at least. Only prompts that
// found no queue may be recorded.
func (speed *Speed) ObserveFirstEvent(tokens int, elapsed clock.Millis) {
	if tokens < minObservedTokens {
		return
	}
	speed.update(func(state *speedState) {
		prefill := math.Max(float64(elapsed)-state.gapMillis, minPrefillShare*math.Max(1, float64(elapsed)))
		rate := float64(tokens) / prefill
		weight := math.Min(1, float64(tokens)/fullWeightTokens)
		state.samples[state.observations%sampleCount] = sample{rate: rate, weight: weight * weight}
		state.observations++
		observed := math.Min(math.Max(state.quantile(), minPrefillRate), maxPrefillRate)
		prior := priorSamples / (priorSamples + float64(state.observations))
		state.prefillRate = prior*initialPrefillRate*(1-decodeShare) + (1-prior)*observed
	})
}

// quantile returns prefillQuantile of the samples by weight.
func (state *speedState) quantile() float64 {
	sorted := slices.Clone(state.samples[:min(state.observations, sampleCount)])
	slices.SortFunc(sorted, func(a, b sample) int { return cmp.Compare(a.rate, b.rate) })
	total := 0.0
	for _, sample := range sorted {
		total += sample.weight
	}
	passed := 0.0
	for _, sample := range sorted {
		if passed += sample.weight; passed >= prefillQuantile*total {
			return sample.rate
		}
	}
	return sorted[len(sorted)-1].rate
}

// ObserveStream records a complete stream: the times from sending its request to its
// first event and to its end, and its number of events.
func (speed *Speed) ObserveStream(firstEvent, end clock.Millis, events int) {
	if events < 1 || end < firstEvent {
		return
	}
	speed.update(func(state *speedState) {
		state.streamMillis += meanWeight * (float64(end) - state.streamMillis)
		if events > 1 {
			state.gaps[state.streams%gapCount] = float64(end-firstEvent) / float64(events-1)
			state.streams++
			sorted := slices.Sorted(slices.Values(state.gaps[:min(state.streams, gapCount)]))
			state.gapMillis = sorted[int(gapQuantile*float64(len(sorted)))]
		}
	})
}

// ObserveBeginning records the actual time to the first event of a prompt, and the one
// that was expected.
func (speed *Speed) ObserveBeginning(expected float64, elapsed clock.Millis) {
	speed.update(func(state *speedState) {
		state.expectedMillis += meanWeight * (expected - state.expectedMillis)
		state.beganMillis += meanWeight * (float64(elapsed) - state.beganMillis)
	})
}

// Calibration returns the factor by which first events are later than expected. The
// estimate counts the prompts of other nodes late, and not the chunks of running prompts
// that an engine mixes with the tokens of others.
func (speed *Speed) Calibration() float64 {
	state := speed.state.Load()
	return min(max(state.beganMillis/max(state.expectedMillis, 1), 1), maxCalibration)
}

// ObserveResponse records the time of a complete response that is no stream.
func (speed *Speed) ObserveResponse(elapsed clock.Millis) {
	speed.update(func(state *speedState) {
		state.responseMillis += meanWeight * (float64(elapsed) - state.responseMillis)
	})
}

func (speed *Speed) update(change func(state *speedState)) {
	current := speed.state.Load()
	changed := *current
	change(&changed)
	speed.state.CompareAndSwap(current, &changed)
}
