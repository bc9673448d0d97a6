package placement

import (
	"math"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/clock"
)

const (
	// slowdownLife is the age at which a reported slowdown has lost its weight to 1/e. It
	// changes many times per second, and a node seldom has two reports of a server so
	// close to each other that they show how often.
	slowdownLife = 400.0
	// offsetWeight is the least weight of one observation in the pool's mean logarithm and
	// in its variance. The first ones weigh more.
	offsetWeight = 0.03
	// maxResidual bounds how far an observation counts as being from the mean.
	maxResidual = 1.5
	// initialVariance is the variance that is assumed before observations.
	initialVariance = 0.25
	// maxQueueShare is the expected queue, in shares of a prompt's own prefill, up to which
	// the time to its first event shows the rate of the engine.
	maxQueueShare = 3.0
	// exploreAge is the time without an observation after which a server that looks slow
	// is tried again, and exploreShare the share of requests with slack that do so.
	exploreAge   = 5 * clock.Second
	exploreShare = 0.05
	// exploreSlackShare is the share of a request's time left to its target within which
	// its first event is expected from a server that is tried.
	exploreSlackShare = 0.5
)

// slowdown returns how long work takes at the server now in relation to the usual time: as
// reported, or the pool's mean where the report is old.
func (aged *agedLoad) slowdown(server *backend.Server) float64 {
	reported := server.Slowdown()
	if reported == nil {
		return 1
	}
	return aged.meanSlowdown + ageWeight(aged.now-reported.At(), slowdownLife)*(reported.Factor()-aged.meanSlowdown)
}

// observe records the time of a response for the server's rate, and returns the time that
// it would have taken at a server with the pool's rate and without a slowdown. The choice's
// base is the time that was expected there.
func (placement *Placement) observe(speed *Speed, choice Choice, elapsed clock.Millis) (usual clock.Millis) {
	server, slowdown, now := choice.server, 1.0, placement.clock.Now()
	if load := server.Load(); load != nil && load.SharesHost() {
		if load.At() < now-elapsed {
			// The response had no report: how slow the host was is not known.
			return elapsed
		}
		slowdown = load.Slowdown()
	}
	sharesHost := server.Slowdown() != nil
	logarithm := math.Log(math.Max(1, float64(elapsed)) / (math.Max(1, choice.base) * slowdown))
	estimate, offset := server.Rate().Estimate(now), speed.state.Load().offset
	server.Rate().Observe(logarithm-offset, math.Sqrt(speed.state.Load().variance), now)
	if sharesHost {
		placement.log.Add(backend.NewRateObservation(server.Hash(), logarithm-offset), now)
	}
	speed.update(func(state *speedState) {
		residual := math.Min(math.Max(logarithm-estimate-state.offset, -maxResidual), maxResidual)
		state.rated++
		weight := math.Max(offsetWeight, 1/float64(state.rated+1))
		state.offset += weight * residual
		state.variance += weight * (residual*residual - state.variance)
		state.slowdown += meanWeight * (slowdown - state.slowdown)
	})
	factor, _ := server.Rate().Factor(now)
	return max(1, clock.Millis(math.Round(float64(elapsed)/(slowdown*factor))))
}

// ObserveFirstEvent records the time from sending a prompt to its first event.
func (placement *Placement) ObserveFirstEvent(poolName string, choice Choice, elapsed clock.Millis) {
	if !choice.showsRate || choice.uncachedTokens < minObservedTokens {
		return
	}
	speed := placement.Speed(poolName)
	usual := placement.observe(speed, choice, elapsed)
	if choice.ShowsPrefill() {
		speed.ObserveFirstEvent(choice.uncachedTokens, usual)
	}
}

// ObserveResponse records the time of a complete response that is no stream.
func (placement *Placement) ObserveResponse(poolName string, choice Choice, elapsed clock.Millis) {
	speed := placement.Speed(poolName)
	speed.ObserveResponse(placement.observe(speed, choice, elapsed))
}

// mayExplore reports whether a request with the slack may try the server of the choice.
func mayExplore(choice *Choice, slack, now clock.Millis) bool {
	return now-choice.server.Rate().ObservedAt() >= exploreAge && choice.wait < exploreSlackShare*float64(slack)
}

// exploreFirst replaces the server to try by that of the choice if it was observed earlier.
func (choice *Choice) exploreFirst(explored *Choice) {
	if explored.server == nil || choice.server.Rate().ObservedAt() < explored.server.Rate().ObservedAt() {
		*explored = *choice
	}
}
