package steward

import (
	"context"
	"slices"
	"sync"

	"github.com/pkg/errors"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/cloud"
	"sapphirehead/internal/logging"
	"sapphirehead/internal/platform"
	"sapphirehead/internal/platform/platformhttp"
	"sapphirehead/internal/pool"
	"sapphirehead/internal/route"
	"sapphirehead/internal/runner"
	"sapphirehead/internal/table"
)

// Timeouts, intervals and limits of host control.
const (
	// bootTimeout is how long a started host may take to be listed by the
	// platform before it is returned.
	bootTimeout = 10 * clock.Minute
	// drainIdleTime is how long a drained runner must have been idle before its
	// host is returned, so that a request in transit to it is noticed.
	drainIdleTime = 3 * clock.Second
	// drainsReloadInterval is the time between two reads of the list of hosts to
	// drain by the lease holder while it does not change the list.
	drainsReloadInterval = 30 * clock.Second
	// maxAttempts bounds how often one round plans again with other kinds of
	// host after refused starts.
	maxAttempts = 4
)

// hosts starts and returns the hosts of one pool. It is used by one goroutine
// at a time, except for recordNotice.
type hosts struct {
	steward        *Steward
	lease          *platform.Lease
	pool           string
	risk           *cloud.Risk
	backoff        *cloud.Backoff
	demand         *cloud.Demand
	startRequests  *cloud.StartRequests
	fence          int64
	drains         []string
	version        int64
	drainsLoadedAt clock.Millis
	firstSeen      map[string]clock.Millis
	drainedAt      map[string]clock.Millis
	idleSince      map[string]clock.Millis
	mutex          sync.Mutex
	kinds          map[string]cloud.Kind
}

func (steward *Steward) newHostsWorker(pool string) *worker {
	worker := steward.newWorker(platform.HostsLease(pool), pool, "")
	hosts := &hosts{
		steward:       steward,
		lease:         worker.lease,
		pool:          pool,
		risk:          cloud.NewRisk(steward.clock),
		backoff:       cloud.NewBackoff(steward.clock, steward.random),
		demand:        cloud.NewDemand(steward.clock),
		startRequests: cloud.NewStartRequests(platform.HostsLease(pool)),
		firstSeen:     map[string]clock.Millis{},
		drainedAt:     map[string]clock.Millis{},
		idleSince:     map[string]clock.Millis{},
		kinds:         map[string]cloud.Kind{},
	}
	worker.round = hosts.round
	worker.onNotice = func(hostID string) {
		hosts.recordNotice(hostID)
		worker.wakeUp()
	}
	return worker
}

// snapshot is the state of the pool's hosts at the start of a round.
type snapshot struct {
	poolConfig pool.Pool
	tables     *table.Tables
	offers     []cloud.Offer
	rented     []cloud.Host
	servers    map[string]*backend.Server
	leaving    map[string]bool
	states     map[string]runner.State
	drains     []string
}

func (hosts *hosts) round(ctx context.Context, holding platform.Holding) error {
	steward := hosts.steward
	timeout := steward.settings.Cloud().Timeout()
	if !holding.HeldFor(steward.clock.Now(), timeout) {
		return nil
	}
	if holding.Fence() != hosts.fence {
		hosts.fence = holding.Fence()
		hosts.demand = cloud.NewDemand(steward.clock)
		hosts.startRequests.SetFence(holding.Fence())
		hosts.drainsLoadedAt = 0
	}
	snapshot, err := hosts.readSnapshot(ctx)
	if err != nil {
		return err
	}
	if err := hosts.finishDrains(ctx, holding, snapshot); err != nil {
		return err
	}
	planned := hosts.planned(snapshot)
	plan := hosts.plan(snapshot, planned)
	for range maxAttempts {
		started, refused := hosts.start(ctx, holding, plan.Starts())
		planned = append(planned, started...)
		if !refused {
			break
		}
		plan = hosts.plan(snapshot, planned)
	}
	return hosts.drain(ctx, holding, snapshot, plan.Drains())
}

