package edge

import (
	"context"
	"expvar"
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/canary"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/node"
	"sapphirehead/internal/platform"
	"sapphirehead/internal/settings"
	"sapphirehead/platform/store"
)

const (
	// rolloutInterval is the time between two rounds of a node's own part in rollouts, and
	// of the lease holder's.
	rolloutInterval = 50 * clock.Millisecond
	// maxLostAnswers bounds the lost answers that wait for the list of servers to show
	// whether their server crashed. Those beyond it are no evidence.
	maxLostAnswers = 1024
)

// rollouts is the node's part in the rollouts of software versions. It is idle while the
// settings allow no exposure.
type rollouts struct {
	tracker *canary.Tracker
	objects *rolloutObjects
	task    *rolloutTask
	// unsettled counts the requests in progress that servers of any version may get.
	unsettled sync.Map // Pool to *atomic.Int64.
	lost      chan lostAnswer
	// latest has the latest decision on each pool while this node holds the lease.
	latest sync.Map // Pool to canary.Decision.
	// readAt is when the latest read of all orders began, and awaitedAt when a version was
	// listed that might have an order that was not read yet.
	readAt    atomic.Int64
	awaitedAt atomic.Int64
	// canaryRequests and the other counters are metrics.
	canaryRequests *expvar.Int
	halts          *expvar.Int
	statusWrites   *expvar.Int
}

func newRollouts(loaded *settings.Edge, counters *counters) *rollouts {
	rollouts := &rollouts{
		tracker: canary.NewTracker(loaded.Bounds().ExposureShare()), objects: newRolloutObjects(), task: &rolloutTask{},
		lost: make(chan lostAnswer, maxLostAnswers), canaryRequests: new(expvar.Int), halts: new(expvar.Int), statusWrites: new(expvar.Int),
	}
	counters.values.Set("canaryRequests", rollouts.canaryRequests)
	counters.values.Set("rolloutHalts", rollouts.halts)
	counters.values.Set("rolloutStatusWrites", rollouts.statusWrites)
	counters.values.Set("rolloutsActive", expvar.Func(func() any { return rollouts.active() }))
	return rollouts
}

// active returns the number of orders that are neither final nor withdrawn.
func (rollouts *rollouts) active() int {
	count := 0
	for _, order := range rollouts.tracker.Orders() {
		if !order.State().IsFinal() && !order.Withdrawn() {
			count++
		}
	}
	return count
}

// unsettledIn returns the counter of the pool's requests in progress that servers of any
// version may get.
func (rollouts *rollouts) unsettledIn(pool string) *atomic.Int64 {
	if counter, ok := rollouts.unsettled.Load(pool); ok {
		return counter.(*atomic.Int64)
	}
	counter, _ := rollouts.unsettled.LoadOrStore(pool, new(atomic.Int64))
	return counter.(*atomic.Int64)
}

// decisions returns the latest decision on each pool, if this node holds the lease.
func (rollouts *rollouts) decisions() map[string]canary.Decision {
	decisions := map[string]canary.Decision{}
	rollouts.latest.Range(func(pool, decision any) bool {
		decisions[pool.(string)] = decision.(canary.Decision)
		return true
	})
	return decisions
}

// hasRollouts reports whether the settings turn rollouts on.
func (edge *Edge) hasRollouts() bool { return edge.settings.Load().Bounds().ExposureShare() > 0 }

// awaitRollouts waits until the settings turn rollouts on, and reports whether they do
// before the context ends.
func (edge *Edge) awaitRollouts(ctx context.Context) bool {
	for !edge.hasRollouts() {
		if edge.clock.Wait(ctx, settingsInterval) != nil {
			return false
		}
	}
	return true
}

// rolloutObjects holds the objects of the kind rollouts as last read. Its mutex is not used
// on the request path.
type rolloutObjects struct {
	mutex  sync.Mutex
	byName map[string]store.Object
	// refused has the versions of objects that were logged as unusable.
	refused map[string]int64
	// asOf is when the latest read of all objects began.
	asOf clock.Millis
}

