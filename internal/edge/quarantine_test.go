package edge_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/standin/enginestandin"
)

const (
	// partCrashes, requestCrashes and crashContact are the users' bounds: after so many
	// crashes by one part of prompts, or by one request, and crashContact more, at most
	// lateArrivals such requests are sent.
	partCrashes    = 5
	requestCrashes = 3
	crashContact   = 3 * clock.Second
	lateArrivals   = 3
)

// fatalServers are servers that crash on the prompt part "fatal", or on a request.
type fatalServers struct {
	// budget is the number of crashes from which arrivals count as late.
	budget  int64
	crashes atomic.Int64
	known   atomic.Int64
	latest  atomic.Int64
	late    atomic.Int64
}

// add lists a server of the pool that crashes on the target, or on the part if that is
// empty.
func (fatalServers *fatalServers) add(fixture *fixture, id, pool, target string) {
	engine := enginestandin.New(id, pool == "engines")
	server := httptest.NewServer(engine)
	fixture.t.Cleanup(server.Close)
	crash := func() {
		now := int64(clock.System().Now())
		if fatalServers.crashes.Add(1) == fatalServers.budget {
			fatalServers.known.Store(now)
		}
		fatalServers.latest.Store(now)
		if known := fatalServers.known.Load(); known != 0 && now > known+int64(crashContact) {
			fatalServers.late.Add(1)
		}
		fixture.store.Remove("servers", id)
		go func() {
			server.CloseClientConnections()
			server.Close()
		}()
	}
	if target == "" {
		engine.SetFatalPart("fatal", crash)
	} else {
		engine.SetFatalTarget(target, crash)
	}
	fixture.listServer(id, pool, strings.TrimPrefix(server.URL, "http://"), "ready")
}

// startNodes replaces the servers of the fixture by such servers and starts two nodes.
func (fatalServers *fatalServers) startNodes(fixture *fixture, count int, pool, target string) []*testNode {
	for _, id := range []string{"chat-0", "chat-1", "app-0", "app-1"} {
		fixture.store.Remove("servers", id)
	}
	for i := range count {
		fatalServers.add(fixture, fmt.Sprint("server-", i), pool, target)
	}
	fixture.testNode = fixture.start("edge-1", fixture.store)
	nodes := []*testNode{fixture.testNode, fixture.start("edge-2", fixture.store)}
	for _, node := range nodes {
		node.log.await("configuration active", `"version":3`)
		for i := range count {
			node.log.await("backend server listed", fmt.Sprintf(`"server-%d"`, i))
		}
	}
	return nodes
}

func withParts(parts string) func(*http.Request) {
	return func(request *http.Request) {
		request.Header.Set("X-Prompt-Prefix", parts)
		request.Header.Set("X-Token-Counts", "50,10")
	}
}

// TestPromptPartCrashesRunners guards against requests with one prompt part that crash
// one runner after the other (incident BUDGET).
func TestPromptPartCrashesRunners(t *testing.T) {
	t.Parallel()
	fixture := newEmptyFixture(t)
	runners := fatalServers{budget: partCrashes}
	nodes := runners.startNodes(fixture, 30, "engines", "")
	served, asked := 0, 0
	for i := 0; runners.late.Load() <= lateArrivals && !runners.isOver(); i++ {
		fixture.nextCall()
		fixture.callAt(nodes[i%2], http.MethodPost, "/chat/a", withParts(fmt.Sprintf("first:20,session-%d:10,fatal:10,last-%d:10", i%3, i)))
		got := fixture.callAt(nodes[(i/2)%2], http.MethodPost, "/chat/b", withParts(fmt.Sprintf("first:20,session-%d:10,last-%d:10", i%3, i)))
		if runners.crashes.Load() > 0 {
			asked++
			if got.err == nil && got.status == http.StatusOK {
				served++
			}
		}
	}
	require.LessOrEqual(t, runners.late.Load(), int64(lateArrivals))
	require.GreaterOrEqual(t, 2*served, asked, "requests without the part")
}

// isOver reports whether no runner has crashed for twice the contact time.
func (fatalServers *fatalServers) isOver() bool {
	latest := fatalServers.latest.Load()
	return latest != 0 && clock.System().Now() > clock.Millis(latest)+2*crashContact
}

// TestRequestCrashesServers guards against a request that comes again and crashes one
// server after the other (incident BUDGET).
func TestRequestCrashesServers(t *testing.T) {
	t.Parallel()
	// expectKept sends the request for the target again and again, beside requests for the
	// path of sound ones, and checks the users' bound and that the sound ones are served.
	expectKept := func(t *testing.T, pool, method, target, sound string) {
		t.Helper()
		t.Parallel()
		fixture := newEmptyFixture(t)
		servers := fatalServers{budget: requestCrashes}
		nodes := servers.startNodes(fixture, 40, pool, target)
		served, asked := 0, 0
		for i := 0; servers.late.Load() <= lateArrivals && !servers.isOver(); i++ {
			fixture.nextCall()
			fixture.callAt(nodes[i%2], method, target)
			got := fixture.callAt(nodes[(i/2)%2], method, fmt.Sprint(sound, i))
			if servers.crashes.Load() > 0 {
				asked++
				if got.err == nil && got.status == http.StatusOK {
					served++
				}
			}
		}
		require.LessOrEqual(t, servers.late.Load(), int64(lateArrivals))
		require.GreaterOrEqual(t, 2*served, asked, "sound requests")
	}
	t.Run("it may be repeated", func(t *testing.T) { expectKept(t, "app", http.MethodGet, "/look/fatal?x=1", "/look/") })
	t.Run("it must not be repeated", func(t *testing.T) { expectKept(t, "app", http.MethodPost, "/book/fatal", "/book/") })
	t.Run("it is a stream without a prompt", func(t *testing.T) { expectKept(t, "engines", http.MethodPost, "/chat/fatal", "/chat/") })
	t.Run("it is a stream that may be resumed", func(t *testing.T) { expectKept(t, "engines", http.MethodPost, "/resume/fatal", "/resume/") })
}
