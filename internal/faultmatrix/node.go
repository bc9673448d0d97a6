package faultmatrix

import (
	"context"
	"expvar"
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/caller"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/entry"
	"sapphirehead/internal/node"
	"sapphirehead/internal/node/nodepb"
	"sapphirehead/internal/platform"
	"sapphirehead/internal/platform/platformhttp"
	"sapphirehead/internal/pool"
	"sapphirehead/internal/rendezvous"
	"sapphirehead/internal/request"
	"sapphirehead/internal/route"
	"sapphirehead/internal/runner"
	"sapphirehead/internal/service"
	"sapphirehead/internal/table"
)

// Times of a node's loops.
const (
	hostsInterval  = 500 * clock.Millisecond
	settleInterval = 250 * clock.Millisecond
	// forwardTimeout is how long a node waits for the owner of a claim's object.
	forwardTimeout = 500 * clock.Millisecond
	// linkTime is the time of one call between nodes, one way.
	linkTime = 1 * clock.Millisecond
	// linkTimeout is when a silent link is given up.
	linkTimeout = 1 * clock.Second
	// cacheInterval is the time between two readings of cache events.
	cacheInterval = 1 * clock.Second
	// indexSets is the size of the prefix index.
	indexSets = 64
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
	world        *world
	name         string
	dataCentre   string
	incarnation  int64
	stopping     atomic.Bool
	life         context.Context
	cancel       context.CancelFunc
	active       *table.Active
	highest      int64
	fleet        *backend.Fleet
	members      *node.Members
	connectivity *node.Connectivity
	gossip       *entry.Gossip
	tables       *entry.TablesFollower
	admission    *caller.Admission
	account      *caller.Account
	store        *platform.Store
	ledger       *service.Ledger
	driver       *entry.Driver
	responses    *entry.Responses
	index        *runner.Index
	budget       *backend.RetryBudget
	notices      int
	// writer keeps the writers of the fleet apart: it has but one.
	writer sync.Mutex
}

// seeds are the nodes that every node knows from its settings.
var seeds = []string{"entry-0", "entry-1", "entry-2"}

func (world *world) newNode(name, dataCentre string, incarnation int64) *entryNode {
	created := &entryNode{
		process: newProcess(), world: world, name: name, dataCentre: dataCentre, incarnation: incarnation,
		active: table.NewActive(), fleet: backend.NewFleet(),
		admission: caller.NewAdmission(100), account: caller.NewAccount("garage-north", 0),
	}
	created.life, created.cancel = context.WithCancel(context.Background())
	created.store = world.store.client(created.gate)
	created.joinFellows()
	created.joinClaims()
	created.joinServers()
	return created
}

// joinFellows, joinClaims and joinServers follow the constructors of the
// system as sapphire-entry uses them.
func (entryNode *entryNode) joinFellows() {
	world, counters := entryNode.world, new(expvar.Map).Init()
	entryNode.members = node.NewMembers(world.clock, entryNode.self, world.random, seeds)
	entryNode.connectivity = node.NewConnectivity(world.clock, entryNode.members)
	entryNode.tables = entry.NewTablesFollower(world.clock, entryNode.members, entryNode.connectivity, entryNode.active,
		func(ctx context.Context) (*table.Tables, int64, error) {
			return platformhttp.LoadTables(ctx, entryNode.store)
		},
		func(ctx context.Context, after int64) (*table.Tables, int64, error) {
			return platformhttp.WatchTables(ctx, entryNode.store, after)
		},
		func(ctx context.Context, tables *table.Tables, condition int64) error {
			world.at(StepEdit, moment{node: entryNode})
			return platformhttp.CommitTables(ctx, entryNode.store, tables, condition)
		},
		entryNode.call, func() { entryNode.gossip.TriggerPush() }, zerolog.Nop(), counters)
	entryNode.gossip = entry.NewGossip(world.clock, entryNode.members, seeds, entryNode.call, func() {},
		entryNode.learnLeaving, entryNode.tables.CheckAhead, counters)
}

func (entryNode *entryNode) joinClaims() {
	holder := fmt.Sprintf("%s/%d", entryNode.name, entryNode.incarnation)
	entryNode.ledger = service.NewLedger(entryNode.world.clock, service.DefaultWindow, holder,
		func(ctx context.Context, object string) (service.Shard, int64, error) {
			return platformhttp.LoadShard(ctx, entryNode.store, object)
		},
		func(ctx context.Context, object string, shard service.Shard, condition int64) (int64, error) {
			return platformhttp.CommitShard(ctx, entryNode.store, object, shard, condition)
		}).WithPeers(entryNode.forward, entryNode.unrun, func() int { return len(entryNode.members.Live()) + 1 },
		func(wait clock.Millis) clock.Millis { return wait })
}