// readSnapshot reads offers, hosts, drains and the state of every runner.
func (hosts *hosts) readSnapshot(ctx context.Context) (*snapshot, error) {
	steward := hosts.steward
	tables, _ := steward.tables()
	snapshot := &snapshot{tables: tables, servers: map[string]*backend.Server{}, leaving: map[string]bool{}, states: map[string]runner.State{}}
	var ok bool
	if snapshot.poolConfig, ok = tables.Pool(hosts.pool); !ok {
		return nil, errors.Errorf("pool %q is no longer in the tables", hosts.pool)
	}
	var err error
	if snapshot.offers, err = steward.cloud.Offers(ctx); err != nil {
		return nil, err
	}
	rented, err := steward.cloud.Hosts(ctx)
	if err != nil {
		return nil, err
	}
	if err := hosts.loadDrains(ctx); err != nil {
		return nil, err
	}
	snapshot.drains = hosts.drains
	hosts.startRequests.Reconcile(rented)
	for _, host := range rented {
		if host.Pool() == hosts.pool {
			snapshot.rented = append(snapshot.rented, host)
		}
	}
	var servers []*backend.Server
	for _, listed := range steward.view.Load().pool(hosts.pool) {
		server := listed.Server()
		snapshot.servers[server.ID()] = server
		snapshot.leaving[server.ID()] = listed.Leaving()
		servers = append(servers, server)
	}
	hosts.loadStates(ctx, snapshot, servers)
	hosts.observe(snapshot)
	return snapshot, nil
}

func (hosts *hosts) loadStates(ctx context.Context, snapshot *snapshot, servers []*backend.Server) {
	steward := hosts.steward
	var mutex sync.Mutex
	steward.forEach(ctx, len(servers), func(ctx context.Context, i int) {
		ctx, cancel := steward.clock.WithTimeout(ctx, stateTimeout)
		defer cancel()
		state, err := steward.runners.State(ctx, servers[i])
		if err != nil {
			return
		}
		mutex.Lock()
		defer mutex.Unlock()
		snapshot.states[servers[i].ID()] = state
	})
}

// observe updates the recorded hosts, the risk and the demand, and removes records
// of hosts that no longer exist.
func (hosts *hosts) observe(snapshot *snapshot) {
	counts := map[cloud.Kind]int{}
	hosts.mutex.Lock()
	for _, host := range snapshot.rented {
		hosts.kinds[host.ID()] = host.Offer().Kind()
		counts[host.Offer().Kind()]++
		if _, ok := hosts.firstSeen[host.ID()]; !ok {
			hosts.firstSeen[host.ID()] = hosts.steward.clock.Now()
		}
	}
	for id := range hosts.kinds {
		if _, listed := snapshot.servers[id]; !listed && !isRented(snapshot, id) {
			delete(hosts.kinds, id)
			delete(hosts.firstSeen, id)
			delete(hosts.drainedAt, id)
			delete(hosts.idleSince, id)
		}
	}
	hosts.mutex.Unlock()
	for kind, count := range counts {
		hosts.risk.Observe(kind, count)
	}
	busy := 0
	for _, state := range snapshot.states {
		busy += state.InFlight()
	}
	hosts.demand.Observe(busy, len(snapshot.states), len(snapshot.servers), snapshot.poolConfig.Slots())
}

func isRented(snapshot *snapshot, id string) bool {
	return slices.ContainsFunc(snapshot.rented, func(host cloud.Host) bool { return host.ID() == id })
}

// recordNotice adds a reclaim notice to the risk of the host's kind.
func (hosts *hosts) recordNotice(hostID string) {
	hosts.mutex.Lock()
	kind, ok := hosts.kinds[hostID]
	hosts.mutex.Unlock()
	if ok {
		hosts.risk.RecordNotice(kind)
	}
}

// planned returns the hosts that the plan may count on, including unmanaged
// ones.
func (hosts *hosts) planned(snapshot *snapshot) []cloud.Host {
	var planned []cloud.Host
	rented := map[string]bool{}
	for _, host := range snapshot.rented {
		rented[host.ID()] = true
		state, responded := snapshot.states[host.ID()]
		if host.Leaving() || snapshot.leaving[host.ID()] || slices.Contains(snapshot.drains, host.ID()) {
			continue
		}
		ready := responded && state.Role() == runner.RoleServe && len(state.Models()) > 0
		planned = append(planned, priced(host, snapshot.offers).WithReady(ready))
	}
	for id, server := range snapshot.servers {
		if !rented[id] && !snapshot.leaving[id] && !hosts.wasRented(id) && snapshot.states[id].Role() != runner.RoleDrain {
			offer := cloud.NewOffer(server.DataCentre(), snapshot.poolConfig.HostClass(), true, 0)
			planned = append(planned, cloud.NewHost(id, hosts.pool, offer, false).WithReady(true).WithUnmanaged(true))
		}
	}
	slices.SortFunc(planned, func(a, b cloud.Host) int {
		if a.ID() < b.ID() {
			return -1
		}
		return 1
	})
	return planned
}

