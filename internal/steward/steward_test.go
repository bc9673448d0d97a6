package steward_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/node"
	"sapphirehead/internal/operator"
	"sapphirehead/internal/operator/operatorhttp"
	"sapphirehead/internal/platform/platformhttp"
	"sapphirehead/internal/pool"
	"sapphirehead/internal/route"
	"sapphirehead/internal/settings"
	"sapphirehead/internal/standin/cloudstandin"
	"sapphirehead/internal/standin/platformstandin"
	"sapphirehead/internal/standin/runnerstandin"
	"sapphirehead/internal/standin/weightstandin"
	"sapphirehead/internal/steward"
	"sapphirehead/internal/table"
)

const token = "token-of-operators"

// fixture runs the stand-ins for stewards in this process over loopback. They send
// starts, stops and orders as texts on events, for which tests wait.
type fixture struct {
	t        *testing.T
	platform *platformstandin.Platform
	cloud    *cloudstandin.Cloud
	events   chan string
	address  map[string]string
	ctx      context.Context
	hang     func(hostID string) bool
	version  atomic.Int64
	mutex    sync.Mutex
	runners  map[string]*httptest.Server
}

func newFixture(t *testing.T, loadsPerSecond float64) *fixture {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	fixture := &fixture{
		t: t, events: make(chan string, 1000), address: map[string]string{}, ctx: ctx,
		hang: func(string) bool { return false }, runners: map[string]*httptest.Server{},
	}
	system := clock.System()
	fixture.platform = platformstandin.New(system, clock.Millisecond)
	var offers []cloudstandin.Offer
	for i, dataCentre := range []string{"lj-a", "lj-b", "lj-c"} {
		offers = append(offers,
			cloudstandin.Offer{DataCentre: dataCentre, HostClass: "gpu", Reclaimable: true, PricePerHour: 1 + float64(i)/10, Capacity: 20},
			cloudstandin.Offer{DataCentre: dataCentre, HostClass: "gpu", PricePerHour: 3, Capacity: 20})
	}
	fixture.cloud = cloudstandin.New(system, offers, fixture.start, func(cloudstandin.Host, clock.Millis) {}, fixture.stop)
	fixture.serve("platform", fixture.platform.Router())
	fixture.serve("cloud", fixture.cloud.Router())
	fixture.serve("entry", operatorhttp.New(fixture.token, nil, nil, nil, fixture.status, nil, nil, nil, nil, func(string, string, string) {}).Router())
	fixture.serve("weights", weightstandin.New(loadsPerSecond).Router())
	return fixture
}

func (fixture *fixture) token(given string) (operator.Token, bool) {
	return operator.NewToken("steward", false), given == token
}

func (fixture *fixture) serve(name string, handler http.Handler) {
	server := httptest.NewServer(handler)
	fixture.t.Cleanup(server.CloseClientConnections)
	fixture.address[name] = strings.TrimPrefix(server.URL, "http://")
}

// status is the status that the local entry host reports to each steward.
func (fixture *fixture) status() operator.Status {
	hosts, err := platformhttp.New(fixture.address["platform"], clock.System(), clock.Second).Hosts(fixture.ctx)
	if err != nil {
		return operator.Status{}
	}
	var servers []operator.ServerStatus
	for _, listed := range hosts {
		server := listed.Server()
		servers = append(servers, operator.NewServerStatus(server.ID(), server.Address(), server.DataCentre(), server.Pool(), listed.Leaving(), "closed", 0, 0))
	}
	self := node.NewMember("entry-1", "127.0.0.1:1", "lj-a", 1).WithState(1, fixture.version.Load(), true, false)
	return operator.NewStatus(self, nil, servers)
}

// statusRecorder records the status of a response.
type statusRecorder struct {
	http.ResponseWriter
	status int
}

// WriteHeader passes the status on.
func (recorder *statusRecorder) WriteHeader(status int) {
	recorder.status = status
	recorder.ResponseWriter.WriteHeader(status)
}