func newRolloutObjects() *rolloutObjects {
	return &rolloutObjects{byName: map[string]store.Object{}, refused: map[string]int64{}}
}

// replace sets the complete list of objects.
func (objects *rolloutObjects) replace(list []store.Object) {
	objects.mutex.Lock()
	defer objects.mutex.Unlock()
	objects.byName = map[string]store.Object{}
	for _, object := range list {
		objects.byName[object.Name()] = object
	}
}

// set applies one object unless a later version of it is known.
func (objects *rolloutObjects) set(object store.Object, deleted bool) {
	objects.mutex.Lock()
	defer objects.mutex.Unlock()
	known, ok := objects.byName[object.Name()]
	switch {
	case ok && known.Version() > object.Version():
	case deleted:
		delete(objects.byName, object.Name())
	default:
		objects.byName[object.Name()] = object
	}
}

// remove removes the object that the store doesn't have.
func (objects *rolloutObjects) remove(name string) {
	objects.mutex.Lock()
	defer objects.mutex.Unlock()
	delete(objects.byName, name)
}

// forPool returns the object with the order for the pool, or the name that it would have.
func (objects *rolloutObjects) forPool(pool string) (object store.Object, name string) {
	objects.mutex.Lock()
	defer objects.mutex.Unlock()
	if object, ok := objects.byName[pool]; ok {
		return object, pool
	}
	for _, name := range slices.Sorted(maps.Keys(objects.byName)) {
		if order, err := store.DecodeRollout(objects.byName[name]); err == nil && order.Pool() == pool {
			return objects.byName[name], name
		}
	}
	return store.Object{}, pool
}

// observeOrders applies the orders as last read. The time is when the latest read of all
// began, or 0 if only one was read.
func (edge *Edge) observeOrders(began clock.Millis) {
	objects := edge.rollouts.objects
	objects.mutex.Lock()
	defer objects.mutex.Unlock()
	objects.asOf = max(objects.asOf, began)
	setTime(&edge.rollouts.readAt, objects.asOf)
	byPool := map[string]canary.Order{}
	refuse := func(object store.Object, reason string) {
		if objects.refused[object.Name()] != object.Version() {
			objects.refused[object.Name()] = object.Version()
			edge.log.Warn().Str("rollout", object.Name()).Str("version", platform.FormatVersion(object.Version())).Str("reason", reason).
				Msg("order of a rollout ignored")
		}
	}
	for _, name := range slices.Sorted(maps.Keys(objects.byName)) {
		object := objects.byName[name]
		order, err := store.DecodeRollout(object)
		if err != nil {
			refuse(object, err.Error())
			continue
		}
		// An object that is named after its service comes first.
		if _, taken := byPool[order.Pool()]; taken && name != order.Pool() {
			refuse(object, "another object orders a rollout of the same service")
			continue
		}
		byPool[order.Pool()] = order
	}
	edge.rollouts.tracker.Observe(slices.Collect(maps.Values(byPool)), objects.asOf, edge.clock.Now())
}

// followRollouts keeps the orders of rollouts up to date.
func (edge *Edge) followRollouts(ctx context.Context) {
	if !edge.awaitRollouts(ctx) {
		return
	}
	objects := edge.rollouts.objects
	edge.follow(ctx, watchHandler{
		kind:     store.KindRollouts,
		onList:   func(listing store.Listing) { objects.replace(listing.Objects()) },
		onChange: func(change store.Change) { objects.set(change.Object(), change.Deleted()) },
		onSynced: func() {},
		onRead:   edge.observeOrders,
		wakeUp:   &edge.wakeUps.rollouts, otherWakeUps: []*wakeUp{&edge.wakeUps.configuration, &edge.wakeUps.servers},
		watchWait: func() clock.Millis {
			bounds := edge.settings.Load().Bounds()
			return platform.WatchWait(min(bounds.Configuration(), max(bounds.Rollback(), minRolloutBound)), edge.isDesignatedWatcher(), edge.nodes())
		},
		onFailure: func(error) {},
		onSuccess: func() {},
	})
}

// minRolloutBound is the least bound that the watches of rollouts keep: nodes also learn of
// orders from their peers.
const minRolloutBound = 1 * clock.Second

