package steward

import (
	"context"
	"slices"

	"github.com/pkg/errors"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/logging"
	"sapphirehead/internal/platform"
	"sapphirehead/internal/platform/platformhttp"
	"sapphirehead/internal/pool"
	"sapphirehead/internal/runner"
	"sapphirehead/internal/table"
	"sapphirehead/internal/weightstore"
)

const fieldLease = "lease"

// Timeouts, intervals and limits of runner control.
const (
	// maxOrderTimeout is the maximum timeout of an order.
	maxOrderTimeout = 2 * clock.Second
	// ordersPerLease is the minimum number of order timeouts that fit into a lease.
	ordersPerLease = 4
	// stateTimeout bounds a query of a runner's state.
	stateTimeout = 1 * clock.Second
	// loadTimeout is how long a runner may take to load weights before the
	// order is repeated.
	loadTimeout = 60 * clock.Second
	// ordersDrainsReloadInterval is the time between two reads of the list of
	// hosts to drain.
	ordersDrainsReloadInterval = 5 * clock.Second
	// concurrentLoadDivisor divides the number of the pool's runners in a data
	// centre, which gives the number that may load weights at the same time.
	concurrentLoadDivisor = 4
)

// orderedLoad is a load of weights that a runner was ordered to do.
type orderedLoad struct {
	orderedAt clock.Millis
	models    []pool.Model
}

// isDone reports whether the runner serves all models that it was ordered to
// load.
func (ordered orderedLoad) isDone(state runner.State) bool {
	return !slices.ContainsFunc(ordered.models, func(model pool.Model) bool { return !state.Serves(model) })
}

// orders brings the runners of one pool in one data centre to the state that
// the tables require. It is used by one goroutine at a time.
type orders struct {
	steward        *Steward
	lease          *platform.Lease
	pool           string
	dataCentre     string
	ordered        map[string]orderedLoad
	drains         []string
	drainsLoadedAt clock.Millis
}

func (steward *Steward) newOrdersWorker(pool, dataCentre string) *worker {
	worker := steward.newWorker(platform.OrdersLease(pool, dataCentre), pool, dataCentre)
	orders := &orders{steward: steward, lease: worker.lease, pool: pool, dataCentre: dataCentre, ordered: map[string]orderedLoad{}}
	worker.round = orders.round
	return worker
}

func (orders *orders) round(ctx context.Context, holding platform.Holding) error {
	tables, _ := orders.steward.tables()
	poolConfig, ok := tables.Pool(orders.pool)
	if !ok || (poolConfig.IgnoresFence() && !holding.HeldFor(orders.steward.clock.Now(), maxOrderTimeout)) {
		return nil
	}
	if err := orders.loadDrains(ctx); err != nil {
		return err
	}
	var servers []*backend.Server
	for _, listed := range orders.steward.view.Load().pool(orders.pool) {
		drained := slices.Contains(orders.drains, listed.Server().ID())
		if listed.Server().DataCentre() == orders.dataCentre && (drained || !listed.Leaving()) {
			servers = append(servers, listed.Server())
		}
	}
	conditions := orders.conditions(ctx, servers)
	rollout := runner.NewRollout(poolConfig.Models(), worthOf(tables, poolConfig), len(servers)/concurrentLoadDivisor)
	steps := orders.reserve(ctx, tables, poolConfig, rollout.Steps(conditions))
	orders.steward.forEach(ctx, len(steps), func(ctx context.Context, i int) {
		index := slices.IndexFunc(servers, func(server *backend.Server) bool { return server.ID() == steps[i].ID() })
		orders.send(ctx, holding, servers[index], steps[i])
	})
	for _, step := range steps {
		if len(step.Loads()) > 0 {
			orders.ordered[step.ID()] = orderedLoad{orderedAt: orders.steward.clock.Now(), models: step.Loads()}
		}
	}
	return nil
}

func (orders *orders) loadDrains(ctx context.Context) error {
	now := orders.steward.clock.Now()
	if orders.drainsLoadedAt != 0 && now-orders.drainsLoadedAt < ordersDrainsReloadInterval {
		return nil
	}
	drains, _, err := platformhttp.LoadDrains(ctx, orders.steward.store, orders.pool)
	if err != nil {
		return err
	}
	orders.drains, orders.drainsLoadedAt = drains, now
	return nil
}

