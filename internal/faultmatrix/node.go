package faultmatrix

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/caller"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/entry"
	"sapphirehead/internal/node"
	"sapphirehead/internal/operator"
	"sapphirehead/internal/platform"
	"sapphirehead/internal/platform/platformhttp"
	"sapphirehead/internal/request"
	"sapphirehead/internal/runner"
	"sapphirehead/internal/service"
	"sapphirehead/internal/table"
)

// Times of a node's loops.
const (
	beatInterval  = 500 * clock.Millisecond
	hostsInterval = 500 * clock.Millisecond
	retryInterval = 500 * clock.Millisecond
	// readyOff is how long a stopping node still takes requests.
	readyOff = 20 * clock.Millisecond
	// handOverAfter is how long a stopping node waits before it hands over.
	handOverAfter = 15 * clock.Millisecond
	// assumedNotice is the notice of a server of which none is known.
	assumedNotice = 1 * clock.Second
)

var errDead = errors.New("the process is dead")

// process is what can happen to every process: it dies, or it is paused.
type process struct {
	dead   chan struct{}
	mutex  sync.Mutex
	paused chan struct{}
}

func newProcess() *process { return &process{dead: make(chan struct{})} }

func (process *process) alive() bool {
	select {
	case <-process.dead:
		return false
	default:
		return true
	}
}

func (process *process) end() {
	process.mutex.Lock()
	defer process.mutex.Unlock()
	if process.alive() {
		close(process.dead)
	}
}

func (process *process) pause() {
	process.mutex.Lock()
	defer process.mutex.Unlock()
	if process.paused == nil {
		process.paused = make(chan struct{})
	}
}

func (process *process) wake() {
	process.mutex.Lock()
	defer process.mutex.Unlock()
	if process.paused != nil {
		close(process.paused)
		process.paused = nil
	}
}

