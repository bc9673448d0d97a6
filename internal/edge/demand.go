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
	// kindDemand is the kind of the store object that holds the planned demand.
	kindDemand = "sapphire-demand"
	demandName = "latest"
	// demandInterval is the minimum time between two writes of the planned demand.
	// A successor may start from a plan that is this much out of date.
	demandInterval = 5 * clock.Second
)

// demandForm is the planned demand by pool.
type demandForm struct {
	Pools map[string]plannedForm `json:"pools"`
}

// plannedForm is a pool's planned demand, in fully utilised servers.
type plannedForm struct {
	Work      float64 `json:"work"`
	Estimated bool    `json:"guessed"`
}

// demandRecord is the lease holder's copy of the stored demand under one
// fencing token. pools is nil if no demand was ever stored.
type demandRecord struct {
	loaded   bool
	version  int64
	pools    map[string]plannedForm
	storedAt clock.Millis
}

// loadDemand reads the demand that a predecessor planned for, once under each
// fencing token, and reports whether it is loaded.
func (edge *Edge) loadDemand(ctx context.Context) bool {
	task := edge.leaderTasks.autoscaling
	if task.record.loaded {
		return true
	}
	edge.counters.storeCalls.Add(1)
	object, err := edge.leaderTasks.objects.Get(ctx, kindDemand, demandName)
	var missing *platform.NotFoundError
	if errors.As(err, &missing) {
		task.record = demandRecord{loaded: true, version: platform.VersionNone}
		return true
	}
	var form demandForm
	if err == nil {
		err = json.Unmarshal(object.Body(), &form)
	}
	if err != nil {
		edge.log.Warn().Err(err).Msg("cannot read the planned demand")
		return false
	}
	task.record = demandRecord{loaded: true, version: object.Version(), pools: form.Pools, storedAt: edge.clock.Now()}
	for _, poolConfig := range edge.autoscaledPools() {
		if state := task.forPool(edge.clock, poolConfig); !state.settling.Settled() {
			planned := form.Pools[poolConfig.Name()]
			state.autoscaler.Restore(planned.Work, planned.Estimated)
		}
	}
	edge.log.Info().Interface("pools", form.Pools).Str("version", platform.FormatVersion(object.Version())).Msg("loaded the planned demand")
	return true
}

// storeDemand stores the planned demand if it has changed.
func (edge *Edge) storeDemand(ctx context.Context) {
	task, now := edge.leaderTasks.autoscaling, edge.clock.Now()
	pools := map[string]plannedForm{}
	for pool, state := range task.pools {
		if state.settling.Settled() {
			pools[pool] = plannedForm{Work: state.autoscaler.PlannedWork(), Estimated: state.autoscaler.Estimated()}
		}
	}
	if len(pools) == 0 || maps.Equal(pools, task.record.pools) || (task.record.pools != nil && now-task.record.storedAt < demandInterval) {
		return
	}
	body, err := json.Marshal(demandForm{Pools: pools})
	if err != nil {
		edge.log.Error().Err(err).Msg("cannot encode the planned demand")
		return
	}
	edge.counters.storeCalls.Add(1)
	version, err := edge.leaderTasks.objects.Put(ctx, kindDemand, demandName, body, task.record.version)
	if err != nil {
		// A successor may have written the object, or this write may be applied late,
		// so the object is read again.
		task.record.loaded = false
		edge.log.Warn().Err(err).Msg("cannot store the planned demand")
		return
	}
	task.record = demandRecord{loaded: true, version: version, pools: pools, storedAt: now}
}
