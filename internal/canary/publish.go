package canary

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"sapphirehead/internal/clock"
)

// publish replaces what the request path uses.
func (tracker *Tracker) publish(now clock.Millis) {
	next := &trackerState{enabled: tracker.exposureShare > 0, pools: map[string]poolState{}}
	if next.enabled {
		pools := map[string]bool{}
		for key := range tracker.versions {
			pools[key.pool] = true
		}
		for pool := range tracker.orders {
			pools[pool] = true
		}
		for pool := range pools {
			if state, ok := tracker.poolState(pool, now); ok {
				next.pools[pool] = state
			}
		}
	}
	tracker.state.Store(next)
}

// poolState returns what the request path needs to know of the pool, and false if all
// servers may be used.
func (tracker *Tracker) poolState(pool string, now clock.Millis) (poolState, bool) {
	known, ok := tracker.orders[pool]
	order, serving := known.order, tracker.serving(pool)
	version := tracker.versions[poolVersion{pool, order.version}]
	state := poolState{}
	if ok && !order.withdrawn {
		state.version, state.counters = order.version, known.trial.counters
		if !order.state.IsFinal() {
			for other := range serving {
				known.trial.outgoing[other] = known.trial.outgoing[other] || other != order.version
			}
		}
		if version.halted {
			state.halted = order.version
		}
	}
	state.plan = tracker.plan(pool, serving, now)
	if !ok || order.withdrawn || version.halted || version.servers == 0 {
		return state, ok || state.plan.use != UseAny
	}
	switch {
	case order.state == StateServing && order.share >= 1:
		state.plan = Plan{use: UsePromoted, version: order.version}
	case order.state == StateServing && order.share > 0 && state.plan.use == UseOthers && !tracker.awaits(version):
		state.share = min(order.share, canaryPart*tracker.exposureShare)
		state.until = known.seenAt + order.duration
		state.canary = Plan{use: UseCanary, version: order.version, servers: canaryServers(state.share, serving, order.version), exposure: known.trial.exposure}
	}
	return state, true
}

// canaryServers returns the number of the version's servers that get about the load of
// another server each, with the share of the requests.
func canaryServers(share float64, serving map[string]versionState, version string) int {
	others := 0
	for name, state := range serving {
		if name != version {
			others += state.servers
		}
	}
	return max(1, min(int(math.Round(share*float64(others))), serving[version].servers))
}

// plan returns which versions requests may use that are not for the canary.
func (tracker *Tracker) plan(pool string, serving map[string]versionState, now clock.Millis) Plan {
	var heldBack, waiting []string
	known, ok := tracker.orders[pool]
	for _, name := range slices.Sorted(maps.Keys(serving)) {
		version, isOrdered := serving[name], ok && !known.order.withdrawn && known.order.version == name
		switch {
		case version.halted || version.retired,
			ok && known.order.state == StateSucceeded && known.trial.outgoing[name]:
			heldBack = append(heldBack, name)
		case isOrdered && known.order.state != StateSucceeded, tracker.awaits(version):
			waiting = append(waiting, name)
		}
	}
	switch {
	case len(heldBack)+len(waiting) < len(serving):
		tracker.othersAt[pool] = now
		heldBack = append(heldBack, waiting...)
	case len(waiting) > 0:
		// Of those without an order, the version with the most servers is most likely the
		// one that served before.
		tracker.othersAt[pool] = now
		servers := func(name string) int {
			if ok && name == known.order.version {
				return 0
			}
			return serving[name].servers
		}
		used := slices.MaxFunc(waiting, func(a, b string) int {
			return cmp.Or(cmp.Compare(servers(a), servers(b)), cmp.Compare(b, a))
		})
		heldBack = append(heldBack, slices.DeleteFunc(waiting, func(name string) bool { return name == used })...)
	case now-tracker.othersAt[pool] > aloneTime:
		return Plan{}
	}
	if _, listed := serving[known.order.version]; ok && !listed && len(serving) > 0 && !known.order.withdrawn && known.order.state != StateSucceeded {
		// Its servers may be in use before the next list was observed.
		heldBack = append(heldBack, known.order.version)
	}
	if len(heldBack) == 0 {
		return Plan{}
	}
	return Plan{use: UseOthers, heldBack: heldBack}
}
