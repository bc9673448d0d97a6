package platform_test

import (
	"cmp"
	"context"
	"flag"
	"slices"
	"strconv"
	"testing"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/platform"
)

const (
	leaseDuration    = 10 * clock.Second
	maxOrderDuration = 2 * clock.Second
	stewards         = 3
)

// TestMain raises the number of checks and steps over rapid's defaults. Flags on
// the command line take precedence.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.checks", "500")
	_ = flag.Set("rapid.steps", "80")
	m.Run()
}

// pick draws a number below n from single bits, as rapid's generators of numbers
// prefer small ones.
func pick(t *rapid.T, n int) int {
	value := 0
	for range 6 {
		value *= 2
		if rapid.Bool().Draw(t, "bit") {
			value++
		}
	}
	return value % n
}

func pickFrom[V any](t *rapid.T, values ...V) V { return values[pick(t, len(values))] }

// leaseStore is a store with one lease object and randomly drawn faults.
type leaseStore struct {
	t         *rapid.T
	manual    *clock.Manual
	faultless bool
	version   int64
	record    platform.LeaseRecord
	delayed   []func()
	// copies are the states that the store can be restored to.
	copies []leaseCopy
	// appliedAt is the time at which the last write took effect.
	appliedAt clock.Millis
	// concurrent runs an action of another process during a call.
	concurrent func(t *rapid.T)
}

// leaseCopy is an earlier state of the store.
type leaseCopy struct {
	revision int64
	record   platform.LeaseRecord
}

// restore goes back to an earlier state and begins a new era.
func (store *leaseStore) restore(t *rapid.T) {
	copies := append([]leaseCopy{{}}, store.copies...)
	older := copies[max(0, len(copies)-1-pick(t, 4))]
	store.record, store.version = older.record, platform.NewVersion(platform.EraOf(store.version)+1, older.revision)
}

func (store *leaseStore) interleave() {
	if !store.faultless {
		if len(store.delayed) > 0 && rapid.Bool().Draw(store.t, "late effect now") {
			store.applyDelayed()
		}
		store.concurrent(store.t)
		store.manual.Advance(clock.Millis(pickFrom(store.t, 0, 0, 0, 0, 0, 0, 3000, 12000)))
	}
}

// applyDelayed applies the oldest delayed write.
func (store *leaseStore) applyDelayed() {
	if len(store.delayed) > 0 {
		apply := store.delayed[0]
		store.delayed = store.delayed[1:]
		apply()
	}
}

func (store *leaseStore) fault() string {
	if store.faultless {
		return "none"
	}
	return pickFrom(store.t, "none", "none", "none", "none", "none", "none", "down", "lost answer", "late effect")
}

func (store *leaseStore) read(context.Context, string) (platform.LeaseRecord, int64, error) {
	store.interleave()
	if store.fault() == "down" {
		return platform.LeaseRecord{}, 0, platform.NewUnavailableError(false, errors.New("down"))
	}
	record, version := store.record, store.version
	store.interleave()
	return record, version, nil
}

// apply applies a write if the revision is the condition's. The store doesn't check the
// era.
func (store *leaseStore) apply(record platform.LeaseRecord, condition int64) bool {
	if platform.RevisionOf(store.version) != platform.RevisionOf(condition) {
		return false
	}
	store.copies = append(store.copies, leaseCopy{revision: platform.RevisionOf(store.version), record: store.record})
	store.record, store.version, store.appliedAt = record, store.version+1, store.manual.Now()
	return true
}

// applyInEra applies a write of a client that may know the era. It reports an unknown
// outcome, as the client does, if the write was applied in another era.
func (store *leaseStore) applyInEra(record platform.LeaseRecord, condition int64) (applied bool, err error) {
	isEnded := platform.EraOf(store.version) != platform.EraOf(condition)
	if isEnded && !store.faultless && rapid.Bool().Draw(store.t, "restore unknown") {
		if store.apply(record, condition) {
			return true, platform.NewUnavailableError(true, errors.New("the store was restored"))
		}
		return false, nil
	}
	return !isEnded && store.apply(record, condition), nil
}

func (store *leaseStore) write(_ context.Context, name string, record platform.LeaseRecord, condition int64) (int64, error) {
	store.interleave()
	unknown := platform.NewUnavailableError(true, errors.New("no answer"))
	switch store.fault() {
	case "down":
		return 0, platform.NewUnavailableError(false, errors.New("down"))
	case "lost answer":
		store.apply(record, condition)
		return 0, unknown
	case "late effect":
		store.delayed = append(store.delayed, func() { store.apply(record, condition) })
		return 0, unknown
	}
	applied, err := store.applyInEra(record, condition)
	if err != nil {
		return 0, err
	}
	if !applied {
		return 0, platform.NewConflictError(platform.KindLeases, name, condition)
	}
	version := store.version
	store.interleave()
	return version, nil
}

// order is one order from the decision to send it to its arrival.
type order struct {
	steward int
	lease   *platform.Lease
	fence   int64
	sentAt  clock.Millis
	sent    bool
}

