package requestslope

import (
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/clock"
)

func expectUsage(t *testing.T, line string, processor clock.Millis, memory int64) {
	t.Helper()
	usage, err := parseUsage(line)
	require.NoError(t, err)
	require.Equal(t, processor, usage.Processor())
	require.Equal(t, memory, usage.Memory())
}

func TestParseUsage(t *testing.T) {
	t.Run("name with spaces and brackets", func(t *testing.T) {
		expectUsage(t, "7 (a) b) S 1 7 7 0 -1 0 0 0 0 0 12 30 0 0 20 0 9 0 100 200 5 0", 420*clock.Millisecond, 5*4096)
	})
	t.Run("truncated line", func(t *testing.T) {
		_, err := parseUsage("7 (entry) S 1 7")
		require.Error(t, err)
	})
}
