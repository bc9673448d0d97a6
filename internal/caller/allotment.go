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
	perSecond float64
	burst     float64
	// extraPerSecond and extraBurst are the parts of the rate and the burst by which the
	// operators' settings permit to exceed the allotment.
	extraPerSecond float64
	extraBurst     float64
	defaultCost    int
	tokens         bool
	overshoot      float64
	// delay is the time in seconds until peer nodes have received the usage of a node.
	delay float64
	// detection is the time until a silent peer no longer counts as live.
	detection clock.Millis
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
	allotment.extraPerSecond, allotment.extraBurst = allotment.perSecond*share, allotment.burst*share+tokens
	allotment.perSecond += allotment.extraPerSecond
	allotment.burst += allotment.extraBurst
	allotment.overshoot = tokens
	return allotment
}

// InContact returns a copy for a node that is in contact with the share of all nodes. The
// overshoot falls with it: nodes that are cut off from each other each leave a debt with
// their last request, for which the overshoot is the margin.
func (allotment Allotment) InContact(share float64) Allotment {
	lost := min(1, overshootContactLoss*(1-share))
	allotment.perSecond -= lost * allotment.extraPerSecond
	allotment.burst -= lost * allotment.extraBurst
	return allotment
}

// WithDelay returns a copy for nodes that receive each other's usage after the delay
// at most.
func (allotment Allotment) WithDelay(delay clock.Millis) Allotment {
	allotment.delay = float64(delay) / float64(clock.Second)
	return allotment
}

// WithDetection returns a copy for nodes that count a peer as live until it has been
// silent for the time.
func (allotment Allotment) WithDetection(detection clock.Millis) Allotment {
	allotment.detection = detection
	return allotment
}

// reserve returns the tokens to keep in the bucket for requests that peer nodes
// admit before they receive this node's usage. They are expected to have the same
// demand as this node, own, but not more than maxGrowth times what they are known to
// use, peers: at a node with few requests, one large request looks like a burst of the
// account.
//
// The reserve is at most the overshoot and reservedBurstShare of the burst, of which a
// node has its share. An account whose demand needs more is far over its allotment, and
// gets its rate all the same.
func (allotment Allotment) reserve(own, peers float64, nodes int, share float64) float64 {
	unseen := own * float64(nodes-1)
	if peers > 0 {
		unseen = min(unseen, maxGrowth*peers)
	}
	return min(unseen*allotment.delay, share*(allotment.overshoot+reservedBurstShare*allotment.burst))
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
	// burst and the tokens of this time at the allotment's rate. It also bounds what is
	// set aside for silent peers, whose later reports are charged to it first.
	debtLimitSeconds = 10.0
	// overshootContactLoss is the part of the overshoot that is lost for each node out of
	// contact, as a multiple of its share. Without contact to a quarter of the nodes there
	// is none.
	overshootContactLoss = 4.0
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
// of the rate and holds at most its share of the burst, as the other peers may be
// using the rest. What it forgoes is set aside, from the time on at which they fell
// silent. The usage that those peers report later is charged to that first, and only
// the remainder to the level:
//
//	rate 1,000, contact with 2 of 4 nodes for 3 s -> 1,500 set aside
//	the others report 1,400 afterwards            -> the level stays as it is
type Meter struct {
	state atomic.Pointer[meterState]
	used  atomic.Int64
}

type meterState struct {
	level     float64
	updatedAt clock.Millis
	// demand is the average tokens per second of requests at this node, admitted
	// or not, used that of the admitted ones, and peers that of the usage reported by
	// peers.
	demand float64
	used   float64
	peers  float64
	// share is that of the latest update, and wholeSince the time since which it is 1.
	share      float64
	wholeSince clock.Millis
	// setAside is the tokens that this node left to peers from which it received nothing.
	setAside float64
}

// NewMeter returns a meter whose bucket is full.
func NewMeter(allotment Allotment, now clock.Millis) *Meter {
	meter := &Meter{}
	meter.state.Store(&meterState{level: allotment.burst, updatedAt: now, share: 1, wholeSince: now})
	return meter
}

// NewMeterSince returns the meter of a process that started at the time, with the
// level of the bucket at that time. The level must not be the burst if earlier
// usage is unknown: after a restart of all nodes with full buckets an account
// would get its burst twice.
func NewMeterSince(start clock.Millis, level float64) *Meter {
	meter := &Meter{}
	meter.state.Store(&meterState{level: level, updatedAt: start, share: 1, wholeSince: start})
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
		next, decision := current.admit(allotment, cost, share, nodes, now)
		if decision.admitted {
			next.level -= cost
			next.used += cost / demandWindowSeconds
		}
		if !meter.state.CompareAndSwap(current, next) {
			continue
		}
		if decision.admitted {
			meter.used.Add(int64(tokens))
			return nil
		}
		return request.NewOverLimitError("the client account is over its allotment", decision.wait)
	}
}

// AllotmentDecision is the decision on one request by the level of the bucket.
type AllotmentDecision struct {
	admitted bool
	level    float64
	needed   float64
	wait     clock.Millis
}

// Admitted reports whether the request is admitted.
func (decision AllotmentDecision) Admitted() bool { return decision.admitted }

// Level returns the tokens in the bucket, below 0 for a debt.
func (decision AllotmentDecision) Level() float64 { return decision.level }

// Needed returns the level above which the request is admitted.
func (decision AllotmentDecision) Needed() float64 { return decision.needed }

// Wait returns the time until the level is reached, or 0 if the request is admitted.
func (decision AllotmentDecision) Wait() clock.Millis { return decision.wait }

