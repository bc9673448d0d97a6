package platform_test

import (
	"context"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/platform"
)

// scene is two processes over one lease object whose calls fail as told.
type scene struct {
	t      *testing.T
	manual *clock.Manual
	store  *leaseStore
	next   string
	delay  clock.Millis
	first  *platform.Lease
	second *platform.Lease
}

func newScene(t *testing.T) *scene {
	manual := clock.NewManual(1000)
	scene := &scene{t: t, manual: manual, store: &leaseStore{manual: manual, calm: true}}
	scene.first, scene.second = scene.lease("entry-1", "a"), scene.lease("entry-2", "b")
	return scene
}

func (scene *scene) lease(holder, incarnation string) *platform.Lease {
	return platform.NewLease(scene.manual.Clock(), "orders.runners.lj-a", holder, incarnation, leaseDuration, scene.store.read, scene.write)
}

func (scene *scene) write(ctx context.Context, name string, record platform.LeaseRecord, condition int64) (int64, error) {
	fault := scene.next
	scene.next = ""
	switch fault {
	case "down":
		return 0, platform.NewUnavailableError(false, errors.New("down"))
	case "lost":
		_, _ = scene.store.write(ctx, name, record, condition)
		return 0, platform.NewUnavailableError(true, errors.New("no answer"))
	}
	version, err := scene.store.write(ctx, name, record, condition)
	scene.manual.Advance(scene.delay)
	return version, err
}

// keep lets the process look after the lease.
func (scene *scene) keep(lease *platform.Lease) { _ = lease.AcquireOrRenew(context.Background(), 0) }

func (scene *scene) pass(millis clock.Millis) { scene.manual.Advance(millis) }

// expectHolder checks which of the two processes hold the lease.
func (scene *scene) expectHolder(first, second bool) {
	scene.t.Helper()
	_, firstHolds := scene.first.Holding()
	_, secondHolds := scene.second.Holding()
	require.Equal(scene.t, first, firstHolds, "first process holds the lease")
	require.Equal(scene.t, second, secondHolds, "second process holds the lease")
}

// expectUntil checks when the first process's holding ends.
func (scene *scene) expectUntil(until clock.Millis) {
	scene.t.Helper()
	holding, held := scene.first.Holding()
	require.True(scene.t, held)
	require.Equal(scene.t, until, holding.Until())
}

