package service

import (
	"sync"
	"sync/atomic"

	"sapphirehead/internal/clock"
)

// Bounds of the backlog.
const (
	// retryPeriod is how long an operation is tried again.
	retryPeriod = 10 * clock.Minute
	// maxBacklog bounds the operations that wait.
	maxBacklog = 16_384
)

// backlog holds outcomes and releases that are still to be committed. Adding
// never waits; one goroutine takes.
type backlog struct {
	clock *clock.Clock
	head  atomic.Pointer[backlogEntry]
	size  atomic.Int64
	// released holds the nonces of requests that ended without a run, with
	// the time of their end.
	released sync.Map
}

type backlogEntry struct {
	operation Operation
	since     clock.Millis
	next      *backlogEntry
}

func newBacklog(clock *clock.Clock) *backlog { return &backlog{clock: clock} }

// add takes in an operation.
func (backlog *backlog) add(operation Operation) {
	now := backlog.clock.Now()
	if operation.kind == OperationRelease {
		backlog.released.Store(operation.nonce, now)
	}
	backlog.push(operation, now)
}

// requeue takes in an entry again that could not be settled.
func (backlog *backlog) requeue(entry *backlogEntry) {
	if backlog.clock.Now()-entry.since < retryPeriod {
		backlog.push(entry.operation, entry.since)
	}
}

func (backlog *backlog) push(operation Operation, since clock.Millis) {
	if backlog.size.Add(1) > maxBacklog {
		backlog.size.Add(-1)
		return
	}
	entry := &backlogEntry{operation: operation, since: since}
	for {
		entry.next = backlog.head.Load()
		if backlog.head.CompareAndSwap(entry.next, entry) {
			return
		}
	}
}

// takeAll empties the backlog and returns its entries.
func (backlog *backlog) takeAll() []*backlogEntry {
	backlog.sweep()
	var entries []*backlogEntry
	for entry := backlog.head.Swap(nil); entry != nil; entry = entry.next {
		backlog.size.Add(-1)
		entries = append(entries, entry)
	}
	return entries
}

// empty reports whether nothing waits.
func (backlog *backlog) empty() bool { return backlog.size.Load() == 0 }

// hasReleased reports whether the request with the nonce ended lately without
// a run.
func (backlog *backlog) hasReleased(nonce string) bool {
	_, released := backlog.released.Load(nonce)
	return released
}

func (backlog *backlog) sweep() {
	oldest := backlog.clock.Now() - retryPeriod
	backlog.released.Range(func(nonce, since any) bool {
		if since.(clock.Millis) < oldest {
			backlog.released.Delete(nonce)
		}
		return true
	})
}
