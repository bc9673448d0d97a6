package service

import (
	"maps"
	"slices"
	"strconv"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/request"
)

// Bounds of one object, whose size limit is 1,000,000 bytes. New claims leave
// space for outcomes, and an outcome that does not fit is marked as not kept.
const (
	// maxClaimsBytes is the size up to which new claims are granted.
	maxClaimsBytes = 500_000
	// maxOutcomesBytes is the size up to which outcomes are recorded.
	maxOutcomesBytes = 640_000
	// MaxForgotten bounds the number of expired undated keys, which are stored as
	// digests of 8 bytes.
	MaxForgotten = 32_768
)

// Shard is the set of claims in one object. It is immutable.
type Shard struct {
	epoch      int64
	claims     map[string]Claim
	forgotten  []uint64
	storedSize int
}

// NewShard returns the shard of a bucket with its claims by key id, and with the
// digests of expired undated keys in ascending order.
func NewShard(epoch int64, claims map[string]Claim, forgotten []uint64) Shard {
	shard := Shard{epoch: epoch, claims: claims, forgotten: forgotten}
	for _, claim := range claims {
		shard.storedSize += claim.storedSize()
	}
	return shard
}

// Epoch returns the bucket of creation times that the object holds now.
func (shard Shard) Epoch() int64 { return shard.epoch }

// Claims returns all claims by key id. Callers must not change the map.
func (shard Shard) Claims() map[string]Claim { return shard.claims }

// Forgotten returns the digests of expired undated keys. Callers must not
// change the slice.
func (shard Shard) Forgotten() []uint64 { return shard.forgotten }

// Apply applies the operations in order at the wall time, and returns the next shard,
// a verdict for each operation, and whether the shard changed. Undated claims expire
// after the window; see expire.
func (shard Shard) Apply(operations []Operation, wall, window clock.Millis) (next Shard, verdicts []Verdict, changed bool) {
	draft := &draft{Shard: shard, wall: wall, window: window}
	for _, operation := range operations {
		verdicts = append(verdicts, draft.apply(operation))
	}
	return draft.Shard, verdicts, draft.copied
}

// draft is a mutable shard. It copies the claims before the first change.
type draft struct {
	Shard
	wall   clock.Millis
	window clock.Millis
	copied bool
	// expired is set once expired claims have been removed.
	expired bool
}

func (draft *draft) apply(operation Operation) Verdict {
	if operation.place.epoch < draft.epoch {
		return Verdict{claim: request.ClaimExpired}
	}
	switch operation.kind {
	case OperationClaim:
		return draft.claim(operation)
	case OperationRecord:
		return draft.record(operation)
	case OperationRelease:
		return draft.release(operation)
	default:
		return Verdict{claim: request.ClaimUnavailable}
	}
}

func (draft *draft) claim(operation Operation) Verdict {
	stored, ok := draft.lookup(operation)
	if !ok || stored.state == StateReleased && stored.nonce != operation.nonce {
		return draft.take(operation)
	}
	switch {
	case stored.nonce == operation.nonce && stored.state == StateReleased:
		return Verdict{claim: request.ClaimUnavailable}
	case stored.nonce == operation.nonce && stored.state == StateTaken:
		return Verdict{claim: request.ClaimGranted}
	case stored.state == StateTaken && operation.supersedes != "" && stored.nonce == operation.supersedes:
		return draft.take(operation)
	case stored.fingerprint != operation.fingerprint:
		return Verdict{claim: request.ClaimMismatch, nonce: stored.nonce, holder: stored.holder}
	case stored.state == StateRecorded:
		return Verdict{claim: request.ClaimRecorded, answer: stored.answer}
	case stored.state == StateNotKept:
		return Verdict{claim: request.ClaimNotKept}
	default:
		return Verdict{claim: request.ClaimTaken, nonce: stored.nonce, holder: stored.holder}
	}
}

// take stores a new claim, if there is space and the key has not expired.
func (draft *draft) take(operation Operation) Verdict {
	if draft.hasForgotten(operation.id) {
		return Verdict{claim: request.ClaimExpired}
	}
	claim := NewClaim(operation.nonce, operation.holder, operation.fingerprint, draft.wall)
	draft.advance(operation.place.epoch)
	draft.expire()
	if draft.storedSize+claim.storedSize() > maxClaimsBytes {
		return Verdict{claim: request.ClaimUnavailable, full: true}
	}
	draft.put(operation, claim)
	return Verdict{claim: request.ClaimGranted}
}