func TestLease(t *testing.T) {
	run := func(name string, test func(scene *scene)) {
		t.Run(name, func(t *testing.T) { test(newScene(t)) })
	}
	run("a holder counts from before the write", func(scene *scene) {
		scene.delay = 4000
		scene.keep(scene.first)
		scene.expectUntil(1000 + leaseDuration)
	})
	run("a challenger waits a whole duration from its own first look", func(scene *scene) {
		scene.keep(scene.first)
		scene.pass(9000)
		scene.keep(scene.second)
		scene.pass(leaseDuration - 1)
		scene.keep(scene.second)
		scene.expectHolder(false, false)
		scene.pass(1)
		scene.keep(scene.second)
		scene.expectHolder(false, true)
	})
	run("a holder that was paused has lost the lease and does not get it back", func(scene *scene) {
		scene.keep(scene.first)
		scene.keep(scene.second)
		scene.pass(leaseDuration)
		scene.keep(scene.second)
		scene.keep(scene.first)
		scene.expectHolder(false, true)
	})
	run("a lost answer at acquisition is settled by reading back", func(scene *scene) {
		scene.next = "lost"
		scene.keep(scene.first)
		scene.expectHolder(false, false)
		scene.keep(scene.first)
		scene.expectHolder(true, false)
	})
	run("a lost answer at renewal: the earlier count goes on, then the renewal is settled", func(scene *scene) {
		scene.keep(scene.first)
		fence, _ := scene.first.Holding()
		scene.pass(3000)
		scene.next = "lost"
		scene.keep(scene.first)
		scene.expectUntil(1000 + leaseDuration)
		scene.pass(3000)
		scene.keep(scene.first)
		scene.expectUntil(7000 + leaseDuration)
		holding, _ := scene.first.Holding()
		require.Equal(scene.t, fence.Fence(), holding.Fence())
	})
	run("the store is down at renewal: the holder goes on to the end of its count", func(scene *scene) {
		scene.keep(scene.first)
		scene.pass(leaseDuration - 1)
		scene.next = "down"
		scene.keep(scene.first)
		scene.expectHolder(true, false)
		scene.pass(1)
		scene.expectHolder(false, false)
	})
	run("a restarted process waits out its own earlier lease", func(scene *scene) {
		scene.keep(scene.first)
		scene.second = scene.lease("entry-1", "c")
		scene.keep(scene.second)
		scene.keep(scene.second)
		scene.expectHolder(true, false)
	})
	run("a restarted process that is alone on its host succeeds its predecessor at once", func(scene *scene) {
		scene.keep(scene.first)
		before, _ := scene.first.Holding()
		scene.second = scene.lease("entry-1", "c").WithExclusiveHost()
		scene.keep(scene.second)
		scene.expectHolder(true, true)
		after, _ := scene.second.Holding()
		require.Greater(scene.t, after.Fence(), before.Fence())
		scene.keep(scene.first)
		scene.expectHolder(false, true)
	})
	run("a process that is alone on its host waits for the lease of another host", func(scene *scene) {
		scene.keep(scene.first)
		scene.second = scene.lease("entry-2", "c").WithExclusiveHost()
		scene.keep(scene.second)
		scene.expectHolder(true, false)
	})
	run("a released lease is taken at once, or after the hold-back", func(scene *scene) {
		scene.keep(scene.first)
		require.NoError(scene.t, scene.first.Release(context.Background()))
		require.NoError(scene.t, scene.second.AcquireOrRenew(context.Background(), 500))
		scene.expectHolder(false, false)
		scene.pass(500)
		require.NoError(scene.t, scene.second.AcquireOrRenew(context.Background(), 500))
		scene.expectHolder(false, true)
	})
	run("an order needs the margin and the holding under which it was decided", func(scene *scene) {
		scene.keep(scene.first)
		holding, _ := scene.first.Holding()
		scene.pass(leaseDuration - longestOrder - 1)
		require.True(scene.t, scene.first.Covers(holding.Fence(), longestOrder))
		scene.pass(1)
		require.False(scene.t, scene.first.Covers(holding.Fence(), longestOrder))
		scene.pass(longestOrder)
		scene.keep(scene.first)
		scene.expectHolder(true, false)
		require.False(scene.t, scene.first.Covers(holding.Fence(), longestOrder))
	})
}

func TestStanding(t *testing.T) {
	var all []platform.Candidate
	for i := range 380 {
		all = append(all, platform.NewCandidate("entry-"+string(rune('a'+i%26))+string(rune('a'+i/26)), "dc-"+string(rune('a'+i%5))))
	}
	t.Run("looks and leases of 380 stewards stay few", func(t *testing.T) {
		const leases = 60
		renewals, firsts := 0.0, map[int]int{}
		for lease := range leases {
			name := "orders.pool-" + string(rune('a'+lease/26)) + string(rune('a'+lease%26))
			for i, self := range all {
				candidacy := platform.NewCandidacy(name, "dc-a", self, all, leaseDuration)
				renewals += float64(candidacy.RenewInterval()) / float64(candidacy.PollInterval())
				if candidacy.Rank() == 0 {
					firsts[i]++
					require.Zero(t, i%5, "a steward in the lease's data centre ranks first")
				}
			}
		}
		require.Less(t, renewals/leases, 1.65)
		most := 0
		for _, count := range firsts {
			most = max(most, count)
		}
		require.LessOrEqual(t, most, 6, "60 leases over the 76 stewards of one data centre")
	})
	t.Run("a steward that knows no others holds back by its name", func(t *testing.T) {
		ranks := map[int]bool{}
		for _, self := range all {
			ranks[platform.NewCandidacy("hosts.runners", "", self, nil, leaseDuration).Rank()] = true
		}
		require.Len(t, ranks, 4)
	})
}
