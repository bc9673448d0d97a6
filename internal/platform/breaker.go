package platform

import (
	"sync/atomic"

	"sapphirehead/internal/clock"
)

// Bounds of the breaker.
const (
	// failureThreshold is the number of failures in a row after which calls
	// are held back.
	failureThreshold = 5
	// minBackoff is the time until the first call after that; each further
	// failure doubles it.
	minBackoff = 100 * clock.Millisecond
	// maxBackoff bounds the time between two calls in an outage.
	maxBackoff = 1 * clock.Second
)

// Breaker holds calls back while the platform fails. In an outage one call is
// let through in each pause, so that a node asks about once a second however
// many requests wait:
//
//	5 failures in a row   held back for 50 to 100 ms
//	one call fails        held back for 100 to 200 ms
//	one call succeeds     all calls go through
//
// It is safe to call from several goroutines.
type Breaker struct {
	clock    *clock.Clock
	random   func(limit int64) int64
	failures atomic.Int64
	// next is when the next call may go through.
	next atomic.Int64
}

// NewBreaker returns a breaker that lets calls through. The function random
// returns a number from 0 up to its limit and spreads the pauses of nodes.
func NewBreaker(clock *clock.Clock, random func(limit int64) int64) *Breaker {
	return &Breaker{clock: clock, random: random}
}

// Allow reports whether a call may be made now.
func (breaker *Breaker) Allow() bool {
	failures := breaker.failures.Load()
	if failures < failureThreshold {
		return true
	}
	now, next := int64(breaker.clock.Now()), breaker.next.Load()
	return now >= next && breaker.next.CompareAndSwap(next, now+breaker.backoff(failures))
}

// Report tells how a call that was made has ended.
func (breaker *Breaker) Report(success bool) {
	if success {
		breaker.failures.Store(0)
		return
	}
	if failures := breaker.failures.Add(1); failures >= failureThreshold {
		breaker.next.Store(int64(breaker.clock.Now()) + breaker.backoff(failures))
	}
}

// backoff returns a time between half of the wait after so many failures and
// the whole.
func (breaker *Breaker) backoff(failures int64) int64 {
	wait := minBackoff
	for range min(failures-failureThreshold, 10) {
		wait = min(2*wait, maxBackoff)
	}
	half := int64(wait) / 2
	return half + breaker.random(half+1)
}
