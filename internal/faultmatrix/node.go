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
	"sapphirehead/internal/quarantine"
	"sapphirehead/internal/rendezvous"
	"sapphirehead/internal/request"
	"sapphirehead/internal/route"
	"sapphirehead/internal/runner"
	"sapphirehead/internal/service"
	"sapphirehead/internal/table"
)

// Intervals and limits of a node.
const (
	hostListInterval   = 500 * clock.Millisecond
	claimRetryInterval = 250 * clock.Millisecond
	// forwardTimeout is how long a node waits for the owner of a claim's object.
	forwardTimeout = 500 * clock.Millisecond
	// linkLatency is the one-way latency between nodes.
	linkLatency = 1 * clock.Millisecond
	// linkTimeout is how long a node waits for a reply on a silent link.
	linkTimeout = 1 * clock.Second
	// cacheInterval is the time between two reads of cache events.
	cacheInterval = 1 * clock.Second
	// indexSets is the size of the prefix index, in sets.
	indexSets = 64
	// readyOffDelay is how long a stopping node still accepts requests.
	readyOffDelay = 20 * clock.Millisecond
	// handOverDelay is the time from the end of admission to the hand-over of streams.
	handOverDelay = 15 * clock.Millisecond
	// assumedNotice is the notice assumed for a leaving server if none is known.
	assumedNotice = 1 * clock.Second
)

var errDead = errors.New("the process is dead")

// process is the state that nodes and stewards share: a process runs, is paused or
// is dead.
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

