package node

import "sapphirehead/internal/clock"

const (
	// minBulletinInterval is the least time between two bulletins of a node with
	// requests. In larger deployments it is bulletinIntervalPerNode for each node, which
	// bounds the datagrams that a node receives in a second.
	minBulletinInterval     = 30 * clock.Millisecond
	bulletinIntervalPerNode = 4 * clock.Millisecond
	// idleIntervalFactor multiplies the interval of a node without requests, up to
	// maxIdleInterval, or to the interval of the others where that is longer.
	idleIntervalFactor = 5
	maxIdleInterval    = 600 * clock.Millisecond
	// minLiveAge is the least age of a peer's latest bulletin up to which it counts as
	// live, and liveIntervals that age in intervals of idle nodes: one bulletin may be
	// lost, and the one after it late.
	minLiveAge    = 1500 * clock.Millisecond
	liveIntervals = 2.5
)

// BulletinInterval returns the time between two bulletins of a node in a deployment
// with the number of nodes; idle nodes have no requests in progress.
func BulletinInterval(nodes int, idle bool) clock.Millis {
	interval := max(minBulletinInterval, bulletinIntervalPerNode*clock.Millis(nodes))
	if idle {
		return max(interval, min(idleIntervalFactor*interval, maxIdleInterval))
	}
	return interval
}

// ExtraInterval returns the part of a node's interval beyond the shortest one.
func ExtraInterval(nodes int) clock.Millis {
	return BulletinInterval(nodes, false) - minBulletinInterval
}

// LiveAge returns the age of a peer's latest bulletin up to which it counts as live
// in a deployment with the number of nodes:
//
//	7 nodes -> 1.5 s, 295 nodes -> 2.95 s
func LiveAge(nodes int) clock.Millis {
	return max(minLiveAge, clock.Millis(liveIntervals*float64(BulletinInterval(nodes, true))))
}
