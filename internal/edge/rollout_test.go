package edge_test

import (
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

// rolloutSeconds is the duration of orders in tests.
const rolloutSeconds = 8

// rolloutFixture is a system with an order for its application servers.
type rolloutFixture struct {
	*fixture
	rollout *storestandin.Rollout
	added   []*enginestandin.Engine
	// servers are the HTTP servers by id; closing one ends its process.
	mutex   sync.Mutex
	servers map[string]*httptest.Server
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
	return fmt.Sprintf(`{"service":"app","address":%q,"zone":"lj-a","version":%q,"batchSlots":6,"state":"ready","sequence":1,"born":%d}`,
		strings.TrimPrefix(server.URL, "http://"), version, len(rolloutFixture.servers))
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
	rolloutFixture.rollout = rolloutFixture.store.Order("app", "v2", orderOf("app", "v2"), entries, rolloutFixture.end)
}

func orderOf(service, to string) string {
	return fmt.Sprintf(`{"service":%q,"to":%q,"durationS":%d}`, service, to, rolloutSeconds)
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
				method, path := http.MethodGet, "/look/a"
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
