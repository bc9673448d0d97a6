package runner

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/request"
	"sapphirehead/internal/route"
)

// placerFixture is a placer over runners runner-0, runner-1 and so on, in virtual
// time.
type placerFixture struct {
	manual *clock.Manual
	fleet  *backend.Fleet
	index  *Index
	placer *Placer
	req    *request.Request
}

func newPlacerFixture(runners int, random func(n int) int) *placerFixture {
	fixture := &placerFixture{manual: clock.NewManual(1000), fleet: backend.NewFleet(), index: NewIndex(1 << 10)}
	var list []backend.Listing
	for i := range runners {
		id := fmt.Sprintf("runner-%d", i)
		list = append(list, backend.NewListing(backend.NewServer(id, id+":1", "lj-a", "gpu-small", "runners"), false))
	}
	fixture.fleet.Update(list)
	roundTrip := func(*backend.Server) float64 { return 1 }
	fixture.placer = NewPlacer(fixture.manual.Clock(), fixture.fleet, fixture.index, "entry-1", roundTrip, func(string) int { return 8 }, random)
	fixture.req = request.New("req-1", "garage-north", route.New("desk", route.KindChat, "runners"), "", request.Prompt{}, 1000)
	return fixture
}

func (fixture *placerFixture) server(i int) *backend.Server {
	return fixture.fleet.Current().Server(fmt.Sprintf("runner-%d", i))
}

func (fixture *placerFixture) report(i, running, queued, tokens int) {
	fixture.server(i).Report(backend.NewLoad(fixture.manual.Now(), running, queued, tokens))
}

// expectPlaced checks the runner that is chosen for a prompt.
func (fixture *placerFixture) expectPlaced(t *testing.T, chain Chain, runner int, exclude ...string) Estimate {
	t.Helper()
	estimate, ok := fixture.placer.Place(fixture.req, chain, 0, exclude)
	require.True(t, ok)
	require.Equal(t, fixture.server(runner).ID(), estimate.Server().ID())
	return estimate
}

func chainFrom(first, blocks int) Chain {
	var hashes []uint64
	for i := range blocks {
		hashes = append(hashes, uint64(first+i+1)*0x9e3779b97f4a7c15)
	}
	return NewChain(hashes, blocks*BlockTokens)
}

func alwaysFirst(int) int { return 0 }

