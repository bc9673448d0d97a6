package soak

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/pkg/errors"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/standin/dutystandin"
	"sapphirehead/internal/standin/enginestandin"
	"sapphirehead/internal/standin/harness"
	"sapphirehead/internal/standin/relay"
	"sapphirehead/internal/standin/storestandin"
)

const (
	nodeCount   = 3
	engineCount = 3
	// eventWorkTime is the time that a model runner takes for an event, and workTime the
	// time of an application server for a response.
	eventWorkTime = 8 * clock.Millisecond
	workTime      = 50 * clock.Millisecond
)

const configuration = `{"version":%d,"routes":[
	{"name":"chat","host":"desk.example","pathPrefix":"/chat/","kind":"streaming","timeoutMs":4000,"targetLatencyMs":2000,"service":"engines","maxAttempts":1},
	{"name":"resume","host":"desk.example","pathPrefix":"/resume/","kind":"streaming","timeoutMs":4000,"targetLatencyMs":2000,"service":"engines","maxAttempts":2,"resumable":true},
	{"name":"book","host":"desk.example","pathPrefix":"/book/","kind":"non_idempotent","timeoutMs":2000,"targetLatencyMs":300,"service":"app","maxAttempts":2},
	{"name":"look","host":"desk.example","pathPrefix":"/look/","kind":"idempotent","timeoutMs":2000,"targetLatencyMs":300,"service":"app","maxAttempts":2}],
	"services":[{"name":"engines","engine":{"batchSlots":16,"kvCapacity":100000}},{"name":"app"}],
	"limits":{"maxBodyBytes":65536},
	"tenants":[{"name":"garage","apiKeys":["key-of-garage"],"unit":"tokens","plainTokens":1,"ratePerS":100000,"burst":100000}]}`

const nodeSettings = `
host = %q
dataCentre = "lj-a"
[caller]
listen = "127.0.0.1:0"
readyListen = "127.0.0.1:0"
[node]
listen = "127.0.0.1:0"
[metrics]
listen = "127.0.0.1:0"
[platform]
address = %q
[cloud]
address = %q
[bounds]
graceSeconds = 8
usageWindowSeconds = 1
leaseMillis = 1500
`

// system is the set of processes and stand-ins of one run.
type system struct {
	clock   *clock.Clock
	harness *harness.Harness
	store   *storestandin.Store
	duty    *dutystandin.API
	tally   *Tally
	nodes   []*edgeNode
	engines []*engine
	version atomic.Int64
	// started guards servers and relays, as engines are replaced concurrently.
	started  sync.Mutex
	servers  []*http.Server
	relays   []*relay.Relay
	bookings sync.Map // Id of a booking to its outcome.
	// cut holds the processes that ended bookings without an answer, by the booking's id,
	// and disturbed those that were killed or paused.
	cut       sync.Map
	disturbed sync.Map
	audit     sync.WaitGroup
	// fatal is set while callers send the fatal part, and fatalLooks while they send the
	// fatal request; crashes and lookCrashes count the servers that each has crashed.
	fatal       atomic.Bool
	fatalLooks  atomic.Bool
	crashes     atomic.Int64
	lookCrashes atomic.Int64
	ended       chan struct{}
}

// edgeNode is one edge node through the restarts of its process.
type edgeNode struct {
	name     string
	file     string
	endpoint *storestandin.Endpoint
	relay    *relay.Relay
	mutex    sync.Mutex
	process  atomic.Pointer[harness.Process]
}

// engine is a backend server behind a relay. A leaving one is replaced by a new one
// with the same id prefix.
type engine struct {
	pool     string
	streams  bool
	mutex    sync.Mutex
	idPrefix string
	// number tells apart the engines of a pool.
	number   int
	id       string
	standin  *enginestandin.Engine
	relay    *relay.Relay
	starts   int
	standins []*enginestandin.Engine
}

// versions are the software versions of the engines, each of which writes its name into
// the events of its streams.
var versions = []string{"v1", "v2"}

// version returns the software version of the engine's current process. Successors are of
// the other one.
func (engine *engine) version() string {
	return versions[(engine.number+engine.starts)%len(versions)]
}

func newSystem(bin, folder string) (*system, error) {
	system := &system{
		clock: clock.System(), store: storestandin.New(), duty: dutystandin.New(), tally: newTally(), ended: make(chan struct{}),
	}
	system.harness = harness.New(bin, folder, system.clock)
	system.configure()
	for i := range engineCount {
		system.engines = append(system.engines,
			&engine{pool: "engines", streams: true, idPrefix: fmt.Sprint("chat-", i), number: i}, &engine{pool: "app", idPrefix: fmt.Sprint("app-", i), number: i})
	}
	for _, engine := range system.engines {
		if err := system.startEngine(engine); err != nil {
			return nil, err
		}
	}
	cloud, err := system.serve(system.duty)
	if err != nil {
		return nil, err
	}
	for i := range nodeCount {
		node := &edgeNode{name: fmt.Sprint("edge-", i+1), endpoint: system.store.NewEndpoint()}
		if node.relay, err = system.serveBehind(node.endpoint); err != nil {
			return nil, err
		}
		settings := fmt.Sprintf(nodeSettings, node.name, node.relay.Address(), cloud)
		if node.file, err = system.harness.WriteFile(node.name+".toml", settings); err != nil {
			return nil, err
		}
		system.nodes = append(system.nodes, node)
	}
	system.audit.Go(system.auditLeaderTasks)
	return system, nil
}

