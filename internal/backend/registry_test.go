package backend_test

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/platform"
)

const testGrace = 1800 * clock.Millisecond

func newEntry(id string, revision int64) backend.Entry {
	return backend.NewEntry(id, "10.0.0.1:80", "lj-a", "runners", revision)
}

func expectListed(t *testing.T, registry *backend.Registry, now clock.Millis, wantIDs ...string) {
	t.Helper()
	var ids []string
	for _, listing := range registry.List(now) {
		if !listing.Leaving() {
			ids = append(ids, listing.Server().ID())
		}
	}
	slices.Sort(ids)
	require.Equal(t, wantIDs, ids)
}

func TestRegistry(t *testing.T) {
	t.Run("an entry removed without an outage is dropped at once", func(t *testing.T) {
		registry := backend.NewRegistry(testGrace)
		registry.Replace([]backend.Entry{newEntry("a", 1), newEntry("b", 2)}, 2, 0)
		registry.Remove("a", 3, 30000)
		expectListed(t, registry, 30000, "b")
	})
	t.Run("an entry removed after an outage is kept for the grace", func(t *testing.T) {
		registry := backend.NewRegistry(testGrace)
		registry.Replace([]backend.Entry{newEntry("a", 1)}, 2, 0)
		registry.SetUnavailable()
		registry.SetAvailable(15000)
		registry.Remove("a", 3, 15000)
		end, ok := registry.GraceEnd()
		require.True(t, ok)
		require.Equal(t, 15000+testGrace, end)
		expectListed(t, registry, end-1, "a")
		require.Empty(t, registry.List(end))
	})
	t.Run("an entry that a restored store lacks is kept for the grace", func(t *testing.T) {
		registry := backend.NewRegistry(testGrace)
		registry.Replace([]backend.Entry{newEntry("a", platform.NewVersion(1, 8)), newEntry("b", platform.NewVersion(1, 9))}, platform.NewVersion(1, 9), 0)
		registry.Replace([]backend.Entry{newEntry("a", platform.NewVersion(2, 8))}, platform.NewVersion(2, 8), 30000)
		expectListed(t, registry, 30000+testGrace-1, "a", "b")
		expectListed(t, registry, 30000+testGrace, "a")
	})
	t.Run("an entry written again within the grace stays", func(t *testing.T) {
		registry := backend.NewRegistry(testGrace)
		registry.Replace([]backend.Entry{newEntry("a", 1)}, 2, 0)
		registry.SetUnavailable()
		registry.SetAvailable(15000)
		registry.Remove("a", 3, 15000)
		registry.Set(newEntry("a", 4), 16000)
		expectListed(t, registry, 20000, "a")
	})
	t.Run("a leaving server is dropped at once also after an outage", func(t *testing.T) {
		registry := backend.NewRegistry(testGrace)
		registry.Replace([]backend.Entry{newEntry("a", 1).WithLeaving(backend.NoticeUnknown)}, 2, 0)
		registry.SetUnavailable()
		registry.SetAvailable(15000)
		registry.Remove("a", 3, 15000)
		require.Empty(t, registry.List(15000))
	})
	t.Run("an older revision changes nothing", func(t *testing.T) {
		registry := backend.NewRegistry(testGrace)
		registry.Set(newEntry("a", 5).WithLeaving(backend.NoticeUnknown), 0)
		registry.Set(newEntry("a", 4), 1)
		registry.Remove("a", 4, 2)
		expectListed(t, registry, 3)
		require.Len(t, registry.List(3), 1)
	})
	t.Run("a list that is older than an entry does not drop it", func(t *testing.T) {
		registry := backend.NewRegistry(testGrace)
		registry.Set(newEntry("new", 9), 0)
		registry.Replace([]backend.Entry{newEntry("a", 1)}, 5, 1)
		expectListed(t, registry, 2, "a", "new")
	})
	t.Run("a leaving server's notice counts from when it was first received", func(t *testing.T) {
		registry := backend.NewRegistry(testGrace)
		registry.Set(newEntry("a", 1).WithLeaving(2500), 1000)
		registry.Set(newEntry("a", 2).WithLeaving(2500), 1400)
		fleet := backend.NewFleet()
		require.Equal(t, []string{"a"}, fleet.Update(registry.List(1500)))
		require.Equal(t, clock.Millis(3500), fleet.Current().Server("a").EndsAt())
	})
	t.Run("a server that restarts under its id is not leaving", func(t *testing.T) {
		registry := backend.NewRegistry(testGrace)
		registry.Set(newEntry("a", 1).WithStart(100).WithLeaving(backend.NoticeUnknown), 0)
		fleet := backend.NewFleet()
		fleet.Update(registry.List(0))
		require.True(t, fleet.Current().Server("a").Leaving())
		registry.Set(newEntry("a", 2).WithStart(900), 1)
		fleet.Update(registry.List(1))
		require.False(t, fleet.Current().Server("a").Leaving())
	})
}

func TestRetryWindow(t *testing.T) {
	const length = 10 * clock.Second
	expectTaken := func(t *testing.T, window *backend.RetryWindow, now clock.Millis, slack float64, retries int) {
		t.Helper()
		count := 0
		for window.Take(length, now, 0.2, slack) {
			count++
		}
		require.Equal(t, retries, count)
	}
	t.Run("slack alone", func(t *testing.T) { expectTaken(t, backend.NewRetryWindow(), 50000, 3, 3) })
	t.Run("a share of the requests", func(t *testing.T) {
		window := backend.NewRetryWindow()
		for range 100 {
			window.Request(length, 50000)
		}
		expectTaken(t, window, 50000, 0, 20)
		expectTaken(t, window, 55000, 0, 0)
	})
	t.Run("old requests do not count", func(t *testing.T) {
		window := backend.NewRetryWindow()
		for range 100 {
			window.Request(length, 50000)
		}
		expectTaken(t, window, 62000, 1, 1)
	})
	t.Run("old repeats do not count", func(t *testing.T) {
		window := backend.NewRetryWindow()
		expectTaken(t, window, 50000, 2, 2)
		expectTaken(t, window, 59000, 2, 0)
		expectTaken(t, window, 61500, 2, 2)
	})
}

func TestTrip(t *testing.T) {
	var circuit backend.Circuit
	circuit.Trip(1000)
	require.False(t, circuit.Allows(1999))
	require.True(t, circuit.Allows(2000))
	circuit.Succeeded(2000)
	require.True(t, circuit.Allows(2001))
}