// wasRented reports whether the cloud listed the host earlier. The platform may
// still list it for a while after it was returned.
func (hosts *hosts) wasRented(id string) bool {
	hosts.mutex.Lock()
	defer hosts.mutex.Unlock()
	_, ok := hosts.kinds[id]
	return ok
}

// priced returns the host at the price of its offer.
func priced(host cloud.Host, offers []cloud.Offer) cloud.Host {
	for _, offer := range offers {
		if offer.Kind() == host.Offer().Kind() {
			return cloud.NewHost(host.ID(), host.Pool(), offer, host.Leaving())
		}
	}
	return host
}

func (hosts *hosts) plan(snapshot *snapshot, planned []cloud.Host) cloud.Plan {
	blocked := func(kind cloud.Kind) bool { return hosts.backoff.Blocked(kind) || hosts.risk.Wave(kind) }
	var routes []route.Route
	for _, candidate := range snapshot.tables.Routes() {
		if candidate.Pool() == hosts.pool {
			routes = append(routes, candidate)
		}
	}
	equal := func(route.Route) float64 { return 1 }
	need := cloud.NewPoolNeed(snapshot.poolConfig, routes, equal, hosts.demand.Hosts())
	return cloud.NewPlanner(hosts.risk.Price, blocked).Plan(need, snapshot.offers, planned)
}

// start starts hosts and reports whether the cloud refused any.
func (hosts *hosts) start(ctx context.Context, holding platform.Holding, offers []cloud.Offer) (started []cloud.Host, refused bool) {
	steward := hosts.steward
	names := make([]string, 0, len(offers))
	for _, offer := range offers {
		names = append(names, hosts.startRequests.Next(offer.Kind(), names))
	}
	var mutex sync.Mutex
	steward.forEach(ctx, len(offers), func(ctx context.Context, i int) {
		if hosts.backoff.Blocked(offers[i].Kind()) || !hosts.lease.Covers(holding.Fence(), steward.settings.Cloud().Timeout()) {
			hosts.startRequests.Resolve(names[i])
			return
		}
		host, err := steward.cloud.Start(context.WithoutCancel(ctx), offers[i], hosts.pool, names[i])
		mutex.Lock()
		defer mutex.Unlock()
		var noCapacity *cloud.NoCapacityError
		switch {
		case err == nil:
			hosts.startRequests.Resolve(names[i])
			hosts.backoff.Started(offers[i].Kind())
			started = append(started, cloud.NewHost(host.ID(), hosts.pool, offers[i], false))
			steward.counters.Add("hostsStarted", 1)
		case errors.As(err, &noCapacity):
			hosts.startRequests.Resolve(names[i])
			hosts.backoff.Refused(offers[i].Kind())
			refused = true
			steward.counters.Add("startsRefused", 1)
		default:
			steward.counters.Add("startsUnanswered", 1)
		}
		steward.log.Info().Err(err).Str(logging.FieldServer, host.ID()).Str("pool", hosts.pool).
			Str("startedIn", offers[i].DataCentre()).Bool("reclaimable", offers[i].Reclaimable()).Msg("requested a host")
	})
	return started, refused
}

// drain writes the list of hosts to drain. The holders of the pool's orders leases
// read it and order these hosts to drain. Besides the planned ones, it contains
// hosts whose servers announced that they are leaving, and unlisted hosts.
func (hosts *hosts) drain(ctx context.Context, holding platform.Holding, snapshot *snapshot, plannedDrains []cloud.Host) error {
	steward := hosts.steward
	var drains []string
	for _, host := range snapshot.rented {
		listed := slices.Contains(snapshot.drains, host.ID())
		planned := slices.ContainsFunc(plannedDrains, func(other cloud.Host) bool { return other.ID() == host.ID() })
		if listed || planned || (snapshot.leaving[host.ID()] && !host.Leaving()) || hosts.isUnlisted(snapshot, host) {
			drains = append(drains, host.ID())
		}
	}
	slices.Sort(drains)
	if slices.Equal(drains, snapshot.drains) || !hosts.lease.Covers(holding.Fence(), steward.settings.Platform().Timeout()) {
		return nil
	}
	steward.counters.Add("drainsWritten", 1)
	hosts.drainsLoadedAt = 0
	return platformhttp.CommitDrains(ctx, steward.store, hosts.pool, drains, hosts.version)
}