func TestPlace(t *testing.T) {
	longChain := chainFrom(0, 100)
	t.Run("a runner with the prefix cached is chosen", func(t *testing.T) {
		fixture := newPlacerFixture(3, alwaysFirst)
		fixture.index.Record(fixture.server(2), longChain)
		require.Zero(t, fixture.expectPlaced(t, longChain, 2).PrefillTokens())
	})
	t.Run("a hot prefix spreads once its runner is full", func(t *testing.T) {
		fixture := newPlacerFixture(2, alwaysFirst)
		fixture.index.Record(fixture.server(0), longChain)
		fixture.report(0, 8, 4, 0)
		fixture.report(1, 0, 0, 0)
		fixture.expectPlaced(t, longChain, 1)
	})
	t.Run("prompts sent since the report count", func(t *testing.T) {
		fixture := newPlacerFixture(2, alwaysFirst)
		fixture.report(0, 0, 0, 0)
		fixture.report(1, 0, 0, 400)
		fixture.expectPlaced(t, longChain, 0)
		fixture.expectPlaced(t, chainFrom(1000, 100), 1)
	})
	t.Run("a runner with an open circuit is not chosen", func(t *testing.T) {
		fixture := newPlacerFixture(2, alwaysFirst)
		for range 3 {
			fixture.server(0).Circuit().Failed(fixture.manual.Now())
		}
		fixture.expectPlaced(t, longChain, 1)
	})
	t.Run("the load of a new runner is ramped up", func(t *testing.T) {
		fixture := newPlacerFixture(1, alwaysFirst)
		fixture.placer.Refresh()
		fixture.manual.Advance(clock.Minute)
		fixture.fleet.Update([]backend.Listing{
			backend.NewListing(fixture.server(0), false),
			backend.NewListing(backend.NewServer("runner-1", "runner-1:1", "lj-a", "gpu-small", "runners"), false),
		})
		fixture.report(0, 2, 0, 0)
		fixture.report(1, 0, 0, 0)
		fixture.expectPlaced(t, longChain, 0)
		fixture.manual.Advance(clock.Minute)
		fixture.report(0, 8, 0, 0)
		fixture.expectPlaced(t, chainFrom(5000, 100), 1)
	})
	t.Run("excluded and leaving runners are never chosen", func(t *testing.T) {
		fixture := newPlacerFixture(3, alwaysFirst)
		fixture.fleet.MarkLeaving("runner-0")
		fixture.expectPlaced(t, longChain, 2, "runner-1")
		_, ok := fixture.placer.Place(fixture.req, longChain, 0, []string{"runner-1", "runner-2"})
		require.False(t, ok)
	})
	t.Run("nodes do not all choose the same of equal candidates", func(t *testing.T) {
		chosen := map[string]bool{}
		for node := range 7 {
			fixture := newPlacerFixture(10, func(n int) int { return node % n })
			estimate, _ := fixture.placer.Place(fixture.req, longChain, 0, nil)
			chosen[estimate.Server().ID()] = true
		}
		require.Len(t, chosen, 7)
	})
	t.Run("in a large pool a node considers a bounded subset", func(t *testing.T) {
		fixture := newPlacerFixture(3700, alwaysFirst)
		fixture.placer.Refresh()
		subset := fixture.placer.subsets.get(fixture.fleet.Current(), "entry-1", fixture.manual.Now())
		require.Len(t, subset.candidates("runners"), MaxCandidates)
	})
}

func TestIndex(t *testing.T) {
	chain := chainFrom(0, 10)
	cachedTokens := func(events ...CacheEvent) (cached int) {
		fixture := newPlacerFixture(1, alwaysFirst)
		fixture.index.Apply(fixture.server(0), events)
		return fixture.index.Cached(fixture.server(0), chain)
	}
	stored := func(sequence int64, block int) CacheEvent {
		return NewCacheEvent(sequence, chain.Blocks()[block], true)
	}
	t.Run("events add a prefix", func(t *testing.T) {
		require.Equal(t, 2*BlockTokens, cachedTokens(stored(1, 0), stored(2, 1)))
	})
	t.Run("an event removes a block", func(t *testing.T) {
		require.Equal(t, BlockTokens, cachedTokens(stored(1, 0), stored(2, 1), NewCacheEvent(3, chain.Blocks()[1], false)))
	})
	t.Run("a gap only lowers the confidence", func(t *testing.T) {
		cached := cachedTokens(stored(1, 0), stored(2, 1), stored(9, 2))
		require.Greater(t, cached, 2*BlockTokens/2)
		require.Less(t, cached, 3*BlockTokens)
	})
	t.Run("late events are ignored", func(t *testing.T) {
		require.Equal(t, BlockTokens, cachedTokens(stored(5, 0), stored(4, 1)))
	})
	t.Run("old blocks are replaced, so memory is bounded", func(t *testing.T) {
		fixture := newPlacerFixture(2, alwaysFirst)
		fixture.index.Record(fixture.server(0), chain)
		for i := range 2000 {
			fixture.index.Record(fixture.server(1), chainFrom(1000+10*i, 10))
		}
		require.Zero(t, fixture.index.Cached(fixture.server(0), chain))
	})
	t.Run("a block that replaces another has none of its holders", func(t *testing.T) {
		fixture, other := newPlacerFixture(2, alwaysFirst), chainFrom(1000, waysPerSet)
		index := NewIndex(1)
		index.Record(fixture.server(0), chainFrom(0, waysPerSet))
		index.Record(fixture.server(1), other)
		require.Zero(t, index.Cached(fixture.server(0), other))
	})
}
