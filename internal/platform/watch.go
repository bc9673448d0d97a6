package platform

import "sapphirehead/internal/clock"

const (
	// designatedWatchShare is the share of a bound on the age of what a watch follows
	// that one watch of a designated watcher waits. The rest is for the timeout that
	// shows a silent connection, for the watch that replaces it, and for the peers,
	// which learn of the change from a designated watcher.
	designatedWatchShare = 0.3
	// maxWatchWait is the longest wait of one watch. It bounds the age at a node that
	// has lost both its watch and its peers.
	maxWatchWait = 6 * clock.Second
	// minWatchWait bounds the calls of a node.
	minWatchWait = 50 * clock.Millisecond
)

// MaxWatchWait is the longest wait of any watch.
const MaxWatchWait = maxWatchWait

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
