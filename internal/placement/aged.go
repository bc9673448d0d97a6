package placement

import (
	"math"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/pool"
)

const (
	// spreadShare is the share of the age of peers' figures that counts as the work that
	// they have sent to a server meanwhile: a busy engine's utilisation.
	spreadShare = 0.5
	// maxSpreadAge bounds that age, as figures get old when no bulletins arrive at all.
	maxSpreadAge = 300 * clock.Millisecond
	// engineAvoidance and serviceAvoidance are the powers of a server's rate by which less
	// is in progress at a slow server: prompts are placed by their expected time, and
	// responses so where the pool has capacity to spare.
	engineAvoidance  = 1.0
	serviceAvoidance = 2.0
	// minDraw bounds a random number from below, as its logarithm is used.
	minDraw = 1e-12
	// maxSeriesDraw is the number up to which the first terms of a series suffice.
	maxSeriesDraw = 0.1
)

// agedLoad estimates the load of the servers of a pool from figures that may be older
// than the work that they counted.
//
// What peers reported of a server tells little once the requests that they counted have
// ended: their sum over the pool is still about right, but its distribution isn't, and
// all nodes act on the same figures meanwhile. A server is therefore expected to have
// its share of the sum, corrected by the reports according to their age:
//
//	3 servers; peers reported 6, 2 and 1 requests, 30 ms ago; responses take 60 ms
//	-> weight 0.61; 4.8, 2.4 and 1.8 requests expected
type agedLoad struct {
	now clock.Millis
	// poolSlots is the number of slots of a server that doesn't name its own.
	poolSlots int
	// tokenMillis is the time of prefilling one token at the pool's rate, and meanSlowdown
	// the mean of the slowdowns that the pool's servers reported.
	tokenMillis  float64
	meanSlowdown float64
	// lifeMillis is the time for which a request is in progress.
	lifeMillis float64
	// peersPerSlot and tokensPerSlot are the peers' requests in progress, and their prompt
	// tokens that wait, for each slot.
	peersPerSlot  float64
	tokensPerSlot float64
	// unseenMillis is the prefill time of the prompts that peers have sent to an engine on
	// average and that this node doesn't know of yet.
	unseenMillis float64
	calibration  float64
	// avoidance is the power of a server's rate by which it has less in progress than a
	// faster one.
	avoidance float64
}

func newAgedLoad(servers []*backend.Server, poolConfig pool.Pool, speed *Speed, now clock.Millis) *agedLoad {
	state := speed.state.Load()
	aged := &agedLoad{
		now: now, poolSlots: poolConfig.Slots(), tokenMillis: 1 / speed.PrefillRate(), meanSlowdown: state.slowdown,
		lifeMillis: math.Max(1, state.streamMillis), avoidance: engineAvoidance, unseenMillis: speed.UnseenMillis(),
		calibration: speed.Calibration(),
	}
	isService := poolConfig.Kind() != pool.KindRunner
	if isService {
		aged.lifeMillis = math.Max(1, state.responseMillis)
	}
	slots, requests, tokens := 0.0, 0.0, 0.0
	for _, server := range servers {
		if !server.Leaving() {
			requests += float64(server.PeerInFlight())
			tokens += float64(server.Work().PeerPending())
			slots += aged.slots(server)
		}
	}
	if isService {
		aged.avoidance = serviceAvoidance * math.Max(0, 1-requests/math.Max(1, slots))
	}
	capacity := 0.0
	for _, server := range servers {
		if !server.Leaving() {
			rateFactor, logarithm := server.Rate().Factor(now)
			capacity += aged.capacity(aged.slots(server), rateFactor, logarithm)
		}
	}
	aged.peersPerSlot, aged.tokensPerSlot = requests/math.Max(1, capacity), tokens/math.Max(1, capacity)
	return aged
}

