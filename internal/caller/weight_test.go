package caller_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/caller"
)

// TestWeights guards against accounts without a limit, or with one in another unit, that
// get next to nothing of a capacity that is too small.
func TestWeights(t *testing.T) {
	account := func(name string, allotment caller.Allotment) *caller.Account {
		return caller.NewAccount(name, 0).WithAllotment(allotment)
	}
	tokens := func(perSecond float64) caller.Allotment { return caller.NewAllotment(perSecond, 10, 1, true) }
	requests := caller.NewAllotment(7, 10, 1, false)
	expectWeights := func(t *testing.T, want map[string]float64, accounts ...*caller.Account) {
		t.Helper()
		require.Equal(t, want, caller.Weights(accounts))
	}
	t.Run("by the rate", func(t *testing.T) {
		expectWeights(t, map[string]float64{"a": 100, "b": 300}, account("a", tokens(100)), account("b", tokens(300)))
	})
	t.Run("without a limit", func(t *testing.T) {
		expectWeights(t, map[string]float64{"a": 100, "b": 100}, account("a", tokens(100)), account("b", tokens(0)))
	})
	t.Run("in different units", func(t *testing.T) {
		expectWeights(t, map[string]float64{"a": 1, "b": 1}, account("a", tokens(100)), account("b", requests))
	})
	t.Run("no limits", func(t *testing.T) {
		expectWeights(t, map[string]float64{"a": 1}, account("a", tokens(0)))
	})
}
