package edge

import (
	"sync"
	"sync/atomic"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/caller"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/node"
)

// budgets holds the retry window of each pool.
type budgets struct {
	byPool sync.Map // Name to *backend.RetryWindow.
}

func newBudgets() *budgets { return &budgets{} }

func (budgets *budgets) forPool(pool string) *backend.RetryWindow {
	if window, ok := budgets.byPool.Load(pool); ok {
		return window.(*backend.RetryWindow)
	}
	window, _ := budgets.byPool.LoadOrStore(pool, backend.NewRetryWindow())
	return window.(*backend.RetryWindow)
}

// retryBudgetShare is the share of the retry budget that nodes use. The rest is
// a margin, as the windows in which the limit is checked do not coincide with
// those of the nodes.
const retryBudgetShare = 0.8

// countRequest counts a request for the pool.
func (edge *Edge) countRequest(pool string) {
	edge.budgets.forPool(pool).Request(edge.settings.Load().Bounds().RetryWindow(), edge.clock.Now())
}

// spendRetry takes a retry from the pool's budget and reports whether the budget
// allows it.
func (edge *Edge) spendRetry(pool string) bool {
	bounds := edge.settings.Load().Bounds()
	slack := bounds.RetrySlack() * retryBudgetShare / float64(edge.nodes())
	ok := edge.budgets.forPool(pool).Take(bounds.RetryWindow(), edge.clock.Now(), bounds.RetryShare()*retryBudgetShare, slack)
	if !ok {
		edge.counters.retriesRefused.Add(1)
	}
	return ok
}

// meters holds the meter of each client account.
type meters struct {
	byAccount sync.Map // Name to *caller.Meter.
	start     clock.Millis
	// firstOnHost is set if no process ran on this host before.
	firstOnHost atomic.Bool
	// hasOlderPeer reports whether a peer has run for longer than this process. Then the
	// account's burst may have been used there: with full buckets at the nodes that
	// start, an account would get it again when many of them are added or restarted.
	hasOlderPeer func() bool
	// initialLevel returns the tokens in a bucket at the start unless the process is
	// the first on its host in a deployment that starts as a whole.
	initialLevel func() float64
}

func newMeters(start clock.Millis, hasOlderPeer func() bool, initialLevel func() float64) *meters {
	return &meters{start: start, hasOlderPeer: hasOlderPeer, initialLevel: initialLevel}
}

func (meters *meters) forAccount(account *caller.Account, allotment caller.Allotment, now clock.Millis) *caller.Meter {
	found, isStored := meters.find(account, allotment, now)
	if isStored {
		return found
	}
	meter, _ := meters.byAccount.LoadOrStore(account.Name(), found)
	return meter.(*caller.Meter)
}

// find returns the account's meter, or a new one that is not stored.
func (meters *meters) find(account *caller.Account, allotment caller.Allotment, now clock.Millis) (found *caller.Meter, isStored bool) {
	if meter, ok := meters.byAccount.Load(account.Name()); ok {
		return meter.(*caller.Meter), true
	}
	if meters.firstOnHost.Load() && !meters.hasOlderPeer() {
		return caller.NewMeter(allotment, now), false
	}
	return caller.NewMeterSince(meters.start, meters.initialLevel()), false
}

// olderPeerMargin is the minimum difference in uptime at which a peer counts as
// older, since processes that are killed together restart within a second or two
// of each other.
const olderPeerMargin = 4 * clock.Second

// restartSlackShare is the share of the operators' slack that an account may
// use again after all nodes have restarted. It exceeds the share that
// overshootSlackShare leaves, as buckets are hardly ever full after a restart.
const restartSlackShare = 0.8

// restartLevel returns the tokens in a bucket after all nodes have restarted.
func (edge *Edge) restartLevel() float64 {
	return edge.settings.Load().Bounds().QuotaSlack() * restartSlackShare
}

// hasOlderPeer reports whether a peer has run for at least olderPeerMargin longer
// than this node.
func (edge *Edge) hasOlderPeer() bool {
	now := edge.clock.Now()
	return edge.peers.states.View().MaxUptime(now) >= now-edge.meters.start+olderPeerMargin
}

// forEach calls handle with the tokens that each account used at this node.
func (meters *meters) forEach(handle func(account string, used int64)) {
	meters.byAccount.Range(func(account, meter any) bool {
		handle(account.(string), meter.(*caller.Meter).Used())
		return true
	})
}

const (
	// overshootShare and overshootSlackShare are the shares of the operators'
	// allowed overshoot and slack that nodes use. The rest covers the debt that one
	// large request leaves.
	overshootShare      = 0.9
	overshootSlackShare = 0.6
	// overshootDelayLoss is subtracted from overshootShare for each second by which
	// the bulletin interval exceeds its minimum. It makes up for the requests that
	// nodes admit before they receive each other's usage.
	overshootDelayLoss = 1.5
	// minUsageDelay is the least time that is assumed until peers know a node's usage:
	// bulletins are lost, and a node with little processor time applies them late.
	minUsageDelay = 300 * clock.Millisecond
)

// allotment returns the account's allotment with the allowed overshoot.
func (edge *Edge) allotment(account *caller.Account) caller.Allotment {
	bounds := edge.settings.Load().Bounds()
	nodes, now := edge.nodes(), edge.clock.Now()
	delay := float64(node.ExtraInterval(nodes)) / float64(clock.Second)
	share := max(0, overshootShare-overshootDelayLoss*delay)
	allotment := account.Allotment().WithOvershoot(bounds.QuotaOvershoot()*share, bounds.QuotaSlack()*overshootSlackShare).
		InContact(edge.refillShare()).WithDelay(max(minUsageDelay, node.BulletinInterval(nodes, false)+maxBatchWait, edge.peers.states.View().MeanAge(now)))
	if now-edge.meters.start < discoveryTime {
		// The share falls as peers become known, of which none has been lost.
		return allotment
	}
	return allotment.WithDetection(node.LiveAge(nodes))
}

// charge charges a request to the account and returns its cost in tokens, or a
// *request.NotRunError.
func (edge *Edge) charge(account *caller.Account, tokens int) (cost int, err error) {
	now := edge.clock.Now()
	allotment := edge.allotment(account)
	cost = allotment.Cost(tokens)
	serving := edge.peers.states.View().Serving(now)
	return cost, edge.meters.forAccount(account, allotment, now).Admit(allotment, cost, edge.refillShare(), serving, now)
}

// lookCharge returns the cost of a request in tokens, and the decision that charge would
// make on it.
func (edge *Edge) lookCharge(account *caller.Account, tokens int) (cost int, decision caller.AllotmentDecision) {
	now := edge.clock.Now()
	allotment := edge.allotment(account)
	cost = allotment.Cost(tokens)
	meter, _ := edge.meters.find(account, allotment, now)
	return cost, meter.Look(allotment, cost, edge.refillShare(), edge.peers.states.View().Serving(now), now)
}

// chargeRepeat charges the cost of a request to the account once more, as an attempt that
// is repeated may run again.
func (edge *Edge) chargeRepeat(account *caller.Account, cost int) {
	now := edge.clock.Now()
	allotment := edge.allotment(account)
	edge.meters.forAccount(account, allotment, now).Charge(allotment, cost, edge.refillShare(), now)
}

// refund returns the cost of a request that did not run to the account.
func (edge *Edge) refund(account *caller.Account, cost int) {
	now := edge.clock.Now()
	allotment := edge.allotment(account)
	edge.meters.forAccount(account, allotment, now).Refund(allotment, cost, edge.refillShare(), now)
}
