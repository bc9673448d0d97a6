package cloud

import (
	"math"
	"slices"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/pool"
)

const (
	// reclaimableUtilisation is the planned utilisation after one data centre lost
	// its reclaimable servers, while these are available. It is low as they are
	// cheap.
	reclaimableUtilisation = 0.45
	// fillUtilisation is the planned utilisation while other servers replace missing
	// reclaimable ones. survivalUtilisation is the utilisation accepted after one
	// more data centre lost its reclaimable servers.
	fillUtilisation     = 0.55
	survivalUtilisation = 0.8
	// initialUtilisation is the assumed utilisation of the initial servers until
	// demand is observed: their caches are empty, and each prompt needs a full
	// prefill.
	initialUtilisation = 0.45
	// peakRetention is how long a peak of demand keeps its servers.
	peakRetention = 60 * clock.Second
	// latestObservations is the number of observations that decide together. The
	// highest of them is the demand, up to the noise of independent prompts above their
	// median: requests that can't go to their preferred servers, as after a reclaim,
	// prefill more for a moment, and servers ordered for that come too late to help.
	latestObservations = 3
	// observationPeriod is how long demand must have been observed before it replaces
	// the initial estimate.
	observationPeriod = 10 * clock.Second
)

// Place is a data centre and the terms on which servers run there.
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

// Reclaimable reports whether the cloud may reclaim the servers.
func (place Place) Reclaimable() bool { return place.reclaimable }

// Autoscaler decides how many servers of a pool run at each place.
//
// Reclaimable servers cost a fraction of the others, but all of those in one data
// centre may be reclaimed at the same time. They are spread evenly over the data
// centres, with enough in each that the rest carry the demand after any one data
// centre is reclaimed:
//
//	4 servers needed, 3 data centres -> 2 reclaimable in each
//
// Other servers only replace reclaimable ones that are unavailable, and those that
// would be missing after one more data centre is reclaimed.
//
// An Autoscaler is used by one goroutine.
type Autoscaler struct {
	clock           *clock.Clock
	initialEstimate float64
	latest          []float64
	peaks           []peak
	firstObserved   clock.Millis
}

type peak struct {
	observedAt clock.Millis
	work       float64
}

// NewAutoscaler returns an autoscaler without observations.
func NewAutoscaler(clock *clock.Clock) *Autoscaler { return &Autoscaler{clock: clock} }

// SetInitialServers sets the initial estimate from the number of servers in a new
// deployment, where no servers were ordered before: the not reclaimable servers
// that the operators considered sufficient.
func (autoscaler *Autoscaler) SetInitialServers(total int) {
	autoscaler.initialEstimate = float64(total) * initialUtilisation
}

// Restore sets the demand that the previous lease holder planned for, in servers
// that are busy all the time. It can't be derived from the number of running
// servers, as some may only replace others. Observed demand counts as observed
// now; estimated demand stays an estimate.
func (autoscaler *Autoscaler) Restore(work float64, estimated bool) {
	if estimated {
		autoscaler.initialEstimate = work
		return
	}
	autoscaler.peaks = append(autoscaler.peaks, peak{observedAt: autoscaler.clock.Now(), work: work})
}

// Observe records the demand, in servers that are busy all the time.
func (autoscaler *Autoscaler) Observe(work float64) {
	now := autoscaler.clock.Now()
	if work > 0 && autoscaler.firstObserved == 0 {
		autoscaler.firstObserved = now
	}
	autoscaler.latest = append(autoscaler.latest, work)
	if len(autoscaler.latest) > latestObservations {
		autoscaler.latest = autoscaler.latest[1:]
	}
	sorted := slices.Sorted(slices.Values(autoscaler.latest))
	median := sorted[len(sorted)/2]
	demand := min(sorted[len(sorted)-1], median+math.Sqrt(median))
	autoscaler.peaks = slices.DeleteFunc(autoscaler.peaks, func(old peak) bool {
		return now-old.observedAt >= peakRetention || old.work <= demand
	})
	autoscaler.peaks = append(autoscaler.peaks, peak{observedAt: now, work: demand})
}

// PlannedWork returns the demand to plan for, in servers that are busy all the
// time.
func (autoscaler *Autoscaler) PlannedWork() float64 {
	if autoscaler.Estimated() {
		return autoscaler.initialEstimate
	}
	return autoscaler.peakWork()
}

// Estimated reports whether the planned demand is the initial estimate, not the
// observed demand.
func (autoscaler *Autoscaler) Estimated() bool {
	observedLongEnough := autoscaler.firstObserved != 0 && autoscaler.clock.Now()-autoscaler.firstObserved >= observationPeriod
	return !observedLongEnough && autoscaler.initialEstimate > autoscaler.peakWork()
}

func (autoscaler *Autoscaler) peakWork() float64 {
	highest := 0.0
	for _, peak := range autoscaler.peaks {
		highest = max(highest, peak.work)
	}
	return highest
}

// DesiredServers returns the number of servers at each place under the rental
// terms, given the number that serve there now. Scarce means that reclaimable
// servers are unavailable. Lost ones can't be replaced then, so the other servers
// must be able to carry the demand alone.
func (autoscaler *Autoscaler) DesiredServers(rental pool.Rental, serving map[Place]int, scarce bool) map[Place]int {
	work := autoscaler.PlannedWork()
	reclaimableNeed, fillNeed, survivalNeed := serversFor(work, reclaimableUtilisation), serversFor(work, fillUtilisation), serversFor(work, survivalUtilisation)
	desired := map[Place]int{}
	dataCentres := rental.DataCentres()
	reclaimable, largestLoss := 0, 0
	if rental.ReclaimablePrice() > 0 {
		serversPerDataCentre := perDataCentre(reclaimableNeed, len(dataCentres), rental)
		for _, dataCentre := range dataCentres {
			place := NewPlace(dataCentre, true)
			// The cloud starts fewer than ordered where the bound for both kinds is reached,
			// and doesn't start the rest later.
			capacity := max(0, rental.MaxServers()-serving[NewPlace(dataCentre, false)])
			desired[place] = min(serversPerDataCentre, capacity)
			if scarce {
				// A server released now could not be replaced when demand rises.
				desired[place] = max(desired[place], serving[place])
			}
			reclaimable += min(desired[place], serving[place])
			largestLoss = max(largestLoss, min(desired[place], serving[place]))
		}
	}
	surviving := reclaimable - largestLoss
	if scarce {
		surviving = 0
	}
	autoscaler.fill(desired, rental, serving, max(fillNeed-reclaimable, survivalNeed-surviving))
	return desired
}

func serversFor(work, utilisation float64) int { return max(1, int(math.Ceil(work/utilisation))) }

// perDataCentre returns the number of reclaimable servers in each data centre with
// which the needed number remains after any one data centre is reclaimed, within
// the bounds of the rental.
func perDataCentre(need, dataCentres int, rental pool.Rental) int {
	others := max(dataCentres-1, 1)
	return min(max((need+others-1)/others, rental.MinServers()), rental.MaxServers())
}

// fill adds the missing servers as not reclaimable ones, in turn in each data
// centre, the cheapest first.
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
