package service

import (
	"sync/atomic"

	"sapphirehead/internal/clock"
)

// Budget of claims at the platform, which takes several hundred writes a
// second from everyone.
const (
	// writesPerSecond is the number of writes that all nodes together spend
	// freely; above it, the writes of each object keep writeInterval.
	writesPerSecond = 150
	// burstWrites is the number of free writes that a node may save up.
	burstWrites = 4
)

// Pace shares the write budget among the live nodes. A node within its share
// writes at once, and one above it gathers more operations for each write.
type Pace struct {
	clock *clock.Clock
	nodes func() int
	// due is when the writes spent so far would have been spent at an even
	// rate, in microseconds.
	due atomic.Int64
}

// NewPace returns a pace for as many nodes as the function tells.
func NewPace(clock *clock.Clock, nodes func() int) *Pace {
	return &Pace{clock: clock, nodes: nodes}
}

const microsInSecond = 1_000_000

// Spend takes one write from the node's share and reports whether there was
// one left.
func (pace *Pace) Spend() bool {
	now := int64(pace.clock.Now()) * (microsInSecond / int64(clock.Second))
	interval := int64(max(pace.nodes(), 1)) * microsInSecond / writesPerSecond
	for {
		due := pace.due.Load()
		next := max(due, now) + interval
		if next > now+burstWrites*interval {
			return false
		}
		if pace.due.CompareAndSwap(due, next) {
			return true
		}
	}
}
