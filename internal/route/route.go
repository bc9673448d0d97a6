// Package route describes one row of the table of routes: the kind of request
// that the row carries, what an answer is worth, its latency target, and the
// name of the pool that serves it.
//
// A route is an immutable value. Each With method returns a changed copy:
//
//	desk := route.New("desk", route.KindChat, "runners").
//		WithModel("desk-small").WithWorth(5)
package route

import (
	"reflect"

	"sapphirehead/internal/clock"
)

// Kind tells which protocol a route speaks.
type Kind int

// The kinds of route.
const (
	// KindChat routes are chosen by model and answered by model runners.
	KindChat Kind = iota + 1
	// KindService routes are chosen by path and answered by application services.
	KindService
)

// Names of kinds in tables and messages.
const (
	kindNameChat    = "chat"
	kindNameService = "service"
)

// String returns the name of the kind as the tables write it.
func (kind Kind) String() string {
	switch kind {
	case KindChat:
		return kindNameChat
	case KindService:
		return kindNameService
	default:
		return "unknown"
	}
}

// ParseKind returns the kind with the given name, and false if there is none.
func ParseKind(name string) (Kind, bool) {
	switch name {
	case kindNameChat:
		return KindChat, true
	case kindNameService:
		return KindService, true
	default:
		return 0, false
	}
}

// Defaults of a new route.
const (
	DefaultFirstToken    = 1900 * clock.Millisecond
	DefaultBetweenTokens = 52 * clock.Millisecond
	DefaultDeadline      = 60 * clock.Second
	DefaultWorth         = 1.0
)

// Route is one row of the table of routes.
type Route struct {
	name          string
	kind          Kind
	pool          string
	model         string
	path          string
	worth         float64
	firstToken    clock.Millis
	betweenTokens clock.Millis
	deadline      clock.Millis
	nonIdempotent bool
	maxInFlight   int
	ratePerSecond float64
	revision      int64
	host          string
	shares        []Share
	resumable     bool
	public        bool
	maxAttempts   int
	rank          int
}

// Share is one pool of a route that is split over several.
type Share struct {
	pool   string
	weight int
}

// NewShare returns a share of the weight, relative to the others of its route.
func NewShare(pool string, weight int) Share { return Share{pool: pool, weight: weight} }

// Pool returns the name of the pool.
func (share Share) Pool() string { return share.pool }

// Weight returns the weight, relative to the other shares of the route.
func (share Share) Weight() int { return share.weight }

// New returns a route with default worth and targets.
func New(name string, kind Kind, pool string) Route {
	return Route{
		name:          name,
		kind:          kind,
		pool:          pool,
		worth:         DefaultWorth,
		firstToken:    DefaultFirstToken,
		betweenTokens: DefaultBetweenTokens,
		deadline:      DefaultDeadline,
		maxAttempts:   1,
	}
}

// Name returns the name of the row.
func (route Route) Name() string { return route.name }

// Kind returns the kind of request that the route carries.
func (route Route) Kind() Kind { return route.kind }

// Pool returns the name of the pool that serves the route.
func (route Route) Pool() string { return route.pool }

// Model returns the model name by which callers select a chat route.
func (route Route) Model() string { return route.model }

// Path returns the path prefix by which callers select a service route.
func (route Route) Path() string { return route.path }

// Worth returns the value of one answer in time, in the operator's unit.
func (route Route) Worth() float64 { return route.worth }

// FirstToken returns the target for the first token or the service's answer.
func (route Route) FirstToken() clock.Millis { return route.firstToken }

// BetweenTokens returns the target for the gap between two tokens.
func (route Route) BetweenTokens() clock.Millis { return route.betweenTokens }

// Deadline returns the time after which a whole answer is worthless.
func (route Route) Deadline() clock.Millis { return route.deadline }

// NonIdempotent reports whether requests have side effects and must run at
// most once.
func (route Route) NonIdempotent() bool { return route.nonIdempotent }

// MaxInFlight returns how many requests of one client account may be in flight
// on the route over all entry hosts, or 0 for any number.
func (route Route) MaxInFlight() int { return route.maxInFlight }