func (fixture *fixture) start(host cloudstandin.Host) error {
	runner := runnerstandin.New(fixture.ctx, clock.System(), host.ID, 8, clock.Millisecond, nil, false)
	router := runner.Router()
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, message *http.Request) {
		if fixture.hang(host.ID) {
			<-message.Context().Done()
			return
		}
		recorder := &statusRecorder{ResponseWriter: writer}
		router.ServeHTTP(recorder, message)
		if message.Method == http.MethodPost && recorder.status == http.StatusNoContent {
			fixture.events <- "ordered " + host.ID
		}
	}))
	fixture.mutex.Lock()
	fixture.runners[host.ID] = server
	fixture.mutex.Unlock()
	address := strings.TrimPrefix(server.URL, "http://")
	fixture.platform.SetHost(platformstandin.Host{
		ID: host.ID, Address: address, DataCentre: host.DataCentre, HostClass: host.HostClass, Pool: host.Pool, State: "live",
	})
	fixture.events <- "started " + host.DataCentre
	return nil
}

func (fixture *fixture) stop(host cloudstandin.Host) {
	fixture.platform.RemoveHost(host.ID)
	fixture.events <- "stopped " + host.DataCentre
}

// writeTables stores tables with one pool of runners that has at least minHosts
// hosts.
func (fixture *fixture) writeTables(version, condition int64, minHosts int) {
	model := pool.NewModel("desk", "v1")
	tables := table.New(version,
		[]route.Route{route.New("desk", route.KindChat, "runners").WithModel("desk"), route.New("drafts", route.KindChat, "runners").WithModel("desk")},
		[]pool.Pool{pool.New("runners", pool.KindRunner).WithModels(model).WithHosts("gpu", minHosts, 12)}, nil)
	store := platformhttp.New(fixture.address["platform"], clock.System(), clock.Second).Store()
	require.NoError(fixture.t, platformhttp.CommitTables(context.Background(), store, tables, condition))
	fixture.version.Store(version)
}

// run starts a steward and returns a function that stops it and waits until it
// has ended.
func (fixture *fixture) run(host string) (testSteward *steward.Steward, stop func()) {
	file := fmt.Sprintf(`host = %q
dataCentre = "lj-a"
leaseMillis = 3000
roundMillis = 20
platform.address = %q
weightStore.address = %q
operator = { listen = "127.0.0.1:0", token = %q }
entry = { address = %q, token = %q }
[cloud]
address = %q
timeoutMillis = 200
`, host, fixture.address["platform"], fixture.address["weights"], token, fixture.address["entry"], token, fixture.address["cloud"])
	loaded, err := settings.ParseSteward("steward.toml", []byte(file))
	require.NoError(fixture.t, err)
	testSteward, err = steward.New(loaded, clock.System(), zerolog.Nop())
	require.NoError(fixture.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- testSteward.Run(ctx, context.Background()) }()
	stop = sync.OnceFunc(func() {
		cancel()
		require.NoError(fixture.t, <-done)
	})
	fixture.t.Cleanup(stop)
	return testSteward, stop
}

// expectEvents waits until each event has occurred the given number of times, and
// checks that none has occurred more often by then.
func (fixture *fixture) expectEvents(wanted map[string]int) {
	fixture.t.Helper()
	counts, missing := map[string]int{}, 0
	for _, count := range wanted {
		missing += count
	}
	for missing > 0 {
		event := <-fixture.events
		if strings.HasPrefix(event, "ordered ") {
			event = "ordered"
		}
		counts[event]++
		if wanted[event] > 0 {
			require.LessOrEqual(fixture.t, counts[event], wanted[event], event)
			missing--
		}
	}
}

