package edge_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/standin/storestandin"
)

// TestRemovedDuringOutage guards against a node that can't reach the store for a while and
// then keeps a server that has left, as if its entry had only expired in an outage of the
// store.
func TestRemovedDuringOutage(t *testing.T) {
	t.Parallel()
	// start starts two nodes that keep expired entries for longer than the test lasts.
	start := func(t *testing.T) (*fixture, []*testNode) {
		t.Helper()
		fixture := newEmptyFixture(t)
		fixture.drainMillis = int(10 * clock.Minute)
		nodes := []*testNode{fixture.startReady("edge-1"), fixture.startReady("edge-2")}
		fixture.testNode = nodes[0]
		for _, node := range nodes {
			node.log.await("nodes that share limits", `"nodes":2`)
		}
		return fixture, nodes
	}
	// loseStore keeps the nodes from the store while app-0 is removed from the list.
	loseStore := func(fixture *fixture, nodes ...*testNode) {
		for _, node := range nodes {
			node.door.SetFault(storestandin.FaultReset)
			node.log.await("lost the platform store", `"kind":"servers"`)
		}
		fixture.store.Remove("servers", "app-0")
		for _, node := range nodes {
			node.door.SetFault(storestandin.FaultNone)
			node.log.await("regained the platform store", `"kind":"servers"`)
		}
	}
	t.Run("only this node lost the store", func(t *testing.T) {
		t.Parallel()
		fixture, nodes := start(t)
		loseStore(fixture, nodes[1])
		nodes[1].log.await("backend server gone from the list", "app-0")
	})
	t.Run("all nodes lost it", func(t *testing.T) {
		t.Parallel()
		fixture, nodes := start(t)
		loseStore(fixture, nodes...)
		fixture.listServer("app-2", "app", "127.0.0.1:1", "ready")
		for _, node := range nodes {
			node.log.await("backend server listed", "app-2")
			require.False(t, node.log.contains("backend server gone from the list"))
		}
	})
	t.Run("all nodes lost it, and the others notice later", func(t *testing.T) {
		t.Parallel()
		fixture, nodes := start(t)
		nodes[1].door.SetFault(storestandin.FaultReset)
		nodes[1].log.await("lost the platform store", `"kind":"servers"`)
		sent := nodes[0].node.Bulletins()
		fixture.eventually("bulletins of a node that has not noticed", func() bool { return nodes[0].node.Bulletins() > sent+2 })
		loseStore(fixture, nodes...)
		fixture.listServer("app-2", "app", "127.0.0.1:1", "ready")
		for _, node := range nodes {
			node.log.await("backend server listed", "app-2")
			require.False(t, node.log.contains("backend server gone from the list"))
		}
	})
}
