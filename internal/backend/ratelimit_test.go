package backend

import (
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/clock"
)

// expectTakes sends requests of the rank every 10 ms and checks how many are let through
// in a second.
func expectTakes(t *testing.T, rateLimit *RateLimit, rank int, from clock.Millis, expected int) {
	t.Helper()
	taken := 0
	for at := from; at < from+clock.Second; at += 10 {
		if rateLimit.Take(rank, at) {
			taken++
		}
	}
	require.InDelta(t, expected, taken, 1)
}

func newLimited(perSecond float64) *RateLimit {
	rateLimit := &RateLimit{}
	rateLimit.Observe(NewStatement(perSecond), 1000, 1000)
	return rateLimit
}

func TestRateLimit(t *testing.T) {
	t.Run("no limit", func(t *testing.T) { expectTakes(t, &RateLimit{}, 0, 1000, 100) })
	t.Run("a limit", func(t *testing.T) { expectTakes(t, newLimited(8), 0, 1000, 8) })
	t.Run("a later answer without a limit ends it", func(t *testing.T) {
		rateLimit := newLimited(8)
		require.True(t, rateLimit.Observe(NewUnlimited(), 1500, 1500))
		expectTakes(t, rateLimit, 0, 2000, 100)
	})
	t.Run("an answer that was overtaken does not end it", func(t *testing.T) {
		rateLimit := newLimited(8)
		require.False(t, rateLimit.Observe(NewUnlimited(), 900, 1100))
		require.True(t, rateLimit.IsLimited())
	})
	t.Run("an older report of a peer changes nothing", func(t *testing.T) {
		rateLimit := newLimited(8)
		require.False(t, rateLimit.Learn(NewUnlimited(), 900, 1500))
		expectTakes(t, rateLimit, 0, 2000, 13)
	})
	t.Run("requests of peers", func(t *testing.T) {
		rateLimit := newLimited(8)
		rateLimit.AddPeers(5, 1000)
		expectTakes(t, rateLimit, 0, 1000, 3)
	})
	t.Run("reports that are applied late add no tokens", func(t *testing.T) {
		rateLimit := newLimited(8)
		for at := clock.Millis(1000); at < 2000; at += 10 {
			rateLimit.Take(0, at)
			rateLimit.AddPeers(0, at-8)
		}
		expectTakes(t, rateLimit, 0, 2000, 8)
		require.InDelta(t, 16, rateLimit.sent.Load(), 1)
	})
	t.Run("a node without the reports of half of its peers", func(t *testing.T) {
		rateLimit := newLimited(8)
		rateLimit.SetUsage(0.5, 1, false)
		expectTakes(t, rateLimit, 0, 1000, 4)
	})
	t.Run("a server that is left to other nodes", func(t *testing.T) {
		rateLimit := newLimited(8)
		rateLimit.SetUsage(1, 1, true)
		expectTakes(t, rateLimit, 0, 1000, 0)
	})
	t.Run("a limit of 0 leaves a request now and then", func(t *testing.T) {
		rateLimit := newLimited(0)
		require.False(t, rateLimit.Take(0, 2000))
		require.Equal(t, 10*clock.Second, rateLimit.Wait(0, 1000))
		require.True(t, rateLimit.Take(0, 11_000))
		require.False(t, rateLimit.Take(0, 12_000))
	})
	t.Run("urgent requests are sent first", func(t *testing.T) {
		rateLimit := newLimited(8)
		urgent, other := 0, 0
		for at := clock.Millis(1000); at < 11_000; at += 50 {
			if rateLimit.Take(3, at) {
				other++
			}
			if at%100 == 0 && rateLimit.Take(0, at) {
				urgent++
			}
		}
		require.InDelta(t, 80, urgent+other, 8)
		require.Greater(t, urgent, 6*other)
	})
}

func TestLimitedNodes(t *testing.T) {
	expectNodes := func(t *testing.T, perSecond float64, nodes, expected int) {
		t.Helper()
		require.Equal(t, expected, LimitedNodes(perSecond, nodes))
	}
	t.Run("all of a few", func(t *testing.T) { expectNodes(t, 4, 7, 7) })
	t.Run("a low limit", func(t *testing.T) { expectNodes(t, 0.5, 7, 3) })
	t.Run("some of many", func(t *testing.T) { expectNodes(t, 3, 295, 7) })
}

// TestListedAgainWithoutLimit guards against a limit that is forgotten when the entry of
// a live server is gone for a while.
func TestListedAgainWithoutLimit(t *testing.T) {
	expectLimited := func(t *testing.T, start clock.Millis, limited bool) {
		t.Helper()
		fleet, entry := NewFleet(), NewEntry("a", "127.0.0.1:1", "lj-a", "runners", 1).WithStart(7)
		fleet.Update([]Listing{entry.listing()})
		fleet.Current().Server("a").RateLimit().Observe(NewStatement(2), 1000, 1000)
		for range 100 {
			fleet.Update(nil)
		}
		fleet.Update([]Listing{entry.WithStart(start).listing()})
		require.Equal(t, limited, fleet.Current().Server("a").RateLimit().IsLimited())
	}
	t.Run("the same run of the server", func(t *testing.T) { expectLimited(t, 7, true) })
	t.Run("another run", func(t *testing.T) { expectLimited(t, 8, false) })
}

// TestListedAgainDuringPause guards against a pause that is forgotten when the entry of a
// live server is gone for a while.
func TestListedAgainDuringPause(t *testing.T) {
	fleet, entry := NewFleet(), NewEntry("a", "127.0.0.1:1", "lj-a", "runners", 1).WithStart(7)
	fleet.Update([]Listing{entry.listing()})
	require.True(t, fleet.Current().Server("a").RateLimit().Pause(5*clock.Second, 1000))
	require.False(t, fleet.Current().Server("a").RateLimit().Pause(2*clock.Second, 2000), "an earlier end")
	fleet.Update(nil)
	fleet.Update([]Listing{entry.listing()})
	rateLimit := fleet.Current().Server("a").RateLimit()
	require.Equal(t, 3*clock.Second, rateLimit.Wait(0, 3000))
	require.False(t, rateLimit.Take(0, 5999))
	require.True(t, rateLimit.Take(0, 6000))
}

// TestOddVersionEndsLimit guards against a limit that is forgotten when the entry of a live
// server names another software version for a while, as odd entries do.
func TestOddVersionEndsLimit(t *testing.T) {
	fleet, entry := NewFleet(), NewEntry("a", "127.0.0.1:1", "lj-a", "runners", 1).WithStart(7).WithSoftware("v1")
	fleet.Update([]Listing{entry.listing()})
	fleet.Current().Server("a").RateLimit().Observe(NewStatement(2), 1000, 1000)
	for _, version := range []string{"", "v1", "v2"} {
		fleet.Update([]Listing{entry.WithSoftware(version).listing()})
		require.Equal(t, version, fleet.Current().Server("a").Software())
		require.True(t, fleet.Current().Server("a").RateLimit().IsLimited(), version)
	}
}
