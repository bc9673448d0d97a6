package edge_test

import (
	"io"
	"net/http"
	"runtime"
	"runtime/metrics"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/standin/endlessstandin"
)

// smallMemory is the memory that a request may allocate in all: what a node on a small
// host has for everything.
const smallMemory = 64 << 20

// withEndlessServer starts a node whose servers respond with the head and
// the pattern without end. The head gets the request's id.
func withEndlessServer(t *testing.T, head, pattern string, pause clock.Millis) (*fixture, *endlessstandin.Server) {
	t.Helper()
	fixture := newEmptyFixture(t)
	fixture.memoryMegabytes = smallMemory >> 20
	fixture.store.Set("config", "main", strings.NewReplacer(`"targetLatencyMs":2000`, `"targetLatencyMs":60000`, `"batchSlots":16`, `"batchSlots":500`).Replace(testConfiguration))
	fixture.testNode = fixture.startReady("edge-1")
	server, err := endlessstandin.New(func(request *http.Request) string {
		return strings.Replace(head, "ID", request.Header.Get("X-Request-Id"), 1)
	}, pattern, pause)
	require.NoError(t, err)
	t.Cleanup(server.Close)
	for id, pool := range map[string]string{"app-0": "app", "app-1": "app", "chat-0": "engines", "chat-1": "engines"} {
		fixture.listServer(id, pool, server.Address(), "ready")
	}
	fixture.eventually("servers at the address of the stand-in", func() bool {
		return fixture.node.UsesAddress("app", server.Address()) && fixture.node.UsesAddress("engines", server.Address())
	})
	return fixture, server
}

// eventually waits until the condition holds, and fails after waitLimit.
func (fixture *fixture) eventually(name string, holds func() bool) {
	fixture.t.Helper()
	ctx, cancel := clock.System().WithTimeout(fixture.t.Context(), waitLimit)
	defer cancel()
	for !holds() {
		require.NoError(fixture.t, clock.System().Wait(ctx, clock.Millisecond), name)
	}
}

// expectBounded sends a request that never gets a whole response, and checks that it
// ends, with one of the statuses or 0 for a broken response, in the memory of a small host.
func expectBounded(t *testing.T, fixture *fixture, server *endlessstandin.Server, path string, statuses ...int) {
	t.Helper()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	status := fixture.callAndDiscard(http.MethodGet, path, "400")
	runtime.ReadMemStats(&after)
	require.Contains(t, statuses, status)
	require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(smallMemory))
	awaitValue(fixture.testNode, "connection closed by the node", server.Abandoned())
}

