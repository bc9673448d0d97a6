package platform

import "sapphirehead/internal/clock"

const (
	// designatedWatchShare is the share of a bound on the age of what a watch follows
	// that one watch of a designated watcher waits. The rest is for the timeout that
	// shows a silent connection, for the watch that replaces it, and for the peers,
	// which learn of the change from a designated watcher.
	designatedWatchShare = 0.3
	// maxWatchWait is the wait of other nodes' watches. It bounds the age at a node that
	// has lost both its watch and its peers. watchWaitPerNode for each node replaces it
	// where that is longer, up to maxSharedWatchWait, for what need not be fresh.
	maxWatchWait       = 6 * clock.Second
	watchWaitPerNode   = 80 * clock.Millisecond
	maxSharedWatchWait = 25 * clock.Second
	// minWatchWait bounds the calls of a node.
	minWatchWait = 50 * clock.Millisecond
)

// MaxWatchWait is the longest wait of a watch for the configuration.
const MaxWatchWait = maxWatchWait

// SharedWatchWait returns how long one watch may wait in a deployment of the number of
// nodes, where each change reaches a node that misses it by its peers. All nodes
// together call the store no more often than 75 nodes do.
func SharedWatchWait(bound clock.Millis, designated bool, nodes int) clock.Millis {
	if designated {
		return WatchWait(bound, true)
	}
	return min(max(maxWatchWait, watchWaitPerNode*clock.Millis(nodes)), maxSharedWatchWait)
}

// WatchWait returns how long one watch may wait at the store for a change that must
// be known on every node within the bound.
//
// A connection can go silent without an error, on all nodes at once. Short waits on
// every node would bound the age too, but the store charges each call:
//
//	bound 2 s, designated watcher -> 0.6 s
//	bound 2 s, any other node     -> 6 s, and bulletins of three designated watchers
func WatchWait(bound clock.Millis, designated bool) clock.Millis {
	if !designated {
		return maxWatchWait
	}
	return min(max(clock.Millis(designatedWatchShare*float64(bound)), minWatchWait), maxWatchWait)
}
