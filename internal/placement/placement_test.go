package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/placement"
	"sapphirehead/internal/pool"
	"sapphirehead/internal/release"
	"sapphirehead/internal/route"
	"sapphirehead/internal/runner"
)

const engines = 4

type fixture struct {
	fleet      *backend.Fleet
	placement  *placement.Placement
	poolConfig pool.Pool
	prompt     runner.Prompt
}

func newFixture() *fixture { return newFixtureWith(func() float64 { return 0 }) }

// newFixtureWith returns a fixture whose placement draws the random numbers.
func newFixtureWith(random func() float64) *fixture {
	fixture := &fixture{
		fleet:      backend.NewFleet(),
		poolConfig: pool.New("engines", pool.KindRunner).WithEngine(pool.NewEngine(64)),
		prompt:     runner.NewPrompt([]runner.Part{runner.NewPart("head", 2500), runner.NewPart("session", 3800), runner.NewPart("tail", 900)}, 7200),
	}
	var list []backend.Listing
	for i := range engines {
		list = append(list, backend.NewListing(backend.NewServer(fmt.Sprint("e-", i), "10.0.0.1:80", "lj-a", "", "engines"), false))
	}
	fixture.fleet.Update(list)
	fixture.placement = placement.New(clock.NewManual(1000).Clock(), fixture.fleet, "lj-a", random)
	return fixture
}

func (fixture *fixture) choose(t *testing.T, exclude ...string) placement.Choice {
	t.Helper()
	choice, ok := fixture.placement.Choose(fixture.poolConfig, fixture.prompt, 0, exclude, 0)
	require.True(t, ok)
	return choice
}

func TestChoose(t *testing.T) {
	t.Run("a session goes to its preferred server, where only the tail is prefilled", func(t *testing.T) {
		fixture := newFixture()
		choice := fixture.choose(t)
		require.True(t, choice.Preferred())
		require.Equal(t, 900, choice.UncachedTokens())
		require.Equal(t, engines, choice.Candidates())
	})
	t.Run("a short queue at the preferred server is accepted", func(t *testing.T) {
		fixture := newFixture()
		fixture.choose(t).Server().Work().Queue(2000)
		require.True(t, fixture.choose(t).Preferred())
	})
	t.Run("a long queue is avoided, and the session's part is prefilled again", func(t *testing.T) {
		fixture := newFixture()
		fixture.choose(t).Server().Work().Queue(6000)
		choice := fixture.choose(t)
		require.False(t, choice.Preferred())
		require.Equal(t, 4700, choice.UncachedTokens())
	})
	t.Run("queues of peer nodes count", func(t *testing.T) {
		fixture := newFixture()
		fixture.choose(t).Server().Work().SetPeerPending(6000)
		require.False(t, fixture.choose(t).Preferred())
	})
	t.Run("an excluded server is left out", func(t *testing.T) {
		fixture := newFixture()
		preferred := fixture.choose(t).Server().Key()
		require.NotEqual(t, preferred, fixture.choose(t, preferred).Server().Key())
	})
	t.Run("a server with an open circuit is the last resort", func(t *testing.T) {
		fixture := newFixture()
		for _, server := range fixture.fleet.Current().Servers() {
			if server.ID() != "e-2" {
				server.Circuit().Trip(1000)
			}
		}
		require.Equal(t, "e-2", fixture.choose(t).Server().ID())
		fixture.fleet.Current().Server("e-2").Circuit().Trip(1000)
		require.Zero(t, fixture.choose(t).Candidates())
	})
	t.Run("a stream goes on at its release only, also where the circuits are open", func(t *testing.T) {
		fixture := newFixture()
		var list []backend.Listing
		for i := range engines {
			entry := backend.NewEntry(fmt.Sprint("v-", i), "10.0.0.1:80", "lj-a", "engines", 1).WithSoftware(fmt.Sprint("v", i%2))
			registry := backend.NewRegistry(0)
			registry.Set(entry, 0)
			list = append(list, registry.List(0)...)
		}
		fixture.fleet.Update(list)
		for _, server := range fixture.fleet.Current().Servers() {
			if server.Software() == "v1" {
				server.Circuit().Trip(1000)
			}
		}
		for range 3 {
			choice, ok := fixture.placement.Choose(fixture.poolConfig, fixture.prompt, 0, nil, release.New("engines", "v1"))
			require.True(t, ok)
			require.Equal(t, "v1", choice.Server().Software())
		}
		_, ok := fixture.placement.Choose(fixture.poolConfig, fixture.prompt, 0, nil, release.New("engines", "v3"))
		require.False(t, ok)
	})
	t.Run("a leaving server gets no requests", func(t *testing.T) {
		fixture := newFixture()
		for _, server := range fixture.fleet.Current().Servers() {
			server.MarkLeaving()
		}
		_, ok := fixture.placement.Choose(fixture.poolConfig, fixture.prompt, 0, nil, 0)
		require.False(t, ok)
	})
}

