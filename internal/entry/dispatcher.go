package entry

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync/atomic"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/caller"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/pool"
	"sapphirehead/internal/request"
	"sapphirehead/internal/route"
	"sapphirehead/internal/runner"
)

// Distances to servers and back, in milliseconds.
const (
	sameDataCentreMillis  = 0.6
	otherDataCentreMillis = 3.0
)

// cacheInterval is the time between two rounds of reading cache events, and
// maxCacheServers the number of runners up to which they are read at all: at
// more, they cost more bytes than a node may spend on control, and the index
// learns from this node's own requests alone.
const (
	cacheInterval   = 1 * clock.Second
	cacheTimeout    = 500 * clock.Millisecond
	maxCacheServers = 20
)

// assumedResponseTokens is the length of an answer without a bound.
const assumedResponseTokens = 220

// poolLimits is what stands before one pool.
type poolLimits struct {
	gate   *caller.Gate
	budget *backend.RetryBudget
}

// dispatcher joins the decisions about backend servers of one entry host:
// admission, the choice of a server, retries and circuits.
type dispatcher struct {
	entry    *Entry
	index    *runner.Index
	placer   *runner.Placer
	services *runner.Chooser
	limits   *caller.Limits
	pools    atomic.Pointer[map[string]*poolLimits]
}

func newDispatcher(entry *Entry) *dispatcher {
	dispatcher := &dispatcher{entry: entry, index: runner.NewIndex(runner.DefaultIndexSets)}
	dispatcher.placer = runner.NewPlacer(entry.clock, entry.fleet, dispatcher.index, entry.settings.Host(), dispatcher.distance, dispatcher.slots, rand.IntN)
	dispatcher.services = runner.NewChooser(entry.fleet, entry.settings.DataCentre(), rand.IntN)
	dispatcher.limits = caller.NewLimits(entry.clock, func() int { return len(entry.members.Live()) + 1 })
	dispatcher.pools.Store(&map[string]*poolLimits{})
	return dispatcher
}

func (dispatcher *dispatcher) distance(server *backend.Server) float64 {
	if server.DataCentre() == dispatcher.entry.settings.DataCentre() {
		return sameDataCentreMillis
	}
	return otherDataCentreMillis
}

func (dispatcher *dispatcher) slots(name string) int {
	if poolConfig, ok := dispatcher.entry.active.Current().Pool(name); ok {
		return poolConfig.Slots()
	}
	return pool.DefaultSlots
}

// poolLimits returns what stands before the pool. The map is copied for each new
// pool.
func (dispatcher *dispatcher) poolLimits(name string) *poolLimits {
	for {
		current := dispatcher.pools.Load()
		if existing := (*current)[name]; existing != nil {
			return existing
		}
		changed := maps.Clone(*current)
		changed[name] = &poolLimits{gate: caller.NewGate(rand.Float64), budget: backend.NewRetryBudget()}
		if dispatcher.pools.CompareAndSwap(current, &changed) {
			return changed[name]
		}
	}
}

// admit accepts a request, or a caller that returns for an answer.
func (dispatcher *dispatcher) admit(account *caller.Account, req *request.Request) (release func(), err error) {
	if req == nil {
		return dispatcher.entry.admission.Admit(account)
	}
	releaseLimit, err := dispatcher.limits.Admit(account, req.Route())
	if err != nil {
		return nil, err
	}
	if err := dispatcher.gate(account, req); err != nil {
		releaseLimit()
		return nil, err
	}
	releaseHost, err := dispatcher.entry.admission.Admit(account)
	if err != nil {
		releaseLimit()
		return nil, err
	}
	return func() {
		releaseHost()
		releaseLimit()
	}, nil
}

// gate refuses what can't be answered in time or is worth too little now.
func (dispatcher *dispatcher) gate(account *caller.Account, req *request.Request) error {
	if req.Route().Kind() != route.KindChat {
		return nil
	}
	estimate, ok := dispatcher.placer.EstimateBest(req, runner.ChainOf(req.Prompt()))
	if !ok {
		return nil
	}
	tokens := req.Prompt().MaxTokens()
	if tokens == 0 {
		tokens = assumedResponseTokens
	}
	cost := estimate.PrefillMillis() + float64(tokens)*estimate.Server().Speed().InterTokenMillis()
	return dispatcher.poolLimits(req.Route().Pool()).gate.Admit(caller.NewOffer(account, req.Route(), estimate.FirstToken(), estimate.ShortestQueue(), cost))
}

// choose returns the server for an attempt.
func (dispatcher *dispatcher) choose(req *request.Request, exclude []string) (*backend.Server, bool) {
	if req.Route().Kind() != route.KindChat {
		return dispatcher.services.Choose(req.Route().Pool(), exclude)
	}
	estimate, ok := dispatcher.placer.Place(req, runner.ChainOf(req.Prompt()), 0, exclude)
	return estimate.Server(), ok
}

// retry asks for one more attempt.
func (dispatcher *dispatcher) retry(req *request.Request) bool {
	return dispatcher.poolLimits(req.Route().Pool()).budget.Take()
}

// recordAttempt takes in how an attempt ended.
func (dispatcher *dispatcher) recordAttempt(req *request.Request, server *backend.Server, cause request.Cause) {
	budget, now := dispatcher.poolLimits(req.Route().Pool()).budget, dispatcher.entry.clock.Now()
	switch {
	case cause == 0:
		server.Circuit().Succeeded(now)
		budget.Succeeded()
	case server.Leaving():
		budget.Refund()
	default:
		server.Circuit().Failed(now)
	}
}

// updateAdmission moves the gates and the accounts' shares at intervals.
func (entry *Entry) updateAdmission(ctx context.Context) {
	accounts := entry.accounts.All()
	for entry.clock.Wait(ctx, caller.GateTick) == nil {
		entry.dispatcher.placer.Refresh()
		for _, poolLimits := range *entry.dispatcher.pools.Load() {
			poolLimits.gate.Tick()
		}
		caller.UpdateFairness(accounts)
	}
}

// pollCaches reads the runners' cache events.
func (entry *Entry) pollCaches(ctx context.Context) {
	for entry.clock.Wait(ctx, jittered(cacheInterval)) == nil {
		servers := entry.fleet.Current().Servers()
		if len(servers) > maxCacheServers {
			continue
		}
		for _, server := range servers {
			if poolConfig, ok := entry.active.Current().Pool(server.Pool()); ok && poolConfig.Kind() == pool.KindRunner && !server.Leaving() {
				entry.pollCache(ctx, server)
			}
		}
	}
}

func (entry *Entry) pollCache(ctx context.Context, server *backend.Server) {
	ctx, cancel := entry.clock.WithTimeout(ctx, cacheTimeout)
	defer cancel()
	events, err := entry.runners.CacheEvents(ctx, server, server.Cache().Sequence())
	if err != nil {
		entry.counters.Add("cacheEventsFailed", 1)
		return
	}
	entry.dispatcher.index.Apply(server, events)
}
