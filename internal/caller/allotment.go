package caller

import (
	"math"
	"sync/atomic"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/request"
)

// Allotment limits the tokens that a client account may use over all nodes: the
// rate and burst of a token bucket.
type Allotment struct {
	perSecond   float64
	burst       float64
	defaultCost int
	tokens      bool
	overshoot   float64
	// delay is the time in seconds until peer nodes have received the usage of a node.
	delay float64
}

// NewAllotment returns an allotment. A perSecond of 0 means no limit. If tokens
// is set, a request costs the number of tokens that it states. Any other request
// costs defaultCost.
func NewAllotment(perSecond, burst float64, defaultCost int, tokens bool) Allotment {
	return Allotment{perSecond: perSecond, burst: burst, defaultCost: defaultCost, tokens: tokens}
}

// WithOvershoot returns a copy whose rate and burst are larger by the share, and
// whose burst is larger by the tokens in addition, as the operators' settings
// permit.
func (allotment Allotment) WithOvershoot(share, tokens float64) Allotment {
	allotment.perSecond *= 1 + share
	allotment.burst = allotment.burst*(1+share) + tokens
	allotment.overshoot = tokens
	return allotment
}

// WithDelay returns a copy for nodes that receive each other's usage after the delay
// at most.
func (allotment Allotment) WithDelay(delay clock.Millis) Allotment {
	allotment.delay = float64(delay) / float64(clock.Second)
	return allotment
}

// reserve returns the tokens to keep in the bucket for requests that peer nodes
// admit before they receive this node's usage. They are expected to have the same
// demand as this node, own, but not more than maxGrowth times what they are known to
// use, peers: at a node with few requests, one large request looks like a burst of the
// account.
//
// The reserve is at most the overshoot and reservedBurstShare of the burst. An account
// whose demand needs more is far over its allotment, and gets its rate all the same.
func (allotment Allotment) reserve(own, peers float64, nodes int) float64 {
	unseen := own * float64(nodes-1)
	if peers > 0 {
		unseen = min(unseen, maxGrowth*peers)
	}
	return min(unseen*allotment.delay, allotment.overshoot+reservedBurstShare*allotment.burst)
}

// PerSecond returns the rate in tokens per second, or 0 for no limit.
func (allotment Allotment) PerSecond() float64 { return allotment.perSecond }

// Burst returns the number of tokens that may be used at once.
func (allotment Allotment) Burst() float64 { return allotment.burst }

// Cost returns the cost in tokens of a request that states the number of tokens,
// or 0 if it states none.
func (allotment Allotment) Cost(tokens int) int {
	if allotment.tokens && tokens > 0 {
		return tokens
	}
	return allotment.defaultCost
}

const (
	// maxGrowth bounds the demand that is expected at peers, as a multiple of their
	// known usage.
	maxGrowth = 10.0
	// reservedBurstShare is the largest share of the burst that is kept for requests
	// which peers admit unseen.
	reservedBurstShare = 0.5
	// debtLimitSeconds bounds the debt that peer nodes' reports may cause: the
	// burst and the tokens of this time at the allotment's rate.
	debtLimitSeconds = 10.0
	// demandWindowSeconds is the time constant of the average demand.
	demandWindowSeconds = 1.0
)

// Meter is the token bucket of one account at this node. It counts the usage at
// this node and the usage that peer nodes report:
//
//	level = min(burst, level + elapsed x rate) - own usage - peer usage
//
// Peer usage is received late, so the level can fall below 0. It must then rise
// above 0 again before a request is admitted, which preserves the mean rate.
//
// A node that receives updates from only some of its peers refills at its share
// of the rate, as the other peers may be using the rest.
type Meter struct {
	state atomic.Pointer[meterState]
	used  atomic.Int64
}

type meterState struct {
	level     float64
	updatedAt clock.Millis
	// demand is the average tokens per second of requests at this node, admitted
	// or not, and peers that of the usage reported by peers.
	demand float64
	peers  float64
}

