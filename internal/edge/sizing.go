package edge

import (
	"context"
	"slices"
	"sync"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"sapphirehead/internal/clock"
	fleetcloud "sapphirehead/internal/cloud"
	"sapphirehead/internal/platform"
	"sapphirehead/internal/pool"
	"sapphirehead/platform/cloud"
)

// sizingDuty is what a node knows of the pools whose servers the holder orders.
// Every node follows the demand, so that a new holder knows it.
type sizingDuty struct {
	fence  int64
	pools  map[string]*poolSizing
	record demandRecord
}

// poolSizing follows the demand of one pool and the orders for it.
type poolSizing struct {
	autoscaler   *fleetcloud.Autoscaler
	orderTracker *fleetcloud.OrderTracker
	serving      map[fleetcloud.Place]int
	tokens       int64
	work         float64
	at           clock.Millis
	most         int
	grew         clock.Millis
	begun        bool
}

const (
	// listSettled is how long no server was added to the list before it is taken to
	// be whole: the servers of a new deployment appear one after the other.
	listSettled = 1500 * clock.Millisecond
	// workInterval is the time over which demand is averaged.
	workInterval = 2 * clock.Second
)

func newSizingDuty() *sizingDuty { return &sizingDuty{pools: map[string]*poolSizing{}} }

// forget drops what was ordered and read under an earlier lease.
func (duty *sizingDuty) forget() {
	duty.record = demandRecord{}
	for _, known := range duty.pools {
		known.orderTracker, known.begun = fleetcloud.NewOrderTracker(), false
	}
}

func (duty *sizingDuty) of(clock *clock.Clock, row pool.Pool) *poolSizing {
	if duty.pools[row.Name()] == nil {
		duty.pools[row.Name()] = &poolSizing{
			autoscaler: fleetcloud.NewAutoscaler(clock), orderTracker: fleetcloud.NewOrderTracker(), serving: map[fleetcloud.Place]int{},
		}
	}
	return duty.pools[row.Name()]
}

// orderedPools returns the pools whose size is the system's to change.
func (edge *Edge) orderedPools() []pool.Pool {
	directory := edge.directory.Current()
	if directory == nil {
		return nil
	}
	return slices.DeleteFunc(directory.Pools(), func(row pool.Pool) bool { return !row.Rental().Autoscaled() })
}

// keepSizes follows the demand, and orders servers while the lease is held, until
// the context ends.
func (edge *Edge) keepSizes(ctx context.Context) {
	for edge.clock.Wait(ctx, dutyRound) == nil {
		edge.observeDemand()
		if holding, holds := edge.dutyHolding(); holds {
			edge.orderServers(ctx, holding)
		}
	}
}

// observeDemand follows the demand of every pool.
func (edge *Edge) observeDemand() {
	now := edge.clock.Now()
	for _, row := range edge.orderedPools() {
		known := edge.duties.sizing.of(edge.clock, row)
		demand := edge.fellows.demandFor(row.Name())
		tokens := demand.tokens.Load() + demand.elsewhere.Load()
		elapsed := now - known.at
		if known.at != 0 && elapsed < workInterval {
			continue
		}
		if known.at != 0 {
			known.work = float64(tokens-known.tokens) / float64(elapsed) / pool.PrefillTokensPerMillisecond
			known.autoscaler.Observe(known.work)
		}
		known.tokens, known.at = tokens, now
	}
}

// orderServers sends the orders that are due.
func (edge *Edge) orderServers(ctx context.Context, holding platform.Holding) {
	if duty := edge.duties.sizing; duty.fence != holding.Fence() {
		duty.forget()
		duty.fence = holding.Fence()
	}
	if !edge.recallDemand(ctx) {
		return
	}
	for _, row := range edge.orderedPools() {
		edge.orderPool(ctx, holding, row)
	}
	edge.commitDemand(ctx)
}

func (edge *Edge) orderPool(ctx context.Context, holding platform.Holding, row pool.Pool) {
	known := edge.duties.sizing.of(edge.clock, row)
	serving, total := edge.servingIn(row.Name())
	now := edge.clock.Now()
	if total > known.most {
		known.most, known.grew = total, now
	}
	if total == 0 {
		return
	}
	first := edge.duties.sizing.record.pools == nil
	if !known.begun && first {
		known.autoscaler.SetInitialServers(total - reclaimable(serving))
	}
	known.begun = known.begun || !first || now-known.grew >= listSettled
	for place, before := range known.serving {
		if serving[place] < before {
			known.orderTracker.Lost(place)
		}
	}
	known.serving = serving
	due := map[fleetcloud.Place]int{}
	for place, count := range known.autoscaler.DesiredServers(row.Rental(), serving, known.orderTracker.Scarce(now)) {
		// Until the list of a new deployment is whole, nothing that runs is let go.
		if (known.begun || place.Reclaimable()) && known.orderTracker.Due(place, count, now) {
			due[place] = count
		}
	}
	edge.order(ctx, holding, row, known, due)
}

// servingIn returns the servers of the pool that take requests, by place and in
// all.
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

// reclaimable returns how many of the serving servers are.
func reclaimable(serving map[fleetcloud.Place]int) int {
	count := 0
	for place, servers := range serving {
		if place.Reclaimable() {
			count += servers
		}
	}
	return count
}

// order sends the orders for a pool at the same time, as the cloud may be slow,
// and takes in what became of them.
func (edge *Edge) order(ctx context.Context, holding platform.Holding, row pool.Pool, known *poolSizing, due map[fleetcloud.Place]int) {
	var group errgroup.Group
	var mutex sync.Mutex
	results := map[fleetcloud.Place]error{}
	for place, count := range due {
		if !edge.covered(holding) {
			break
		}
		group.Go(func() error {
			edge.counters.cloudCalls.Add(1)
			err := edge.duties.cloud.Scale(ctx, edge.holder(holding), row.Name(), place.DataCentre(), count, place.Reclaimable())
			mutex.Lock()
			defer mutex.Unlock()
			results[place] = err
			return nil
		})
	}
	// The orders' errors are in the results.
	_ = group.Wait()
	for place, err := range results {
		edge.ordered(holding, row, known, place, due[place], err)
	}
}

// ordered takes in what became of an order.
func (edge *Edge) ordered(holding platform.Holding, row pool.Pool, known *poolSizing, place fleetcloud.Place, count int, err error) {
	now := edge.clock.Now()
	var refused *cloud.RefusedError
	switch {
	case err == nil:
		known.orderTracker.Accepted(place, count, now)
	case errors.As(err, &refused) && refused.Conflict() && !place.Reclaimable():
		edge.fenced(holding, err)
	case errors.As(err, &refused):
		known.orderTracker.Refused(place, now)
	default:
		known.orderTracker.Unanswered(place, now)
	}
	edge.log.Info().Err(err).Str("pool", row.Name()).Str("dataCentre", place.DataCentre()).Bool("reclaimable", place.Reclaimable()).
		Int("count", count).Int("serving", known.serving[place]).Float64("plannedWork", known.autoscaler.PlannedWork()).
		Float64("work", known.work).Int64("fence", holding.Fence()).Msg("order")
}
