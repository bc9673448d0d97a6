package edge

import (
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/caller"
)

// TestInitialLevel checks that only the processes of a deployment that starts as a whole
// begin with full buckets. Otherwise an account would get its burst once more from the
// nodes that are added or restarted.
func TestInitialLevel(t *testing.T) {
	const burst, slack = 50_000, 8_000
	allotment := caller.NewAllotment(1000, burst, 10, true)
	account := caller.NewAccount("garage", 0).WithAllotment(allotment)
	expectAdmitted := func(t *testing.T, firstOnHost, olderPeer bool, tokens int64) {
		t.Helper()
		meters := newMeters(0, func() bool { return olderPeer }, func() float64 { return slack })
		meters.firstOnHost.Store(firstOnHost)
		meter := meters.forAccount(account, allotment, 0)
		for meter.Admit(allotment, 100, 1, 1, 0) == nil {
			require.LessOrEqual(t, meter.Used(), int64(2*burst))
		}
		require.Equal(t, tokens, meter.Used())
	}
	t.Run("the deployment starts", func(t *testing.T) { expectAdmitted(t, true, false, burst) })
	t.Run("a node is added", func(t *testing.T) { expectAdmitted(t, true, true, slack) })
	t.Run("one node restarts", func(t *testing.T) { expectAdmitted(t, false, true, slack) })
	t.Run("all nodes restart", func(t *testing.T) { expectAdmitted(t, false, false, slack) })
}
