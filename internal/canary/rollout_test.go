package canary_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/canary"
	"sapphirehead/internal/clock"
)

// seeds plays more seeds: 50 of each scenario take about half a minute with 7 nodes, some
// minutes with 74 and half an hour with 295.
var seeds = flag.Uint64("seeds", 0, "number of seeds of each scenario at each number of nodes; 0 plays a few")

// playedLarge are the scenarios that are played by default with the number of nodes. The
// race detector makes the plays ten times slower.
var playedLarge = map[int][]string{
	74:  {"bad after 5 s", "four times slower after 5s", "alone", "burst"},
	295: {"bad after 5 s", "alone"},
}

// seedsOf returns the seeds to play with the number of nodes.
func seedsOf(name string, nodes int) uint64 {
	switch {
	case *seeds > 0:
		return *seeds
	case nodes <= 7:
		return 5
	case slices.Contains(playedLarge[nodes], name):
		return 1
	default:
		return 0
	}
}

// from returns a fault that begins at the time.
func from(begin clock.Millis, failed, factor float64) func(clock.Millis, int, float64) (float64, float64) {
	return func(at clock.Millis, _ int, _ float64) (float64, float64) {
		if at < begin {
			return 0, 1
		}
		return failed, factor
	}
}

var badScenarios = map[string]scenario{
	"bad from the first answer":  {fault: from(0, 0.3, 1)},
	"bad after 5 s":              {fault: from(listedAt+5*second, 0.3, 1)},
	"four times slower":          {fault: from(0, 0, 4)},
	"four times slower after 5s": {fault: from(listedAt+5*second, 0, 4)},
	"bad under load": {fault: func(_ clock.Millis, _ int, load float64) (float64, float64) {
		if load < 0.5 {
			return 0, 1
		}
		return 0.3, 1
	}},
	"bad on one route": {fault: func(_ clock.Millis, route int, _ float64) (float64, float64) {
		if route != 2 {
			return 0, 1
		}
		return 0.5, 1
	}},
	"half of the nodes cut off":  {fault: from(orderedAt+6*second, 0.3, 1), cutAt: orderedAt + 6*second},
	"all nodes killed":           {fault: from(0, 0.3, 1), killedAt: listedAt + 300},
	"holder replaced before":     {fault: from(0, 0.3, 1), replacedBefore: true},
	"holder replaced each write": {fault: from(0, 0.3, 1), replacedBefore: true, replacedAfter: true},
}

var goodScenarios = map[string]scenario{
	"alone": {},
}

var disturbedScenarios = map[string]scenario{
	"crashes": {crashes: 3},
	"burst": {disturbance: func(at clock.Millis) (float64, float64) {
		if at < listedAt+2*second || at > listedAt+4*second {
			return 0, 1
		}
		return 0.1, 3
	}},
	"burst after the promotion": {disturbance: func(at clock.Millis) (float64, float64) {
		if at < listedAt+6*second || at > listedAt+8*second {
			return 0, 1
		}
		return 0, 3
	}},
	"all nodes killed":           {killedAt: listedAt + 2*second},
	"holder replaced each write": {replacedBefore: true, replacedAfter: true},
}

func eachSeed(t *testing.T, scenarios map[string]scenario, expect func(t *testing.T, name string, nodes int, played []*fixture)) {
	t.Helper()
	for name, scenario := range scenarios {
		for _, nodes := range []int{7, 74, 295} {
			if seedsOf(name, nodes) == 0 {
				continue
			}
			t.Run(fmt.Sprint(name, "/", nodes), func(t *testing.T) {
				t.Parallel()
				var played []*fixture
				for seed := range seedsOf(name, nodes) {
					played = append(played, newFixture(nodes, scenario, seed).run())
				}
				expect(t, name, nodes, played)
			})
		}
	}
}

func expectBounded(t *testing.T, seed int, fixture *fixture) {
	t.Helper()
	require.LessOrEqual(t, float64(fixture.exposed), exposure*float64(fixture.requests)+slack, "exposure, seed %d, ended at %d: %s", seed, fixture.endedAt, fixture.reason)
	if fixture.fiftiethBad > 0 {
		require.LessOrEqual(t, fixture.lastExposed, fixture.fiftiethBad+rollback, "seed %d", seed)
	}
}

// expectDrained guards against requests that are lost as old servers stop at the success.
func expectDrained(t *testing.T, seed int, fixture *fixture) {
	t.Helper()
	require.Zero(t, fixture.lost, "seed %d: %s", seed, fixture.reason)
}

func TestBadVersions(t *testing.T) {
	eachSeed(t, badScenarios, func(t *testing.T, _ string, _ int, played []*fixture) {
		for seed, fixture := range played {
			require.Equal(t, canary.StateRolledBack, fixture.order.State(), "seed %d", seed)
			expectBounded(t, seed, fixture)
		}
	})
}

func TestGoodVersions(t *testing.T) {
	eachSeed(t, goodScenarios, func(t *testing.T, _ string, _ int, played []*fixture) {
		for seed, fixture := range played {
			require.Equal(t, canary.StateSucceeded, fixture.order.State(), "seed %d: %s", seed, fixture.reason)
			expectDrained(t, seed, fixture)
		}
	})
}

func TestDisturbedGoodVersions(t *testing.T) {
	eachSeed(t, disturbedScenarios, func(t *testing.T, _ string, _ int, played []*fixture) {
		succeeded, reason := 0, ""
		for _, fixture := range played {
			if fixture.order.State() == canary.StateSucceeded {
				succeeded++
			} else {
				reason = fixture.reason
			}
		}
		require.GreaterOrEqual(t, 100*succeeded, 95*len(played), reason)
	})
}
