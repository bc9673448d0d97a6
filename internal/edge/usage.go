package edge

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"sapphirehead/internal/platform"
	"sapphirehead/internal/usage"
	"sapphirehead/platform/cloud"
)

const (
	// kindUsage is the kind of the object that holds the latest reported window.
	kindUsage = "sapphire-usage"
	usageName = "latest"
)

type usageForm struct {
	Window int64            `json:"window"`
	Counts map[string]int64 `json:"counts"`
}

// usageDuty is what the holder knows of its reports under a fencing number.
type usageDuty struct {
	fence    int64
	record   usage.Record
	revision int64
	known    bool
	sent     bool
}

func (duty *usageDuty) forget() { *duty = usageDuty{} }

// keepUsage reports usage while the lease is held, until the context ends.
func (edge *Edge) keepUsage(ctx context.Context) {
	for edge.clock.Wait(ctx, dutyRound) == nil {
		if holding, holds := edge.dutyHolding(); holds {
			edge.reportUsage(ctx, holding)
		}
	}
}

// reportUsage reports the next window that is due.
func (edge *Edge) reportUsage(ctx context.Context, holding platform.Holding) {
	duty := edge.duties.usage
	if duty.fence != holding.Fence() {
		duty.forget()
		duty.fence = holding.Fence()
	}
	if !duty.known && !edge.loadUsage(ctx) {
		return
	}
	if !duty.sent {
		edge.sendUsage(ctx, holding)
		return
	}
	bounds := edge.settings.Load().Bounds()
	window, due := usage.NextDue(duty.record.Window(), edge.trueTime(), bounds.UsageWindow(), bounds.UsageLate())
	if due && edge.commitUsage(ctx, usage.NewRecord(window, edge.usageOf(window))) {
		edge.sendUsage(ctx, holding)
	}
}

// usageOf adds up the runs of all nodes in the window.
func (edge *Edge) usageOf(window int64) map[string]int64 {
	counts := edge.fellows.known.View().Runs(window)
	edge.fellows.runs.Each(window, func(at int64, account string, runs int64) {
		if at == window {
			counts[account] += runs
		}
	})
	if directory := edge.directory.Current(); directory != nil {
		for _, account := range directory.Accounts() {
			counts[account.Name()] += 0
		}
	}
	return counts
}

// loadUsage reads the latest committed window. A predecessor may have died
// before it sent that, so it is sent again.
func (edge *Edge) loadUsage(ctx context.Context) bool {
	duty := edge.duties.usage
	edge.counters.storeCalls.Add(1)
	object, err := edge.duties.objects.Get(ctx, kindUsage, usageName)
	var missing *platform.NotFoundError
	if errors.As(err, &missing) {
		duty.known, duty.sent, duty.revision = true, true, platform.VersionNone
		return true
	}
	var form usageForm
	if err == nil {
		err = json.Unmarshal(object.Body(), &form)
	}
	if err != nil {
		edge.log.Warn().Err(err).Msg("committed usage can't be read")
		return false
	}
	duty.known, duty.sent, duty.revision = true, false, object.Version()
	duty.record = usage.NewRecord(form.Window, form.Counts)
	return true
}

// commitUsage stores a window's counts before they are sent.
func (edge *Edge) commitUsage(ctx context.Context, record usage.Record) bool {
	duty := edge.duties.usage
	body, err := json.Marshal(usageForm{Window: record.Window(), Counts: record.Counts()})
	if err != nil {
		edge.log.Error().Err(err).Msg("usage can't be encoded")
		return false
	}
	edge.counters.storeCalls.Add(1)
	revision, err := edge.duties.objects.Put(ctx, kindUsage, usageName, body, duty.revision)
	if err != nil {
		// Whatever became of the write, what is stored then is what counts.
		duty.forget()
		edge.log.Warn().Err(err).Int64("window", record.Window()).Msg("usage can't be committed")
		return false
	}
	duty.record, duty.revision, duty.sent = record, revision, false
	return true
}

func (edge *Edge) sendUsage(ctx context.Context, holding platform.Holding) {
	duty := edge.duties.usage
	if !edge.covered(holding) {
		return
	}
	edge.counters.cloudCalls.Add(1)
	err := edge.duties.cloud.ReportUsage(ctx, edge.holder(holding), duty.record.Window(), duty.record.Counts())
	var refused *cloud.RefusedError
	switch {
	case err == nil:
		duty.sent = true
		edge.log.Info().Int64("window", duty.record.Window()).Int64("fence", holding.Fence()).Interface("counts", duty.record.Counts()).Msg("usage reported")
	case errors.As(err, &refused) && refused.Conflict():
		edge.fenced(holding, err)
	case errors.As(err, &refused) && !refused.Retryable():
		duty.sent = true
		edge.log.Error().Err(err).Int64("window", duty.record.Window()).Msg("usage refused for good")
	default:
		edge.log.Warn().Err(err).Int64("window", duty.record.Window()).Msg("usage not reported yet")
	}
}
