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

func countByTerms(places map[cloud.Place]int) (reclaimable, others int) {
	for place, count := range places {
		if place.Reclaimable() {
			reclaimable += count
		} else {
			others += count
		}
	}
	return reclaimable, others
}

func TestAutoscaler(t *testing.T) {
	spread := func(each int) map[cloud.Place]int {
		serving := map[cloud.Place]int{}
		for _, dataCentre := range testRental().DataCentres() {
			serving[cloud.NewPlace(dataCentre, true)] = each
		}
		return serving
	}
	expectDesired := func(t *testing.T, autoscaler *cloud.Autoscaler, serving map[cloud.Place]int, scarce bool, reclaimable, others int) {
		t.Helper()
		gotReclaimable, gotOthers := countByTerms(autoscaler.DesiredServers(testRental(), serving, scarce))
		require.Equal(t, []int{reclaimable, others}, []int{gotReclaimable, gotOthers})
	}
	newAutoscaler := func(work float64) (*cloud.Autoscaler, *clock.Manual) {
		manual := clock.NewManual(1000)
		autoscaler := cloud.NewAutoscaler(manual.Clock())
		autoscaler.Observe(work)
		return autoscaler, manual
	}
	t.Run("enough reclaimable servers remain when one data centre's are reclaimed", func(t *testing.T) {
		autoscaler, _ := newAutoscaler(1.8)
		expectDesired(t, autoscaler, spread(2), false, 6, 0)
	})
	t.Run("others replace reclaimable ones until these serve", func(t *testing.T) {
		autoscaler, _ := newAutoscaler(1.8)
		expectDesired(t, autoscaler, nil, false, 6, 4)
	})
	t.Run("reclaimable servers beyond the bound for both kinds are ordered once others have left", func(t *testing.T) {
		autoscaler, _ := newAutoscaler(4)
		serving := spread(2)
		for _, dataCentre := range testRental().DataCentres() {
			serving[cloud.NewPlace(dataCentre, false)] = 4
		}
		expectDesired(t, autoscaler, serving, false, 6, 2)
		expectDesired(t, autoscaler, spread(2), false, 15, 2)
	})
	t.Run("others carry the demand alone while reclaimable ones are scarce", func(t *testing.T) {
		autoscaler, _ := newAutoscaler(1.8)
		expectDesired(t, autoscaler, spread(2), true, 6, 3)
	})
	t.Run("no reclaimable server is released while they are scarce", func(t *testing.T) {
		autoscaler, _ := newAutoscaler(1.8)
		expectDesired(t, autoscaler, spread(4), true, 12, 3)
		expectDesired(t, autoscaler, spread(4), false, 6, 0)
	})
	t.Run("the cheapest data centres come first", func(t *testing.T) {
		autoscaler, _ := newAutoscaler(1.1)
		desired := autoscaler.DesiredServers(testRental(), nil, false)
		require.Equal(t, 1, desired[cloud.NewPlace("lj-a", false)])
		require.Equal(t, 1, desired[cloud.NewPlace("lj-c", false)])
		require.Zero(t, desired[cloud.NewPlace("lj-b", false)])
	})
	t.Run("a peak keeps its servers for a minute", func(t *testing.T) {
		autoscaler, manual := newAutoscaler(1.8)
		for range 3 {
			autoscaler.Observe(0.1)
		}
		manual.Advance(59 * clock.Second)
		autoscaler.Observe(0.1)
		require.InDelta(t, 1.8, autoscaler.PlannedWork(), 0.001)
		manual.Advance(2 * clock.Second)
		autoscaler.Observe(0.1)
		require.InDelta(t, 0.1, autoscaler.PlannedWork(), 0.001)
	})
	t.Run("one high observation counts as noise, two as demand", func(t *testing.T) {
		autoscaler, manual := newAutoscaler(36)
		for _, observed := range []struct{ work, planned float64 }{{36, 36}, {70, 42}, {36, 42}, {36, 42}, {60, 42}, {64, 64}} {
			manual.Advance(2 * clock.Second)
			autoscaler.Observe(observed.work)
			require.InDelta(t, observed.planned, autoscaler.PlannedWork(), 0.001)
		}
	})
	t.Run("few prompts vary a lot", func(t *testing.T) {
		autoscaler, _ := newAutoscaler(1)
		autoscaler.Observe(1)
		autoscaler.Observe(2)
		require.InDelta(t, 2, autoscaler.PlannedWork(), 0.001)
	})
	t.Run("a new deployment keeps its size until demand was observed for 10 seconds", func(t *testing.T) {
		manual := clock.NewManual(1000)
		autoscaler := cloud.NewAutoscaler(manual.Clock())
		autoscaler.SetInitialServers(9)
		require.InDelta(t, 4.05, autoscaler.PlannedWork(), 0.001)
		autoscaler.Observe(1)
		require.InDelta(t, 4.05, autoscaler.PlannedWork(), 0.001)
		manual.Advance(10 * clock.Second)
		require.InDelta(t, 1, autoscaler.PlannedWork(), 0.001)
	})
	t.Run("a new lease holder plans for the demand that its predecessor observed", func(t *testing.T) {
		autoscaler, manual := newAutoscaler(0.5)
		autoscaler.Restore(1.8, false)
		autoscaler.Observe(0.7)
		require.InDelta(t, 1.8, autoscaler.PlannedWork(), 0.001)
		manual.Advance(60 * clock.Second)
		autoscaler.Observe(0.7)
		autoscaler.Observe(0.7)
		require.InDelta(t, 0.7, autoscaler.PlannedWork(), 0.001)
	})
	t.Run("a predecessor's estimate stays an estimate", func(t *testing.T) {
		autoscaler, manual := newAutoscaler(0.5)
		autoscaler.Restore(4, true)
		require.InDelta(t, 4, autoscaler.PlannedWork(), 0.001)
		require.True(t, autoscaler.Estimated())
		manual.Advance(10 * clock.Second)
		require.InDelta(t, 0.5, autoscaler.PlannedWork(), 0.001)
		require.False(t, autoscaler.Estimated())
	})
}