func (entryNode *entryNode) joinServers() {
	world := entryNode.world
	distance := func(server *backend.Server) float64 {
		if server.DataCentre() == entryNode.dataCentre {
			return 0
		}
		return 1
	}
	entryNode.index = runner.NewIndex(indexSets)
	placer := runner.NewPlacer(world.clock, entryNode.fleet, entryNode.index, entryNode.name, distance, func(string) int { return pool.DefaultSlots }, world.random)
	services := runner.NewChooser(entryNode.fleet, entryNode.dataCentre, world.random)
	entryNode.budget = backend.NewRetryBudget()
	entryNode.driver = entry.NewDriver(world.clock,
		func(to *request.Request, exclude []string) (*backend.Server, bool) {
			world.at(StepChoose, moment{node: entryNode})
			if to.Route().Kind() == route.KindService {
				return services.Choose(to.Route().Pool(), exclude)
			}
			estimate, ok := placer.Place(to, runner.ChainOf(to.Prompt()), 0, exclude)
			return estimate.Server(), ok
		},
		func(*request.Request) bool { return entryNode.budget.Take() },
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
		func(_ *request.Request, server *backend.Server, cause request.Cause) { entryNode.ended(server, cause) },
		func(*backend.Server) {}, func(*entry.Response) {})
	entryNode.responses = entry.NewResponses(world.clock, entryNode.driver.Run)
}

// ended takes in how an attempt ended.
func (entryNode *entryNode) ended(server *backend.Server, cause request.Cause) {
	now := entryNode.world.clock.Now()
	switch {
	case cause == 0:
		server.Circuit().Succeeded(now)
		entryNode.budget.Succeeded()
	case server.Leaving():
		entryNode.budget.Refund()
	default:
		server.Circuit().Failed(now)
	}
}

// followCaches reads the runners' cache events.
func (entryNode *entryNode) followCaches() {
	for entryNode.wait(cacheInterval) {
		for _, server := range entryNode.fleet.Current().Pool(poolRunners) {
			entryNode.index.Apply(server, entryNode.world.host(server.ID()).cacheEvents(server.Cache().Sequence()))
		}
	}
}

func (entryNode *entryNode) ready() bool { return entryNode.connectivity.IsConnected() }

func (entryNode *entryNode) self() node.Member {
	return node.NewMember(entryNode.name, entryNode.name, entryNode.dataCentre, entryNode.incarnation).
		WithState(0, entryNode.active.Current().Version(), entryNode.ready(), entryNode.stopping.Load())
}

// call carries a call to a fellow node and its reply back.
func (entryNode *entryNode) call(ctx context.Context, address string, call *nodepb.Call) (*nodepb.Reply, error) {
	other, err := entryNode.reach(ctx, address)
	if err != nil {
		return nil, err
	}
	reply := other.reply(call)
	if err := entryNode.world.back(ctx, entryNode, other); err != nil {
		return nil, err
	}
	return reply, nil
}

// reach returns the node at the address once a call has come there.
func (entryNode *entryNode) reach(ctx context.Context, address string) (*entryNode, error) {
	if err := entryNode.gate(ctx); err != nil {
		return nil, err
	}
	entryNode.world.at(StepSpread, moment{node: entryNode})
	entryNode.world.clock.Wait(ctx, linkTime)
	for _, other := range entryNode.world.others(entryNode) {
		if other.name == address {
			return other, entryNode.gate(ctx)
		}
	}
	return nil, errRefused
}

func (entryNode *entryNode) reply(call *nodepb.Call) *nodepb.Reply {
	switch call.WhichBody() {
	case nodepb.Call_Heartbeat_case:
		return entryNode.gossip.Heartbeat(call.GetHeartbeat())
	case nodepb.Call_MembersQuery_case:
		return entryNode.gossip.Members()
	case nodepb.Call_EvidenceQuery_case:
		return entryNode.gossip.Evidence()
	default:
		return entryNode.tables.HandleQuery(call.GetTablesQuery())
	}
}

// forward hands an operation on claims to the owner of its object.
func (entryNode *entryNode) forward(ctx context.Context, operation service.Operation) (service.Verdict, bool) {
	hosts := []string{entryNode.name}
	for _, member := range entryNode.members.Live() {
		if !member.Stopping() {
			hosts = append(hosts, member.Host())
		}
	}
	owner := rendezvous.Best(operation.Place().Object(), hosts)
	if owner == entryNode.name {
		return service.Verdict{}, false
	}
	ctx, cancel := entryNode.world.clock.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	other, err := entryNode.reach(ctx, owner)
	if err != nil {
		return service.Verdict{}, true
	}
	verdict := other.ledger.HandleForwarded(ctx, operation)
	if entryNode.world.back(ctx, entryNode, other) != nil {
		return service.Verdict{}, true
	}
	return verdict, true
}

