package cloud_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/cloud"
	"sapphirehead/internal/pool"
)

func testRental() pool.Rental {
	return pool.NewRental(1, 6, 4*clock.Second, 0.22, map[string]float64{"lj-a": 0.85, "lj-b": 1.2, "lj-c": 1.0})
}

func sums(places map[cloud.Place]int) (reclaimable, others int) {
	for place, count := range places {
		if place.Reclaimable() {
			reclaimable += count
		} else {
			others += count
		}
	}
	return reclaimable, others
}

func TestSizing(t *testing.T) {
	spread := func(each int) map[cloud.Place]int {
		serving := map[cloud.Place]int{}
		for _, centre := range testRental().DataCentres() {
			serving[cloud.NewPlace(centre, true)] = each
		}
		return serving
	}
	expectWanted := func(t *testing.T, sizing *cloud.Sizing, serving map[cloud.Place]int, scarce bool, reclaimable, others int) {
		t.Helper()
		gotReclaimable, gotOthers := sums(sizing.Wanted(testRental(), serving, scarce))
		require.Equal(t, []int{reclaimable, others}, []int{gotReclaimable, gotOthers})
	}
	newSizing := func(work float64) (*cloud.Sizing, *clock.Manual) {
		manual := clock.NewManual(1000)
		sizing := cloud.NewSizing(manual.Clock())
		sizing.Observe(work)
		return sizing, manual
	}
	t.Run("reclaimable servers leave enough when one data centre's go", func(t *testing.T) {
		sizing, _ := newSizing(1.8)
		expectWanted(t, sizing, spread(2), false, 6, 0)
	})
	t.Run("others fill in until reclaimable ones serve", func(t *testing.T) {
		sizing, _ := newSizing(1.8)
		expectWanted(t, sizing, nil, false, 6, 4)
	})
	t.Run("others carry the demand alone while reclaimable ones are scarce", func(t *testing.T) {
		sizing, _ := newSizing(1.8)
		expectWanted(t, sizing, spread(2), true, 6, 3)
	})
	t.Run("no reclaimable server is let go while they are scarce", func(t *testing.T) {
		sizing, _ := newSizing(1.8)
		expectWanted(t, sizing, spread(4), true, 12, 3)
		expectWanted(t, sizing, spread(4), false, 6, 0)
	})
	t.Run("the cheapest data centres come first", func(t *testing.T) {
		sizing, _ := newSizing(1.1)
		wanted := sizing.Wanted(testRental(), nil, false)
		require.Equal(t, 1, wanted[cloud.NewPlace("lj-a", false)])
		require.Equal(t, 1, wanted[cloud.NewPlace("lj-c", false)])
		require.Zero(t, wanted[cloud.NewPlace("lj-b", false)])
	})
	t.Run("a peak holds its servers for a minute", func(t *testing.T) {
		sizing, manual := newSizing(1.8)
		manual.Advance(59 * clock.Second)
		sizing.Observe(0.1)
		require.InDelta(t, 1.8, sizing.Work(), 0.001)
		manual.Advance(2 * clock.Second)
		sizing.Observe(0.1)
		require.InDelta(t, 0.1, sizing.Work(), 0.001)
	})
	t.Run("a new deployment is as large as needed until demand was seen for a while", func(t *testing.T) {
		manual := clock.NewManual(1000)
		sizing := cloud.NewSizing(manual.Clock())
		sizing.Found(9)
		require.InDelta(t, 4.05, sizing.Work(), 0.001)
		sizing.Observe(1)
		require.InDelta(t, 4.05, sizing.Work(), 0.001)
		manual.Advance(10 * clock.Second)
		require.InDelta(t, 1, sizing.Work(), 0.001)
	})
	t.Run("a new holder plans for what its predecessor knew", func(t *testing.T) {
		sizing, manual := newSizing(0.5)
		sizing.Recall(1.8, false)
		sizing.Observe(0.7)
		require.InDelta(t, 1.8, sizing.Work(), 0.001)
		manual.Advance(60 * clock.Second)
		sizing.Observe(0.7)
		require.InDelta(t, 0.7, sizing.Work(), 0.001)
	})
	t.Run("a predecessor's guess stays a guess", func(t *testing.T) {
		sizing, manual := newSizing(0.5)
		sizing.Recall(4, true)
		require.InDelta(t, 4, sizing.Work(), 0.001)
		require.True(t, sizing.Guesses())
		manual.Advance(10 * clock.Second)
		require.InDelta(t, 0.5, sizing.Work(), 0.001)
		require.False(t, sizing.Guesses())
	})
}

// TestSizingBounds checks that no data centre is ever given more servers than
// the terms allow beside those that serve there.
func TestSizingBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sizing := cloud.NewSizing(clock.NewManual(1000).Clock())
		sizing.Observe(rapid.Float64Range(0, 40).Draw(t, "work"))
		rental, serving := testRental(), map[cloud.Place]int{}
		for _, centre := range rental.DataCentres() {
			serving[cloud.NewPlace(centre, true)] = rapid.IntRange(0, rental.Most()).Draw(t, "serving")
		}
		wanted := sizing.Wanted(rental, serving, rapid.Bool().Draw(t, "scarce"))
		for _, centre := range rental.DataCentres() {
			reclaimable, others := wanted[cloud.NewPlace(centre, true)], wanted[cloud.NewPlace(centre, false)]
			require.LessOrEqual(t, reclaimable, rental.Most())
			require.GreaterOrEqual(t, reclaimable, rental.Least())
			require.LessOrEqual(t, others+serving[cloud.NewPlace(centre, true)], rental.Most())
		}
	})
}

func TestOrdering(t *testing.T) {
	place := cloud.NewPlace("lj-a", true)
	expectDue := func(t *testing.T, ordering *cloud.Ordering, count int, now clock.Millis, due bool) {
		t.Helper()
		require.Equal(t, due, ordering.Due(place, count, now))
	}
	t.Run("an order is sent once", func(t *testing.T) {
		ordering := cloud.NewOrdering()
		expectDue(t, ordering, 3, 0, true)
		ordering.Done(place, 3, 0)
		expectDue(t, ordering, 3, 100000, false)
		expectDue(t, ordering, 4, 100000, true)
	})
	t.Run("a refused order waits and says that servers are scarce", func(t *testing.T) {
		ordering := cloud.NewOrdering()
		ordering.Refused(place, 1000)
		expectDue(t, ordering, 3, 2499, false)
		expectDue(t, ordering, 3, 2500, true)
		require.True(t, ordering.Scarce(4999))
		require.False(t, ordering.Scarce(5000))
	})
	t.Run("an order without an answer is repaired after it may have been carried out late", func(t *testing.T) {
		ordering := cloud.NewOrdering()
		ordering.Unanswered(place, 1000)
		expectDue(t, ordering, 3, 2999, false)
		expectDue(t, ordering, 3, 3000, true)
		ordering.Done(place, 3, 3000)
		expectDue(t, ordering, 3, 13999, false)
		expectDue(t, ordering, 3, 14000, true)
		ordering.Done(place, 3, 14000)
		expectDue(t, ordering, 3, 99000, false)
	})
	t.Run("servers that went are ordered again", func(t *testing.T) {
		ordering := cloud.NewOrdering()
		ordering.Done(place, 3, 0)
		ordering.Lost(place)
		expectDue(t, ordering, 3, 1, true)
	})
}
