package edge_test

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/operator/operatorhttp"
	"sapphirehead/internal/standin/enginestandin"
	"sapphirehead/internal/standin/storestandin"
)

const (
	// rolloutSeconds is the duration of orders in tests, and longRolloutSeconds where the
	// lease moves to another node meanwhile.
	rolloutSeconds     = 8
	longRolloutSeconds = 16
)

// rolloutFixture is a system with an order for its application servers.
type rolloutFixture struct {
	*fixture
	rollout *storestandin.Rollout
	added   []*enginestandin.Engine
	// seconds is the duration of orders, rolloutSeconds if it is 0.
	seconds int
	// servers are the HTTP servers by id; closing one ends its process.
	mutex   sync.Mutex
	servers map[string]*httptest.Server
	starts  int
}

// newRolloutFixture starts nodes of a system with rollouts, with two application servers of
// the version v1.
func newRolloutFixture(t *testing.T, nodes int) (*rolloutFixture, []*testNode) {
	t.Helper()
	rolloutFixture := &rolloutFixture{fixture: newEmptyFixture(t), servers: map[string]*httptest.Server{}}
	rolloutFixture.exposureShare = 0.1
	for i, engine := range rolloutFixture.apps {
		rolloutFixture.store.Set("servers", fmt.Sprint("app-", i), rolloutFixture.entry(engine, fmt.Sprint("app-", i), "v1"))
	}
	var started []*testNode
	for i := range nodes {
		testNode := rolloutFixture.startReady(fmt.Sprint("edge-", i+1))
		if i == 0 {
			rolloutFixture.testNode = testNode
			testNode.log.await("lease on leader tasks changed", `"held":true`)
		}
		started = append(started, testNode)
	}
	return rolloutFixture, started
}

// entry serves the engine and returns its entry.
func (rolloutFixture *rolloutFixture) entry(engine http.Handler, id, version string) string {
	server := httptest.NewServer(engine)
	rolloutFixture.t.Cleanup(server.Close)
	rolloutFixture.mutex.Lock()
	defer rolloutFixture.mutex.Unlock()
	rolloutFixture.servers[id] = server
	rolloutFixture.starts++
	return fmt.Sprintf(`{"service":"app","address":%q,"zone":"lj-a","version":%q,"batchSlots":6,"state":"ready","sequence":1,"born":%d}`,
		strings.TrimPrefix(server.URL, "http://"), version, rolloutFixture.starts)
}

// order writes the order to move the application servers to v2 and starts two servers of
// that version.
func (rolloutFixture *rolloutFixture) order(behaviours func() enginestandin.Behaviour) {
	entries := map[string]string{}
	for i := range 2 {
		id := fmt.Sprint("new-", i)
		engine := enginestandin.New(id, false)
		engine.SetBehaviourFunc(behaviours)
		rolloutFixture.added = append(rolloutFixture.added, engine)
		entries[id] = rolloutFixture.entry(engine, id, "v2")
	}
	rolloutFixture.orderServers(entries)
}

// orderServers writes the order and the entries of servers of v2.
func (rolloutFixture *rolloutFixture) orderServers(entries map[string]string) {
	order := orderOf("app", "v2", cmp.Or(rolloutFixture.seconds, rolloutSeconds))
	rolloutFixture.rollout = rolloutFixture.store.Order("app", "v2", order, entries, rolloutFixture.end)
}

func orderOf(service, to string, seconds int) string {
	return fmt.Sprintf(`{"service":%q,"to":%q,"durationS":%d}`, service, to, seconds)
}

// end ends servers at once, with the requests in progress.
func (rolloutFixture *rolloutFixture) end(ids []string) {
	rolloutFixture.mutex.Lock()
	defer rolloutFixture.mutex.Unlock()
	for _, id := range ids {
		server := rolloutFixture.servers[id]
		go func() {
			server.Listener.Close()
			server.CloseClientConnections()
		}()
	}
}

