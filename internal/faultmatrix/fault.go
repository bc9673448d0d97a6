package faultmatrix

import (
	"fmt"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/pool"
)

// Fault is one kind of failure. It can be injected at every step: a fault of a
// connection, a write or an order affects the next one if the step has none, and
// a lasting fault continues until the end of the round.
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
	// runnerNotice is the notice of a reclaimed host; shortNotice is shorter
	// than a response takes.
	runnerNotice = 10 * clock.Second
	shortNotice  = 100 * clock.Millisecond
	// deathDelay is the time from a runner's notice to the death of the node or
	// steward that handles it.
	deathDelay = 30 * clock.Millisecond
	// entryNotice is the notice of a reclaimed entry host.
	entryNotice = 1 * clock.Second
	// pauseDuration is longer than a lease.
	pauseDuration = leaseDuration + 2*clock.Second
	// staleOrderDelay is the time in transit of an order with an old fencing token.
	staleOrderDelay = 2 * clock.Millisecond
)

// injectFault injects the fault at a step with the participants.
func (simulation *simulation) injectFault(fault Fault, involved participants) {
	switch fault {
	case FaultAnnouncedReclaim:
		simulation.reclaim(simulation.runnerFor(involved), runnerNotice)
	case FaultUnannouncedDeath:
		simulation.victim(involved).kill()
	case FaultDataCentreReclaimed:
		simulation.reclaimDataCentre(simulation.runnerFor(involved).dataCentre)
	case FaultReplacementRefused:
		simulation.update(func() { simulation.refuseHosts = true })
		simulation.reclaim(simulation.runnerFor(involved), shortNotice)
	case FaultDeathInReclaim:
		simulation.reclaim(simulation.runnerFor(involved), 2*deathDelay)
		simulation.clock.AfterFunc(deathDelay, simulation.processKiller(involved))
	case FaultStoreDown:
		simulation.store.update(func(store *objectStore) { store.down = true })
	case FaultStoreSlow:
		simulation.store.update(func(store *objectStore) { store.slow = true })
	case FaultLostAnswer:
		simulation.store.update(func(store *objectStore) { store.responsesToLose++ })
	case FaultLeaseLapse:
		simulation.pauseHolder()
	case FaultOperatorsRace:
		simulation.raceOperators()
	case FaultSilentConnection:
		simulation.silenceConnections(involved)
	case FaultLateAnswer:
		simulation.update(func() { simulation.reorderChunks = true })
	case FaultOldFence:
		simulation.deliverStaleOrders()
	case FaultLaggingList:
		simulation.update(func() { simulation.staleList = simulation.currentListings() })
		simulation.reclaim(simulation.runnerFor(involved), runnerNotice)
	case FaultCacheEventGap:
		simulation.setCacheEventGaps(true)
	case FaultEntryReclaimed:
		simulation.reclaimEntry(involved)
	case FaultWeightLimit:
		simulation.update(func() { simulation.limitLoads = true })
	}
}

// runnerFor returns the runner that takes part in the step, or else the first
// live runner that is not leaving.
func (simulation *simulation) runnerFor(involved participants) *host {
	if involved.host != nil && involved.host.pool == poolRunners {
		return involved.host
	}
	for _, host := range simulation.allHosts() {
		if host.pool == poolRunners && host.alive() && host.leaving() < 0 {
			return host
		}
	}
	return simulation.hosts[0]
}

// victim returns the backend server that takes part in the step if its pool has
// another live one, or else the first live runner that is not leaving.
func (simulation *simulation) victim(involved participants) *host {
	if involved.host != nil && simulation.liveServers(involved.host.pool) > 1 {
		return involved.host
	}
	return simulation.runnerFor(participants{})
}

func (simulation *simulation) liveServers(poolName string) int {
	live := 0
	for _, host := range simulation.allHosts() {
		if host.pool == poolName && host.alive() {
			live++
		}
	}
	return live
}

func (simulation *simulation) reclaimDataCentre(dataCentre string) {
	for _, host := range simulation.allHosts() {
		if host.dataCentre == dataCentre && host.pool == poolRunners {
			simulation.reclaim(host, shortNotice)
		}
	}
}

// processKiller returns a function that kills the steward or node that takes part
// in the step, or else the first live node. It spares the last live node.
func (simulation *simulation) processKiller(involved participants) func() {
	if involved.steward != nil {
		return func() {
			involved.steward.terminate()
			involved.steward.cancel()
		}
	}
	node := involved.node
	if node == nil {
		node = simulation.liveNodes()[0]
	}
	return func() {
		if len(simulation.liveNodes()) > 1 {
			node.kill()
		}
	}
}

// setCacheEventGaps sets whether every second cache event is dropped.
func (simulation *simulation) setCacheEventGaps(gaps bool) {
	for _, host := range simulation.allHosts() {
		host.mutex.Lock()
		host.gaps = gaps
		host.mutex.Unlock()
	}
}

// pauseHolder pauses the steward that holds the lease, or the last one if none
// does, until after the lease has lapsed.
func (simulation *simulation) pauseHolder() {
	for _, steward := range simulation.stewards {
		if steward.holds() || steward == simulation.stewards[len(simulation.stewards)-1] {
			steward.pause()
			simulation.pausedStewards.Add(1)
			simulation.clock.AfterFunc(pauseDuration, func() {
				steward.resume()
				simulation.pausedStewards.Add(-1)
			})
			return
		}
	}
}

// raceOperators starts three edits at the same time, spread over the live nodes: two
// of one route and one of another.
func (simulation *simulation) raceOperators() {
	nodes := simulation.liveNodes()
	serial := 0
	simulation.update(func() {
		simulation.races++
		serial = simulation.races
	})
	for i, routeName := range []string{routeDesk, routeDesk, routeStatus} {
		node := nodes[i%len(nodes)]
		simulation.group.Go(func() { simulation.incrementWorth(node, fmt.Sprintf("race-%d-%d", serial, i), routeName) })
	}
}

// silenceConnections silences every open connection, or the next one if none is
// open, and drops the next reply between nodes.
func (simulation *simulation) silenceConnections(involved participants) {
	simulation.mutex.Lock()
	defer simulation.mutex.Unlock()
	if involved.connection != nil {
		involved.connection.silence()
	}
	for connection := range simulation.openConnections {
		connection.silence()
	}
	simulation.silenceNext = len(simulation.openConnections) == 0
	simulation.silentLink = true
}

// deliverStaleOrders delivers a delayed order to every runner, with an old fencing
// token and a model version that is no longer wanted.
func (simulation *simulation) deliverStaleOrders() {
	for _, host := range simulation.allHosts() {
		if host.pool == poolRunners {
			simulation.clock.AfterFunc(staleOrderDelay, func() { host.applyOrder(0, []pool.Model{pool.NewModel(modelName, "v0")}) })
		}
	}
}

// reclaimEntry stops the entry host that takes part in the step, or else the first
// live one, and kills it when its notice is over. It spares the last live node.
func (simulation *simulation) reclaimEntry(involved participants) {
	node := involved.node
	if node == nil || node.stopping.Load() {
		node = simulation.liveNodes()[0]
	}
	if len(simulation.liveNodes()) < 2 {
		return
	}
	node.stop()
	simulation.clock.AfterFunc(entryNotice, node.kill)
}
