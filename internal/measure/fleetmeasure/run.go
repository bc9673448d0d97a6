package fleetmeasure

import (
	"math"
	"math/rand/v2"
	"strconv"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/cloud"
)

// maxAttempts bounds how often one decision plans again after refused starts.
const maxAttempts = 4

// rentedHost is a host rented in a run.
type rentedHost struct {
	host    cloud.Host
	readyAt clock.Millis
	endsAt  clock.Millis
}

// run is the simulation of one policy in one scenario.
type run struct {
	scenario *scenario
	policy   Policy
	manual   *clock.Manual
	random   *rand.Rand
	risk     *cloud.Risk
	backoff  *cloud.Backoff
	demand   *cloud.Demand
	hosts    []*rentedHost
	serial   int
	result   Result
}

// Result is the result of a run.
type Result struct {
	cost        float64
	lost        float64
	worth       float64
	belowDemand float64
	protected   float64
}

// CostPerHour returns the mean cost per hour.
func (result Result) CostPerHour() float64 {
	return result.cost / (float64(day) / float64(clock.Hour))
}

// LostWorth returns the share of worth that was lost for lack of capacity.
func (result Result) LostWorth() float64 { return result.lost / result.worth }

// BelowDemandPerWave returns the minutes per wave with less capacity than the
// total demand, after the first hour.
func (result Result) BelowDemandPerWave() float64 { return result.belowDemand / wavesPerDay }

// BelowProtectedPerWave returns the minutes per wave with less capacity than
// the demand of all routes but the one with the lowest worth, after the first
// hour.
func (result Result) BelowProtectedPerWave() float64 { return result.protected / wavesPerDay }

// Run simulates the policy for one day and returns the result.
func Run(deployment Deployment, policy Policy, seed uint64, waves bool) Result {
	manual := clock.NewManual(0)
	random := rand.New(rand.NewPCG(seed, 2))
	run := &run{
		scenario: newScenario(deployment, seed, waves),
		policy:   policy,
		manual:   manual,
		random:   random,
		risk:     cloud.NewRisk(manual.Clock()),
		backoff:  cloud.NewBackoff(manual.Clock(), random.Float64),
		demand:   cloud.NewDemand(manual.Clock()),
	}
	for manual.Now() < day {
		run.scenario.advance(manual.Now())
		run.endHosts()
		run.addCosts()
		run.decide()
		manual.Advance(step)
	}
	return run.result
}

// endHosts removes the hosts that end in this step: by waves, by single
// reclaims and after draining.
func (run *run) endHosts() {
	now := run.manual.Now()
	var remaining []*rentedHost
	for _, rented := range run.hosts {
		offer := rented.host.Offer()
		ended := rented.endsAt > 0 && now >= rented.endsAt
		if offer.Reclaimable() && !ended {
			chance := run.scenario.reclaimRate(offer.DataCentre()) * float64(step) / float64(clock.Hour)
			if run.scenario.reclaimsAt(now, offer.DataCentre()) || run.random.Float64() < chance {
				run.risk.RecordNotice(offer.Kind())
				ended = true
			}
		}
		if !ended {
			remaining = append(remaining, rented)
		}
	}
	run.hosts = remaining
}

// addCosts adds this step's cost and missing capacity to the result.
func (run *run) addCosts() {
	now := run.manual.Now()
	capacity := 0.0
	for _, rented := range run.hosts {
		run.result.cost += run.scenario.priceOf(rented.host.Offer()) * float64(step) / float64(clock.Hour)
		if now >= rented.readyAt && rented.endsAt == 0 {
			capacity += slots
		}
	}
	busy, remaining := run.scenario.demand(now), capacity
	protected := 0.0
	for i, candidate := range run.scenario.deployment.routes {
		wanted := busy * run.scenario.deployment.share(candidate)
		served := min(wanted, remaining)
		remaining -= served
		run.result.worth += wanted * candidate.Worth()
		run.result.lost += (wanted - served) * candidate.Worth()
		if i < len(run.scenario.deployment.routes)-1 {
			protected += wanted
		}
	}
	minutes := float64(step) / float64(clock.Minute)
	if capacity < busy && now > clock.Hour {
		run.result.belowDemand += minutes
	}
	if capacity < protected && now > clock.Hour {
		run.result.protected += minutes
	}
}

func (scenario *scenario) priceOf(offer cloud.Offer) float64 {
	if offer.Reclaimable() {
		return scenario.prices[offer.DataCentre()]
	}
	return onDemandPrice
}

// decide executes the policy's starts and drains.
func (run *run) decide() {
	now, deployment := run.manual.Now(), run.scenario.deployment
	ready, counts := 0, map[cloud.Kind]int{}
	for _, rented := range run.hosts {
		counts[rented.host.Offer().Kind()]++
		if now >= rented.readyAt {
			ready++
		}
	}
	for _, offer := range run.scenario.offers() {
		run.risk.Observe(offer.Kind(), counts[offer.Kind()])
	}
	run.demand.Observe(int(math.Ceil(run.scenario.demand(now))), ready, ready, slots)
	need := cloud.NewPoolNeed(deployment.poolConfig, deployment.routes, deployment.share, run.demand.Hosts())
	offers := run.scenario.offers()
	for range maxAttempts {
		refused := false
		for _, plan := range run.policy.plan(run, need, offers, run.planned()) {
			for _, offer := range plan.Starts() {
				refused = !run.start(offer) || refused
			}
			run.drain(plan.Drains())
		}
		if !refused {
			return
		}
	}
}

// planned returns the hosts that are not draining, at their current prices.
func (run *run) planned() []cloud.Host {
	var hosts []cloud.Host
	for _, rented := range run.hosts {
		if rented.endsAt > 0 {
			continue
		}
		offer := rented.host.Offer().WithPrice(run.scenario.priceOf(rented.host.Offer()))
		host := cloud.NewHost(rented.host.ID(), poolName, offer, false)
		hosts = append(hosts, host.WithReady(run.manual.Now() >= rented.readyAt))
	}
	return hosts
}

// start requests a host from the cloud and reports whether it was started.
func (run *run) start(offer cloud.Offer) bool {
	kind := offer.Kind()
	if run.backoff.Blocked(kind) {
		return false
	}
	now, running := run.manual.Now(), 0
	for _, rented := range run.hosts {
		if rented.host.Offer().Kind() == kind {
			running++
		}
	}
	full := offer.Reclaimable() && running >= run.scenario.capacity(now, offer.DataCentre())
	if full || !offer.Reclaimable() && run.random.Float64() < onDemandRefusalShare {
		run.backoff.Refused(kind)
		return false
	}
	run.backoff.Started(kind)
	run.serial++
	boot := minBoot + clock.Millis(run.random.Float64()*float64(maxBoot-minBoot))
	host := cloud.NewHost("host-"+strconv.Itoa(run.serial), poolName, offer, false)
	run.hosts = append(run.hosts, &rentedHost{host: host, readyAt: now + boot})
	return true
}

func (run *run) drain(hosts []cloud.Host) {
	for _, host := range hosts {
		for _, rented := range run.hosts {
			if rented.host.ID() == host.ID() && rented.endsAt == 0 {
				rented.endsAt = run.manual.Now() + drainTime
			}
		}
	}
}