func (process *process) terminate() {
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

func (process *process) resume() {
	process.mutex.Lock()
	defer process.mutex.Unlock()
	if process.paused != nil {
		close(process.paused)
		process.paused = nil
	}
}

// awaitRunning blocks while the process is paused. It returns errDead once the
// process is dead.
func (process *process) awaitRunning(ctx context.Context) error {
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

// entryNode is one entry host: the decision side of the system, whose function
// fields the simulation implements.
type entryNode struct {
	*process
	simulation     *simulation
	name           string
	dataCentre     string
	incarnation    int64
	stopping       atomic.Bool
	ctx            context.Context
	cancel         context.CancelFunc
	active         *table.Active
	highestVersion int64
	fleet          *backend.Fleet
	members        *node.Members
	connectivity   *node.Connectivity
	gossip         *entry.Gossip
	tables         *entry.TablesFollower
	admission      *caller.Admission
	account        *caller.Account
	store          *platform.Store
	ledger         *service.Ledger
	driver         *entry.Driver
	responses      *entry.Responses
	index          *runner.Index
	budget         *backend.RetryBudget
	handledNotices int
	// fleetMutex serialises writes to the fleet, which allows a single writer.
	fleetMutex sync.Mutex
}

// seeds are the nodes named in every node's settings.
var seeds = []string{"entry-0", "entry-1", "entry-2"}

func (simulation *simulation) newNode(name, dataCentre string, incarnation int64) *entryNode {
	created := &entryNode{
		process: newProcess(), simulation: simulation, name: name, dataCentre: dataCentre, incarnation: incarnation,
		active: table.NewActive(), fleet: backend.NewFleet(),
		admission: caller.NewAdmission(100), account: caller.NewAccount("garage-north", 0),
	}
	created.ctx, created.cancel = context.WithCancel(context.Background())
	created.store = simulation.store.client(created.awaitRunning)
	created.initPeers()
	created.initClaims()
	created.initServers()
	return created
}

// initPeers, initClaims and initServers call the constructors of the system as
// sapphire-entry does.
func (entryNode *entryNode) initPeers() {
	simulation, counters := entryNode.simulation, new(expvar.Map).Init()
	entryNode.members = node.NewMembers(simulation.clock, entryNode.self, simulation.random, seeds)
	entryNode.connectivity = node.NewConnectivity(simulation.clock, entryNode.members)
	entryNode.tables = entry.NewTablesFollower(simulation.clock, entryNode.members, entryNode.connectivity, entryNode.active,
		func(ctx context.Context) (*table.Tables, int64, error) {
			return platformhttp.LoadTables(ctx, entryNode.store)
		},
		func(ctx context.Context, after int64) (*table.Tables, int64, error) {
			return platformhttp.WatchTables(ctx, entryNode.store, after)
		},
		func(ctx context.Context, tables *table.Tables, condition int64) error {
			simulation.passStep(StepEdit, participants{node: entryNode})
			return platformhttp.CommitTables(ctx, entryNode.store, tables, condition)
		},
		entryNode.call, func() { entryNode.gossip.TriggerPush() }, zerolog.Nop(), counters)
	entryNode.gossip = entry.NewGossip(simulation.clock, entryNode.members, seeds, entryNode.call, func() {},
		entryNode.recordLeaving, entryNode.tables.CheckAhead, quarantine.New(simulation.clock.Now()), counters)
}

func (entryNode *entryNode) initClaims() {
	holder := fmt.Sprintf("%s/%d", entryNode.name, entryNode.incarnation)
	entryNode.ledger = service.NewLedger(entryNode.simulation.clock, service.DefaultWindow, holder,
		func(ctx context.Context, object string) (service.Shard, int64, error) {
			return platformhttp.LoadShard(ctx, entryNode.store, object)
		},
		func(ctx context.Context, object string, shard service.Shard, condition int64) (int64, error) {
			return platformhttp.CommitShard(ctx, entryNode.store, object, shard, condition)
		}).WithPeers(entryNode.forward, entryNode.neverRuns, func() int { return len(entryNode.members.Live()) + 1 },
		func(wait clock.Millis) clock.Millis { return wait })
}

func (entryNode *entryNode) initServers() {
	simulation := entryNode.simulation
	distance := func(server *backend.Server) float64 {
		if server.DataCentre() == entryNode.dataCentre {
			return 0
		}
		return 1
	}
	entryNode.index = runner.NewIndex(indexSets)
	placer := runner.NewPlacer(simulation.clock, entryNode.fleet, entryNode.index, entryNode.name, distance, func(string) int { return pool.DefaultSlots }, simulation.random)
	services := runner.NewChooser(entryNode.fleet, entryNode.dataCentre, simulation.random)
	entryNode.budget = backend.NewRetryBudget()
	entryNode.driver = entry.NewDriver(simulation.clock,
		func(to *request.Request, exclude []string) (*backend.Server, bool) {
			simulation.passStep(StepChoose, participants{node: entryNode})
			if to.Route().Kind() == route.KindService {
				return services.Choose(to.Route().Pool(), exclude)
			}
			estimate, ok := placer.Place(to, runner.NewPromptChain(to.Prompt()), 0, exclude)
			return estimate.Server(), ok
		},
		func(*request.Request) bool { return entryNode.budget.Take() },
		entryNode.claim, entryNode.record,
		func(ctx context.Context, to *request.Request, attempt request.Attempt) (*runner.Stream, error) {
			return simulation.attempt(ctx, entryNode, to, attempt)
		},
		func(ctx context.Context, server *backend.Server, streamID string) error {
			return simulation.cancel(ctx, entryNode, server, streamID)
		},
		func(ctx context.Context, server *backend.Server, from *request.Request, call service.Call) (service.Answer, request.Cause, error) {
			return simulation.call(ctx, entryNode, server, from, call)
		},
		func(server *backend.Server) { entryNode.recordLeaving(server.ID(), 0) },
		func(_ *request.Request, server *backend.Server, cause request.Cause, _ int) {
			entryNode.ended(server, cause)
		},
		func(*backend.Server) {}, func(*entry.Response) {})
	entryNode.responses = entry.NewResponses(simulation.clock, entryNode.driver.Run)
}

// ended applies the result of an attempt to the server's circuit and to the retry
// budget.
func (entryNode *entryNode) ended(server *backend.Server, cause request.Cause) {
	now := entryNode.simulation.clock.Now()
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

// pollCacheEvents applies the runners' cache events to the prefix index.
func (entryNode *entryNode) pollCacheEvents() {
	for entryNode.wait(cacheInterval) {
		for _, server := range entryNode.fleet.Current().Pool(poolRunners) {
			entryNode.index.Apply(server, entryNode.simulation.host(server.ID()).cacheEvents(server.Cache().Sequence()))
		}
	}
}

func (entryNode *entryNode) ready() bool { return entryNode.connectivity.IsConnected() }

func (entryNode *entryNode) self() node.Member {
	return node.NewMember(entryNode.name, entryNode.name, entryNode.dataCentre, entryNode.incarnation).
		WithState(0, entryNode.active.Current().Version(), entryNode.ready(), entryNode.stopping.Load())
}

// call delivers a call to a peer node and returns the reply.
func (entryNode *entryNode) call(ctx context.Context, address string, call *nodepb.Call) (*nodepb.Reply, error) {
	peer, err := entryNode.reach(ctx, address)
	if err != nil {
		return nil, err
	}
	reply := peer.handleCall(call)
	if err := entryNode.simulation.returnReply(ctx, entryNode, peer); err != nil {
		return nil, err
	}
	return reply, nil
}

// reach returns the node at the address after the one-way latency.
func (entryNode *entryNode) reach(ctx context.Context, address string) (*entryNode, error) {
	if err := entryNode.awaitRunning(ctx); err != nil {
		return nil, err
	}
	entryNode.simulation.passStep(StepSpread, participants{node: entryNode})
	entryNode.simulation.clock.Wait(ctx, linkLatency)
	for _, peer := range entryNode.simulation.peersOf(entryNode) {
		if peer.name == address {
			return peer, entryNode.awaitRunning(ctx)
		}
	}
	return nil, errRefused
}

func (entryNode *entryNode) handleCall(call *nodepb.Call) *nodepb.Reply {
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

// forward sends an operation on claims to the owner of its object. It returns false
// if this node is the owner, and a zero verdict if the owner can't be reached.
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
	ctx, cancel := entryNode.simulation.clock.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	peer, err := entryNode.reach(ctx, owner)
	if err != nil {
		return service.Verdict{}, true
	}
	verdict := peer.ledger.HandleForwarded(ctx, operation)
	if entryNode.simulation.returnReply(ctx, entryNode, peer) != nil {
		return service.Verdict{}, true
	}
	return verdict, true
}

// neverRuns asks the process that holds a claim whether the request can no longer
// run.
func (entryNode *entryNode) neverRuns(ctx context.Context, holder, nonce string) bool {
	for _, peer := range entryNode.simulation.peersOf(entryNode) {
		if peer.ledger.Holder() != holder {
			continue
		}
		reached, err := entryNode.reach(ctx, peer.name)
		return err == nil && reached == peer && peer.ledger.NeverRuns(nonce)
	}
	return false
}

func (entryNode *entryNode) claim(ctx context.Context, to *request.Request) (request.Claim, service.Answer) {
	entryNode.simulation.passStep(StepClaim, participants{node: entryNode})
	return entryNode.ledger.Claim(ctx, to, false)
}

func (entryNode *entryNode) record(ctx context.Context, to *request.Request, answer service.Answer) error {
	entryNode.simulation.passStep(StepRecord, participants{node: entryNode})
	return entryNode.ledger.Record(context.WithoutCancel(ctx), to, answer, false)
}

// endClaim records in the ledger that a call has ended.
func (entryNode *entryNode) endClaim(to *request.Request, err error) {
	if to.NeedsClaim() {
		var notRun *request.NotRunError
		entryNode.ledger.End(to, errors.As(err, &notRun))
	}
}

// start boots the node.
func (entryNode *entryNode) start() {
	loops := []func(){
		func() { entryNode.tables.Run(entryNode.ctx, entryNode.gossip.Join) },
		func() { entryNode.gossip.Run(entryNode.ctx) },
		entryNode.pollHostList, entryNode.followNotices, entryNode.retryClaims, entryNode.pollCacheEvents,
	}
	for _, loop := range loops {
		entryNode.simulation.group.Go(loop)
	}
}

// kill ends the process without warning.
func (entryNode *entryNode) kill() {
	entryNode.terminate()
	entryNode.cancel()
	entryNode.simulation.group.Go(func() { entryNode.responses.Close(errDead) })
}

// wait sleeps until the delay is over or the node dies, and reports whether the node
// is alive.
func (entryNode *entryNode) wait(delay clock.Millis) bool {
	return entryNode.simulation.clock.Wait(entryNode.ctx, delay) == nil && entryNode.awaitRunning(entryNode.ctx) == nil
}

// retryClaims retries the claim writes that the store gave no response to.
func (entryNode *entryNode) retryClaims() {
	for entryNode.wait(claimRetryInterval) {
		entryNode.ledger.RetryBacklog(entryNode.ctx)
	}
}

// pollHostList applies the platform's list of hosts, which may lag, and checks that
// the version of the active tables never falls.
func (entryNode *entryNode) pollHostList() {
	for entryNode.awaitRunning(entryNode.ctx) == nil {
		if listed, ok := entryNode.simulation.hostList(); ok {
			entryNode.fleetMutex.Lock()
			entryNode.fleet.Update(listed)
			entryNode.fleetMutex.Unlock()
		}
		version := entryNode.active.Current().Version()
		if version < entryNode.highestVersion {
			entryNode.simulation.withOracle(func(oracle *oracle) {
				oracle.addViolation("reverted: %s went from version %d to %d", entryNode.name, entryNode.highestVersion, version)
			})
		}
		entryNode.highestVersion = max(entryNode.highestVersion, version)
		entryNode.wait(hostListInterval)
	}
}

// followNotices applies the cloud's notices.
func (entryNode *entryNode) followNotices() {
	for entryNode.awaitRunning(entryNode.ctx) == nil {
		notices, changed := entryNode.simulation.currentNotices()
		for _, notice := range notices[entryNode.handledNotices:] {
			entryNode.recordLeaving(notice.id, notice.remaining)
		}
		entryNode.handledNotices = len(notices)
		select {
		case <-changed:
		case <-entryNode.ctx.Done():
		}
	}
}

// recordLeaving records that a server is leaving, and requests moves of its streams
// as request.PlanMove decides.
func (entryNode *entryNode) recordLeaving(id string, notice clock.Millis) {
	if server := entryNode.fleet.Current().Server(id); server != nil {
		server.MarkLeaving()
	}
	entryNode.fleetMutex.Lock()
	first := entryNode.fleet.MarkLeaving(id)
	entryNode.fleetMutex.Unlock()
	if !first {
		return
	}
	entryNode.gossip.AnnounceLeaving(id, notice)
	if notice == 0 {
		notice = assumedNotice
	}
	for _, response := range entryNode.responses.Active() {
		state := response.Journal().State()
		if server, _ := state.Source(); server == nil || server.ID() != id {
			continue
		}
		prompt := response.Request().Prompt()
		move := request.PlanMove(request.NewStreamState(prompt.Length(), len(state.Tokens()), prompt.MaxTokens(), decodeTime, notice))
		if move != request.MoveStay {
			response.RequestMove(move)
		}
	}
}

// stop stops the node gracefully: it reports not ready, closes admission, hands its
// responses over to peers and ends.
func (entryNode *entryNode) stop() {
	if entryNode.stopping.Swap(true) {
		return
	}
	entryNode.simulation.group.Go(func() {
		entryNode.wait(readyOffDelay)
		entryNode.admission.Close()
		entryNode.wait(handOverDelay)
		for _, response := range entryNode.responses.Active() {
			entryNode.handOver(response)
		}
		for entryNode.admission.InFlight() > 0 && entryNode.wait(decodeTime) {
		}
		entryNode.kill()
	})
}

func (entryNode *entryNode) handOver(response *entry.Response) {
	entryNode.simulation.passStep(StepHandOver, participants{node: entryNode})
	for _, peer := range entryNode.simulation.peersOf(entryNode) {
		if peer.stopping.Load() || entryNode.awaitRunning(entryNode.ctx) != nil {
			continue
		}
		err := response.HandOver(entryNode.ctx, func(state *request.JournalState) error {
			server, streamID := state.Source()
			if server != nil {
				server = peer.fleet.Current().Server(server.ID())
			}
			if err := entryNode.awaitRunning(entryNode.ctx); err != nil {
				return err
			}
			if server == nil {
				streamID = ""
			}
			peer.responses.Adopt(response.Request(), entry.NewResumePoint(state.Tokens(), server, streamID))
			return nil
		})
		if err == nil {
			return
		}
	}
}
