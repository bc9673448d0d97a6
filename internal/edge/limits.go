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

// retryMargin is the part of the budget that a node uses; the rest is for
// windows that nodes and their judge cut differently.
const retryMargin = 0.8

// request counts a request for the pool.
func (edge *Edge) countRequest(pool string) {
	edge.budgets.of(pool).Request(edge.settings.Load().Bounds().RetryWindow(), edge.clock.Now())
}

// takeRetry takes a repeat at the pool out of its budget.
func (edge *Edge) takeRetry(pool string) bool {
	bounds := edge.settings.Load().Bounds()
	slack := bounds.RetrySlack() * retryMargin / float64(edge.nodes())
	ok := edge.budgets.of(pool).Take(bounds.RetryWindow(), edge.clock.Now(), bounds.RetryShare()*retryMargin, slack)
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
	// survived tells whether a fellow node has run for longer than this one: then
	// not all started again together, and one full bucket more does little.
	survived func() bool
	// level returns what is in a bucket at the start otherwise.
	level func() float64
}

func newMeters(start clock.Millis, survived func() bool, level func() float64) *meters {
	return &meters{start: start, survived: survived, level: level}
}

func (meters *meters) of(account *caller.Account, allotment caller.Allotment, now clock.Millis) *caller.Meter {
	if meter, ok := meters.byAccount.Load(account.Name()); ok {
		return meter.(*caller.Meter)
	}
	created := caller.NewMeterSince(meters.start, meters.level())
	if meters.first.Load() || meters.survived() {
		created = caller.NewMeter(allotment, now)
	}
	meter, _ := meters.byAccount.LoadOrStore(account.Name(), created)
	return meter.(*caller.Meter)
}

// survivorTime is by how much longer a fellow node must have run: processes that
// are killed together start again within a second or two of each other.
const survivorTime = 4 * clock.Second

// restartSlack is the part of the operators' slack that an account may use again
// after all nodes have started again. It is over the part that leewaySlack leaves,
// as the bucket then is hardly ever full.
const restartSlack = 0.8

// restartLevel returns what is in a bucket when all nodes have started again.
func (edge *Edge) restartLevel() float64 {
	return edge.settings.Load().Bounds().QuotaSlack() * restartSlack
}

// hasSurvivor reports whether a fellow node did not start again when this one did.
func (edge *Edge) hasSurvivor() bool {
	now := edge.clock.Now()
	told := clock.Millis(edge.fellows.known.View().MaxSequence(now)) * bulletinInterval(edge.nodes())
	return told >= now-edge.meters.start+survivorTime
}

// each visits the tokens that each account used here.
func (meters *meters) each(visit func(account string, used int64)) {
	meters.byAccount.Range(func(account, meter any) bool {
		visit(account.(string), meter.(*caller.Meter).Used())
		return true
	})
}

const (
	// leewayShare and leewaySlack are the parts of the operators' leeway that nodes
	// use. The rest is for the debt that one large request leaves.
	leewayShare = 0.9
	leewaySlack = 0.6
	// leewayLag is what the share loses for each second between two bulletins: what
	// nodes admit meanwhile comes on top.
	leewayLag = 1.5
)

// allotment returns what the account may use, with the leeway.
func (edge *Edge) allotment(account *caller.Account) caller.Allotment {
	bounds := edge.settings.Load().Bounds()
	lag := float64(bulletinInterval(edge.nodes())-bulletinLeast) / float64(clock.Second)
	share := max(0, leewayShare-leewayLag*lag)
	return account.Allotment().WithOvershoot(bounds.QuotaOvershoot()*share, bounds.QuotaSlack()*leewaySlack)
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
