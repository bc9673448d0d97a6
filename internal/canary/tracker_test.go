package canary_test

import (
	"fmt"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"sapphirehead/internal/canary"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/platform"
)

func serving(share float64, revision int64) canary.Order {
	return canary.NewOrder("engines", "v2", duration, revision).WithStatus("v2", canary.StateServing, share, 5000)
}

func lists(tracker *canary.Tracker, old, fresh int, now clock.Millis) bool {
	return tracker.ObserveServers([]canary.Listed{canary.NewListed("engines", "v1", old), canary.NewListed("engines", "v2", fresh)}, now)
}

// knowing returns a tracker in contact that has read the orders at 1 s.
func knowing(orders ...canary.Order) *canary.Tracker {
	tracker := canary.NewTracker(exposure)
	lists(tracker, 10, 10, 500)
	tracker.Observe(orders, second, second)
	tracker.ObservePeers(1, 1, second)
	return tracker
}

// answers records answers of a version, of which some failed.
func answers(tracker *canary.Tracker, version, route string, count, failed int, now clock.Millis) {
	for i := range count {
		outcome := canary.OutcomeAnswered
		if i < failed {
			outcome = canary.OutcomeFailed
		}
		tracker.Record("engines", version, canary.NewAnswer(route, 0, outcome, 50), now)
	}
	tracker.Update(now)
}

// expectUse checks what the plans of 100 requests allow.
func expectUse(t *testing.T, tracker *canary.Tracker, now clock.Millis, old, fresh bool) {
	t.Helper()
	var usesOld, usesFresh bool
	for range 100 {
		plan := tracker.Plan("engines", "r", false, now)
		usesOld, usesFresh = usesOld || plan.Allows("v1"), usesFresh || plan.Allows("v2")
	}
	require.Equal(t, []bool{old, fresh}, []bool{usesOld, usesFresh})
}

func TestVersionsThatMayBeUsed(t *testing.T) {
	t.Run("several versions without an order are used as before", func(t *testing.T) {
		expectUse(t, knowing(), second, true, true)
	})
	t.Run("without a bound of the exposure all are", func(t *testing.T) {
		tracker := canary.NewTracker(0)
		lists(tracker, 10, 10, 500)
		tracker.Observe([]canary.Order{serving(0.08, 1)}, second, second)
		expectUse(t, tracker, second, true, true)
	})
	t.Run("a new version waits until the rollouts were read", func(t *testing.T) {
		tracker := canary.NewTracker(exposure)
		lists(tracker, 10, 0, 500)
		tracker.Observe(nil, second, second)
		require.True(t, lists(tracker, 10, 10, 2*second))
		tracker.Observe(nil, second+500, 2*second)
		expectUse(t, tracker, 2*second, true, false)
		tracker.Observe(nil, 2*second, 2*second)
		expectUse(t, tracker, 2*second, true, true)
	})
	t.Run("a node that has read nothing uses the version with the most servers", func(t *testing.T) {
		tracker := canary.NewTracker(exposure)
		lists(tracker, 10, 9, 500)
		expectUse(t, tracker, second, true, false)
	})
	t.Run("an ordered version waits for the status", func(t *testing.T) {
		expectUse(t, knowing(canary.NewOrder("engines", "v2", duration, 1)), second, true, false)
	})
	t.Run("an ordered version that is not listed yet", func(t *testing.T) {
		tracker := knowing(serving(0, 1))
		lists(tracker, 10, 0, 2*second)
		expectUse(t, tracker, 2*second, true, false)
	})
	t.Run("canary requests go to few servers, and are not repeated there", func(t *testing.T) {
		tracker := knowing(serving(0.08, 1))
		expectUse(t, tracker, second, true, true)
		for range 100 {
			if plan := tracker.Plan("engines", "r", false, second); plan.IsCanary() {
				require.Equal(t, 1, plan.Servers())
				require.False(t, tracker.Retry("engines").Allows("v2"))
				return
			}
		}
		t.Fatal("no canary request")
	})
	t.Run("a node without peers sends no canary requests", func(t *testing.T) {
		tracker := knowing(serving(0.08, 1))
		tracker.ObservePeers(0, 1, 4*second)
		expectUse(t, tracker, 5*second, true, true)
		expectUse(t, tracker, 5*second+1, true, false)
	})
	t.Run("a node that gets no status sends no canary requests after the deadline", func(t *testing.T) {
		tracker := knowing(serving(0.08, 1))
		tracker.ObservePeers(1, 1, 13*second)
		expectUse(t, tracker, 13*second, true, true)
		expectUse(t, tracker, 13*second+1, true, false)
	})
	t.Run("after the promotion only the new version is used", func(t *testing.T) {
		tracker := knowing(serving(1, 1))
		expectUse(t, tracker, second, false, true)
		require.False(t, tracker.Retry("engines").Allows("v1"))
	})
	t.Run("a version of a withdrawn or changed order is not used", func(t *testing.T) {
		tracker := knowing(serving(0.08, 1))
		tracker.Observe(nil, 2*second, 2*second)
		expectUse(t, tracker, 2*second, true, false)
		tracker = knowing(serving(0.08, 1))
		tracker.Observe([]canary.Order{canary.NewOrder("engines", "v3", duration, 2)}, 2*second, 2*second)
		expectUse(t, tracker, 2*second, true, false)
	})
	t.Run("a version that was rolled back is used once it is alone", func(t *testing.T) {
		tracker := knowing(canary.NewOrder("engines", "v2", duration, 1).WithStatus("v2", canary.StateRolledBack, 0, 5000))
		lists(tracker, 0, 10, 2*second)
		expectUse(t, tracker, 2*second, true, false)
		lists(tracker, 0, 10, 13*second)
		expectUse(t, tracker, 13*second, true, true)
	})
}

