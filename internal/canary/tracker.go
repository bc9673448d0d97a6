package canary

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"sapphirehead/internal/clock"
)

const (
	// contactTime is how long a node without live peers uses the canary share.
	contactTime = 4 * clock.Second
	// maxDelay is how long a peer's report may have been on the way. What it knows of the
	// store is taken as older by it.
	maxDelay = 500 * clock.Millisecond
	// aloneTime is how long a version that was rolled back must have been the only one of
	// its pool until it is used again, as a list of servers may be incomplete for a while.
	aloneTime = 10 * clock.Second
	// forgetTime is how long a version must not have been listed until it counts as new.
	forgetTime = 60 * clock.Second
	// announceTime is how long peers are told of an order after its end.
	announceTime = 30 * clock.Second
	// maxReportedRoutes bounds the routes of an order in a report, which must fit into a
	// bulletin. The routes with the most answers of the version are told.
	maxReportedRoutes = 24
)

// Listed is the number of servers of a version that the list shows in a pool.
type Listed struct {
	pool    string
	version string
	servers int
}

// NewListed returns the number of usable servers of the version in the pool.
func NewListed(pool, version string, servers int) Listed {
	return Listed{pool: pool, version: version, servers: servers}
}

// poolVersion identifies a version of a pool.
type poolVersion struct{ pool, version string }

// versionState is what a node knows of a version in a pool.
type versionState struct {
	servers   int
	firstSeen clock.Millis
	lastSeen  clock.Millis
	// retired reports that the version's order ended without success.
	retired bool
	// halted reports that evidence showed the version to be bad, in the run that began at
	// haltedAt and in the era of the store.
	halted   bool
	haltedAt clock.Millis
	era      int64
}

// trial is a run of an order at this node.
type trial struct {
	exposure *exposure
	counters *counters
	evidence *evidence
	// merged has the latest sums of each process that were merged.
	merged map[process][]Sum
	// outgoing are the versions that served when the order came.
	outgoing map[string]bool
	// haltedByPeer reports that a peer stopped using the version by its evidence.
	haltedByPeer bool
}

// process is a process of a peer; this node's is the zero value.
type process struct {
	peer        string
	incarnation int64
}

func newTrial() *trial {
	return &trial{
		exposure: &exposure{}, counters: newCounters(), evidence: newEvidence(),
		merged: map[process][]Sum{}, outgoing: map[string]bool{},
	}
}

// merge applies the sums of a process.
func (trial *trial) merge(from process, sums []Sum, promoted bool, now clock.Millis) {
	known := trial.merged[from]
	for _, sum := range sums {
		i := slices.IndexFunc(known, func(earlier Sum) bool { return earlier.route == sum.route })
		if i < 0 {
			i, known = len(known), append(known, NewSum(sum.route, Count{}, Count{}))
		}
		earlier := known[i]
		candidate, baseline := sum.candidate.since(earlier.candidate), sum.baseline.since(earlier.baseline)
		trial.evidence.add(sum.route, candidate, baseline, promoted, now)
		known[i] = NewSum(sum.route, earlier.candidate.plus(candidate), earlier.baseline.plus(baseline))
	}
	trial.merged[from] = known
}

// knownOrder is an order as this node knows it.
type knownOrder struct {
	order Order
	// asOf is when the store had the order, and changedAt when this node learned it.
	asOf, changedAt clock.Millis
	// seenAt is when this node first saw the run.
	seenAt clock.Millis
	trial  *trial
}

// peerReport is the latest report of a peer.
type peerReport struct {
	report     Report
	receivedAt clock.Millis
}

// poolState is what the request path needs to know of a pool. It is immutable, apart from
// the counters.
type poolState struct {
	plan Plan
	// canary is the plan of canary requests until the time; share is 0 if there are none.
	canary  Plan
	share   float64
	until   clock.Millis
	version string
	// halted is the version if evidence showed it to be bad.
	halted   string
	counters *counters
}

// trackerState is what the request path needs to know. It is immutable.
type trackerState struct {
	enabled bool
	pools   map[string]poolState
}

// Tracker is a node's knowledge of the orders and of the evidence about their versions.
// It is safe for concurrent use. Plan, Retry, Return, Record, SlowAfter and Halted are for
// the request path and take no locks; the other methods exclude each other.
//
// Times are of the node's monotonic clock, except those within an Order.
type Tracker struct {
	state        atomic.Pointer[trackerState]
	medians      *medians
	contactUntil atomic.Int64

	mutex         sync.Mutex
	exposureShare float64
	// asOf is the time of the store's state that this node knows of all orders, if hasRead.
	asOf     clock.Millis
	hasRead  bool
	orders   map[string]knownOrder
	versions map[poolVersion]versionState
	// othersAt is when a pool last had a version that may be used.
	othersAt map[string]clock.Millis
	peers    map[string]peerReport
	// halts are orders whose halt Update has not returned yet.
	halts []Order
}