// callAndDiscard sends a request with the deadline in milliseconds and returns the status
// of a whole response, or 0 for a broken one.
func (fixture *fixture) callAndDiscard(method, path, deadline string) int {
	fixture.t.Helper()
	request, err := http.NewRequest(method, "http://"+fixture.node.Addresses()["caller"]+path, nil)
	require.NoError(fixture.t, err)
	request.Host = "desk.example"
	request.Header.Set("X-Request-Id", "endless")
	request.Header.Set("X-Deadline-Ms", deadline)
	request.Header.Set("Authorization", "Token key-of-garage")
	response, err := fixture.client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// TestEndlessResponses checks that a request ends although the server's response goes
// on without end, and that its refusal is passed on at once.
func TestEndlessResponses(t *testing.T) {
	const refusal = "HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nX-Request-Id: ID\r\n\r\n"
	const failure = "HTTP/1.1 500 Failed\r\nX-Response-Stamp: s\r\nX-Request-Id: ID\r\n\r\n"
	const success = "HTTP/1.1 200 OK\r\nX-Response-Stamp: s\r\nX-Request-Id: ID\r\n\r\n"
	for name, pause := range map[string]clock.Millis{"fast": 0, "a byte now and then": 2} {
		t.Run(name, func(t *testing.T) {
			t.Run("after a refusal", func(t *testing.T) {
				fixture, server := withEndlessServer(t, refusal, "no", pause)
				expectBounded(t, fixture, server, "/look/a", http.StatusServiceUnavailable)
				fixture.log.await(`"message":"request"`, `"attempts":2`)
			})
			t.Run("body of a failure", func(t *testing.T) {
				fixture, server := withEndlessServer(t, failure, "no", pause)
				expectBounded(t, fixture, server, "/look/a", http.StatusGatewayTimeout, http.StatusBadGateway, 0)
			})
			t.Run("body of a success", func(t *testing.T) {
				fixture, server := withEndlessServer(t, success, "ok", pause)
				expectBounded(t, fixture, server, "/look/a", http.StatusGatewayTimeout, http.StatusBadGateway, 0)
			})
		})
	}
}

// liveHeap returns the bytes that a garbage collection leaves.
func liveHeap() uint64 {
	runtime.GC()
	live := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	metrics.Read(live)
	return live[0].Value.Uint64()
}

// TestUnendedResponsesTogether guards against a node that runs out of memory as many
// responses at once each hold what one may hold.
func TestUnendedResponsesTogether(t *testing.T) {
	const requests, partBytes = 400, 190 << 10
	// expectLiveHeap sends requests whose responses never end, and checks how much they
	// hold at any moment.
	expectLiveHeap := func(t *testing.T, fixture *fixture, method, path string) {
		t.Helper()
		before := liveHeap()
		ended := make(chan int, requests)
		for range requests {
			go func() { ended <- fixture.callAndDiscard(method, path, "4000") }()
		}
		highest := uint64(0)
		for left := requests; left > 0; {
			highest = max(highest, liveHeap())
			for len(ended) > 0 {
				require.NotEqual(t, http.StatusOK, <-ended)
				left--
			}
		}
		require.Less(t, highest, before+smallMemory)
	}
	t.Run("bodies", func(t *testing.T) {
		fixture, server := withEndlessServer(t, "HTTP/1.1 200 OK\r\nX-Response-Stamp: s\r\nX-Request-Id: ID\r\n\r\n", "ok", 0)
		server.SetStall(partBytes)
		expectLiveHeap(t, fixture, http.MethodGet, "/look/a")
	})
	t.Run("events", func(t *testing.T) {
		fixture, server := withEndlessServer(t, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Response-Stamp: s\r\nX-Request-Id: ID\r\n\r\n", "data: x\n", 0)
		server.SetStall(partBytes)
		expectLiveHeap(t, fixture, http.MethodPost, "/chat/a")
	})
}

// TestCallerReadsNothing guards against a request that lasts for as long as its caller
// leaves a long response unread.
func TestCallerReadsNothing(t *testing.T) {
	fixture, _ := withEndlessServer(t, "HTTP/1.1 200 OK\r\nX-Response-Stamp: s\r\nX-Request-Id: ID\r\n\r\n", "ok", 0)
	connection := fixture.connect()
	connection.write("GET /look/a HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: unread\r\nAuthorization: Token key-of-garage\r\n\r\n")
	fixture.log.await(`"message":"request"`, "unread")
}

// TestChunkedBodiesCount checks that the memory for request bodies is bounded although
// their callers announce no length.
func TestChunkedBodiesCount(t *testing.T) {
	fixture := newFixture(t)
	before := fixture.node.BodyBytes()
	reader, writer := io.Pipe()
	ended := make(chan response, 1)
	go func() {
		ended <- fixture.call(http.MethodPost, "/look/a", func(request *http.Request) {
			request.Body, request.ContentLength = reader, -1
		})
	}()
	const size = 40_000
	_, err := writer.Write([]byte(strings.Repeat("x", size)))
	require.NoError(t, err)
	fixture.eventually("count of the body's bytes", func() bool { return fixture.node.BodyBytes() >= before+size/2 })
	require.NoError(t, writer.Close())
	require.Equal(t, http.StatusOK, awaitValue(fixture.testNode, "response", ended).status)
	require.Equal(t, before, fixture.node.BodyBytes())
}
