package steward

import (
	"context"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/operator"
	"sapphirehead/internal/platform"
	"sapphirehead/internal/platform/platformhttp"
)

// handOverLeases is the number of lease durations after which a holder that
// others rank before gives the lease back, so that leases spread evenly again
// after hosts were replaced.
const handOverLeases = 20

// keeper keeps one lease and runs the control that it allows.
type keeper struct {
	steward    *Steward
	lease      *platform.Lease
	pool       string
	dataCentre string
	round      func(ctx context.Context, holding platform.Holding) error
	noticed    func(hostID string)
	wake       chan struct{}
	cancelled  context.Context
	cancel     context.CancelFunc
}

func (steward *Steward) newKeeper(name, pool, dataCentre string) *keeper {
	read := func(ctx context.Context, name string) (platform.LeaseRecord, int64, error) {
		return platformhttp.LoadLease(ctx, steward.store, name)
	}
	write := func(ctx context.Context, name string, record platform.LeaseRecord, condition int64) (int64, error) {
		return platformhttp.CommitLease(ctx, steward.store, name, record, condition)
	}
	return &keeper{
		steward:    steward,
		lease:      platform.NewLease(steward.clock, name, steward.settings.Host(), steward.incarnation, steward.settings.Lease(), read, write),
		pool:       pool,
		dataCentre: dataCentre,
		noticed:    func(string) {},
		wake:       make(chan struct{}, 1),
	}
}

func (keeper *keeper) standing() platform.Candidacy {
	steward := keeper.steward
	self := platform.NewCandidate(steward.settings.Host(), steward.settings.DataCentre())
	return platform.NewCandidacy(keeper.lease.Name(), keeper.dataCentre, self, steward.view.Load().candidates, steward.settings.Lease())
}

func (keeper *keeper) status() operator.LeaseStatus {
	record, _ := keeper.lease.Record()
	holder := record.Holder()
	if record.Released() {
		holder = ""
	}
	status := operator.NewLeaseStatus(keeper.lease.Name(), holder, keeper.standing().Rank())
	if holding, held := keeper.lease.Holding(); held {
		status = status.WithHolding(holding.Fence(), holding.Until()-keeper.steward.clock.Now())
	}
	return status
}

// run keeps the lease until it is cancelled, then lets the control finish what
// it has begun and gives the lease back. When ended is done, it gives up.
func (keeper *keeper) run(ended context.Context) {
	steward := keeper.steward
	nextLook := steward.clock.Now()
	if candidacy := keeper.standing(); candidacy.Rank() > 0 {
		nextLook += clock.Millis(steward.random() * float64(min(candidacy.PollInterval(), steward.settings.Lease())))
	}
	running := idleControl()
	for keeper.cancelled.Err() == nil {
		candidacy := keeper.standing()
		holding, held := keeper.lease.Holding()
		if held || steward.clock.Now() >= nextLook {
			holding, held = keeper.keep(candidacy)
			nextLook = steward.clock.Now() + steward.jittered(keeper.lookIn(candidacy))
		}
		if held && running.ended() {
			running = keeper.control(holding)
		}
		if held && candidacy.Rank() > 0 && steward.clock.Now()-holding.Since() >= handOverLeases*steward.settings.Lease() {
			steward.counters.Add("leasesHandedOver", 1)
			keeper.release(ended, running)
			nextLook = steward.clock.Now() + steward.jittered(keeper.lookIn(candidacy))
		}
		steward.clock.Wait(keeper.cancelled, steward.jittered(candidacy.RenewInterval()))
	}
	keeper.release(ended, running)
}

// keep looks after the lease and returns the holding.
func (keeper *keeper) keep(candidacy platform.Candidacy) (platform.Holding, bool) {
	steward := keeper.steward
	_, before := keeper.lease.Holding()
	if err := keeper.lease.AcquireOrRenew(keeper.cancelled, candidacy.TakeoverDelay()); err != nil && keeper.cancelled.Err() == nil {
		steward.counters.Add("leaseErrors", 1)
		steward.log.Warn().Err(err).Str(fieldLease, keeper.lease.Name()).Msg("lease could not be looked after")
	}
	holding, held := keeper.lease.Holding()
	if held != before {
		steward.log.Info().Str(fieldLease, keeper.lease.Name()).Bool("held", held).Int64("fence", holding.Fence()).Msg("lease changed hands")
	}
	return holding, held
}

// lookIn returns the time to the next look at a lease that is not held.
func (keeper *keeper) lookIn(candidacy platform.Candidacy) clock.Millis {
	if record, known := keeper.lease.Record(); known && (record.Released() || record.Holder() == "") {
		return max(candidacy.TakeoverDelay(), candidacy.RenewInterval())
	}
	return candidacy.PollInterval()
}

// running is the control under a lease in a goroutine of its own.
type running struct {
	stop context.CancelFunc
	done chan struct{}
}

// idleControl returns a control that has ended.
func idleControl() *running {
	idle := &running{stop: func() {}, done: make(chan struct{})}
	close(idle.done)
	return idle
}

// ended reports whether the last round has ended.
func (running *running) ended() bool {
	select {
	case <-running.done:
		return true
	default:
		return false
	}
}

// control runs rounds of control while the lease is held.
func (keeper *keeper) control(holding platform.Holding) *running {
	ctx, cancel := context.WithCancel(keeper.cancelled)
	started := &running{stop: cancel, done: make(chan struct{})}
	steward := keeper.steward
	go func() {
		defer close(started.done)
		defer cancel()
		for held := true; held && ctx.Err() == nil; holding, held = keeper.lease.Holding() {
			if _, usable := steward.tables(); usable {
				if err := keeper.round(ctx, holding); err != nil && ctx.Err() == nil {
					steward.counters.Add("roundsFailed", 1)
					steward.log.Warn().Err(err).Str(fieldLease, keeper.lease.Name()).Msg("round of control failed")
				}
			}
			keeper.rest(ctx)
		}
	}()
	return started
}

// rest waits for the next round or a wake.
func (keeper *keeper) rest(ctx context.Context) {
	steward := keeper.steward
	runners := clock.Millis(len(steward.view.Load().pool(keeper.pool)))
	ctx, cancel := steward.clock.WithTimeout(ctx, steward.jittered(max(steward.settings.Round(), runners*roundPerRunner)))
	defer cancel()
	select {
	case <-keeper.wake:
	case <-ctx.Done():
	}
}

// wakeUp begins the next round at once.
func (keeper *keeper) wakeUp() {
	select {
	case keeper.wake <- struct{}{}:
	default:
	}
}

// release stops the control, lets it finish what it has begun and gives the
// lease back. When ended is done, it gives up.
func (keeper *keeper) release(ended context.Context, running *running) {
	running.stop()
	select {
	case <-running.done:
	case <-ended.Done():
		return
	}
	if err := keeper.lease.Release(ended); err != nil {
		keeper.steward.log.Warn().Err(err).Str(fieldLease, keeper.lease.Name()).Msg("lease not given back: a successor waits it out")
	}
}
