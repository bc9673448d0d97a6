package edge

import (
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/clock"
)

// TestEstimateGap guards against estimates that look right because late and early ones
// are added up, or because early ones are left out.
func TestEstimateGap(t *testing.T) {
	latencies := newLatencies()
	for gap := range clock.Millis(100) {
		latencies.observeGap("app", gap-50)
	}
	percentiles := latencies.gapPercentiles()["app"]
	require.Equal(t, int64(100), percentiles["count"])
	require.InDelta(t, -40, percentiles["p10"], 2)
	require.InDelta(t, 0, percentiles["p50"], 2)
	require.InDelta(t, 40, percentiles["p90"], 2)
}
