package edge_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/edge"
	"sapphirehead/internal/standin/storestandin"
)

// setConfiguration writes the configuration at the version.
func (fixture *fixture) setConfiguration(version int) {
	fixture.store.Set("config", "main", strings.Replace(testConfiguration, `"version":3`, fmt.Sprintf(`"version":%d`, version), 1))
}

// countTo makes unrelated changes until the store is at the revision.
func (fixture *fixture) countTo(revision int64) {
	for fixture.store.Revision() < revision {
		fixture.store.Set("unrelated", "counter", "{}")
	}
}

// loseStore cuts the node off the store and waits until it has noticed.
func (testNode *testNode) loseStore() {
	testNode.door.SetFault(storestandin.FaultBusy)
	testNode.log.await("lost the platform store", `"kind":"config"`)
	testNode.log.await("lost the platform store", `"kind":"servers"`)
}

// TestRestoredStoreHidesChanges guards against revisions that are compared with those
// of an earlier era of the store (incident CONFIG, DRAIN).
func TestRestoredStoreHidesChanges(t *testing.T) {
	t.Parallel()
	// restore goes back to the state before 100 revisions that the node has read, makes
	// the change, and lets the node read again.
	restore := func(t *testing.T, fixture *fixture, counted int64, change func()) {
		t.Helper()
		older := fixture.store.Copy()
		fixture.countTo(fixture.store.Revision() + 100)
		fixture.setConfiguration(4)
		fixture.listServer("app-1", "app", fixture.serve(fixture.apps[1]), "ready")
		read := fixture.store.Revision()
		fixture.log.await("configuration active", `"version":4`)
		fixture.loseStore()
		fixture.store.Restore(older)
		change()
		fixture.countTo(read + counted)
		fixture.door.SetFault(storestandin.FaultNone)
	}
	for name, counted := range map[string]int64{"lower revisions": -10, "revisions counted past": 10} {
		t.Run("a configuration, "+name, func(t *testing.T) {
			t.Parallel()
			fixture := newFixture(t)
			restore(t, fixture, counted, func() { fixture.setConfiguration(5) })
			fixture.log.await("configuration active", `"version":5`)
		})
		t.Run("a server that leaves, "+name, func(t *testing.T) {
			t.Parallel()
			fixture := newFixture(t)
			restore(t, fixture, counted, func() { fixture.listServer("app-1", "app", "127.0.0.1:1", "draining") })
			fixture.log.await("backend server leaves", `"app-1"`)
		})
	}
}

// TestNewNodeBelievesRestoredStore guards against a node that starts after a restore and
// denies a route that its peers know (incident CONFIG).
func TestNewNodeBelievesRestoredStore(t *testing.T) {
	t.Parallel()
	fixture := newFixture(t)
	older := fixture.store.Copy()
	fixture.store.Set("config", "main", strings.NewReplacer(`"version":3`, `"version":4`, "/look/open/", "/added/").Replace(testConfiguration))
	fixture.log.await("configuration active", `"version":4`)
	fixture.loseStore()
	fixture.store.Restore(older)
	started := fixture.startReady("edge-2")
	started.log.await("a peer node has a newer configuration")
	require.Equal(t, http.StatusServiceUnavailable, fixture.callAt(started, http.MethodPost, "/added/a").status)
	fixture.door.SetFault(storestandin.FaultNone)
}

// TestRelistsInALoop guards against a store that is called without a pause because it
// refuses each watch, as one whose era goes back.
func TestRelistsInALoop(t *testing.T) {
	waits := edge.RelistWaits(8)
	require.Zero(t, waits[0])
	for i := range waits[1:] {
		require.Positive(t, waits[i+1])
		require.GreaterOrEqual(t, waits[i+1], waits[i])
	}
	require.Equal(t, 400*clock.Millisecond, waits[7])
}

// TestNodeStaysUnlisted guards against a node that others can't find after the store
// lost its object.
func TestNodeStaysUnlisted(t *testing.T) {
	t.Parallel()
	fixture := newEmptyFixture(t)
	older := fixture.store.Copy()
	fixture.testNode = fixture.startReady("edge-1")
	fixture.store.Restore(older)
	fixture.log.awaitCount("object of this node written", 2)
	require.NotEmpty(t, fixture.store.Spec("sapphire-nodes", "edge-1"))
}
