package canary_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/canary"
)

// alarmAt returns after how many answers of the version the lease holder takes it for bad,
// or 0 if it doesn't within 1,000. Peers report in batches, with ten answers of the others
// for each.
func alarmAt(seed uint64, slow bool, fresh, old float64) int64 {
	random, tracker := rand.New(rand.NewPCG(seed, 1)), knowing(serving(0.08, 1))
	draw := func(earlier canary.Count, count int, portion float64) canary.Count {
		bad := int64(0)
		for range count {
			if random.Float64() < portion {
				bad++
			}
		}
		if slow {
			return canary.NewCount(earlier.Answers()+int64(count), 0, earlier.Slow()+bad, 0)
		}
		return canary.NewCount(earlier.Answers()+int64(count), earlier.Failed()+bad, 0, 0)
	}
	var candidate, baseline canary.Count
	for candidate.Answers() < 1000 {
		candidate, baseline = draw(candidate, 2, fresh), draw(baseline, 20, old)
		report := canary.NewOrderReport(serving(0.08, 1), false, 0, []canary.Sum{canary.NewSum("r", candidate, baseline)})
		tracker.Merge("n-1", 1, canary.NewReport(0, []canary.OrderReport{report}), second)
		if tracker.Verdict("engines").Halted() {
			return candidate.Answers()
		}
	}
	return 0
}

// TestErrorRates guards against tests that take good versions for bad, or miss bad ones.
func TestErrorRates(t *testing.T) {
	for _, test := range []struct {
		slow       bool
		fresh, old float64
		// alarms are the least and most alarms in 400 trials, and answers the mean number
		// until then.
		least, most int
		answers     int64
	}{
		{false, 0.01, 0.01, 0, 2, 1000},
		{false, 0.1, 0.1, 0, 4, 1000},
		{true, 0.05, 0.05, 0, 2, 1000},
		{true, 0.2, 0.2, 0, 4, 1000},
		{false, 0.12, 0.002, 396, 400, 150},
		{false, 0.3, 0.002, 400, 400, 40},
		{true, 0.85, 0.05, 400, 400, 20},
		{true, 0.85, 0.2, 400, 400, 40},
	} {
		t.Run(fmt.Sprintf("slow %t, %.3f against %.3f", test.slow, test.fresh, test.old), func(t *testing.T) {
			alarms, answers := 0, int64(0)
			for seed := range uint64(400) {
				if at := alarmAt(seed, test.slow, test.fresh, test.old); at > 0 {
					alarms, answers = alarms+1, answers+at
				}
			}
			t.Logf("%d alarms in 400 trials, after %.1f answers", alarms, float64(answers)/float64(max(1, alarms)))
			require.GreaterOrEqual(t, alarms, test.least)
			require.LessOrEqual(t, alarms, test.most)
			require.LessOrEqual(t, answers, test.answers*int64(max(1, alarms)))
		})
	}
}

func BenchmarkRequest(b *testing.B) {
	tracker := knowing(serving(0.08, 1))
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			tracker.Plan("engines", "r", false, second)
			tracker.Record("engines", "v1", canary.NewAnswer("r", 800, canary.OutcomeAnswered, 50), second)
		}
	})
}
