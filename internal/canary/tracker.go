package canary

import (
	"sapphirehead/internal/clock"
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

// Tracker is a node's knowledge of the orders and of the evidence about their versions.
// It is safe for concurrent use. Plan, Retry, Return, Record and Halted are for the
// request path and take no locks; the other methods exclude each other.
//
// Times are of the node's monotonic clock, except those within an Order.
type Tracker struct{}

// NewTracker returns the tracker of a node that knows no orders. The share is the bound of
// a bad version's share of the requests; with 0 the tracker allows all servers.
func NewTracker(exposureShare float64) *Tracker { return &Tracker{} }

// SetExposureShare changes the bound of the exposure.
func (tracker *Tracker) SetExposureShare(share float64) {}

// Observe applies the complete list of orders as it was in the store at the time asOf. An
// order that is missing was withdrawn.
func (tracker *Tracker) Observe(orders []Order, asOf, now clock.Millis) {}

// ObserveServers applies the list of servers. It reports whether there is a version that
// stays unused until the rollouts are read again, which should be done at once.
func (tracker *Tracker) ObserveServers(listed []Listed, now clock.Millis) (readRollouts bool) {
	return false
}

// ObservePeers applies the number of peers that are live, and of those that are listed.
func (tracker *Tracker) ObservePeers(live, listed int, now clock.Millis) {}

// Plan counts a request that reaches the pool and returns which servers its first attempt
// may use. A request of a session has a cache at a server, and becomes a canary request
// only where others don't use the credit up.
func (tracker *Tracker) Plan(pool string, session bool, now clock.Millis) Plan { return Plan{} }

// Retry returns which servers a later attempt of the request may use. Until promotion it
// is never a canary request.
func (tracker *Tracker) Retry(pool string, plan Plan, now clock.Millis) Plan { return Plan{} }

// Return gives the credit of a canary request back that was not sent to the version.
func (tracker *Tracker) Return(plan Plan) {}

// Record counts the answer of a server of the version in the pool.
func (tracker *Tracker) Record(pool, version string, answer Answer, now clock.Millis) {}

// Halted reports whether this node stopped using the version by its evidence.
func (tracker *Tracker) Halted(pool, version string) bool { return false }

// Update merges what this node has counted since the last call, and returns the orders
// whose version it stops using from now on. To be called every 50 ms or so.
func (tracker *Tracker) Update(now clock.Millis) (halted []Order) { return nil }

// Report returns the part of the node's bulletin that concerns rollouts. The function
// returns the attempts in progress at servers of the pool that aren't of the version.
func (tracker *Tracker) Report(inProgress func(pool, version string) int, now clock.Millis) Report {
	return Report{}
}

// Merge applies the report of a peer's process. Reports of one process supersede each
// other; merging one again, or an older one, changes nothing.
func (tracker *Tracker) Merge(peer string, incarnation int64, report Report, now clock.Millis) {}

// Orders returns the newest state of the orders that the node knows, the withdrawn ones
// whose versions stay unused included, in order of pools.
func (tracker *Tracker) Orders() []Order { return nil }

// Verdict returns what the merged evidence shows about the version of the pool's order.
func (tracker *Tracker) Verdict(pool string) Verdict { return Verdict{} }

// Agreement is what live nodes report about a pool's order.
type Agreement struct {
	nodes      int
	knowing    int
	halted     int
	inProgress int
}

// NewAgreement returns the number of nodes that serve requests, of those that know the
// order's newest state, of those that stopped using the version by themselves, and the
// attempts that all have in progress at servers of other versions.
func NewAgreement(nodes, knowing, halted, inProgress int) Agreement {
	return Agreement{nodes: nodes, knowing: knowing, halted: halted, inProgress: inProgress}
}

// Nodes returns the number of nodes that serve requests.
func (agreement Agreement) Nodes() int { return agreement.nodes }

// Knowing returns the number of nodes that know the order's newest state.
func (agreement Agreement) Knowing() int { return agreement.knowing }

// Halted returns the number of nodes that stopped using the version by themselves.
func (agreement Agreement) Halted() int { return agreement.halted }

// InProgress returns the attempts in progress at servers of other versions.
func (agreement Agreement) InProgress() int { return agreement.inProgress }

// Agreement returns what this node, which has the number of attempts in progress at other
// versions, and the peers report about the order. Peers are all that serve requests,
// including those that have been silent lately: they count as not knowing the order.
func (tracker *Tracker) Agreement(order Order, inProgress int, peers []string, now clock.Millis) Agreement {
	return Agreement{}
}
