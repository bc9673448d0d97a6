package service

import (
	"context"
	"sync/atomic"

	"github.com/pkg/errors"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/platform"
	"sapphirehead/internal/request"
)

// This file implements the group commit of the claims in one object.
//
// Operations are pushed onto a lock-free stack. The caller that pushes onto an
// empty stack leads the next write: it waits for the end of the previous write,
// takes all pending operations, commits them in one conditional write and returns
// a verdict to each. So there is at most one write in progress and one waiting
// leader, and the writer needs no goroutine of its own:
//
//	A pushes, leads, takes {A}, writes
//	B pushes onto the empty stack and waits to lead; C and D push behind it
//	A's write ends; B takes {B, C, D} and writes once
//
// An error of a write does not show whether it was carried out. The leader reads
// the object again and applies the operations to its content: an operation that
// was committed finds its own nonce, and a write that is still in transit fails
// once the version has changed.

// Bounds of one group commit.
const (
	// commitTimeout bounds the time for all writes of one batch.
	commitTimeout = 1500 * clock.Millisecond
	// firstBackoff is the wait after the first failed write; each further failure
	// doubles it.
	firstBackoff = 10 * clock.Millisecond
	// maxBackoff bounds the wait after a failed write.
	maxBackoff = 200 * clock.Millisecond
	// writeInterval is the time between two writes of one object while the node's
	// share of the write budget is used up.
	writeInterval = 200 * clock.Millisecond
)

// pending is an operation that waits for its verdict.
type pending struct {
	operation Operation
	verdict   chan Verdict
	next      *pending
}

// replica is a node's copy of an object: the content that it last read or wrote,
// and the highest version that it has seen.
type replica struct {
	shard     Shard
	version   int64
	valid     bool
	highest   int64
	writtenAt clock.Millis
	// uncertain is the expected version of a write whose outcome is unknown, or
	// noUncertainWrite.
	uncertain int64
}

func (replica *replica) update(shard Shard, version int64) {
	replica.shard, replica.version, replica.valid = shard, version, true
	replica.highest = max(replica.highest, version)
	if version > replica.uncertain {
		replica.uncertain = noUncertainWrite
	}
}

// fail invalidates the content after a write that was refused or got no response.
func (replica *replica) fail(err error) {
	replica.valid = false
	var failed *platform.UnavailableError
	if errors.As(err, &failed) && failed.OutcomeUnknown() {
		replica.uncertain = replica.version
	}
}

const noUncertainWrite = int64(-1)

// writer commits the operations on one object.
type writer struct {
	object string
	queue  atomic.Pointer[pending]
	// idle holds the replica while no write is in progress.
	idle chan *replica
	used atomic.Int64
}

func newWriter(object string) *writer {
	writer := &writer{object: object, idle: make(chan *replica, 1)}
	writer.idle <- &replica{uncertain: noUncertainWrite}
	return writer
}

// push adds an operation and reports whether the caller must lead the next write.
func (writer *writer) push(operation *pending) bool {
	for {
		head := writer.queue.Load()
		operation.next = head
		if writer.queue.CompareAndSwap(head, operation) {
			return head == nil
		}
	}
}

// takeAll empties the stack and returns the operations in order of arrival.
func (writer *writer) takeAll() []*pending {
	var batch []*pending
	for waiting := writer.queue.Swap(nil); waiting != nil; waiting = waiting.next {
		batch = append(batch, waiting)
	}
	for i, j := 0, len(batch)-1; i < j; i, j = i+1, j-1 {
		batch[i], batch[j] = batch[j], batch[i]
	}
	return batch
}

