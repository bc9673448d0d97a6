package placement

const (
	// surplusWeight is the number of requests by which a server's load may differ from
	// its share before the server is avoided, where the figures are exact.
	surplusWeight = 0.1
	// maxSentShares bounds the requests that peers send to a server meanwhile, in shares
	// of those in progress, so that their load still counts when bulletins are very late.
	maxSentShares = 20
)

// estimateService adds the expected time of a response from the server to the choice, and
// the order in which it is chosen. The draw is a random number from 0 to 1, and least the
// least order so far.
//
// Requests are spread at random in proportion to the servers' capacities, and less to a
// server that has more than its share: by so much that the difference is made up for by
// the requests that all nodes send before they know of each other's. What only this node
// knows counts fully. Where there is capacity to spare, slow servers get still less.
func (aged *agedLoad) estimateService(choice *Choice, distanceMillis, draw, least float64) {
	server, slots := choice.server, aged.slots(choice.server)
	rateFactor, logarithm := server.Rate().Factor(aged.now)
	share, ofPeers, ofServer := aged.others(server, aged.capacity(slots, rateFactor, logarithm))
	own := float64(server.InFlight()) + ofServer
	slowdown := aged.slowdown(server)
	factor := rateFactor * slowdown
	if slowdown != 1 {
		logarithm += fastLog(slowdown)
	}
	choice.rateFactor = rateFactor
	choice.base = aged.lifeMillis * (1 + max(0, share+ofPeers+own-slots+1)/slots)
	choice.wait = factor * choice.base
	choice.cost = choice.wait + distanceMillis
	age := float64(max(0, aged.now-server.PeersAsOf()))
	sentMeanwhile := share * min(age/(factor*aged.lifeMillis), maxSentShares)
	distance := distanceMillis / aged.lifeMillis * slots
	surplus := (ofPeers+distance)/(surplusWeight+sentMeanwhile) + own/surplusWeight
	// The smallest of exponentially distributed times belongs to a server with a
	// probability in proportion to its weight.
	choice.order = randomOrder((1+aged.avoidance)*logarithm+surplus, draw, slots*server.Circuit().Ramp(aged.now), least)
}