// leaseMachine is several stewards that share one lease and send orders to two
// runners: one refuses old fencing tokens, the other ignores them.
type leaseMachine struct {
	store         *leaseStore
	leases        [stewards]*platform.Lease
	paused        [stewards]bool
	calling       [stewards]bool
	started       int
	pending       []*order
	checkingFence int64
	ignoringFence int64
	lastHolder    *platform.Lease
	lastFence     int64
}

func newLeaseMachine(t *rapid.T) *leaseMachine {
	machine := &leaseMachine{store: &leaseStore{t: t, manual: clock.NewManual(1000)}}
	machine.store.concurrent = func(t *rapid.T) {
		if pick(t, 4) == 0 {
			machine.acquireOrRenew(t, machine.index(t))
		}
	}
	for i := range machine.leases {
		machine.restart(i)
	}
	return machine
}

func (machine *leaseMachine) restart(i int) {
	machine.started++
	machine.leases[i] = platform.NewLease(machine.store.manual.Clock(), "orders.runners.lj-a", strconv.Itoa(i), strconv.Itoa(machine.started),
		leaseDuration, machine.store.read, machine.store.write)
}

// acquireOrRenew calls the process's AcquireOrRenew unless such a call is in
// progress.
func (machine *leaseMachine) acquireOrRenew(t *rapid.T, i int) {
	if machine.calling[i] {
		return
	}
	machine.calling[i] = true
	defer func() { machine.calling[i] = false }()
	_ = machine.leases[i].AcquireOrRenew(context.Background(), pickFrom[clock.Millis](t, 0, 0, 0, 3000))
}

func (machine *leaseMachine) decide(i int) {
	holding, held := machine.leases[i].Holding()
	if held && holding.HeldFor(machine.store.manual.Now(), maxOrderDuration) {
		machine.pending = append(machine.pending, &order{steward: i, lease: machine.leases[i], fence: holding.Fence()})
	}
}

// advanceOrder moves the order one step forward: it is sent if the lease covers
// it, and then arrives. The runner that ignores fencing tokens accepts it only
// within twice maxOrderDuration, the time for which its sender waits.
func (machine *leaseMachine) advanceOrder(position int) {
	order := machine.pending[position]
	now := machine.store.manual.Now()
	if !order.sent && order.lease.Covers(order.fence, maxOrderDuration) {
		order.sent, order.sentAt = true, now
		return
	}
	machine.pending = append(machine.pending[:position], machine.pending[position+1:]...)
	if !order.sent {
		return
	}
	machine.checkingFence = max(machine.checkingFence, order.fence)
	if now < order.sentAt+2*maxOrderDuration {
		if order.fence < machine.ignoringFence {
			machine.store.t.Fatalf("a runner that ignores fencing tokens went back from %d to %d", machine.ignoringFence, order.fence)
		}
		machine.ignoringFence = order.fence
	}
}

// check is the oracle: there is at most one holder at any time, and each holder's
// fencing token is higher than those of the holders before it.
func (machine *leaseMachine) check(t *rapid.T) {
	holders := 0
	for _, lease := range machine.leases {
		holding, held := lease.Holding()
		if !held {
			continue
		}
		holders++
		if lease != machine.lastHolder && holding.Fence() <= machine.lastFence {
			t.Fatalf("fencing token %d is not higher than %d", holding.Fence(), machine.lastFence)
		}
		machine.lastHolder, machine.lastFence = lease, holding.Fence()
	}
	if holders > 1 {
		t.Fatalf("%d processes hold the lease", holders)
	}
}

// boundaries returns the future instants at which the result of a check changes.
func (machine *leaseMachine) boundaries() []clock.Millis {
	var boundaries []clock.Millis
	add := func(instants ...clock.Millis) {
		for _, instant := range instants {
			if instant > machine.store.manual.Now() {
				boundaries = append(boundaries, instant)
			}
		}
	}
	for _, lease := range machine.leases {
		if holding, held := lease.Holding(); held {
			add(holding.Until()-maxOrderDuration-1, holding.Until()-1, holding.Until(), holding.Since()+maxOrderDuration)
		}
	}
	for _, order := range machine.pending {
		if order.sent {
			add(order.sentAt + 2*maxOrderDuration - 1)
		}
	}
	add(machine.store.appliedAt + leaseDuration)
	return boundaries
}

func (machine *leaseMachine) index(t *rapid.T) int {
	return pick(t, stewards)
}

// hasOrders reports whether orders under the lease are pending. A steward does not
// release the lease before they have ended.
func (machine *leaseMachine) hasOrders(lease *platform.Lease) bool {
	for _, order := range machine.pending {
		if order.lease == lease {
			return true
		}
	}
	return false
}