// loadDrains reads the list of hosts to drain after a change and every
// drainsReloadInterval. Only the lease holder writes it.
func (hosts *hosts) loadDrains(ctx context.Context) error {
	now := hosts.steward.clock.Now()
	if hosts.drainsLoadedAt != 0 && now-hosts.drainsLoadedAt < drainsReloadInterval {
		return nil
	}
	drains, version, err := platformhttp.LoadDrains(ctx, hosts.steward.store, hosts.pool)
	if err != nil {
		return err
	}
	hosts.drains, hosts.version, hosts.drainsLoadedAt = drains, version, now
	return nil
}

// isUnlisted reports whether the platform does not list the host although the
// cloud has for bootTimeout or longer.
func (hosts *hosts) isUnlisted(snapshot *snapshot, host cloud.Host) bool {
	_, listed := snapshot.servers[host.ID()]
	return !listed && hosts.steward.clock.Now()-hosts.firstSeen[host.ID()] >= bootTimeout
}

// finishDrains returns hosts that have drained or whose grace has passed to the
// cloud.
func (hosts *hosts) finishDrains(ctx context.Context, holding platform.Holding, snapshot *snapshot) error {
	steward := hosts.steward
	var lastErr error
	for _, host := range snapshot.rented {
		if !slices.Contains(snapshot.drains, host.ID()) || !hosts.isDrained(snapshot, host) {
			continue
		}
		if !hosts.lease.Covers(holding.Fence(), steward.settings.Cloud().Timeout()) {
			return nil
		}
		if err := steward.cloud.Stop(context.WithoutCancel(ctx), host.ID()); err != nil {
			lastErr = err
			continue
		}
		steward.counters.Add("hostsStopped", 1)
		steward.log.Info().Str(logging.FieldServer, host.ID()).Str("pool", hosts.pool).Msg("returned a host")
	}
	return lastErr
}

// isDrained reports whether the host may be returned: its runner has been idle for
// drainIdleTime after it accepted the order to drain; or the drain grace has passed
// since then, or since the first check if the runner does not respond; or the host
// is unlisted. A runner that was not yet ordered to drain keeps its host.
func (hosts *hosts) isDrained(snapshot *snapshot, host cloud.Host) bool {
	id, now := host.ID(), hosts.steward.clock.Now()
	if _, ok := hosts.drainedAt[id]; !ok {
		hosts.drainedAt[id] = now
	}
	state, responded := snapshot.states[id]
	if responded && state.Role() != runner.RoleDrain {
		hosts.drainedAt[id] = now
	}
	if !responded || state.Role() != runner.RoleDrain || state.InFlight() > 0 {
		delete(hosts.idleSince, id)
	} else if _, ok := hosts.idleSince[id]; !ok {
		hosts.idleSince[id] = now
	}
	idleSince, idle := hosts.idleSince[id]
	return idle && now-idleSince >= drainIdleTime || now-hosts.drainedAt[id] >= hosts.steward.settings.DrainGrace() || hosts.isUnlisted(snapshot, host)
}

// watchNotices polls the cloud's reclaim notices while the steward holds a
// hosts lease. The first response may contain old notices, so that only its
// last sequence is used.
func (steward *Steward) watchNotices(ctx context.Context) {
	after, sequenceRead := int64(0), false
	for ctx.Err() == nil {
		if !steward.holdsHostsLease() {
			sequenceRead = false
			steward.clock.Wait(ctx, steward.jittered(steward.settings.Round()))
			continue
		}
		notices, err := steward.cloud.Notices(ctx, after)
		if err != nil {
			steward.clock.Wait(ctx, steward.jittered(steward.settings.Round()))
			continue
		}
		for _, notice := range notices {
			after = max(after, notice.Sequence())
			for _, worker := range steward.allWorkers() {
				if sequenceRead {
					worker.onNotice(notice.HostID())
				}
			}
		}
		sequenceRead = true
	}
}

func (steward *Steward) holdsHostsLease() bool {
	return slices.ContainsFunc(steward.allWorkers(), func(worker *worker) bool {
		_, held := worker.lease.Holding()
		return held && worker.dataCentre == ""
	})
}