// NewTracker returns the tracker of a node that knows no orders. The share is the bound of
// a bad version's share of the requests; with 0 the tracker allows all servers.
func NewTracker(exposureShare float64) *Tracker {
	tracker := &Tracker{
		medians: newMedians(), exposureShare: exposureShare, orders: map[string]knownOrder{}, versions: map[poolVersion]versionState{},
		othersAt: map[string]clock.Millis{}, peers: map[string]peerReport{},
	}
	tracker.publish(0)
	return tracker
}

// SetExposureShare changes the bound of the exposure.
func (tracker *Tracker) SetExposureShare(share float64, now clock.Millis) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	tracker.exposureShare = share
	tracker.publish(now)
}

// Observe applies the complete list of orders as it was in the store at the time asOf. An
// order that is missing was withdrawn.
func (tracker *Tracker) Observe(orders []Order, asOf, now clock.Millis) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	listed := map[string]bool{}
	for _, order := range orders {
		listed[order.pool] = true
		tracker.adopt(order, asOf, now)
	}
	for pool, known := range tracker.orders {
		if !listed[pool] && known.asOf < asOf && !known.order.withdrawn {
			tracker.adopt(known.order.WithWithdrawn(known.order.revision), asOf, now)
		}
	}
	if !tracker.hasRead || asOf > tracker.asOf {
		tracker.hasRead, tracker.asOf = true, asOf
	}
	tracker.publish(now)
}

// adopt applies what is known of an order as of the time and reports whether it is newer
// than what was known.
func (tracker *Tracker) adopt(order Order, asOf, now clock.Millis) bool {
	known, ok := tracker.orders[order.pool]
	if ok && !order.newerThan(known.order) && !order.returns(known, asOf) {
		if order.revision == known.order.revision && order.withdrawn == known.order.withdrawn && asOf > known.asOf {
			known.asOf = asOf
			tracker.orders[order.pool] = known
		}
		return false
	}
	if ok && known.order.version != order.version && known.order.state != StateSucceeded {
		tracker.retire(known.order)
	}
	next := knownOrder{order: order, asOf: asOf, changedAt: now, seenAt: known.seenAt, trial: known.trial}
	if !ok || !order.continues(known.order) {
		next.seenAt, next.trial = now, newTrial()
	}
	tracker.orders[order.pool] = next
	switch {
	case order.withdrawn && order.state != StateSucceeded:
		tracker.retire(order)
	case !order.withdrawn:
		tracker.latch(order)
	}
	return true
}

// newerThan reports whether the order was read from a later state of the store.
func (order Order) newerThan(known Order) bool {
	return order.revision > known.revision || order.revision == known.revision && order.withdrawn && !known.withdrawn
}

// returns reports whether the order was missing from an older list by mistake.
func (order Order) returns(known knownOrder, asOf clock.Millis) bool {
	return order.revision == known.order.revision && known.order.withdrawn && !order.withdrawn && asOf > known.asOf
}

// continues reports whether the order is the same run as an earlier state.
func (order Order) continues(earlier Order) bool {
	return order.version == earlier.version && !earlier.withdrawn &&
		(earlier.orderedAt == 0 || order.orderedAt == earlier.orderedAt)
}

// retire keeps the version of an order that ended without success from being used.
func (tracker *Tracker) retire(order Order) {
	key := poolVersion{order.pool, order.version}
	version := tracker.versions[key]
	version.retired = true
	tracker.versions[key] = version
}

// latch updates whether the version of the order is halted. A halt ends with a later run
// that the operator ordered. A run that only seems to be later, as the store was restored
// from an older copy, doesn't end it.
func (tracker *Tracker) latch(order Order) {
	key := poolVersion{order.pool, order.version}
	version := tracker.versions[key]
	version.retired = false
	switch {
	case !version.halted:
	case order.era() != version.era:
		version.era, version.haltedAt = order.era(), order.orderedAt
	case version.haltedAt == 0:
		version.haltedAt = order.orderedAt
	case order.orderedAt > version.haltedAt:
		version.halted = false
	}
	if order.state == StateRolledBack {
		version.halted, version.haltedAt, version.era = true, order.orderedAt, order.era()
	}
	tracker.versions[key] = version
}

