package service

import (
	"sync/atomic"

	"sapphirehead/internal/clock"
)

// Write budget of claims at the platform, which accepts several hundred writes per
// second from all its clients together.
const (
	// writesPerSecond is the write budget of all nodes together; beyond it, the
	// writes of each object are writeInterval apart.
	writesPerSecond = 150
	// burstWrites is the number of unused writes that a node may accumulate.
	burstWrites = 4
)

// WriteLimiter divides the write budget equally among the live nodes. A node
// within its share writes at once, and one beyond it batches more operations for
// each write.
type WriteLimiter struct {
	clock *clock.Clock
	nodes func() int
	// due is the time, in microseconds, at which the writes so far would have ended
	// at an even rate.
	due atomic.Int64
}

// NewWriteLimiter returns a limiter. Nodes returns the number of live nodes.
func NewWriteLimiter(clock *clock.Clock, nodes func() int) *WriteLimiter {
	return &WriteLimiter{clock: clock, nodes: nodes}
}

const microsPerSecond = 1_000_000

// Allow takes one write from the node's share, or returns false if none is left.
func (writeLimiter *WriteLimiter) Allow() bool {
	now := int64(writeLimiter.clock.Now()) * (microsPerSecond / int64(clock.Second))
	interval := int64(max(writeLimiter.nodes(), 1)) * microsPerSecond / writesPerSecond
	for {
		due := writeLimiter.due.Load()
		next := max(due, now) + interval
		if next > now+burstWrites*interval {
			return false
		}
		if writeLimiter.due.CompareAndSwap(due, next) {
			return true
		}
	}
}
