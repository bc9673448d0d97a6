package faultmatrix

import (
	"fmt"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/pool"
)

// Fault is one thing that fails. It can come at every step: what concerns a
// connection, a write or an order takes the next one if the step has none, and
// what lasts goes on to the end of the round.
type Fault int

// The faults.
const (
	FaultAnnouncedReclaim Fault = iota
	FaultUnannouncedDeath
	FaultDataCentreReclaimed
	FaultReplacementRefused
	FaultDeathInReclaim
	FaultStoreDown
	FaultStoreSlow
	FaultLostAnswer
	FaultLeaseLapse
	FaultOperatorsRace
	FaultSilentConnection
	FaultLateAnswer
	FaultOldFence
	FaultLaggingList
	FaultCacheEventGap
	FaultEntryReclaimed
	FaultWeightLimit
)

var faultNames = []string{
	"announced reclaim", "unannounced death", "data centre reclaimed", "replacement refused", "process death in mid-reclaim",
	"store down", "store slow", "lost answer after a write", "lease lapse while paused", "operators' race", "silent connection",
	"late and out-of-order answer", "old fencing number", "lagging list", "gaps in cache events", "entry host reclaimed", "weight store's limit",
}

// Faults returns every fault.
func Faults() []Fault {
	faults := make([]Fault, len(faultNames))
	for i := range faults {
		faults[i] = Fault(i)
	}
	return faults
}

// String returns the name of the fault.
func (fault Fault) String() string { return faultNames[fault] }

// Times of faults.
const (
	// reclaimNotice is the notice of a host that is taken back, shortNotice
	// one that is shorter than an answer takes.
	reclaimNotice = 10 * clock.Second
	shortNotice   = 100 * clock.Millisecond
	// deathAfter is the time from a notice to the death of the process that
	// handles it.
	deathAfter = 30 * clock.Millisecond
	// entryNotice is the notice of an entry host that is taken back.
	entryNotice = 1 * clock.Second
	// pauseTime is longer than a lease.
	pauseTime = leaseDuration + 2*clock.Second
	// heldBack is how long an order with an old number is under way.
	heldBack = 2 * clock.Millisecond
)

// strike makes the fault happen at the moment.
func (world *world) strike(fault Fault, at moment) {
	switch fault {
	case FaultAnnouncedReclaim:
		world.reclaim(world.runnerAt(at), reclaimNotice)
	case FaultUnannouncedDeath:
		world.victim(at).kill()
	case FaultDataCentreReclaimed:
		world.reclaimDataCentre(world.runnerAt(at).dataCentre)
	case FaultReplacementRefused:
		world.set(func() { world.refuse = true })
		world.reclaim(world.runnerAt(at), shortNotice)
	case FaultDeathInReclaim:
		world.reclaim(world.runnerAt(at), 2*deathAfter)
		world.clock.AfterFunc(deathAfter, world.processAt(at))
	case FaultStoreDown:
		world.store.set(func(store *objectStore) { store.down = true })
	case FaultStoreSlow:
		world.store.set(func(store *objectStore) { store.slow = true })
	case FaultLostAnswer:
		world.store.set(func(store *objectStore) { store.lose++ })
	case FaultLeaseLapse:
		world.pauseHolder()
	case FaultOperatorsRace:
		world.race()
	case FaultSilentConnection:
		world.silenceConnections(at)
	case FaultLateAnswer:
		world.set(func() { world.reorder = true })
	case FaultOldFence:
		world.deliverOldOrders()
	case FaultLaggingList:
		world.set(func() { world.staleList = world.currentList() })
		world.reclaim(world.runnerAt(at), reclaimNotice)
	case FaultCacheEventGap:
		world.setGaps(true)
	case FaultEntryReclaimed:
		world.reclaimEntry(at)
	case FaultWeightLimit:
		world.set(func() { world.limit = true })
	}
}

// runnerAt returns the runner in use at the moment, or the first live one.
func (world *world) runnerAt(at moment) *host {
	if at.host != nil && at.host.pool == poolRunners {
		return at.host
	}
	for _, host := range world.allHosts() {
		if host.pool == poolRunners && host.alive() && host.leaving() < 0 {
			return host
		}
	}
	return world.hosts[0]
}

// victim returns the backend server in use at the moment, or the first live
// runner, but never the last live server of its pool.
func (world *world) victim(at moment) *host {
	if at.host != nil && world.liveIn(at.host.pool) > 1 {
		return at.host
	}
	return world.runnerAt(moment{})
}

func (world *world) liveIn(poolName string) int {
	live := 0
	for _, host := range world.allHosts() {
		if host.pool == poolName && host.alive() {
			live++
		}
	}
	return live
}

func (world *world) reclaimDataCentre(dataCentre string) {
	for _, host := range world.allHosts() {
		if host.dataCentre == dataCentre && host.pool == poolRunners {
			world.reclaim(host, shortNotice)
		}
	}
}

// processAt returns what kills the process of the moment.
func (world *world) processAt(at moment) func() {
	if at.steward != nil {
		return func() {
			at.steward.end()
			at.steward.cancel()
		}
	}
	node := at.node
	if node == nil {
		node = world.liveNodes()[0]
	}
	return func() {
		if len(world.liveNodes()) > 1 {
			node.kill()
		}
	}
}

// setGaps lets every second cache event go missing, or none.
func (world *world) setGaps(gaps bool) {
	for _, host := range world.allHosts() {
		host.mutex.Lock()
		host.gaps = gaps
		host.mutex.Unlock()
	}
}

// pauseHolder pauses the steward that holds the lease until after it lapsed.
func (world *world) pauseHolder() {
	for _, steward := range world.stewards {
		if steward.holds() || steward == world.stewards[len(world.stewards)-1] {
			steward.pause()
			world.pauses.Add(1)
			world.clock.AfterFunc(pauseTime, func() {
				steward.wake()
				world.pauses.Add(-1)
			})
			return
		}
	}
}

// race lets two operators edit one row, and one of them another row, at the
// same time.
func (world *world) race() {
	nodes := world.liveNodes()
	serial := 0
	world.set(func() {
		world.races++
		serial = world.races
	})
	for i, row := range []string{rowDesk, rowDesk, rowStatus} {
		node := nodes[i%len(nodes)]
		world.group.Go(func() { world.increment(node, fmt.Sprintf("race-%d-%d", serial, i), row) })
	}
}

// silenceConnections silences every open connection, or the next one if none
// is open, and one link between nodes.
func (world *world) silenceConnections(at moment) {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	if at.connection != nil {
		at.connection.silence()
	}
	for connection := range world.open {
		connection.silence()
	}
	world.silence = len(world.open) == 0
	world.silentLink = true
}

// deliverOldOrders delivers an order that was held back under an old number
// and wants a condition that is no longer wanted.
func (world *world) deliverOldOrders() {
	for _, host := range world.allHosts() {
		if host.pool == poolRunners {
			world.clock.AfterFunc(heldBack, func() { host.obey(0, []pool.Model{pool.NewModel(modelName, "v0")}) })
		}
	}
}

// reclaimEntry takes back the entry host of the moment after a notice.
func (world *world) reclaimEntry(at moment) {
	node := at.node
	if node == nil || node.stopping.Load() {
		node = world.liveNodes()[0]
	}
	if len(world.liveNodes()) < 2 {
		return
	}
	node.stop()
	world.clock.AfterFunc(entryNotice, node.kill)
}
