package platform_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/platform"
)

// TestWatchWait checks that a change is known everywhere within the bound although
// all watches have gone silent: a designated watcher notices after its wait and the
// timeout of a call, watches again, and tells its peers, which wait a moment for their
// own watches.
func TestWatchWait(t *testing.T) {
	const timeout, secondWatch, bulletin, peerWait, peerRead = 600, 50, 250, 300, 50
	expectKnownWithin := func(t *testing.T, bound clock.Millis) {
		t.Helper()
		require.LessOrEqual(t, platform.WatchWait(bound, true, 295)+timeout+secondWatch+bulletin+peerWait+peerRead, bound)
	}
	t.Run("bound of 2 s", func(t *testing.T) { expectKnownWithin(t, 2*clock.Second) })
	t.Run("bound of 3 s", func(t *testing.T) { expectKnownWithin(t, 3*clock.Second) })
	t.Run("bound of 4 s", func(t *testing.T) { expectKnownWithin(t, 4*clock.Second) })
	t.Run("bound of 1 min", func(t *testing.T) { expectKnownWithin(t, 60*clock.Second) })
	t.Run("never without a wait", func(t *testing.T) { require.Positive(t, platform.WatchWait(0, true, 7)) })
	t.Run("other nodes", func(t *testing.T) {
		require.Equal(t, platform.MinOtherWatchWait, platform.WatchWait(2*clock.Second, false, 7))
		require.Greater(t, platform.WatchWait(4*clock.Second, false, 295), 20*clock.Second)
		// The platform allows no longer waits.
		require.LessOrEqual(t, platform.WatchWait(4*clock.Second, false, 1000), 30*clock.Second)
	})
}