// ObserveServers applies the list of servers, and must be called before requests can be
// sent to new ones. It reports whether there is a version that stays unused until the
// rollouts are read again, which should be done at once.
func (tracker *Tracker) ObserveServers(listed []Listed, now clock.Millis) (readRollouts bool) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	for key, version := range tracker.versions {
		version.servers = 0
		tracker.versions[key] = version
	}
	for _, entry := range listed {
		if entry.servers == 0 {
			continue
		}
		key := poolVersion{entry.pool, entry.version}
		version := tracker.versions[key]
		if version.lastSeen == 0 {
			version.firstSeen = now
		}
		version.servers += entry.servers
		version.lastSeen = max(1, now)
		tracker.versions[key] = version
	}
	maps.DeleteFunc(tracker.versions, func(key poolVersion, version versionState) bool {
		return version.servers == 0 && !version.halted && !version.retired && version.lastSeen < now-forgetTime && tracker.orders[key.pool].order.version != key.version
	})
	tracker.publish(now)
	for key, version := range tracker.versions {
		if version.servers > 0 && tracker.awaits(version) && len(tracker.serving(key.pool)) > 1 {
			return true
		}
	}
	return false
}

// awaits reports whether the rollouts have not been read since the version was first seen.
func (tracker *Tracker) awaits(version versionState) bool {
	return !tracker.hasRead || tracker.asOf < version.firstSeen
}

// serving returns the versions that have servers in the pool.
func (tracker *Tracker) serving(pool string) map[string]versionState {
	serving := map[string]versionState{}
	for key, version := range tracker.versions {
		if key.pool == pool && version.servers > 0 {
			serving[key.version] = version
		}
	}
	return serving
}

// ObservePeers applies the number of peers that are live, and of those that are listed.
func (tracker *Tracker) ObservePeers(live, listed int, now clock.Millis) {
	if live > 0 || listed == 0 {
		tracker.contactUntil.Store(int64(now + contactTime))
	}
}

// Plan counts a request on the route that reaches the pool and returns which servers its
// first attempt may use. A request of a session has a cache at a server, and becomes a
// canary request only where others don't use the credit up.
func (tracker *Tracker) Plan(pool, route string, session bool, now clock.Millis) Plan {
	state, ok := tracker.state.Load().pools[pool]
	if !ok {
		return Plan{}
	}
	if state.share == 0 {
		return state.plan
	}
	exposure, counted := state.canary.exposure, state.counters.route(route)
	exposure.earn(state.share)
	// The ends of the contact and of the order are checked at the moment of use, as no
	// message announces them.
	if int64(now) > tracker.contactUntil.Load() || now > state.until || !exposure.spend(session || state.counters.hasItsPart(counted, exposure.sent.Load())) {
		return state.plan
	}
	counted.sent.Add(1)
	return state.canary
}

// Retry returns which servers a later attempt of a request may use. It is never a canary
// request.
func (tracker *Tracker) Retry(pool string) Plan {
	return tracker.state.Load().pools[pool].plan
}

// Return gives the credit of a canary request back that was not sent to the version.
func (tracker *Tracker) Return(plan Plan) {
	if plan.IsCanary() {
		plan.exposure.add(credit)
	}
}

// Record counts the answer of a server of the version in the pool.
func (tracker *Tracker) Record(pool, version string, answer Answer, now clock.Millis) {
	state := tracker.state.Load()
	if !state.enabled {
		return
	}
	poolState, ok := state.pools[pool]
	isCandidate := ok && version == poolState.version
	if answer.outcome == OutcomeAnswered && !isCandidate {
		tracker.medians.add(pool, answer, now)
	}
	if !ok || poolState.counters == nil {
		return
	}
	slow := false
	if slowAfter, known := tracker.medians.slowAfter(pool, answer); known && answer.outcome == OutcomeAnswered {
		slow = answer.took > slowAfter
	}
	route := poolState.counters.route(answer.route)
	if isCandidate {
		route.candidate.record(answer, slow)
	} else {
		route.baseline.record(answer, slow)
	}
}

// SlowAfter returns how long an attempt waits until it is to be recorded as overdue, and
// false if it needn't be. Slowness is noticed earlier by that than by late answers. It must
// be done for all versions, or a burst would show at the new one first.
func (tracker *Tracker) SlowAfter(pool, route string, tokens int) (clock.Millis, bool) {
	if tracker.state.Load().pools[pool].counters == nil {
		return 0, false
	}
	wait, ok := tracker.medians.slowAfter(pool, NewAnswer(route, tokens, OutcomeAnswered, 0))
	return wait + 1, ok
}

// Halted reports whether this node stopped using the version by evidence.
func (tracker *Tracker) Halted(pool, version string) bool {
	return tracker.state.Load().pools[pool].halted == version && version != ""
}

