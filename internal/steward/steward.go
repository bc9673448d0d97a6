// Package steward assembles the fleet control of one entry host. Every entry
// host runs a steward, and leases decide which of them acts, so that no
// dedicated host is needed. The failure of a steward interrupts no request.
//
// There are two kinds of lease. "orders.<pool>.<dataCentre>" permits sending
// orders to the pool's runners in the data centre. "hosts.<pool>" permits
// starting and returning hosts of the pool. A runner receives orders under one
// lease only, so that its fencing tokens come from one object and can be
// compared.
//
// Each lease has a worker, which renews or waits for the lease. While the lease
// is held, rounds of control run in a separate goroutine, so that a runner that
// does not respond delays neither the renewal nor another pool. A steward
// stores no state: after a restart it is read again from the platform, the
// cloud and the runners.
package steward

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/hex"
	"expvar"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/semaphore"

	"sapphirehead/internal/caller/callerlink"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/cloud/cloudhttp"
	"sapphirehead/internal/keys"
	"sapphirehead/internal/operator"
	"sapphirehead/internal/operator/operatorhttp"
	"sapphirehead/internal/platform"
	"sapphirehead/internal/platform/platformhttp"
	"sapphirehead/internal/pool"
	"sapphirehead/internal/runner/runnerhttp"
	"sapphirehead/internal/settings"
	"sapphirehead/internal/table"
	"sapphirehead/internal/weightstore"
	"sapphirehead/internal/weightstore/weightstorehttp"
)

const (
	connectTimeout = 500 * clock.Millisecond
	// refreshPerServer is the minimum time between two refreshes per listed
	// backend server. It bounds their share of processor time.
	refreshPerServer = 2 * clock.Millisecond
	// roundPerRunner is the minimum time between two rounds per runner of the
	// pool.
	roundPerRunner = 50 * clock.Millisecond
	// maxCalls bounds the concurrent calls to runners and the cloud.
	maxCalls = 64
)

// Steward controls the pools whose leases it holds.
type Steward struct {
	settings    *settings.Steward
	clock       *clock.Clock
	log         zerolog.Logger
	random      func() float64
	incarnation string
	counters    *expvar.Map
	platform    *platformhttp.Client
	store       *platform.Store
	entry       *operatorhttp.Client
	cloud       *cloudhttp.Client
	weights     *weightstorehttp.Client
	pacer       *weightstore.Pacer
	runners     *runnerhttp.Client
	calls       *semaphore.Weighted
	active      *table.Active
	view        atomic.Pointer[view]
	listener    net.Listener
	mutex       sync.Mutex
	workers     map[string]*worker
}

// New returns a steward that holds no lease. It listens for operators if an
// address is configured.
func New(settings *settings.Steward, clock *clock.Clock, log zerolog.Logger) (*Steward, error) {
	client := platformhttp.New(settings.Platform().Address(), clock, settings.Platform().Timeout())
	steward := &Steward{
		settings:    settings,
		clock:       clock,
		log:         log,
		random:      mathrand.Float64,
		incarnation: newIncarnation(settings.Host()),
		counters:    new(expvar.Map).Init(),
		platform:    client,
		store:       client.Store(),
		cloud:       cloudhttp.New(settings.Cloud().Address(), clock, settings.Cloud().Timeout()),
		weights:     weightstorehttp.New(settings.WeightStore().Address(), clock, settings.WeightStore().Timeout()),
		pacer:       weightstore.NewPacer(clock, mathrand.Float64),
		runners:     runnerhttp.New(clock, connectTimeout),
		calls:       semaphore.NewWeighted(maxCalls),
		active:      table.NewActive(),
		workers:     map[string]*worker{},
	}
	steward.view.Store(&view{})
	if settings.Entry().Address() != "" {
		certificates, err := entryCertificates(settings.EntryTLS())
		if err != nil {
			return nil, err
		}
		steward.entry = operatorhttp.NewClient(settings.Entry().Address(), settings.EntryToken(), certificates, clock, settings.Entry().Timeout())
	}
	if settings.OperatorListen() == "" {
		return steward, nil
	}
	var err error
	steward.listener, err = net.Listen("tcp", settings.OperatorListen())
	return steward, errors.Wrap(err, "listen")
}

// entryCertificates returns the TLS configuration for the entry host, or nil
// for plain HTTP. The files are read once.
func entryCertificates(files *settings.TLS) (*tls.Config, error) {
	if files == nil {
		return nil, nil
	}
	return keys.ClientConfig(os.ReadFile, keys.NewFiles(files.CertFile(), files.KeyFile(), files.CAFile()))
}

func newIncarnation(host string) string {
	var bytes [8]byte
	rand.Read(bytes[:])
	return host + "." + hex.EncodeToString(bytes[:])
}

// Counters returns the steward's metrics.
func (steward *Steward) Counters() *expvar.Map { return steward.counters }

// OperatorAddress returns the listen address for operators, or "" if there is
// none.
func (steward *Steward) OperatorAddress() string {
	if steward.listener == nil {
		return ""
	}
	return steward.listener.Addr().String()
}

// Run controls the fleet until stop is done. Then it completes the orders in
// progress and releases its leases within the configured stop grace. When kill
// is done, Run returns at once.
func (steward *Steward) Run(stop, kill context.Context) error {
	ended, end := context.WithCancel(kill)
	defer end()
	operators := callerlink.NewOperatorServer(operatorhttp.StewardRouter(steward.operatorToken, steward.Leases, steward.refuse))
	guard := steward.newGuard()
	group := &errgroup.Group{}
	if steward.listener != nil {
		group.Go(func() error {
			if err := guard.Serve(operators, guard.Listener(steward.listener)); !errors.Is(err, http.ErrServerClosed) {
				return err
			}
			return nil
		})
	}
	var workers sync.WaitGroup
	group.Go(func() error {
		steward.superviseWorkers(stop, ended, &workers)
		return nil
	})
	group.Go(func() error {
		steward.watchNotices(stop)
		return nil
	})
	group.Go(func() error {
		select {
		case <-stop.Done():
		case <-ended.Done():
		}
		steward.finish(ended, &workers)
		end()
		operators.Close()
		return nil
	})
	return group.Wait()
}

