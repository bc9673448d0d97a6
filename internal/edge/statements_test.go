package edge_test

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/standin/enginestandin"
)

// lookups sends lookups and returns how many of them ran at the application server.
func (fixture *fixture) lookups(count, server int) int {
	fixture.t.Helper()
	before := len(fixture.apps[server].Executed())
	for i := range count {
		got := fixture.call(http.MethodGet, fmt.Sprint("/look/", i))
		require.NoError(fixture.t, got.err)
		require.Equal(fixture.t, http.StatusOK, got.status)
	}
	return len(fixture.apps[server].Executed()) - before
}

// TestLeavingServerGetsRequests guards against requests to a server that says in its
// answers that it leaves.
func TestLeavingServerGetsRequests(t *testing.T) {
	const calls = 30
	fixture := newFixture(t)
	fixture.apps[0].SetSaysLeaving(true)
	require.LessOrEqual(t, fixture.lookups(calls, 0), 1)
	t.Run("its entry changes", func(t *testing.T) {
		fixture.store.Set("servers", "app-0", `{"service":"app","address":"127.0.0.1:1","zone":"lj-a","version":"v1","batchSlots":6,"state":"odd"}`)
		fixture.log.await("backend server gone from the list", "app-0")
		fixture.listServer("app-0", "app", fixture.serve(fixture.apps[0]), "ready")
		fixture.log.awaitCount(`"backendServer":"app-0","pool":"app"`, 2)
		require.Zero(t, fixture.lookups(calls, 0))
	})
	t.Run("it says it no more", func(t *testing.T) {
		fixture.apps[0].SetSaysLeaving(false)
		require.Zero(t, fixture.lookups(calls, 0))
	})
}

// TestRefusedUntilGetsRequests guards against requests to a server that has asked for quiet
// when it turned one away.
func TestRefusedUntilGetsRequests(t *testing.T) {
	const calls = 20
	refuse := func() enginestandin.Behaviour { return enginestandin.BehaviourRefuse }
	// arrivals returns the number of requests that arrived at the server so far.
	countArrivals := func(engine *enginestandin.Engine) (count int) {
		for {
			select {
			case <-engine.Arrived():
				count++
			default:
				return count
			}
		}
	}
	// expectArrivals sends lookups while the first server asks for quiet for so many
	// seconds, and checks that at most so many reach it and that all are served.
	expectArrivals := func(t *testing.T, wait string, atMost, atLeast int) {
		t.Helper()
		fixture := newFixture(t)
		fixture.apps[0].SetRefusalWait(wait)
		fixture.apps[0].SetBehaviourFunc(refuse)
		fixture.lookups(calls, 0)
		arrived := countArrivals(fixture.apps[0])
		require.LessOrEqual(t, arrived, atMost)
		require.GreaterOrEqual(t, arrived, atLeast)
	}
	t.Run("a time in seconds", func(t *testing.T) { expectArrivals(t, "60", 1, 1) })
	t.Run("a fraction", func(t *testing.T) { expectArrivals(t, "59.5", 1, 1) })
	t.Run("a time without end", func(t *testing.T) { expectArrivals(t, "1e300", 1, 1) })
	for _, odd := range []string{"", "-5", "NaN", "1e400", "Sat, 05 Dec 2026 09:00:00 GMT"} {
		t.Run("no time: "+odd, func(t *testing.T) { expectArrivals(t, odd, calls, 2) })
	}
	t.Run("all servers ask for quiet", func(t *testing.T) {
		fixture := newFixture(t)
		for i, wait := range []string{"60", "30"} {
			fixture.apps[i].SetRefusalWait(wait)
			fixture.apps[i].SetBehaviourFunc(refuse)
		}
		require.Equal(t, http.StatusServiceUnavailable, fixture.call(http.MethodGet, "/look/a").status)
		for range calls {
			got := fixture.call(http.MethodGet, "/look/b")
			require.Equal(t, http.StatusServiceUnavailable, got.status)
			wait, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
			require.NoError(t, err)
			require.InDelta(t, 25, wait, 5)
		}
		require.LessOrEqual(t, countArrivals(fixture.apps[0]), 1)
		require.LessOrEqual(t, countArrivals(fixture.apps[1]), 1)
	})
}
