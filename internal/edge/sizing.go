package edge

import (
	"context"

	"github.com/pkg/errors"

	"sapphirehead/internal/clock"
	fleetcloud "sapphirehead/internal/cloud"
	"sapphirehead/internal/platform"
	"sapphirehead/internal/pool"
	"sapphirehead/platform/cloud"
)

// sizingDuty is what the holder knows of the pools whose servers it orders.
type sizingDuty struct {
	pools map[string]*poolSizing
}

// poolSizing follows the demand of one pool and the orders for it.
type poolSizing struct {
	sizing   *fleetcloud.Sizing
	ordering *fleetcloud.Ordering
	serving  map[fleetcloud.Place]int
	tokens   int64
	work     float64
	at       clock.Millis
	most     int
	grew     clock.Millis
	begun    bool
}

// listSettled is how long no server was added to the list before the first order
// is made: the servers of a new deployment appear one after the other.
const listSettled = 1500 * clock.Millisecond

func newSizingDuty() *sizingDuty { return &sizingDuty{pools: map[string]*poolSizing{}} }

func (duty *sizingDuty) forget() { duty.pools = map[string]*poolSizing{} }

func (duty *sizingDuty) of(clock *clock.Clock, row pool.Pool) *poolSizing {
	if duty.pools[row.Name()] == nil {
		duty.pools[row.Name()] = &poolSizing{
			sizing: fleetcloud.NewSizing(clock), ordering: fleetcloud.NewOrdering(), serving: map[fleetcloud.Place]int{},
		}
	}
	return duty.pools[row.Name()]
}

// orderServers sends the orders that are due.
func (edge *Edge) orderServers(ctx context.Context, holding platform.Holding) {
	directory := edge.directory.Current()
	if directory == nil {
		return
	}
	for _, row := range directory.Pools() {
		if row.Rental().Ordered() {
			edge.orderPool(ctx, holding, row)
		}
	}
}

func (edge *Edge) orderPool(ctx context.Context, holding platform.Holding, row pool.Pool) {
	known := edge.duties.sizing.of(edge.clock, row)
	serving := map[fleetcloud.Place]int{}
	total := 0
	for _, server := range edge.fleet.Current().Pool(row.Name()) {
		if !server.Leaving() {
			serving[fleetcloud.NewPlace(server.DataCentre(), server.Reclaimable())]++
			total++
		}
	}
	now := edge.clock.Now()
	if total > known.most {
		known.most, known.grew = total, now
	}
	if total == 0 || (!known.begun && now-known.grew < listSettled) {
		return
	}
	known.begun = true
	known.sizing.Observe(edge.workOf(known, row), serving)
	for place, before := range known.serving {
		if serving[place] < before {
			known.ordering.Lost(place)
		}
	}
	known.serving = serving
	for place, count := range known.sizing.Wanted(row.Rental(), serving, known.ordering.Scarce(now)) {
		if now := edge.clock.Now(); known.ordering.Due(place, count, now) && edge.covered(holding) {
			edge.order(ctx, holding, row, known, place, count)
		}
	}
}

// workOf returns how many engines the prompts that are to be read keep busy.
func (edge *Edge) workOf(known *poolSizing, row pool.Pool) float64 {
	now := edge.clock.Now()
	_, tokens := demandOf(edge.fellows.known.View(), edge.fellows.demandFor(row.Name()), row.Name(), now)
	elapsed := now - known.at
	if known.at == 0 || elapsed < workInterval {
		if known.at == 0 {
			known.tokens, known.at = tokens, now
		}
		return known.work
	}
	known.work = max(0, float64(tokens-known.tokens)/float64(elapsed)/pool.PrefillTokens)
	known.tokens, known.at = tokens, now
	return known.work
}

// workInterval is the time over which demand is averaged.
const workInterval = 2 * clock.Second

func (edge *Edge) order(ctx context.Context, holding platform.Holding, row pool.Pool, known *poolSizing, place fleetcloud.Place, count int) {
	edge.counters.cloudCalls.Add(1)
	err := edge.duties.cloud.Order(ctx, edge.holder(holding), row.Name(), place.DataCentre(), count, place.Reclaimable())
	now := edge.clock.Now()
	var refused *cloud.RefusedError
	switch {
	case err == nil:
		known.ordering.Done(place, count, now)
	case errors.As(err, &refused) && refused.Conflict() && !place.Reclaimable():
		edge.fenced(holding, err)
	case errors.As(err, &refused):
		known.ordering.Refused(place, now)
	default:
		known.ordering.Unanswered(place, now)
	}
	edge.log.Info().Err(err).Str("pool", row.Name()).Str("dataCentre", place.DataCentre()).Bool("reclaimable", place.Reclaimable()).
		Int("count", count).Int("serving", known.serving[place]).Float64("plannedWork", known.sizing.Work()).
		Float64("work", known.work).Int64("fence", holding.Fence()).Msg("order")
}