// commit commits the operation together with those that arrive while an earlier
// write is in progress.
func (ledger *Ledger) commit(ctx context.Context, operation Operation) Verdict {
	writer := ledger.writerOf(operation.place.object)
	writer.used.Store(int64(ledger.clock.Now()))
	waiting := &pending{operation: operation, verdict: make(chan Verdict, 1)}
	if writer.push(waiting) {
		// Other callers wait for this write, so it outlives its own caller's context.
		ledger.lead(context.WithoutCancel(ctx), writer)
	}
	select {
	case verdict := <-waiting.verdict:
		return verdict
	case <-ctx.Done():
		return Verdict{claim: request.ClaimUnavailable, mayBeCommitted: true}
	}
}

func (ledger *Ledger) lead(ctx context.Context, writer *writer) {
	replica := <-writer.idle
	defer func() { writer.idle <- replica }()
	if !ledger.writeLimiter.Allow() {
		ledger.clock.Wait(ctx, replica.writtenAt+writeInterval-ledger.clock.Now())
	}
	batch := writer.takeAll()
	operations := make([]Operation, len(batch))
	for i, waiting := range batch {
		operations[i] = waiting.operation
	}
	for i, verdict := range ledger.write(ctx, writer.object, replica, operations) {
		batch[i].verdict <- verdict
	}
}

// write commits the operations in one conditional write. It retries after
// conflicts and failures until commitTimeout.
func (ledger *Ledger) write(ctx context.Context, object string, replica *replica, operations []Operation) []Verdict {
	deadline := ledger.clock.Now() + commitTimeout
	ctx, cancel := ledger.clock.WithTimeout(ctx, commitTimeout)
	defer cancel()
	backoff := firstBackoff
	for {
		verdicts, err := ledger.attemptWrite(ctx, object, replica, operations)
		if err == nil {
			return verdicts
		}
		wait := ledger.jitter(backoff)
		if ledger.clock.Now()+wait >= deadline {
			return unavailable(len(operations), replica.uncertain != noUncertainWrite)
		}
		ledger.clock.Wait(ctx, wait)
		backoff = min(2*backoff, maxBackoff)
	}
}

// attemptWrite applies the operations to the replica and writes the result. If the
// replica is invalid or may be outdated, it reads the object before.
func (ledger *Ledger) attemptWrite(ctx context.Context, object string, replica *replica, operations []Operation) ([]Verdict, error) {
	next, verdicts, changed := replica.shard.Apply(operations, ledger.clock.Wall(), ledger.window)
	if !replica.valid || anyMayBeOutdated(verdicts) {
		if err := ledger.read(ctx, object, replica); err != nil {
			replica.valid = false
			return nil, err
		}
		next, verdicts, changed = replica.shard.Apply(operations, ledger.clock.Wall(), ledger.window)
	}
	if !changed {
		return verdicts, nil
	}
	version, err := ledger.store(ctx, object, next, replica.version)
	replica.writtenAt = ledger.clock.Now()
	if err != nil {
		replica.fail(err)
		return nil, err
	}
	replica.update(next, version)
	ledger.count(len(operations))
	return verdicts, nil
}

// read updates the replica from the stored object. It returns an error for a
// version below the highest that this node has seen, as an outdated copy must not
// decide on claims.
func (ledger *Ledger) read(ctx context.Context, object string, replica *replica) error {
	shard, version, err := ledger.load(ctx, object)
	if err != nil {
		return err
	}
	if version < replica.highest {
		return errors.Errorf("object %s: read version %d after version %d", object, version, replica.highest)
	}
	replica.update(shard, version)
	return nil
}

// anyMayBeOutdated reports whether a verdict may differ for the stored object, as
// peer nodes may have recorded an outcome or released the claim.
func anyMayBeOutdated(verdicts []Verdict) bool {
	for _, verdict := range verdicts {
		if verdict.claim != request.ClaimGranted && verdict.claim != request.ClaimRecorded {
			return true
		}
	}
	return false
}

func unavailable(count int, mayBeCommitted bool) []Verdict {
	verdicts := make([]Verdict, count)
	for i := range verdicts {
		verdicts[i] = Verdict{claim: request.ClaimUnavailable, mayBeCommitted: mayBeCommitted}
	}
	return verdicts
}
