package platform

import (
	"sync/atomic"

	"sapphirehead/internal/clock"
)

// Bounds of the breaker.
const (
	// failureThreshold is the number of consecutive failures after which calls
	// are suspended.
	failureThreshold = 5
	// minBackoff limits the time until the first call after that; each further
	// failure doubles it.
	minBackoff = 100 * clock.Millisecond
	// maxBackoff limits the time between two calls during an outage.
	maxBackoff = 1 * clock.Second
)

// Breaker is a circuit breaker for calls to the platform. During an outage it
// allows one call per backoff, so that a node sends one or two calls a second
// in the long run, regardless of the number of waiting requests:
//
//	5 failures in a row   suspended for 50 to 100 ms
//	one call fails        suspended for 100 to 200 ms
//	one call succeeds     all calls allowed
//
// It is safe for concurrent use.
type Breaker struct {
	clock    *clock.Clock
	random   func(limit int64) int64
	failures atomic.Int64
	// next is the time in milliseconds from which the next call is allowed.
	next atomic.Int64
}

// NewBreaker returns a breaker that allows calls. The function random returns a
// number from 0 up to, but not including, its limit; it varies the backoff among
// nodes.
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

// Report records whether a call has succeeded.
func (breaker *Breaker) Report(success bool) {
	if success {
		breaker.failures.Store(0)
		return
	}
	if failures := breaker.failures.Add(1); failures >= failureThreshold {
		breaker.next.Store(int64(breaker.clock.Now()) + breaker.backoff(failures))
	}
}

// backoff returns a random time in milliseconds between half of the full backoff
// after the number of failures and all of it.
func (breaker *Breaker) backoff(failures int64) int64 {
	wait := minBackoff
	for range min(failures-failureThreshold, 10) {
		wait = min(2*wait, maxBackoff)
	}
	half := int64(wait) / 2
	return half + breaker.random(half+1)
}
