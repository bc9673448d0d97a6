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
	poolConfig pool.Pool
	// lifeMillis is the time for which a request is in progress.
	lifeMillis float64
	// peersPerSlot and tokensPerSlot are the peers' requests in progress, and their prompt
	// tokens that wait, for each slot.
	peersPerSlot  float64
	tokensPerSlot float64
	now           clock.Millis
	// avoidance is the power of a server's rate by which it has less in progress than a
	// faster one.
	avoidance float64
}

func newAgedLoad(servers []*backend.Server, poolConfig pool.Pool, lifeMillis float64, now clock.Millis) agedLoad {
	aged := agedLoad{poolConfig: poolConfig, lifeMillis: math.Max(1, lifeMillis), now: now, avoidance: engineAvoidance}
	slots, requests, tokens := 0.0, 0.0, 0.0
	for _, server := range servers {
		if !server.Leaving() {
			requests += float64(server.PeerInFlight())
			tokens += float64(server.Work().PeerPending())
			slots += aged.slots(server)
		}
	}
	if poolConfig.Kind() != pool.KindRunner {
		aged.avoidance = serviceAvoidance * math.Max(0, 1-requests/math.Max(1, slots))
	}
	capacity := 0.0
	for _, server := range servers {
		if !server.Leaving() {
			capacity += aged.capacity(server)
		}
	}
	aged.peersPerSlot, aged.tokensPerSlot = requests/math.Max(1, capacity), tokens/math.Max(1, capacity)
	return aged
}

// capacity returns the slots of the server, less if it is slow: in proportion to it servers
// share what is in progress.
func (aged agedLoad) capacity(server *backend.Server) float64 {
	if _, logarithm := server.Rate().Factor(aged.now); logarithm != 0 {
		return aged.slots(server) * math.Exp(-aged.avoidance*logarithm)
	}
	return aged.slots(server)
}

func (aged agedLoad) slots(server *backend.Server) float64 {
	return float64(max(1, serverSlots(server, aged.poolConfig)))
}

// ageWeight returns the weight of a report of the age, which is the share of what it
// counted that is still there. Life is the time for which a part of it is there on average.
// It is near exp(-age/life), which takes several times as long to compute.
func ageWeight(age clock.Millis, lifeMillis float64) float64 {
	lives := float64(max(0, age)) / math.Max(1, lifeMillis)
	return 1 / (1 + lives*(1+lives*(0.5+lives*(1.0/6+lives/24))))
}

// others returns the expected number of requests of other nodes at the server: its share
// of the pool's, and the differences from that which peers and the server reported.
func (aged agedLoad) others(server *backend.Server) (share, ofPeers, ofServer float64) {
	share = aged.peersPerSlot * aged.capacity(server)
	ofPeers = ageWeight(aged.now-server.PeersAsOf(), aged.lifeMillis) * (float64(server.PeerInFlight()) - share)
	if load := server.Load(); load != nil {
		reported := math.Max(0, float64(load.Running()+load.Queued())-float64(load.OwnInFlight()))
		ofServer = ageWeight(aged.now-load.At(), aged.lifeMillis) * (reported - share - ofPeers)
	}
	return share, ofPeers, ofServer
}

// pendingTokens returns the prompt tokens that are expected to wait at the engine. Those
// that peers reported are gone once the engine has had the time to prefill them, and
// others have taken their place.
func (aged agedLoad) pendingTokens(server *backend.Server, prefillRate float64) float64 {
	share, reported := aged.tokensPerSlot*aged.capacity(server), float64(server.Work().PeerPending())
	weight := ageWeight(aged.now-server.PeersAsOf(), math.Max(share, reported)/prefillRate)
	return float64(server.Work().OwnPending()) + share + weight*(reported-share)
}

// spreadMillis returns the scale of the random part in the order of engines, by which nodes
// that act on the same figures choose different ones. It is the prefill that peers have
// probably sent to one of them meanwhile.
func (aged agedLoad) spreadMillis(server *backend.Server) float64 {
	if aged.peersPerSlot == 0 {
		return 0
	}
	return spreadShare * float64(min(max(0, aged.now-server.PeersAsOf()), maxSpreadAge))
}

// exponentialLog returns the logarithm of an exponentially distributed number with the rate,
// given a random number from 0 to 1. Of several, the smallest belongs to each with a
// probability in proportion to its rate.
func exponentialLog(draw, rate float64) float64 {
	return math.Log(-math.Log(math.Max(draw, minDraw)) / rate)
}
