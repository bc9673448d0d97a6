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
	poolRunners  = "runners"
	poolBooking  = "booking"
	modelName    = "desk-small"
	firstVersion = "v1"
	hostClass    = "gpu-small"
)

// notice says that a host leaves.
type notice struct {
	id   string
	left clock.Millis
}

// world is everything around the nodes and stewards under test.
type world struct {
	clock      *clock.Clock
	store      *objectStore
	group      sync.WaitGroup
	mutex      sync.Mutex
	source     *rand.Rand
	tally      *tally
	nodes      []*entryNode
	stewards   []*steward
	hosts      []*host
	starts     int
	races      int
	edits      atomic.Int64
	pauses     atomic.Int64
	ended      atomic.Bool
	open       map[*connection]bool
	silence    bool
	reorder    bool
	staleList  []backend.Listing
	refuse     bool
	limit      bool
	silentLink bool
	notices    []notice
	announce   chan struct{}
	armed      map[Step]bool
	reached    map[Step]bool
	inject     func(step Step, at moment)
}

func newWorld(time *clock.Clock, seed uint64) *world {
	world := &world{
		clock: time, store: newObjectStore(time), source: rand.New(rand.NewPCG(seed, seed)), tally: newTally(),
		open: map[*connection]bool{}, announce: make(chan struct{}), armed: map[Step]bool{}, reached: map[Step]bool{},
		inject: func(Step, moment) {},
	}
	for i, dataCentre := range []string{"lj-a", "lj-a", "lj-b", "lj-b"} {
		world.addHost(fmt.Sprintf("runner-%d", i), dataCentre, poolRunners)
	}
	world.hosts[1].ignoresFence = true
	world.addHost("booking-0", "lj-a", poolBooking)
	world.addHost("booking-1", "lj-b", poolBooking)
	for i, dataCentre := range []string{"lj-a", "lj-b", "lj-b"} {
		world.addNode(fmt.Sprintf("entry-%d", i), dataCentre)
	}
	for i, dataCentre := range []string{"lj-a", "lj-b"} {
		world.addSteward(fmt.Sprintf("entry-%d", i), dataCentre, clock.Millis(i)*holdBack)
	}
	return world
}

func (world *world) addHost(id, dataCentre, poolName string) *host {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	created := newHost(id, dataCentre, poolName, firstModels())
	world.hosts = append(world.hosts, created)
	return created
}

func (world *world) addNode(name, dataCentre string) *entryNode {
	world.mutex.Lock()
	world.starts++
	incarnation := int64(world.starts)
	world.mutex.Unlock()
	created := world.newNode(name, dataCentre, incarnation)
	world.mutex.Lock()
	world.nodes = append(world.nodes, created)
	world.mutex.Unlock()
	created.start()
	return created
}

// random returns a number from 0 to n-1.
func (world *world) random(n int) int {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	return world.source.IntN(n)
}

func (world *world) host(id string) *host {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	return world.hosts[slices.IndexFunc(world.hosts, func(host *host) bool { return host.id == id })]
}

func (world *world) allHosts() []*host {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	return slices.Clone(world.hosts)
}

// liveNodes returns the nodes whose processes live and that are not stopping.
func (world *world) liveNodes() []*entryNode {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	var live []*entryNode
	for _, node := range world.nodes {
		if node.alive() && !node.stopping.Load() {
			live = append(live, node)
		}
	}
	return live
}

// others returns the other nodes whose processes live.
func (world *world) others(than *entryNode) []*entryNode {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	var others []*entryNode
	for _, node := range world.nodes {
		if node != than && node.alive() {
			others = append(others, node)
		}
	}
	return others
}

// back carries a reply between two nodes. One link may have gone silent: then
// the reply does not come, though the call took effect.
func (world *world) back(ctx context.Context, from, other *entryNode) error {
	world.clock.Wait(ctx, linkTime)
	world.mutex.Lock()
	silent := world.silentLink
	world.silentLink = false
	world.mutex.Unlock()
	if silent {
		world.clock.Wait(ctx, linkTimeout)
		return errCut
	}
	if !other.alive() {
		return errCut
	}
	return from.gate(ctx)
}

// opened keeps a connection until it is closed. If the next connection is to go
// silent, this one does.
func (world *world) opened(connection *connection) {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	world.open[connection] = true
	if world.silence {
		world.silence = false
		connection.silence()
	}
}

