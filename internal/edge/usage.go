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
	// kindUsage is the kind of the store object that holds the latest committed
	// window.
	kindUsage = "sapphire-usage"
	usageName = "latest"
)

type usageForm struct {
	Window int64            `json:"window"`
	Counts map[string]int64 `json:"counts"`
	// Era is the era of the store in which the window was committed.
	Era int64 `json:"era,omitempty"`
}

// usageTask is the state of the usage reports under one fencing token.
type usageTask struct {
	fence   int64
	record  usage.Record
	version int64
	loaded  bool
	sent    bool
}

func (task *usageTask) reset() { *task = usageTask{} }

// runUsageReports reports usage while this node holds the lease, until the
// context ends.
func (edge *Edge) runUsageReports(ctx context.Context) {
	for edge.clock.Wait(ctx, taskInterval) == nil {
		if holding, holds := edge.leaderHolding(); holds {
			edge.reportUsage(ctx, holding)
		}
	}
}

// reportUsage reports the next window that is due.
func (edge *Edge) reportUsage(ctx context.Context, holding platform.Holding) {
	task := edge.leaderTasks.usage
	if task.fence != holding.Fence() {
		task.reset()
		task.fence = holding.Fence()
	}
	if !task.loaded && !edge.loadUsage(ctx) {
		return
	}
	if !task.sent {
		edge.sendUsage(ctx, holding)
		return
	}
	bounds := edge.settings.Load().Bounds()
	window, due := usage.NextDue(task.record.Window(), edge.trueTime(), bounds.UsageWindow(), bounds.UsageLate())
	if due && edge.commitUsage(ctx, usage.NewRecord(window, edge.sumUsage(window))) {
		edge.sendUsage(ctx, holding)
	}
}

// sumUsage sums the runs of all nodes in the window, by client account.
func (edge *Edge) sumUsage(window int64) map[string]int64 {
	counts := edge.peers.states.View().Runs(window)
	edge.peers.runs.Each(window, func(runWindow int64, account string, runs int64) {
		if runWindow == window {
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

// loadUsage reads the latest committed window, which is then sent again, as a
// predecessor may have died before it sent it. If the store has lost later ones, the
// report goes on after the latest window that any node knows of: what was sent for the
// lost ones is unknown, and a window must not be sent twice with other counts.
func (edge *Edge) loadUsage(ctx context.Context) bool {
	task := edge.leaderTasks.usage
	edge.counters.storeCalls.Add(1)
	object, err := edge.leaderTasks.objects.Get(ctx, kindUsage, usageName)
	var missing *platform.NotFoundError
	var form usageForm
	version := object.Version()
	switch {
	case errors.As(err, &missing):
		version = missing.Version()
	case err == nil:
		err = json.Unmarshal(object.Body(), &form)
	}
	if err != nil && missing == nil {
		edge.log.Warn().Err(err).Msg("cannot read the committed usage")
		return false
	}
	task.loaded, task.sent, task.version = true, false, version
	task.record = usage.NewRecord(form.Window, form.Counts)
	known := edge.peers.reportedWindow.Load()
	if missing != nil || (form.Era != platform.EraOf(version) && known < form.Window) {
		known = max(known, usage.LatestSettled(edge.trueTime(), edge.settings.Load().Bounds().UsageWindow()))
	}
	if known > form.Window {
		edge.log.Warn().Int64("window", form.Window).Int64("known", known).Msg("usage reports go on after a window that the store does not have")
		task.record, task.sent = usage.NewRecord(known, nil), true
	}
	edge.peers.recordReportedWindow(task.record.Window())
	return true
}

// commitUsage stores a window's counts before they are sent.
func (edge *Edge) commitUsage(ctx context.Context, record usage.Record) bool {
	task := edge.leaderTasks.usage
	body, err := json.Marshal(usageForm{Window: record.Window(), Counts: record.Counts(), Era: platform.EraOf(task.version)})
	if err != nil {
		edge.log.Error().Err(err).Msg("cannot encode the usage")
		return false
	}
	edge.counters.storeCalls.Add(1)
	version, err := edge.leaderTasks.objects.Put(ctx, kindUsage, usageName, body, task.version)
	if err != nil {
		// The outcome of the write is unknown, so the stored window is read again.
		task.reset()
		edge.log.Warn().Err(err).Int64("window", record.Window()).Msg("cannot commit the usage")
		return false
	}
	task.record, task.version, task.sent = record, version, false
	edge.peers.recordReportedWindow(record.Window())
	signal(edge.peers.urgent)
	return true
}

func (edge *Edge) sendUsage(ctx context.Context, holding platform.Holding) {
	task := edge.leaderTasks.usage
	if !edge.leaseCovers(holding) {
		return
	}
	edge.counters.cloudCalls.Add(1)
	err := edge.leaderTasks.cloud.ReportUsage(ctx, edge.holder(holding), task.record.Window(), task.record.Counts())
	var refused *cloud.RefusedError
	switch {
	case err == nil:
		task.sent = true
		edge.log.Info().Int64("window", task.record.Window()).Int64("fence", holding.Fence()).Interface("counts", task.record.Counts()).Msg("usage reported")
	case errors.As(err, &refused) && refused.Conflict():
		edge.recordRejectedFence(holding, err)
	case errors.As(err, &refused) && !refused.Retryable():
		task.sent = true
		edge.log.Error().Err(err).Int64("window", task.record.Window()).Msg("usage report refused permanently")
	default:
		edge.log.Warn().Err(err).Int64("window", task.record.Window()).Msg("cannot report the usage yet")
	}
}
