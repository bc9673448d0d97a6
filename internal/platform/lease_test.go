package platform_test

import (
	"context"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/platform"
)

// fixture is two processes that share one lease object, with faults set by the
// test.
type fixture struct {
	t          *testing.T
	manual     *clock.Manual
	store      *leaseStore
	nextFault  string
	writeDelay clock.Millis
	first      *platform.Lease
	second     *platform.Lease
}

func newFixture(t *testing.T) *fixture {
	manual := clock.NewManual(1000)
	fixture := &fixture{t: t, manual: manual, store: &leaseStore{manual: manual, faultless: true}}
	fixture.first, fixture.second = fixture.lease("entry-1", "a"), fixture.lease("entry-2", "b")
	return fixture
}

func (fixture *fixture) lease(holder, incarnation string) *platform.Lease {
	return platform.NewLease(fixture.manual.Clock(), "orders.runners.lj-a", holder, incarnation, leaseDuration, fixture.store.read, fixture.write)
}

func (fixture *fixture) write(ctx context.Context, name string, record platform.LeaseRecord, condition int64) (int64, error) {
	fault := fixture.nextFault
	fixture.nextFault = ""
	switch fault {
	case "down":
		return 0, platform.NewUnavailableError(false, errors.New("down"))
	case "lost":
		_, _ = fixture.store.write(ctx, name, record, condition)
		return 0, platform.NewUnavailableError(true, errors.New("no answer"))
	}
	version, err := fixture.store.write(ctx, name, record, condition)
	fixture.manual.Advance(fixture.writeDelay)
	return version, err
}

// own acquires or renews the process's lease without a takeover delay.
func (fixture *fixture) own(lease *platform.Lease) { _ = lease.AcquireOrRenew(context.Background(), 0) }

func (fixture *fixture) advance(millis clock.Millis) { fixture.manual.Advance(millis) }

// expectHolder checks which of the two processes hold the lease.
func (fixture *fixture) expectHolder(first, second bool) {
	fixture.t.Helper()
	_, firstHolds := fixture.first.Holding()
	_, secondHolds := fixture.second.Holding()
	require.Equal(fixture.t, first, firstHolds, "first process holds the lease")
	require.Equal(fixture.t, second, secondHolds, "second process holds the lease")
}

// expectUntil checks the end of the first process's holding.
func (fixture *fixture) expectUntil(until clock.Millis) {
	fixture.t.Helper()
	holding, held := fixture.first.Holding()
	require.True(fixture.t, held)
	require.Equal(fixture.t, until, holding.Until())
}

func TestLease(t *testing.T) {
	run := func(name string, test func(fixture *fixture)) {
		t.Run(name, func(t *testing.T) { test(newFixture(t)) })
	}
	run("a holder counts from before the write", func(fixture *fixture) {
		fixture.writeDelay = 4000
		fixture.own(fixture.first)
		fixture.expectUntil(1000 + leaseDuration)
	})
	run("a challenger waits for the whole duration from its own first read", func(fixture *fixture) {
		fixture.own(fixture.first)
		fixture.advance(9000)
		fixture.own(fixture.second)
		fixture.advance(leaseDuration - 1)
		fixture.own(fixture.second)
		fixture.expectHolder(false, false)
		fixture.advance(1)
		fixture.own(fixture.second)
		fixture.expectHolder(false, true)
	})
	run("a holder that was paused longer than the duration has lost the lease", func(fixture *fixture) {
		fixture.own(fixture.first)
		fixture.own(fixture.second)
		fixture.advance(leaseDuration)
		fixture.own(fixture.second)
		fixture.own(fixture.first)
		fixture.expectHolder(false, true)
	})
	run("a lost response to an acquisition is resolved by reading back", func(fixture *fixture) {
		fixture.nextFault = "lost"
		fixture.own(fixture.first)
		fixture.expectHolder(false, false)
		fixture.own(fixture.first)
		fixture.expectHolder(true, false)
	})
	run("a lost response to a renewal: the earlier period stays valid until the renewal is resolved", func(fixture *fixture) {
		fixture.own(fixture.first)
		before, _ := fixture.first.Holding()
		fixture.advance(3000)
		fixture.nextFault = "lost"
		fixture.own(fixture.first)
		fixture.expectUntil(1000 + leaseDuration)
		fixture.advance(3000)
		fixture.own(fixture.first)
		fixture.expectUntil(7000 + leaseDuration)
		holding, _ := fixture.first.Holding()
		require.Equal(fixture.t, before.Fence(), holding.Fence())
	})
	run("the store is down at renewal: the lease is held to the end of the period", func(fixture *fixture) {
		fixture.own(fixture.first)
		fixture.advance(leaseDuration - 1)
		fixture.nextFault = "down"
		fixture.own(fixture.first)
		fixture.expectHolder(true, false)
		fixture.advance(1)
		fixture.expectHolder(false, false)
	})
	run("a restarted process waits for its own earlier lease to expire", func(fixture *fixture) {
		fixture.own(fixture.first)
		fixture.second = fixture.lease("entry-1", "c")
		fixture.own(fixture.second)
		fixture.own(fixture.second)
		fixture.expectHolder(true, false)
	})
	run("a restarted process that is alone on its host acquires its predecessor's lease at once", func(fixture *fixture) {
		fixture.own(fixture.first)
		before, _ := fixture.first.Holding()
		fixture.second = fixture.lease("entry-1", "c").WithExclusiveHost()
		fixture.own(fixture.second)
		fixture.expectHolder(true, true)
		after, _ := fixture.second.Holding()
		require.Greater(fixture.t, after.Fence(), before.Fence())
		fixture.own(fixture.first)
		fixture.expectHolder(false, true)
	})
	run("a process that is alone on its host waits for the lease of another host", func(fixture *fixture) {
		fixture.own(fixture.first)
		fixture.second = fixture.lease("entry-2", "c").WithExclusiveHost()
		fixture.own(fixture.second)
		fixture.expectHolder(true, false)
	})
	run("a released lease is acquired after the takeover delay", func(fixture *fixture) {
		fixture.own(fixture.first)
		require.NoError(fixture.t, fixture.first.Release(context.Background()))
		require.NoError(fixture.t, fixture.second.AcquireOrRenew(context.Background(), 500))
		fixture.expectHolder(false, false)
		fixture.advance(500)
		require.NoError(fixture.t, fixture.second.AcquireOrRenew(context.Background(), 500))
		fixture.expectHolder(false, true)
	})
	run("an order needs the margin and the holding under which it was decided", func(fixture *fixture) {
		fixture.own(fixture.first)
		holding, _ := fixture.first.Holding()
		fixture.advance(leaseDuration - maxOrderDuration - 1)
		require.True(fixture.t, fixture.first.Covers(holding.Fence(), maxOrderDuration))
		fixture.advance(1)
		require.False(fixture.t, fixture.first.Covers(holding.Fence(), maxOrderDuration))
		fixture.advance(maxOrderDuration)
		fixture.own(fixture.first)
		fixture.expectHolder(true, false)
		require.False(fixture.t, fixture.first.Covers(holding.Fence(), maxOrderDuration))
	})
}

