package edge

import (
	"context"

	"github.com/pkg/errors"

	"sapphirehead/internal/canary"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/platform"
	"sapphirehead/internal/pool"
	"sapphirehead/platform/store"
)

// rolloutTask is the lease holder's task of deciding on rollouts, under one fencing token.
type rolloutTask struct {
	fence      int64
	controller *canary.Controller
	// known has the pools whose object was read since the latest write of its status, or
	// since the lease was taken.
	known map[string]bool
	// logged has the latest decision on each pool.
	logged map[string]loggedDecision
}

// loggedDecision is what a log line says of a decision.
type loggedDecision struct {
	version string
	state   canary.State
	share   float64
	cause   canary.Cause
}

// runRolloutTask decides on rollouts while this node holds the lease, until the context
// ends.
func (edge *Edge) runRolloutTask(ctx context.Context) {
	for edge.awaitRollouts(ctx) && edge.clock.Wait(ctx, rolloutInterval) == nil {
		if holding, holds := edge.leaderHolding(); holds {
			edge.decideRollouts(ctx, holding)
		} else {
			edge.rollouts.latest.Clear()
		}
	}
}

func (edge *Edge) decideRollouts(ctx context.Context, holding platform.Holding) {
	task := edge.rollouts.task
	if task.fence != holding.Fence() {
		*task = rolloutTask{
			fence: holding.Fence(), controller: canary.NewController(edge.settings.Load().Bounds().ExposureShare()),
			known: map[string]bool{}, logged: map[string]loggedDecision{},
		}
	}
	for _, order := range edge.rollouts.tracker.Orders() {
		edge.decideRollout(ctx, holding, order)
	}
}

// decideRollout decides on one order and writes its status if it changes. The object is
// read back before each write but the first, whatever became of the write before: a write
// without an answer may have been applied, and may still be.
func (edge *Edge) decideRollout(ctx context.Context, holding platform.Holding, order canary.Order) {
	task := edge.rollouts.task
	if !order.Withdrawn() && !order.State().IsFinal() && !task.known[order.Pool()] {
		task.known[order.Pool()] = edge.readRollout(ctx, order.Pool())
		return
	}
	decision := task.controller.Step(edge.trueTime(), edge.rolloutInputs(order))
	edge.rollouts.latest.Store(order.Pool(), decision)
	edge.logDecision(holding, decision)
	if !decision.MustWrite() {
		return
	}
	object, _ := edge.rollouts.objects.forPool(order.Pool())
	if object.Version() != order.Revision() {
		// A peer has read a later state.
		task.known[order.Pool()] = false
		return
	}
	status, err := store.EncodeRolloutStatus(decision.Order(), decision.Reason())
	if err != nil {
		edge.log.Error().Err(err).Msg("cannot encode the status of a rollout")
		return
	}
	if !edge.leaseCovers(holding) {
		return
	}
	edge.counters.storeCalls.Add(1)
	edge.rollouts.statusWrites.Add(1)
	_, err = edge.store.PutStatus(ctx, store.KindRollouts, object, status)
	edge.log.Info().Err(err).Str("pool", order.Pool()).Str("softwareVersion", order.Version()).Str("state", decision.State().String()).
		Float64("share", decision.Share()).Int64("fence", holding.Fence()).Msg("status of a rollout written")
	task.known[order.Pool()] = edge.readRollout(ctx, order.Pool())
	signal(edge.peers.urgent)
}

// readRollout reads the object with the order for the pool and reports whether the store
// answered.
func (edge *Edge) readRollout(ctx context.Context, pool string) bool {
	objects := edge.rollouts.objects
	_, name := objects.forPool(pool)
	edge.counters.storeCalls.Add(1)
	object, err := edge.store.Get(ctx, store.KindRollouts, name)
	var missing *platform.NotFoundError
	switch {
	case errors.As(err, &missing):
		// The watch shows whether the order was withdrawn.
		objects.remove(name)
		edge.wakeUps.rollouts.Trigger()
	case err != nil:
		edge.log.Warn().Err(err).Str("pool", pool).Msg("cannot read the order of a rollout")
		// The wait keeps a store that fails at once from being called in a loop.
		edge.clock.Wait(ctx, maxRetryWait)
		return false
	default:
		objects.set(object, false)
	}
	edge.observeOrders(0)
	return true
}

// rolloutInputs returns what this node knows about the order. The requests in progress are
// read after the order was.
func (edge *Edge) rolloutInputs(order canary.Order) canary.Inputs {
	now := edge.clock.Now()
	poolConfig, exists := pool.Pool{}, false
	if directory := edge.directory.Current(); directory != nil {
		poolConfig, exists = directory.Pool(order.Pool())
	}
	inProgress := int(edge.rollouts.unsettledIn(order.Pool()).Load())
	agreement := edge.rollouts.tracker.Agreement(order, inProgress, edge.peers.states.View().ServingHosts(now), now)
	inputs := canary.NewInputs(order, exists, edge.listedVersions(), agreement, edge.rollouts.tracker.Verdict(order.Pool())).
		WithAge(edge.rollouts.tracker.Age(order.Pool(), now))
	ordered, others, load := 0, 0, 0
	for _, server := range edge.fleet.Current().Pool(order.Pool()) {
		slots := server.Slots()
		if slots == 0 {
			slots = poolConfig.Slots()
		}
		load += int(server.InFlight() + server.PeerInFlight())
		switch {
		case server.Leaving():
		case server.Software() == order.Version():
			ordered += slots
		default:
			others += slots
		}
	}
	if ordered < others {
		// With as many slots as the others, the version carries what they do, also if
		// requests wait there.
		inputs = inputs.WithLoad(ordered, load)
	}
	return inputs
}

// logDecision logs a decision that differs from the one before.
func (edge *Edge) logDecision(holding platform.Holding, decision canary.Decision) {
	order := decision.Order()
	current := loggedDecision{version: order.Version(), state: decision.State(), share: decision.Share(), cause: decision.Cause()}
	if edge.rollouts.task.logged[order.Pool()] == current {
		return
	}
	edge.rollouts.task.logged[order.Pool()] = current
	edge.log.Info().Str("pool", order.Pool()).Str("softwareVersion", order.Version()).Str("state", decision.State().String()).
		Float64("share", decision.Share()).Str("cause", decision.Cause().String()).Str("reason", decision.Reason()).
		Int64("ageMillis", int64(edge.rolloutAge(order))).Int64("fence", holding.Fence()).Msg("rollout decision")
}

// rolloutAge returns the time since the order was first seen, or 0 if that isn't stored yet.
func (edge *Edge) rolloutAge(order canary.Order) clock.Millis {
	if order.OrderedAt() == 0 {
		return 0
	}
	return edge.trueTime() - order.OrderedAt()
}
