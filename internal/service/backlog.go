package service

import (
	"sync"
	"sync/atomic"

	"sapphirehead/internal/clock"
)

// Bounds of the backlog.
const (
	// retryPeriod is how long an operation is retried.
	retryPeriod = 10 * clock.Minute
	// maxBacklog bounds the number of pending operations.
	maxBacklog = 16_384
)

// backlog holds the outcomes and releases that are not committed yet. Adding never
// blocks. One goroutine removes entries.
type backlog struct {
	clock *clock.Clock
	head  atomic.Pointer[backlogEntry]
	size  atomic.Int64
	// released maps the nonces of requests that ended without a run to the time of
	// their end.
	released sync.Map
}

type backlogEntry struct {
	operation Operation
	since     clock.Millis
	next      *backlogEntry
}

func newBacklog(clock *clock.Clock) *backlog { return &backlog{clock: clock} }

// add adds an operation, unless the backlog is full.
func (backlog *backlog) add(operation Operation) {
	now := backlog.clock.Now()
	if operation.kind == OperationRelease {
		backlog.released.Store(operation.nonce, now)
	}
	backlog.push(operation, now)
}

// requeue adds an entry again that could not be committed, until its retryPeriod
// is over.
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

// empty reports whether there are no pending operations.
func (backlog *backlog) empty() bool { return backlog.size.Load() == 0 }

// hasReleased reports whether the request with the nonce recently ended without a
// run. Older entries are removed after retryPeriod.
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
