package nodeslope_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/node/nodepb"
	"sapphirehead/internal/pool"
	"sapphirehead/internal/route"
	"sapphirehead/internal/slopes/nodeslope"
	"sapphirehead/internal/table"
)

// Required limits of propagation.
const (
	activeLimit  = 4 * clock.Second
	leavingLimit = 2 * clock.Second
	// settleLimit exceeds the time until a silent member is detected.
	settleLimit = 40 * clock.Second
)

// fixture is a cluster in virtual time with its store.
type fixture struct {
	clock   *clock.Clock
	store   *nodeslope.Store
	memory  *nodeslope.Memory
	cluster *nodeslope.Cluster
	edits   int
}

// runWithCluster runs a subtest with nodes in three data centres.
func runWithCluster(t *testing.T, name string, nodes int, test func(t *testing.T, fixture *fixture)) {
	t.Helper()
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			runtimeClock := clock.Runtime()
			store, memory := nodeslope.NewStore(), nodeslope.NewMemory(runtimeClock)
			fixture := &fixture{clock: runtimeClock, store: store, memory: memory, cluster: nodeslope.NewCluster(runtimeClock, memory.Join, store)}
			defer fixture.cluster.Close()
			for i := range nodes {
				_, err := fixture.cluster.Start([]string{"lj-a", "lj-b", "lj-c"}[i%3])
				require.NoError(t, err)
				fixture.wait(10 * clock.Millisecond)
			}
			expectWithin(t, fixture, settleLimit, "all nodes have all members", func(node *nodeslope.Node) bool {
				return node.IsReady() && len(node.Members().Live()) == nodes-1
			})
			test(t, fixture)
		})
	})
}

func (fixture *fixture) wait(delay clock.Millis) { fixture.clock.Wait(context.Background(), delay) }

func (fixture *fixture) node(index int) *nodeslope.Node { return fixture.cluster.Nodes()[index] }

// edit commits an edit through the node and returns its version.
func (fixture *fixture) edit(t *testing.T, committer *nodeslope.Node) int64 {
	t.Helper()
	fixture.edits++
	edit := table.NewEdit(fmt.Sprint("edit-", fixture.edits))
	if fixture.edits == 1 {
		edit.SetPool(pool.New("booking", pool.KindService), 0)
	}
	name := fmt.Sprint("route-", fixture.edits)
	edit.SetRoute(route.New(name, route.KindService, "booking").WithPath("/"+name), 0)
	committed, err := committer.Tables().Commit(context.Background(), edit)
	require.NoError(t, err)
	return committed.Version()
}

func expectWithin(t *testing.T, fixture *fixture, limit clock.Millis, condition string, holds func(node *nodeslope.Node) bool) {
	t.Helper()
	elapsed, ok := fixture.cluster.Await(limit, holds)
	require.True(t, ok, "%s: not within %d ms", condition, elapsed)
}

func expectActive(t *testing.T, fixture *fixture, version int64) {
	t.Helper()
	expectWithin(t, fixture, activeLimit, "edit active", func(node *nodeslope.Node) bool { return node.Active().Version() >= version })
}

func TestTables(t *testing.T) {
	runWithCluster(t, "an edit is active everywhere within 4 s", 12, func(t *testing.T, fixture *fixture) {
		for i := range 12 {
			expectActive(t, fixture, fixture.edit(t, fixture.node(i)))
		}
	})
	runWithCluster(t, "two nodes of each data centre watch", 12, func(t *testing.T, fixture *fixture) {
		fixture.wait(30 * clock.Second)
		require.EqualValues(t, 6, fixture.store.Watches())
	})
	runWithCluster(t, "the committing node dies at once: the watchers spread the edit", 12, func(t *testing.T, fixture *fixture) {
		committer := fixture.node(7)
		version := fixture.edit(t, committer)
		fixture.cluster.Remove(committer, false)
		expectActive(t, fixture, version)
	})
	runWithCluster(t, "newer tables are written back to a store restored from a backup", 12, func(t *testing.T, fixture *fixture) {
		fixture.edit(t, fixture.node(0))
		older := fixture.store.Object()
		version := fixture.edit(t, fixture.node(0))
		expectActive(t, fixture, version)
		fixture.store.Restore(older)
		fixture.wait(activeLimit)
		stored, err := fixture.node(0).Tables().Stored(t.Context())
		require.NoError(t, err)
		require.Equal(t, version, stored.Version())
	})
	runWithCluster(t, "a node that starts in an outage fetches the tables from a peer", 12, func(t *testing.T, fixture *fixture) {
		version := fixture.edit(t, fixture.node(0))
		fixture.wait(activeLimit)
		fixture.store.SetDown(true)
		_, err := fixture.cluster.Start("lj-b")
		require.NoError(t, err)
		expectActive(t, fixture, version)
		fixture.wait(10 * clock.Second)
		expectWithin(t, fixture, 0, "ready in an outage", func(node *nodeslope.Node) bool { return node.IsReady() })
	})
	runWithCluster(t, "a node is not ready while a peer has newer tables", 12, func(t *testing.T, fixture *fixture) {
		older := fixture.store.Object()
		version := fixture.edit(t, fixture.node(0))
		expectActive(t, fixture, version)
		fixture.store.Restore(older)
		fixture.store.SetDown(true)
		fixture.memory.Partition(func(_, _ string, call *nodepb.Call) bool { return call.HasTablesQuery() })
		started, err := fixture.cluster.Start("lj-b")
		require.NoError(t, err)
		fixture.wait(15 * clock.Second)
		require.False(t, started.IsReady())
		fixture.memory.Partition(func(string, string, *nodepb.Call) bool { return false })
		expectWithin(t, fixture, settleLimit, "ready", func(node *nodeslope.Node) bool { return node.IsReady() })
		require.Equal(t, version, started.Active().Version())
	})
}

