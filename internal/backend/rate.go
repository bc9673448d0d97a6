package backend

import (
	"math"
	"sync/atomic"

	"sapphirehead/internal/clock"
)

const (
	// rateMemory is the time after which an observation has lost its weight to 1/e. A
	// server whose host has changed is so judged anew within a minute or two.
	rateMemory = 60 * clock.Second
	// rateSpread is the spread of logarithms assumed among the servers of a pool. The pool's
	// rate counts for as many observations as have this precision together, so that a few
	// of them say little where they scatter.
	rateSpread = 0.25
	// minRateNoise bounds the scatter of observations from below.
	minRateNoise = 0.3
	// maxRateWeight bounds the weight of the observations, so that the latest ones count.
	maxRateWeight = 40.0
	// maxRateStep bounds how far an observation is from the estimate, so that a wrong one
	// doesn't move it far.
	maxRateStep = 0.7
	// rateTolerance is the difference from the pool's rate that equal servers may show for
	// reasons other than their speed. It, or the standard error where that is larger, is
	// taken off each estimate.
	rateTolerance = 0.1
	// factorAge is the time for which a result is used, as each decision looks at the rates
	// of all servers of a pool.
	factorAge = 1 * clock.Second
	// maxRateFactor bounds the estimate.
	maxRateFactor = 4.0
)

// Rate is what this node has learned of the time that a server takes for its work, in
// relation to the other servers of its pool. It uses logarithms of ratios: 0 for a server
// that is as fast as its pool, ln 2 for one that takes twice the time. It is safe for
// concurrent use; of two concurrent observations one may be lost.
type Rate struct {
	state atomic.Pointer[rateState]
}

type rateState struct {
	sum    float64
	weight float64
	// noise is the scatter of the observations.
	noise float64
	at    clock.Millis
	// observedAt is the time of the latest observation.
	observedAt clock.Millis
	// logarithm and factor are the result as of the time, which is used for factorAge.
	logarithm float64
	factor    float64
}

// agedTo returns the state at the time.
func (rate *Rate) agedTo(now clock.Millis) rateState {
	state := rate.state.Load()
	if state == nil {
		return rateState{noise: minRateNoise, at: now}
	}
	left := math.Exp(-float64(max(0, now-state.at)) / float64(rateMemory))
	return rateState{sum: state.sum * left, weight: state.weight * left, noise: state.noise, at: max(now, state.at), observedAt: state.observedAt}
}

// total returns the weight of the observations and of the pool's rate.
func (state rateState) total() float64 {
	return state.weight + state.noise*state.noise/(rateSpread*rateSpread)
}

func (state rateState) estimate() float64 { return state.sum / state.total() }

// Estimate returns the logarithm of the server's time in relation to its pool.
func (rate *Rate) Estimate(now clock.Millis) float64 { return rate.agedTo(now).estimate() }

// ObservedAt returns the time of the latest observation, or 0 if there is none.
func (rate *Rate) ObservedAt() clock.Millis {
	if state := rate.state.Load(); state != nil {
		return state.observedAt
	}
	return 0
}

// Observe records the logarithm of an observed time in relation to the pool's, and the
// standard deviation of such observations.
func (rate *Rate) Observe(logarithm, noise float64, now clock.Millis) {
	if math.IsNaN(logarithm) || math.IsNaN(noise) {
		return
	}
	current, state := rate.state.Load(), rate.agedTo(now)
	state.noise, state.observedAt = max(noise, minRateNoise), now
	estimate := state.estimate()
	state.sum += min(max(logarithm, estimate-maxRateStep), estimate+maxRateStep)
	state.weight++
	if excess := state.weight / maxRateWeight; excess > 1 {
		state.sum, state.weight = state.sum/excess, maxRateWeight
	}
	state.conclude()
	rate.state.CompareAndSwap(current, &state)
}

// conclude computes the result.
func (state *rateState) conclude() {
	estimate := state.estimate()
	certain := math.Abs(estimate) - math.Max(rateTolerance, state.noise/math.Sqrt(state.total()))
	state.logarithm = math.Copysign(math.Min(math.Max(certain, 0), math.Log(maxRateFactor)), estimate)
	state.factor = math.Exp(state.logarithm)
}

// Factor returns the time that the server takes for its work, as a multiple of that of its
// pool, and its logarithm: 1 and 0 for servers whose difference may be chance.
func (rate *Rate) Factor(now clock.Millis) (factor, logarithm float64) {
	state := rate.state.Load()
	if state == nil {
		return 1, 0
	}
	if now-state.at > factorAge {
		aged := rate.agedTo(now)
		aged.conclude()
		rate.state.CompareAndSwap(state, &aged)
		state = &aged
	}
	return state.factor, state.logarithm
}
