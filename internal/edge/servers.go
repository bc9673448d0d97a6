package edge

import (
	"context"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/platform"
	"sapphirehead/internal/release"
	"sapphirehead/platform/store"
)

const (
	// minBatchDelay is the wait after changes to the server list before the next
	// watch, so that changes in quick succession cost one call.
	minBatchDelay = 150 * clock.Millisecond
	// batchDelayPerNode times the number of nodes is the wait of nodes that are no
	// designated watchers and don't hold the lease, as each of them calls the store. It
	// is at most maxBatchDelayShare of the drain bound: designated watchers tell the
	// others what leaves.
	batchDelayPerNode  = 25 * clock.Millisecond
	maxBatchDelayShare = 0.75
	// discoveryTime is the time after the start in which a node comes to know its peers,
	// and startBatchDelay the wait meanwhile: when all nodes start together with their
	// servers, the list changes all the time.
	discoveryTime   = 4 * clock.Second
	startBatchDelay = 1 * clock.Second
	// designatedWatchers is the number of nodes that use the shortest wait and
	// report leaving servers to their peers. With three, one remains after two
	// have died.
	designatedWatchers = 3
)

// lapseGraceShare is the share of the drain bound for which entries that lapsed
// during an outage are kept after it. The platform promises to restore them
// within about two seconds, and a server whose entry is still missing after the
// bound must get no requests.
const lapseGraceShare = 0.9

// followServers keeps the fleet up to date.
func (edge *Edge) followServers(ctx context.Context) {
	bound := edge.settings.Load().Bounds().Drain()
	registry := backend.NewRegistry(clock.Millis(lapseGraceShare * float64(bound)))
	decode := func(object store.Object) (backend.Entry, bool) {
		entry, err := store.DecodeServer(object)
		if err != nil {
			edge.log.Warn().Err(err).Str("backendServer", object.Name()).Msg("backend server entry ignored")
			return entry, false
		}
		return entry, true
	}
	edge.follow(ctx, watchHandler{
		kind: store.KindServers,
		onList: func(listing store.Listing) {
			var entries []backend.Entry
			for _, object := range listing.Objects() {
				if entry, ok := decode(object); ok {
					entries = append(entries, entry)
				}
			}
			registry.Replace(entries, listing.AsOf(), edge.clock.Now())
		},
		onChange: func(change store.Change) {
			object := change.Object()
			entry, ok := backend.Entry{}, false
			if !change.Deleted() {
				entry, ok = decode(object)
			}
			if ok {
				registry.Set(entry, edge.clock.Now())
				// Its removal may be among the same changes.
				edge.releases.Observe([]*backend.Server{entry.Server()}, release.Listed, edge.clock.Now())
			} else {
				registry.Remove(object.Name(), object.Version(), edge.clock.Now())
			}
		},
		onSynced: func() { edge.publishServers(registry) },
		onRead: func(began clock.Millis) {
			for _, server := range edge.fleet.Current().Servers() {
				server.Confirm(began)
			}
			edge.listReads.record(began)
		},
		watchWait: func() clock.Millis {
			wait := platform.WatchWait(edge.settings.Load().Bounds().Drain(), edge.isDesignatedWatcher(), edge.nodes())
			if end, ok := registry.GraceEnd(); ok {
				return max(clock.Millisecond, min(wait, end-edge.clock.Now()))
			}
			return wait
		},
		batchDelay: edge.batchDelay,
		wakeUp:     &edge.wakeUps.servers, otherWakeUps: []*wakeUp{&edge.wakeUps.configuration, &edge.wakeUps.rollouts},
		onFailure: func(error) {
			registry.SetUnavailable()
			edge.listService.fail(edge.listReads.latest.Load().began)
			edge.serversUnavailable.Store(true)
		},
		onSuccess: func() {
			now := edge.clock.Now()
			registry.SetAvailable(now)
			if edge.listService.succeed(edge.maxListGap(), now) {
				registry.EndGrace(now)
			}
			edge.serversUnavailable.Store(false)
		},
	})
}

// batchDelay returns how long this node waits after changes to the server list. The
// lease holder orders servers by the list.
func (edge *Edge) batchDelay() clock.Millis {
	_, holds := edge.leaderTasks.lease.Holding()
	switch {
	case holds:
		return minBatchDelay
	case edge.clock.Now()-edge.meters.start < discoveryTime:
		return startBatchDelay
	case edge.isDesignatedWatcher():
		return minBatchDelay
	}
	longest := clock.Millis(maxBatchDelayShare * float64(edge.settings.Load().Bounds().Drain()))
	return max(minBatchDelay, min(batchDelayPerNode*clock.Millis(edge.nodes()), longest))
}

// isDesignatedWatcher reports whether this node watches the store with the shortest
// waits and reports leaving servers to its peers. A node without live peers relies on
// its own watches.
func (edge *Edge) isDesignatedWatcher() bool {
	now := edge.clock.Now()
	return edge.peers.states.View().LiveCount(now) == 1 || edge.candidacyFor("scouts", now).Rank() < designatedWatchers
}

// publishServers updates the fleet from the registry and logs the differences.
func (edge *Edge) publishServers(registry *backend.Registry) {
	now := edge.clock.Now()
	setTime(&edge.storeResponses.servers, now)
	before := edge.fleet.Current()
	list := registry.List(now)
	// A version that is new to its pool is held back before requests can use it.
	edge.observeVersions(list)
	leaving := edge.fleet.Update(list)
	if len(leaving) > 0 && edge.isDesignatedWatcher() {
		signal(edge.peers.urgent)
	}
	for _, id := range leaving {
		server := edge.fleet.Current().Server(id)
		edge.log.Info().Str("backendServer", id).Int64("endsAtMillis", int64(server.EndsAt())).Int64("nowMillis", int64(now)).
			Msg("backend server leaves")
	}
	edge.observeReleases()
	after := edge.fleet.Current()
	for _, server := range after.Servers() {
		if previous := before.Server(server.ID()); previous == nil || previous.Key() != server.Key() || previous.Software() != server.Software() {
			server.Circuit().Start(now)
			edge.log.Info().Str("backendServer", server.ID()).Str("pool", server.Pool()).Str("dataCentre", server.DataCentre()).
				Bool("reclaimable", server.Reclaimable()).Str("softwareVersion", server.Software()).Msg("backend server listed")
		}
	}
	for _, server := range before.Servers() {
		if after.Server(server.ID()) == nil {
			edge.log.Info().Str("backendServer", server.ID()).Msg("backend server gone from the list")
		}
	}
}

// sweepInterval is the time between two sweeps of idle connections.
const sweepInterval = 2 * clock.Second

// sweep periodically closes connections that are no longer needed, and records the queued
// latencies and the releases that still serve.
func (edge *Edge) sweep(ctx context.Context) {
	for edge.clock.Wait(ctx, sweepInterval) == nil {
		live := map[string]bool{}
		for _, server := range edge.fleet.Current().Servers() {
			live[server.Key()] = !server.Leaving()
		}
		edge.links.Sweep(func(key string) bool { return live[key] })
		edge.counters.latency.flush()
		edge.observeReleases()
	}
}
