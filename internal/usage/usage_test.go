package usage_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/usage"
)

func TestNextDue(t *testing.T) {
	const length, maxDelay = 5 * clock.Second, 10 * clock.Second
	expectDue := func(t *testing.T, last int64, now clock.Millis, window int64, due bool) {
		t.Helper()
		got, ok := usage.NextDue(last, now, length, maxDelay)
		require.Equal(t, due, ok)
		if due {
			require.Equal(t, window, got)
		}
	}
	t.Run("a window that has not ended", func(t *testing.T) { expectDue(t, 99, 504_000, 0, false) })
	t.Run("a window whose counts are still arriving", func(t *testing.T) { expectDue(t, 99, 506_000, 0, false) })
	t.Run("a window that ended", func(t *testing.T) { expectDue(t, 99, 506_200, 100, true) })
	t.Run("windows in order", func(t *testing.T) { expectDue(t, 98, 506_200, 99, true) })
	t.Run("windows that are too late are skipped", func(t *testing.T) { expectDue(t, 10, 506_200, 99, true) })
	t.Run("no window twice", func(t *testing.T) { expectDue(t, 100, 506_200, 0, false) })
}

func TestCounter(t *testing.T) {
	counter := usage.NewCounter()
	for range 3 {
		counter.Count(100, "garage")
	}
	counter.Count(101, "garage")
	counter.Count(95, "garage")
	expectRuns := func(t *testing.T, current int64, wanted map[int64]int64) {
		t.Helper()
		runs := map[int64]int64{}
		counter.Each(current, func(window int64, _ string, count int64) { runs[window] += count })
		require.Equal(t, wanted, runs)
	}
	t.Run("old windows are dropped", func(t *testing.T) { expectRuns(t, 101, map[int64]int64{100: 3, 101: 1}) })
	t.Run("windows are dropped as time passes", func(t *testing.T) { expectRuns(t, 104, map[int64]int64{101: 1}) })
}

func TestIsPlausible(t *testing.T) {
	expectPlausible := func(t *testing.T, window int64, plausible bool) {
		t.Helper()
		require.Equal(t, plausible, usage.IsPlausible(window, 103*clock.Second, 5*clock.Second))
	}
	t.Run("a window that has ended", func(t *testing.T) { expectPlausible(t, 19, true) })
	t.Run("a window that another clock has seen end", func(t *testing.T) { expectPlausible(t, 20, true) })
	t.Run("a window of a clock that is wrong", func(t *testing.T) { expectPlausible(t, 740, false) })
}