// capacity returns the slots of a server, less if it is slow: in proportion to it servers
// share what is in progress.
func (aged *agedLoad) capacity(slots, rateFactor, logarithm float64) float64 {
	switch {
	case logarithm == 0:
		return slots
	case aged.avoidance == 1:
		return slots / rateFactor
	case logarithm > 0:
		return slots / expBound(aged.avoidance*logarithm)
	default:
		return slots * expBound(-aged.avoidance*logarithm)
	}
}

func (aged *agedLoad) slots(server *backend.Server) float64 {
	return float64(max(1, serverSlots(server, aged.poolSlots)))
}

// ageWeight returns the weight of a report of the age, which is the share of what it
// counted that is still there. Life is the time for which a part of it is there on average.
// It is near exp(-age/life), which takes several times as long to compute.
func ageWeight(age clock.Millis, lifeMillis float64) float64 {
	return 1 / expBound(float64(max(0, age))/max(1, lifeMillis))
}

// expBound returns a number a little below the exponential function of a positive one.
func expBound(power float64) float64 {
	return 1 + power*(1+power*(0.5+power*(1.0/6+power/24)))
}

// others returns the expected number of requests of other nodes at the server: its share
// of the pool's by its capacity, and the differences from that which peers and the server
// reported.
func (aged *agedLoad) others(server *backend.Server, capacity float64) (share, ofPeers, ofServer float64) {
	share = aged.peersPerSlot * capacity
	ofPeers = ageWeight(aged.now-server.PeersAsOf(), aged.lifeMillis) * (float64(server.PeerInFlight()) - share)
	if load := server.Load(); load != nil {
		reported := max(0, float64(load.Running()+load.Queued())-float64(load.OwnInFlight()))
		ofServer = ageWeight(aged.now-load.At(), aged.lifeMillis) * (reported - share - ofPeers)
	}
	return share, ofPeers, ofServer
}

// pendingTokens returns the prompt tokens that are expected to wait at the engine. Those
// that peers reported are gone once the engine has had the time to prefill them, and
// others have taken their place.
func (aged *agedLoad) pendingTokens(server *backend.Server, capacity float64) float64 {
	share, reported := aged.tokensPerSlot*capacity, float64(server.Work().PeerPending())
	weight := ageWeight(aged.now-server.PeersAsOf(), max(share, reported)*aged.tokenMillis)
	return float64(server.Work().OwnPending()) + share + weight*(reported-share)
}

// spreadMillis returns the scale of the random part in the order of engines, by which nodes
// that act on the same figures choose different ones. It is the prefill that peers have
// probably sent to one of them meanwhile.
func (aged *agedLoad) spreadMillis(server *backend.Server) float64 {
	return max(1, spreadShare*float64(min(aged.now-server.PeersAsOf(), maxSpreadAge)))
}

// randomOrder returns the order plus the logarithm of an exponentially distributed number
// with the rate, given a random number from 0 to 1. Of several servers, the smallest sum
// belongs to each with a probability in proportion to its rate. If the sum is greater than
// the least one so far, it may be returned as infinite, which saves most of the logarithms.
func randomOrder(order, draw, rate, least float64) float64 {
	draw = max(draw, minDraw)
	if ahead := order - least; ahead > 0 && draw*expBound(ahead) >= rate {
		return math.Inf(1)
	}
	exponential := draw * (1 + draw*(0.5+draw*(1.0/3+draw/4)))
	if draw > maxSeriesDraw {
		exponential = -fastLog(1 - min(draw, 1-minDraw))
	}
	return order + fastLog(exponential/rate)
}

// fastLog returns the logarithm of a positive number within 0.001. It takes a third of the
// time of math.Log, which counts as every server of a pool needs two.
func fastLog(number float64) float64 {
	const mantissaBits, exponentBias = 52, 1023
	bits := math.Float64bits(number)
	mantissa := math.Float64frombits(bits&(1<<mantissaBits-1) | exponentBias<<mantissaBits)
	ratio := (mantissa - 1) / (mantissa + 1)
	square := ratio * ratio
	return float64(int(bits>>mantissaBits)-exponentBias)*math.Ln2 + 2*ratio*(1+square*(1.0/3+square/5))
}
