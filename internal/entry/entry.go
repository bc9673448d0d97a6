// Package entry assembles one entry host: it connects the decisions of the peer
// packages to the connections that carry them, and owns the goroutines.
//
// Readers never block on writers. The request path reads the active tables, the
// backend servers and the peer nodes from immutable snapshots. Three loops
// write them: one for tables (TablesFollower), one for servers (list of hosts,
// reclaim notices and evidence from requests) and one for peer nodes (Gossip).
package entry

import (
	"context"
	"crypto/rand"
	"expvar"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/burn"
	"sapphirehead/internal/caller"
	"sapphirehead/internal/caller/callerhttp"
	"sapphirehead/internal/caller/callerlink"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/cloud/cloudhttp"
	"sapphirehead/internal/logging"
	"sapphirehead/internal/node"
	"sapphirehead/internal/node/nodelink"
	"sapphirehead/internal/operator"
	"sapphirehead/internal/platform"
	"sapphirehead/internal/platform/platformhttp"
	"sapphirehead/internal/quarantine"
	"sapphirehead/internal/request"
	"sapphirehead/internal/response"
	"sapphirehead/internal/runner"
	"sapphirehead/internal/runner/runnerhttp"
	"sapphirehead/internal/service"
	"sapphirehead/internal/service/servicehttp"
	"sapphirehead/internal/settings"
	"sapphirehead/internal/table"
)

// connectTimeout bounds the opening of a connection to a backend server.
const connectTimeout = 500 * clock.Millisecond

// Entry is one entry host.
type Entry struct {
	settings      *settings.Entry
	clock         *clock.Clock
	log           zerolog.Logger
	counters      *expvar.Map
	incarnation   int64
	stopping      atomic.Bool
	active        *table.Active
	fleet         *backend.Fleet
	evidence      *backend.Evidence
	hints         *node.Hints
	sourceChanges chan *Response
	reclaimed     chan clock.Millis
	members       *node.Members
	connectivity  *node.Connectivity
	gossip        *Gossip
	tables        *TablesFollower
	accounts      *caller.Accounts
	admission     *caller.Admission
	quarantine    *quarantine.Quarantine
	dispatcher    *dispatcher
	runners       *runnerhttp.Client
	platform      *platformhttp.Client
	store         *platform.Store
	cloud         *cloudhttp.Client
	ledger        *service.Ledger
	recording     sync.WaitGroup
	links         *nodelink.Links
	driver        *Driver
	meter         *burn.Meter
	replays       sync.Map
	history       *operator.History
	listenerKeys  listenerKeys
	untrustedAt   atomic.Int64
	stopRequested context.Context
	requestStop   context.CancelFunc
	responses     *Responses
	listeners     listeners
	guards        guards
	bodies        *callerlink.BodyMemory
	// hostsRequested is set once the list of hosts was requested for the first time,
	// and surveyed once the listed runners were asked for their states.
	hostsRequested atomic.Bool
	surveyed       atomic.Bool
}

type listeners struct {
	caller   net.Listener
	operator net.Listener
	node     net.Listener
}

// New returns an entry host that listens but does not yet serve.
func New(settings *settings.Entry, clock *clock.Clock, log zerolog.Logger) (*Entry, error) {
	entry := &Entry{
		settings:      settings,
		clock:         clock,
		log:           log,
		counters:      new(expvar.Map).Init(),
		incarnation:   int64(clock.Wall()),
		active:        table.NewActive(),
		fleet:         backend.NewFleet(),
		evidence:      backend.NewEvidence(),
		hints:         node.NewHints(clock),
		sourceChanges: make(chan *Response, maxQueuedHints),
		reclaimed:     newReclaimed(),
		accounts:      accountsOf(settings),
		admission:     caller.NewAdmission(settings.MaxInFlight()),
		quarantine:    quarantine.New(clock.Now()),
		platform:      platformhttp.New(settings.Platform().Address(), clock, settings.Platform().Timeout()),
	}
	entry.store = entry.platform.Store()
	if settings.Cloud().Address() != "" {
		entry.cloud = cloudhttp.New(settings.Cloud().Address(), clock, settings.Cloud().Timeout())
	}
	entry.ledger = entry.newLedger()
	entry.history = operator.NewHistory(entry.loadHistory, entry.commitHistory)
	entry.meter = burn.New(clock, settings.Objective(), burn.DefaultSeries)
	entry.stopRequested, entry.requestStop = context.WithCancel(context.Background())
	if err := entry.loadKeys(); err != nil {
		return nil, err
	}
	entry.newGuards()
	entry.connectPeers()
	entry.runners = runnerhttp.New(entry.clock, connectTimeout)
	entry.dispatcher = newDispatcher(entry)
	entry.driver = entry.newDriver()
	entry.responses = NewResponses(clock, entry.generateResponse)
	entry.publishGauges()
	return entry, entry.listen()
}

