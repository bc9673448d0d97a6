package cloud

import "sapphirehead/internal/clock"

const (
	// settleTime is the time without an added server after which the list of a new
	// deployment counts as complete: its servers appear one after the other.
	settleTime = 1500 * clock.Millisecond
	// settleReadTime is how long after the latest added server the list must have been
	// read again. Nodes of a large deployment read it seconds apart, and a list that was
	// not read has not grown either.
	settleReadTime = 1 * clock.Second
)

// Settling decides when the list of servers of a new deployment is complete. Until
// then a server that is not listed yet would be taken for one that does not run, and
// orders for what runs would drain it:
//
//	16 of 240 servers listed, read 1.6 s ago -> not settled
//
// A Settling is used by one goroutine.
type Settling struct {
	most    int
	grewAt  clock.Millis
	settled bool
}

// NewSettling returns a Settling without observations.
func NewSettling() *Settling { return &Settling{} }

// Observe records the number of listed servers that this deployment has not ordered
// itself, and when the list was read, and reports whether it is complete. Once complete,
// it stays so.
func (settling *Settling) Observe(listed int, readAt, now clock.Millis) bool {
	if listed > settling.most {
		settling.most, settling.grewAt = listed, now
	}
	if settling.most > 0 && now-settling.grewAt >= settleTime && readAt-settling.grewAt >= settleReadTime {
		settling.settled = true
	}
	return settling.settled
}

// Settle records that the list is complete, as a predecessor has planned with it.
func (settling *Settling) Settle() { settling.settled = true }

// Settled reports whether the list is complete.
func (settling *Settling) Settled() bool { return settling.settled }
