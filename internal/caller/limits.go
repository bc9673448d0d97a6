package caller

import (
	"maps"
	"sync/atomic"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/request"
	"sapphirehead/internal/route"
)

// The limits of a route hold for each client account over all entry hosts without
// a call to the platform: each of N live nodes enforces 1/N of the limit, but for
// maxInFlight at least one request. The balancer spreads an account's requests
// evenly, so little of a limit is left unused.
//
//	maxInFlight 30, ratePerSecond 70, 7 nodes -> 4 in flight, 10 per second at each
//
// Rates are enforced by GCRA: the state is the theoretical arrival time of the
// account's next request, so it needs one atomic and no timer.

// maxBurstMillis is the time by which an account may be ahead of its rate.
const maxBurstMillis = 1000

type limitKey struct {
	account string
	route   string
}

// limitUsage is the usage of a route by an account at this node.
type limitUsage struct {
	inFlight atomic.Int64
	// due is the theoretical arrival time in microseconds.
	due atomic.Int64
}

// Limits counts the usage of routes by accounts. It may be used from any
// goroutine.
type Limits struct {
	clock   *clock.Clock
	nodes   func() int
	entries atomic.Pointer[map[limitKey]*limitUsage]
}

// NewLimits returns the limits of one node. The function nodes returns the number
// of live nodes.
func NewLimits(clock *clock.Clock, nodes func() int) *Limits {
	limits := &Limits{clock: clock, nodes: nodes}
	limits.entries.Store(&map[limitKey]*limitUsage{})
	return limits
}

// Admit counts a request of the account on the route. It returns the function
// to call when the request has ended, or a *request.NotRunError.
func (limits *Limits) Admit(account *Account, routeConfig route.Route) (release func(), err error) {
	if routeConfig.MaxInFlight() == 0 && routeConfig.RatePerSecond() == 0 {
		return func() {}, nil
	}
	usage, nodes := limits.entry(limitKey{account: account.Name(), route: routeConfig.Name()}), max(limits.nodes(), 1)
	if nodeLimit := nodeShare(routeConfig.MaxInFlight(), nodes); nodeLimit > 0 && usage.inFlight.Add(1) > nodeLimit {
		usage.inFlight.Add(-1)
		return nil, request.NewOverLimitError("the client account has too many requests of this route in flight", overLimitRetryAfter)
	} else if nodeLimit == 0 {
		usage.inFlight.Add(1)
	}
	if wait := limits.reserveRate(usage, routeConfig.RatePerSecond(), nodes); wait > 0 {
		usage.inFlight.Add(-1)
		return nil, request.NewOverLimitError("the client account sends requests of this route too fast", wait)
	}
	var released atomic.Bool
	return func() {
		if !released.Swap(true) {
			usage.inFlight.Add(-1)
		}
	}, nil
}

func nodeShare(limit, nodes int) int64 {
	if limit == 0 {
		return 0
	}
	return int64(max(limit/nodes, 1))
}

// reserveRate advances the theoretical arrival time by one request and returns 0,
// or returns the time to wait.
func (limits *Limits) reserveRate(usage *limitUsage, perSecond float64, nodes int) clock.Millis {
	if perSecond == 0 {
		return 0
	}
	const microsPerSecond = 1_000_000
	cost := int64(microsPerSecond * float64(nodes) / perSecond)
	burst := max(maxBurstMillis*microsPerSecond/1000, cost)
	now := int64(limits.clock.Now()) * microsPerSecond / 1000
	for {
		previous := usage.due.Load()
		due := max(previous, now) + cost
		if due-now > burst {
			return max(clock.Millis((due-now-burst)*1000/microsPerSecond), 1)
		}
		if usage.due.CompareAndSwap(previous, due) {
			return 0
		}
	}
}

// entry returns the usage of the route by the account. The map is copied for each
// new pair of account and route, of which there are few.
func (limits *Limits) entry(key limitKey) *limitUsage {
	for {
		current := limits.entries.Load()
		if usage := (*current)[key]; usage != nil {
			return usage
		}
		changed := maps.Clone(*current)
		changed[key] = &limitUsage{}
		if limits.entries.CompareAndSwap(current, &changed) {
			return changed[key]
		}
	}
}
