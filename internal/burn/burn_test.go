package burn_test

import (
	"context"
	"sync"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"sapphirehead/internal/burn"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/request"
	"sapphirehead/internal/route"
)

const (
	objective = 0.95
	account   = "garage-north"
	startTime = 100 * 24 * clock.Hour
)

var deskRoute = route.New("desk", route.KindChat, "runners").WithWorth(5).WithTargets(1900, 52, 10_000)

// expectOutcome checks the outcome that is counted for a request with the given
// steps.
func expectOutcome(t *testing.T, want burn.Outcome, worth float64, run func(manual *clock.Manual, tracker *burn.Tracker) error) {
	t.Helper()
	manual := clock.NewManual(startTime)
	meter := burn.New(manual.Clock(), objective, burn.DefaultSeries)
	tracker := meter.Begin(request.New("req-1", account, deskRoute, "key", request.Prompt{}, manual.Now()))
	tracker.End(run(manual, tracker))
	rows := meter.Report().Rows()
	require.Len(t, rows, 1)
	counts := rows[0].Counts(burn.Window5Minutes)
	require.Equal(t, int64(1), counts.Count(want), "outcome %s", want)
	require.Equal(t, int64(1), counts.Total())
	require.InDelta(t, worth, counts.Worth(), 0)
}

// deliverTokens delivers tokens at the given gaps.
func deliverTokens(manual *clock.Manual, tracker *burn.Tracker, gaps ...clock.Millis) {
	for _, gap := range gaps {
		manual.Advance(gap)
		tracker.RecordTokens()
	}
}

func TestOutcome(t *testing.T) {
	t.Run("in time", func(t *testing.T) {
		expectOutcome(t, burn.Good, 5, func(manual *clock.Manual, tracker *burn.Tracker) error {
			deliverTokens(manual, tracker, 1900, 52, 52)
			return nil
		})
	})
	t.Run("first token late", func(t *testing.T) {
		expectOutcome(t, burn.LateFirst, 5, func(manual *clock.Manual, tracker *burn.Tracker) error {
			deliverTokens(manual, tracker, 1901, 52)
			return nil
		})
	})
	t.Run("one gap of ten late", func(t *testing.T) {
		expectOutcome(t, burn.LateBetween, 5, func(manual *clock.Manual, tracker *burn.Tracker) error {
			deliverTokens(manual, tracker, 10, 53, 1, 1, 1, 1, 1, 1, 1, 1, 1)
			return nil
		})
	})
	t.Run("service without tokens late", func(t *testing.T) {
		expectOutcome(t, burn.LateFirst, 5, func(manual *clock.Manual, _ *burn.Tracker) error {
			manual.Advance(1901)
			return nil
		})
	})
	t.Run("complete response after the deadline", func(t *testing.T) {
		expectOutcome(t, burn.LateWhole, 0, func(manual *clock.Manual, tracker *burn.Tracker) error {
			deliverTokens(manual, tracker, 100)
			manual.Advance(10_000)
			return nil
		})
	})
	t.Run("no complete response at the deadline", func(t *testing.T) {
		expectOutcome(t, burn.LateWhole, 0, func(manual *clock.Manual, _ *burn.Tracker) error {
			manual.Advance(10_000)
			return request.NewIncompleteError("req-1", "the deadline has passed")
		})
	})
	t.Run("refused", func(t *testing.T) {
		expectOutcome(t, burn.Refused, 0, func(*clock.Manual, *burn.Tracker) error { return request.NewNotRunError("no room", 0) })
	})
	t.Run("outcome unknown", func(t *testing.T) {
		expectOutcome(t, burn.Failed, 0, func(*clock.Manual, *burn.Tracker) error {
			return request.NewOutcomeUnknownError("req-1", "cut")
		})
	})
	t.Run("the worth of a replayed response is not counted again", func(t *testing.T) {
		expectOutcome(t, burn.Good, 0, func(_ *clock.Manual, tracker *burn.Tracker) error {
			tracker.Replayed()
			return nil
		})
	})
	t.Run("the first token of a caller that reconnected is not late", func(t *testing.T) {
		expectOutcome(t, burn.Good, 5, func(manual *clock.Manual, tracker *burn.Tracker) error {
			manual.Advance(3000)
			tracker.Resumed()
			deliverTokens(manual, tracker, 50, 50)
			return nil
		})
	})
	t.Run("a broken connection to the caller is not counted", func(t *testing.T) {
		meter := burn.New(clock.NewManual(startTime).Clock(), objective, burn.DefaultSeries)
		tracker := meter.Begin(request.New("req-1", account, deskRoute, "", request.Prompt{}, startTime))
		tracker.Disconnected()
		tracker.End(errors.New("broken pipe"))
		require.Empty(t, meter.Report().Rows())
	})
	for name, err := range map[string]error{
		"a caller that disconnected is not counted":            errors.Wrap(context.Canceled, "deliver"),
		"a request that another node continues is not counted": request.NewMovedError("req-1"),
	} {
		t.Run(name, func(t *testing.T) {
			meter := burn.New(clock.NewManual(startTime).Clock(), objective, burn.DefaultSeries)
			meter.Begin(request.New("req-1", account, deskRoute, "", request.Prompt{}, startTime)).End(err)
			require.Empty(t, meter.Report().Rows())
		})
	}
}

