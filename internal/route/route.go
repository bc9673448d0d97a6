// Package route holds the configuration of one route: the kind of its requests,
// the worth of a response, the latency targets, and the name of the pool that
// serves it.
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

// Kind is the protocol of a route.
type Kind int

// The kinds of route.
const (
	// KindChat routes are selected by model and served by model runners.
	KindChat Kind = iota + 1
	// KindService routes are selected by path and served by application services.
	KindService
)

// Names of kinds in tables and messages.
const (
	kindNameChat    = "chat"
	kindNameService = "service"
)

// String returns the name of the kind in the tables.
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

// Route is the configuration of one route.
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

// Name returns the name of the route.
func (route Route) Name() string { return route.name }

// Kind returns the kind of request that the route carries.
func (route Route) Kind() Kind { return route.kind }

// Pool returns the name of the pool that serves the route.
func (route Route) Pool() string { return route.pool }

// Model returns the model name by which callers select a chat route.
func (route Route) Model() string { return route.model }

// Path returns the path prefix by which callers select a service route.
func (route Route) Path() string { return route.path }

// Worth returns the value of one timely response, in the operator's unit.
func (route Route) Worth() float64 { return route.worth }

// FirstToken returns the target for the time to the first token or to the
// service's response.
func (route Route) FirstToken() clock.Millis { return route.firstToken }

// BetweenTokens returns the target for the gap between two tokens.
func (route Route) BetweenTokens() clock.Millis { return route.betweenTokens }

// Deadline returns the time from a request's arrival after which a complete
// response has no worth.
func (route Route) Deadline() clock.Millis { return route.deadline }

// NonIdempotent reports whether requests have side effects and must run at
// most once.
func (route Route) NonIdempotent() bool { return route.nonIdempotent }

// MaxInFlight returns the limit on requests of one client account in flight on the
// route over all entry hosts, or 0 for none.
func (route Route) MaxInFlight() int { return route.maxInFlight }

// RatePerSecond returns the limit on requests of one client account per second on
// the route over all entry hosts, or 0 for none.
func (route Route) RatePerSecond() float64 { return route.ratePerSecond }

// Equal reports whether both routes have the same configuration, apart from the
// revision.
func (route Route) Equal(other Route) bool {
	return reflect.DeepEqual(route.WithRevision(0), other.WithRevision(0))
}

// Revision returns the version of the tables that last changed the route.
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

// WithLimits returns a copy with limits for each client account; 0 means none.
func (route Route) WithLimits(maxInFlight int, ratePerSecond float64) Route {
	route.maxInFlight = maxInFlight
	route.ratePerSecond = ratePerSecond
	return route
}

// WithRevision returns a copy last changed by the given version of the tables.
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

// PickPool returns the pool for a request, chosen in proportion to the weights by a
// random draw from 0 up to, but not including, 1. It returns an empty name if all
// weights are 0.
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

// Streaming reports whether responses are streams of events.
func (route Route) Streaming() bool { return route.kind == KindChat }

// Resumable reports whether a stream may be resumed at another backend server
// after its last event.
func (route Route) Resumable() bool { return route.resumable }

// Repeatable reports whether a request may run more than once.
func (route Route) Repeatable() bool { return route.resumable || !route.nonIdempotent }

// Public reports whether requests need no key.
func (route Route) Public() bool { return route.public }

// MaxAttempts returns the limit on runs of one request at backend servers. Sends
// that a server refused to run don't count.
func (route Route) MaxAttempts() int { return route.maxAttempts }

// Rank returns the rank of requests; 0 is the most urgent.
func (route Route) Rank() int { return route.rank }

// WithHost returns a copy with the host name by which callers select it.
func (route Route) WithHost(host string) Route {
	route.host = host
	return route
}

// WithShares returns a copy that is split over pools.
func (route Route) WithShares(shares []Share) Route {
	route.shares = shares
	return route
}

// WithResumable returns a copy that states whether streams may be resumed at
// another backend server.
func (route Route) WithResumable(resumable bool) Route {
	route.resumable = resumable
	return route
}

// WithPublic returns a copy that states whether requests need no key.
func (route Route) WithPublic(public bool) Route {
	route.public = public
	return route
}

// WithMaxAttempts returns a copy with the limit on attempts, at least 1.
func (route Route) WithMaxAttempts(attempts int) Route {
	route.maxAttempts = max(attempts, 1)
	return route
}

// WithRank returns a copy with the rank; 0 is the most urgent.
func (route Route) WithRank(rank int) Route {
	route.rank = rank
	return route
}