// configure writes the next version of the configuration.
func (system *system) configure() {
	system.store.Set("config", "main", fmt.Sprintf(configuration, system.version.Add(1)))
}

// serve serves a stand-in on loopback and returns its address.
func (system *system) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen for a stand-in")
	}
	server := &http.Server{Handler: handler}
	system.started.Lock()
	system.servers = append(system.servers, server)
	system.started.Unlock()
	// The server is closed with the system.
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

func (system *system) serveBehind(handler http.Handler) (*relay.Relay, error) {
	address, err := system.serve(handler)
	if err != nil {
		return nil, err
	}
	relay, err := relay.New(system.clock, address)
	if err == nil {
		system.started.Lock()
		system.relays = append(system.relays, relay)
		system.started.Unlock()
	}
	return relay, err
}

// startEngine starts a backend server with a new id and writes its object to the
// store.
func (system *system) startEngine(engine *engine) error {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.starts++
	engine.id = fmt.Sprintf("%s.%d", engine.idPrefix, engine.starts)
	engine.standin = enginestandin.New(engine.id, engine.streams)
	engine.standin.SetWorkTime(workTime)
	if engine.streams {
		engine.standin.SetWorkTime(eventWorkTime)
	}
	engine.standin.SetWord(engine.version())
	arrived := engine.standin.Arrived()
	go func() {
		for {
			select {
			case <-arrived:
			case <-system.ended:
				return
			}
		}
	}()
	engine.standins = append(engine.standins, engine.standin)
	var err error
	if engine.relay, err = system.serveBehind(engine.standin); err != nil {
		return err
	}
	system.crashOnFatal(engine)
	system.publishServer(engine, "ready")
	return nil
}

func (system *system) publishServer(engine *engine, state string) {
	system.store.Set("servers", engine.id, fmt.Sprintf(
		`{"service":%q,"address":%q,"zone":"lj-a","version":%q,"batchSlots":6,"state":%q,"coldRemainingMs":0,"sequence":1}`,
		engine.pool, engine.relay.Address(), engine.version(), state))
}

func (system *system) startNodes() error {
	for _, node := range system.nodes {
		if err := system.startNode(node); err != nil {
			return err
		}
	}
	return nil
}

// startNode starts a node's process.
func (system *system) startNode(node *edgeNode) error {
	process, err := system.harness.Start(node.name, "sapphire-edge", "run", "--settings", node.file)
	if err != nil {
		return err
	}
	node.process.Store(process)
	return nil
}

// restart ends a node's process with the signal and starts it again.
func (system *system) restart(node *edgeNode, signal syscall.Signal) {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	process := node.process.Load()
	if signal == syscall.SIGKILL {
		system.disturbed.Store(process, true)
	}
	if err := process.Signal(signal); err != nil {
		system.tally.addViolation("%s ended by itself: %v", node.name, err)
	}
	// A killed process always returns an error.
	_ = process.Wait()
	if err := system.startNode(node); err != nil {
		system.tally.addViolation("%s does not start: %v", node.name, err)
	}
}

// auditLeaderTasks checks that each fencing token belongs to one lease holder, and
// that no window is reported twice with different counts.
func (system *system) auditLeaderTasks() {
	holders := map[int64]string{}
	for {
		select {
		case <-system.ended:
			if conflicts := system.duty.Conflicts(); conflicts > 0 {
				system.tally.addViolation("%d windows were reported twice with different counts", conflicts)
			}
			return
		case call := <-system.duty.Accepted():
			system.tally.count("duties")
			if earlier, ok := holders[call.Fence()]; ok && earlier != call.Holder() {
				system.tally.addViolation("fencing token %d was used by %s and %s", call.Fence(), earlier, call.Holder())
			}
			holders[call.Fence()] = call.Holder()
		}
	}
}

// checkRuns compares the requests that backend servers executed with the outcomes
// that callers received.
func (system *system) checkRuns() {
	close(system.ended)
	system.audit.Wait()
	runs := map[string]int{}
	for _, engine := range system.engines {
		for _, standin := range engine.standins {
			for _, ran := range standin.Executed() {
				runs[ran.ID()]++
				if ran.Account() != "garage" || ran.Header().Get("Authorization") != "" {
					system.tally.addViolation("request %s ran for account %q with key %q", ran.ID(), ran.Account(), ran.Header().Get("Authorization"))
				}
			}
		}
	}
	system.cut.Range(func(id, process any) bool {
		if _, disturbed := system.disturbed.Load(process); !disturbed && runs[id.(string)] > 0 {
			system.tally.addViolation("booking %s ran, and %s ended its connection without an answer", id, process.(*harness.Process).Name())
		}
		return true
	})
	system.bookings.Range(func(id, outcome any) bool {
		switch count := runs[id.(string)]; {
		case count > 1:
			system.tally.addViolation("booking %s ran %d times", id, count)
		case count > 0 && outcome == outcomeNotRun:
			system.tally.addViolation("booking %s was refused as not run, but ran", id)
		case count == 0 && outcome == outcomeServed:
			system.tally.addViolation("booking %s got a successful response, but did not run", id)
		}
		return true
	})
}

func (system *system) logs() string { return system.harness.Logs() }

func (system *system) close() {
	system.harness.Close()
	for _, server := range system.servers {
		server.Close()
	}
	for _, relay := range system.relays {
		relay.Close()
	}
}
