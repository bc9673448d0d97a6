package edge

import (
	"context"
	"encoding/json"
	"maps"

	"github.com/pkg/errors"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/platform"
)

const (
	// kindDemand is the kind of the object that holds the demand planned for.
	kindDemand = "sapphire-demand"
	demandName = "latest"
	// demandInterval is the least time between two writes of it: a successor then
	// plans for what was known that long ago.
	demandInterval = 5 * clock.Second
)

// demandForm is the planned demand by pool.
type demandForm struct {
	Pools map[string]plannedForm `json:"pools"`
}

// plannedForm is a pool's planned demand, in servers that are busy all the time.
type plannedForm struct {
	Work    float64 `json:"work"`
	Guessed bool    `json:"guessed"`
}

// demandRecord is what the holder knows of the stored demand under a fencing
// number. Pools are nil if nobody stored any.
type demandRecord struct {
	known    bool
	revision int64
	pools    map[string]plannedForm
	at       clock.Millis
}

// recallDemand reads the demand that a predecessor planned for, once under each
// fencing number, and reports whether that is done.
func (edge *Edge) recallDemand(ctx context.Context) bool {
	duty := edge.duties.sizing
	if duty.record.known {
		return true
	}
	edge.counters.storeCalls.Add(1)
	object, err := edge.duties.objects.Get(ctx, kindDemand, demandName)
	var missing *platform.NotFoundError
	if errors.As(err, &missing) {
		duty.record = demandRecord{known: true, revision: platform.VersionNone}
		return true
	}
	var form demandForm
	if err == nil {
		err = json.Unmarshal(object.Body(), &form)
	}
	if err != nil {
		edge.log.Warn().Err(err).Msg("planned demand can't be read")
		return false
	}
	duty.record = demandRecord{known: true, revision: object.Version(), pools: form.Pools, at: edge.clock.Now()}
	for _, row := range edge.orderedPools() {
		if known := duty.of(edge.clock, row); !known.begun {
			planned := form.Pools[row.Name()]
			known.autoscaler.Restore(planned.Work, planned.Guessed)
		}
	}
	edge.log.Info().Interface("pools", form.Pools).Int64("revision", object.Version()).Msg("planned demand recalled")
	return true
}

// commitDemand stores the demand planned for, if it has changed.
func (edge *Edge) commitDemand(ctx context.Context) {
	duty, now := edge.duties.sizing, edge.clock.Now()
	pools := map[string]plannedForm{}
	for pool, known := range duty.pools {
		if known.begun {
			pools[pool] = plannedForm{Work: known.autoscaler.PlannedWork(), Guessed: known.autoscaler.Estimated()}
		}
	}
	if len(pools) == 0 || maps.Equal(pools, duty.record.pools) || (duty.record.pools != nil && now-duty.record.at < demandInterval) {
		return
	}
	body, err := json.Marshal(demandForm{Pools: pools})
	if err != nil {
		edge.log.Error().Err(err).Msg("planned demand can't be encoded")
		return
	}
	edge.counters.storeCalls.Add(1)
	revision, err := edge.duties.objects.Put(ctx, kindDemand, demandName, body, duty.record.revision)
	if err != nil {
		// What is stored then may be a successor's, or this write, done late.
		duty.record.known = false
		edge.log.Warn().Err(err).Msg("planned demand can't be stored")
		return
	}
	duty.record = demandRecord{known: true, revision: revision, pools: pools, at: now}
}
