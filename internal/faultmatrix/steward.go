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
	stewardRound  = 500 * clock.Millisecond
	leaseDuration = 3 * clock.Second
	// orderTime is the longest that an order may be under way.
	orderTime = 500 * clock.Millisecond
	leaseName = "runners"
	// holdBack is the time by which stewards of a lower rank leave a free lease
	// to others.
	holdBack = 500 * clock.Millisecond
)

// steward is the control of the runners' pool from one entry host.
type steward struct {
	*process
	world      *world
	name       string
	dataCentre string
	holdBack   clock.Millis
	life       context.Context
	cancel     context.CancelFunc
	store      *platform.Store
	lease      *platform.Lease
	// until is when the lease ends that the store has granted, bound the latest
	// end that the steward may believe in.
	until  atomic.Int64
	bound  atomic.Int64
	serial int
}

func (world *world) addSteward(name, dataCentre string, holdBack clock.Millis) {
	created := &steward{process: newProcess(), world: world, name: name, dataCentre: dataCentre, holdBack: holdBack}
	created.life, created.cancel = context.WithCancel(context.Background())
	created.store = world.store.client(created.gate)
	created.lease = platform.NewLease(world.clock, leaseName, name, name+"/1", leaseDuration,
		func(ctx context.Context, name string) (platform.LeaseRecord, int64, error) {
			return platformhttp.LoadLease(ctx, created.store, name)
		}, created.write)
	world.mutex.Lock()
	world.stewards = append(world.stewards, created)
	world.mutex.Unlock()
	world.group.Go(created.run)
}

// write commits the lease, and notes until when it lasts by the clock.
func (steward *steward) write(ctx context.Context, name string, record platform.LeaseRecord, condition int64) (int64, error) {
	steward.world.at(StepRenew, moment{steward: steward})
	until := int64(steward.world.clock.Now() + leaseDuration)
	version, err := platformhttp.CommitLease(ctx, steward.store, name, record, condition)
	var conflict *platform.ConflictError
	if !errors.As(err, &conflict) {
		steward.bound.Store(max(steward.bound.Load(), until))
	}
	if err == nil {
		steward.until.Store(until)
	}
	return version, err
}

// holds reports whether the store's grant of the lease to the steward lasts.
func (steward *steward) holds() bool {
	return steward.until.Load() > int64(steward.world.clock.Now())
}

func (steward *steward) run() {
	for steward.gate(steward.life) == nil {
		steward.round(steward.life)
		steward.world.clock.Wait(steward.life, stewardRound)
	}
}

func (steward *steward) round(ctx context.Context) {
	tables, _, err := platformhttp.LoadTables(ctx, steward.store)
	if err != nil {
		return
	}
	row, ok := tables.Pool(poolRunners)
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
	for _, host := range steward.world.allHosts() {
		if host.pool != poolRunners || !host.alive() || host.leaving() >= 0 {
			continue
		}
		live++
		if !host.ignoresFence || holding.HeldFor(steward.world.clock.Now(), orderTime) {
			steward.correct(ctx, holding, host, row.Models())
		}
	}
	if live < row.MinHosts() {
		steward.begin(ctx, holding)
	}
}

// correct orders a runner into the wanted condition.
func (steward *steward) correct(ctx context.Context, holding platform.Holding, host *host, models []pool.Model) {
	if steward.gate(ctx) != nil || host.fulfils(models) || steward.world.limited() {
		return
	}
	steward.world.at(StepOrder, moment{steward: steward, host: host})
	if steward.gate(ctx) != nil || !steward.lease.Covers(holding.Fence(), orderTime) {
		return
	}
	steward.world.clock.Wait(ctx, connectTime)
	steward.world.sent(steward, host, holding.Fence())
	host.obey(holding.Fence(), models)
}

// begin starts a replacement unless the cloud refuses.
func (steward *steward) begin(ctx context.Context, holding platform.Holding) {
	if steward.gate(ctx) != nil || !steward.lease.Covers(holding.Fence(), orderTime) {
		return
	}
	refused := false
	steward.world.set(func() { refused = steward.world.refuse })
	if refused {
		return
	}
	steward.serial++
	started := steward.world.addHost(fmt.Sprintf("%s-%d", steward.name, steward.serial), steward.dataCentre, poolRunners)
	started.obey(holding.Fence(), nil)
}

// limited reports whether the weight store refuses further loads.
func (world *world) limited() bool {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	return world.limit
}

// sent checks that an order comes from the one steward whose lease has not
// lapsed.
func (world *world) sent(from *steward, to *host, fence int64) {
	if from.bound.Load() <= int64(world.clock.Now()) {
		world.check(func(tally *tally) {
			tally.violate("lease: %s ordered %s under %d after its lease", from.name, to.id, fence)
		})
	}
	for _, other := range world.stewards {
		if other != from && other.holds() {
			world.check(func(tally *tally) {
				tally.violate("lease: %s ordered %s while %s holds the lease", from.name, to.id, other.name)
			})
		}
	}
}
