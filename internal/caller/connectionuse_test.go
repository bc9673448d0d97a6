package caller_test

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/caller"
)

// TestConnectionUseOrder guards against a crowd that displaces ordinary callers.
func TestConnectionUseOrder(t *testing.T) {
	const now = 10_000
	uses := map[string]caller.ConnectionUse{
		"idle, unknown, many from its address": caller.NewConnectionUse(false, 0, 1000, now).WithHoldings(9),
		"idle, unknown, waits longest":         caller.NewConnectionUse(false, 0, 10, now).WithHoldings(1),
		"idle, unknown":                        caller.NewConnectionUse(false, 0, 1000, now).WithHoldings(1),
		"slow, unknown":                        caller.NewConnectionUse(false, 70, 5, now).WithHoldings(1),
		"fresh, unknown":                       caller.NewConnectionUse(false, 0, now-1, now).WithHoldings(9),
		"idle, proved":                         caller.NewConnectionUse(true, 0, 1, now).WithHoldings(1),
		"slow, proved":                         caller.NewConnectionUse(true, 70, 1, now).WithHoldings(1),
		"fresh, proved":                        caller.NewConnectionUse(true, 0, now-1, now).WithHoldings(1),
		"unread response":                      caller.NewConnectionUse(false, 0, 1, now).WithStalledResponse(),
	}
	var names []string
	for name := range uses {
		names = append(names, name)
	}
	slices.SortFunc(names, func(first, second string) int { return uses[first].Compare(uses[second]) })
	require.Equal(t, []string{
		"idle, unknown, many from its address", "idle, unknown, waits longest", "idle, unknown", "slow, unknown", "fresh, unknown",
		"idle, proved", "slow, proved", "fresh, proved", "unread response",
	}, names)
}
