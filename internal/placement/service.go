package placement

import (
	"math"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/pool"
)

const (
	// surplusWeight is the number of requests by which a server's load may differ from
	// its share before the server is avoided, where the figures are exact.
	surplusWeight = 0.1
	// minDraw bounds a random number from below, as its logarithm is used.
	minDraw = 1e-12
)

// service is the state of the servers of an application service at the time of one
// choice, by which requests are spread.
//
// What peers reported of a server tells little once the requests that they counted have
// ended: their sum over the pool is still about right, but its distribution isn't, and
// all nodes act on the same figures meanwhile. A server is therefore expected to have
// its share of the sum, corrected by the reports according to their age:
//
//	3 servers; peers reported 6, 2 and 1 requests, 30 ms ago; responses take 60 ms
//	-> weight 0.61; 4.8, 2.4 and 1.8 requests expected
//
// The requests are spread at random in proportion to the servers' capacities, less to
// a server that has more than its share: by so much that the difference is made up for
// by the requests that all nodes send before they know of each other's.
type service struct {
	poolConfig     pool.Pool
	responseMillis float64
	// peersPerSlot is the number of peers' requests in progress for each slot.
	peersPerSlot float64
	now          clock.Millis
}

// newService returns the state of the servers of a pool.
func newService(servers []*backend.Server, poolConfig pool.Pool, speed *Speed, now clock.Millis) service {
	service := service{poolConfig: poolConfig, responseMillis: math.Max(1, speed.ResponseMillis()), now: now}
	slots := 0.0
	for _, server := range servers {
		if !server.Leaving() {
			service.peersPerSlot += float64(server.PeerInFlight())
			slots += service.slots(server)
		}
	}
	service.peersPerSlot /= math.Max(1, slots)
	return service
}

func (service service) slots(server *backend.Server) float64 {
	return float64(max(1, serverSlots(server, service.poolConfig)))
}

// weight returns the weight of a report of the age, which is the share of the requests
// that it counted that are still in progress.
func (service service) weight(age clock.Millis) float64 {
	return math.Exp(-float64(max(0, age)) / service.responseMillis)
}

// estimate adds the expected time of a response from the server to the choice, and the
// order in which it is chosen. The draw is a random number from 0 to 1.
func (service service) estimate(choice *Choice, distanceMillis, draw float64) {
	server := choice.server
	slots := service.slots(server)
	share := service.peersPerSlot * slots
	age := service.now - server.PeersAsOf()
	ofPeers := service.weight(age) * (float64(server.PeerInFlight()) - share)
	own := float64(server.InFlight())
	if load := server.Load(); load != nil {
		reported := math.Max(0, float64(load.Running()+load.Queued())-float64(load.OwnInFlight()))
		own += service.weight(service.now-load.At()) * (reported - share - ofPeers)
	}
	choice.wait = service.responseMillis * (1 + math.Max(0, share+ofPeers+own-slots+1)/slots)
	choice.cost = choice.wait + distanceMillis
	// The smallest of exponentially distributed times belongs to a server with a
	// probability in proportion to its capacity, or less for the surplus.
	sentMeanwhile := share * math.Min(float64(max(0, age))/service.responseMillis, maxSentShares)
	distance := distanceMillis / service.responseMillis * slots
	surplus := (ofPeers+distance)/(surplusWeight+sentMeanwhile) + own/surplusWeight
	choice.order = math.Log(-math.Log(math.Max(draw, minDraw))/(slots*server.Circuit().Ramp(service.now))) + surplus
}

// maxSentShares bounds the requests that peers send to a server meanwhile, in shares of
// those in progress, so that without any bulletins for long the load still counts.
const maxSentShares = 20
