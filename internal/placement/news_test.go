package placement_test

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/pool"
)

// TestMergeNews guards against observations that count again with each bulletin, and
// against old reports that replace newer ones.
func TestMergeNews(t *testing.T) {
	newNode := func() (*cluster, *clusterNode, *backend.Server) {
		cluster := newCluster(pool.KindRunner, 1, 30, 1, 1)
		return cluster, cluster.nodes[0], cluster.nodes[0].servers()[1]
	}
	observed := func(server *backend.Server, first int64, count int) backend.SpeedNews {
		var observations []backend.RateObservation
		for range count {
			observations = append(observations, backend.NewRateObservation(server.Hash(), math.Log(2)))
		}
		return backend.NewSpeedNews(nil, first, observations)
	}
	t.Run("an observation counts once", func(t *testing.T) {
		cluster, node, server := newNode()
		node.placement.Merge("edge-2", 7, observed(server, 1, 5))
		once := server.Rate().Estimate(cluster.manual.Now())
		require.Positive(t, once)
		node.placement.Merge("edge-2", 7, observed(server, 2, 4))
		require.Equal(t, once, server.Rate().Estimate(cluster.manual.Now()))
		node.placement.Merge("edge-2", 7, observed(server, 4, 3))
		require.Greater(t, server.Rate().Estimate(cluster.manual.Now()), once)
	})
	t.Run("a new process counts from the start, as does another host", func(t *testing.T) {
		cluster, node, server := newNode()
		node.placement.Merge("edge-2", 7, observed(server, 9, 2))
		for i, host := range []string{"edge-2", "edge-3"} {
			before := server.Rate().Estimate(cluster.manual.Now())
			node.placement.Merge(host, int64(8+i), observed(server, 1, 2))
			require.Greater(t, server.Rate().Estimate(cluster.manual.Now()), before)
		}
	})
	t.Run("a server that isn't known is left out", func(*testing.T) {
		_, node, _ := newNode()
		node.placement.Merge("edge-2", 7, backend.NewSpeedNews([]backend.SlowdownReport{backend.NewSlowdownReport(5, 2, 0)}, 1, []backend.RateObservation{backend.NewRateObservation(5, 1)}))
	})
	t.Run("the latest slowdown counts", func(t *testing.T) {
		cluster, node, server := newNode()
		report := func(factor float64, age clock.Millis) {
			node.placement.Merge("edge-2", 7, backend.NewSpeedNews([]backend.SlowdownReport{backend.NewSlowdownReport(server.Hash(), factor, age)}, 0, nil))
		}
		report(2.5, 50)
		report(1, 80)
		require.Equal(t, 2.5, server.Slowdown().Factor())
		server.Report(backend.NewLoad(cluster.manual.Now(), 0, 0, 0).WithSlowdown(1))
		report(2.5, 50)
		require.Equal(t, 1.0, server.Slowdown().Factor())
	})
	t.Run("only the latest are passed on, and nothing of servers with three figures", func(t *testing.T) {
		cluster := newCluster(pool.KindService, 1, 30, 1)
		cluster.perMilli, cluster.figures = 0.05, 3
		cluster.play(clock.Second)
		require.Empty(t, cluster.nodes[0].placement.News().Observations())
		require.Empty(t, cluster.nodes[0].placement.News().Slowdowns())
		cluster.figures = 4
		cluster.play(clock.Second)
		require.Len(t, cluster.nodes[0].placement.News().Observations(), 16)
		require.Len(t, cluster.nodes[0].placement.News().Slowdowns(), 1)
		cluster.manual.Advance(2 * clock.Second)
		require.Empty(t, cluster.nodes[0].placement.News().Observations())
		require.Empty(t, cluster.nodes[0].placement.News().Slowdowns())
	})
}
