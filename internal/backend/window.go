package backend

import (
	"sync/atomic"

	"sapphirehead/internal/clock"
)

// windowParts is the number of parts into which a window is divided.
const windowParts = 10

// RetryWindow bounds the retries to one pool by a share of its requests, both
// counted over a sliding window and regardless of their outcomes. With a window of
// 10 s and a share of 0.2:
//
//	retries in 10 s <= 0.2 x requests in 10 s + slack
//
// Each node applies the bound to its own requests and its share of the slack,
// so it holds for all nodes together without communication between them.
type RetryWindow struct {
	parts [windowParts + 1]atomic.Pointer[windowPart]
}

type windowPart struct {
	number   int64
	requests atomic.Int64
	retries  atomic.Int64
}

// NewRetryWindow returns an empty window.
func NewRetryWindow() *RetryWindow { return &RetryWindow{} }

// Request counts a request at the time.
func (window *RetryWindow) Request(length, now clock.Millis) {
	window.part(length, now).requests.Add(1)
}

// Take counts a retry if the bound allows it, and reports whether it did.
func (window *RetryWindow) Take(length, now clock.Millis, share, slack float64) bool {
	requests, retries := window.counts(length, now)
	if float64(retries+1) > share*float64(requests)+slack {
		return false
	}
	window.part(length, now).retries.Add(1)
	return true
}

func (window *RetryWindow) counts(length, now clock.Millis) (requests, retries int64) {
	oldest := partNumber(length, now) - windowParts
	for i := range window.parts {
		if part := window.parts[i].Load(); part != nil && part.number >= oldest {
			requests += part.requests.Load()
			retries += part.retries.Load()
		}
	}
	return requests, retries
}

// part returns the part of the window at the time. An expired part is replaced
// instead of reset to zero, as a reset could lose a concurrent count.
func (window *RetryWindow) part(length, now clock.Millis) *windowPart {
	number := partNumber(length, now)
	slot := &window.parts[number%int64(len(window.parts))]
	for {
		current := slot.Load()
		if current != nil && current.number >= number {
			return current
		}
		fresh := &windowPart{number: number}
		if slot.CompareAndSwap(current, fresh) {
			return fresh
		}
	}
}

func partNumber(length, now clock.Millis) int64 {
	return int64(now / max(1, length/windowParts))
}