func TestLeaving(t *testing.T) {
	expectLeaving := func(t *testing.T, fixture *fixture, servers ...string) {
		t.Helper()
		expectWithin(t, fixture, leavingLimit, "leaving servers received", func(node *nodeslope.Node) bool {
			for _, server := range servers {
				if !node.HasLeaving(server) {
					return false
				}
			}
			return true
		})
	}
	runWithCluster(t, "one server", 12, func(t *testing.T, fixture *fixture) {
		fixture.node(3).AnnounceLeaving("runner-1")
		expectLeaving(t, fixture, "runner-1")
	})
	runWithCluster(t, "all servers of a data centre", 12, func(t *testing.T, fixture *fixture) {
		var servers []string
		for i := range 740 {
			servers = append(servers, fmt.Sprint("runner-lhr-a-", i))
			fixture.node(i % 12).AnnounceLeaving(servers[i])
		}
		expectLeaving(t, fixture, servers...)
	})
	runWithCluster(t, "all servers of a data centre announced by one node, pushes lost", 12, func(t *testing.T, fixture *fixture) {
		fixture.memory.Partition(func(_, _ string, call *nodepb.Call) bool { return call.GetHeartbeat().GetPush() })
		var servers []string
		for i := range 740 {
			servers = append(servers, fmt.Sprint("runner-lhr-a-", i))
			fixture.node(0).AnnounceLeaving(servers[i])
		}
		fixture.wait(10 * clock.Second)
		expectLeaving(t, fixture, servers...)
	})
	runWithCluster(t, "a third of the nodes dies at the same moment", 12, func(t *testing.T, fixture *fixture) {
		for range 4 {
			fixture.cluster.Remove(fixture.node(0), false)
		}
		fixture.node(0).AnnounceLeaving("runner-2")
		expectLeaving(t, fixture, "runner-2")
	})
}

func TestMembership(t *testing.T) {
	expectLive := func(t *testing.T, fixture *fixture, limit clock.Millis) {
		t.Helper()
		expectWithin(t, fixture, limit, "live members", func(node *nodeslope.Node) bool {
			return len(node.Members().Live()) == len(fixture.cluster.Nodes())-1
		})
	}
	runWithCluster(t, "an announced stop propagates at once", 20, func(t *testing.T, fixture *fixture) {
		fixture.cluster.Remove(fixture.node(5), true)
		expectLive(t, fixture, leavingLimit)
	})
	runWithCluster(t, "a start propagates at once", 20, func(t *testing.T, fixture *fixture) {
		_, err := fixture.cluster.Start("lj-a")
		require.NoError(t, err)
		fixture.wait(clock.Second)
		expectLive(t, fixture, leavingLimit)
	})
	runWithCluster(t, "the failure of a data centre is detected", 12, func(t *testing.T, fixture *fixture) {
		for _, node := range append([]*nodeslope.Node{}, fixture.cluster.Nodes()...) {
			if node.DataCentre() == "lj-c" {
				fixture.cluster.Remove(node, false)
			}
		}
		expectLive(t, fixture, settleLimit)
	})
	runWithCluster(t, "partitioned data centres merge again", 12, func(t *testing.T, fixture *fixture) {
		site := map[string]string{}
		for _, node := range fixture.cluster.Nodes() {
			site[node.Address()] = node.DataCentre()
		}
		fixture.memory.Partition(func(from, to string, _ *nodepb.Call) bool { return (site[from] == "lj-a") != (site[to] == "lj-a") })
		expectWithin(t, fixture, settleLimit, "parted", func(node *nodeslope.Node) bool {
			live := len(node.Members().Live())
			return live == 3 || live == 7
		})
		fixture.wait(5 * clock.Minute)
		fixture.memory.Partition(func(string, string, *nodepb.Call) bool { return false })
		expectLive(t, fixture, 2*settleLimit)
	})
	runWithCluster(t, "an isolated node is not ready", 2, func(t *testing.T, fixture *fixture) {
		fixture.store.SetDown(true)
		fixture.cluster.Remove(fixture.node(1), false)
		fixture.wait(6 * clock.Second)
		require.False(t, fixture.node(0).IsReady())
		fixture.store.SetDown(false)
		fixture.wait(3 * clock.Second)
		require.True(t, fixture.node(0).IsReady())
	})
}
