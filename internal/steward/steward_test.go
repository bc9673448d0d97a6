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

// fleet is the stand-ins around stewards, in this process over loopback. What
// happens at them arrives as text on events, on which tests wait.
type fleet struct {
	t        *testing.T
	platform *platformstandin.Platform
	cloud    *cloudstandin.Cloud
	events   chan string
	address  map[string]string
	life     context.Context
	hang     func(hostID string) bool
	version  atomic.Int64
	mutex    sync.Mutex
	runners  map[string]*httptest.Server
}

func newFleet(t *testing.T, loadsPerSecond float64) *fleet {
	life, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	fleet := &fleet{
		t: t, events: make(chan string, 1000), address: map[string]string{}, life: life,
		hang: func(string) bool { return false }, runners: map[string]*httptest.Server{},
	}
	system := clock.System()
	fleet.platform = platformstandin.New(system, clock.Millisecond)
	var offers []cloudstandin.Offer
	for i, dataCentre := range []string{"lj-a", "lj-b", "lj-c"} {
		offers = append(offers,
			cloudstandin.Offer{DataCentre: dataCentre, HostClass: "gpu", Reclaimable: true, PricePerHour: 1 + float64(i)/10, Capacity: 20},
			cloudstandin.Offer{DataCentre: dataCentre, HostClass: "gpu", PricePerHour: 3, Capacity: 20})
	}
	fleet.cloud = cloudstandin.New(system, offers, fleet.start, func(cloudstandin.Host, clock.Millis) {}, fleet.stop)
	fleet.serve("platform", fleet.platform.Router())
	fleet.serve("cloud", fleet.cloud.Router())
	fleet.serve("entry", operatorhttp.New(fleet.token, nil, nil, nil, fleet.status, nil, nil, nil, nil, func(string, string, string) {}).Router())
	fleet.serve("weights", weightstandin.New(loadsPerSecond).Router())
	return fleet
}

func (fleet *fleet) token(given string) (operator.Token, bool) {
	return operator.NewToken("steward", false), given == token
}

func (fleet *fleet) serve(name string, handler http.Handler) {
	server := httptest.NewServer(handler)
	fleet.t.Cleanup(server.CloseClientConnections)
	fleet.address[name] = strings.TrimPrefix(server.URL, "http://")
}

// status is what the entry host beside each steward reports.
func (fleet *fleet) status() operator.Status {
	hosts, err := platformhttp.New(fleet.address["platform"], clock.System(), clock.Second).Hosts(fleet.life)
	if err != nil {
		return operator.Status{}
	}
	var servers []operator.ServerStatus
	for _, listed := range hosts {
		server := listed.Server()
		servers = append(servers, operator.NewServerStatus(server.ID(), server.Address(), server.DataCentre(), server.Pool(), listed.Leaving(), "closed", 0, 0))
	}
	self := node.NewMember("entry-1", "127.0.0.1:1", "lj-a", 1).WithState(1, fleet.version.Load(), true, false)
	return operator.NewStatus(self, nil, servers)
}

// statusRecorder remembers the status of an answer.
type statusRecorder struct {
	http.ResponseWriter
	status int
}

// WriteHeader passes the status on.
func (recorder *statusRecorder) WriteHeader(status int) {
	recorder.status = status
	recorder.ResponseWriter.WriteHeader(status)
}

func (fleet *fleet) start(host cloudstandin.Host) error {
	runner := runnerstandin.New(fleet.life, clock.System(), host.ID, 8, clock.Millisecond, nil, false)
	router := runner.Router()
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, message *http.Request) {
		if fleet.hang(host.ID) {
			<-message.Context().Done()
			return
		}
		recorder := &statusRecorder{ResponseWriter: writer}
		router.ServeHTTP(recorder, message)
		if message.Method == http.MethodPost && recorder.status == http.StatusNoContent {
			fleet.events <- "ordered " + host.ID
		}
	}))
	fleet.mutex.Lock()
	fleet.runners[host.ID] = server
	fleet.mutex.Unlock()
	address := strings.TrimPrefix(server.URL, "http://")
	fleet.platform.SetHost(platformstandin.Host{
		ID: host.ID, Address: address, DataCentre: host.DataCentre, HostClass: host.HostClass, Pool: host.Pool, State: "live",
	})
	fleet.events <- "started " + host.DataCentre
	return nil
}