// load sends requests to the nodes until the returned function is called, which returns
// the number of requests and those that failed.
func (rolloutFixture *rolloutFixture) load(nodes []*testNode) (end func() (sent int64, failed []string)) {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	var sent atomic.Int64
	var mutex sync.Mutex
	var failed []string
	for worker := range 4 {
		group.Go(func() {
			for ctx.Err() == nil {
				count := sent.Add(1)
				method, path := http.MethodGet, fmt.Sprint("/look/", count)
				if worker == 0 {
					method, path = http.MethodPost, "/book/a"
				}
				request, err := http.NewRequest(method, "http://"+nodes[int(count)%len(nodes)].node.Addresses()["caller"]+path, http.NoBody)
				if err != nil {
					panic(err)
				}
				request.Host = "desk.example"
				request.Header.Set("X-Request-Id", fmt.Sprint("load-", count))
				request.Header.Set("Authorization", "Token key-of-garage")
				if problem := rolloutFixture.send(request); problem != "" {
					mutex.Lock()
					failed = append(failed, path+": "+problem)
					mutex.Unlock()
				}
				clock.System().Wait(ctx, 5)
			}
		})
	}
	return func() (int64, []string) {
		cancel()
		group.Wait()
		return sent.Load(), failed
	}
}

// send sends the request and returns what is wrong with the response, or an empty string.
func (rolloutFixture *rolloutFixture) send(request *http.Request) string {
	response, err := rolloutFixture.client.Do(request)
	if err != nil {
		return err.Error()
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return response.Status
	}
	return ""
}

// awaitState waits until a node has written the state.
func (rolloutFixture *rolloutFixture) awaitState(testNode *testNode, state string) string {
	rolloutFixture.t.Helper()
	return testNode.log.await("status of a rollout written", fmt.Sprintf(`"state":%q`, state))
}

func serves() enginestandin.Behaviour { return enginestandin.BehaviourServe }

func fails() enginestandin.Behaviour { return enginestandin.BehaviourFail }

// TestGoodRollout guards against requests that are lost when the old servers stop at once,
// and against a good version that isn't succeeded in time.
func TestGoodRollout(t *testing.T) {
	t.Parallel()
	fixture, nodes := newRolloutFixture(t, 3)
	end := fixture.load(nodes)
	fixture.order(serves)
	fixture.awaitState(fixture.testNode, "succeeded")
	for _, testNode := range nodes {
		testNode.log.await("backend server gone", "app-0")
	}
	sent, failed := end()
	require.Empty(t, failed, "of %d", sent)
	require.Equal(t, []string{"serving", "succeeded"}, fixture.store.States(fixture.rollout))
	var status map[string]any
	require.NoError(t, json.Unmarshal([]byte(fixture.store.Status("rollouts", "app")), &status))
	require.Equal(t, "v2", status["to"])
	require.NotZero(t, status["orderedAtMs"])
}

// TestBadRollout guards against a bad version that goes on getting requests, or more than
// its share.
func TestBadRollout(t *testing.T) {
	t.Parallel()
	fixture, nodes := newRolloutFixture(t, 3)
	end := fixture.load(nodes)
	fixture.order(fails)
	fixture.awaitState(fixture.testNode, "rolledBack")
	ran := countRuns(fixture.added)
	sent, _ := end()
	require.Equal(t, []string{"serving", "rolled_back"}, fixture.store.States(fixture.rollout))
	require.LessOrEqual(t, ran, int(sent)/10+50)
	require.Positive(t, ran)
	for range 50 {
		require.Equal(t, http.StatusOK, fixture.call(http.MethodGet, "/look/a").status)
	}
	require.Equal(t, ran, countRuns(fixture.added), "the version was used after it was rolled back")
	for _, testNode := range nodes {
		report, err := operatorhttp.Rollouts(t.Context(), clock.System(), testNode.node.Addresses()["metrics"], clock.Minute)
		require.NoError(t, err)
		require.Len(t, report.Rollouts, 1)
		require.Equal(t, "v2", report.Rollouts[0].Version)
		require.True(t, report.Rollouts[0].Halted)
		require.NotEmpty(t, report.Rollouts[0].Evidence)
	}
}

// awaitEndOfRollout waits until a final state is stored.
func (rolloutFixture *rolloutFixture) awaitEndOfRollout() {
	for len(rolloutFixture.store.States(rolloutFixture.rollout)) < 2 {
		clock.System().Wait(rolloutFixture.t.Context(), rolloutPoll)
	}
}

