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
	// crashBudget and crashContact are the users' bounds: after crashBudget crashes by
	// one part and crashContact more, at most lateArrivals requests with it are sent.
	crashBudget  = 5
	crashContact = 3 * clock.Second
	lateArrivals = 3
)

// fatalServers are model runners that crash on the prompt part "fatal".
type fatalServers struct {
	crashes atomic.Int64
	fifth   atomic.Int64
	latest  atomic.Int64
	late    atomic.Int64
}

// add lists a runner that crashes.
func (fatalServers *fatalServers) add(fixture *fixture, id string) {
	engine := enginestandin.New(id, true)
	server := httptest.NewServer(engine)
	fixture.t.Cleanup(server.Close)
	engine.SetFatalPart("fatal", func() {
		now := int64(clock.System().Now())
		if fatalServers.crashes.Add(1) == crashBudget {
			fatalServers.fifth.Store(now)
		}
		fatalServers.latest.Store(now)
		if fifth := fatalServers.fifth.Load(); fifth != 0 && now > fifth+int64(crashContact) {
			fatalServers.late.Add(1)
		}
		fixture.store.Remove("servers", id)
		go func() {
			server.CloseClientConnections()
			server.Close()
		}()
	})
	fixture.listServer(id, "engines", strings.TrimPrefix(server.URL, "http://"), "ready")
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
	for _, id := range []string{"chat-0", "chat-1"} {
		fixture.store.Remove("servers", id)
	}
	var runners fatalServers
	const count = 30
	for i := range count {
		runners.add(fixture, fmt.Sprint("runner-", i))
	}
	fixture.testNode = fixture.start("edge-1", fixture.store)
	nodes := []*testNode{fixture.testNode, fixture.start("edge-2", fixture.store)}
	for _, node := range nodes {
		node.log.await("configuration active", `"version":3`)
		for i := range count {
			node.log.await("backend server listed", fmt.Sprintf(`"runner-%d"`, i))
		}
	}
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