func (fleet *fleet) stop(host cloudstandin.Host) {
	fleet.platform.RemoveHost(host.ID)
	fleet.events <- "stopped " + host.DataCentre
}

// writeTables stores a table with one pool of runners with the bounds and one
// without hosts of its own.
func (fleet *fleet) writeTables(version, condition int64, minHosts int) {
	model := pool.NewModel("desk", "v1")
	tables := table.New(version,
		[]route.Route{route.New("desk", route.KindChat, "runners").WithModel("desk"), route.New("drafts", route.KindChat, "runners").WithModel("desk")},
		[]pool.Pool{pool.New("runners", pool.KindRunner).WithModels(model).WithHosts("gpu", minHosts, 12)}, nil)
	store := platformhttp.New(fleet.address["platform"], clock.System(), clock.Second).Store()
	require.NoError(fleet.t, platformhttp.CommitTables(context.Background(), store, tables, condition))
	fleet.version.Store(version)
}

// run starts a steward and returns the function that stops it and waits.
func (fleet *fleet) run(host string) (control *steward.Steward, stop func()) {
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
`, host, fleet.address["platform"], fleet.address["weights"], token, fleet.address["entry"], token, fleet.address["cloud"])
	loaded, err := settings.ParseSteward("steward.toml", []byte(file))
	require.NoError(fleet.t, err)
	control, err = steward.New(loaded, clock.System(), zerolog.Nop())
	require.NoError(fleet.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- control.Run(ctx, context.Background()) }()
	stop = sync.OnceFunc(func() {
		cancel()
		require.NoError(fleet.t, <-done)
	})
	fleet.t.Cleanup(stop)
	return control, stop
}

// expectEvents waits until each event has happened as often as given, and
// checks that none happened more often by then.
func (fleet *fleet) expectEvents(wanted map[string]int) {
	fleet.t.Helper()
	seen, missing := map[string]int{}, 0
	for _, count := range wanted {
		missing += count
	}
	for missing > 0 {
		event := <-fleet.events
		if strings.HasPrefix(event, "ordered ") {
			event = "ordered"
		}
		seen[event]++
		if wanted[event] > 0 {
			require.LessOrEqual(fleet.t, seen[event], wanted[event], event)
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
		fleet := newFleet(t, 100)
		fleet.writeTables(1, 0, 4)
		fleet.run("entry-1")
		fleet.expectEvents(map[string]int{"started lj-a": 2, "started lj-b": 2, "started lj-c": 2, "ordered": 6})
	})
	run("a start whose answer was lost starts no second host", func(t *testing.T) {
		fleet := newFleet(t, 100)
		fleet.cloud.SetFaults(cloudstandin.Faults{LoseStarts: 3})
		fleet.writeTables(1, 0, 4)
		fleet.run("entry-1")
		fleet.expectEvents(map[string]int{"started lj-a": 2, "started lj-b": 2, "started lj-c": 2, "ordered": 6})
		require.Len(t, fleet.cloud.Hosts(), 6)
	})
	run("goes on elsewhere when a data centre refuses", func(t *testing.T) {
		fleet := newFleet(t, 100)
		fleet.cloud.SetFaults(cloudstandin.Faults{Refuse: []string{"lj-b"}})
		fleet.writeTables(1, 0, 2)
		fleet.run("entry-1")
		fleet.expectEvents(map[string]int{"started lj-a": 2, "started lj-c": 2, "ordered": 4})
	})
	run("replaces hosts that are taken back in other data centres", func(t *testing.T) {
		fleet := newFleet(t, 100)
		fleet.writeTables(1, 0, 2)
		fleet.run("entry-1")
		fleet.expectEvents(map[string]int{"started lj-a": 1, "started lj-b": 1, "started lj-c": 1, "ordered": 3})
		fleet.cloud.SetFaults(cloudstandin.Faults{Refuse: []string{"lj-a"}})
		fleet.cloud.Reclaim("", "lj-a", clock.Minute)
		fleet.expectEvents(map[string]int{"started lj-b": 1, "started lj-c": 1})
	})
	run("drains hosts that are no longer needed before it gives them back", func(t *testing.T) {
		fleet := newFleet(t, 100)
		fleet.writeTables(1, 0, 4)
		fleet.run("entry-1")
		fleet.expectEvents(map[string]int{"ordered": 6})
		fleet.writeTables(2, 1, 2)
		fleet.expectEvents(map[string]int{"ordered": 3, "stopped lj-c": 1})
	})
	run("keeps within the weight store's limit", func(t *testing.T) {
		fleet := newFleet(t, 2)
		fleet.writeTables(1, 0, 2)
		control, _ := fleet.run("entry-1")
		fleet.expectEvents(map[string]int{"ordered": 3})
		require.NotNil(t, control.Counters().Get("loadsLimited"))
	})
	run("a runner that hangs delays neither leases nor other runners", func(t *testing.T) {
		fleet := newFleet(t, 100)
		fleet.hang = func(hostID string) bool { return hostID == "host-1" }
		fleet.writeTables(1, 0, 4)
		control, _ := fleet.run("entry-1")
		fleet.expectEvents(map[string]int{"ordered": 5})
		require.Nil(t, control.Counters().Get("leaseErrors"))
	})
	run("nobody renews and nobody orders while the platform is down", func(t *testing.T) {
		fleet := newFleet(t, 100)
		fleet.writeTables(1, 0, 2)
		control, stop := fleet.run("entry-1")
		fleet.expectEvents(map[string]int{"ordered": 3})
		fleet.platform.SetFault(platformstandin.FaultDown, 0)
		fleet.expectNoneHeld(control)
		fleet.cloud.Reclaim("", "lj-a", clock.Minute)
		require.Empty(t, fleet.events)
		fleet.platform.SetFault(platformstandin.FaultNone, 0)
		fleet.expectEvents(map[string]int{"started lj-a": 1, "ordered": 1})
		stop()
	})
	run("a graceful stop gives the leases back, and a successor goes on", func(t *testing.T) {
		fleet := newFleet(t, 100)
		fleet.writeTables(1, 0, 2)
		control, stop := fleet.run("entry-1")
		fleet.expectEvents(map[string]int{"ordered": 3})
		fleet.expectLeases(control, "entry-1", 4)
		stop()
		fleet.writeTables(2, 1, 4)
		fleet.run("entry-2")
		fleet.expectEvents(map[string]int{"started lj-a": 1, "started lj-b": 1, "started lj-c": 1, "ordered": 3})
	})
}

// expectNoneHeld waits until the steward holds no lease any more.
func (fleet *fleet) expectNoneHeld(control *steward.Steward) {
	fleet.t.Helper()
	system := clock.System()
	for {
		held := false
		for _, lease := range control.Leases() {
			held = held || lease.Held()
		}
		if !held {
			return
		}
		require.NoError(fleet.t, system.Wait(fleet.life, 10*clock.Millisecond))
	}
}

// expectLeases checks the leases that a steward reports on its operators'
// address.
func (fleet *fleet) expectLeases(control *steward.Steward, holder string, count int) {
	fleet.t.Helper()
	client := operatorhttp.NewClient(control.OperatorAddress(), token, nil, clock.System(), clock.Second)
	leases, err := client.Leases(context.Background())
	require.NoError(fleet.t, err)
	require.Len(fleet.t, leases, count)
	for _, lease := range leases {
		require.Equal(fleet.t, holder, lease.Holder())
		require.True(fleet.t, lease.Held())
		require.Positive(fleet.t, lease.Fence())
	}
}