// Update merges what this node has counted since the last call, and returns the orders
// whose version it stops using from now on. To be called every 50 ms or so.
func (tracker *Tracker) Update(now clock.Millis) (halted []Order) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	for _, known := range tracker.orders {
		known.trial.merge(process{}, known.trial.counters.sums(), known.order.IsPromoted(), now)
	}
	// A version that is held back may be used again after some time alone.
	isHeldBack := slices.ContainsFunc(slices.Collect(maps.Values(tracker.versions)), func(version versionState) bool {
		return version.halted || version.retired
	})
	if tracker.halt() || isHeldBack {
		tracker.publish(now)
	}
	halted, tracker.halts = tracker.halts, nil
	return halted
}

// halt stops the use of versions that the evidence shows to be bad, and reports whether
// there are any.
func (tracker *Tracker) halt() bool {
	isNew := false
	for pool, known := range tracker.orders {
		key := poolVersion{pool, known.order.version}
		version := tracker.versions[key]
		if version.halted || known.order.state != StateServing || known.order.withdrawn ||
			!known.trial.haltedByPeer && !known.trial.evidence.isCertain {
			continue
		}
		version.halted, version.haltedAt, version.era = true, known.order.orderedAt, known.order.era()
		tracker.versions[key] = version
		tracker.halts = append(tracker.halts, known.order)
		isNew = true
	}
	return isNew
}

// Report returns the part of the node's bulletin that concerns rollouts. The function
// returns the attempts in progress at servers of the pool that aren't of the version.
func (tracker *Tracker) Report(inProgress func(pool, version string) int, now clock.Millis) Report {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	report := Report{age: -1}
	if tracker.hasRead {
		report.age = max(0, now-tracker.asOf)
	}
	for _, pool := range slices.Sorted(maps.Keys(tracker.orders)) {
		known := tracker.orders[pool]
		order := known.order
		if (order.state.IsFinal() || order.withdrawn) && now-known.changedAt > announceTime {
			continue
		}
		sums := known.trial.counters.sums()
		slices.SortFunc(sums, func(a, b Sum) int {
			return cmp.Or(cmp.Compare(b.candidate.answers, a.candidate.answers), cmp.Compare(a.route, b.route))
		})
		halted := tracker.versions[poolVersion{pool, order.version}].halted
		report.orders = append(report.orders, NewOrderReport(order, halted, inProgress(pool, order.version), sums[:min(len(sums), maxReportedRoutes)]))
	}
	return report
}

// Merge applies the report of a peer's process. Reports of one process supersede each
// other; merging one again, or an older one, changes nothing.
func (tracker *Tracker) Merge(peer string, incarnation int64, report Report, now clock.Millis) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	tracker.peers[peer] = peerReport{report: report, receivedAt: now}
	isNew := false
	asOf := now - report.age - maxDelay
	for _, reported := range report.orders {
		if report.age >= 0 {
			isNew = tracker.adopt(reported.order, asOf, now) || isNew
		}
		known, ok := tracker.orders[reported.order.pool]
		if ok && reported.order.orderedAt != 0 && known.order.run() == reported.order.run() {
			known.trial.merge(process{peer, incarnation}, reported.sums, known.order.IsPromoted(), now)
			known.trial.haltedByPeer = known.trial.haltedByPeer || reported.halted
		}
	}
	if report.age >= 0 && (!tracker.hasRead || asOf > tracker.asOf) {
		tracker.hasRead, tracker.asOf = true, asOf
	}
	if isHalted := tracker.halt(); isNew || isHalted {
		tracker.publish(now)
	}
}

// Orders returns the newest state of the orders that the node knows, the withdrawn ones
// included, in order of pools.
func (tracker *Tracker) Orders() []Order {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	orders := make([]Order, 0, len(tracker.orders))
	for _, pool := range slices.Sorted(maps.Keys(tracker.orders)) {
		orders = append(orders, tracker.orders[pool].order)
	}
	return orders
}

// Age returns the time since this node first saw the run of the pool's order.
func (tracker *Tracker) Age(pool string, now clock.Millis) clock.Millis {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	known, ok := tracker.orders[pool]
	if !ok {
		return 0
	}
	return now - known.seenAt
}

// Verdict returns what the merged evidence shows about the version of the pool's order. A
// version that this node stopped using stays halted.
func (tracker *Tracker) Verdict(pool string) Verdict {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	known, ok := tracker.orders[pool]
	if !ok {
		return Verdict{}
	}
	verdict := known.trial.evidence.verdict()
	if tracker.versions[poolVersion{pool, known.order.version}].halted && !verdict.halted {
		verdict.halted, verdict.reason = true, "a node stopped using the version by its evidence"
	}
	return verdict
}
