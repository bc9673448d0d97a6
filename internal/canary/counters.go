package canary

import (
	"maps"
	"slices"
	"sync/atomic"
)

const (
	// maxRoutes bounds the routes that are counted separately, and otherRoute has the
	// answers of the others.
	maxRoutes  = 64
	otherRoute = "other"
)

// counter counts the answers of some versions on a route.
type counter struct {
	answers, failed, slow, crashes atomic.Int64
}

func (counter *counter) record(answer Answer, slow bool) {
	counter.answers.Add(1)
	switch {
	case answer.outcome == OutcomeFailed:
		counter.failed.Add(1)
	case answer.outcome == OutcomeCrashed:
		counter.crashes.Add(crashUnit / int64(answer.lost))
	case slow, answer.outcome == OutcomeOverdue:
		counter.slow.Add(1)
	}
}

// count returns the counts. The answers are read last, so that there are never more bad
// ones than answers.
func (counter *counter) count() Count {
	count := Count{failed: counter.failed.Load(), slow: counter.slow.Load(), crashes: counter.crashes.Load()}
	count.answers = counter.answers.Load()
	return count
}

// routeCounters has the answers of the ordered version and of the others on a route.
type routeCounters struct {
	candidate, baseline counter
	// sent is the number of canary requests.
	sent atomic.Int64
}

// counters has the answers of one node in one run of an order. The map is replaced when a
// route is added.
type counters struct {
	byRoute atomic.Pointer[map[string]*routeCounters]
}

func newCounters() *counters {
	counters := &counters{}
	counters.byRoute.Store(&map[string]*routeCounters{})
	return counters
}

func (counters *counters) route(name string) *routeCounters {
	for {
		current := counters.byRoute.Load()
		if known, ok := (*current)[name]; ok {
			return known
		}
		if len(*current) >= maxRoutes && name != otherRoute {
			name = otherRoute
			continue
		}
		next := maps.Clone(*current)
		next[name] = &routeCounters{}
		if counters.byRoute.CompareAndSwap(current, &next) {
			return next[name]
		}
	}
}

// hasItsPart reports whether the route has had more than its part of the canary requests,
// where all routes have the same: a fault may show on a route with few requests only.
func (counters *counters) hasItsPart(route *routeCounters, sent int64) bool {
	return route.sent.Load()*int64(len(*counters.byRoute.Load())) > sent
}

// sums returns the counts by route, in the order of routes.
func (counters *counters) sums() []Sum {
	byRoute := *counters.byRoute.Load()
	sums := make([]Sum, 0, len(byRoute))
	for _, name := range slices.Sorted(maps.Keys(byRoute)) {
		route := byRoute[name]
		sums = append(sums, NewSum(name, route.candidate.count(), route.baseline.count()))
	}
	return sums
}
