package edge

import (
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/clock"
)

// TestListServiceOfPeers guards against a node that keeps using a server that has left,
// since its entry might have lapsed in an outage of the store that is long over.
func TestListServiceOfPeers(t *testing.T) {
	expectOver := func(t *testing.T, peerSince clock.Millis, over bool) {
		t.Helper()
		const servedUntil, regained, maxGap = 1 * clock.Second, 14 * clock.Second, 1500 * clock.Millisecond
		service := newListService()
		service.succeed(maxGap, servedUntil)
		service.fail(servedUntil)
		require.False(t, service.succeed(maxGap, regained))
		require.Equal(t, over, service.compare(peerSince))
	}
	t.Run("the store served a peer all the while", func(t *testing.T) { expectOver(t, 500, true) })
	t.Run("the store was back for long", func(t *testing.T) { expectOver(t, 10*clock.Second, true) })
	t.Run("the store was back a short time ago", func(t *testing.T) { expectOver(t, 13*clock.Second, false) })
}
