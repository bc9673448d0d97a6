// Package route describes one row of the table of routes: the kind of request
// that the row carries, what an answer is worth, its latency target, and the
// name of the pool that serves it.
//
// A route is an immutable value. Each With method returns a changed copy:
//
//	desk := route.New("desk", route.KindChat, "runners").
//		WithModel("desk-small").WithWorth(5)
package route

import "sapphirehead/internal/clock"

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
}

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