// gate blocks while the process is paused and fails once it is dead.
func (process *process) gate(ctx context.Context) error {
	for {
		process.mutex.Lock()
		paused := process.paused
		process.mutex.Unlock()
		if !process.alive() {
			return errDead
		}
		if paused == nil {
			return ctx.Err()
		}
		select {
		case <-paused:
		case <-process.dead:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// entryNode is one entry host: the decision side of the system, with the world
// behind its function fields.
type entryNode struct {
	*process
	world       *world
	name        string
	dataCentre  string
	incarnation int64
	sequence    atomic.Int64
	stopping    atomic.Bool
	ready       atomic.Bool
	life        context.Context
	cancel      context.CancelFunc
	inForce     *table.InForce
	highest     int64
	fleet       *backend.Fleet
	members     *node.Members
	admission   *caller.Admission
	account     *caller.Account
	store       *platform.Store
	ledger      *service.Ledger
	editor      *operator.Editor
	driver      *entry.Driver
	answers     *entry.Answers
	notices     int
	// writer keeps the writers of fleet and members apart: each has but one.
	writer sync.Mutex
}

func (world *world) newNode(name, dataCentre string, incarnation int64) *entryNode {
	created := &entryNode{
		process: newProcess(), world: world, name: name, dataCentre: dataCentre, incarnation: incarnation,
		inForce: table.NewInForce(), fleet: backend.NewFleet(), members: node.NewMembers(world.clock, name, node.DefaultSilence),
		admission: caller.NewAdmission(100), account: caller.NewAccount("garage-north", 0),
	}
	created.life, created.cancel = context.WithCancel(context.Background())
	created.store = world.store.client(created.gate)
	created.build()
	return created
}

// build joins the decisions to the world. It is the one place that follows the
// constructors of the system.
func (entryNode *entryNode) build() {
	world := entryNode.world
	entryNode.ledger = service.NewLedger(world.clock, service.DefaultWindow,
		func(ctx context.Context, shard int) (service.Shard, int64, error) {
			return platformhttp.LoadShard(ctx, entryNode.store, shard)
		},
		func(ctx context.Context, shard int, claims service.Shard, condition int64) error {
			return platformhttp.CommitShard(ctx, entryNode.store, shard, claims, condition)
		})
	entryNode.editor = operator.NewEditor(
		func(ctx context.Context) (*table.Tables, int64, error) {
			return platformhttp.LoadTables(ctx, entryNode.store)
		},
		func(ctx context.Context, tables *table.Tables, condition int64) error {
			world.at(StepEdit, moment{node: entryNode})
			return platformhttp.CommitTables(ctx, entryNode.store, tables, condition)
		},
		entryNode.newest, func(*table.Tables, *table.Tables) {})
	chooser := runner.NewChooser(entryNode.fleet, entryNode.dataCentre, world.random)
	entryNode.driver = entry.NewDriver(world.clock,
		func(to *request.Request, exclude []string) (*backend.Server, bool) {
			world.at(StepChoose, moment{node: entryNode})
			return chooser.Choose(to.Route().Pool(), exclude)
		},
		func(*request.Request) bool { return true },
		entryNode.claim, entryNode.record,
		func(ctx context.Context, to *request.Request, attempt request.Attempt) (*runner.Stream, error) {
			return world.attempt(ctx, entryNode, to, attempt)
		},
		func(ctx context.Context, server *backend.Server, streamID string) error {
			return world.cancel(ctx, entryNode, server, streamID)
		},
		func(ctx context.Context, server *backend.Server, from *request.Request, call service.Call) (service.Answer, request.Cause, error) {
			return world.call(ctx, entryNode, server, from, call)
		},
		func(server *backend.Server) { entryNode.learnLeaving(server.ID(), 0) },
		func(_ *request.Request, server *backend.Server, cause request.Cause) { count(server, cause) },
		func(*backend.Server) {}, func(*entry.Answer) {})
	entryNode.answers = entry.NewAnswers(world.clock, entryNode.driver.Run)
}

func count(server *backend.Server, cause request.Cause) {
	if cause == 0 {
		server.Succeeded()
		return
	}
	server.Failed()
}

func (entryNode *entryNode) claim(ctx context.Context, to *request.Request) (request.Claim, service.Answer) {
	entryNode.world.at(StepClaim, moment{node: entryNode})
	return entryNode.ledger.Claim(ctx, to.Account(), to.Key(), to.ID())
}

func (entryNode *entryNode) record(ctx context.Context, to *request.Request, answer service.Answer) error {
	entryNode.world.at(StepRecord, moment{node: entryNode})
	return entryNode.ledger.Record(ctx, to.Account(), to.Key(), to.ID(), answer)
}

// start boots the node: it takes the newest tables from the store or a fellow
// node before it is ready.
func (entryNode *entryNode) start() {
	for _, loop := range []func(){entryNode.watch, entryNode.beat, entryNode.list, entryNode.heed} {
		entryNode.world.group.Go(loop)
	}
}

// kill ends the process without warning.
func (entryNode *entryNode) kill() {
	entryNode.end()
	entryNode.cancel()
	entryNode.world.group.Go(func() { entryNode.answers.Close(errDead) })
}

// wait sleeps unless the node dies, and reports whether it lives.
func (entryNode *entryNode) wait(delay clock.Millis) bool {
	return entryNode.world.clock.Wait(entryNode.life, delay) == nil && entryNode.gate(entryNode.life) == nil
}

func (entryNode *entryNode) watch() {
	version := int64(-1)
	for entryNode.gate(entryNode.life) == nil {
		var tables *table.Tables
		var err error
		if version < 0 {
			tables, version, err = platformhttp.LoadTables(entryNode.life, entryNode.store)
		} else {
			tables, version, err = platformhttp.WatchTables(entryNode.life, entryNode.store, version)
		}
		if err != nil {
			version = -1
			entryNode.wait(retryInterval)
			continue
		}
		entryNode.put(tables)
	}
}

// newest returns the highest tables in force at this node and those it reaches.
func (entryNode *entryNode) newest(ctx context.Context) (*table.Tables, error) {
	if err := entryNode.gate(ctx); err != nil {
		return nil, err
	}
	for _, other := range entryNode.world.others(entryNode) {
		if tables := other.inForce.Current(); entryNode.world.linked(entryNode, other) && tables.Version() > entryNode.inForce.Current().Version() {
			entryNode.put(tables)
		}
	}
	return entryNode.inForce.Current(), nil
}

// put offers tables and checks that the version in force never falls.
func (entryNode *entryNode) put(tables *table.Tables) {
	entryNode.inForce.Offer(tables)
	entryNode.world.check(func(tally *tally) {
		version := entryNode.inForce.Current().Version()
		if version < entryNode.highest {
			tally.violate("reverted: %s went from version %d to %d", entryNode.name, entryNode.highest, version)
		}
		entryNode.highest = max(entryNode.highest, version)
	})
	if entryNode.inForce.Current().Version() > 0 {
		entryNode.ready.Store(true)
	}
}

// beat exchanges news with every other node.
func (entryNode *entryNode) beat() {
	for entryNode.gate(entryNode.life) == nil {
		entryNode.world.at(StepSpread, moment{node: entryNode})
		for _, other := range entryNode.world.others(entryNode) {
			if entryNode.gate(entryNode.life) != nil {
				return
			}
			entryNode.exchange(other)
		}
		entryNode.wait(beatInterval)
	}
}

func (entryNode *entryNode) self() node.Member {
	return node.NewMember(entryNode.name, entryNode.name, entryNode.dataCentre, entryNode.incarnation).
		WithNews(entryNode.sequence.Add(1), entryNode.inForce.Current().Version(), entryNode.ready.Load(), entryNode.stopping.Load())
}

// exchange is one heartbeat and its answer.
func (entryNode *entryNode) exchange(other *entryNode) {
	if !entryNode.world.linked(entryNode, other) {
		return
	}
	entryNode.tell(other)
	other.tell(entryNode)
}

// tell gives the other node this node's news.
func (entryNode *entryNode) tell(other *entryNode) {
	other.writer.Lock()
	other.members.Merge(append([]node.Member{entryNode.self()}, entryNode.members.Live()...))
	other.writer.Unlock()
	for _, server := range entryNode.fleet.Current().Servers() {
		if server.Leaving() {
			other.learnLeaving(server.ID(), 0)
		}
	}
	if tables := entryNode.inForce.Current(); tables.Version() > other.inForce.Current().Version() {
		other.put(tables)
	}
}

// list follows the lagging list of hosts.
func (entryNode *entryNode) list() {
	for entryNode.gate(entryNode.life) == nil {
		if listed, ok := entryNode.world.listed(); ok {
			entryNode.writer.Lock()
			entryNode.fleet.Update(listed)
			entryNode.writer.Unlock()
		}
		entryNode.wait(hostsInterval)
	}
}

// heed follows the cloud's notices.
func (entryNode *entryNode) heed() {
	for entryNode.gate(entryNode.life) == nil {
		notices, changed := entryNode.world.announced()
		for _, notice := range notices[entryNode.notices:] {
			entryNode.learnLeaving(notice.id, notice.left)
		}
		entryNode.notices = len(notices)
		select {
		case <-changed:
		case <-entryNode.life.Done():
		}
	}
}

// learnLeaving takes in evidence that a server is leaving, and moves the
// streams there.
func (entryNode *entryNode) learnLeaving(id string, notice clock.Millis) {
	if server := entryNode.fleet.Current().Server(id); server != nil {
		server.MarkLeaving()
	}
	entryNode.writer.Lock()
	first := entryNode.fleet.MarkLeaving(id)
	entryNode.writer.Unlock()
	if !first {
		return
	}
	if notice == 0 {
		notice = assumedNotice
	}
	for _, answer := range entryNode.answers.Active() {
		state := answer.Journal().State()
		if server, _ := state.Place(); server == nil || server.ID() != id {
			continue
		}
		prompt := answer.Request().Prompt()
		move := request.PlanMove(request.NewStreamState(prompt.Length(), len(state.Tokens()), prompt.MaxTokens(), decodeTime, notice))
		if move != request.MoveStay {
			answer.Move(move)
		}
	}
}

// stop stops the node gracefully: readiness off, admission closed, answers
// handed over, end.
func (entryNode *entryNode) stop() {
	if entryNode.stopping.Swap(true) {
		return
	}
	entryNode.world.group.Go(func() {
		entryNode.wait(readyOff)
		entryNode.admission.Close()
		entryNode.wait(handOverAfter)
		for _, answer := range entryNode.answers.Active() {
			entryNode.handOver(answer)
		}
		for entryNode.admission.InFlight() > 0 && entryNode.wait(decodeTime) {
		}
		entryNode.kill()
	})
}

func (entryNode *entryNode) handOver(answer *entry.Answer) {
	entryNode.world.at(StepHandOver, moment{node: entryNode})
	for _, other := range entryNode.world.others(entryNode) {
		if other.stopping.Load() || entryNode.gate(entryNode.life) != nil || !entryNode.world.linked(entryNode, other) {
			continue
		}
		err := answer.Release(entryNode.life, func(state *request.JournalState) error {
			server, streamID := state.Place()
			if server != nil {
				server = other.fleet.Current().Server(server.ID())
			}
			if err := entryNode.gate(entryNode.life); err != nil {
				return err
			}
			if server == nil {
				streamID = ""
			}
			other.answers.Adopt(answer.Request(), entry.NewAdopted(state.Tokens(), server, streamID))
			return nil
		})
		if err == nil {
			return
		}
	}
}
