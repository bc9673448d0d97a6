package measure

import (
	"testing"

	"github.com/stretchr/testify/require"
)

const testSeed = 7

func expectDeterministic(t *testing.T, deployment deployment, condition Condition, policy Policy) {
	t.Helper()
	first := measureOnce(deployment, condition, policy, testSeed)
	second := measureOnce(deployment, condition, policy, testSeed)
	require.Equal(t, first.total(), second.total())
	require.Equal(t, first.recomputed, second.recomputed)
	require.InDelta(t, first.firstTokens.Mean(), second.firstTokens.Mean(), 0)
}

// expectOneOutcome checks that the counts of the outcomes add up to the number of
// requests: a request that never ends or ends twice is counted wrongly.
func expectOneOutcome(t *testing.T, deployment deployment, condition Condition, policy Policy) {
	t.Helper()
	total := measureOnce(deployment, condition, policy, testSeed).total()
	require.Positive(t, total.offered)
	require.Equal(t, total.offered, total.inTime+total.late+total.refused+total.lost)
}

func TestRuns(t *testing.T) {
	for _, policy := range Policies() {
		t.Run(policy.Name(), func(t *testing.T) {
			t.Parallel()
			t.Run("the same seed gives the same result", func(t *testing.T) { expectDeterministic(t, filtrix(), Wave, policy) })
			t.Run("one outcome for each request", func(t *testing.T) { expectOneOutcome(t, tarbela(), Wave, policy) })
		})
	}
}
