package edge_test

import (
	"net/http"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/standin/enginestandin"
)

const (
	// limitContact, limitWindow, limitFactor and limitSlack are the users' bounds: from
	// limitContact after a server named its limit, it gets in limitWindow at most
	// limitFactor times what that allows, and limitSlack requests.
	limitContact = 3 * clock.Second
	limitWindow  = 4 * clock.Second
	limitFactor  = 1.5
	limitSlack   = 5
	// namedLimit is the limit of each server of the tests in requests per second.
	namedLimit = 5
	// maxTries is more than the requests that two servers with a limit of 0.5 take.
	maxTries = 50
)

// arrivals collects the times at which requests arrive at each server.
type arrivals struct {
	mutex    sync.Mutex
	byServer map[string][]clock.Millis
}

// watch records the arrivals at a server that names its limit.
func (arrivals *arrivals) watch(id string, engine *enginestandin.Engine) {
	engine.SetNamedLimit("5.0")
	engine.SetBehaviourFunc(func() enginestandin.Behaviour {
		arrivals.mutex.Lock()
		defer arrivals.mutex.Unlock()
		arrivals.byServer[id] = append(arrivals.byServer[id], clock.System().Now())
		return enginestandin.BehaviourServe
	})
}

// most returns the most arrivals at one server in limitWindow after the time, and all.
func (arrivals *arrivals) most(after clock.Millis) (most, total int) {
	arrivals.mutex.Lock()
	defer arrivals.mutex.Unlock()
	for _, times := range arrivals.byServer {
		first := 0
		for i, at := range times {
			for times[first] < after || times[first] <= at-limitWindow {
				if first == i {
					break
				}
				first++
			}
			if at >= after {
				most, total = max(most, i-first+1), total+1
			}
		}
	}
	return most, total
}

// TestServerGetsMoreThanItsLimit guards against nodes that together send more requests
// to a server than it has asked for (incident LIMIT).
func TestServerGetsMoreThanItsLimit(t *testing.T) {
	t.Parallel()
	expectLimited := func(t *testing.T, path string, servers func(*fixture) []*enginestandin.Engine) {
		t.Helper()
		t.Parallel()
		fixture := newFixture(t)
		nodes := []*testNode{fixture.testNode, fixture.startReady("edge-2")}
		arrivals := &arrivals{byServer: map[string][]clock.Millis{}}
		for i, engine := range servers(fixture) {
			arrivals.watch(string(rune('a'+i)), engine)
		}
		start := clock.System().Now()
		for i := 0; clock.System().Now() < start+limitContact+2*limitWindow; i++ {
			got := fixture.callAt(nodes[i%2], http.MethodPost, path)
			require.NoError(t, got.err)
			if got.status == http.StatusServiceUnavailable {
				require.NotEmpty(t, got.header.Get("Retry-After"))
			}
		}
		most, total := arrivals.most(start + limitContact)
		require.LessOrEqual(t, most, int(limitFactor*namedLimit*float64(limitWindow/clock.Second))+limitSlack)
		// Both servers together take at least half of what they named.
		require.GreaterOrEqual(t, total, int(namedLimit*float64(2*limitWindow/clock.Second)))
	}
	t.Run("model runners", func(t *testing.T) {
		expectLimited(t, "/chat/a", func(fixture *fixture) []*enginestandin.Engine { return fixture.chats })
	})
	t.Run("application servers", func(t *testing.T) {
		expectLimited(t, "/look/a", func(fixture *fixture) []*enginestandin.Engine { return fixture.apps })
	})
	t.Run("a server that names no limit any more gets all requests again", func(t *testing.T) {
		fixture := newFixture(t)
		for _, engine := range fixture.apps {
			engine.SetNamedLimit("0.5")
		}
		refused := false
		for range maxTries {
			refused = fixture.call(http.MethodPost, "/look/a").status == http.StatusServiceUnavailable
			if refused {
				break
			}
		}
		require.True(t, refused)
		for _, engine := range fixture.apps {
			engine.SetNamedLimit("")
		}
		served := 0
		for start := clock.System().Now(); served < maxTries && clock.System().Now() < start+waitLimit; served++ {
			if fixture.call(http.MethodPost, "/look/a").status != http.StatusOK {
				served = 0
			}
		}
		require.Equal(t, maxTries, served)
	})
}
