package chaos

import (
	"context"
	_ "embed"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/pkg/errors"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/operator/operatorhttp"
	"sapphirehead/internal/standin/harness"
	"sapphirehead/internal/standin/platformstandin"
	"sapphirehead/internal/standin/relay"
)

//go:embed tables.toml
var tablesFile string

const (
	// startTimeout bounds the time until a part of the system is ready.
	startTimeout = 30 * clock.Second
	pollInterval = 50 * clock.Millisecond
	callTimeout  = 3 * clock.Second
	entryGrace   = 1200 * clock.Millisecond
)

// model is the model of the callers' requests.
const model = harness.Model

// dataCentres are the data centres of the entry hosts, runners and services.
var dataCentres = []string{"lj-a", "lj-b", "lj-c"}

// entryHost is one entry host through the restarts of its processes.
type entryHost struct {
	name       string
	dataCentre string
	process    atomic.Pointer[entryProcess]
	steward    atomic.Pointer[harness.Process]
	relay      *relay.Relay
}

// entryProcess is one process of sapphire-entry.
type entryProcess struct {
	process *harness.Process
	ready   atomic.Bool
	paused  atomic.Bool
	// stopping is set before SIGTERM is sent to the entry host.
	stopping atomic.Bool
	killed   atomic.Bool
}

func (entryProcess *entryProcess) address() string { return entryProcess.process.Address("caller") }

// hostRelay is the relay to a runner or a service.
type hostRelay struct {
	relay   *relay.Relay
	service bool
}

// system is the set of processes under test.
type system struct {
	harness  *harness.Harness
	clock    *clock.Clock
	platform *harness.Process
	cloud    *harness.Process
	weights  *harness.Process
	entries  []*entryHost
	mutex    sync.Mutex
	runners  map[string]*harness.Process
	services []*harness.Process
	relays   []hostRelay
	starts   int
}

func newSystem(bin, folder string) *system {
	return &system{harness: harness.New(bin, folder, clock.System()), clock: clock.System(), runners: map[string]*harness.Process{}}
}

// close closes every relay, kills every process, and returns the names of the
// processes that are still running.
func (system *system) close() []string {
	for _, hostRelay := range system.relays {
		hostRelay.relay.Close()
	}
	for _, entry := range system.entries {
		if entry.relay != nil {
			entry.relay.Close()
		}
	}
	system.harness.Close()
	return system.harness.Running()
}

func (system *system) start(ctx context.Context) error {
	var err error
	if system.platform, err = system.harness.Start("platform", "sapphire-standin", "platform"); err != nil {
		return err
	}
	if system.weights, err = system.harness.Start("weightstore", "sapphire-standin", "weightstore", "--loads-per-second=50"); err != nil {
		return err
	}
	arguments := []string{"cloud", system.platformFlag(), "--decode-millis=4"}
	for _, dataCentre := range dataCentres {
		arguments = append(arguments, "--data-centre="+dataCentre)
	}
	if system.cloud, err = system.harness.Start("cloud", "sapphire-standin", arguments...); err != nil {
		return err
	}
	for i := range 2 * len(dataCentres) {
		if err := system.startRunner(ctx, dataCentres[i%len(dataCentres)]); err != nil {
			return err
		}
	}
	for _, dataCentre := range dataCentres {
		if err := system.startService(ctx, dataCentre); err != nil {
			return err
		}
	}
	for i, dataCentre := range dataCentres {
		entry := &entryHost{name: fmt.Sprintf("entry-%d", i), dataCentre: dataCentre}
		system.entries = append(system.entries, entry)
		if err := system.startEntry(entry); err != nil {
			return err
		}
		if err := system.startSteward(entry); err != nil {
			return err
		}
	}
	return system.writeTables(ctx)
}

func (system *system) platformFlag() string { return "--platform=" + system.platform.Address("api") }

// startRunner starts a runner behind a relay.
func (system *system) startRunner(ctx context.Context, dataCentre string) error {
	id := system.serial("runner")
	process, err := system.harness.Start(id, "sapphire-standin", "runner", system.platformFlag(), "--id="+id, "--data-centre="+dataCentre, "--model="+model, "--decode-millis=4")
	if err != nil {
		return err
	}
	system.mutex.Lock()
	system.runners[id] = process
	system.mutex.Unlock()
	return system.relayHost(ctx, process, platformstandin.Host{ID: id, DataCentre: dataCentre, HostClass: "gpu-small", Pool: "runners", State: "live"})
}

