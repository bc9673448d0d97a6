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

// Bounds from the target.
const (
	inForceLimit = 4 * clock.Second
	leavingLimit = 2 * clock.Second
	// settleLimit is longer than a silent member takes to be found.
	settleLimit = 40 * clock.Second
)

// bench is a cluster in virtual time with its store.
type bench struct {
	clock   *clock.Clock
	store   *nodeslope.Store
	memory  *nodeslope.Memory
	cluster *nodeslope.Cluster
	edits   int
}

// runBench runs a subtest with nodes in three data centres.
func runBench(t *testing.T, name string, nodes int, test func(t *testing.T, bench *bench)) {
	t.Helper()
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			time := clock.Runtime()
			store, memory := nodeslope.NewStore(), nodeslope.NewMemory(time)
			bench := &bench{clock: time, store: store, memory: memory, cluster: nodeslope.NewCluster(time, memory.Join, store)}
			defer bench.cluster.Close()
			for i := range nodes {
				_, err := bench.cluster.Start([]string{"lj-a", "lj-b", "lj-c"}[i%3])
				require.NoError(t, err)
				bench.wait(10 * clock.Millisecond)
			}
			expectSoon(t, bench, settleLimit, "all see all", func(node *nodeslope.Node) bool {
				return node.IsReady() && len(node.Members().Live()) == nodes-1
			})
			test(t, bench)
		})
	})
}

func (bench *bench) wait(delay clock.Millis) { bench.clock.Wait(context.Background(), delay) }

func (bench *bench) node(index int) *nodeslope.Node { return bench.cluster.Nodes()[index] }

// edit commits an edit through the node and returns its version.
func (bench *bench) edit(t *testing.T, through *nodeslope.Node) int64 {
	t.Helper()
	bench.edits++
	edit := table.NewEdit(fmt.Sprint("edit-", bench.edits))
	if bench.edits == 1 {
		edit.SetPool(pool.New("booking", pool.KindService), 0)
	}
	name := fmt.Sprint("route-", bench.edits)
	edit.SetRoute(route.New(name, route.KindService, "booking").WithPath("/"+name), 0)
	committed, err := through.Tables().Commit(context.Background(), edit)
	require.NoError(t, err)
	return committed.Version()
}

func expectSoon(t *testing.T, bench *bench, limit clock.Millis, what string, holds func(node *nodeslope.Node) bool) {
	t.Helper()
	took, ok := bench.cluster.Await(limit, holds)
	require.True(t, ok, "%s: not within %d ms", what, took)
}

func expectInForce(t *testing.T, bench *bench, version int64) {
	t.Helper()
	expectSoon(t, bench, inForceLimit, "edit in force", func(node *nodeslope.Node) bool { return node.InForce().Version() >= version })
}

func TestTables(t *testing.T) {
	runBench(t, "an edit is in force everywhere within 4 s", 12, func(t *testing.T, bench *bench) {
		for i := range 12 {
			expectInForce(t, bench, bench.edit(t, bench.node(i)))
		}
	})
	runBench(t, "two nodes of each data centre watch", 12, func(t *testing.T, bench *bench) {
		bench.wait(30 * clock.Second)
		require.EqualValues(t, 6, bench.store.Watches())
	})
	runBench(t, "the node that committed dies at once: the watchers spread the edit", 12, func(t *testing.T, bench *bench) {
		committer := bench.node(7)
		version := bench.edit(t, committer)
		bench.cluster.Remove(committer, false)
		expectInForce(t, bench, version)
	})
	runBench(t, "a store that came back older gets the newer tables back", 12, func(t *testing.T, bench *bench) {
		bench.edit(t, bench.node(0))
		older := bench.store.Object()
		version := bench.edit(t, bench.node(0))
		expectInForce(t, bench, version)
		bench.store.Restore(older)
		bench.wait(inForceLimit)
		stored, err := bench.node(0).Tables().Stored(t.Context())
		require.NoError(t, err)
		require.Equal(t, version, stored.Version())
	})
	runBench(t, "a node that starts in an outage takes the tables of a fellow node", 12, func(t *testing.T, bench *bench) {
		version := bench.edit(t, bench.node(0))
		bench.wait(inForceLimit)
		bench.store.SetDown(true)
		_, err := bench.cluster.Start("lj-b")
		require.NoError(t, err)
		expectInForce(t, bench, version)
		bench.wait(10 * clock.Second)
		expectSoon(t, bench, 0, "ready in an outage", func(node *nodeslope.Node) bool { return node.IsReady() })
	})
	runBench(t, "a node is not ready with older tables than it knows of", 12, func(t *testing.T, bench *bench) {
		older := bench.store.Object()
		version := bench.edit(t, bench.node(0))
		expectInForce(t, bench, version)
		bench.store.Restore(older)
		bench.store.SetDown(true)
		bench.memory.Part(func(_, _ string, call *nodepb.Call) bool { return call.HasTablesQuery() })
		fresh, err := bench.cluster.Start("lj-b")
		require.NoError(t, err)
		bench.wait(15 * clock.Second)
		require.False(t, fresh.IsReady())
		bench.memory.Part(func(string, string, *nodepb.Call) bool { return false })
		expectSoon(t, bench, settleLimit, "ready", func(node *nodeslope.Node) bool { return node.IsReady() })
		require.Equal(t, version, fresh.InForce().Version())
	})
}

