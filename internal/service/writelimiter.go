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

// WriteLimiter shares the write budget among the live nodes. A node within its share
// writes at once, and one above it gathers more operations for each write.
type WriteLimiter struct {
	clock *clock.Clock
	nodes func() int
	// due is when the writes spent so far would have been spent at an even
	// rate, in microseconds.
	due atomic.Int64
}

// NewWriteLimiter returns a pace for as many nodes as the function tells.
func NewWriteLimiter(clock *clock.Clock, nodes func() int) *WriteLimiter {
	return &WriteLimiter{clock: clock, nodes: nodes}
}

const microsPerSecond = 1_000_000

// Allow takes one write from the node's share and reports whether there was
// one left.
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