func (system *system) startService(ctx context.Context, dataCentre string) error {
	id := system.serial("booking")
	process, err := system.harness.Start(id, "sapphire-standin", "service", system.platformFlag(), "--id="+id, "--data-centre="+dataCentre, "--pool=booking", "--work-millis=60")
	if err != nil {
		return err
	}
	system.services = append(system.services, process)
	return system.relayHost(ctx, process, platformstandin.Host{ID: id, DataCentre: dataCentre, HostClass: "plain", Pool: "booking", State: "live"})
}

func (system *system) serial(prefix string) string {
	system.mutex.Lock()
	defer system.mutex.Unlock()
	system.starts++
	return fmt.Sprintf("%s-%02d", prefix, system.starts)
}

// relayHost starts a relay to the host's process and registers the host under the
// relay's address.
func (system *system) relayHost(ctx context.Context, process *harness.Process, host platformstandin.Host) error {
	proxy, err := relay.New(system.clock, process.Address("api"))
	if err != nil {
		return err
	}
	system.mutex.Lock()
	system.relays = append(system.relays, hostRelay{relay: proxy, service: host.Pool == "booking"})
	system.mutex.Unlock()
	host.Address = proxy.Address()
	return platformstandin.Register(ctx, system.platform.Address("api"), host)
}

// startEntry starts sapphire-entry on the host. It reaches its peers through their
// relays.
func (system *system) startEntry(entry *entryHost) error {
	var peers []string
	for _, peer := range system.entries {
		if peer != entry && peer.relay != nil {
			peers = append(peers, peer.relay.Address())
		}
	}
	content := harness.EntrySettings(entry.name, entry.dataCentre, system.platform.Address("api"), system.cloud.Address("api"), peers, entryGrace)
	file, err := system.harness.WriteFile(entry.name+".toml", content)
	if err != nil {
		return err
	}
	process, err := system.harness.Start(system.serial(entry.name), "sapphire-entry", "--settings="+file)
	if err != nil {
		return err
	}
	proxy, err := relay.New(system.clock, process.Address("node"))
	if err != nil {
		return err
	}
	if entry.relay != nil {
		entry.relay.Close()
	}
	entry.relay = proxy
	entry.process.Store(&entryProcess{process: process})
	return nil
}

func (system *system) startSteward(entry *entryHost) error {
	content := harness.StewardSettings(entry.name, entry.dataCentre, system.platform.Address("api"), system.cloud.Address("api"), system.weights.Address("api"), "")
	file, err := system.harness.WriteFile(entry.name+"-steward.toml", content)
	if err != nil {
		return err
	}
	process, err := system.harness.Start(system.serial("steward-"+entry.name), "sapphire-steward", "--settings="+file)
	if err == nil {
		entry.steward.Store(process)
	}
	return err
}

// writeTables applies the tables with sapphirectl and waits until every entry
// host is ready.
func (system *system) writeTables(ctx context.Context) error {
	if err := system.harness.Apply(system.entries[0].process.Load().process, tablesFile); err != nil {
		return err
	}
	for _, entry := range system.entries {
		if err := system.awaitReady(ctx, entry); err != nil {
			return err
		}
	}
	return nil
}

// awaitReady waits until the entry host is ready. Callers may use it from then on.
func (system *system) awaitReady(ctx context.Context, entry *entryHost) error {
	started := entry.process.Load()
	return system.await(ctx, entry.name+" is not ready", func(ctx context.Context) bool {
		started.ready.Store(system.readyAt(ctx, started.address()))
		return started.ready.Load()
	})
}

// await polls the condition until it holds.
func (system *system) await(ctx context.Context, failure string, holds func(ctx context.Context) bool) error {
	ctx, cancel := system.clock.WithTimeout(ctx, startTimeout)
	defer cancel()
	for !holds(ctx) {
		if system.clock.Wait(ctx, pollInterval) != nil {
			return errors.New(failure)
		}
	}
	return nil
}

func (system *system) operator(entry *entryHost) *operatorhttp.Client {
	return operatorhttp.NewClient(entry.process.Load().process.Address("operator"), harness.OperatorToken, nil, system.clock, callTimeout)
}

// kill ends the process with SIGKILL.
func (entryProcess *entryProcess) kill() {
	entryProcess.killed.Store(true)
	entryProcess.ready.Store(false)
	entryProcess.process.Kill()
}

// pause pauses the process with SIGSTOP. The balancer keeps sending it requests.
func (entryProcess *entryProcess) pause() error {
	entryProcess.paused.Store(true)
	return entryProcess.process.Signal(syscall.SIGSTOP)
}

func (entryProcess *entryProcess) resume() error {
	entryProcess.paused.Store(false)
	return entryProcess.process.Signal(syscall.SIGCONT)
}
