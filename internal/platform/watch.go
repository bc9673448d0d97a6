package platform

import "sapphirehead/internal/clock"

const (
	// designatedWatchShare is the share of a bound on the age of what a watch follows
	// that one watch of a designated watcher waits. The rest is for the timeout that
	// shows a silent connection, for the watch that replaces it, and for the peers,
	// which learn of the change from a designated watcher.
	designatedWatchShare = 0.3
	// minWatchWait bounds the calls of a node.
	minWatchWait = 50 * clock.Millisecond
	// watchWaitPerNode for each node is the wait of the other nodes' watches, from
	// MinOtherWatchWait up to maxWatchWait. It bounds the age at a node that has lost
	// both its watch and its peers, and the calls of all nodes together.
	watchWaitPerNode = 80 * clock.Millisecond
	maxWatchWait     = 25 * clock.Second
)

// MinOtherWatchWait is the least wait of one watch of a node that is no designated
// watcher.
const MinOtherWatchWait = 6 * clock.Second

// WatchWait returns how long one watch may wait at the store for a change that must
// be known on every node within the bound.
//
// A connection can go silent without an error, on all nodes at once. Short waits on
// every node would bound the age too, but the store charges each call:
//
//	bound 2 s, designated watcher    -> 0.6 s
//	bound 2 s, any other of 7 nodes  -> 6 s, and bulletins of three designated watchers
//	bound 4 s, any other of 295 ones -> 23.6 s
func WatchWait(bound clock.Millis, designated bool, nodes int) clock.Millis {
	if designated {
		return min(max(clock.Millis(designatedWatchShare*float64(bound)), minWatchWait), maxWatchWait)
	}
	return min(max(MinOtherWatchWait, watchWaitPerNode*clock.Millis(nodes)), maxWatchWait)
}
