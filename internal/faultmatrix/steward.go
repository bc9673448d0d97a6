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
)

// steward is the control of the runners' pool from one entry host.
type steward struct {
	*process
	world      *world
	name       string
	dataCentre string
	life       context.Context
	cancel     context.CancelFunc
	store      *platform.Store
	lease      *platform.Lease
	until      atomic.Int64
	serial     int
}

// holds reports whether the steward believes that it holds the lease.
func (steward *steward) holds() bool {
	return steward.until.Load() > int64(steward.world.clock.Now())
}

func (world *world) addSteward(name, dataCentre string) {
	created := &steward{process: newProcess(), world: world, name: name, dataCentre: dataCentre}
	created.life, created.cancel = context.WithCancel(context.Background())
	created.store = world.store.client(created.gate)
	created.lease = platform.NewLease(world.clock, leaseName, name, leaseDuration)
	world.mutex.Lock()
	world.stewards = append(world.stewards, created)
	world.mutex.Unlock()
	world.group.Go(created.run)
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
	if steward.keep(ctx) != nil || !steward.lease.Held(orderTime) {
		return
	}
	live := 0
	for _, host := range steward.world.allHosts() {
		if host.pool != poolRunners || !host.alive() || host.leaving() >= 0 {
			continue
		}
		live++
		steward.correct(ctx, host, row.Models())
	}
	if live < row.MinHosts() {
		steward.begin(ctx)
	}
}

// keep takes or renews the lease if it may.
func (steward *steward) keep(ctx context.Context) error {
	object, err := steward.store.Get(ctx, platform.KindLeases, leaseName)
	var missing *platform.NotFoundError
	if err != nil && !errors.As(err, &missing) {
		return err
	}
	ours := steward.lease.Held(0) && object.Version() == steward.lease.Fence()
	steward.lease.Observe(object.Version())
	if !ours && !steward.lease.MayTake() {
		steward.lost()
		return nil
	}
	sentAt := steward.world.clock.Now()
	steward.world.at(StepRenew, moment{steward: steward})
	version, err := steward.store.Put(ctx, platform.KindLeases, leaseName, []byte(steward.name), object.Version())
	if err != nil {
		steward.lost()
		return err
	}
	steward.lease.Taken(version, sentAt)
	steward.until.Store(int64(sentAt + leaseDuration))
	return nil
}

func (steward *steward) lost() {
	steward.lease.Lost()
	steward.until.Store(0)
}

// correct orders a runner into the wanted condition.
func (steward *steward) correct(ctx context.Context, host *host, models []pool.Model) {
	if steward.gate(ctx) != nil || host.fulfils(models) || steward.world.limited() {
		return
	}
	steward.world.at(StepOrder, moment{steward: steward, host: host})
	if steward.gate(ctx) != nil || !steward.lease.Held(orderTime) {
		return
	}
	fence := steward.lease.Fence()
	steward.world.clock.Wait(ctx, connectTime)
	steward.world.sent(steward, host, fence)
	host.obey(fence, models)
}

// begin starts a replacement unless the cloud refuses.
func (steward *steward) begin(ctx context.Context) {
	if steward.gate(ctx) != nil || !steward.lease.Held(orderTime) {
		return
	}
	refused := false
	steward.world.set(func() { refused = steward.world.refuse })
	if refused {
		return
	}
	steward.serial++
	started := steward.world.addHost(fmt.Sprintf("%s-%d", steward.name, steward.serial), steward.dataCentre, poolRunners)
	started.obey(steward.lease.Fence(), nil)
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
	if !from.holds() {
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
