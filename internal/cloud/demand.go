package cloud

import (
	"math"
	"slices"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/pool"
	"sapphirehead/internal/route"
)

const (
	// targetUtilisation is the planned share of busy slots. The rest absorbs changes
	// between two observations of the load.
	targetUtilisation = 0.7
	// demandWindow is how long a peak of demand keeps its hosts.
	demandWindow = 15 * clock.Minute
	// protectedWorthShare is the share of a pool's worth that must still be served
	// after a data centre reclaimed its hosts.
	protectedWorthShare = 0.8
	// minReportingShare is the share of a pool's hosts whose load must be known for
	// the demand to fall.
	minReportingShare = 0.8
)

// sample is the demand at one time.
type sample struct {
	observedAt clock.Millis
	hosts      int
}

// Demand converts the load of a pool into a number of hosts. It rises at once and
// falls only after the load was lower for demandWindow, so that a pool keeps its
// size during the day and shrinks at night to its configured minimum.
type Demand struct {
	clock   *clock.Clock
	samples []sample
}

// NewDemand returns a demand without observations.
func NewDemand(clock *clock.Clock) *Demand { return &Demand{clock: clock} }

// Observe records the number of requests that run or wait at the pool's reporting
// hosts. The load is extrapolated from these to all of the pool's hosts, each with
// the given slots. If too few hosts report, the demand does not fall.
func (demand *Demand) Observe(busy, reporting, hosts, slots int) {
	now := demand.clock.Now()
	scaled := float64(busy)
	if reporting > 0 {
		scaled *= max(float64(hosts)/float64(reporting), 1)
	}
	wanted := int(math.Ceil(scaled / (float64(slots) * targetUtilisation)))
	if float64(reporting) < minReportingShare*float64(hosts) {
		wanted = max(wanted, demand.Hosts(), hosts)
	}
	demand.samples = slices.DeleteFunc(demand.samples, func(old sample) bool {
		return now-old.observedAt >= demandWindow || old.hosts <= wanted
	})
	demand.samples = append(demand.samples, sample{observedAt: now, hosts: wanted})
}

// Hosts returns the number of hosts for the highest demand within demandWindow.
func (demand *Demand) Hosts() int {
	highest := 0
	for _, old := range demand.samples {
		highest = max(highest, old.hosts)
	}
	return highest
}

// NewPoolNeed returns the pool's need for the demand, a number of hosts. Routes are the
// pool's routes; demandShare returns a route's share of the pool's demand.
func NewPoolNeed(poolConfig pool.Pool, routes []route.Route, demandShare func(route route.Route) float64, demand int) Need {
	target := min(max(demand, poolConfig.MinHosts()), poolConfig.MaxHosts())
	protected := int(math.Ceil(protectedShare(routes, demandShare) * float64(target)))
	return NewNeed(target, protected, poolConfig.MaxHosts(), poolConfig.HostClasses())
}

// protectedShare returns the share of the demand that must survive a reclaim: that
// of the routes with the highest worth which together make up protectedWorthShare
// of the pool's worth.
func protectedShare(routes []route.Route, demandShare func(route route.Route) float64) float64 {
	sorted := slices.Clone(routes)
	slices.SortStableFunc(sorted, func(a, b route.Route) int {
		switch {
		case a.Worth() > b.Worth():
			return -1
		case a.Worth() < b.Worth():
			return 1
		default:
			return 0
		}
	})
	totalWorth, totalShare := 0.0, 0.0
	for _, routeConfig := range sorted {
		totalWorth += routeConfig.Worth() * demandShare(routeConfig)
		totalShare += demandShare(routeConfig)
	}
	protectedWorth, protectedDemand := 0.0, 0.0
	for _, routeConfig := range sorted {
		if protectedWorth >= protectedWorthShare*totalWorth {
			break
		}
		protectedWorth += routeConfig.Worth() * demandShare(routeConfig)
		protectedDemand += demandShare(routeConfig)
	}
	if totalShare == 0 {
		return 0
	}
	return protectedDemand / totalShare
}