// unrun asks the process that holds a claim whether its request never runs.
func (entryNode *entryNode) unrun(ctx context.Context, holder, nonce string) bool {
	for _, other := range entryNode.world.others(entryNode) {
		if other.ledger.Holder() != holder {
			continue
		}
		reached, err := entryNode.reach(ctx, other.name)
		return err == nil && reached == other && other.ledger.NeverRuns(nonce)
	}
	return false
}

func (entryNode *entryNode) claim(ctx context.Context, to *request.Request) (request.Claim, service.Answer) {
	entryNode.world.at(StepClaim, moment{node: entryNode})
	return entryNode.ledger.Claim(ctx, to, false)
}

func (entryNode *entryNode) record(ctx context.Context, to *request.Request, answer service.Answer) error {
	entryNode.world.at(StepRecord, moment{node: entryNode})
	return entryNode.ledger.Record(context.WithoutCancel(ctx), to, answer, false)
}

// endClaim reports to the ledger that a call has ended.
func (entryNode *entryNode) endClaim(to *request.Request, err error) {
	if to.NeedsClaim() {
		var notRun *request.NotRunError
		entryNode.ledger.End(to, errors.As(err, &notRun))
	}
}

// start boots the node.
func (entryNode *entryNode) start() {
	loops := []func(){
		func() { entryNode.tables.Run(entryNode.life, entryNode.gossip.Join) },
		func() { entryNode.gossip.Run(entryNode.life) },
		entryNode.list, entryNode.heed, entryNode.settleClaims, entryNode.followCaches,
	}
	for _, loop := range loops {
		entryNode.world.group.Go(loop)
	}
}

// kill ends the process without warning.
func (entryNode *entryNode) kill() {
	entryNode.end()
	entryNode.cancel()
	entryNode.world.group.Go(func() { entryNode.responses.Close(errDead) })
}

// wait sleeps unless the node dies, and reports whether it lives.
func (entryNode *entryNode) wait(delay clock.Millis) bool {
	return entryNode.world.clock.Wait(entryNode.life, delay) == nil && entryNode.gate(entryNode.life) == nil
}

// settleClaims tries again what the store gave no answer to.
func (entryNode *entryNode) settleClaims() {
	for entryNode.wait(settleInterval) {
		entryNode.ledger.RetryBacklog(entryNode.life)
	}
}

// list follows the lagging list of hosts, and checks that the version of the
// tables in force never falls.
func (entryNode *entryNode) list() {
	for entryNode.gate(entryNode.life) == nil {
		if listed, ok := entryNode.world.listed(); ok {
			entryNode.writer.Lock()
			entryNode.fleet.Update(listed)
			entryNode.writer.Unlock()
		}
		version := entryNode.active.Current().Version()
		if version < entryNode.highest {
			entryNode.world.check(func(tally *tally) {
				tally.violate("reverted: %s went from version %d to %d", entryNode.name, entryNode.highest, version)
			})
		}
		entryNode.highest = max(entryNode.highest, version)
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
	entryNode.gossip.AnnounceLeaving(id, notice)
	if notice == 0 {
		notice = assumedNotice
	}
	for _, answer := range entryNode.responses.Active() {
		state := answer.Journal().State()
		if server, _ := state.Source(); server == nil || server.ID() != id {
			continue
		}
		prompt := answer.Request().Prompt()
		move := request.PlanMove(request.NewStreamState(prompt.Length(), len(state.Tokens()), prompt.MaxTokens(), decodeTime, notice))
		if move != request.MoveStay {
			answer.RequestMove(move)
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
		for _, answer := range entryNode.responses.Active() {
			entryNode.handOver(answer)
		}
		for entryNode.admission.InFlight() > 0 && entryNode.wait(decodeTime) {
		}
		entryNode.kill()
	})
}

func (entryNode *entryNode) handOver(answer *entry.Response) {
	entryNode.world.at(StepHandOver, moment{node: entryNode})
	for _, other := range entryNode.world.others(entryNode) {
		if other.stopping.Load() || entryNode.gate(entryNode.life) != nil {
			continue
		}
		err := answer.HandOver(entryNode.life, func(state *request.JournalState) error {
			server, streamID := state.Source()
			if server != nil {
				server = other.fleet.Current().Server(server.ID())
			}
			if err := entryNode.gate(entryNode.life); err != nil {
				return err
			}
			if server == nil {
				streamID = ""
			}
			other.responses.Adopt(answer.Request(), entry.NewResumePoint(state.Tokens(), server, streamID))
			return nil
		})
		if err == nil {
			return
		}
	}
}
