package service

import (
	"context"
	"maps"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/platform"
	"sapphirehead/internal/request"
)

// ShardCount is the number of objects over which claims are spread.
const ShardCount = 64

// DefaultWindow is how long a claim is kept.
const DefaultWindow = 24 * clock.Hour

// maxRounds bounds how often a claim is tried again after a conflict.
const maxRounds = 16

// Claim is the right of one request to run under a key.
type Claim struct {
	nonce    string
	at       clock.Millis
	recorded bool
	answer   Answer
}

// NewClaim returns a claim by the nonce, taken at a wall time.
func NewClaim(nonce string, at clock.Millis) Claim { return Claim{nonce: nonce, at: at} }

// WithAnswer returns a copy with the recorded outcome.
func (claim Claim) WithAnswer(answer Answer) Claim {
	claim.recorded = true
	claim.answer = answer
	return claim
}

// Nonce returns which request took the claim.
func (claim Claim) Nonce() string { return claim.nonce }

// At returns the wall time at which the claim was taken.
func (claim Claim) At() clock.Millis { return claim.at }

// Recorded returns the recorded outcome, and false if there is none.
func (claim Claim) Recorded() (Answer, bool) { return claim.answer, claim.recorded }

// Shard is the set of claims in one object. It does not change.
type Shard struct {
	claims map[string]Claim
}

// NewShard returns a shard with the claims by name.
func NewShard(claims map[string]Claim) Shard { return Shard{claims: claims} }

// Claim returns the claim with the name.
func (shard Shard) Claim(name string) (Claim, bool) {
	claim, ok := shard.claims[name]
	return claim, ok
}

// Claims returns all claims. Callers must not change the map.
func (shard Shard) Claims() map[string]Claim { return shard.claims }

func (shard Shard) with(name string, claim Claim, oldest clock.Millis) Shard {
	claims := make(map[string]Claim, len(shard.claims)+1)
	maps.Copy(claims, shard.claims)
	maps.DeleteFunc(claims, func(_ string, known Claim) bool { return known.at < oldest })
	claims[name] = claim
	return Shard{claims: claims}
}

// Ledger grants claims by conditional writes to the platform.
type Ledger struct {
	clock  *clock.Clock
	window clock.Millis
	load   func(ctx context.Context, shard int) (Shard, int64, error)
	commit func(ctx context.Context, shard int, claims Shard, condition int64) error
}

// NewLedger returns a ledger. The function load returns an empty shard at
// platform.VersionNone for an object that does not exist; commit returns the
// errors of platform.Store.
func NewLedger(
	clock *clock.Clock,
	window clock.Millis,
	load func(ctx context.Context, shard int) (Shard, int64, error),
	commit func(ctx context.Context, shard int, claims Shard, condition int64) error,
) *Ledger {
	return &Ledger{clock: clock, window: window, load: load, commit: commit}
}

// ClaimName returns the name under which a client account's key is claimed.
func ClaimName(account, key string) string { return account + "\x00" + key }

// ShardOf returns the shard that holds the name.
func ShardOf(name string) int { return int(xxhash.Sum64String(name) % ShardCount) }

// Claim asks for the right to run. The nonce is unique to this request. With
// request.ClaimRecorded it returns the recorded answer.
func (ledger *Ledger) Claim(ctx context.Context, account, key, nonce string) (request.Claim, Answer) {
	name := ClaimName(account, key)
	for range maxRounds {
		shard, version, err := ledger.load(ctx, ShardOf(name))
		if err != nil {
			return request.ClaimUnavailable, Answer{}
		}
		if known, ok := shard.Claim(name); ok {
			return verdict(known, nonce)
		}
		now := ledger.clock.Wall()
		err = ledger.commit(ctx, ShardOf(name), shard.with(name, NewClaim(nonce, now), now-ledger.window), version)
		if err == nil {
			return request.ClaimGranted, Answer{}
		}
		if !worthReading(err) {
			return request.ClaimUnavailable, Answer{}
		}
	}
	return request.ClaimUnavailable, Answer{}
}

// Record stores the outcome of a run beside its claim, if it is small enough.
func (ledger *Ledger) Record(ctx context.Context, account, key, nonce string, answer Answer) error {
	if len(answer.body) > MaxRecordedBytes {
		return nil
	}
	name := ClaimName(account, key)
	var last error
	for range maxRounds {
		shard, version, err := ledger.load(ctx, ShardOf(name))
		if err != nil {
			return err
		}
		known, ok := shard.Claim(name)
		if !ok || known.nonce != nonce {
			return errors.New("the claim is not held by this request")
		}
		if known.recorded {
			return nil
		}
		last = ledger.commit(ctx, ShardOf(name), shard.with(name, known.WithAnswer(answer), ledger.clock.Wall()-ledger.window), version)
		if last == nil || !worthReading(last) {
			return last
		}
	}
	return last
}

func verdict(known Claim, nonce string) (request.Claim, Answer) {
	if answer, ok := known.Recorded(); ok {
		return request.ClaimRecorded, answer
	}
	if known.nonce == nonce {
		return request.ClaimGranted, Answer{}
	}
	return request.ClaimTaken, Answer{}
}

// worthReading reports whether reading back settles the error.
func worthReading(err error) bool {
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		return true
	}
	var unavailable *platform.UnavailableError
	return errors.As(err, &unavailable) && unavailable.Unknown()
}