// RatePerSecond returns how many requests of one client account are taken on
// the route each second over all entry hosts, or 0 for any number.
func (route Route) RatePerSecond() float64 { return route.ratePerSecond }

// Equal reports whether both rows say the same, leaving the revision aside.
func (route Route) Equal(other Route) bool {
	return reflect.DeepEqual(route.WithRevision(0), other.WithRevision(0))
}

// Revision returns the version of the tables that last changed the row.
func (route Route) Revision() int64 { return route.revision }

// WithModel returns a copy with the given model name.
func (route Route) WithModel(model string) Route {
	route.model = model
	return route
}

// WithPath returns a copy with the given path prefix.
func (route Route) WithPath(path string) Route {
	route.path = path
	return route
}

// WithWorth returns a copy with the given worth.
func (route Route) WithWorth(worth float64) Route {
	route.worth = worth
	return route
}

// WithTargets returns a copy with the given latency targets and deadline.
func (route Route) WithTargets(firstToken, betweenTokens, deadline clock.Millis) Route {
	route.firstToken = firstToken
	route.betweenTokens = betweenTokens
	route.deadline = deadline
	return route
}

// WithNonIdempotent returns a copy marked as idempotent or not.
func (route Route) WithNonIdempotent(nonIdempotent bool) Route {
	route.nonIdempotent = nonIdempotent
	return route
}

// WithLimits returns a copy with limits for each client account; 0 is none.
func (route Route) WithLimits(maxInFlight int, ratePerSecond float64) Route {
	route.maxInFlight = maxInFlight
	route.ratePerSecond = ratePerSecond
	return route
}

// WithRevision returns a copy that was last changed at the given version.
func (route Route) WithRevision(revision int64) Route {
	route.revision = revision
	return route
}

// Host returns the host name by which callers select the route, or empty for
// any.
func (route Route) Host() string { return route.host }

// Shares returns the pools of a route that is split, or nil if Pool serves it
// alone. Callers must not change the slice.
func (route Route) Shares() []Share { return route.shares }

// PickPool returns the pool for a request whose draw is at least 0 and below 1.
// Shares follow their weights; a route with weights of 0 alone has no pool.
func (route Route) PickPool(draw float64) string {
	if len(route.shares) == 0 {
		return route.pool
	}
	total := 0
	for _, share := range route.shares {
		total += share.weight
	}
	point := draw * float64(total)
	for _, share := range route.shares {
		if point < float64(share.weight) {
			return share.pool
		}
		point -= float64(share.weight)
	}
	return ""
}

// Streaming reports whether answers are streams of events.
func (route Route) Streaming() bool { return route.kind == KindChat }

// Resumable reports whether a stream may go on at another backend server from
// its last event.
func (route Route) Resumable() bool { return route.resumable }

// Repeatable reports whether a request may run more than once.
func (route Route) Repeatable() bool { return route.resumable || !route.nonIdempotent }

// Public reports whether requests need no key.
func (route Route) Public() bool { return route.public }

// MaxAttempts returns at how many backend servers one request may run.
func (route Route) MaxAttempts() int { return route.maxAttempts }

// Rank returns the urgency of requests; 0 is the most urgent.
func (route Route) Rank() int { return route.rank }

// WithHost returns a copy that is selected by the host name too.
func (route Route) WithHost(host string) Route {
	route.host = host
	return route
}

// WithShares returns a copy that is split over pools.
func (route Route) WithShares(shares []Share) Route {
	route.shares = shares
	return route
}

// WithResumable returns a copy whose streams may be resumed or not.
func (route Route) WithResumable(resumable bool) Route {
	route.resumable = resumable
	return route
}

// WithPublic returns a copy whose requests need no key, or do.
func (route Route) WithPublic(public bool) Route {
	route.public = public
	return route
}

// WithMaxAttempts returns a copy with the bound on attempts, 1 at least.
func (route Route) WithMaxAttempts(attempts int) Route {
	route.maxAttempts = max(attempts, 1)
	return route
}

// WithRank returns a copy with the urgency; 0 is the most urgent.
func (route Route) WithRank(rank int) Route {
	route.rank = rank
	return route
}
