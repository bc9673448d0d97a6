package service

import (
	"context"
	"sync/atomic"

	"github.com/pkg/errors"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/platform"
	"sapphirehead/internal/request"
)

// This file holds the group commit of one object of claims.
//
// Operations are pushed onto a lock-free stack. Whoever pushes onto an empty
// stack leads the next write: it waits until the write before has ended, takes
// all that has gathered, commits it in one conditional write and hands each
// operation its verdict. So there is one write in progress, one leader that
// waits, and no goroutine of the writer's own:
//
//	A pushes, leads, takes {A}, writes
//	B pushes onto the empty stack and waits to lead; C and D push behind it
//	A's write ends; B takes {B, C, D} and writes once
//
// An error of a write settles nothing by itself. The leader reads the object
// again and applies the operations to what is there: an operation that has
// landed finds its own nonce, and a write that is still under way can no
// longer land once the version has moved on.

// Bounds of one group commit.
const (
	// commitTimeout bounds the tries of one batch.
	commitTimeout = 1500 * clock.Millisecond
	// firstBackoff is the wait after the first failed write; each further one
	// doubles it.
	firstBackoff = 10 * clock.Millisecond
	// maxBackoff bounds the wait after a failed write.
	maxBackoff = 200 * clock.Millisecond
	// writeInterval is the time between two writes of one object once the
	// node's share of the write budget is used up.
	writeInterval = 200 * clock.Millisecond
)

// pending is an operation that waits for its verdict.
type pending struct {
	operation Operation
	verdict   chan Verdict
	next      *pending
}

// replica is what a node knows of an object: the last content that it read or
// wrote, and the highest version that it has seen.
type replica struct {
	shard   Shard
	version int64
	valid   bool
	highest int64
	written clock.Millis
	// uncertain is the condition of a write whose outcome is unknown, or -1.
	uncertain int64
}

func (replica *replica) update(shard Shard, version int64) {
	replica.shard, replica.version, replica.valid = shard, version, true
	replica.highest = max(replica.highest, version)
	if version > replica.uncertain {
		replica.uncertain = noUncertainWrite
	}
}

// fail forgets the content after a write that was refused or got no answer.
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

// push adds an operation and reports whether the caller must lead.
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

// commit carries out the operation together with those that gather while an
// earlier write is in progress.
func (ledger *Ledger) commit(ctx context.Context, operation Operation) Verdict {
	writer := ledger.writerOf(operation.place.object)
	writer.used.Store(int64(ledger.clock.Now()))
	waiting := &pending{operation: operation, verdict: make(chan Verdict, 1)}
	if writer.push(waiting) {
		// Others wait for this write, so it does not end with its caller.
		ledger.lead(context.WithoutCancel(ctx), writer)
	}
	select {
	case verdict := <-waiting.verdict:
		return verdict
	case <-ctx.Done():
		return Verdict{claim: request.ClaimUnavailable, mayHaveLanded: true}
	}
}

func (ledger *Ledger) lead(ctx context.Context, writer *writer) {
	replica := <-writer.idle
	defer func() { writer.idle <- replica }()
	if !ledger.writeLimiter.Allow() {
		ledger.clock.Wait(ctx, replica.written+writeInterval-ledger.clock.Now())
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

// write commits the operations in one conditional write, and tries again
// after conflicts and trouble for a bounded time.
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

// attemptWrite applies the operations to the replica, or to the object if there is
// none, and writes the result.
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
	replica.written = ledger.clock.Now()
	if err != nil {
		replica.fail(err)
		return nil, err
	}
	replica.update(next, version)
	ledger.count(len(operations))
	return verdicts, nil
}

// read takes in the stored object. A version below one that this node has seen
// is an older copy, from which nothing follows.
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

// anyMayBeOutdated reports whether a verdict may differ in the stored object:
// fellow nodes may have recorded an outcome or released the claim.
func anyMayBeOutdated(verdicts []Verdict) bool {
	for _, verdict := range verdicts {
		if verdict.claim != request.ClaimGranted && verdict.claim != request.ClaimRecorded {
			return true
		}
	}
	return false
}

func unavailable(count int, mayHaveLanded bool) []Verdict {
	verdicts := make([]Verdict, count)
	for i := range verdicts {
		verdicts[i] = Verdict{claim: request.ClaimUnavailable, mayHaveLanded: mayHaveLanded}
	}
	return verdicts
}