func TestEvidence(t *testing.T) {
	// trial has a good old version at the rates of a deployment.
	trial := func() *canary.Tracker {
		tracker := knowing(serving(0.08, 1))
		answers(tracker, "v1", "high", 1000, 3, second)
		answers(tracker, "v1", "low", 20, 0, second)
		return tracker
	}
	t.Run("a handful of failures on a route with little traffic", func(t *testing.T) {
		tracker := trial()
		answers(tracker, "v2", "low", 5, 5, second)
		answers(tracker, "v2", "high", 100, 0, second)
		require.False(t, tracker.Halted("engines", "v2"))
	})
	t.Run("the 50th failure on a route with much traffic", func(t *testing.T) {
		tracker := trial()
		for range 25 {
			answers(tracker, "v2", "high", 100, 2, second)
		}
		require.True(t, tracker.Halted("engines", "v2"))
		expectUse(t, tracker, second, true, false)
	})
	t.Run("failures that the old version has as well", func(t *testing.T) {
		tracker := trial()
		for range 25 {
			answers(tracker, "v1", "high", 400, 60, second)
			answers(tracker, "v2", "high", 40, 6, second)
		}
		require.False(t, tracker.Halted("engines", "v2"))
	})
	t.Run("one crash ends many requests and counts once", func(t *testing.T) {
		tracker := trial()
		for range 16 {
			tracker.Record("engines", "v2", canary.NewAnswer("high", 0, canary.OutcomeCrashed, 10).WithLost(16), second)
		}
		answers(tracker, "v2", "high", 50, 0, second)
		require.False(t, tracker.Halted("engines", "v2"))
	})
	t.Run("a version whose servers crash again and again", func(t *testing.T) {
		tracker := trial()
		for range 4 {
			for range 16 {
				tracker.Record("engines", "v2", canary.NewAnswer("high", 0, canary.OutcomeCrashed, 10).WithLost(16), second)
			}
			answers(tracker, "v2", "high", 20, 0, second)
		}
		require.True(t, tracker.Halted("engines", "v2"))
	})
	t.Run("answers that take four times as long", func(t *testing.T) {
		tracker := trial()
		wait, ok := tracker.SlowAfter("engines", "high", 0)
		require.True(t, ok)
		require.InDelta(t, 140, float64(wait), 15)
		for range 20 {
			tracker.Record("engines", "v2", canary.NewAnswer("high", 0, canary.OutcomeAnswered, 200), second)
		}
		tracker.Update(second)
		require.True(t, tracker.Halted("engines", "v2"))
	})
}

func TestMerge(t *testing.T) {
	report := func(failed int64) canary.Report {
		sum := canary.NewSum("r", canary.NewCount(20, failed, 0, 0), canary.NewCount(200, 0, 0, 0))
		return canary.NewReport(0, []canary.OrderReport{canary.NewOrderReport(serving(0.08, 1), false, 0, []canary.Sum{sum})})
	}
	t.Run("a repeated report counts once", func(t *testing.T) {
		tracker := knowing(serving(0.08, 1))
		for range 10 {
			tracker.Merge("n-1", 1, report(3), second)
		}
		require.False(t, tracker.Halted("engines", "v2"))
		require.Equal(t, int64(3), tracker.Verdict("engines").Routes()[0].Candidate().Failed())
	})
	t.Run("a new process counts from 0, and late reports of the old one don't count again", func(t *testing.T) {
		tracker := knowing(serving(0.08, 1))
		tracker.Merge("n-1", 1, report(3), second)
		tracker.Merge("n-1", 2, report(2), second)
		tracker.Merge("n-1", 1, report(3), second)
		require.Equal(t, int64(5), tracker.Verdict("engines").Routes()[0].Candidate().Failed())
	})
	t.Run("the evidence of many nodes stops a node that has none", func(t *testing.T) {
		tracker := knowing(serving(0.08, 1))
		for i := range 5 {
			tracker.Merge(fmt.Sprint("n-", i), 1, report(3), second)
		}
		expectUse(t, tracker, second, true, false)
		require.Len(t, tracker.Update(second), 1)
		require.Empty(t, tracker.Update(second))
	})
	t.Run("a node without the store learns the order", func(t *testing.T) {
		tracker := canary.NewTracker(exposure)
		lists(tracker, 10, 10, 500)
		tracker.ObservePeers(1, 1, 2*second)
		tracker.Merge("n-1", 1, report(0), 2*second)
		expectUse(t, tracker, 2*second, true, true)
		require.Equal(t, []canary.Order{serving(0.08, 1)}, tracker.Orders())
	})
	t.Run("only nodes that know the newest state are drained", func(t *testing.T) {
		tracker, promoted := knowing(serving(1, 2)), serving(1, 2)
		told := func(order canary.Order, inProgress int) canary.Report {
			return canary.NewReport(0, []canary.OrderReport{canary.NewOrderReport(order, false, inProgress, nil)})
		}
		tracker.Merge("n-1", 1, told(promoted, 0), second)
		tracker.Merge("n-2", 1, told(serving(0.08, 1), 0), second)
		peers := []string{"n-1", "n-2", "n-3"}
		require.Equal(t, canary.NewAgreement(4, 2, 0, 1), tracker.Agreement(promoted, 1, peers, second))
		tracker.Merge("n-2", 1, told(promoted, 0), second)
		require.False(t, tracker.Agreement(promoted, 0, peers, second).IsDrained())
		require.True(t, tracker.Agreement(promoted, 0, peers[:2], second).IsDrained())
		require.False(t, tracker.Agreement(promoted, 0, peers[:2], 6*second).IsDrained())
	})
}

