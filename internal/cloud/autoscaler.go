package cloud

import (
	"math"
	"slices"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/pool"
)

const (
	// reclaimableUtilisation is the share of the engines' time that demand may use when one data
	// centre's reclaimable servers are gone, as long as reclaimable ones, which
	// are cheap, can be had.
	reclaimableUtilisation = 0.45
	// fillUtilisation is the share that it may use while others fill in for reclaimable
	// ones, and survivalUse the share when one more data centre's are gone.
	fillUtilisation     = 0.55
	survivalUtilisation = 0.8
	// initialUtilisation is the share of their time for which the servers found at the start
	// are taken to be used, until the demand is known: caches are empty then, and
	// prompts are read whole.
	initialUtilisation = 0.45
	// peakRetention is how long the highest demand seen holds its servers.
	peakRetention = 60 * clock.Second
	// observationPeriod is how long demand must have been seen before it replaces the
	// guess from the start.
	observationPeriod = 10 * clock.Second
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

// Autoscaler decides how many servers of a pool run at each place.
//
// Reclaimable servers cost a fraction of the others, and all of those in one
// data centre go at the same time. So they are spread evenly, with as many in
// each data centre that the rest carries the demand:
//
//	demand of 4 servers, 3 data centres -> 2 reclaimable in each
//
// Other servers only fill what is missing while reclaimable ones can't be had,
// and what would be missing if one more data centre's went.
// A Sizing belongs to one goroutine.
type Autoscaler struct {
	clock           *clock.Clock
	initialEstimate float64
	peaks           []peak
	firstObserved   clock.Millis
}

type peak struct {
	at   clock.Millis
	work float64
}

// NewAutoscaler returns a sizing without observations.
func NewAutoscaler(clock *clock.Clock) *Autoscaler { return &Autoscaler{clock: clock} }

// SetInitialServers tells how many servers serve in a new deployment, where nobody ordered
// before: they are as many as operators held to be enough, at full price.
func (autoscaler *Autoscaler) SetInitialServers(total int) {
	autoscaler.initialEstimate = float64(total) * initialUtilisation
}

// Restore takes in the demand that a predecessor planned for, as the number of
// servers says nothing of demand: some may only be there to fill in for others.
// What the predecessor saw counts as seen now, what it guessed is still a guess.
func (autoscaler *Autoscaler) Restore(work float64, guessed bool) {
	if guessed {
		autoscaler.initialEstimate = work
		return
	}
	autoscaler.peaks = append(autoscaler.peaks, peak{at: autoscaler.clock.Now(), work: work})
}

// Observe takes in the demand, in servers that are busy all the time.
func (autoscaler *Autoscaler) Observe(work float64) {
	now := autoscaler.clock.Now()
	if work > 0 && autoscaler.firstObserved == 0 {
		autoscaler.firstObserved = now
	}
	autoscaler.peaks = slices.DeleteFunc(autoscaler.peaks, func(old peak) bool {
		return now-old.at >= peakRetention || old.work <= work
	})
	autoscaler.peaks = append(autoscaler.peaks, peak{at: now, work: work})
}

// PlannedWork returns the demand that is planned for, in servers that are busy all the
// time.
func (autoscaler *Autoscaler) PlannedWork() float64 {
	if autoscaler.Estimated() {
		return autoscaler.initialEstimate
	}
	return autoscaler.peakWork()
}

// Estimated reports whether the planned demand is more than was seen.
func (autoscaler *Autoscaler) Estimated() bool {
	settled := autoscaler.firstObserved != 0 && autoscaler.clock.Now()-autoscaler.firstObserved >= observationPeriod
	return !settled && autoscaler.initialEstimate > autoscaler.peakWork()
}

func (autoscaler *Autoscaler) peakWork() float64 {
	highest := 0.0
	for _, peak := range autoscaler.peaks {
		highest = max(highest, peak.work)
	}
	return highest
}

// DesiredServers returns the number of servers at each place on the terms, given how
// many serve there now. Scarce says that reclaimable servers can't be had: what
// goes then is not replaced, so the others alone must survive.
func (autoscaler *Autoscaler) DesiredServers(rental pool.Rental, serving map[Place]int, scarce bool) map[Place]int {
	work := autoscaler.PlannedWork()
	cheap, filled, survival := serversFor(work, reclaimableUtilisation), serversFor(work, fillUtilisation), serversFor(work, survivalUtilisation)
	desired := map[Place]int{}
	dataCentres := rental.DataCentres()
	reclaimable, largest := 0, 0
	if rental.ReclaimablePrice() > 0 {
		each := perDataCentre(cheap, len(dataCentres), rental)
		for _, dataCentre := range dataCentres {
			place := NewPlace(dataCentre, true)
			desired[place] = each
			if scarce {
				// What is let go now can't be had again when demand rises.
				desired[place] = max(each, serving[place])
			}
			reclaimable += min(desired[place], serving[place])
			largest = max(largest, min(desired[place], serving[place]))
		}
	}
	safe := reclaimable - largest
	if scarce {
		safe = 0
	}
	autoscaler.fill(desired, rental, serving, max(filled-reclaimable, survival-safe))
	return desired
}

func serversFor(work, utilisation float64) int { return max(1, int(math.Ceil(work/utilisation))) }

// perDataCentre returns the reclaimable servers in each of the data centres.
func perDataCentre(need, dataCentres int, rental pool.Rental) int {
	others := max(dataCentres-1, 1)
	return min(max((need+others-1)/others, rental.MinServers()), rental.MaxServers())
}

// fill spreads missing servers that are not reclaimable over the data centres,
// the cheapest first.
func (autoscaler *Autoscaler) fill(desired map[Place]int, rental pool.Rental, serving map[Place]int, missing int) {
	dataCentres := rental.DataCentres()
	slices.SortStableFunc(dataCentres, func(a, b string) int {
		switch {
		case rental.Price(a) < rental.Price(b):
			return -1
		case rental.Price(a) > rental.Price(b):
			return 1
		default:
			return 0
		}
	})
	for _, dataCentre := range dataCentres {
		desired[NewPlace(dataCentre, false)] = 0
	}
	for missing > 0 {
		placed := false
		for _, dataCentre := range dataCentres {
			place := NewPlace(dataCentre, false)
			if missing > 0 && desired[place]+serving[NewPlace(dataCentre, true)] < rental.MaxServers() {
				desired[place]++
				missing--
				placed = true
			}
		}
		if !placed {
			return
		}
	}
}
