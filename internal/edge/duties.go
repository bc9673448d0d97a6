package edge

import (
	"context"
	"strconv"
	"sync/atomic"

	"golang.org/x/sync/errgroup"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/platform"
	"sapphirehead/internal/platform/platformhttp"
	"sapphirehead/internal/settings"
	"sapphirehead/platform/cloud"
	"sapphirehead/platform/store"
)

const (
	// dutyLease is the name of the lease under which all duties are done.
	dutyLease = "duties"
	// leaseShare is the part of the time within which duties must not go to another
	// node and back that a lease lasts. A short lease lets a successor begin soon.
	leaseShare = 2.0 / 3
	// returnMargin is added to that time before a node takes the lease back that
	// another node had meanwhile.
	returnMargin = 1 * clock.Second
	// dutyRound is the time between two looks at what is to be done.
	dutyRound = 400 * clock.Millisecond
	// leastLease is the shortest lease that is still renewed a few times.
	leastLease = 4 * dutyRound
	// callMargin is the time that a lease must last at the moment of a call: it is
	// with the platform by then, which checks the fencing number besides.
	callMargin = 500 * clock.Millisecond
)

// duties is what the holder of the lease does for all nodes.
type duties struct {
	lease   *platform.Lease
	objects *platform.Store
	cloud   *cloud.Client
	usage   *usageDuty
	sizing  *sizingDuty
	// refused is the fencing number that the cloud refused last.
	refused atomic.Int64
}

func newDuties(edge *Edge, loaded *settings.Edge) *duties {
	objects := store.NewPlatformStore(edge.store)
	incarnation := strconv.FormatInt(int64(edge.clock.Wall()), 36) + "." + strconv.FormatInt(int64(edge.clock.Now()), 36)
	lease := platform.NewLease(edge.clock, dutyLease, loaded.Host(), incarnation, leaseDuration(loaded),
		func(ctx context.Context, name string) (platform.LeaseRecord, int64, error) {
			edge.counters.storeCalls.Add(1)
			return platformhttp.LoadLease(ctx, objects, name)
		},
		func(ctx context.Context, name string, record platform.LeaseRecord, condition int64) (int64, error) {
			edge.counters.storeCalls.Add(1)
			return platformhttp.CommitLease(ctx, objects, name, record, condition)
		}).WithExclusiveHost()
	client := cloud.New(edge.transport, edge.clock,
		func() string { return edge.settings.Load().Cloud().Address() },
		func() millis { return edge.settings.Load().Cloud().Timeout() })
	return &duties{lease: lease, objects: objects, cloud: client, usage: &usageDuty{}, sizing: newSizingDuty()}
}

func leaseDuration(loaded *settings.Edge) clock.Millis {
	return max(leastLease, clock.Millis(leaseShare*float64(loaded.Bounds().Lease())))
}

// keepDuties competes for the lease, while the duties are done beside it, as
// their calls may be slow. On a planned stop they end and the lease is given
// back.
func (edge *Edge) keepDuties(ctx context.Context) {
	if edge.settings.Load().Cloud().Address() == "" {
		return
	}
	working, end := context.WithCancel(ctx)
	defer end()
	var group errgroup.Group
	for _, duty := range []func(context.Context){edge.keepUsage, edge.keepSizes} {
		group.Go(func() error {
			duty(working)
			return nil
		})
	}
	edge.competeForDuties(ctx)
	end()
	// Duties return no errors.
	_ = group.Wait()
	edge.releaseDuties(ctx)
}

// dutyHolding returns the holding under which duties may be done, and false if
// there is none.
func (edge *Edge) dutyHolding() (platform.Holding, bool) {
	holding, holds := edge.duties.lease.Holding()
	return holding, holds && holding.Fence() != edge.duties.refused.Load()
}

// competeForDuties keeps the lease, or takes it when it is free, until the node
// stops.
func (edge *Edge) competeForDuties(ctx context.Context) {
	lease := edge.duties.lease
	duration := leaseDuration(edge.settings.Load())
	looked, heldAt := -duration, -edge.settings.Load().Bounds().Lease()-returnMargin
	held := false
	for edge.clock.Wait(ctx, dutyRound) == nil && !edge.stopping.Load() {
		now := edge.clock.Now()
		candidacy := edge.standingFor(dutyLease, now)
		_, holds := lease.Holding()
		interval := candidacy.PollInterval()
		if record, known := lease.Record(); holds || !known || record.Released() || record.Holder() == "" {
			interval = candidacy.RenewInterval()
		}
		if now-looked >= interval {
			looked = now
			edge.keepLease(ctx, candidacy, heldAt, now)
		}
		holding, holds := lease.Holding()
		if holds {
			heldAt = edge.clock.Now()
		}
		if holds != held {
			held = holds
			edge.log.Info().Bool("held", held).Int64("fence", holding.Fence()).Msg("lease of the duties")
		}
	}
}

// standingFor returns this node's place among the live nodes for a task.
func (edge *Edge) standingFor(task string, now clock.Millis) platform.Candidacy {
	loaded := edge.settings.Load()
	var others []platform.Candidate
	for _, fellow := range edge.fellows.known.View().Live(now) {
		others = append(others, platform.NewCandidate(fellow.Host(), ""))
	}
	return platform.NewCandidacy(task, "", platform.NewCandidate(loaded.Host(), ""), others, leaseDuration(loaded))
}

// keepLease looks after the lease. A node that had it a short time ago leaves it
// to others for a while, so that duties do not go to and fro.
func (edge *Edge) keepLease(ctx context.Context, candidacy platform.Candidacy, heldAt, now clock.Millis) {
	holdBack := max(candidacy.TakeoverDelay(), heldAt+edge.settings.Load().Bounds().Lease()+returnMargin-now)
	if _, holds := edge.duties.lease.Holding(); holds {
		holdBack = 0
	}
	if err := edge.duties.lease.AcquireOrRenew(ctx, holdBack); err != nil {
		edge.log.Warn().Err(err).Int("rank", candidacy.Rank()).Msg("lease of the duties can't be kept")
	}
}

func (edge *Edge) releaseDuties(ctx context.Context) {
	if err := edge.duties.lease.Release(ctx); err != nil {
		edge.log.Warn().Err(err).Msg("lease of the duties can't be given back")
	}
}

// covered reports whether a call may begin under the holding.
func (edge *Edge) covered(holding platform.Holding) bool {
	return edge.duties.lease.Covers(holding.Fence(), callMargin)
}

func (edge *Edge) holder(holding platform.Holding) cloud.Holder {
	return cloud.NewHolder(edge.settings.Load().Host(), holding.Fence())
}

// fenced records that the cloud saw a higher fencing number, so that this one is
// not used again.
func (edge *Edge) fenced(holding platform.Holding, err error) {
	edge.duties.refused.Store(holding.Fence())
	edge.log.Warn().Err(err).Int64("fence", holding.Fence()).Msg("fencing number refused, duties end")
}
