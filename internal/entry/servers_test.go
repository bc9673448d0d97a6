package entry

import (
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/clock"
)

// maxReads is the maximum number of reads of the list of hosts per second by all
// nodes together, if each waits the whole interval.
const maxReads = 80

// expectReads checks the interval of one node and the total rate of reads.
func expectReads(t *testing.T, nodes int, interval clock.Millis) {
	t.Helper()
	require.Equal(t, interval, listInterval(nodes))
	require.LessOrEqual(t, nodes*int(clock.Second)/int(interval), maxReads)
}

func TestListInterval(t *testing.T) {
	t.Run("one node", func(t *testing.T) { expectReads(t, 1, 500) })
	t.Run("today", func(t *testing.T) { expectReads(t, 7, 500) })
	t.Run("few nodes", func(t *testing.T) { expectReads(t, 20, 500) })
	t.Run("more nodes", func(t *testing.T) { expectReads(t, 100, 2500) })
	t.Run("the target size", func(t *testing.T) { expectReads(t, 380, 5*clock.Second) })
}
