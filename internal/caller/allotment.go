package caller

import (
	"math"
	"sync/atomic"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/request"
)

// Allotment is the number of tokens that a client account may use over all
// nodes: a rate and a burst, as of a token bucket.
type Allotment struct {
	perSecond   float64
	burst       float64
	defaultCost int
	tokens      bool
	overshoot   float64
}

// NewAllotment returns an allotment; a rate of 0 is no limit. If it counts
// tokens, a request costs the tokens that it names, any other request plain.
func NewAllotment(perSecond, burst float64, defaultCost int, tokens bool) Allotment {
	return Allotment{perSecond: perSecond, burst: burst, defaultCost: defaultCost, tokens: tokens}
}

// WithOvershoot returns a copy that is larger by the share and whose burst is larger
// by so many tokens besides. It is what the operators let an account overshoot.
func (allotment Allotment) WithOvershoot(share, tokens float64) Allotment {
	allotment.perSecond *= 1 + share
	allotment.burst = allotment.burst*(1+share) + tokens
	allotment.overshoot = tokens
	return allotment
}

// reserve returns what must stay in the bucket for fellow nodes that admit
// requests at the same time: what they are asked for until they hear of this
// node's. It never takes more than the leeway.
func (allotment Allotment) reserve(demand float64, nodes int) float64 {
	return min(demand*float64(nodes-1)*propagationDelaySeconds, allotment.overshoot)
}

// PerSecond returns the rate in tokens a second, or 0 for no limit.
func (allotment Allotment) PerSecond() float64 { return allotment.perSecond }

// Burst returns how many tokens may be used at once.
func (allotment Allotment) Burst() float64 { return allotment.burst }

// Cost returns what a request counts that names so many tokens, or 0 if it
// names none.
func (allotment Allotment) Cost(tokens int) int {
	if allotment.tokens && tokens > 0 {
		return tokens
	}
	return allotment.defaultCost
}

const (
	// propagationDelaySeconds is the time in seconds until fellow nodes know what a node admitted.
	propagationDelaySeconds = 0.3
	// debtLimitSeconds is the time in seconds for which fellow nodes' reports may lock an
	// account out, beyond its burst.
	debtLimitSeconds = 10.0
	// demandWindowSeconds is the time in seconds over which the tokens asked for are averaged.
	demandWindowSeconds = 1.0
)

// Meter counts what one account uses at this node and, from fellow nodes'
// news, elsewhere. The level of the bucket is worked out from the sum of both:
//
//	level = min(burst, level + elapsed x rate) - used here - used elsewhere
//
// Use elsewhere is known late, so the level can fall below 0; it then has to
// fill up again before anybody is admitted, which keeps the mean rate.
//
// A node that hears only some of its fellow nodes refills at its share of the
// rate, as the others may be using the rest.
type Meter struct {
	state atomic.Pointer[meterState]
	used  atomic.Int64
}

type meterState struct {
	level float64
	at    clock.Millis
	// demand is how many tokens a second callers of this node ask for, admitted or
	// not.
	demand float64
}

// NewMeter returns a meter whose bucket is full.
func NewMeter(allotment Allotment, now clock.Millis) *Meter {
	meter := &Meter{}
	meter.state.Store(&meterState{level: allotment.burst, at: now})
	return meter
}

// NewMeterSince returns the meter of a process that began at the time and does not
// know what was used before. Its bucket held the level then: where all nodes start
// again together, each with a full bucket, an account gets its burst twice.
func NewMeterSince(start clock.Millis, level float64) *Meter {
	meter := &Meter{}
	meter.state.Store(&meterState{level: level, at: start})
	return meter
}

// Used returns the tokens admitted here since the start.
func (meter *Meter) Used() int64 { return meter.used.Load() }

// Admit takes the tokens of one request, or returns a *request.NotRunError. The
// share is the part of the rate that this node may refill with, 1 if it hears
// all of its fellow nodes; nodes is how many there are.
func (meter *Meter) Admit(allotment Allotment, tokens int, share float64, nodes int, now clock.Millis) error {
	if allotment.perSecond == 0 {
		meter.used.Add(int64(tokens))
		return nil
	}
	cost := float64(tokens)
	for {
		known := meter.state.Load()
		next := &meterState{level: known.refilled(allotment, share, now), at: now, demand: known.demandWith(cost, now)}
		// A large request needs no more in the bucket than a small one, or an account
		// near its limit would never get a large one admitted. It leaves a debt.
		needed := allotment.reserve(next.demand, nodes)
		admitted := next.level > needed
		if admitted {
			next.level -= cost
		}
		if !meter.state.CompareAndSwap(known, next) {
			continue
		}
		if admitted {
			meter.used.Add(int64(tokens))
			return nil
		}
		wait := clock.Millis(math.Ceil((needed - next.level + 1) / (allotment.perSecond * share) * float64(clock.Second)))
		return request.NewOverLimitError("the client account is over its allotment", wait)
	}
}

// Refund gives back the tokens of an admitted request that did not run.
func (meter *Meter) Refund(allotment Allotment, tokens int, share float64, now clock.Millis) {
	meter.used.Add(-int64(tokens))
	meter.AddPeerUsage(allotment, -int64(tokens), share, now)
}

// AddPeerUsage takes in tokens that fellow nodes admitted, or, if negative, that
// they gave back.
func (meter *Meter) AddPeerUsage(allotment Allotment, tokens int64, share float64, now clock.Millis) {
	for {
		known := meter.state.Load()
		level := known.refilled(allotment, share, now) - float64(tokens)
		// A debt is kept for a bounded time, or a fellow node's false report would
		// lock the account out.
		level = min(max(level, -allotment.burst-debtLimitSeconds*allotment.perSecond), allotment.burst)
		if meter.state.CompareAndSwap(known, &meterState{level: level, at: now, demand: known.demandWith(0, now)}) {
			return
		}
	}
}

func (state *meterState) refilled(allotment Allotment, share float64, now clock.Millis) float64 {
	elapsed := float64(max(0, now-state.at)) / float64(clock.Second)
	return min(allotment.burst, state.level+elapsed*allotment.perSecond*share)
}

// demandWith returns the tokens asked for a second, with those of one more
// request.
func (state *meterState) demandWith(tokens float64, now clock.Millis) float64 {
	elapsed := float64(max(0, now-state.at)) / float64(clock.Second)
	return state.demand*math.Exp(-elapsed/demandWindowSeconds) + tokens/demandWindowSeconds
}