func TestLateness(t *testing.T) {
	routeConfig := route.New("chat", route.KindChat, "engines").WithTargets(800, 300, 6000)
	expectLate := func(t *testing.T, queued, rank int, late bool) {
		t.Helper()
		fixture := newFixture()
		for _, server := range fixture.fleet.Current().Servers() {
			server.Work().Queue(queued)
		}
		require.Equal(t, late, fixture.choose(t).Lateness(routeConfig, rank, 0) > 0)
	}
	t.Run("no queue", func(t *testing.T) { expectLate(t, 0, 0, false) })
	t.Run("a short queue", func(t *testing.T) { expectLate(t, 15000, 0, false) })
	t.Run("a long queue", func(t *testing.T) { expectLate(t, 24000, 0, true) })
	t.Run("less urgent requests are refused first", func(t *testing.T) {
		expectLate(t, 20000, 0, false)
		expectLate(t, 20000, 4, true)
	})
	t.Run("a prompt that is too long even on an idle engine is admitted", func(t *testing.T) {
		fixture := newFixture()
		fixture.prompt = runner.NewPrompt(nil, 60_000)
		require.Zero(t, fixture.choose(t).Lateness(routeConfig, 0, 0))
	})
}

// TestAlternateServer checks that a session whose preferred server is overloaded
// goes to one alternate server in another data centre, which is expected to have
// part of the session cached.
func TestAlternateServer(t *testing.T) {
	newSpread := func() *fixture {
		fixture := newFixture()
		var list []backend.Listing
		for i := range 3 * engines {
			server := backend.NewServer(fmt.Sprint("e-", i), "10.0.0.1:80", fmt.Sprint("dc-", i%3), "", "engines")
			list = append(list, backend.NewListing(server, false))
		}
		fixture.fleet.Update(list)
		return fixture
	}
	t.Run("it is in another data centre and the same each time", func(t *testing.T) {
		first, second := newSpread().chooseTwice(t)
		require.True(t, first.Preferred())
		require.False(t, second.Preferred())
		require.NotEqual(t, first.Server().DataCentre(), second.Server().DataCentre())
		_, again := newSpread().chooseTwice(t)
		require.Equal(t, second.Server().ID(), again.Server().ID())
	})
	t.Run("half of the session's parts are expected in its cache", func(t *testing.T) {
		_, second := newSpread().chooseTwice(t)
		require.Equal(t, 900+1900, second.UncachedTokens())
	})
	t.Run("it is preferred once the servers of the first data centre are leaving", func(t *testing.T) {
		fixture := newSpread()
		first, second := fixture.chooseTwice(t)
		for _, server := range fixture.fleet.Current().Servers() {
			if server.DataCentre() == first.Server().DataCentre() {
				server.MarkLeaving()
			}
		}
		choice := fixture.choose(t)
		require.True(t, choice.Preferred())
		require.Equal(t, second.Server().ID(), choice.Server().ID())
	})
}

// chooseTwice returns the choice for an idle fleet, and the one made while that
// server has a long queue.
func (fixture *fixture) chooseTwice(t *testing.T) (first, second placement.Choice) {
	t.Helper()
	first = fixture.choose(t)
	defer first.Server().Work().Queue(50_000)()
	return first, fixture.choose(t)
}

// TestCalibration guards against requests that are admitted although first events begin
// far later than the estimate says.
func TestCalibration(t *testing.T) {
	routeConfig := route.New("chat", route.KindChat, "engines").WithTargets(800, 300, 6000)
	expectLate := func(t *testing.T, expected float64, actual clock.Millis, late bool) {
		t.Helper()
		fixture := newFixture()
		for _, server := range fixture.fleet.Current().Servers() {
			server.Work().Queue(15000)
		}
		for range 200 {
			fixture.placement.Speed("engines").ObserveBeginning(expected, actual)
		}
		require.Equal(t, late, fixture.choose(t).Lateness(routeConfig, 0, 0) > 0)
	}
	t.Run("as expected", func(t *testing.T) { expectLate(t, 200, 235, false) })
	t.Run("much later", func(t *testing.T) { expectLate(t, 200, 500, true) })
	t.Run("earlier", func(t *testing.T) { expectLate(t, 200, 100, false) })
}

// TestUnseenWork guards against nodes that all choose the engine that looked idle in
// figures which are older than the work that peers have sent meanwhile.
func TestUnseenWork(t *testing.T) {
	expectChosen := func(t *testing.T, unseenMillis float64, atLeast, atMost int) {
		t.Helper()
		draws := rand.New(rand.NewPCG(3, 0))
		fixture := newFixtureWith(draws.Float64)
		fixture.prompt = runner.NewPrompt(nil, 900)
		fixture.placement.Speed("engines").SetUnseenMillis(unseenMillis)
		chosen := map[string]bool{}
		for range 200 {
			chosen[fixture.choose(t).Server().ID()] = true
		}
		require.GreaterOrEqual(t, len(chosen), atLeast)
		require.LessOrEqual(t, len(chosen), atMost)
	}
	t.Run("exact figures", func(t *testing.T) { expectChosen(t, 0, 1, 1) })
	t.Run("old figures", func(t *testing.T) { expectChosen(t, 40, engines, engines) })
}
