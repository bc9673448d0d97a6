package edge

import (
	"context"
	"slices"
	"sync"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"sapphirehead/internal/clock"
	fleetcloud "sapphirehead/internal/cloud"
	"sapphirehead/internal/node"
	"sapphirehead/internal/platform"
	"sapphirehead/internal/pool"
	"sapphirehead/platform/cloud"
)

// autoscaling is the state of the pools that the lease holder scales. Every
// node follows the demand, so that a new holder can scale at once.
type autoscaling struct {
	fence  int64
	pools  map[string]*poolAutoscaling
	record demandRecord
}

// poolAutoscaling follows the demand of one pool and the orders for it.
type poolAutoscaling struct {
	autoscaler   *fleetcloud.Autoscaler
	orderTracker *fleetcloud.OrderTracker
	serving      map[fleetcloud.Place]int
	// tokens is the demand at observedAt, in prompt tokens since the start. work is
	// the demand in the window before it, in fully utilised servers.
	tokens     int64
	work       float64
	observedAt clock.Millis
	settling   *fleetcloud.Settling
}

// demandWindow is the time over which demand is averaged.
const demandWindow = 2 * clock.Second

func newAutoscaling() *autoscaling { return &autoscaling{pools: map[string]*poolAutoscaling{}} }

// reset drops the orders and the stored demand of an earlier lease.
func (autoscaling *autoscaling) reset() {
	autoscaling.record = demandRecord{}
	for _, state := range autoscaling.pools {
		state.orderTracker, state.settling = fleetcloud.NewOrderTracker(), fleetcloud.NewSettling()
	}
}

func (autoscaling *autoscaling) forPool(clock *clock.Clock, poolConfig pool.Pool) *poolAutoscaling {
	if autoscaling.pools[poolConfig.Name()] == nil {
		autoscaling.pools[poolConfig.Name()] = &poolAutoscaling{
			autoscaler: fleetcloud.NewAutoscaler(clock), orderTracker: fleetcloud.NewOrderTracker(), serving: map[fleetcloud.Place]int{},
			settling: fleetcloud.NewSettling(),
		}
	}
	return autoscaling.pools[poolConfig.Name()]
}

// autoscaledPools returns the pools whose size this system sets.
func (edge *Edge) autoscaledPools() []pool.Pool {
	directory := edge.directory.Current()
	if directory == nil {
		return nil
	}
	return slices.DeleteFunc(directory.Pools(), func(poolConfig pool.Pool) bool { return !poolConfig.Rental().Autoscaled() })
}

// runAutoscaling follows the demand, and orders servers while this node holds
// the lease, until the context ends.
func (edge *Edge) runAutoscaling(ctx context.Context) {
	for edge.clock.Wait(ctx, taskInterval) == nil {
		edge.observeDemand()
		if holding, holds := edge.leaderHolding(); holds {
			edge.orderServers(ctx, holding)
		}
	}
}

// observeDemand updates the demand of every pool, at most once in demandWindow.
func (edge *Edge) observeDemand() {
	now := edge.clock.Now()
	for _, poolConfig := range edge.autoscaledPools() {
		state := edge.leaderTasks.autoscaling.forPool(edge.clock, poolConfig)
		demand := edge.peers.demandFor(poolConfig.Name())
		tokens := demand.tokens.Load() + demand.atPeers.Load()
		elapsed := now - state.observedAt
		if state.observedAt != 0 && elapsed < demandWindow {
			continue
		}
		if state.observedAt != 0 {
			state.work = float64(tokens-state.tokens) / float64(elapsed) / edge.placement.Speed(poolConfig.Name()).PrefillRate()
			state.autoscaler.Observe(state.work)
			edge.estimateUnseen(poolConfig.Name(), state.work)
		}
		state.tokens, state.observedAt = tokens, now
	}
}

// estimateUnseen estimates the work that peers have sent to each server of the pool since
// their latest bulletins, given the demand in fully utilised servers.
func (edge *Edge) estimateUnseen(pool string, work float64) {
	_, servers := edge.servingIn(pool)
	age := node.BulletinInterval(edge.nodes(), false)/2 + edge.peers.states.View().MeanAge(edge.clock.Now())
	edge.placement.Speed(pool).SetUnseenMillis(work / float64(max(servers, 1)) * float64(age))
}

// orderServers sends the orders that are due.
func (edge *Edge) orderServers(ctx context.Context, holding platform.Holding) {
	if task := edge.leaderTasks.autoscaling; task.fence != holding.Fence() {
		task.reset()
		task.fence = holding.Fence()
	}
	if !edge.loadDemand(ctx) {
		return
	}
	for _, poolConfig := range edge.autoscaledPools() {
		edge.orderPool(ctx, holding, poolConfig)
	}
	edge.storeDemand(ctx)
}

