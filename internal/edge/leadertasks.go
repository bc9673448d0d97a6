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
	// leaderLease is the name of the lease under which all leader tasks run.
	leaderLease = "duties"
	// leaseShare is the duration of the lease as a share of the lease bound in the
	// settings, within which the leader tasks must not move to another node and
	// back. With a shorter lease a successor takes over sooner.
	leaseShare = 2.0 / 3
	// reacquireMargin is added to the lease bound before a node that lost the lease
	// takes it again.
	reacquireMargin = 1 * clock.Second
	// taskInterval is the time between two rounds of a leader task.
	taskInterval = 400 * clock.Millisecond
	// minLeaseDuration is the shortest lease, within which several rounds can renew
	// it.
	minLeaseDuration = 4 * taskInterval
	// leaseCallMargin is the minimum remaining time of a lease when a call begins,
	// so that the call arrives while the lease is valid. The platform also checks
	// the fencing token.
	leaseCallMargin = 500 * clock.Millisecond
)

// leaderTasks is the state of the tasks that the lease holder runs for all
// nodes.
type leaderTasks struct {
	lease       *platform.Lease
	objects     *platform.Store
	cloud       *cloud.Client
	usage       *usageTask
	autoscaling *autoscaling
	// rejectedFence is the fencing token that the cloud rejected last.
	rejectedFence atomic.Int64
}

func newLeaderTasks(edge *Edge, loaded *settings.Edge) *leaderTasks {
	objects := store.NewPlatformStore(edge.store)
	incarnation := strconv.FormatInt(int64(edge.clock.Wall()), 36) + "." + strconv.FormatInt(int64(edge.clock.Now()), 36)
	lease := platform.NewLease(edge.clock, leaderLease, loaded.Host(), incarnation, leaseDuration(loaded),
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
	return &leaderTasks{lease: lease, objects: objects, cloud: client, usage: &usageTask{}, autoscaling: newAutoscaling()}
}

func leaseDuration(loaded *settings.Edge) clock.Millis {
	return max(minLeaseDuration, clock.Millis(leaseShare*float64(loaded.Bounds().Lease())))
}

// runLeaderTasks competes for the lease and concurrently runs the leader tasks,
// as their calls may be slow. On a planned stop the tasks end and the lease is
// released.
func (edge *Edge) runLeaderTasks(ctx context.Context) {
	tasks := []func(context.Context){edge.runRolloutTask}
	if edge.settings.Load().Cloud().Address() != "" {
		tasks = append(tasks, edge.runUsageReports, edge.runAutoscaling)
	} else if !edge.awaitRollouts(ctx) {
		// Nothing but rollouts needs the lease.
		return
	}
	working, end := context.WithCancel(ctx)
	defer end()
	var group errgroup.Group
	for _, task := range tasks {
		group.Go(func() error {
			task(working)
			return nil
		})
	}
	edge.competeForLease(ctx)
	end()
	// Leader tasks return no errors.
	_ = group.Wait()
	edge.releaseLease(ctx)
}

// leaderHolding returns the holding under which leader tasks may run, and false
// if there is none.
func (edge *Edge) leaderHolding() (platform.Holding, bool) {
	holding, holds := edge.leaderTasks.lease.Holding()
	return holding, holds && holding.Fence() != edge.leaderTasks.rejectedFence.Load()
}

// competeForLease renews the lease, or takes it when it is free, until the node
// stops.
func (edge *Edge) competeForLease(ctx context.Context) {
	lease := edge.leaderTasks.lease
	duration := leaseDuration(edge.settings.Load())
	lastAttempt, lastHeld := -duration, -edge.settings.Load().Bounds().Lease()-reacquireMargin
	held := false
	for edge.clock.Wait(ctx, taskInterval) == nil && !edge.stopping.Load() {
		now := edge.clock.Now()
		candidacy := edge.candidacyFor(leaderLease, now)
		_, holds := lease.Holding()
		interval := candidacy.PollInterval()
		if record, ok := lease.Record(); holds || !ok || record.Released() || record.Holder() == "" {
			interval = candidacy.RenewInterval()
		}
		if now-lastAttempt >= interval {
			lastAttempt = now
			edge.keepLease(ctx, candidacy, lastHeld, now)
		}
		holding, holds := lease.Holding()
		if holds {
			lastHeld = edge.clock.Now()
		}
		if holds != held {
			held = holds
			edge.log.Info().Bool("held", held).Int64("fence", holding.Fence()).Msg("lease on leader tasks changed")
		}
	}
}

// candidacyFor returns this node's candidacy for a task among the live nodes.
func (edge *Edge) candidacyFor(task string, now clock.Millis) platform.Candidacy {
	loaded := edge.settings.Load()
	var others []platform.Candidate
	for _, peer := range edge.peers.states.View().Live(now) {
		others = append(others, platform.NewCandidate(peer.Host(), ""))
	}
	return platform.NewCandidacy(task, "", platform.NewCandidate(loaded.Host(), ""), others, leaseDuration(loaded))
}

// keepLease renews or takes the lease. A node that held it a short time ago
// leaves it to others for a while, so that leader tasks do not move back and
// forth.
func (edge *Edge) keepLease(ctx context.Context, candidacy platform.Candidacy, lastHeld, now clock.Millis) {
	takeoverDelay := max(candidacy.TakeoverDelay(), lastHeld+edge.settings.Load().Bounds().Lease()+reacquireMargin-now)
	if _, holds := edge.leaderTasks.lease.Holding(); holds {
		takeoverDelay = 0
	}
	if err := edge.leaderTasks.lease.AcquireOrRenew(ctx, takeoverDelay); err != nil {
		edge.log.Warn().Err(err).Int("rank", candidacy.Rank()).Msg("cannot keep the lease on leader tasks")
	}
}

func (edge *Edge) releaseLease(ctx context.Context) {
	if err := edge.leaderTasks.lease.Release(ctx); err != nil {
		edge.log.Warn().Err(err).Msg("cannot release the lease on leader tasks")
	}
}

// leaseCovers reports whether a call may begin under the holding.
func (edge *Edge) leaseCovers(holding platform.Holding) bool {
	return edge.leaderTasks.lease.Covers(holding.Fence(), leaseCallMargin)
}

func (edge *Edge) holder(holding platform.Holding) cloud.Holder {
	return cloud.NewHolder(edge.settings.Load().Host(), holding.Fence())
}

// recordRejectedFence records that the cloud has seen a higher fencing token,
// so that this one is not used again.
func (edge *Edge) recordRejectedFence(holding platform.Holding, err error) {
	edge.leaderTasks.rejectedFence.Store(holding.Fence())
	edge.log.Warn().Err(err).Int64("fence", holding.Fence()).Msg("fencing token rejected; leader tasks end")
}
