// Package edge assembles the program sapphire-edge: the serving system on the
// users' platform, one process on each host.
//
// The process serves callers, follows the platform's store, and runs the leader
// tasks while it holds their lease. Decisions are made in the packages request,
// placement, backend, caller and directory; the platform's names are in
// platform/. This package connects the two and owns goroutines and listeners.
package edge

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/backend/backendlink"
	"sapphirehead/internal/caller"
	"sapphirehead/internal/caller/callerlink"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/directory"
	"sapphirehead/internal/placement"
	"sapphirehead/internal/quarantine"
	"sapphirehead/internal/release"
	"sapphirehead/internal/settings"
	"sapphirehead/platform/store"
)

// Edge is one node.
type Edge struct {
	clock          *clock.Clock
	log            zerolog.Logger
	settings       atomic.Pointer[settings.Edge]
	directory      *directory.Active
	fleet          *backend.Fleet
	links          *backendlink.Links
	placement      *placement.Placement
	store          *store.Client
	transport      *http.Transport
	storeResponses storeResponses
	wakeUps        wakeUps
	listReads      *listReads
	listService    *listService
	stopping       atomic.Bool
	shutdownPolicy atomic.Pointer[caller.ShutdownPolicy]
	inFlight       atomic.Int64
	bodyMemory     *callerlink.BodyMemory
	forwarding     atomic.Int64
	responseMemory *responseMemory
	counters       *counters
	budgets        *budgets
	quarantine     *quarantine.Quarantine
	releases       *release.Memory
	rollouts       *rollouts
	admissions     *admissions
	// serversUnavailable is set while the list of servers can't be read.
	serversUnavailable atomic.Bool
	meters             *meters
	peers              *peers
	leaderTasks        *leaderTasks
	listeners          listeners
}

type listeners struct {
	caller  net.Listener
	ready   net.Listener
	metrics net.Listener
}

// New returns a node that listens but does not serve yet.
func New(loaded *settings.Edge, clock *clock.Clock, log zerolog.Logger) (*Edge, error) {
	edge := &Edge{
		clock: clock, log: log, directory: directory.NewActive(), fleet: backend.NewFleet(), counters: newCounters(),
		budgets: newBudgets(), quarantine: quarantine.New(clock.Now()), releases: release.NewMemory(clock.Now()), listReads: newListReads(), admissions: newAdmissions(), listService: newListService(),
	}
	edge.publishQuarantines()
	edge.publishAdmissions()
	edge.meters = newMeters(clock.Now(), edge.hasOlderPeer, edge.restartLevel)
	edge.settings.Store(loaded)
	edge.rollouts = newRollouts(loaded, edge.counters)
	edge.responseMemory = newResponseMemory(func() int64 { return int64(responseMemoryShare * float64(edge.settings.Load().MemoryBytes())) })
	edge.bodyMemory = newBodyMemory(edge)
	edge.links = backendlink.New(clock, func() { edge.counters.connections.Add(1) }, edge.doubt).WithLimit(edge.serverConnections)
	edge.placement = placement.New(clock, edge.fleet, loaded.DataCentre(), rand.Float64)
	edge.transport = &http.Transport{
		DialContext: backendlink.Dialer(storeProbes).DialContext, DisableCompression: true,
		MaxIdleConnsPerHost: maxStoreConnections, MaxResponseHeaderBytes: maxHeaderBytes,
	}
	edge.store = store.New(edge.transport, clock,
		func() string { return edge.settings.Load().Platform().Address() },
		func() millis { return edge.settings.Load().Platform().Timeout() })
	edge.leaderTasks = newLeaderTasks(edge, loaded)
	if err := edge.listen(loaded); err != nil {
		return nil, err
	}
	var err error
	if edge.peers, err = newPeers(loaded.Host(), loaded.NodeListen(), clock.Wall()); err != nil {
		return nil, err
	}
	return edge, nil
}

// millis names the type where a parameter shadows the package clock.
type millis = clock.Millis

// storeProbes is the number of keep-alive probes that the store's host may
// leave unanswered: a silent watch is detected within 2 s, before the node
// counts as reconnected.
const storeProbes = 1

// maxStoreConnections is the number of idle connections to the store: two or three
// for watches and one or two for other calls.
const maxStoreConnections = 4

func (edge *Edge) listen(loaded *settings.Edge) error {
	for _, endpoint := range []struct {
		address  string
		listener *net.Listener
	}{
		{address: loaded.CallerListen(), listener: &edge.listeners.caller},
		{address: loaded.ReadyListen(), listener: &edge.listeners.ready},
		{address: loaded.MetricsListen(), listener: &edge.listeners.metrics},
	} {
		listener, err := net.Listen("tcp", endpoint.address)
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		*endpoint.listener = listener
	}
	return nil
}

// Addresses returns the addresses on which the node listens, by purpose.
func (edge *Edge) Addresses() map[string]string {
	return map[string]string{
		"caller":  edge.listeners.caller.Addr().String(),
		"ready":   edge.listeners.ready.Addr().String(),
		"metrics": edge.listeners.metrics.Addr().String(),
	}
}

// Run serves until stop ends and the requests in progress are answered, or
// until kill ends. A value on reload means that the settings file has changed.
func (edge *Edge) Run(stop, kill context.Context, reload <-chan struct{}, load func() (*settings.Edge, error)) error {
	edge.log.Info().Str("callers", edge.listeners.caller.Addr().String()).Msg("started")
	loops, endLoops := context.WithCancel(kill)
	defer endLoops()
	var group errgroup.Group
	for _, loop := range []func(context.Context){
		edge.followConfiguration, edge.followServers, edge.followRollouts, edge.runRollouts, edge.sweep,
		edge.discoverPeers, edge.sendBulletins, edge.applyPeerState, edge.receiveBulletins, edge.runLeaderTasks, edge.updateAdmissions,
		func(ctx context.Context) { edge.followSettings(ctx, reload, load) },
	} {
		group.Go(func() error {
			loop(loops)
			return nil
		})
	}
	ready, serveReady := edge.sideServer("ready", edge.readyHandler(), edge.listeners.ready)
	metrics, serveMetrics := edge.sideServer("metrics", edge.metricsHandler(), edge.listeners.metrics)
	callers := edge.newCallerServer()
	group.Go(serveReady)
	group.Go(serveMetrics)
	group.Go(callers.serve)
	select {
	case <-stop.Done():
		edge.stop(kill, callers)
	case <-kill.Done():
	}
	endLoops()
	edge.sendFinalBulletins()
	if err := edge.peers.socket.Close(); err != nil {
		edge.log.Warn().Err(err).Msg("cannot close the socket for peer nodes")
	}
	edge.endCallers(kill, callers)
	ready.Close()
	metrics.Close()
	err := group.Wait()
	edge.log.Info().Msg("stopped")
	return err
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}
