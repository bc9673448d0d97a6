package node_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/node"
)

// TestCadence checks for each size of a deployment that a node counts as live although
// a bulletin is lost, also while it has no requests, and that a node receives a bounded
// number of datagrams.
func TestCadence(t *testing.T) {
	const maxReceivedPerSecond = 260
	for _, nodes := range []int{1, 2, 7, 30, 68, 100, 295, 380, 1000} {
		idle, busy := node.BulletinInterval(nodes, true), node.BulletinInterval(nodes, false)
		require.GreaterOrEqual(t, node.LiveAge(nodes), 2*idle, "%d nodes", nodes)
		require.GreaterOrEqual(t, idle, busy, "%d nodes", nodes)
		require.LessOrEqual(t, int64(nodes)*int64(clock.Second)/int64(busy), int64(maxReceivedPerSecond), "%d nodes", nodes)
	}
}

// TestIdlePeerIsLive checks that a peer without requests stays live in a view of a
// large deployment.
func TestIdlePeerIsLive(t *testing.T) {
	const nodes = 295
	peers := node.NewPeers("edge-0")
	for i := range nodes - 1 {
		peers.Receive(newBulletin(hostName(i), 7, 1, 0, 0), 0)
	}
	peers.Publish()
	require.Equal(t, nodes, peers.View().LiveCount(2*node.BulletinInterval(nodes, true)))
	require.Equal(t, 1, peers.View().LiveCount(node.LiveAge(nodes)+1))
}
