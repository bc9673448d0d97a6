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

// Assumed round-trip times to backend servers.
const (
	sameDataCentreMillis  = 0.6
	otherDataCentreMillis = 3.0
)

// cacheInterval is the maximum time between two reads of cache events, and
// cacheTimeout bounds one read. With more than maxCacheServers servers the reads
// would exceed a node's budget for control traffic, so the index is built from
// this node's own requests only.
const (
	cacheInterval   = 1 * clock.Second
	cacheTimeout    = 500 * clock.Millisecond
	maxCacheServers = 20
)

// assumedResponseTokens is the assumed length of a response without a token
// limit.
const assumedResponseTokens = 220

// poolLimits holds the admission gate and the retry budget of one pool.
type poolLimits struct {
	gate   *caller.Gate
	budget *backend.RetryBudget
}

// dispatcher makes an entry host's decisions about backend servers: admission,
// the choice of a server, retries and circuit breakers.
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

// poolLimits returns the pool's gate and budget. The map is copied on write for
// each new pool.
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

// admit admits a request, or a caller that resumes a response if req is nil.
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

// gate refuses chats that cannot be served in time or whose worth is too low
// for the current load.
func (dispatcher *dispatcher) gate(account *caller.Account, req *request.Request) error {
	if wait, quarantined := dispatcher.entry.isQuarantined(req); quarantined {
		return request.NewNotRunError("the request crashes backend servers", wait)
	}
	if req.Route().Kind() != route.KindChat {
		return nil
	}
	estimate, ok := dispatcher.placer.EstimateBest(req, runner.NewPromptChain(req.Prompt()))
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

// choose returns the backend server for an attempt, or false if there is none.
func (dispatcher *dispatcher) choose(req *request.Request, exclude []string) (*backend.Server, bool) {
	if _, quarantined := dispatcher.entry.isQuarantined(req); quarantined {
		return nil, false
	}
	if req.Route().Kind() != route.KindChat {
		return dispatcher.services.Choose(req.Route().Pool(), exclude)
	}
	estimate, ok := dispatcher.placer.Place(req, runner.NewPromptChain(req.Prompt()), 0, exclude)
	return estimate.Server(), ok
}

// retry takes one attempt from the pool's retry budget.
func (dispatcher *dispatcher) retry(req *request.Request) bool {
	return dispatcher.poolLimits(req.Route().Pool()).budget.Take()
}

// recordAttempt updates the circuit breaker and the retry budget after an
// attempt. A server that was leaving is not counted as failed.
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

// updateAdmission refreshes the placer and adjusts the gates and the accounts'
// fair shares every caller.GateTick.
func (entry *Entry) updateAdmission(ctx context.Context) {
	accounts := entry.accounts.All()
	for entry.clock.Wait(ctx, caller.GateTick) == nil {
		entry.dispatcher.placer.Refresh()
		entry.reviewQuarantine()
		for _, poolLimits := range *entry.dispatcher.pools.Load() {
			poolLimits.gate.Tick()
		}
		caller.UpdateFairness(accounts)
	}
}

// pollCaches reads the runners' cache events after at most cacheInterval, with
// jitter.
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
