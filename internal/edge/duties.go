package edge

import (
	"context"
	"encoding/json"
	"strconv"

	"github.com/pkg/errors"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/platform"
	"sapphirehead/internal/platform/platformhttp"
	"sapphirehead/internal/settings"
	"sapphirehead/internal/usage"
	"sapphirehead/platform/cloud"
	"sapphirehead/platform/store"
)

const (
	// dutyLease is the name of the lease under which all duties are done.
	dutyLease = "duties"
	// leaseMargin is added to the time within which a duty must not go to another
	// node and back: a lease lasts longer than that.
	leaseMargin = 1 * clock.Second
	// dutyRound is the time between two looks at what is to be done.
	dutyRound = 400 * clock.Millisecond
	// callMargin is the time that a lease must last at the moment of a call, over
	// the call's timeout.
	callMargin = 200 * clock.Millisecond
)

// duties is what the holder of the lease does for all nodes.
type duties struct {
	lease   *platform.Lease
	objects *platform.Store
	cloud   *cloud.Client
	usage   *usageDuty
	sizing  *sizingDuty
	refused int64
}

func newDuties(edge *Edge, loaded *settings.Edge) *duties {
	objects := store.Objects(edge.store)
	duration := edge.settings.Load().Bounds().Lease() + leaseMargin
	incarnation := strconv.FormatInt(int64(edge.clock.Wall()), 36) + "." + strconv.FormatInt(int64(edge.clock.Now()), 36)
	lease := platform.NewLease(edge.clock, dutyLease, loaded.Host(), incarnation, duration,
		func(ctx context.Context, name string) (platform.LeaseRecord, int64, error) {
			edge.counters.storeCalls.Add(1)
			return platformhttp.LoadLease(ctx, objects, name)
		},
		func(ctx context.Context, name string, record platform.LeaseRecord, condition int64) (int64, error) {
			edge.counters.storeCalls.Add(1)
			return platformhttp.CommitLease(ctx, objects, name, record, condition)
		})
	client := cloud.New(edge.transport, edge.clock,
		func() string { return edge.settings.Load().Cloud().Address() },
		func() millis { return edge.settings.Load().Cloud().Timeout() })
	return &duties{lease: lease, objects: objects, cloud: client, usage: &usageDuty{}, sizing: newSizingDuty()}
}

// keepDuties competes for the lease and does the duties while it is held. On a
// planned stop the lease is given back.
func (edge *Edge) keepDuties(ctx context.Context) {
	if edge.settings.Load().Cloud().Address() == "" {
		return
	}
	lease := edge.duties.lease
	duration := edge.settings.Load().Bounds().Lease() + leaseMargin
	looked, held := -duration, false
	for edge.clock.Wait(ctx, dutyRound) == nil {
		now := edge.clock.Now()
		if edge.stopping.Load() {
			edge.releaseDuties(ctx)
			return
		}
		standing := edge.standing(duration, now)
		_, holds := lease.Holding()
		interval := standing.Look()
		if record, known := lease.Record(); holds || !known || record.Released() || record.Holder() == "" {
			interval = standing.Renewal()
		}
		edge.observeDemand()
		if now-looked >= interval {
			looked = now
			edge.keepLease(ctx, standing)
		}
		holding, holds := lease.Holding()
		if holds != held {
			held = holds
			edge.log.Info().Bool("held", held).Int64("fence", holding.Fence()).Msg("lease of the duties")
			edge.duties.usage.forget()
			edge.duties.sizing.forgetOrders()
		}
		if holds && holding.Fence() != edge.duties.refused {
			edge.doDuties(ctx, holding)
		}
	}
}

func (edge *Edge) standing(duration, now clock.Millis) platform.Standing {
	loaded := edge.settings.Load()
	var others []platform.Candidate
	for _, fellow := range edge.fellows.known.View().Live(now) {
		others = append(others, platform.NewCandidate(fellow.Host(), ""))
	}
	return platform.NewStanding(dutyLease, "", platform.NewCandidate(loaded.Host(), ""), others, duration)
}

func (edge *Edge) keepLease(ctx context.Context, standing platform.Standing) {
	if err := edge.duties.lease.Keep(ctx, standing.HoldBack()); err != nil {
		edge.log.Warn().Err(err).Int("rank", standing.Rank()).Msg("lease of the duties can't be kept")
	}
}

func (edge *Edge) releaseDuties(ctx context.Context) {
	if err := edge.duties.lease.Release(ctx); err != nil {
		edge.log.Warn().Err(err).Msg("lease of the duties can't be given back")
	}
}

func (edge *Edge) doDuties(ctx context.Context, holding platform.Holding) {
	edge.reportUsage(ctx, holding)
	edge.orderServers(ctx, holding)
}

// covered reports whether a call may begin under the holding: the lease goes on
// for longer than the call may take.
func (edge *Edge) covered(holding platform.Holding) bool {
	return edge.duties.lease.Covers(holding.Fence(), edge.settings.Load().Cloud().Timeout()+callMargin)
}

func (edge *Edge) holder(holding platform.Holding) cloud.Holder {
	return cloud.NewHolder(edge.settings.Load().Host(), holding.Fence())
}

// fenced records that the cloud saw a higher fencing number, so that this one is
// not used again.
func (edge *Edge) fenced(holding platform.Holding, err error) {
	edge.duties.refused = holding.Fence()
	edge.log.Warn().Err(err).Int64("fence", holding.Fence()).Msg("fencing number refused, duties end")
}

const (
	// kindUsage is the kind of the object that holds the latest reported window.
	kindUsage = "sapphire-usage"
	usageName = "latest"
)

type usageForm struct {
	Window int64            `json:"window"`
	Counts map[string]int64 `json:"counts"`
}

// usageDuty is what the holder knows of its reports.
type usageDuty struct {
	record   usage.Record
	revision int64
	known    bool
	sent     bool
}

func (duty *usageDuty) forget() { *duty = usageDuty{} }

// reportUsage reports the next window that is due.
func (edge *Edge) reportUsage(ctx context.Context, holding platform.Holding) {
	duty := edge.duties.usage
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
	case errors.As(err, &refused) && !refused.Busy():
		duty.sent = true
		edge.log.Error().Err(err).Int64("window", duty.record.Window()).Msg("usage refused for good")
	default:
		edge.log.Warn().Err(err).Int64("window", duty.record.Window()).Msg("usage not reported yet")
	}
}
