package backend_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/backend"
)

// TestRetryBudget checks that a budget holds at most 200 retries, and that the part of
// an addition which fits into it is not lost.
func TestRetryBudget(t *testing.T) {
	expectRetries := func(t *testing.T, budget *backend.RetryBudget, retries int) {
		t.Helper()
		for range retries {
			require.True(t, budget.Take())
		}
		require.False(t, budget.Take())
	}
	t.Run("at the start", func(t *testing.T) { expectRetries(t, backend.NewRetryBudget(), 20) })
	t.Run("five successes add one", func(t *testing.T) {
		budget := backend.NewRetryBudget()
		for range 5 {
			budget.Succeeded()
		}
		expectRetries(t, budget, 21)
	})
	t.Run("a refund that fits in part", func(t *testing.T) {
		budget := backend.NewRetryBudget()
		for range 180*5 - 1 {
			budget.Succeeded()
		}
		budget.Refund()
		expectRetries(t, budget, 200)
	})
}