func TestHaltOutlivesRestoredStore(t *testing.T) {
	halted := func() *canary.Tracker {
		tracker := knowing(serving(0.08, platform.NewVersion(1, 9)))
		answers(tracker, "v2", "r", 20, 20, second)
		require.True(t, tracker.Halted("engines", "v2"))
		return tracker
	}
	t.Run("an older copy of the order", func(t *testing.T) {
		tracker := halted()
		tracker.Observe([]canary.Order{canary.NewOrder("engines", "v2", duration, platform.NewVersion(2, 3))}, 2*second, 2*second)
		expectUse(t, tracker, 2*second, true, false)
		again := canary.NewOrder("engines", "v2", duration, platform.NewVersion(2, 4)).WithStatus("v2", canary.StateServing, 0.08, 9000)
		tracker.Observe([]canary.Order{again}, 3*second, 3*second)
		require.True(t, tracker.Verdict("engines").Halted())
		expectUse(t, tracker, 3*second, true, false)
	})
	t.Run("a new order of the same version is tried again", func(t *testing.T) {
		tracker := halted()
		tracker.Observe(nil, 2*second, 2*second)
		again := canary.NewOrder("engines", "v2", duration, platform.NewVersion(1, 12)).WithStatus("v2", canary.StateServing, 0.08, 9000)
		tracker.Observe([]canary.Order{again}, 3*second, 3*second)
		expectUse(t, tracker, 3*second, true, true)
	})
}

// TestCreditAloneBoundsExposure guards against exposure beyond the share whatever happens
// to messages and nodes: no evidence is merged here, and nobody stops the version.
func TestCreditAloneBoundsExposure(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := make([]*canary.Tracker, rapid.IntRange(1, 20).Draw(t, "nodes"))
		requests, exposed, now := 0, 0, second
		for i := range nodes {
			nodes[i] = knowing(serving(0.5, 1))
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i, now := rapid.IntRange(0, len(nodes)-1).Draw(t, "node"), now+rapid.Custom(func(t *rapid.T) clock.Millis {
				return clock.Millis(rapid.IntRange(0, 3000).Draw(t, "after"))
			}).Draw(t, "time")
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				nodes[i] = knowing(serving(0.08, 1))
			case 1:
				nodes[i].Observe([]canary.Order{serving(0.3, int64(now))}, now, now)
			default:
				for range rapid.IntRange(1, 100).Draw(t, "requests") {
					requests++
					if nodes[i].Plan("engines", rapid.SampledFrom([]string{"a", "b"}).Draw(t, "route"), rapid.Bool().Draw(t, "session"), now).Allows("v2") {
						exposed++
					}
				}
			}
			if float64(exposed) > 0.8*exposure*float64(requests) {
				t.Fatalf("%d of %d requests went to the new version", exposed, requests)
			}
		}
	})
}

// TestConcurrentUse guards against lost counts and data races between requests and
// updates.
func TestConcurrentUse(t *testing.T) {
	tracker := knowing(serving(0.08, 1))
	var group sync.WaitGroup
	for i := range 4 {
		group.Go(func() {
			for j := range 500 {
				tracker.Plan("engines", fmt.Sprint("r-", j%100), false, second)
				tracker.Record("engines", []string{"v1", "v2"}[i%2], canary.NewAnswer(fmt.Sprint("r-", j%100), j, canary.OutcomeAnswered, 10), second)
			}
		})
	}
	for range 50 {
		tracker.Update(second)
		lists(tracker, 10, 10, second)
	}
	group.Wait()
	tracker.Update(second)
	var candidate, baseline int64
	for _, sum := range tracker.Verdict("engines").Routes() {
		candidate, baseline = candidate+sum.Candidate().Answers(), baseline+sum.Baseline().Answers()
	}
	require.Equal(t, []int64{1000, 1000}, []int64{candidate, baseline})
}