// decided is the part of a log line that shows the share and the cause of a decision.
func decided(share, cause string) string { return fmt.Sprintf(`"share":%s,"cause":%q`, share, cause) }

// expectUnused checks that the new version gets no more requests at the nodes.
func (rolloutFixture *rolloutFixture) expectUnused(nodes ...*testNode) {
	rolloutFixture.t.Helper()
	ran := countRuns(rolloutFixture.added)
	for i := range 60 {
		require.Equal(rolloutFixture.t, http.StatusOK, rolloutFixture.callAt(nodes[i%len(nodes)], http.MethodGet, "/look/a").status)
	}
	require.Equal(rolloutFixture.t, ran, countRuns(rolloutFixture.added), "the version was used")
}

// orderedAt returns the time of the order in the status.
func (rolloutFixture *rolloutFixture) orderedAt() int64 {
	rolloutFixture.t.Helper()
	var status struct {
		OrderedAt int64 `json:"orderedAtMs"`
	}
	require.NoError(rolloutFixture.t, json.Unmarshal([]byte(rolloutFixture.store.Status("rollouts", "app")), &status))
	return status.OrderedAt
}

// TestRolloutHandOver guards against a rollout that stops, starts again or loses requests
// when the lease holder dies just before or after it writes a status.
func TestRolloutHandOver(t *testing.T) {
	t.Parallel()
	expectSuccess := func(t *testing.T, line string) {
		t.Helper()
		t.Parallel()
		// A node that knows no other leaves the lease free for longer.
		fixture, nodes := newRolloutFixture(t, 3)
		fixture.seconds = longRolloutSeconds
		var diedAt int64
		fixture.log.onLine(line, func() {
			fixture.kill()
			diedAt = clockMillis()
		})
		end := fixture.load(nodes[1:])
		fixture.order(serves)
		require.NoError(t, fixture.awaitEnd())
		fixture.awaitEndOfRollout()
		for _, testNode := range nodes[1:] {
			testNode.log.await("backend server gone", "app-0")
		}
		sent, failed := end()
		require.Empty(t, failed, "of %d", sent)
		require.Equal(t, []string{"serving", "succeeded"}, fixture.store.States(fixture.rollout))
		if !strings.Contains(line, `"cause":"ordered"`) {
			require.LessOrEqual(t, fixture.orderedAt(), diedAt, "the successor must not start the order again")
		}
	}
	for name, lines := range map[string][2]string{
		"first sight":  {decided("0", "ordered"), `"share":0,"fence"`},
		"canary share": {decided("0.08000000000000002", "serving"), `"share":0.08000000000000002,"fence"`},
		"promotion":    {decided("1", "promoted"), `"state":"serving","share":1,"fence"`},
		"success":      {decided("1", "succeeded"), `"state":"succeeded","share":1,"fence"`},
	} {
		t.Run(name+", before the write", func(t *testing.T) { expectSuccess(t, lines[0]) })
		t.Run(name+", after the write", func(t *testing.T) { expectSuccess(t, lines[1]) })
	}
}

// TestRolloutAfterAllNodesDied guards against an order that starts again, or is forgotten,
// when all nodes start again.
func TestRolloutAfterAllNodesDied(t *testing.T) {
	t.Parallel()
	fixture, nodes := newRolloutFixture(t, 2)
	fixture.seconds = longRolloutSeconds
	fixture.order(serves)
	fixture.log.await("rollout decision", `"cause":"watching"`)
	orderedAt := fixture.orderedAt()
	var restarted []*testNode
	for _, testNode := range nodes {
		testNode.kill()
	}
	for _, testNode := range nodes {
		require.NoError(t, testNode.awaitEnd())
		restarted = append(restarted, fixture.startReady(testNode.host))
	}
	end := fixture.load(restarted)
	fixture.awaitEndOfRollout()
	sent, failed := end()
	require.Empty(t, failed, "of %d", sent)
	require.Equal(t, []string{"serving", "succeeded"}, fixture.store.States(fixture.rollout))
	require.Equal(t, orderedAt, fixture.orderedAt())
}

func clockMillis() int64 { return int64(clock.System().Wall()) }

