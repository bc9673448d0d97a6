package chaos

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// expectOrder checks the names of the events of the faults, over 600 requests.
func expectOrder(t *testing.T, faults []fault, names ...string) {
	t.Helper()
	var scheduled []string
	for _, event := range schedule(faults, 600) {
		scheduled = append(scheduled, event.name)
	}
	require.Equal(t, names, scheduled)
}

// TestSchedule checks that a fault overlaps the next one, but that no call to the
// platform's stand-in is due while it is stopped.
func TestSchedule(t *testing.T) {
	paused := fault{name: "paused", platformUse: platformStopped}
	down := fault{name: "down", platformUse: platformCalled}
	slow := fault{name: "slow", platformUse: platformCalled}
	other := fault{name: "other"}
	t.Run("overlapping", func(t *testing.T) {
		expectOrder(t, []fault{down, slow, other}, "down", "slow", "end of down", "other", "end of slow", "end of other")
	})
	t.Run("a call after a pause", func(t *testing.T) {
		expectOrder(t, []fault{paused, down, other}, "paused", "end of paused", "down", "other", "end of down", "end of other")
	})
	t.Run("a pause after a call", func(t *testing.T) {
		expectOrder(t, []fault{down, paused, other}, "down", "end of down", "paused", "other", "end of paused", "end of other")
	})
}
