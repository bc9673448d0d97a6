// Package caller decides about callers: which client account a key belongs to,
// and whether a request is admitted.
package caller

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
	"strings"
	"sync/atomic"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/request"
	"sapphirehead/internal/route"
)

// Account is one client account.
type Account struct {
	name        string
	inFlight    *atomic.Int64
	maxInFlight int
	usage       *usage
	rank        int
	hasRank     bool
	allotment   Allotment
}

// NewAccount returns a client account that may have maxInFlight requests in flight
// at this node, or any number if maxInFlight is 0.
func NewAccount(name string, maxInFlight int) *Account {
	return &Account{name: name, inFlight: &atomic.Int64{}, maxInFlight: maxInFlight, usage: &usage{}}
}

// WithRank returns a copy whose requests have the rank instead of their routes'
// ranks; 0 is the most urgent.
func (account *Account) WithRank(rank int) *Account {
	changed := *account
	changed.rank, changed.hasRank = rank, true
	return &changed
}

// WithAllotment returns a copy with the allotment.
func (account *Account) WithAllotment(allotment Allotment) *Account {
	changed := *account
	changed.allotment = allotment
	return &changed
}

// RankOn returns the rank of the account's requests on the route.
func (account *Account) RankOn(routeConfig route.Route) int {
	if account.hasRank {
		return account.rank
	}
	return routeConfig.Rank()
}

// Allotment returns the limit on the account's tokens over all nodes.
func (account *Account) Allotment() Allotment { return account.allotment }

// Name returns the name of the account.
func (account *Account) Name() string { return account.name }

// InFlight returns the number of the account's requests in progress at this node.
func (account *Account) InFlight() int64 { return account.inFlight.Load() }

// Accounts finds client accounts by their keys. Only hashes of keys are kept.
type Accounts struct {
	byHash map[string]*Account
}

// NewAccounts returns the accounts by the hash of their keys.
func NewAccounts(byHash map[string]*Account) *Accounts { return &Accounts{byHash: byHash} }

// All returns every account once, in order of name, also if it has several keys.
func (accounts *Accounts) All() []*Account {
	all := slices.Collect(maps.Values(accounts.byHash))
	slices.SortFunc(all, func(a, b *Account) int { return strings.Compare(a.name, b.name) })
	return slices.Compact(all)
}

// HashKey returns the SHA-256 hash of a key in hexadecimal, in which form keys are
// stored.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// ByKey returns the account of the key.
func (accounts *Accounts) ByKey(key string) (*Account, bool) {
	account, ok := accounts.byHash[HashKey(key)]
	return account, ok
}

// overLimitRetryAfter is the Retry-After of requests refused because of a limit on
// requests in flight or because the node is stopping.
const overLimitRetryAfter = 1 * clock.Second

// Admission decides which requests this node accepts. Its counters are
// atomics; it may be used from any goroutine.
type Admission struct {
	maxInFlight int64
	inFlight    atomic.Int64
	closed      atomic.Bool
}

// NewAdmission returns an admission with a limit on the node's requests in flight.
func NewAdmission(maxInFlight int64) *Admission { return &Admission{maxInFlight: maxInFlight} }

// Close makes all later calls of Admit refuse. Once InFlight has returned 0 after it, no
// request is in progress nor will be.
func (admission *Admission) Close() { admission.closed.Store(true) }

// InFlight returns the number of admitted requests in progress.
func (admission *Admission) InFlight() int64 { return admission.inFlight.Load() }

// Admit admits a request of the account and returns the function to call when it
// has ended, or a *request.NotRunError.
func (admission *Admission) Admit(account *Account) (release func(), err error) {
	inFlight := admission.inFlight.Add(1)
	// The counter goes before the check, so that after Close no request is admitted once
	// InFlight has returned 0.
	if admission.closed.Load() {
		admission.inFlight.Add(-1)
		return nil, request.NewNotRunError("this entry host is stopping", overLimitRetryAfter)
	}
	if inFlight > admission.maxInFlight {
		admission.inFlight.Add(-1)
		return nil, request.NewNotRunError("this entry host has no room", overLimitRetryAfter)
	}
	if account.inFlight.Add(1) > int64(account.maxInFlight) && account.maxInFlight > 0 {
		account.inFlight.Add(-1)
		admission.inFlight.Add(-1)
		return nil, request.NewOverLimitError("the client account has too many requests in flight", overLimitRetryAfter)
	}
	var released atomic.Bool
	return func() {
		if !released.Swap(true) {
			account.inFlight.Add(-1)
			admission.inFlight.Add(-1)
		}
	}, nil
}