func (entry *Entry) newDriver() *Driver {
	runners := entry.runners
	services := servicehttp.New(connectTimeout)
	open := func(ctx context.Context, req *request.Request, attempt request.Attempt) (*runner.Stream, error) {
		stream, err := runners.Open(ctx, req, attempt)
		entry.logBroken(req, attempt.Server(), err)
		return stream, err
	}
	call := func(ctx context.Context, server *backend.Server, req *request.Request, call service.Call) (service.Answer, request.Cause, error) {
		answer, cause, err := services.Call(ctx, server, req, call)
		entry.logBroken(req, server, err)
		return answer, cause, err
	}
	return NewDriver(entry.clock, entry.dispatcher.choose, entry.dispatcher.retry, entry.trackedClaim, entry.record,
		open, runners.Cancel, call, entry.recordLeaving, entry.countAttempt,
		runners.CloseIdle, entry.handleSourceChange)
}

func (entry *Entry) listen() error {
	var err error
	open := func(address string) net.Listener {
		if err != nil {
			return nil
		}
		var listener net.Listener
		listener, err = net.Listen("tcp", address)
		return listener
	}
	entry.listeners.caller = secureListener(entry.listenerKeys.caller, guarded(entry.guards.caller, open(entry.settings.CallerListen())))
	entry.listeners.operator = secureListener(entry.listenerKeys.operator, guarded(entry.guards.operator, open(entry.settings.OperatorListen())))
	entry.listeners.node = secureListener(entry.listenerKeys.node, open(entry.settings.NodeListen()))
	return errors.Wrap(err, "listen")
}

// Counters returns the node's metrics.
func (entry *Entry) Counters() *expvar.Map { return entry.counters }

// CallerAddress returns the listen address for callers.
func (entry *Entry) CallerAddress() string { return entry.listeners.caller.Addr().String() }

// OperatorAddress returns the listen address for operators.
func (entry *Entry) OperatorAddress() string { return entry.listeners.operator.Addr().String() }

// NodeAddress returns the listen address for peer nodes.
func (entry *Entry) NodeAddress() string { return entry.listeners.node.Addr().String() }

// Run serves until stop is done, then shuts down gracefully: readiness goes off
// first, then new requests are refused and those in progress finish. When kill
// is done, Run returns at once.
func (entry *Entry) Run(stop, kill context.Context) error {
	loops, cancel := context.WithCancel(kill)
	defer cancel()
	group, loops := errgroup.WithContext(loops)
	callers, operators := entry.newCallerServer(), entry.newOperatorServer()
	group.Go(func() error { return ignoreClosed(entry.guards.caller.Serve(callers, entry.listeners.caller)) })
	group.Go(func() error { return ignoreClosed(entry.guards.operator.Serve(operators, entry.listeners.operator)) })
	group.Go(func() error { return ignoreClosed(entry.links.Serve(entry.listeners.node)) })
	for _, loop := range []func(context.Context){entry.followTables, entry.updateServers, entry.surveyRunners, entry.watchNotices, entry.gossip.Run, entry.sendHints, entry.retryClaims, entry.updateAdmission, entry.pollCaches, entry.watchKeys} {
		group.Go(func() error {
			loop(loops)
			return nil
		})
	}
	group.Go(func() error {
		entry.drain(kill, callers, entry.waitForStop(stop, loops))
		entry.retryRemainingClaims(kill)
		cancel()
		operators.Close()
		entry.responses.Close(request.NewMovedError(""))
		entry.links.Close()
		entry.listeners.node.Close()
		return nil
	})
	return group.Wait()
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

func (entry *Entry) callerHandler() http.Handler {
	handler := callerhttp.New(entry.clock, entry.active.Current, func() *caller.Accounts { return entry.accounts },
		entry.trackedAdmit, entry.isReady, entry.newID, entry.trackedChat, entry.trackedCall, entry.trackedFind)
	return handler.WithBodies(entry.bodies).Router()
}

func (entry *Entry) isReady() bool {
	return entry.connectivity.IsConnected() && entry.surveyed.Load() && !entry.stopping.Load()
}

// newID returns a new request ID.
func (entry *Entry) newID() string {
	var random [12]byte
	rand.Read(random[:])
	return request.NewID(entry.tag(), random)
}

// logBroken logs why the response of the server is none, if that is the error.
func (entry *Entry) logBroken(req *request.Request, server *backend.Server, err error) {
	if response.IsBroken(err) {
		entry.log.Warn().Str(logging.FieldRequestID, req.ID()).Str(logging.FieldServer, server.ID()).Err(err).Msg("response is broken")
	}
}

func (entry *Entry) countAttempt(req *request.Request, server *backend.Server, cause request.Cause, tokens int) {
	entry.dispatcher.recordAttempt(req, server, cause)
	entry.recordEvidence(req, server, cause, tokens)
	if cause == 0 {
		server.Succeeded()
		entry.counters.Add("attemptsSucceeded", 1)
		return
	}
	server.Failed()
	entry.counters.Add("attemptsBroken", 1)
	entry.log.Warn().Str(logging.FieldRequestID, req.ID()).Str(logging.FieldServer, server.ID()).Str("cause", cause.String()).Msg("attempt failed")
}
