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
	sameCentreMillis  = 0.6
	otherCentreMillis = 3.0
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

// typicalAnswerTokens is the length of an answer without a bound.
const typicalAnswerTokens = 220

// guard is what stands before one pool.
type guard struct {
	gate   *caller.Gate
	budget *backend.RetryBudget
}

// choosing joins the decisions about backend servers of one entry host:
// admission, the choice of a server, retries and circuits.
type choosing struct {
	entry    *Entry
	index    *runner.Index
	placer   *runner.Placer
	services *runner.Chooser
	limits   *caller.Limits
	guards   atomic.Pointer[map[string]*guard]
}

func newChoosing(entry *Entry) *choosing {
	choosing := &choosing{entry: entry, index: runner.NewIndex(runner.DefaultIndexSets)}
	choosing.placer = runner.NewPlacer(entry.clock, entry.fleet, choosing.index, entry.settings.Host(), choosing.distance, choosing.slots, rand.IntN)
	choosing.services = runner.NewChooser(entry.fleet, entry.settings.DataCentre(), rand.IntN)
	choosing.limits = caller.NewLimits(entry.clock, func() int { return len(entry.members.Live()) + 1 })
	choosing.guards.Store(&map[string]*guard{})
	return choosing
}

func (choosing *choosing) distance(server *backend.Server) float64 {
	if server.DataCentre() == choosing.entry.settings.DataCentre() {
		return sameCentreMillis
	}
	return otherCentreMillis
}

func (choosing *choosing) slots(name string) int {
	if row, ok := choosing.entry.active.Current().Pool(name); ok {
		return row.Slots()
	}
	return pool.DefaultSlots
}

// guard returns what stands before the pool. The map is copied for each new
// pool.
func (choosing *choosing) guard(name string) *guard {
	for {
		known := choosing.guards.Load()
		if found := (*known)[name]; found != nil {
			return found
		}
		changed := maps.Clone(*known)
		changed[name] = &guard{gate: caller.NewGate(rand.Float64), budget: backend.NewRetryBudget()}
		if choosing.guards.CompareAndSwap(known, &changed) {
			return changed[name]
		}
	}
}

// admit accepts a request, or a caller that returns for an answer.
func (choosing *choosing) admit(account *caller.Account, to *request.Request) (release func(), err error) {
	if to == nil {
		return choosing.entry.admission.Admit(account)
	}
	releaseLimit, err := choosing.limits.Admit(account, to.Route())
	if err != nil {
		return nil, err
	}
	if err := choosing.gate(account, to); err != nil {
		releaseLimit()
		return nil, err
	}
	releaseHost, err := choosing.entry.admission.Admit(account)
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
func (choosing *choosing) gate(account *caller.Account, to *request.Request) error {
	if to.Route().Kind() != route.KindChat {
		return nil
	}
	estimate, ok := choosing.placer.EstimateBest(to, runner.ChainOf(to.Prompt()))
	if !ok {
		return nil
	}
	tokens := to.Prompt().MaxTokens()
	if tokens == 0 {
		tokens = typicalAnswerTokens
	}
	cost := estimate.PrefillMillis() + float64(tokens)*estimate.Server().Speed().InterTokenMillis()
	return choosing.guard(to.Route().Pool()).gate.Admit(caller.NewOffer(account, to.Route(), estimate.FirstToken(), estimate.ShortestQueue(), cost))
}

// choose returns the server for an attempt.
func (choosing *choosing) choose(to *request.Request, exclude []string) (*backend.Server, bool) {
	if to.Route().Kind() != route.KindChat {
		return choosing.services.Choose(to.Route().Pool(), exclude)
	}
	estimate, ok := choosing.placer.Place(to, runner.ChainOf(to.Prompt()), 0, exclude)
	return estimate.Server(), ok
}

// retry asks for one more attempt.
func (choosing *choosing) retry(to *request.Request) bool {
	return choosing.guard(to.Route().Pool()).budget.Take()
}

// ended takes in how an attempt ended.
func (choosing *choosing) ended(to *request.Request, server *backend.Server, cause request.Cause) {
	budget, now := choosing.guard(to.Route().Pool()).budget, choosing.entry.clock.Now()
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

// balance moves the gates and the accounts' shares at intervals.
func (entry *Entry) balance(ctx context.Context) {
	accounts := entry.accounts.All()
	for entry.clock.Wait(ctx, caller.GateTick) == nil {
		entry.choosing.placer.Refresh()
		for _, guard := range *entry.choosing.guards.Load() {
			guard.gate.Tick()
		}
		caller.UpdateFairness(accounts)
	}
}

// followCaches reads the runners' cache events.
func (entry *Entry) followCaches(ctx context.Context) {
	for entry.clock.Wait(ctx, jittered(cacheInterval)) == nil {
		servers := entry.fleet.Current().Servers()
		if len(servers) > maxCacheServers {
			continue
		}
		for _, server := range servers {
			if row, ok := entry.active.Current().Pool(server.Pool()); ok && row.Kind() == pool.KindRunner && !server.Leaving() {
				entry.followCache(ctx, server)
			}
		}
	}
}

func (entry *Entry) followCache(ctx context.Context, server *backend.Server) {
	ctx, cancel := entry.clock.WithTimeout(ctx, cacheTimeout)
	defer cancel()
	events, err := entry.runners.CacheEvents(ctx, server, server.Cache().Sequence())
	if err != nil {
		entry.counters.Add("cacheEventsFailed", 1)
		return
	}
	entry.choosing.index.Apply(server, events)
}