// conditions queries the state of every runner.
func (orders *orders) conditions(ctx context.Context, servers []*backend.Server) []runner.Condition {
	steward := orders.steward
	conditions := make([]runner.Condition, len(servers))
	now := steward.clock.Now()
	steward.forEach(ctx, len(servers), func(ctx context.Context, i int) {
		ctx, cancel := steward.clock.WithTimeout(ctx, stateTimeout)
		defer cancel()
		id := servers[i].ID()
		ordered, changing := orders.ordered[id]
		state, err := steward.runners.State(ctx, servers[i])
		changing = changing && now-ordered.orderedAt < loadTimeout && (err != nil || !ordered.isDone(state))
		conditions[i] = runner.NewCondition(id).WithDraining(slices.Contains(orders.drains, id)).WithChanging(changing)
		if err == nil {
			conditions[i] = conditions[i].WithState(state)
		}
	})
	return conditions
}

// worthOf returns a function that sums the worth of a model's routes.
func worthOf(tables *table.Tables, poolConfig pool.Pool) func(model pool.Model) float64 {
	return func(model pool.Model) float64 {
		worth := 0.0
		for _, route := range tables.Routes() {
			if route.Pool() == poolConfig.Name() && (route.Model() == model.Name() || slices.Contains(model.Adapters(), route.Model())) {
				worth += route.Worth()
			}
		}
		return worth
	}
}

// reserve reserves the loads of the steps at the weight store, in order, and
// returns the steps that may be sent now.
func (orders *orders) reserve(ctx context.Context, tables *table.Tables, poolConfig pool.Pool, steps []runner.Step) []runner.Step {
	worth := worthOf(tables, poolConfig)
	maxWorth := 0.0
	for _, route := range tables.Routes() {
		maxWorth = max(maxWorth, route.Worth())
	}
	var granted []runner.Step
	for _, step := range steps {
		if orders.reserveStep(ctx, step, worth, maxWorth) {
			granted = append(granted, step)
		}
	}
	return granted
}

func (orders *orders) reserveStep(ctx context.Context, step runner.Step, worth func(model pool.Model) float64, maxWorth float64) bool {
	steward := orders.steward
	for _, model := range step.Loads() {
		load := weightstore.NewLoad(step.ID(), model.Name(), model.Version())
		if steward.pacer.Granted(load) {
			continue
		}
		if !steward.pacer.Allow() {
			return false
		}
		err := steward.weights.Reserve(ctx, model.Name(), model.Version())
		var limit *weightstore.LimitError
		if errors.As(err, &limit) {
			steward.counters.Add("loadsLimited", 1)
			steward.pacer.BackOff(limit.RetryAfter(), worth(model), maxWorth)
			return false
		}
		if err != nil {
			steward.counters.Add("loadsFailed", 1)
			return false
		}
		steward.pacer.RecordGrant(load)
	}
	return true
}

// orderTimeout returns the timeout of an order. When the order is sent, the
// lease must be valid for longer.
func (steward *Steward) orderTimeout() clock.Millis {
	return min(maxOrderTimeout, steward.settings.Lease()/ordersPerLease)
}

// send sends one order if the lease still covers its timeout. An order in
// progress is completed when the steward stops.
func (orders *orders) send(ctx context.Context, holding platform.Holding, server *backend.Server, step runner.Step) {
	steward := orders.steward
	ctx, cancel := steward.clock.WithTimeout(context.WithoutCancel(ctx), steward.orderTimeout())
	defer cancel()
	order := runner.NewOrder(holding.Fence(), step.Models(), step.Role())
	err := steward.runners.Order(ctx, server, order, func() bool { return orders.lease.Covers(holding.Fence(), steward.orderTimeout()) })
	var staleFence *runner.StaleFenceError
	var refused *runner.NotPermittedError
	switch {
	case err == nil:
		steward.counters.Add("ordersDone", 1)
		for _, model := range step.Loads() {
			steward.pacer.ClearGrant(weightstore.NewLoad(step.ID(), model.Name(), model.Version()))
		}
	case errors.As(err, &staleFence):
		steward.counters.Add("ordersOldFence", 1)
	case errors.As(err, &refused):
		steward.counters.Add("ordersNotPermitted", 1)
	default:
		steward.counters.Add("ordersFailed", 1)
	}
	steward.log.Info().Err(err).Str(logging.FieldServer, server.ID()).Int64("fence", order.Fence()).Str("role", order.Role()).
		Bool("done", err == nil).Msg("sent an order")
}
