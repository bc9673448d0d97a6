package edge_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/standin/enginestandin"
	"sapphirehead/internal/standin/storestandin"
)

// versionedEngines are engines of two software versions, v0 and v1 in turn.
type versionedEngines struct {
	fixture *fixture
	engines []*enginestandin.Engine
}

func newVersionedEngines(t *testing.T, count int) *versionedEngines {
	t.Helper()
	engines := &versionedEngines{fixture: newEmptyFixture(t)}
	for _, id := range []string{"chat-0", "chat-1"} {
		engines.fixture.store.Remove("servers", id)
	}
	for i := range count {
		engine := enginestandin.New(fmt.Sprint("engine-", i), true)
		engines.engines = append(engines.engines, engine)
		engines.fixture.store.Set("servers", fmt.Sprint("engine-", i), fmt.Sprintf(
			`{"service":"engines","address":%q,"zone":"lj-a","version":"v%d","batchSlots":6,"state":"ready","coldRemainingMs":0,"sequence":1}`,
			engines.fixture.serve(engine), i%2))
	}
	return engines
}

// start starts a node that lists all engines.
func (engines *versionedEngines) start(host string) *testNode {
	node := engines.fixture.start(host, engines.fixture.store)
	node.log.await("configuration active", `"version":3`)
	for i := range engines.engines {
		node.log.await("backend server listed", fmt.Sprintf(`"engine-%d"`, i))
	}
	return node
}

// breakStreams makes each engine break off that share of its streams.
func (engines *versionedEngines) breakStreams(share float64) {
	for i, engine := range engines.engines {
		random := rand.New(rand.NewPCG(uint64(i), 7))
		engine.SetBehaviourFunc(func() enginestandin.Behaviour {
			if random.Float64() < share {
				return enginestandin.BehaviourBreakStream
			}
			return enginestandin.BehaviourServe
		})
	}
}

// versionsOf returns the versions that ran each request, by the id of the request that
// began the stream.
func (engines *versionedEngines) versionsOf() map[string]map[int]bool {
	versions := map[string]map[int]bool{}
	for i, engine := range engines.engines {
		for _, executed := range engine.Executed() {
			stream := executed.Header().Get("Resumes")
			if stream == "" {
				stream = executed.ID()
			}
			if versions[stream] == nil {
				versions[stream] = map[int]bool{}
			}
			versions[stream][i%2] = true
		}
	}
	return versions
}

func (engines *versionedEngines) expectNoneJoined() {
	engines.fixture.t.Helper()
	for stream, versions := range engines.versionsOf() {
		require.Len(engines.fixture.t, versions, 1, "versions of stream %s", stream)
	}
}

// takeUp takes the stream of the request up after the events in the body.
func takeUp(stream, body string) func(*http.Request) {
	return func(request *http.Request) {
		request.Header.Set("Resumes", stream)
		request.Header.Set("Last-Event-Id", strconv.Itoa(strings.Count(body, "\n\n")-1))
	}
}

// TestStreamJoinsVersions guards against a stream that goes on at another software version
// than the one that began it (incident ORDER).
func TestStreamJoinsVersions(t *testing.T) {
	t.Parallel()
	t.Run("within one response", func(t *testing.T) {
		t.Parallel()
		engines := newVersionedEngines(t, 6)
		engines.fixture.testNode = engines.start("edge-1")
		engines.breakStreams(0.5)
		const calls = 40
		whole := 0
		for i := range calls {
			if got := engines.fixture.call(http.MethodPost, fmt.Sprint("/resume/", i)); got.err == nil && got.body == wholeStream() {
				whole++
			}
		}
		engines.expectNoneJoined()
		require.GreaterOrEqual(t, whole, calls/2, "streams that went on")
	})
	t.Run("over a caller's tries at another node", func(t *testing.T) {
		t.Parallel()
		engines := newVersionedEngines(t, 6)
		nodes := []*testNode{engines.start("edge-1"), engines.start("edge-2")}
		engines.fixture.testNode = nodes[0]
		const calls, maxTries = 12, 6
		wentOn := 0
		for i := range calls {
			engines.breakStreams(1)
			begun := engines.fixture.callAt(nodes[0], http.MethodPost, fmt.Sprint("/resume/", i))
			require.Error(t, begun.err)
			require.Contains(t, begun.body, "\n\n")
			stream := fmt.Sprint("r-", engines.fixture.requestCount)
			engines.breakStreams(0)
			for range maxTries {
				got := engines.fixture.callAt(nodes[1], http.MethodPost, fmt.Sprint("/resume/", i), takeUp(stream, begun.body))
				if got.err == nil && got.status == http.StatusOK {
					require.Equal(t, wholeStream(), begun.body+got.body)
					wentOn++
					break
				}
				require.Equal(t, http.StatusServiceUnavailable, got.status)
				engines.fixture.nextCall()
			}
		}
		engines.expectNoneJoined()
		require.GreaterOrEqual(t, 2*wentOn, calls, "streams that went on")
	})
	t.Run("after all nodes were killed and the old version has left", func(t *testing.T) {
		t.Parallel()
		engines := newVersionedEngines(t, 4)
		first := engines.start("edge-1")
		engines.breakStreams(1)
		begun := engines.fixture.callAt(first, http.MethodPost, "/resume/a")
		require.Error(t, begun.err)
		first.kill()
		require.NoError(t, first.awaitEnd())
		engines.breakStreams(0)
		for version := range 2 {
			if !engines.versionsOf()["r-1"][version] {
				continue
			}
			for i := version; i < len(engines.engines); i += 2 {
				engines.fixture.store.Remove("servers", fmt.Sprint("engine-", i))
			}
		}
		second := engines.fixture.start("edge-1", engines.fixture.store)
		second.log.await("configuration active", `"version":3`)
		second.log.await("backend server listed")
		got := engines.fixture.callAt(second, http.MethodPost, "/resume/a", takeUp("r-1", begun.body))
		require.NoError(t, got.err)
		require.Equal(t, http.StatusServiceUnavailable, got.status)
		require.NotEmpty(t, got.header.Get("Retry-After"))
		engines.expectNoneJoined()
	})
}