// TestAutoscalerBounds checks that the servers of a data centre, including the
// reclaimable ones that serve there, stay within the bounds of the rental terms.
func TestAutoscalerBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		autoscaler := cloud.NewAutoscaler(clock.NewManual(1000).Clock())
		autoscaler.Observe(rapid.Float64Range(0, 40).Draw(t, "work"))
		rental, serving := testRental(), map[cloud.Place]int{}
		for _, dataCentre := range rental.DataCentres() {
			serving[cloud.NewPlace(dataCentre, true)] = rapid.IntRange(0, rental.MaxServers()).Draw(t, "serving")
		}
		desired := autoscaler.DesiredServers(rental, serving, rapid.Bool().Draw(t, "scarce"))
		for _, dataCentre := range rental.DataCentres() {
			reclaimable, others := desired[cloud.NewPlace(dataCentre, true)], desired[cloud.NewPlace(dataCentre, false)]
			require.LessOrEqual(t, reclaimable, rental.MaxServers())
			require.GreaterOrEqual(t, reclaimable, rental.MinServers())
			require.LessOrEqual(t, others+serving[cloud.NewPlace(dataCentre, true)], rental.MaxServers())
		}
	})
}

func TestOrderTracker(t *testing.T) {
	place := cloud.NewPlace("lj-a", true)
	expectDue := func(t *testing.T, orderTracker *cloud.OrderTracker, count int, now clock.Millis, due bool) {
		t.Helper()
		require.Equal(t, due, orderTracker.Due(place, count, now))
	}
	t.Run("an order is sent once", func(t *testing.T) {
		orderTracker := cloud.NewOrderTracker()
		expectDue(t, orderTracker, 3, 0, true)
		orderTracker.Accepted(place, 3, 0)
		expectDue(t, orderTracker, 3, 100000, false)
		expectDue(t, orderTracker, 4, 100000, true)
	})
	t.Run("a refused order waits and marks reclaimable servers as scarce", func(t *testing.T) {
		orderTracker := cloud.NewOrderTracker()
		orderTracker.Refused(place, 1000)
		expectDue(t, orderTracker, 3, 2499, false)
		expectDue(t, orderTracker, 3, 2500, true)
		require.True(t, orderTracker.Scarce(4999))
		require.False(t, orderTracker.Scarce(5000))
	})
	t.Run("an order without a response is sent again once the first can't be carried out any more", func(t *testing.T) {
		orderTracker := cloud.NewOrderTracker()
		orderTracker.Unanswered(place, 1000)
		expectDue(t, orderTracker, 3, 2999, false)
		expectDue(t, orderTracker, 3, 3000, true)
		orderTracker.Accepted(place, 3, 3000)
		expectDue(t, orderTracker, 3, 13999, false)
		expectDue(t, orderTracker, 3, 14000, true)
		orderTracker.Accepted(place, 3, 14000)
		expectDue(t, orderTracker, 3, 99000, false)
	})
	t.Run("lost servers are ordered again", func(t *testing.T) {
		orderTracker := cloud.NewOrderTracker()
		orderTracker.Accepted(place, 3, 0)
		orderTracker.Lost(place)
		expectDue(t, orderTracker, 3, 1, true)
	})
}
