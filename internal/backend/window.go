package backend

import (
	"sync/atomic"

	"sapphirehead/internal/clock"
)

// windowParts is the number of parts in which a window is counted.
const windowParts = 10

// RetryWindow bounds the repeats at one pool by the requests for it, both over
// a sliding window, whatever the outcome of either:
//
//	repeats in 10 s <= 0.2 x requests in 10 s + slack
//
// Each node keeps to its own requests and its share of the slack, so the sum
// over all nodes holds without talk between them.
type RetryWindow struct {
	parts [windowParts + 1]atomic.Pointer[windowPart]
}

type windowPart struct {
	number   int64
	requests atomic.Int64
	repeats  atomic.Int64
}

// NewRetryWindow returns a window in which nothing was counted.
func NewRetryWindow() *RetryWindow { return &RetryWindow{} }

// Request counts a request at the time.
func (window *RetryWindow) Request(length, now clock.Millis) {
	window.part(length, now).requests.Add(1)
}

// Take counts a repeat and reports whether the window had room for it.
func (window *RetryWindow) Take(length, now clock.Millis, share, slack float64) bool {
	requests, repeats := window.counts(length, now)
	if float64(repeats+1) > share*float64(requests)+slack {
		return false
	}
	window.part(length, now).repeats.Add(1)
	return true
}

func (window *RetryWindow) counts(length, now clock.Millis) (requests, repeats int64) {
	oldest := partNumber(length, now) - windowParts
	for i := range window.parts {
		if part := window.parts[i].Load(); part != nil && part.number >= oldest {
			requests += part.requests.Load()
			repeats += part.repeats.Load()
		}
	}
	return requests, repeats
}

// part returns the part of the window at the time. A part that is too old is
// replaced and not zeroed, as a count between both would be lost.
func (window *RetryWindow) part(length, now clock.Millis) *windowPart {
	number := partNumber(length, now)
	slot := &window.parts[number%int64(len(window.parts))]
	for {
		known := slot.Load()
		if known != nil && known.number >= number {
			return known
		}
		fresh := &windowPart{number: number}
		if slot.CompareAndSwap(known, fresh) {
			return fresh
		}
	}
}

func partNumber(length, now clock.Millis) int64 {
	return int64(now / max(1, length/windowParts))
}