func (edge *Edge) orderPool(ctx context.Context, holding platform.Holding, poolConfig pool.Pool) {
	state := edge.leaderTasks.autoscaling.forPool(edge.clock, poolConfig)
	serving, total := edge.servingIn(poolConfig.Name())
	now := edge.clock.Now()
	if total == 0 {
		return
	}
	keepsServers := edge.isRollingOut(poolConfig.Name())
	switch {
	case edge.leaderTasks.autoscaling.record.pools != nil:
		state.settling.Settle()
	case state.settling.Settled():
	case keepsServers:
		// The servers of both versions would count as the demand of a new deployment.
		return
	default:
		state.autoscaler.SetInitialServers(total - countReclaimable(serving))
	}
	settled := state.settling.Observe(total-countReclaimable(serving), clock.Millis(edge.storeResponses.servers.Load()), now)
	for place, before := range state.serving {
		if serving[place] < before {
			state.orderTracker.Lost(place)
		}
	}
	state.serving = serving
	due := map[fleetcloud.Place]int{}
	for place, count := range state.autoscaler.DesiredServers(poolConfig.Rental(), serving, state.orderTracker.Scarce(now)) {
		if keepsServers && count < serving[place] {
			continue
		}
		// On-demand servers are not scaled until the list of a new deployment is
		// complete, as running servers that are not listed yet would be drained.
		if (settled || place.Reclaimable()) && state.orderTracker.Due(place, count, now) {
			due[place] = count
		}
	}
	edge.sendOrders(ctx, holding, poolConfig, state, due)
}

// servingIn returns the servers of the pool that take requests, by place and in
// total.
func (edge *Edge) servingIn(pool string) (serving map[fleetcloud.Place]int, total int) {
	serving = map[fleetcloud.Place]int{}
	for _, server := range edge.fleet.Current().Pool(pool) {
		if !server.Leaving() {
			serving[fleetcloud.NewPlace(server.DataCentre(), server.Reclaimable())]++
			total++
		}
	}
	return serving, total
}

// countReclaimable returns the number of serving servers at reclaimable places.
func countReclaimable(serving map[fleetcloud.Place]int) int {
	count := 0
	for place, servers := range serving {
		if place.Reclaimable() {
			count += servers
		}
	}
	return count
}

// sendOrders sends the orders of a pool concurrently, as the cloud may be slow,
// and records their results.
func (edge *Edge) sendOrders(ctx context.Context, holding platform.Holding, poolConfig pool.Pool, state *poolAutoscaling, due map[fleetcloud.Place]int) {
	var group errgroup.Group
	var mutex sync.Mutex
	results := map[fleetcloud.Place]error{}
	for place, count := range due {
		if !edge.leaseCovers(holding) {
			break
		}
		group.Go(func() error {
			edge.counters.cloudCalls.Add(1)
			err := edge.leaderTasks.cloud.Scale(ctx, edge.holder(holding), poolConfig.Name(), place.DataCentre(), count, place.Reclaimable())
			mutex.Lock()
			defer mutex.Unlock()
			results[place] = err
			return nil
		})
	}
	// The orders' errors are in the results.
	_ = group.Wait()
	for place, err := range results {
		edge.recordOrder(holding, poolConfig, state, place, due[place], err)
	}
}

// recordOrder records the result of an order.
func (edge *Edge) recordOrder(holding platform.Holding, poolConfig pool.Pool, state *poolAutoscaling, place fleetcloud.Place, count int, err error) {
	now := edge.clock.Now()
	var refused *cloud.RefusedError
	switch {
	case err == nil:
		state.orderTracker.Accepted(place, count, now)
	case errors.As(err, &refused) && refused.Conflict() && !place.Reclaimable():
		edge.recordRejectedFence(holding, err)
	case errors.As(err, &refused):
		state.orderTracker.Refused(place, now)
	default:
		state.orderTracker.Unanswered(place, now)
	}
	edge.log.Info().Err(err).Str("pool", poolConfig.Name()).Str("dataCentre", place.DataCentre()).Bool("reclaimable", place.Reclaimable()).
		Int("count", count).Int("serving", state.serving[place]).Float64("plannedWork", state.autoscaler.PlannedWork()).
		Float64("work", state.work).Float64("prefillRate", edge.placement.Speed(poolConfig.Name()).PrefillRate()).Int64("fence", holding.Fence()).Msg("order")
}
