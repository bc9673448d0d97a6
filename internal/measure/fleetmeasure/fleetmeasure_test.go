package fleetmeasure_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/measure/fleetmeasure"
)

// expectLessLost checks that over two days with waves the steward's planner
// loses less worth than the named policy.
func expectLessLost(t *testing.T, name string) {
	t.Helper()
	policies := fleetmeasure.Policies()
	for _, policy := range policies[1:] {
		if policy.Name() != name {
			continue
		}
		planner, other := 0.0, 0.0
		for seed := range uint64(2) {
			planner += fleetmeasure.Run(fleetmeasure.Deployments()[0], policies[0], seed, true).LostWorth()
			other += fleetmeasure.Run(fleetmeasure.Deployments()[0], policy, seed, true).LostWorth()
		}
		require.Less(t, planner, other)
		return
	}
	t.Fatalf("no policy %q", name)
}

func TestRun(t *testing.T) {
	t.Run("one seed gives one result", func(t *testing.T) {
		deployment, policy := fleetmeasure.Deployments()[1], fleetmeasure.Policies()[0]
		require.Equal(t, fleetmeasure.Run(deployment, policy, 7, true), fleetmeasure.Run(deployment, policy, 7, true))
	})
	t.Run("waves cost one data centre more", func(t *testing.T) { t.Parallel(); expectLessLost(t, "one data centre") })
	t.Run("waves cost an even spread more", func(t *testing.T) { t.Parallel(); expectLessLost(t, "even spread") })
}