func TestSteward(t *testing.T) {
	run := func(name string, test func(t *testing.T)) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			test(t)
		})
	}
	run("starts hosts over data centres and orders their models", func(t *testing.T) {
		fixture := newFixture(t, 100)
		fixture.writeTables(1, 0, 4)
		fixture.run("entry-1")
		fixture.expectEvents(map[string]int{"started lj-a": 2, "started lj-b": 2, "started lj-c": 2, "ordered": 6})
	})
	run("a start whose response was lost starts no second host", func(t *testing.T) {
		fixture := newFixture(t, 100)
		fixture.cloud.SetFaults(cloudstandin.Faults{LoseStarts: 3})
		fixture.writeTables(1, 0, 4)
		fixture.run("entry-1")
		fixture.expectEvents(map[string]int{"started lj-a": 2, "started lj-b": 2, "started lj-c": 2, "ordered": 6})
		require.Len(t, fixture.cloud.Hosts(), 6)
	})
	run("starts hosts elsewhere when a data centre refuses", func(t *testing.T) {
		fixture := newFixture(t, 100)
		fixture.cloud.SetFaults(cloudstandin.Faults{Refuse: []string{"lj-b"}})
		fixture.writeTables(1, 0, 2)
		fixture.run("entry-1")
		fixture.expectEvents(map[string]int{"started lj-a": 2, "started lj-c": 2, "ordered": 4})
	})
	run("replaces reclaimed hosts in other data centres", func(t *testing.T) {
		fixture := newFixture(t, 100)
		fixture.writeTables(1, 0, 2)
		fixture.run("entry-1")
		fixture.expectEvents(map[string]int{"started lj-a": 1, "started lj-b": 1, "started lj-c": 1, "ordered": 3})
		fixture.cloud.SetFaults(cloudstandin.Faults{Refuse: []string{"lj-a"}})
		fixture.cloud.Reclaim("", "lj-a", clock.Minute)
		fixture.expectEvents(map[string]int{"started lj-b": 1, "started lj-c": 1})
	})
	run("drains surplus hosts before it returns them", func(t *testing.T) {
		fixture := newFixture(t, 100)
		fixture.writeTables(1, 0, 4)
		fixture.run("entry-1")
		fixture.expectEvents(map[string]int{"ordered": 6})
		fixture.writeTables(2, 1, 2)
		fixture.expectEvents(map[string]int{"ordered": 3, "stopped lj-c": 1})
	})
	run("keeps within the weight store's limit", func(t *testing.T) {
		fixture := newFixture(t, 2)
		fixture.writeTables(1, 0, 2)
		testSteward, _ := fixture.run("entry-1")
		fixture.expectEvents(map[string]int{"ordered": 3})
		require.NotNil(t, testSteward.Counters().Get("loadsLimited"))
	})
	run("a runner that hangs delays neither leases nor other runners", func(t *testing.T) {
		fixture := newFixture(t, 100)
		fixture.hang = func(hostID string) bool { return hostID == "host-1" }
		fixture.writeTables(1, 0, 4)
		testSteward, _ := fixture.run("entry-1")
		fixture.expectEvents(map[string]int{"ordered": 5})
		require.Nil(t, testSteward.Counters().Get("leaseErrors"))
	})
	run("no lease is renewed and no order is sent while the platform is down", func(t *testing.T) {
		fixture := newFixture(t, 100)
		fixture.writeTables(1, 0, 2)
		testSteward, stop := fixture.run("entry-1")
		fixture.expectEvents(map[string]int{"ordered": 3})
		fixture.platform.SetFault(platformstandin.FaultDown, 0)
		fixture.expectNoneHeld(testSteward)
		fixture.cloud.Reclaim("", "lj-a", clock.Minute)
		require.Empty(t, fixture.events)
		fixture.platform.SetFault(platformstandin.FaultNone, 0)
		fixture.expectEvents(map[string]int{"started lj-a": 1, "ordered": 1})
		stop()
	})
	run("a graceful stop releases the leases, and a successor takes over", func(t *testing.T) {
		fixture := newFixture(t, 100)
		fixture.writeTables(1, 0, 2)
		testSteward, stop := fixture.run("entry-1")
		fixture.expectEvents(map[string]int{"ordered": 3})
		fixture.expectLeases(testSteward, "entry-1", 4)
		stop()
		fixture.writeTables(2, 1, 4)
		fixture.run("entry-2")
		fixture.expectEvents(map[string]int{"started lj-a": 1, "started lj-b": 1, "started lj-c": 1, "ordered": 3})
	})
}

// expectNoneHeld waits until the steward holds no lease.
func (fixture *fixture) expectNoneHeld(testSteward *steward.Steward) {
	fixture.t.Helper()
	system := clock.System()
	for {
		held := false
		for _, lease := range testSteward.Leases() {
			held = held || lease.Held()
		}
		if !held {
			return
		}
		require.NoError(fixture.t, system.Wait(fixture.ctx, 10*clock.Millisecond))
	}
}

// expectLeases checks the leases that a steward reports to operators.
func (fixture *fixture) expectLeases(testSteward *steward.Steward, holder string, count int) {
	fixture.t.Helper()
	client := operatorhttp.NewClient(testSteward.OperatorAddress(), token, nil, clock.System(), clock.Second)
	leases, err := client.Leases(context.Background())
	require.NoError(fixture.t, err)
	require.Len(fixture.t, leases, count)
	for _, lease := range leases {
		require.Equal(fixture.t, holder, lease.Holder())
		require.True(fixture.t, lease.Held())
		require.Positive(fixture.t, lease.Fence())
	}
}