// TestTakeUpOutOfStep guards against a stream that a caller takes up at a node which hasn't
// read that servers of another software version have joined, and that goes on at the only
// version which the node knows.
func TestTakeUpOutOfStep(t *testing.T) {
	t.Parallel()
	// newNode starts a node that knows two servers of v0, and that v0 alone has served.
	newNode := func(t *testing.T) *versionedEngines {
		t.Helper()
		engines := newVersionedEngines(t, 3)
		engines.fixture.store.Remove("servers", "engine-1")
		engines.fixture.testNode = engines.fixture.start("edge-1", engines.fixture.store)
		engines.fixture.log.await("configuration active", `"version":3`)
		engines.fixture.log.await("backend server listed", `"engine-0"`)
		engines.fixture.log.await("backend server listed", `"engine-2"`)
		engines.fixture.node.LearnAlone("engines", "v0")
		return engines
	}
	// join adds a server of v1, which began the stream through another node.
	join := func(engines *versionedEngines) {
		engines.fixture.store.Set("servers", "engine-1", `{"service":"engines","address":"127.0.0.1:1","zone":"lj-a","version":"v1","batchSlots":6,"state":"ready","coldRemainingMs":0,"sequence":1}`)
	}
	takeUpElsewhere := func(engines *versionedEngines) response {
		return engines.fixture.call(http.MethodPost, "/resume/a", takeUp("elsewhere", "id: 0\ndata: piece 0\n\n"))
	}
	expectRefused := func(t *testing.T, engines *versionedEngines) {
		t.Helper()
		got := takeUpElsewhere(engines)
		require.NoError(t, got.err)
		require.Equal(t, http.StatusServiceUnavailable, got.status, got.body)
		require.NotEmpty(t, got.header.Get("Retry-After"))
		require.Zero(t, countRuns(engines.engines))
	}
	t.Run("in step", func(t *testing.T) {
		t.Parallel()
		engines := newNode(t)
		require.Equal(t, http.StatusOK, takeUpElsewhere(engines).status)
	})
	t.Run("the store answers nobody, and all peers are there", func(t *testing.T) {
		t.Parallel()
		engines := newNode(t)
		other := engines.fixture.start("edge-2", engines.fixture.store)
		engines.fixture.log.await("nodes that share limits", `"nodes":2`)
		for _, node := range []*testNode{engines.fixture.testNode, other} {
			node.door.SetFault(storestandin.FaultReset)
			node.log.await("lost the platform store", `"kind":"servers"`)
		}
		require.Equal(t, http.StatusOK, takeUpElsewhere(engines).status)
	})
	t.Run("its watch is silent", func(t *testing.T) {
		t.Parallel()
		engines := newNode(t)
		engines.fixture.door.MuteWatches(true, "servers")
		join(engines)
		expectRefused(t, engines)
	})
	t.Run("the store doesn't answer it", func(t *testing.T) {
		t.Parallel()
		engines := newNode(t)
		engines.fixture.door.MuteWatches(true, "servers")
		engines.fixture.door.SetFault(storestandin.FaultSilent)
		join(engines)
		expectRefused(t, engines)
	})
	t.Run("the server has joined and ended meanwhile", func(t *testing.T) {
		t.Parallel()
		engines := newNode(t)
		engines.fixture.door.MuteWatches(true, "servers")
		join(engines)
		engines.fixture.store.Remove("servers", "engine-1")
		engines.fixture.door.MuteWatches(false, "servers")
		expectRefused(t, engines)
	})
}

// TestRestartedServerJoinsVersions guards against a stream that goes on at a server which
// has started again under its id, with other software, while the store is away.
func TestRestartedServerJoinsVersions(t *testing.T) {
	t.Parallel()
	const calls = 4
	engines := newVersionedEngines(t, 3)
	engines.fixture.store.Remove("servers", "engine-1")
	restarted, old := engines.engines[0], engines.engines[2]
	// Streams begin at the other server, which is in the node's data centre.
	engines.fixture.store.Set("servers", "engine-0", fmt.Sprintf(
		`{"service":"engines","address":%q,"zone":"lj-b","version":"v0","batchSlots":6,"state":"ready","coldRemainingMs":0,"sequence":1}`, engines.fixture.serve(restarted)))
	engines.fixture.testNode = engines.fixture.start("edge-1", engines.fixture.store)
	for _, id := range []string{"engine-0", "engine-2"} {
		engines.fixture.log.await("backend server listed", id)
	}
	engines.fixture.log.await("configuration active", `"version":3`)
	engines.fixture.door.SetFault(storestandin.FaultReset)
	engines.fixture.log.await("lost the platform store", `"kind":"servers"`)
	call := func() string {
		return engines.fixture.call(http.MethodPost, fmt.Sprint("/resume/", engines.fixture.requestCount)).body
	}
	breakStream := func() enginestandin.Behaviour { return enginestandin.BehaviourBreakStream }
	old.SetBehaviourFunc(breakStream)
	require.Equal(t, wholeStream(), call(), "the stream goes on at the other server")
	restarted.SetBehaviourFunc(breakStream)
	require.NotEqual(t, wholeStream(), call())
	restarted.SetWord("news")
	restarted.SetBehaviourFunc(nil)
	for range calls {
		body := call()
		require.False(t, strings.Contains(body, "piece") && strings.Contains(body, "news"), body)
	}
}