// sideMemoryShare is the share of the process's memory for heads at the operators' address.
const sideMemoryShare = 0.01

// newGuard returns the guard of the operators' listener.
func (steward *Steward) newGuard() *callerlink.Guard {
	uncontrolled := new(expvar.Map).Init()
	steward.counters.Set("uncontrolledClients", uncontrolled)
	limits := steward.settings.Limits()
	return callerlink.NewGuard(steward.clock, func() callerlink.Limits {
		return callerlink.NewLimits(limits.SideConnections(), int64(sideMemoryShare*float64(limits.MemoryBytes())), callerlink.OperatorTimeout)
	}, callerlink.NewTally(steward.clock, steward.log, "operator", uncontrolled).Record)
}

// finish waits up to the stop grace for the workers, whose contexts have ended.
func (steward *Steward) finish(ctx context.Context, workers *sync.WaitGroup) {
	done := make(chan struct{})
	go func() {
		workers.Wait()
		close(done)
	}()
	late := make(chan struct{})
	cancel := steward.clock.AfterFunc(steward.settings.StopGrace(), func() { close(late) })
	defer cancel()
	select {
	case <-done:
		steward.log.Info().Msg("stopped: released all leases")
	case <-late:
		steward.log.Warn().Msg("stopped: leases not released in time")
	case <-ctx.Done():
	}
}

// superviseWorkers refreshes the view and runs a worker for each lease that the
// tables and the backend servers require.
func (steward *Steward) superviseWorkers(stop, ended context.Context, group *sync.WaitGroup) {
	for stop.Err() == nil {
		if err := steward.refresh(stop); err != nil && stop.Err() == nil {
			steward.counters.Add("refreshesFailed", 1)
			steward.log.Warn().Err(err).Msg("cannot read tables or backend servers")
		}
		for _, missing := range steward.missingWorkers() {
			missing.ctx, missing.cancel = context.WithCancel(stop)
			group.Go(func() { missing.run(ended) })
		}
		listed := clock.Millis(len(steward.view.Load().servers))
		steward.clock.Wait(stop, steward.jittered(max(steward.settings.Round(), listed*refreshPerServer)))
	}
}

// missingWorkers returns a new worker for each lease that has none, and stops
// the workers whose pool was removed.
func (steward *Steward) missingWorkers() []*worker {
	steward.mutex.Lock()
	defer steward.mutex.Unlock()
	required := map[string]bool{}
	var missing []*worker
	require := func(name string, create func() *worker) {
		required[name] = true
		if steward.workers[name] == nil {
			steward.workers[name] = create()
			missing = append(missing, steward.workers[name])
		}
	}
	for _, poolConfig := range steward.active.Current().Pools() {
		if poolConfig.Kind() != pool.KindRunner {
			continue
		}
		if poolConfig.HostClass() != "" {
			require(platform.HostsLease(poolConfig.Name()), func() *worker { return steward.newHostsWorker(poolConfig.Name()) })
		}
		for _, dataCentre := range steward.view.Load().dataCentres(poolConfig.Name()) {
			require(platform.OrdersLease(poolConfig.Name(), dataCentre), func() *worker { return steward.newOrdersWorker(poolConfig.Name(), dataCentre) })
		}
	}
	for name, worker := range steward.workers {
		if _, configured := steward.active.Current().Pool(worker.pool); !required[name] && !configured {
			worker.cancel()
			delete(steward.workers, name)
		}
	}
	return missing
}

func (steward *Steward) allWorkers() []*worker {
	steward.mutex.Lock()
	defer steward.mutex.Unlock()
	workers := make([]*worker, 0, len(steward.workers))
	for _, worker := range steward.workers {
		workers = append(workers, worker)
	}
	return workers
}

// Leases returns the status of each lease that has a worker.
func (steward *Steward) Leases() []operator.LeaseStatus {
	var leases []operator.LeaseStatus
	for _, worker := range steward.allWorkers() {
		leases = append(leases, worker.status())
	}
	return leases
}

// operatorToken returns the rights of a token, or false if it is unknown.
func (steward *Steward) operatorToken(given string) (operator.Token, bool) {
	token, ok := settings.FindToken(steward.settings.OperatorTokens(), given)
	return operator.NewToken(token.Name(), token.MayWrite()), ok
}

func (steward *Steward) refuse(remote, name, reason string) {
	steward.counters.Add("operatorsRefused", 1)
	steward.log.Warn().Str("remote", remote).Str("operator", name).Str("reason", reason).Msg("operator refused")
}

// jittered returns the time reduced by a random share of up to a tenth, so that
// stewards do not act simultaneously.
func (steward *Steward) jittered(millis clock.Millis) clock.Millis {
	return millis - clock.Millis(float64(millis)*0.1*steward.random())
}

// forEach runs the call for every index below count, concurrently within the
// steward's limit of maxCalls.
func (steward *Steward) forEach(ctx context.Context, count int, call func(ctx context.Context, i int)) {
	group := &errgroup.Group{}
	for i := range count {
		if steward.calls.Acquire(ctx, 1) != nil {
			break
		}
		group.Go(func() error {
			defer steward.calls.Release(1)
			call(ctx, i)
			return nil
		})
	}
	group.Wait()
}