// step is one drawn action.
func (machine *leaseMachine) step(t *rapid.T) {
	manual := machine.store.manual
	switch i := machine.index(t); pick(t, 16) {
	case 0, 1, 2:
		machine.acquireOrRenew(t, i)
	case 3:
		for j := range machine.leases {
			if !machine.paused[j] {
				machine.acquireOrRenew(t, j)
			}
		}
	case 4, 5:
		for j := range machine.leases {
			machine.decide(j)
		}
	case 6, 7, 8, 9:
		if len(machine.pending) > 0 {
			machine.advanceOrder(pick(t, len(machine.pending)))
		}
	case 10, 11:
		if boundaries := machine.boundaries(); len(boundaries) > 0 {
			manual.Advance(pickFrom(t, boundaries...) - manual.Now())
		}
	case 12:
		manual.Advance(pickFrom[clock.Millis](t, 100, 1900, 3900, 10000))
	case 13:
		machine.paused[i] = !machine.paused[i]
	case 14:
		machine.store.applyDelayed()
	default:
		machine.stopProcess(t, i)
	}
}

// stopProcess kills and restarts a process, or releases its lease.
func (machine *leaseMachine) stopProcess(t *rapid.T, i int) {
	if pick(t, 2) == 0 {
		machine.restart(i)
	} else if !machine.hasOrders(machine.leases[i]) {
		_ = machine.leases[i].Release(context.Background())
	}
}

// settle ends the faults and checks that one steward can send orders afterwards.
func (machine *leaseMachine) settle(t *rapid.T) {
	machine.store.faultless = true
	for range 20 {
		_ = machine.leases[0].AcquireOrRenew(context.Background(), 0)
		machine.check(t)
		machine.store.manual.Advance(leaseDuration / 3)
	}
	_ = machine.leases[0].AcquireOrRenew(context.Background(), 0)
	holding, held := machine.leases[0].Holding()
	if !held || !holding.HeldFor(machine.store.manual.Now(), maxOrderDuration) {
		t.Fatal("no steward may send orders after the faults have ended")
	}
	machine.pending = nil
	machine.decide(0)
	machine.advanceOrder(0)
	machine.advanceOrder(0)
	if machine.ignoringFence != holding.Fence() || machine.checkingFence != holding.Fence() {
		t.Fatalf("the runners have fencing tokens %d and %d: the newest is %d", machine.checkingFence, machine.ignoringFence, holding.Fence())
	}
}

// TestLeasesAndOrders checks that there is at most one holder and that no order
// reaches a runner that ignores fencing tokens after one with a newer token,
// despite crashes, pauses, outages, lost responses and delayed writes while the
// lease is acquired and renewed and orders are sent.
func TestLeasesAndOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machine := newLeaseMachine(t)
		t.Repeat(map[string]func(*rapid.T){"step": machine.step, "": machine.check})
		machine.settle(t)
	})
}

// TestLeasesInRestoredStore checks the same with a store that is also restored from
// older copies, which loses leases, gives out revisions again and lets late writes meet
// the revision of another state.
func TestLeasesInRestoredStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machine := newLeaseMachine(t)
		restore := func(t *rapid.T) {
			if pick(t, 4) == 0 {
				machine.store.restore(t)
			}
		}
		t.Repeat(map[string]func(*rapid.T){"step": machine.step, "restore": restore, "": machine.check})
		machine.settle(t)
	})
}

// arrival is an order in transit to a runner that ignores fencing tokens.
type arrival struct {
	at    clock.Millis
	fence int64
}

// TestSuccession checks that a runner that ignores fencing tokens never receives
// an older one after a newer one. Two stewards send orders whenever they may,
// while the first is paused and resumed, or cut off from the store, and orders
// take up to twice the time for which their sender waits.
func TestSuccession(t *testing.T) {
	const tick = 500 * clock.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		machine := newLeaseMachine(t)
		machine.store.faultless = true
		manual, ignoringFence := machine.store.manual, int64(0)
		var decided [2]platform.Holding
		var arrivals []arrival
		paused := [2]int{pick(t, 40), 60}
		resumed := [2]int{paused[0] + pick(t, 60), 100}
		cutOff := pick(t, 40)
		for i := range 120 {
			for steward, lease := range machine.leases[:2] {
				if i >= paused[steward] && i < resumed[steward] {
					continue
				}
				if lease.Covers(decided[steward].Fence(), maxOrderDuration) {
					delay := pickFrom(t, 0, tick, maxOrderDuration, 2*maxOrderDuration-1)
					arrivals = append(arrivals, arrival{at: manual.Now() + delay, fence: decided[steward].Fence()})
				}
				if steward != 0 || i < cutOff || i >= cutOff+30 {
					_ = lease.AcquireOrRenew(context.Background(), 0)
				}
				if holding, held := lease.Holding(); held && holding.HeldFor(manual.Now(), maxOrderDuration) {
					decided[steward] = holding
				}
			}
			machine.check(t)
			manual.Advance(tick)
			slices.SortStableFunc(arrivals, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
			for len(arrivals) > 0 && arrivals[0].at <= manual.Now() {
				if arrivals[0].fence < ignoringFence {
					t.Fatalf("the runner went back from fencing token %d to %d", ignoringFence, arrivals[0].fence)
				}
				ignoringFence, arrivals = arrivals[0].fence, arrivals[1:]
			}
		}
		if ignoringFence != machine.lastFence {
			t.Fatalf("the runner has fencing token %d: the newest is %d", ignoringFence, machine.lastFence)
		}
	})
}