// TestRolloutWithoutStore guards against nodes that need the store to stop a bad version,
// and against a promotion that nobody wrote.
func TestRolloutWithoutStore(t *testing.T) {
	t.Parallel()
	// outage cuts all nodes off the store once they use the canary share.
	outage := func(t *testing.T, behaviours func() enginestandin.Behaviour) (*rolloutFixture, []*testNode) {
		t.Helper()
		fixture, nodes := newRolloutFixture(t, 2)
		fixture.order(behaviours)
		fixture.log.await("rollout decision", `"cause":"watching"`)
		for _, testNode := range nodes {
			testNode.loseStore()
		}
		return fixture, nodes
	}
	regain := func(fixture *rolloutFixture, nodes []*testNode) {
		for _, testNode := range nodes {
			testNode.door.SetFault(storestandin.FaultNone)
		}
		fixture.awaitEndOfRollout()
	}
	t.Run("a bad version", func(t *testing.T) {
		t.Parallel()
		fixture, nodes := outage(t, fails)
		end := fixture.load(nodes)
		for _, testNode := range nodes {
			testNode.log.await("software version halted")
		}
		end()
		fixture.expectUnused(nodes...)
		require.Equal(t, []string{"serving"}, fixture.store.States(fixture.rollout))
		regain(fixture, nodes)
		require.Equal(t, []string{"serving", "rolled_back"}, fixture.store.States(fixture.rollout))
	})
	t.Run("a good version, beyond the deadline", func(t *testing.T) {
		t.Parallel()
		fixture, nodes := outage(t, serves)
		end := fixture.load(nodes)
		for clockMillis() < fixture.orderedAt()+rolloutSeconds*1000 {
			clock.System().Wait(t.Context(), rolloutPoll)
		}
		sent, failed := end()
		require.Empty(t, failed)
		require.Less(t, countRuns(fixture.added), int(sent)/10)
		regain(fixture, nodes)
		require.Equal(t, []string{"serving", "rolled_back"}, fixture.store.States(fixture.rollout))
		fixture.expectUnused(nodes...)
	})
}

// rolloutPoll is the time between two looks at the store's stand-in.
const rolloutPoll = 20 * clock.Millisecond

// TestLostStatusAnswer guards against a status that is written twice, or over a later one,
// after the answer to its write was lost.
func TestLostStatusAnswer(t *testing.T) {
	t.Parallel()
	fixture, _ := newRolloutFixture(t, 1)
	fixture.log.onLine(decided("0.08000000000000002", "serving"), func() { fixture.door.SetFault(storestandin.FaultLostResponse) })
	fixture.log.onLine(`"share":0.08000000000000002,"fence"`, func() { fixture.door.SetFault(storestandin.FaultNone) })
	fixture.order(serves)
	fixture.log.await("status of a rollout written", `"share":0.08000000000000002`, `"error"`)
	fixture.log.await("rollout decision", `"cause":"watching"`)
	metrics, err := fixture.client.Get("http://" + fixture.node.Addresses()["metrics"] + "/metrics")
	require.NoError(t, err)
	defer metrics.Body.Close()
	var counts struct {
		Writes int `json:"rolloutStatusWrites"`
	}
	require.NoError(t, json.NewDecoder(metrics.Body).Decode(&counts))
	require.Equal(t, 2, counts.Writes)
}

// TestRolloutInRestoredStore guards against a bad version that is used again because the
// store was restored to a state in which its order was running.
func TestRolloutInRestoredStore(t *testing.T) {
	t.Parallel()
	fixture, nodes := newRolloutFixture(t, 2)
	var older *storestandin.Copy
	fixture.log.onLine(`"share":0.08000000000000002,"fence"`, func() { older = fixture.store.Copy() })
	end := fixture.load(nodes)
	fixture.order(fails)
	fixture.awaitState(fixture.testNode, "rolledBack")
	end()
	fixture.store.Restore(older)
	for _, testNode := range nodes {
		testNode.log.await("history of the watch is gone", `"kind":"rollouts"`)
		testNode.log.awaitCount("backend server listed", 6)
	}
	fixture.expectUnused(nodes...)
	for !strings.Contains(fixture.store.Status("rollouts", "app"), "rolled_back") {
		clock.System().Wait(t.Context(), rolloutPoll)
	}
	fixture.expectUnused(nodes...)
}

