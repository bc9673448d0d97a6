package faultmatrix

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/request"
)

const (
	poolRunners    = "runners"
	poolBooking    = "booking"
	modelName      = "desk-small"
	initialVersion = "v1"
	hostClass      = "gpu-small"
)

// notice announces that a host will be reclaimed after the remaining time.
type notice struct {
	id        string
	remaining clock.Millis
}

// simulation holds the nodes and stewards under test and simulates everything that
// they talk to.
type simulation struct {
	clock           *clock.Clock
	store           *objectStore
	group           sync.WaitGroup
	mutex           sync.Mutex
	randomSource    *rand.Rand
	oracle          *oracle
	nodes           []*entryNode
	stewards        []*steward
	hosts           []*host
	startedNodes    int
	races           int
	pendingEdits    atomic.Int64
	pausedStewards  atomic.Int64
	ended           atomic.Bool
	openConnections map[*connection]bool
	silenceNext     bool
	reorderChunks   bool
	staleList       []backend.Listing
	refuseHosts     bool
	limitLoads      bool
	silentLink      bool
	notices         []notice
	noticesChanged  chan struct{}
	armed           map[Step]bool
	reached         map[Step]bool
	onArmedStep     func(step Step, involved participants)
}

func newSimulation(time *clock.Clock, seed uint64) *simulation {
	simulation := &simulation{
		clock: time, store: newObjectStore(time), randomSource: rand.New(rand.NewPCG(seed, seed)), oracle: newOracle(),
		openConnections: map[*connection]bool{}, noticesChanged: make(chan struct{}), armed: map[Step]bool{}, reached: map[Step]bool{},
		onArmedStep: func(Step, participants) {},
	}
	for i, dataCentre := range []string{"lj-a", "lj-a", "lj-b", "lj-b"} {
		simulation.addHost(fmt.Sprintf("runner-%d", i), dataCentre, poolRunners)
	}
	simulation.hosts[1].ignoresFence = true
	simulation.addHost("booking-0", "lj-a", poolBooking)
	simulation.addHost("booking-1", "lj-b", poolBooking)
	for i, dataCentre := range []string{"lj-a", "lj-b", "lj-b"} {
		simulation.addNode(fmt.Sprintf("entry-%d", i), dataCentre)
	}
	for i, dataCentre := range []string{"lj-a", "lj-b"} {
		simulation.addSteward(fmt.Sprintf("entry-%d", i), dataCentre, clock.Millis(i)*holdBack)
	}
	return simulation
}

func (simulation *simulation) addHost(id, dataCentre, poolName string) *host {
	simulation.mutex.Lock()
	defer simulation.mutex.Unlock()
	created := newHost(id, dataCentre, poolName, initialModels())
	simulation.hosts = append(simulation.hosts, created)
	return created
}

func (simulation *simulation) addNode(name, dataCentre string) *entryNode {
	simulation.mutex.Lock()
	simulation.startedNodes++
	incarnation := int64(simulation.startedNodes)
	simulation.mutex.Unlock()
	created := simulation.newNode(name, dataCentre, incarnation)
	simulation.mutex.Lock()
	simulation.nodes = append(simulation.nodes, created)
	simulation.mutex.Unlock()
	created.start()
	return created
}

// random returns a number from 0 to n-1.
func (simulation *simulation) random(n int) int {
	simulation.mutex.Lock()
	defer simulation.mutex.Unlock()
	return simulation.randomSource.IntN(n)
}

func (simulation *simulation) host(id string) *host {
	simulation.mutex.Lock()
	defer simulation.mutex.Unlock()
	return simulation.hosts[slices.IndexFunc(simulation.hosts, func(host *host) bool { return host.id == id })]
}

func (simulation *simulation) allHosts() []*host {
	simulation.mutex.Lock()
	defer simulation.mutex.Unlock()
	return slices.Clone(simulation.hosts)
}

// liveNodes returns the nodes that are alive and not stopping.
func (simulation *simulation) liveNodes() []*entryNode {
	simulation.mutex.Lock()
	defer simulation.mutex.Unlock()
	var live []*entryNode
	for _, node := range simulation.nodes {
		if node.alive() && !node.stopping.Load() {
			live = append(live, node)
		}
	}
	return live
}

// peersOf returns the other nodes that are alive.
func (simulation *simulation) peersOf(node *entryNode) []*entryNode {
	simulation.mutex.Lock()
	defer simulation.mutex.Unlock()
	var peers []*entryNode
	for _, candidate := range simulation.nodes {
		if candidate != node && candidate.alive() {
			peers = append(peers, candidate)
		}
	}
	return peers
}

// returnReply delivers a reply between two nodes. If a link has gone silent, the
// reply is lost although the call took effect.
func (simulation *simulation) returnReply(ctx context.Context, from, peer *entryNode) error {
	simulation.clock.Wait(ctx, linkLatency)
	simulation.mutex.Lock()
	silent := simulation.silentLink
	simulation.silentLink = false
	simulation.mutex.Unlock()
	if silent {
		simulation.clock.Wait(ctx, linkTimeout)
		return errCut
	}
	if !peer.alive() {
		return errCut
	}
	return from.awaitRunning(ctx)
}

// addConnection registers an open connection. It silences the connection if
// silenceNext is set.
func (simulation *simulation) addConnection(connection *connection) {
	simulation.mutex.Lock()
	defer simulation.mutex.Unlock()
	simulation.openConnections[connection] = true
	if simulation.silenceNext {
		simulation.silenceNext = false
		connection.silence()
	}
}

func (simulation *simulation) removeConnection(connection *connection) {
	simulation.mutex.Lock()
	defer simulation.mutex.Unlock()
	delete(simulation.openConnections, connection)
}

