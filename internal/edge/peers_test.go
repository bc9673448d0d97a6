package edge_test

import (
	"fmt"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestNodesNeverLearnOfEachOther guards against nodes whose names come late in a long
// list and that count only a part of the nodes (incident LIMIT, 72 nodes).
func TestNodesNeverLearnOfEachOther(t *testing.T) {
	t.Parallel()
	expectCounted := func(t *testing.T, others int) {
		t.Helper()
		t.Parallel()
		fixture := newEmptyFixture(t)
		silent, err := net.ListenPacket("udp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { require.NoError(t, silent.Close()) })
		for i := range others {
			fixture.store.Set("sapphire-nodes", fmt.Sprint("peer-", i), fmt.Sprintf(`{"address":%q}`, silent.LocalAddr()))
		}
		fixture.startReady("edge-1").log.await("nodes that share limits", fmt.Sprintf(`"nodes":%d,`, others+1))
	}
	t.Run("few", func(t *testing.T) { expectCounted(t, 6) })
	t.Run("some hundred", func(t *testing.T) { expectCounted(t, 294) })
}