// TestOddOrders guards against orders that can't be carried out and end in no clear state.
func TestOddOrders(t *testing.T) {
	t.Parallel()
	newSingle := func(t *testing.T) *rolloutFixture {
		t.Helper()
		t.Parallel()
		fixture, _ := newRolloutFixture(t, 1)
		return fixture
	}
	t.Run("an unknown pool", func(t *testing.T) {
		fixture := newSingle(t)
		fixture.store.Set("rollouts", "nowhere", orderOf("nowhere", "v2", 1))
		fixture.log.await("rollout decision", `"pool":"nowhere"`, `"cause":"noPool"`)
		fixture.log.await("status of a rollout written", `"pool":"nowhere"`, `"state":"rolledBack"`)
	})
	t.Run("the version that serves alone", func(t *testing.T) {
		fixture := newSingle(t)
		fixture.store.Set("rollouts", "app", orderOf("app", "v1", rolloutSeconds))
		fixture.log.await("rollout decision", `"cause":"alone"`)
		fixture.awaitState(fixture.testNode, "succeeded")
		require.Equal(t, http.StatusOK, fixture.call(http.MethodGet, "/look/a").status)
	})
	t.Run("no server of the version", func(t *testing.T) {
		fixture := newSingle(t)
		fixture.store.Set("rollouts", "app", orderOf("app", "v2", 1))
		fixture.log.await("rollout decision", `"cause":"noServers"`)
		fixture.awaitState(fixture.testNode, "rolledBack")
		require.Equal(t, http.StatusOK, fixture.call(http.MethodGet, "/look/a").status)
	})
	t.Run("no version", func(t *testing.T) {
		fixture := newSingle(t)
		fixture.store.Set("rollouts", "app", `{"service":"app","to":7,"durationS":1}`)
		fixture.log.await("order of a rollout ignored", "field to")
		require.Empty(t, fixture.store.Status("rollouts", "app"))
	})
	t.Run("changed", func(t *testing.T) {
		fixture := newSingle(t)
		fixture.order(serves)
		fixture.log.await("rollout decision", `"softwareVersion":"v2"`, `"cause":"watching"`)
		fixture.store.Set("rollouts", "app", orderOf("app", "v3", rolloutSeconds))
		fixture.log.await("rollout decision", `"softwareVersion":"v3"`, `"cause":"changed"`)
		fixture.log.await("rollout decision", `"softwareVersion":"v3"`, `"cause":"noServers"`)
		fixture.expectUnused(fixture.testNode)
	})
	t.Run("withdrawn", func(t *testing.T) {
		fixture := newSingle(t)
		fixture.order(serves)
		fixture.log.await("rollout decision", `"cause":"watching"`)
		fixture.store.Remove("rollouts", "app")
		fixture.log.await("rollout decision", `"cause":"withdrawn"`)
		fixture.expectUnused(fixture.testNode)
	})
}

// TestVersionsWithoutOrder guards against a version that isn't used where servers of two
// versions serve without an order, and against reads of rollouts where they are off.
func TestVersionsWithoutOrder(t *testing.T) {
	t.Parallel()
	expectUsed := func(t *testing.T, exposureShare float64) *rolloutFixture {
		t.Helper()
		t.Parallel()
		fixture := &rolloutFixture{fixture: newEmptyFixture(t), servers: map[string]*httptest.Server{}}
		fixture.exposureShare = exposureShare
		fixture.testNode = fixture.startReady("edge-1")
		engine := enginestandin.New("new-0", false)
		fixture.store.Set("servers", "new-0", fixture.entry(engine, "new-0", "v2"))
		fixture.log.await("backend server listed", "new-0")
		for len(engine.Executed()) == 0 || countRuns(fixture.apps) == 0 {
			require.Equal(t, http.StatusOK, fixture.call(http.MethodGet, "/look/a").status)
		}
		return fixture
	}
	t.Run("off", func(t *testing.T) { require.Zero(t, expectUsed(t, 0).door.LongestWatch("rollouts")) })
	t.Run("on", func(t *testing.T) { expectUsed(t, 0.1) })
}