func (simulation *simulation) outOfOrder() bool {
	simulation.mutex.Lock()
	defer simulation.mutex.Unlock()
	return simulation.reorderChunks
}

// hostList returns the platform's list of hosts, which may lag. It returns false
// while the store is down or slow.
func (simulation *simulation) hostList() ([]backend.Listing, bool) {
	simulation.store.mutex.Lock()
	down := simulation.store.down || simulation.store.slow
	simulation.store.mutex.Unlock()
	if down {
		return nil, false
	}
	simulation.mutex.Lock()
	defer simulation.mutex.Unlock()
	if simulation.staleList != nil {
		return copyListings(simulation.staleList), true
	}
	return simulation.currentListings(), true
}

// copyListings returns a copy of the list, as each node keeps its own servers.
func copyListings(list []backend.Listing) []backend.Listing {
	copies := make([]backend.Listing, 0, len(list))
	for _, listed := range list {
		server := listed.Server()
		copies = append(copies, backend.NewListing(backend.NewServer(server.ID(), server.Address(), server.DataCentre(), server.HostClass(), server.Pool()), listed.Leaving()))
	}
	return copies
}

func (simulation *simulation) currentListings() []backend.Listing {
	var list []backend.Listing
	for _, host := range simulation.hosts {
		if host.alive() {
			list = append(list, backend.NewListing(backend.NewServer(host.id, host.id, host.dataCentre, hostClass, host.pool), host.leaving() >= 0))
		}
	}
	return list
}

// currentNotices returns the cloud's notices so far, and a channel that is closed
// when the next one is added.
func (simulation *simulation) currentNotices() ([]notice, <-chan struct{}) {
	simulation.mutex.Lock()
	defer simulation.mutex.Unlock()
	return slices.Clone(simulation.notices), simulation.noticesChanged
}

// reclaim announces that a host will be reclaimed, and kills it after the remaining
// time.
func (simulation *simulation) reclaim(host *host, remaining clock.Millis) {
	host.mutex.Lock()
	first := host.leavingAt < 0
	if first {
		host.leavingAt = simulation.clock.Now()
	}
	host.mutex.Unlock()
	if !first || !host.alive() {
		return
	}
	simulation.mutex.Lock()
	simulation.notices = append(simulation.notices, notice{id: host.id, remaining: remaining})
	close(simulation.noticesChanged)
	simulation.noticesChanged = make(chan struct{})
	simulation.mutex.Unlock()
	simulation.clock.AfterFunc(remaining, host.kill)
}

// checkNewWork checks that a host that gets new work has not been leaving for longer
// than leavingBound.
func (simulation *simulation) checkNewWork(node *entryNode, host *host) {
	leavingSince := host.leaving()
	if leavingSince >= 0 && simulation.clock.Now()-leavingSince > leavingBound {
		simulation.withOracle(func(oracle *oracle) {
			oracle.addViolation("leaving: %s got new work from %s %d ms after its notice", host.id, node.name, simulation.clock.Now()-leavingSince)
		})
	}
}

// countRun records that a backend server began to run a request.
func (simulation *simulation) countRun(to *request.Request) {
	simulation.withOracle(func(oracle *oracle) { oracle.countRun(to) })
}

// withOracle calls the function with the oracle locked.
func (simulation *simulation) withOracle(note func(oracle *oracle)) {
	simulation.oracle.mutex.Lock()
	defer simulation.oracle.mutex.Unlock()
	note(simulation.oracle)
}

// arm makes the steps, and no others, inject faults from now on.
func (simulation *simulation) arm(steps ...Step) {
	simulation.mutex.Lock()
	defer simulation.mutex.Unlock()
	clear(simulation.armed)
	for _, step := range steps {
		simulation.armed[step], simulation.reached[step] = true, false
	}
}

// passStep marks a step as passed. If the step is armed, it disarms the step and
// calls onArmedStep.
func (simulation *simulation) passStep(step Step, involved participants) {
	simulation.mutex.Lock()
	armed := simulation.armed[step]
	delete(simulation.armed, step)
	if armed {
		simulation.reached[step] = true
	}
	simulation.mutex.Unlock()
	if armed {
		simulation.onArmedStep(step, involved)
	}
}

// passed reports whether the step was passed while it was armed.
func (simulation *simulation) passed(step Step) bool {
	simulation.mutex.Lock()
	defer simulation.mutex.Unlock()
	return simulation.reached[step]
}

// update calls the function with the simulation locked.
func (simulation *simulation) update(change func()) {
	simulation.mutex.Lock()
	defer simulation.mutex.Unlock()
	change()
}

// close kills every process and waits for their goroutines.
func (simulation *simulation) close() {
	simulation.ended.Store(true)
	simulation.endFaults()
	for _, node := range simulation.nodes {
		node.kill()
	}
	for _, steward := range simulation.stewards {
		steward.terminate()
		steward.cancel()
	}
	for _, host := range simulation.allHosts() {
		host.kill()
	}
	simulation.group.Wait()
}

// endFaults ends every lasting fault.
func (simulation *simulation) endFaults() {
	simulation.store.update(func(store *objectStore) { store.down, store.slow, store.responsesToLose = false, false, 0 })
	simulation.mutex.Lock()
	simulation.silenceNext, simulation.reorderChunks, simulation.refuseHosts, simulation.limitLoads, simulation.silentLink, simulation.staleList = false, false, false, false, false, nil
	simulation.mutex.Unlock()
	simulation.setCacheEventGaps(false)
	for _, steward := range simulation.stewards {
		steward.resume()
	}
}