// NewMeter returns a meter whose bucket is full.
func NewMeter(allotment Allotment, now clock.Millis) *Meter {
	meter := &Meter{}
	meter.state.Store(&meterState{level: allotment.burst, updatedAt: now})
	return meter
}

// NewMeterSince returns the meter of a process that started at the time, with the
// level of the bucket at that time. The level must not be the burst if earlier
// usage is unknown: after a restart of all nodes with full buckets an account
// would get its burst twice.
func NewMeterSince(start clock.Millis, level float64) *Meter {
	meter := &Meter{}
	meter.state.Store(&meterState{level: level, updatedAt: start})
	return meter
}

// Used returns the tokens admitted at this node, less those refunded.
func (meter *Meter) Used() int64 { return meter.used.Load() }

// Admit takes the tokens of one request, or returns a *request.NotRunError. Share
// is the part of the rate at which this node refills, 1 if it receives the
// updates of all its peers; nodes is the number of nodes that admit requests.
func (meter *Meter) Admit(allotment Allotment, tokens int, share float64, nodes int, now clock.Millis) error {
	if allotment.perSecond == 0 {
		meter.used.Add(int64(tokens))
		return nil
	}
	cost := float64(tokens)
	for {
		current := meter.state.Load()
		next := &meterState{
			level: current.refilled(allotment, share, now), updatedAt: now,
			demand: average(current.demand, cost, current.updatedAt, now),
			peers:  average(current.peers, 0, current.updatedAt, now),
		}
		// A large request needs no higher level than a small one, or an account near
		// its limit would never get a large one admitted. It leaves a debt.
		needed := allotment.reserve(next.demand, next.peers, nodes)
		admitted := next.level > needed
		if admitted {
			next.level -= cost
		}
		if !meter.state.CompareAndSwap(current, next) {
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

// Charge takes the tokens of a request that was admitted before and runs once more,
// whatever the level is.
func (meter *Meter) Charge(allotment Allotment, tokens int, share float64, now clock.Millis) {
	if allotment.perSecond > 0 {
		meter.take(allotment, float64(tokens), 0, share, now)
	}
	meter.used.Add(int64(tokens))
}

// Refund returns the tokens of an admitted request that did not run.
func (meter *Meter) Refund(allotment Allotment, tokens int, share float64, now clock.Millis) {
	meter.used.Add(-int64(tokens))
	meter.take(allotment, -float64(tokens), 0, share, now)
}

// AddPeerUsage applies tokens that peer nodes admitted or, if negative, refunded.
func (meter *Meter) AddPeerUsage(allotment Allotment, tokens int64, share float64, now clock.Millis) {
	meter.take(allotment, float64(tokens), math.Max(0, float64(tokens)), share, now)
}

// take lowers the level by the tokens, of which those of peers also count as their
// usage.
func (meter *Meter) take(allotment Allotment, tokens, ofPeers, share float64, now clock.Millis) {
	for {
		current := meter.state.Load()
		level := current.refilled(allotment, share, now) - tokens
		// The debt is bounded, or a peer node's false report could lock the account
		// out indefinitely.
		level = min(max(level, -allotment.burst-debtLimitSeconds*allotment.perSecond), allotment.burst)
		next := &meterState{
			level: level, updatedAt: now, demand: average(current.demand, 0, current.updatedAt, now),
			peers: average(current.peers, ofPeers, current.updatedAt, now),
		}
		if meter.state.CompareAndSwap(current, next) {
			return
		}
	}
}

func (state *meterState) refilled(allotment Allotment, share float64, now clock.Millis) float64 {
	elapsed := float64(max(0, now-state.updatedAt)) / float64(clock.Second)
	return min(allotment.burst, state.level+elapsed*allotment.perSecond*share)
}

// average returns the average tokens per second of the time before updatedAt, with more
// tokens now.
func average(perSecond, tokens float64, updatedAt, now clock.Millis) float64 {
	elapsed := float64(max(0, now-updatedAt)) / float64(clock.Second)
	return perSecond*math.Exp(-elapsed/demandWindowSeconds) + tokens/demandWindowSeconds
}
