package cloud

import (
	"math"
	"slices"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/pool"
)

const (
	// sizingUse is the share of the engines' time that is to be used by the
	// engines that are left when a data centre's reclaimable ones are gone.
	sizingUse = 0.62
	// firstShare is the share of the servers found at the start that is needed,
	// until the demand is known.
	firstShare = 0.45
	// demandMemory is how long the highest demand seen holds its servers.
	demandMemory = 12 * clock.Second
	// demandSettled is how long demand must have been seen before it replaces the
	// guess from the start.
	demandSettled = 10 * clock.Second
)

// Place is where servers run and on which terms.
type Place struct {
	dataCentre  string
	reclaimable bool
}

// NewPlace returns the place of reclaimable servers, or of the others, in the
// data centre.
func NewPlace(dataCentre string, reclaimable bool) Place {
	return Place{dataCentre: dataCentre, reclaimable: reclaimable}
}

// DataCentre returns the data centre.
func (place Place) DataCentre() string { return place.dataCentre }

// Reclaimable reports whether the servers may be taken back.
func (place Place) Reclaimable() bool { return place.reclaimable }

// Sizing decides how many servers of a pool run at each place.
//
// Reclaimable servers cost a fraction of the others, and all of those in one
// data centre go at the same time. So they are spread evenly, with as many in
// each data centre that the rest carries the demand:
//
//	demand of 4 servers, 3 data centres -> 2 reclaimable in each
//
// Other servers only fill what is missing while reclaimable ones can't be had.
// A Sizing belongs to one goroutine.
type Sizing struct {
	clock    *clock.Clock
	found    int
	peaks    []peak
	seenFrom clock.Millis
}

type peak struct {
	at   clock.Millis
	work float64
}

// NewSizing returns a sizing without observations.
func NewSizing(clock *clock.Clock) *Sizing { return &Sizing{clock: clock} }

// Observe takes in the demand, in servers that are busy all the time, and the
// number of servers that serve.
func (sizing *Sizing) Observe(work float64, serving int) {
	now := sizing.clock.Now()
	if sizing.found == 0 {
		sizing.found = serving
	}
	if work > 0 && sizing.seenFrom == 0 {
		sizing.seenFrom = now
	}
	sizing.peaks = slices.DeleteFunc(sizing.peaks, func(old peak) bool {
		return now-old.at >= demandMemory || old.work <= work
	})
	sizing.peaks = append(sizing.peaks, peak{at: now, work: work})
}

// Need returns the servers that must be left when a data centre's reclaimable
// ones are gone.
func (sizing *Sizing) Need() int {
	highest := 0.0
	for _, peak := range sizing.peaks {
		highest = max(highest, peak.work)
	}
	need := int(math.Ceil(highest / sizingUse))
	if sizing.seenFrom == 0 || sizing.clock.Now()-sizing.seenFrom < demandSettled {
		need = max(need, int(math.Ceil(float64(sizing.found)*firstShare)))
	}
	return max(need, 1)
}

// Wanted returns the number of servers at each place on the terms, given how
// many serve there now.
func (sizing *Sizing) Wanted(rental pool.Rental, serving map[Place]int) map[Place]int {
	need := sizing.Need()
	wanted := map[Place]int{}
	centres := rental.DataCentres()
	reclaimable := 0
	if rental.ReclaimablePrice() > 0 {
		each := perCentre(need, len(centres), rental)
		for _, centre := range centres {
			place := NewPlace(centre, true)
			wanted[place] = each
			reclaimable += min(each, serving[place])
		}
	}
	sizing.fill(wanted, rental, need-reclaimable)
	return wanted
}

// perCentre returns the reclaimable servers in each of the data centres.
func perCentre(need, centres int, rental pool.Rental) int {
	others := max(centres-1, 1)
	return min(max((need+others-1)/others, rental.Least()), rental.Most())
}

// fill spreads missing servers that are not reclaimable over the data centres,
// the cheapest first.
func (sizing *Sizing) fill(wanted map[Place]int, rental pool.Rental, missing int) {
	centres := rental.DataCentres()
	slices.SortStableFunc(centres, func(a, b string) int {
		switch {
		case rental.Price(a) < rental.Price(b):
			return -1
		case rental.Price(a) > rental.Price(b):
			return 1
		default:
			return 0
		}
	})
	for _, centre := range centres {
		wanted[NewPlace(centre, false)] = 0
	}
	for missing > 0 {
		placed := false
		for _, centre := range centres {
			place := NewPlace(centre, false)
			if missing > 0 && wanted[place]+wanted[NewPlace(centre, true)] < rental.Most() {
				wanted[place]++
				missing--
				placed = true
			}
		}
		if !placed {
			return
		}
	}
}
