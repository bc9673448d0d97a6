package edge_test

import (
	"io"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/standin/endlessstandin"
)

// smallMemory is the memory that a request may allocate in all: what a node on a small
// host has for everything.
const smallMemory = 64 << 20

// withEndlessServer starts a node whose application servers respond with the head and
// the pattern without end. The head gets the request's id.
func withEndlessServer(t *testing.T, head, pattern string, pause clock.Millis) (*fixture, *endlessstandin.Server) {
	t.Helper()
	fixture := newFixture(t)
	server, err := endlessstandin.New(func(request *http.Request) string {
		return strings.Replace(head, "ID", request.Header.Get("X-Request-Id"), 1)
	}, pattern, pause)
	require.NoError(t, err)
	t.Cleanup(server.Close)
	for _, id := range []string{"app-0", "app-1"} {
		fixture.listServer(id, "app", server.Address(), "ready")
	}
	fixture.eventually("servers at the address of the stand-in", func() bool {
		return fixture.node.UsesAddress("app", server.Address())
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
	status := fixture.callAndDiscard(path)
	runtime.ReadMemStats(&after)
	require.Contains(t, statuses, status)
	require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(smallMemory))
	awaitValue(fixture.testNode, "connection closed by the node", server.Abandoned())
}

// callAndDiscard sends a request with a short deadline and returns the status of a
// whole response, or 0 for a broken one.
func (fixture *fixture) callAndDiscard(path string) int {
	fixture.t.Helper()
	request, err := http.NewRequest(http.MethodGet, "http://"+fixture.node.Addresses()["caller"]+path, nil)
	require.NoError(fixture.t, err)
	request.Host = "desk.example"
	request.Header.Set("X-Request-Id", "endless")
	request.Header.Set("X-Deadline-Ms", "400")
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
