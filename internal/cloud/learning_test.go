package cloud_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/cloud"
	"sapphirehead/internal/pool"
	"sapphirehead/internal/route"
)

// expectBlocked checks whether starts of the kind have to wait.
func expectBlocked(t *testing.T, backoff *cloud.Backoff, blocked bool) {
	t.Helper()
	require.Equal(t, blocked, backoff.Blocked(testOffers[0].Kind()))
}

func TestBackoff(t *testing.T) {
	manual := clock.NewManual(1000)
	backoff := cloud.NewBackoff(manual.Clock(), func() float64 { return 0.5 })
	t.Run("waits after a refusal, for this kind only", func(t *testing.T) {
		backoff.Refused(testOffers[0].Kind())
		expectBlocked(t, backoff, true)
		require.False(t, backoff.Blocked(testOffers[1].Kind()))
		manual.Advance(5 * clock.Second)
		expectBlocked(t, backoff, false)
	})
	t.Run("doubles, and refusals sent together count once", func(t *testing.T) {
		backoff.Refused(testOffers[0].Kind())
		backoff.Refused(testOffers[0].Kind())
		manual.Advance(10*clock.Second - 1)
		expectBlocked(t, backoff, true)
		manual.Advance(1)
		expectBlocked(t, backoff, false)
	})
	t.Run("a start ends it", func(t *testing.T) {
		backoff.Refused(testOffers[0].Kind())
		backoff.Started(testOffers[0].Kind())
		expectBlocked(t, backoff, false)
	})
}

func TestRisk(t *testing.T) {
	manual := clock.NewManual(1000)
	risk := cloud.NewRisk(manual.Clock())
	kind := testOffers[0].Kind()
	risk.Observe(kind, 10)
	t.Run("notices raise the price of a kind", func(t *testing.T) {
		before := risk.Price(testOffers[0])
		risk.RecordNotice(kind)
		require.Greater(t, risk.Price(testOffers[0]), before)
		require.InDelta(t, 3.0, risk.Price(testOffers[3]), 0, "on demand")
		require.False(t, risk.Wave(kind))
	})
	t.Run("notices for half of the hosts are a wave for 5 minutes", func(t *testing.T) {
		for range 4 {
			risk.RecordNotice(kind)
		}
		require.True(t, risk.Wave(kind))
		manual.Advance(5 * clock.Minute)
		require.False(t, risk.Wave(kind))
	})
	t.Run("hours without notices lower the price", func(t *testing.T) {
		before := risk.Price(testOffers[0])
		manual.Advance(12 * clock.Hour)
		require.Less(t, risk.Price(testOffers[0]), before)
	})
}

// expectDemand observes a load and checks the number of hosts for it.
func expectDemand(t *testing.T, demand *cloud.Demand, busy, reporting, hosts, wanted int) {
	t.Helper()
	demand.Observe(busy, reporting, hosts, 10)
	require.Equal(t, wanted, demand.Hosts())
}

func TestDemand(t *testing.T) {
	manual := clock.NewManual(1000)
	demand := cloud.NewDemand(manual.Clock())
	t.Run("rises at once", func(t *testing.T) {
		expectDemand(t, demand, 7, 5, 5, 1)
		expectDemand(t, demand, 35, 5, 5, 5)
	})
	t.Run("falls after the window", func(t *testing.T) {
		manual.Advance(15*clock.Minute - 1)
		expectDemand(t, demand, 7, 5, 5, 5)
		manual.Advance(1)
		expectDemand(t, demand, 7, 5, 5, 1)
	})
	t.Run("does not fall while too few runners report", func(t *testing.T) {
		manual.Advance(15 * clock.Minute)
		expectDemand(t, demand, 0, 3, 5, 5)
	})
}

func TestNeed(t *testing.T) {
	poolConfig := pool.New("runners", pool.KindRunner).WithHosts("gpu", 2, 10)
	equal := func(route.Route) float64 { return 1 }
	routes := []route.Route{
		route.New("drafts", route.KindChat, "runners").WithWorth(1),
		route.New("desk", route.KindChat, "runners").WithWorth(9),
	}
	expectNeed := func(t *testing.T, demand, target, protected int, routes ...route.Route) {
		t.Helper()
		need := cloud.NewPoolNeed(poolConfig, routes, equal, demand)
		require.Equal(t, target, need.Target())
		require.Equal(t, protected, need.Protected())
	}
	t.Run("the routes of the highest worth are protected", func(t *testing.T) { expectNeed(t, 8, 8, 4, routes...) })
	t.Run("a single route is protected whole", func(t *testing.T) { expectNeed(t, 8, 8, 8, routes[1]) })
	t.Run("without demand the minimum holds", func(t *testing.T) { expectNeed(t, 0, 2, 1, routes...) })
	t.Run("the pool's maximum holds", func(t *testing.T) { expectNeed(t, 50, 10, 5, routes...) })
}

func TestStartRequests(t *testing.T) {
	startRequests := cloud.NewStartRequests("hosts.runners")
	startRequests.SetFence(41)
	kind, other := testOffers[0].Kind(), testOffers[1].Kind()
	t.Run("calls sent together have different ids", func(t *testing.T) {
		first := startRequests.Next(kind, nil)
		require.Equal(t, "hosts.runners.41.1", first)
		require.Equal(t, "hosts.runners.41.2", startRequests.Next(kind, []string{first}))
	})
	t.Run("a call whose response was lost is repeated with its id", func(t *testing.T) {
		startRequests.Resolve("hosts.runners.41.2")
		require.Equal(t, "hosts.runners.41.1", startRequests.Next(kind, nil))
		require.Equal(t, "hosts.runners.41.3", startRequests.Next(other, nil))
	})
	t.Run("a listed host resolves its call", func(t *testing.T) {
		startRequests.Reconcile([]cloud.Host{cloud.NewHost("host-1", "runners", testOffers[0], false).WithRequestID("hosts.runners.41.1")})
		require.Equal(t, "hosts.runners.41.4", startRequests.Next(kind, nil))
	})
	t.Run("a new lease starts new ids", func(t *testing.T) {
		startRequests.SetFence(42)
		require.Equal(t, "hosts.runners.42.1", startRequests.Next(kind, nil))
	})
}