// observeVersions applies the versions in the list of servers. A version that is new to its
// pool is not used until the rollouts have been read again.
func (edge *Edge) observeVersions(list []backend.Listing) {
	if !edge.hasRollouts() {
		return
	}
	var servers []*backend.Server
	for _, listing := range list {
		if !listing.Leaving() {
			servers = append(servers, listing.Server())
		}
	}
	now := edge.clock.Now()
	if edge.rollouts.tracker.ObserveServers(countVersions(servers), now) {
		setTime(&edge.rollouts.awaitedAt, now)
		edge.wakeUps.rollouts.Trigger()
	}
}

// listedVersions returns the servers that take requests, by pool and version.
func (edge *Edge) listedVersions() []canary.Listed {
	return countVersions(slices.DeleteFunc(slices.Clone(edge.fleet.Current().Servers()), (*backend.Server).Leaving))
}

func countVersions(servers []*backend.Server) []canary.Listed {
	type poolVersion struct{ pool, version string }
	counts := map[poolVersion]int{}
	for _, server := range servers {
		counts[poolVersion{server.Pool(), server.Software()}]++
	}
	listed := make([]canary.Listed, 0, len(counts))
	for key, count := range counts {
		listed = append(listed, canary.NewListed(key.pool, key.version, count))
	}
	return listed
}

// runRollouts draws conclusions from the evidence until the context ends.
func (edge *Edge) runRollouts(ctx context.Context) {
	var lost []lostAnswer
	for edge.awaitRollouts(ctx) && edge.clock.Wait(ctx, rolloutInterval) == nil {
		now := edge.clock.Now()
		view := edge.peers.states.View()
		edge.rollouts.tracker.ObservePeers(view.LiveCount(now)-1, view.Nodes(now)-1, now)
		lost = edge.resolveLost(edge.takeLost(lost), now)
		for _, order := range edge.rollouts.tracker.Update(now) {
			edge.rollouts.halts.Add(1)
			edge.log.Warn().Str("pool", order.Pool()).Str("softwareVersion", order.Version()).Str("reason", edge.rollouts.tracker.Verdict(order.Pool()).Reason()).
				Msg("software version halted: this node sends it no more requests")
			signal(edge.peers.urgent)
		}
	}
}

// addRollouts adds what this node knows of rollouts to a bulletin. The requests in progress
// are read after the orders: a request that began before this node knew of a promotion is
// still counted then.
func (edge *Edge) addRollouts(bulletin node.Bulletin) node.Bulletin {
	if !edge.hasRollouts() {
		return bulletin
	}
	return bulletin.WithRollouts(edge.rollouts.tracker.Report(func(pool, _ string) int {
		return int(edge.rollouts.unsettledIn(pool).Load())
	}, edge.clock.Now()))
}

// mergeRollouts applies what a peer knows of rollouts.
func (edge *Edge) mergeRollouts(bulletin node.Bulletin, now clock.Millis) {
	if report, takesPart := bulletin.Rollouts(); takesPart && edge.hasRollouts() {
		edge.rollouts.tracker.Merge(bulletin.Host(), bulletin.Incarnation(), report, now)
	}
}

// isRollingOut reports whether the pool's servers must not be removed: an order for it is
// carried out, servers of several versions are listed while it ends, or there may be an
// order that this node has not read yet.
func (edge *Edge) isRollingOut(pool string) bool {
	if !edge.hasRollouts() {
		return false
	}
	if readAt := edge.rollouts.readAt.Load(); readAt == 0 || readAt < edge.rollouts.awaitedAt.Load() {
		return true
	}
	for _, order := range edge.rollouts.tracker.Orders() {
		if order.Pool() == pool && !order.Withdrawn() {
			return !order.State().IsFinal() || hasSeveralVersions(edge.fleet.Current().Pool(pool))
		}
	}
	return false
}

func hasSeveralVersions(servers []*backend.Server) bool {
	return slices.ContainsFunc(servers, func(server *backend.Server) bool { return server.Software() != servers[0].Software() })
}
