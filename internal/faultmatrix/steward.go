package faultmatrix

import (
	"context"
	"fmt"
	"sync/atomic"

	"github.com/pkg/errors"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/platform"
	"sapphirehead/internal/platform/platformhttp"
	"sapphirehead/internal/pool"
)

const (
	stewardInterval = 500 * clock.Millisecond
	leaseDuration   = 3 * clock.Second
	// maxOrderTime is the longest time that an order may be in transit.
	maxOrderTime = 500 * clock.Millisecond
	leaseName    = "runners"
	// holdBack is the extra time per rank that a steward waits before it takes a
	// free lease.
	holdBack = 500 * clock.Millisecond
)

// steward controls the runners' pool from one entry host while it holds the lease.
type steward struct {
	*process
	simulation *simulation
	name       string
	dataCentre string
	holdBack   clock.Millis
	ctx        context.Context
	cancel     context.CancelFunc
	store      *platform.Store
	lease      *platform.Lease
	// leaseEnd is the end of the lease that the store confirmed. latestEnd is the
	// latest end that the steward may assume, as it counts a write without a
	// response too.
	leaseEnd  atomic.Int64
	latestEnd atomic.Int64
	serial    int
}

func (simulation *simulation) addSteward(name, dataCentre string, holdBack clock.Millis) {
	created := &steward{process: newProcess(), simulation: simulation, name: name, dataCentre: dataCentre, holdBack: holdBack}
	created.ctx, created.cancel = context.WithCancel(context.Background())
	created.store = simulation.store.client(created.awaitRunning)
	created.lease = platform.NewLease(simulation.clock, leaseName, name, name+"/1", leaseDuration,
		func(ctx context.Context, name string) (platform.LeaseRecord, int64, error) {
			return platformhttp.LoadLease(ctx, created.store, name)
		}, created.write)
	simulation.mutex.Lock()
	simulation.stewards = append(simulation.stewards, created)
	simulation.mutex.Unlock()
	simulation.group.Go(created.run)
}

// write commits the lease, and records when it ends.
func (steward *steward) write(ctx context.Context, name string, record platform.LeaseRecord, condition int64) (int64, error) {
	steward.simulation.passStep(StepRenew, participants{steward: steward})
	until := int64(steward.simulation.clock.Now() + leaseDuration)
	version, err := platformhttp.CommitLease(ctx, steward.store, name, record, condition)
	var conflict *platform.ConflictError
	if !errors.As(err, &conflict) {
		steward.latestEnd.Store(max(steward.latestEnd.Load(), until))
	}
	if err == nil {
		steward.leaseEnd.Store(until)
	}
	return version, err
}

// holds reports whether the lease that the store confirmed has not ended.
func (steward *steward) holds() bool {
	return steward.leaseEnd.Load() > int64(steward.simulation.clock.Now())
}

func (steward *steward) run() {
	for steward.awaitRunning(steward.ctx) == nil {
		steward.runRound(steward.ctx)
		steward.simulation.clock.Wait(steward.ctx, stewardInterval)
	}
}

func (steward *steward) runRound(ctx context.Context) {
	tables, _, err := platformhttp.LoadTables(ctx, steward.store)
	if err != nil {
		return
	}
	runners, ok := tables.Pool(poolRunners)
	if !ok {
		return
	}
	if steward.lease.AcquireOrRenew(ctx, steward.holdBack) != nil {
		return
	}
	holding, held := steward.lease.Holding()
	if !held {
		return
	}
	live := 0
	for _, host := range steward.simulation.allHosts() {
		if host.pool != poolRunners || !host.alive() || host.leaving() >= 0 {
			continue
		}
		live++
		if !host.ignoresFence || holding.HeldFor(steward.simulation.clock.Now(), maxOrderTime) {
			steward.orderModels(ctx, holding, host, runners.Models())
		}
	}
	if live < runners.MinHosts() {
		steward.startReplacement(ctx, holding)
	}
}

// orderModels orders a runner to serve exactly the models.
func (steward *steward) orderModels(ctx context.Context, holding platform.Holding, host *host, models []pool.Model) {
	if steward.awaitRunning(ctx) != nil || host.servesExactly(models) || steward.simulation.loadsLimited() {
		return
	}
	steward.simulation.passStep(StepOrder, participants{steward: steward, host: host})
	if steward.awaitRunning(ctx) != nil || !steward.lease.Covers(holding.Fence(), maxOrderTime) {
		return
	}
	steward.simulation.clock.Wait(ctx, connectTime)
	steward.simulation.checkOrder(steward, host, holding.Fence())
	host.applyOrder(holding.Fence(), models)
}

// startReplacement starts a host unless the cloud refuses.
func (steward *steward) startReplacement(ctx context.Context, holding platform.Holding) {
	if steward.awaitRunning(ctx) != nil || !steward.lease.Covers(holding.Fence(), maxOrderTime) {
		return
	}
	refused := false
	steward.simulation.update(func() { refused = steward.simulation.refuseHosts })
	if refused {
		return
	}
	steward.serial++
	started := steward.simulation.addHost(fmt.Sprintf("%s-%d", steward.name, steward.serial), steward.dataCentre, poolRunners)
	started.applyOrder(holding.Fence(), nil)
}

// loadsLimited reports whether the weight store refuses further loads.
func (simulation *simulation) loadsLimited() bool {
	simulation.mutex.Lock()
	defer simulation.mutex.Unlock()
	return simulation.limitLoads
}

// checkOrder checks that the sender's lease has not lapsed and that no other steward
// holds the lease.
func (simulation *simulation) checkOrder(from *steward, to *host, fence int64) {
	if from.latestEnd.Load() <= int64(simulation.clock.Now()) {
		simulation.withOracle(func(oracle *oracle) {
			oracle.addViolation("lease: %s sent %s an order with fencing token %d after its lease had lapsed", from.name, to.id, fence)
		})
	}
	for _, other := range simulation.stewards {
		if other != from && other.holds() {
			simulation.withOracle(func(oracle *oracle) {
				oracle.addViolation("lease: %s sent %s an order while %s holds the lease", from.name, to.id, other.name)
			})
		}
	}
}