func countRequests(meter *burn.Meter, good, bad int) {
	for range good {
		meter.Count("desk", account, burn.Good, 1)
	}
	for range bad {
		meter.Count("desk", account, burn.Refused, 0)
	}
}

// expectTotals checks the number of requests in each window.
func expectTotals(t *testing.T, report burn.Report, fiveMinutes, oneHour, sixHours int64) {
	t.Helper()
	row := report.Rows()[0]
	totals := []int64{row.Counts(burn.Window5Minutes).Total(), row.Counts(burn.Window1Hour).Total(), row.Counts(burn.Window6Hours).Total()}
	require.Equal(t, []int64{fiveMinutes, oneHour, sixHours}, totals)
}

func TestWindows(t *testing.T) {
	manual := clock.NewManual(startTime)
	meter := burn.New(manual.Clock(), objective, burn.DefaultSeries)
	countRequests(meter, 95, 5)
	t.Run("now", func(t *testing.T) { expectTotals(t, meter.Report(), 100, 100, 100) })
	t.Run("rate 1 spends the budget exactly", func(t *testing.T) {
		require.InDelta(t, 1, meter.Report().Rows()[0].Counts(burn.Window1Hour).Rate(objective), 1e-9)
	})
	manual.Advance(5 * clock.Minute)
	t.Run("after 5 minutes", func(t *testing.T) { expectTotals(t, meter.Report(), 0, 100, 100) })
	countRequests(meter, 1, 0)
	manual.Advance(55 * clock.Minute)
	t.Run("after 1 hour", func(t *testing.T) { expectTotals(t, meter.Report(), 0, 1, 101) })
	manual.Advance(5 * clock.Hour)
	t.Run("after 6 hours", func(t *testing.T) { expectTotals(t, meter.Report(), 0, 0, 0) })
	countRequests(meter, 1, 0)
	manual.Advance(61 * clock.Minute)
	countRequests(meter, 1, 0)
	t.Run("a reused bucket starts from zero", func(t *testing.T) { expectTotals(t, meter.Report(), 1, 1, 2) })
}

func TestAlarm(t *testing.T) {
	expectAlarm := func(t *testing.T, want burn.Alarm, badHour, badFiveMinutes int64) {
		t.Helper()
		windows := [burn.WindowCount]burn.Counts{}
		windows[burn.Window5Minutes] = burn.NewCounts([burn.OutcomeCount]int64{burn.Good: 100 - badFiveMinutes, burn.Refused: badFiveMinutes}, 0)
		windows[burn.Window1Hour] = burn.NewCounts([burn.OutcomeCount]int64{burn.Good: 100 - badHour, burn.Refused: badHour}, 0)
		windows[burn.Window6Hours] = windows[burn.Window1Hour]
		require.Equal(t, want, burn.NewRow("desk", account, windows).Alarm(objective))
	}
	t.Run("fast", func(t *testing.T) { expectAlarm(t, burn.AlarmFast, 73, 73) })
	t.Run("fast alarm ends with its cause", func(t *testing.T) { expectAlarm(t, burn.AlarmSlow, 73, 0) })
	t.Run("slow", func(t *testing.T) { expectAlarm(t, burn.AlarmSlow, 31, 31) })
	t.Run("none", func(t *testing.T) { expectAlarm(t, burn.AlarmNone, 29, 100) })
}

func TestMerge(t *testing.T) {
	manual := clock.NewManual(startTime)
	a, b := burn.New(manual.Clock(), objective, burn.DefaultSeries), burn.New(manual.Clock(), objective, burn.DefaultSeries)
	countRequests(a, 3, 1)
	countRequests(b, 1, 1)
	b.Count("desk", "garage-south", burn.Good, 2)
	merged := burn.Merge(a.Report(), b.Report().WithMissing(1))
	t.Run("rows of one pair are added", func(t *testing.T) { expectTotals(t, merged, 6, 6, 6) })
	t.Run("nodes are counted", func(t *testing.T) {
		require.Equal(t, 2, merged.Nodes())
		require.Equal(t, 1, merged.Missing())
	})
	t.Run("accounts of a route are added", func(t *testing.T) {
		require.Len(t, merged.Routes(), 1)
		require.Equal(t, int64(7), merged.Routes()[0].Counts(burn.Window1Hour).Total())
		require.InDelta(t, 6, merged.Routes()[0].Counts(burn.Window1Hour).Worth(), 0)
	})
	t.Run("points of one time are added", func(t *testing.T) {
		require.Len(t, merged.Points(), 1)
		require.Equal(t, int64(7), merged.Points()[0].Counts().Total())
	})
}

func TestConcurrentCounts(t *testing.T) {
	const threads, perThread = 8, 1000
	manual := clock.NewManual(startTime)
	meter := burn.New(manual.Clock(), objective, 3)
	var group sync.WaitGroup
	for thread := range threads {
		group.Go(func() {
			for i := range perThread {
				meter.Count("desk", string(rune('a'+(thread+i)%threads)), burn.Good, 1)
				if thread == 0 {
					manual.Advance(20 * clock.Second)
				}
			}
		})
	}
	group.Wait()
	t.Run("no count is lost", func(t *testing.T) {
		require.Equal(t, int64(threads*perThread), meter.Report().Routes()[0].Counts(burn.Window6Hours).Total())
	})
	t.Run("accounts beyond the bound share one row", func(t *testing.T) {
		require.Len(t, meter.Report().Rows(), 4)
	})
}
