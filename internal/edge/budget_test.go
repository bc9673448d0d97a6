package edge_test

import (
	"fmt"
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/edge"
)

// smallestMemoryMegabytes and smallestDescriptors are the limits of the smallest host.
const (
	smallestMemoryMegabytes = 144
	smallestDescriptors     = 3075
)

// TestBudget guards against shares that together exceed a process's limits, and against a
// table in docs/DESIGN.md that differs from them.
func TestBudget(t *testing.T) {
	page, err := os.ReadFile("../../docs/DESIGN.md")
	require.NoError(t, err)
	expect := func(t *testing.T, rows []edge.BudgetRow, unit string, limit float64) {
		t.Helper()
		sum := 0.0
		for _, row := range rows {
			sum += row.Share
			require.Contains(t, string(page), fmt.Sprintf("| %s | %s | %g | %.0f |\n", unit, row.Part, row.Share, row.Share*limit))
		}
		require.Less(t, sum, 1.0)
	}
	t.Run("memory", func(t *testing.T) { expect(t, edge.MemoryBudget(), "MB", smallestMemoryMegabytes) })
	t.Run("descriptors", func(t *testing.T) { expect(t, edge.DescriptorBudget(), "descriptors", smallestDescriptors) })
}
