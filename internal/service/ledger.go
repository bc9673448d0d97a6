package service

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/request"
)

// DefaultWindow is the retention time of a claim and its outcome.
const DefaultWindow = 24 * clock.Hour

// Ledger grants claims by conditional writes to the platform.
//
// A call with side effects and a key runs only under a committed claim. The claim
// of a key has one place, so of two requests with the same key the conditional
// write admits one, regardless of the state of nodes and callers. The owner of an
// object batches the operations of all nodes, only to save writes. A node without
// a response from the owner commits by itself, with the same nonce, and finds that
// nonce if the owner's write was carried out after all.
type Ledger struct {
	clock          *clock.Clock
	window         clock.Millis
	holder         string
	load           func(ctx context.Context, object string) (Shard, int64, error)
	store          func(ctx context.Context, object string, shard Shard, condition int64) (int64, error)
	forward        func(ctx context.Context, operation Operation) (verdict Verdict, forwarded bool)
	queryNeverRuns func(ctx context.Context, holder, nonce string) bool
	writeLimiter   *WriteLimiter
	jitter         func(wait clock.Millis) clock.Millis
	backlog        *backlog
	// openRequests holds the ids of requests that may hold a claim and have not
	// ended.
	openRequests sync.Map
	writers      sync.Map
	writes       atomic.Int64
	operations   atomic.Int64
	lastSweep    atomic.Int64
}

// NewLedger returns a ledger of a node without peers. The holder is a name of this
// process that no other one ever had. The function load returns an empty shard at
// platform.VersionNone for an object that does not exist; store returns the new
// version or the errors of platform.Store.
func NewLedger(
	clock *clock.Clock,
	window clock.Millis,
	holder string,
	load func(ctx context.Context, object string) (Shard, int64, error),
	store func(ctx context.Context, object string, shard Shard, condition int64) (int64, error),
) *Ledger {
	return (&Ledger{clock: clock, window: window, holder: holder, load: load, store: store, backlog: newBacklog(clock)}).WithPeers(
		func(context.Context, Operation) (Verdict, bool) { return Verdict{}, false },
		func(context.Context, string, string) bool { return false },
		func() int { return 1 },
		noJitter,
	)
}

// noJitter returns the wait unchanged.
func noJitter(wait clock.Millis) clock.Millis { return wait }

// WithPeers sets the functions that reach peer nodes and returns the ledger. The
// function forward sends the operation to the owner of its object; forwarded is
// false if that is this node, and the verdict is zero without a response. The
// function queryNeverRuns asks another holder whether its request with the nonce
// will never run. Nodes returns the number of live nodes, and jitter randomises a
// wait.
func (ledger *Ledger) WithPeers(
	forward func(ctx context.Context, operation Operation) (verdict Verdict, forwarded bool),
	queryNeverRuns func(ctx context.Context, holder, nonce string) bool,
	nodes func() int,
	jitter func(wait clock.Millis) clock.Millis,
) *Ledger {
	ledger.forward, ledger.queryNeverRuns, ledger.jitter = forward, queryNeverRuns, jitter
	ledger.writeLimiter = NewWriteLimiter(ledger.clock, nodes)
	return ledger
}

// Holder returns the name of this process.
func (ledger *Ledger) Holder() string { return ledger.holder }

// Writes returns the number of committed writes and of operations in them.
func (ledger *Ledger) Writes() (writes, operations int64) {
	return ledger.writes.Load(), ledger.operations.Load()
}

func (ledger *Ledger) count(operations int) {
	ledger.writes.Add(1)
	ledger.operations.Add(int64(operations))
}

// Claim requests the right to run. With request.ClaimRecorded it returns the
// recorded answer. With request.ClaimUnavailable the request must not run, unless
// trusted is set because the service itself refuses repeated keys. In that case a
// claim that is committed late is not released.
//
// The caller must call End once the request has ended.
func (ledger *Ledger) Claim(ctx context.Context, req *request.Request, trusted bool) (request.Claim, Answer) {
	key := NewKey(req.Account(), req.Key())
	if claim := ledger.checkAge(key); claim != 0 {
		return claim, Answer{}
	}
	operation := ledger.operation(OperationClaim, key, req)
	verdict := ledger.execute(ctx, operation)
	if ledger.holderNeverRuns(ctx, verdict) {
		verdict = ledger.execute(ctx, operation.WithSupersedes(verdict.nonce))
	}
	mayBeCommitted := verdict.claim == request.ClaimUnavailable && verdict.mayBeCommitted && !trusted
	if verdict.claim == request.ClaimGranted || mayBeCommitted {
		ledger.openRequests.Store(req.ID(), struct{}{})
	}
	return verdict.claim, verdict.answer
}

