package release_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/release"
)

// servers returns servers of the pool "engines", one of each version; an empty one is not
// known.
func servers(versions ...string) []*backend.Server {
	registry := backend.NewRegistry(0)
	for i, version := range versions {
		registry.Set(backend.NewEntry(fmt.Sprint("e-", i, version), "10.0.0.1:80", "lj-a", "engines", 1).WithSoftware(version), 0)
	}
	var all []*backend.Server
	for _, listing := range registry.List(0) {
		all = append(all, listing.Server())
	}
	return all
}

func ofVersion(version string) release.ID { return release.New("engines", version) }

const second = clock.Second

// span is the time for which a release must have served alone.
var span = release.AloneSpan(4 * second)

func expectBegan(t *testing.T, memory *release.Memory, id string, now clock.Millis, version string) {
	t.Helper()
	began, known := memory.BeganAt(release.NewRequestID(id), now)
	require.Equal(t, version != "", known)
	if known {
		require.Equal(t, ofVersion(version), began)
	}
}

func expectAlone(t *testing.T, memory *release.Memory, now clock.Millis, version string) {
	t.Helper()
	alone, known := memory.Alone("engines", span, now)
	require.Equal(t, version != "", known)
	if known {
		require.Equal(t, ofVersion(version), alone)
	}
}

// observe records the servers every two seconds up to the time.
func observe(memory *release.Memory, from, until clock.Millis, versions ...string) {
	for now := from; now <= until; now += 2 * second {
		memory.Observe(servers(versions...), release.Listed, now)
	}
}

func TestBeginnings(t *testing.T) {
	begin := func(memory *release.Memory, id, version string, now clock.Millis) {
		memory.Begin(release.NewRequestID(id), servers(version)[0], now+4*second, now)
	}
	t.Run("a beginning is known until the stream can't be taken up", func(t *testing.T) {
		memory := release.NewMemory(0)
		begin(memory, "r-1", "v1", 1*second)
		expectBegan(t, memory, "r-1", 5*second, "v1")
		expectBegan(t, memory, "r-1", 5*second+1, "")
		expectBegan(t, memory, "r-2", 1*second, "")
	})
	t.Run("peers are told of it", func(t *testing.T) {
		memory, peer := release.NewMemory(0), release.NewMemory(0)
		observe(memory, 0, 10*second, "v1", "v2")
		begin(memory, "r-1", "v2", 10*second)
		peer.Merge(memory.News(10*second+300), 10*second+320)
		expectBegan(t, peer, "r-1", 11*second, "v2")
	})
	t.Run("peers are not told of it where one release has served alone for long", func(t *testing.T) {
		memory := release.NewMemory(0)
		observe(memory, 0, 300*second, "v1")
		begin(memory, "r-1", "v1", 300*second)
		require.Empty(t, memory.News(300*second+300).Beginnings())
	})
	t.Run("but as soon as there is a second one", func(t *testing.T) {
		memory := release.NewMemory(0)
		observe(memory, 0, 300*second, "v1")
		begin(memory, "r-1", "v1", 300*second)
		require.True(t, memory.Observe(servers("v1", "v2"), release.Listed, 303*second))
		require.Len(t, memory.News(303*second).Beginnings(), 1)
	})
	t.Run("a later beginning counts after a take-up", func(t *testing.T) {
		memory := release.NewMemory(0)
		begin(memory, "r-1", "v1", 1*second)
		begin(memory, "r-1", "v1", 4*second)
		expectBegan(t, memory, "r-1", 8*second, "v1")
	})
	t.Run("news stay small", func(t *testing.T) {
		memory := release.NewMemory(0)
		observe(memory, 0, 2*second, "v1", "v2")
		for i := range 2000 {
			begin(memory, fmt.Sprint("r-", i), "v2", 2*second)
		}
		require.LessOrEqual(t, len(memory.News(2*second).Beginnings()), 24)
		for i := range 2000 {
			expectBegan(t, memory, fmt.Sprint("r-", i), 3*second, "v2")
		}
	})
}

func TestAlone(t *testing.T) {
	t.Run("one release that has served for long", func(t *testing.T) {
		memory := release.NewMemory(0)
		observe(memory, 0, span, "v1")
		expectAlone(t, memory, span, "v1")
	})
	t.Run("a node that has just started doesn't know what served", func(t *testing.T) {
		memory := release.NewMemory(0)
		observe(memory, 0, span-2*second, "v1")
		expectAlone(t, memory, span-1, "")
	})
	t.Run("a peer tells it", func(t *testing.T) {
		peer, memory := release.NewMemory(0), release.NewMemory(60*second)
		observe(peer, 0, 60*second, "v1")
		observe(memory, 60*second, 60*second, "v1")
		memory.Merge(peer.News(60*second+100), 60*second+120)
		expectAlone(t, memory, 60*second+200, "v1")
	})
	t.Run("also that another release served until lately", func(t *testing.T) {
		peer, memory := release.NewMemory(0), release.NewMemory(60*second)
		observe(peer, 0, 58*second, "v1", "v2")
		observe(memory, 60*second, 60*second, "v2")
		memory.Merge(peer.News(60*second), 60*second)
		expectAlone(t, memory, 60*second, "")
		observe(memory, 60*second, 60*second+span, "v2")
		expectAlone(t, memory, 60*second+span, "v2")
	})
	t.Run("a release that was gone for a while", func(t *testing.T) {
		memory := release.NewMemory(0)
		observe(memory, 0, 50*second, "v1")
		observe(memory, 50*second, 50*second+span/2, "v2")
		expectAlone(t, memory, 50*second+span/2, "")
	})
	t.Run("servers whose version isn't known are alike to none", func(t *testing.T) {
		memory := release.NewMemory(0)
		observe(memory, 0, span, "", "")
		expectAlone(t, memory, span, "")
	})
	t.Run("more releases than are remembered", func(t *testing.T) {
		memory := release.NewMemory(0)
		var versions []string
		for i := range 600 {
			versions = append(versions, fmt.Sprint("v", i))
		}
		observe(memory, 0, span, versions...)
		expectAlone(t, memory, span, "")
	})
	t.Run("another pool", func(t *testing.T) {
		memory := release.NewMemory(0)
		observe(memory, 0, span, "v1")
		_, known := memory.Alone("services", span, span)
		require.False(t, known)
	})
}
