package edge

import (
	"sync"
	"sync/atomic"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/caller"
	"sapphirehead/internal/clock"
)

// budgets holds the retry window of each pool.
type budgets struct {
	byPool sync.Map // Name to *backend.RetryWindow.
}

func newBudgets() *budgets { return &budgets{} }

func (budgets *budgets) of(pool string) *backend.RetryWindow {
	if window, ok := budgets.byPool.Load(pool); ok {
		return window.(*backend.RetryWindow)
	}
	window, _ := budgets.byPool.LoadOrStore(pool, backend.NewRetryWindow())
	return window.(*backend.RetryWindow)
}

// retryBudgetShare is the part of the budget that a node uses; the rest is for
// windows that nodes and their judge cut differently.
const retryBudgetShare = 0.8

// request counts a request for the pool.
func (edge *Edge) countRequest(pool string) {
	edge.budgets.of(pool).Request(edge.settings.Load().Bounds().RetryWindow(), edge.clock.Now())
}

// spendRetry takes a repeat at the pool out of its budget.
func (edge *Edge) spendRetry(pool string) bool {
	bounds := edge.settings.Load().Bounds()
	slack := bounds.RetrySlack() * retryBudgetShare / float64(edge.nodes())
	ok := edge.budgets.of(pool).Take(bounds.RetryWindow(), edge.clock.Now(), bounds.RetryShare()*retryBudgetShare, slack)
	if !ok {
		edge.counters.retriesRefused.Add(1)
	}
	return ok
}

// meters holds the meter of each client account.
type meters struct {
	byAccount sync.Map // Name to *caller.Meter.
	start     clock.Millis
	// first says that no process ran on this host before, so that nothing can have
	// been used here.
	first atomic.Bool
	// hasOlderPeer tells whether a fellow node has run for longer than this one: then
	// not all started again together, and one full bucket more does little.
	hasOlderPeer func() bool
	// initialLevel returns what is in a bucket at the start otherwise.
	initialLevel func() float64
}

func newMeters(start clock.Millis, hasOlderPeer func() bool, initialLevel func() float64) *meters {
	return &meters{start: start, hasOlderPeer: hasOlderPeer, initialLevel: initialLevel}
}

func (meters *meters) of(account *caller.Account, allotment caller.Allotment, now clock.Millis) *caller.Meter {
	if meter, ok := meters.byAccount.Load(account.Name()); ok {
		return meter.(*caller.Meter)
	}
	created := caller.NewMeterSince(meters.start, meters.initialLevel())
	if meters.first.Load() || meters.hasOlderPeer() {
		created = caller.NewMeter(allotment, now)
	}
	meter, _ := meters.byAccount.LoadOrStore(account.Name(), created)
	return meter.(*caller.Meter)
}

// olderPeerMargin is by how much longer a fellow node must have run: processes that
// are killed together start again within a second or two of each other.
const olderPeerMargin = 4 * clock.Second

// restartSlackShare is the part of the operators' slack that an account may use again
// after all nodes have started again. It is over the part that leewaySlack leaves,
// as the bucket then is hardly ever full.
const restartSlackShare = 0.8

// restartLevel returns what is in a bucket when all nodes have started again.
func (edge *Edge) restartLevel() float64 {
	return edge.settings.Load().Bounds().QuotaSlack() * restartSlackShare
}

// hasOlderPeer reports whether a fellow node did not start again when this one did.
func (edge *Edge) hasOlderPeer() bool {
	now := edge.clock.Now()
	minUptime := clock.Millis(edge.peers.states.View().MaxSequence(now)) * bulletinInterval(edge.nodes())
	return minUptime >= now-edge.meters.start+olderPeerMargin
}

// each visits the tokens that each account used here.
func (meters *meters) each(handle func(account string, used int64)) {
	meters.byAccount.Range(func(account, meter any) bool {
		handle(account.(string), meter.(*caller.Meter).Used())
		return true
	})
}

const (
	// overshootShare and leewaySlack are the parts of the operators' leeway that nodes
	// use. The rest is for the debt that one large request leaves.
	overshootShare      = 0.9
	overshootSlackShare = 0.6
	// overshootDelayLoss is what the share loses for each second between two bulletins: what
	// nodes admit meanwhile comes on top.
	overshootDelayLoss = 1.5
)

// allotment returns what the account may use, with the leeway.
func (edge *Edge) allotment(account *caller.Account) caller.Allotment {
	bounds := edge.settings.Load().Bounds()
	delay := float64(bulletinInterval(edge.nodes())-minBulletinInterval) / float64(clock.Second)
	share := max(0, overshootShare-overshootDelayLoss*delay)
	return account.Allotment().WithOvershoot(bounds.QuotaOvershoot()*share, bounds.QuotaSlack()*overshootSlackShare)
}

// meter counts a request of the account and returns its cost, or returns a
// *request.NotRunError.
func (edge *Edge) meter(account *caller.Account, tokens int) (cost int, err error) {
	now := edge.clock.Now()
	allotment := edge.allotment(account)
	cost = allotment.Cost(tokens)
	return cost, edge.meters.of(account, allotment, now).Admit(allotment, cost, edge.refillShare(), edge.nodes(), now)
}

// refund gives the cost of a request back that did not run.
func (edge *Edge) refund(account *caller.Account, cost int) {
	now := edge.clock.Now()
	allotment := edge.allotment(account)
	edge.meters.of(account, allotment, now).Refund(allotment, cost, edge.refillShare(), now)
}