func TestLeaving(t *testing.T) {
	expectKnown := func(t *testing.T, bench *bench, servers ...string) {
		t.Helper()
		expectSoon(t, bench, leavingLimit, "leaving known", func(node *nodeslope.Node) bool {
			for _, server := range servers {
				if !node.KnowsLeaving(server) {
					return false
				}
			}
			return true
		})
	}
	runBench(t, "one server", 12, func(t *testing.T, bench *bench) {
		bench.node(3).Leave("runner-1")
		expectKnown(t, bench, "runner-1")
	})
	runBench(t, "a data centre's worth", 12, func(t *testing.T, bench *bench) {
		var servers []string
		for i := range 740 {
			servers = append(servers, fmt.Sprint("runner-lhr-a-", i))
			bench.node(i % 12).Leave(servers[i])
		}
		expectKnown(t, bench, servers...)
	})
	runBench(t, "a data centre's worth told by one node, no push arrives", 12, func(t *testing.T, bench *bench) {
		bench.memory.Part(func(_, _ string, call *nodepb.Call) bool { return call.GetHeartbeat().GetPush() })
		var servers []string
		for i := range 740 {
			servers = append(servers, fmt.Sprint("runner-lhr-a-", i))
			bench.node(0).Leave(servers[i])
		}
		bench.wait(10 * clock.Second)
		expectKnown(t, bench, servers...)
	})
	runBench(t, "a third of the nodes dies at the same moment", 12, func(t *testing.T, bench *bench) {
		for range 4 {
			bench.cluster.Remove(bench.node(0), false)
		}
		bench.node(0).Leave("runner-2")
		expectKnown(t, bench, "runner-2")
	})
}

func TestMembership(t *testing.T) {
	expectLive := func(t *testing.T, bench *bench, limit clock.Millis) {
		t.Helper()
		expectSoon(t, bench, limit, "live members", func(node *nodeslope.Node) bool {
			return len(node.Members().Live()) == len(bench.cluster.Nodes())-1
		})
	}
	runBench(t, "an announced stop is known at once", 20, func(t *testing.T, bench *bench) {
		bench.cluster.Remove(bench.node(5), true)
		expectLive(t, bench, leavingLimit)
	})
	runBench(t, "a start is known at once", 20, func(t *testing.T, bench *bench) {
		_, err := bench.cluster.Start("lj-a")
		require.NoError(t, err)
		bench.wait(clock.Second)
		expectLive(t, bench, leavingLimit)
	})
	runBench(t, "a data centre that dies is found", 12, func(t *testing.T, bench *bench) {
		for _, node := range append([]*nodeslope.Node{}, bench.cluster.Nodes()...) {
			if node.DataCentre() == "lj-c" {
				bench.cluster.Remove(node, false)
			}
		}
		expectLive(t, bench, settleLimit)
	})
	runBench(t, "data centres that lose each other find each other again", 12, func(t *testing.T, bench *bench) {
		home := map[string]string{}
		for _, node := range bench.cluster.Nodes() {
			home[node.Address()] = node.DataCentre()
		}
		bench.memory.Part(func(from, to string, _ *nodepb.Call) bool { return (home[from] == "lj-a") != (home[to] == "lj-a") })
		expectSoon(t, bench, settleLimit, "parted", func(node *nodeslope.Node) bool {
			live := len(node.Members().Live())
			return live == 3 || live == 7
		})
		bench.wait(5 * clock.Minute)
		bench.memory.Part(func(string, string, *nodepb.Call) bool { return false })
		expectLive(t, bench, 2*settleLimit)
	})
	runBench(t, "a node that hears nobody is not ready", 2, func(t *testing.T, bench *bench) {
		bench.store.SetDown(true)
		bench.cluster.Remove(bench.node(1), false)
		bench.wait(6 * clock.Second)
		require.False(t, bench.node(0).IsReady())
		bench.store.SetDown(false)
		bench.wait(3 * clock.Second)
		require.True(t, bench.node(0).IsReady())
	})
}
