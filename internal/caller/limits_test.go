package caller

import (
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/route"
)

// expectAdmitted offers requests and checks how many are admitted.
func expectAdmitted(t *testing.T, limits []*Limits, account *Account, routeConfig route.Route, offered, admitted int) (releases []func()) {
	t.Helper()
	for i := range offered {
		if release, err := limits[i%len(limits)].Admit(account, routeConfig); err == nil {
			releases = append(releases, release)
		}
	}
	require.Len(t, releases, admitted)
	return releases
}

func TestLimits(t *testing.T) {
	manual := clock.NewManual(1000)
	nodes := func(count int) []*Limits {
		var limits []*Limits
		for range count {
			limits = append(limits, NewLimits(manual.Clock(), func() int { return count }))
		}
		return limits
	}
	large, small := NewAccount("large", 0), NewAccount("small", 0)
	t.Run("maxInFlight holds over all nodes and for each account", func(t *testing.T) {
		limits, routeConfig := nodes(7), deskRoute.WithLimits(21, 0)
		releases := expectAdmitted(t, limits, large, routeConfig, 70, 21)
		expectAdmitted(t, limits, small, routeConfig, 70, 21)
		releases[0]()
		releases[0]()
		expectAdmitted(t, limits, large, routeConfig, 70, 1)
	})
	t.Run("a rate holds over all nodes, with a burst of one second", func(t *testing.T) {
		limits, routeConfig := nodes(7), deskRoute.WithLimits(0, 70)
		expectAdmitted(t, limits, large, routeConfig, 700, 70)
		manual.Advance(2 * clock.Second)
		expectAdmitted(t, limits, large, routeConfig, 700, 70)
	})
	t.Run("a refusal over the rate has the wait", func(t *testing.T) {
		limits, routeConfig := nodes(1), deskRoute.WithLimits(0, 2)
		expectAdmitted(t, limits, large, routeConfig, 2, 2)
		_, err := limits[0].Admit(large, routeConfig)
		expectNotRun(t, err, 500)
	})
	t.Run("no limit", func(t *testing.T) {
		expectAdmitted(t, nodes(7), large, deskRoute, 700, 700)
	})
}