// Look returns the decision that Admit would make, and takes nothing.
func (meter *Meter) Look(allotment Allotment, tokens int, share float64, nodes int, now clock.Millis) AllotmentDecision {
	if allotment.perSecond == 0 {
		return AllotmentDecision{admitted: true}
	}
	_, decision := meter.state.Load().admit(allotment, float64(tokens), share, nodes, now)
	return decision
}

// admit returns the state as of now with the request's demand, and the decision on it.
func (state *meterState) admit(allotment Allotment, cost, share float64, nodes int, now clock.Millis) (*meterState, AllotmentDecision) {
	next := state.refilled(allotment, share, now)
	next.demand += cost / demandWindowSeconds
	// A large request needs no higher level than a small one, or an account near
	// its limit would never get a large one admitted. It leaves a debt. Nodes that
	// are cut off from each other each leave one, so there it needs more.
	needed := allotment.reserve(next.demand, next.peers, nodes, share)
	needed = max(needed, min((1-share)*cost, share*reservedBurstShare*allotment.burst))
	decision := AllotmentDecision{admitted: next.level > needed, level: next.level, needed: needed}
	if !decision.admitted {
		decision.wait = clock.Millis(math.Ceil((needed - next.level + 1) / (allotment.perSecond * share) * float64(clock.Second)))
	}
	return next, decision
}

// Charge takes the tokens of a request that was admitted before and runs once more,
// whatever the level is.
func (meter *Meter) Charge(allotment Allotment, tokens int, share float64, now clock.Millis) {
	if allotment.perSecond > 0 {
		meter.take(allotment, float64(tokens), share, now)
	}
	meter.used.Add(int64(tokens))
}

// Refund returns the tokens of an admitted request that did not run.
func (meter *Meter) Refund(allotment Allotment, tokens int, share float64, now clock.Millis) {
	meter.used.Add(-int64(tokens))
	meter.take(allotment, -float64(tokens), share, now)
}

// AddPeerUsage applies tokens that peer nodes admitted or, if negative, refunded.
func (meter *Meter) AddPeerUsage(allotment Allotment, tokens int64, share float64, now clock.Millis) {
	meter.update(allotment, share, now, func(state *meterState) {
		state.level -= float64(tokens)
		state.peers += math.Max(0, float64(tokens)) / demandWindowSeconds
	})
}

// AddUsageDuringSilence applies tokens that a peer admitted while this node received
// nothing from it.
func (meter *Meter) AddUsageDuringSilence(allotment Allotment, tokens int64, share float64, now clock.Millis) {
	meter.update(allotment, share, now, func(state *meterState) {
		covered := min(math.Max(0, float64(tokens)), state.setAside)
		state.setAside -= covered
		state.level -= float64(tokens) - covered
	})
}

// take lowers the level by the tokens.
func (meter *Meter) take(allotment Allotment, tokens, share float64, now clock.Millis) {
	meter.update(allotment, share, now, func(state *meterState) { state.level -= tokens })
}

// update applies a change to the state as of now, and bounds the level.
func (meter *Meter) update(allotment Allotment, share float64, now clock.Millis, change func(state *meterState)) {
	for {
		current := meter.state.Load()
		next := current.refilled(allotment, share, now)
		change(next)
		// The debt is bounded, or a peer node's false report could lock the account
		// out indefinitely.
		next.level = min(max(next.level, -allotment.debtLimit()), share*allotment.burst)
		if meter.state.CompareAndSwap(current, next) {
			return
		}
	}
}

// debtLimit returns the most that peers' reports may lower an empty bucket.
func (allotment Allotment) debtLimit() float64 {
	return allotment.burst + debtLimitSeconds*allotment.perSecond
}

// refilled returns the state as of now, at a node with the share of the rate and burst.
func (state *meterState) refilled(allotment Allotment, share float64, now clock.Millis) *meterState {
	elapsed := float64(max(0, now-state.updatedAt)) / float64(clock.Second)
	next := &meterState{
		level: state.level + elapsed*allotment.perSecond*share, updatedAt: now, share: share, wholeSince: state.wholeSince, setAside: state.setAside,
		demand: average(state.demand, elapsed), used: average(state.used, elapsed), peers: average(state.peers, elapsed),
	}
	if share < 1 {
		next.setAsideForSilent(allotment, state.share, elapsed)
	} else {
		next.dropSetAside(allotment, state.share, now)
	}
	next.level = min(next.level, share*allotment.burst)
	return next
}

// setAsideForSilent leaves the rate and the burst of silent peers to them. Those that have
// just ceased to count as live were silent for the detection time before, in which this
// node already used more than its share of what the bucket held then and got since.
func (state *meterState) setAsideForSilent(allotment Allotment, shareBefore, elapsed float64) {
	forgone := elapsed * allotment.perSecond * (1 - state.share)
	if state.share < shareBefore {
		detection := float64(allotment.detection) / float64(clock.Second)
		held := min(state.level, allotment.burst) + (state.used+state.peers)*detection
		left := math.Max(0, held) * (1 - state.share/shareBefore)
		state.level -= left
		forgone += left
	}
	state.setAside = min(state.setAside+forgone, allotment.debtLimit())
}

// dropSetAside forgets what silent peers left, once all peers have been live for so long
// that their reports have arrived. It doesn't return to the level: a part may stem from a
// time in which the bucket was full, and each of the nodes that were cut off would give it
// out once more.
func (state *meterState) dropSetAside(allotment Allotment, shareBefore float64, now clock.Millis) {
	if shareBefore < 1 {
		state.wholeSince = now
	}
	if float64(now-state.wholeSince) >= allotment.delay*float64(clock.Second) {
		state.setAside = 0
	}
}

// average returns the average tokens per second, after the elapsed seconds without any.
func average(perSecond, elapsed float64) float64 {
	return perSecond * math.Exp(-elapsed/demandWindowSeconds)
}