func TestCandidacy(t *testing.T) {
	var all []platform.Candidate
	for i := range 380 {
		all = append(all, platform.NewCandidate("entry-"+string(rune('a'+i%26))+string(rune('a'+i/26)), "dc-"+string(rune('a'+i%5))))
	}
	t.Run("380 stewards poll rarely and share the leases evenly", func(t *testing.T) {
		const leases = 60
		renewals, firstRanks := 0.0, map[int]int{}
		for lease := range leases {
			name := "orders.pool-" + string(rune('a'+lease/26)) + string(rune('a'+lease%26))
			for i, self := range all {
				candidacy := platform.NewCandidacy(name, "dc-a", self, all, leaseDuration)
				renewals += float64(candidacy.RenewInterval()) / float64(candidacy.PollInterval())
				if candidacy.Rank() == 0 {
					firstRanks[i]++
					require.Zero(t, i%5, "a steward in the lease's data centre ranks first")
				}
			}
		}
		require.Less(t, renewals/leases, 1.65)
		highest := 0
		for _, count := range firstRanks {
			highest = max(highest, count)
		}
		require.LessOrEqual(t, highest, 6, "60 leases over the 76 stewards of one data centre")
	})
	t.Run("a steward without known peers is ranked by its name", func(t *testing.T) {
		ranks := map[int]bool{}
		for _, self := range all {
			ranks[platform.NewCandidacy("hosts.runners", "", self, nil, leaseDuration).Rank()] = true
		}
		require.Len(t, ranks, 4)
	})
}

// TestHolderIsLostWithItsRecord guards against a second holder, and a gap without one,
// after the store lost the record of the lease (incident ONE).
func TestHolderIsLostWithItsRecord(t *testing.T) {
	run := func(name string, test func(fixture *fixture)) {
		t.Run(name, func(t *testing.T) { test(newFixture(t)) })
	}
	// restore goes back to the record at the revision, 0 if there was no object.
	restore := func(fixture *fixture, revision int64, record platform.LeaseRecord) {
		fixture.store.record, fixture.store.version = record, platform.NewVersion(platform.EraOf(fixture.store.version)+1, revision)
	}
	own := platform.NewLeaseRecord("entry-2", "b", "b.1", leaseDuration)
	for name, copied := range map[string]platform.LeaseRecord{"none": {}, "released": own.WithReleased(true), "an earlier one of the challenger": own} {
		run("the challenger waits for the holder's period, record "+name, func(fixture *fixture) {
			fixture.own(fixture.first)
			restore(fixture, 3, copied)
			fixture.own(fixture.second)
			fixture.expectHolder(true, false)
			fixture.advance(leaseDuration)
			fixture.own(fixture.second)
			fixture.expectHolder(false, true)
		})
	}
	run("the holder writes its record again", func(fixture *fixture) {
		fixture.own(fixture.first)
		before, _ := fixture.first.Holding()
		fixture.advance(3000)
		restore(fixture, 0, platform.LeaseRecord{})
		fixture.own(fixture.first)
		fixture.expectUntil(4000 + leaseDuration)
		holding, _ := fixture.first.Holding()
		require.Equal(t, before.Fence(), holding.Fence())
	})
	run("the next holder's fencing token is higher", func(fixture *fixture) {
		for range 5 {
			fixture.own(fixture.first)
		}
		before, _ := fixture.first.Holding()
		restore(fixture, 0, platform.LeaseRecord{})
		fixture.own(fixture.second)
		fixture.advance(leaseDuration)
		fixture.own(fixture.second)
		holding, held := fixture.second.Holding()
		require.True(t, held)
		require.Greater(t, holding.Fence(), before.Fence())
	})
}