// checkAge returns 0 for a key within the retention window, and the reason for the
// refusal of any other.
func (ledger *Ledger) checkAge(key Key) request.Claim {
	created, dated := key.Created()
	now := ledger.clock.Wall()
	switch {
	case !dated:
		return 0
	case created > now+MaxAhead:
		return request.ClaimAhead
	case created+ledger.window < now:
		return request.ClaimExpired
	default:
		return 0
	}
}

// holderNeverRuns reports whether the verdict names a conflicting claim whose
// holder confirms that its request will never run.
func (ledger *Ledger) holderNeverRuns(ctx context.Context, verdict Verdict) bool {
	switch verdict.holder {
	case "":
		return false
	case ledger.holder:
		return ledger.NeverRuns(verdict.nonce)
	default:
		return ledger.queryNeverRuns(ctx, verdict.holder, verdict.nonce)
	}
}

// NeverRuns reports whether a request of this process with the nonce ended without
// a run.
func (ledger *Ledger) NeverRuns(nonce string) bool { return ledger.backlog.hasReleased(nonce) }

// Record stores the outcome of a run with its claim. With trusted, a call that was
// sent without a claim is recorded too. If the platform does not respond,
// RetryBacklog retries it.
func (ledger *Ledger) Record(ctx context.Context, req *request.Request, answer Answer, trusted bool) error {
	key := NewKey(req.Account(), req.Key())
	operation := ledger.operation(OperationRecord, key, req).WithAnswer(answer, trusted)
	verdict := ledger.execute(ctx, operation)
	switch {
	case verdict.claim == request.ClaimGranted:
		return nil
	case verdict.claim == request.ClaimUnavailable && !verdict.full:
		ledger.backlog.add(operation)
		return errors.New("the platform gave no answer; tried again later")
	default:
		return errors.New("the claim is not held by this request")
	}
}

// End records that the request has ended and sends nothing any more. If it was not
// run, its claim is released, so that a repeat with the key may run.
func (ledger *Ledger) End(req *request.Request, notRun bool) {
	_, open := ledger.openRequests.LoadAndDelete(req.ID())
	if open && notRun {
		ledger.backlog.add(ledger.operation(OperationRelease, NewKey(req.Account(), req.Key()), req))
	}
}

// HandleForwarded commits an operation that a peer node forwarded.
func (ledger *Ledger) HandleForwarded(ctx context.Context, operation Operation) Verdict {
	return ledger.commit(ctx, operation)
}

// RetryBacklog retries the operations to which the platform did not respond, and
// reports whether none is left.
func (ledger *Ledger) RetryBacklog(ctx context.Context) bool {
	down := false
	for _, entry := range ledger.backlog.takeAll() {
		if !down {
			down = ledger.execute(ctx, entry.operation).claim == request.ClaimUnavailable
		}
		if down {
			ledger.backlog.requeue(entry)
		}
	}
	return ledger.backlog.empty()
}

func (ledger *Ledger) operation(kind OperationKind, key Key, req *request.Request) Operation {
	return NewOperation(kind, key.Place(), key.ID(), req.ID(), ledger.holder, req.Fingerprint())
}

// execute forwards the operation to the owner of its object, and commits it at
// this node if the owner returns no verdict.
func (ledger *Ledger) execute(ctx context.Context, operation Operation) Verdict {
	verdict, forwarded := ledger.forward(ctx, operation)
	if forwarded && verdict.claim != 0 && verdict.claim != request.ClaimUnavailable {
		return verdict
	}
	own := ledger.commit(ctx, operation)
	own.mayBeCommitted = own.mayBeCommitted || forwarded
	return own
}

// writerIdleTimeout is how long an unused writer is kept.
const writerIdleTimeout = 2 * clock.Minute

// writerOf returns the writer of the object. Two writers of one object are safe,
// so idle ones may be dropped at any time.
func (ledger *Ledger) writerOf(object string) *writer {
	if found, ok := ledger.writers.Load(object); ok {
		return found.(*writer)
	}
	ledger.sweep()
	found, _ := ledger.writers.LoadOrStore(object, newWriter(object))
	return found.(*writer)
}

// sweep drops idle writers, at most once per writerIdleTimeout.
func (ledger *Ledger) sweep() {
	now := int64(ledger.clock.Now())
	lastSweep := ledger.lastSweep.Load()
	if now-lastSweep < int64(writerIdleTimeout) || !ledger.lastSweep.CompareAndSwap(lastSweep, now) {
		return
	}
	ledger.writers.Range(func(object, entry any) bool {
		if now-entry.(*writer).used.Load() >= int64(writerIdleTimeout) {
			ledger.writers.Delete(object)
		}
		return true
	})
}
