package edge_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
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
