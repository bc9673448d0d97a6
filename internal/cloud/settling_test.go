package cloud_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/cloud"
)

// TestSettling plays the list of a new deployment whose servers are added evenly, and
// which the node reads at an interval. The list must not count as complete before it
// is, and soon after.
func TestSettling(t *testing.T) {
	const step, maxLag = 400, 6 * clock.Second
	expectComplete := func(t *testing.T, servers int, start, interval clock.Millis) {
		t.Helper()
		settling, readAt, read := cloud.NewSettling(), clock.Millis(0), 0
		for now := clock.Millis(0); now < start+maxLag; now += step {
			if now == 0 || now-readAt >= interval {
				readAt, read = now, int(min(now, start)*clock.Millis(servers)/max(start, 1))
			}
			if settling.Observe(read, readAt, now) {
				require.Equal(t, servers, read, "settled at %d", now)
				return
			}
		}
		require.Fail(t, "the list never counts as complete")
	}
	t.Run("7 nodes, 9 servers", func(t *testing.T) { expectComplete(t, 9, 800, 200) })
	t.Run("68 nodes, 93 servers", func(t *testing.T) { expectComplete(t, 93, 2*clock.Second, 1500) })
	t.Run("295 nodes, 250 servers", func(t *testing.T) { expectComplete(t, 250, 3*clock.Second, 2*clock.Second) })
	t.Run("servers slowly", func(t *testing.T) { expectComplete(t, 40, 5*clock.Second, 600) })
	t.Run("a predecessor has planned", func(t *testing.T) {
		settling := cloud.NewSettling()
		settling.Settle()
		require.True(t, settling.Observe(3, 0, 0))
	})
	t.Run("no servers", func(t *testing.T) {
		require.False(t, cloud.NewSettling().Observe(0, 100*clock.Second, 100*clock.Second))
	})
}