func (draft *draft) record(operation Operation) Verdict {
	stored, ok := draft.lookup(operation)
	owned := ok && stored.nonce == operation.nonce
	if owned && (stored.state == StateRecorded || stored.state == StateNotKept) {
		return Verdict{claim: request.ClaimGranted}
	}
	if !owned {
		if !operation.adopt || ok && stored.state != StateReleased {
			return Verdict{claim: request.ClaimTaken}
		}
		if verdict := draft.take(operation); verdict.claim != request.ClaimGranted {
			return verdict
		}
		stored = draft.claims[operation.id]
	}
	recorded := stored.WithAnswer(operation.answer)
	if operation.oversize || draft.storedSize-stored.storedSize()+recorded.storedSize() > maxOutcomesBytes {
		recorded = stored.WithState(StateNotKept)
	}
	draft.put(operation, recorded)
	return Verdict{claim: request.ClaimGranted}
}

// release ends the claim of a request that will never run. If no claim is stored,
// its write may still be in transit: the stored release then refuses a claim that
// arrives later.
func (draft *draft) release(operation Operation) Verdict {
	stored, ok := draft.lookup(operation)
	switch {
	case !ok:
		claim := NewClaim(operation.nonce, "", operation.fingerprint, draft.wall).WithState(StateReleased)
		if draft.storedSize+claim.storedSize() <= maxOutcomesBytes {
			draft.put(operation, claim)
		}
	case stored.nonce == operation.nonce && stored.state == StateTaken:
		draft.put(operation, stored.WithState(StateReleased))
	}
	return Verdict{claim: request.ClaimGranted}
}

func (draft *draft) lookup(operation Operation) (Claim, bool) {
	if operation.place.epoch > draft.epoch {
		return Claim{}, false
	}
	claim, ok := draft.claims[operation.id]
	return claim, ok
}

// advance clears the object for the first claim of a later bucket, as the earlier
// bucket is older than the window.
func (draft *draft) advance(epoch int64) {
	if epoch > draft.epoch {
		draft.Shard = Shard{epoch: epoch, claims: map[string]Claim{}}
		draft.copied = true
	}
}

func (draft *draft) put(operation Operation, claim Claim) {
	draft.advance(operation.place.epoch)
	draft.copy()
	if stored, ok := draft.claims[operation.id]; ok {
		draft.storedSize -= stored.storedSize()
	}
	draft.claims[operation.id] = claim
	draft.storedSize += claim.storedSize()
}

func (draft *draft) copy() {
	if draft.copied {
		return
	}
	draft.copied = true
	claims := make(map[string]Claim, len(draft.claims)+1)
	maps.Copy(claims, draft.claims)
	draft.claims = claims
}

// expire removes undated claims that are older than the window plus MaxAhead, and
// keeps the digests of their keys, except of released claims. Dated claims are
// removed with their bucket.
func (draft *draft) expire() {
	if draft.epoch != 0 || draft.expired {
		return
	}
	draft.expired = true
	for id, claim := range draft.claims {
		if claim.takenAt+draft.window+MaxAhead >= draft.wall || len(draft.forgotten) >= MaxForgotten {
			continue
		}
		draft.copy()
		delete(draft.claims, id)
		draft.storedSize -= claim.storedSize()
		if claim.state != StateReleased {
			draft.forget(id)
		}
	}
}

func (draft *draft) forget(id string) {
	digest := digestOf(id)
	index, found := slices.BinarySearch(draft.forgotten, digest)
	if !found {
		draft.forgotten = slices.Insert(slices.Clone(draft.forgotten), index, digest)
	}
}

func (shard Shard) hasForgotten(id string) bool {
	_, found := slices.BinarySearch(shard.forgotten, digestOf(id))
	return found
}

// digestOf returns the first 8 bytes of a key id.
func digestOf(id string) uint64 {
	const digits = 16
	digest, _ := strconv.ParseUint(id[:min(len(id), digits)], 16, 64)
	return digest
}