func (world *world) closed(connection *connection) {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	delete(world.open, connection)
}

func (world *world) unordered() bool {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	return world.reorder
}

// listed returns the platform's list of hosts, which may lag. It fails with
// the store.
func (world *world) listed() ([]backend.Listing, bool) {
	world.store.mutex.Lock()
	down := world.store.down || world.store.slow
	world.store.mutex.Unlock()
	if down {
		return nil, false
	}
	world.mutex.Lock()
	defer world.mutex.Unlock()
	if world.staleList != nil {
		return relisted(world.staleList), true
	}
	return world.currentList(), true
}

// relisted makes the list anew, as each reader of it keeps its own servers.
func relisted(list []backend.Listing) []backend.Listing {
	copies := make([]backend.Listing, 0, len(list))
	for _, listed := range list {
		server := listed.Server()
		copies = append(copies, backend.NewListing(backend.NewServer(server.ID(), server.Address(), server.DataCentre(), server.HostClass(), server.Pool()), listed.Leaving()))
	}
	return copies
}

func (world *world) currentList() []backend.Listing {
	var list []backend.Listing
	for _, host := range world.hosts {
		if host.alive() {
			list = append(list, backend.NewListing(backend.NewServer(host.id, host.id, host.dataCentre, hostClass, host.pool), host.leaving() >= 0))
		}
	}
	return list
}

// announced returns the cloud's notices so far, and a channel that is closed
// with the next one.
func (world *world) announced() ([]notice, <-chan struct{}) {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	return slices.Clone(world.notices), world.announce
}

// reclaim announces that a host leaves, and takes it after the time.
func (world *world) reclaim(host *host, left clock.Millis) {
	host.mutex.Lock()
	first := host.leavingAt < 0
	if first {
		host.leavingAt = world.clock.Now()
	}
	host.mutex.Unlock()
	if !first || !host.alive() {
		return
	}
	world.mutex.Lock()
	world.notices = append(world.notices, notice{id: host.id, left: left})
	close(world.announce)
	world.announce = make(chan struct{})
	world.mutex.Unlock()
	world.clock.AfterFunc(left, host.kill)
}

// newWork notes that a host got new work, and checks that it is not leaving
// for too long.
func (world *world) newWork(node *entryNode, host *host) {
	left := host.leaving()
	if left >= 0 && world.clock.Now()-left > leavingBound {
		world.check(func(tally *tally) {
			tally.violate("leaving: %s got new work from %s %d ms after its notice", host.id, node.name, world.clock.Now()-left)
		})
	}
}

// ran notes that a backend server began to run a request.
func (world *world) ran(to *request.Request) {
	world.check(func(tally *tally) { tally.run(to) })
}

// check works on the tally under the lock.
func (world *world) check(note func(tally *tally)) {
	world.tally.mutex.Lock()
	defer world.tally.mutex.Unlock()
	note(world.tally)
}

// arm lets faults come at the steps from now on.
func (world *world) arm(steps ...Step) {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	clear(world.armed)
	for _, step := range steps {
		world.armed[step], world.reached[step] = true, false
	}
}

// at passes a step. A fault comes the first time that an armed one is passed.
func (world *world) at(step Step, at moment) {
	world.mutex.Lock()
	armed := world.armed[step]
	delete(world.armed, step)
	if armed {
		world.reached[step] = true
	}
	world.mutex.Unlock()
	if armed {
		world.inject(step, at)
	}
}

// passed reports whether the step was passed while armed.
func (world *world) passed(step Step) bool {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	return world.reached[step]
}

// set changes the faults under the lock.
func (world *world) set(change func()) {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	change()
}

// close ends every process and waits for what they run.
func (world *world) close() {
	world.ended.Store(true)
	world.heal()
	for _, node := range world.nodes {
		node.kill()
	}
	for _, steward := range world.stewards {
		steward.end()
		steward.cancel()
	}
	for _, host := range world.allHosts() {
		host.kill()
	}
	world.group.Wait()
}

// heal ends every fault that lasts.
func (world *world) heal() {
	world.store.set(func(store *objectStore) { store.down, store.slow, store.lose = false, false, 0 })
	world.mutex.Lock()
	world.silence, world.reorder, world.refuse, world.limit, world.silentLink, world.staleList = false, false, false, false, false, nil
	world.mutex.Unlock()
	world.setGaps(false)
	for _, steward := range world.stewards {
		steward.wake()
	}
}
