package steward

import (
	"context"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/operator"
	"sapphirehead/internal/platform"
	"sapphirehead/internal/platform/platformhttp"
)

// handOverLeaseDurations is the number of lease durations after which a holder
// releases the lease if another candidate has a lower rank, so that leases
// spread evenly again after hosts were replaced.
const handOverLeaseDurations = 20

// worker maintains one lease and runs the control that the lease permits.
type worker struct {
	steward    *Steward
	lease      *platform.Lease
	pool       string
	dataCentre string
	round      func(ctx context.Context, holding platform.Holding) error
	onNotice   func(hostID string)
	wake       chan struct{}
	ctx        context.Context
	cancel     context.CancelFunc
}

func (steward *Steward) newWorker(name, pool, dataCentre string) *worker {
	read := func(ctx context.Context, name string) (platform.LeaseRecord, int64, error) {
		return platformhttp.LoadLease(ctx, steward.store, name)
	}
	write := func(ctx context.Context, name string, record platform.LeaseRecord, condition int64) (int64, error) {
		return platformhttp.CommitLease(ctx, steward.store, name, record, condition)
	}
	return &worker{
		steward:    steward,
		lease:      platform.NewLease(steward.clock, name, steward.settings.Host(), steward.incarnation, steward.settings.Lease(), read, write),
		pool:       pool,
		dataCentre: dataCentre,
		onNotice:   func(string) {},
		wake:       make(chan struct{}, 1),
	}
}

func (worker *worker) candidacy() platform.Candidacy {
	steward := worker.steward
	self := platform.NewCandidate(steward.settings.Host(), steward.settings.DataCentre())
	return platform.NewCandidacy(worker.lease.Name(), worker.dataCentre, self, steward.view.Load().candidates, steward.settings.Lease())
}

func (worker *worker) status() operator.LeaseStatus {
	record, _ := worker.lease.Record()
	holder := record.Holder()
	if record.Released() {
		holder = ""
	}
	status := operator.NewLeaseStatus(worker.lease.Name(), holder, worker.candidacy().Rank())
	if holding, held := worker.lease.Holding(); held {
		status = status.WithHolding(holding.Fence(), holding.Until()-worker.steward.clock.Now())
	}
	return status
}

// run maintains the lease until the worker is cancelled. Then it stops the
// control loop after its round and releases the lease, unless ended is done
// first.
func (worker *worker) run(ended context.Context) {
	steward := worker.steward
	nextCheck := steward.clock.Now()
	if candidacy := worker.candidacy(); candidacy.Rank() > 0 {
		nextCheck += clock.Millis(steward.random() * float64(min(candidacy.PollInterval(), steward.settings.Lease())))
	}
	loop := endedLoop()
	for worker.ctx.Err() == nil {
		candidacy := worker.candidacy()
		holding, held := worker.lease.Holding()
		if held || steward.clock.Now() >= nextCheck {
			holding, held = worker.acquireOrRenew(candidacy)
			nextCheck = steward.clock.Now() + steward.jittered(worker.nextCheckIn(candidacy))
		}
		if held && loop.ended() {
			loop = worker.startLoop(holding)
		}
		if held && candidacy.Rank() > 0 && steward.clock.Now()-holding.Since() >= handOverLeaseDurations*steward.settings.Lease() {
			steward.counters.Add("leasesHandedOver", 1)
			worker.release(ended, loop)
			nextCheck = steward.clock.Now() + steward.jittered(worker.nextCheckIn(candidacy))
		}
		steward.clock.Wait(worker.ctx, steward.jittered(candidacy.RenewInterval()))
	}
	worker.release(ended, loop)
}

// acquireOrRenew acquires or renews the lease and returns the holding, if any.
func (worker *worker) acquireOrRenew(candidacy platform.Candidacy) (platform.Holding, bool) {
	steward := worker.steward
	_, before := worker.lease.Holding()
	if err := worker.lease.AcquireOrRenew(worker.ctx, candidacy.TakeoverDelay()); err != nil && worker.ctx.Err() == nil {
		steward.counters.Add("leaseErrors", 1)
		steward.log.Warn().Err(err).Str(fieldLease, worker.lease.Name()).Msg("cannot acquire or renew the lease")
	}
	holding, held := worker.lease.Holding()
	if held != before {
		steward.log.Info().Str(fieldLease, worker.lease.Name()).Bool("held", held).Int64("fence", holding.Fence()).Msg("lease acquired or lost")
	}
	return holding, held
}

// nextCheckIn returns the time until the next check of a lease that is not
// held.
func (worker *worker) nextCheckIn(candidacy platform.Candidacy) clock.Millis {
	if record, ok := worker.lease.Record(); ok && (record.Released() || record.Holder() == "") {
		return max(candidacy.TakeoverDelay(), candidacy.RenewInterval())
	}
	return candidacy.PollInterval()
}

// controlLoop is a goroutine that runs the control under a lease.
type controlLoop struct {
	stop context.CancelFunc
	done chan struct{}
}

// endedLoop returns a control loop that has ended.
func endedLoop() *controlLoop {
	loop := &controlLoop{stop: func() {}, done: make(chan struct{})}
	close(loop.done)
	return loop
}

// ended reports whether the last round has ended.
func (loop *controlLoop) ended() bool {
	select {
	case <-loop.done:
		return true
	default:
		return false
	}
}

// startLoop runs rounds of control while the lease is held.
func (worker *worker) startLoop(holding platform.Holding) *controlLoop {
	ctx, cancel := context.WithCancel(worker.ctx)
	loop := &controlLoop{stop: cancel, done: make(chan struct{})}
	steward := worker.steward
	go func() {
		defer close(loop.done)
		defer cancel()
		for held := true; held && ctx.Err() == nil; holding, held = worker.lease.Holding() {
			if _, usable := steward.tables(); usable {
				if err := worker.round(ctx, holding); err != nil && ctx.Err() == nil {
					steward.counters.Add("roundsFailed", 1)
					steward.log.Warn().Err(err).Str(fieldLease, worker.lease.Name()).Msg("control round failed")
				}
			}
			worker.awaitRound(ctx)
		}
	}()
	return loop
}

// awaitRound waits for the next round or a wake-up.
func (worker *worker) awaitRound(ctx context.Context) {
	steward := worker.steward
	runners := clock.Millis(len(steward.view.Load().pool(worker.pool)))
	ctx, cancel := steward.clock.WithTimeout(ctx, steward.jittered(max(steward.settings.Round(), runners*roundPerRunner)))
	defer cancel()
	select {
	case <-worker.wake:
	case <-ctx.Done():
	}
}

// wakeUp starts the next round at once.
func (worker *worker) wakeUp() {
	select {
	case worker.wake <- struct{}{}:
	default:
	}
}

// release stops the control loop, waits until its round is complete and
// releases the lease, unless ended is done first.
func (worker *worker) release(ended context.Context, loop *controlLoop) {
	loop.stop()
	select {
	case <-loop.done:
	case <-ended.Done():
		return
	}
	if err := worker.lease.Release(ended); err != nil {
		worker.steward.log.Warn().Err(err).Str(fieldLease, worker.lease.Name()).Msg("cannot release the lease: a successor waits until it expires")
	}
}
