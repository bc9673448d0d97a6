// Package fleetmeasure compares policies for renting hosts over one day of
// virtual time. Demand, prices and waves are drawn from a seed and are the same
// for every policy. Single reclaims and refused starts are drawn from the same
// seed, but depend on the hosts that a policy rents.
package fleetmeasure

import (
	"math"
	"math/rand/v2"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/cloud"
	"sapphirehead/internal/pool"
	"sapphirehead/internal/route"
)

const (
	// step is the time between two decisions.
	step = 30 * clock.Second
	// day is the simulated time.
	day       = 24 * clock.Hour
	poolName  = "runners"
	hostClass = "gpu"
	slots     = 8
	// onDemandPrice is the hourly price of an on-demand host; reclaimable hosts
	// cost around 1.
	onDemandPrice = 3.0
	wavesPerDay   = 3
	// hostReclaimsPerHour is the rate of single reclaims per reclaimable host, and
	// riskyReclaimsPerHour that in the first data centre.
	hostReclaimsPerHour  = 0.02
	riskyReclaimsPerHour = 0.10
	// onDemandRefusalShare is the share of on-demand starts that are refused.
	onDemandRefusalShare = 0.05
	drainTime            = clock.Minute
	minBoot              = clock.Minute
	maxBoot              = 3 * clock.Minute
)

// Deployment is one of the users' fleets.
type Deployment struct {
	name        string
	dataCentres []string
	peakBusy    float64
	nightShare  float64
	poolConfig  pool.Pool
	routes      []route.Route
	shares      map[string]float64
}

// Deployments returns the two users' fleets at their sizes. Tarbela has load
// only during the day.
func Deployments() []Deployment {
	chat := func(name string, worth float64) route.Route {
		return route.New(name, route.KindChat, poolName).WithModel(name).WithWorth(worth)
	}
	poolConfig := pool.New(poolName, pool.KindRunner).WithSlots(slots)
	return []Deployment{
		{
			name: "Filtrix", dataCentres: []string{"lj-a", "lj-b", "lj-c"}, peakBusy: 56, nightShare: 0.2,
			poolConfig: poolConfig.WithHosts(hostClass, 2, 30),
			routes:     []route.Route{chat("desk", 5), chat("reports", 2), chat("lookups", 1)},
			shares:     map[string]float64{"desk": 0.5, "reports": 0.3, "lookups": 0.2},
		},
		{
			name: "Tarbela", dataCentres: []string{"lhr-a", "lhr-b", "isb-c"}, peakBusy: 112, nightShare: 0,
			poolConfig: poolConfig.WithHosts(hostClass, 2, 60),
			routes:     []route.Route{chat("charges", 8), chat("chats", 4), chat("summaries", 1)},
			shares:     map[string]float64{"charges": 0.2, "chats": 0.4, "summaries": 0.4},
		},
	}
}

// Name returns the name of the user.
func (deployment Deployment) Name() string { return deployment.name }

func (deployment Deployment) share(route route.Route) float64 { return deployment.shares[route.Name()] }

// busy returns the number of requests in progress at the time of day, without
// noise.
func (deployment Deployment) busy(at clock.Millis) float64 {
	hour := float64(at%day) / float64(clock.Hour)
	light := max(math.Sin((hour-6)/14*math.Pi), 0)
	if hour < 6 || hour > 20 {
		light = 0
	}
	return deployment.peakBusy * (deployment.nightShare + (1-deployment.nightShare)*light)
}

// wave is the reclaim of all reclaimable hosts of a data centre, which starts
// no new ones until the wave ends. A hard wave leaves little capacity in the
// other data centres.
type wave struct {
	at         clock.Millis
	until      clock.Millis
	dataCentre string
	hard       bool
}

// scenario is the behaviour of the cloud and the callers, drawn from a seed.
type scenario struct {
	deployment Deployment
	random     *rand.Rand
	waves      []wave
	prices     map[string]float64
	noise      float64
}

func newScenario(deployment Deployment, seed uint64, waves bool) *scenario {
	scenario := &scenario{deployment: deployment, random: rand.New(rand.NewPCG(seed, 1)), prices: map[string]float64{}}
	for _, name := range deployment.dataCentres {
		scenario.prices[name] = 0.9 + 0.4*scenario.random.Float64()
	}
	for range wavesPerDay {
		at := 7*clock.Hour + clock.Millis(scenario.random.Float64()*float64(12*clock.Hour))
		length := 30*clock.Minute + clock.Millis(scenario.random.Float64()*float64(clock.Hour))
		dataCentre := deployment.dataCentres[scenario.random.IntN(len(deployment.dataCentres))]
		drawn := wave{at: at / step * step, until: at + length, dataCentre: dataCentre, hard: scenario.random.IntN(2) == 0}
		if waves {
			scenario.waves = append(scenario.waves, drawn)
		}
	}
	return scenario
}

// advance draws the next prices and noise.
func (scenario *scenario) advance(now clock.Millis) {
	scenario.noise = 0.9*scenario.noise + 0.05*scenario.random.NormFloat64()
	if now%clock.Hour == 0 {
		for _, name := range scenario.deployment.dataCentres {
			scenario.prices[name] = min(max(scenario.prices[name]+0.08*scenario.random.NormFloat64(), 0.6), 1.8)
		}
	}
}

// demand returns the number of requests in progress, with noise.
func (scenario *scenario) demand(now clock.Millis) float64 {
	return scenario.deployment.busy(now) * max(1+scenario.noise, 0)
}

func (scenario *scenario) offers() []cloud.Offer {
	var offers []cloud.Offer
	for _, name := range scenario.deployment.dataCentres {
		offers = append(offers, cloud.NewOffer(name, hostClass, true, scenario.prices[name]), cloud.NewOffer(name, hostClass, false, onDemandPrice))
	}
	return offers
}

// capacity returns the maximum number of reclaimable hosts in the data centre.
func (scenario *scenario) capacity(now clock.Millis, dataCentre string) int {
	limit := scenario.deployment.poolConfig.MaxHosts()
	for _, wave := range scenario.waves {
		switch {
		case now < wave.at || now >= wave.until:
		case wave.dataCentre == dataCentre:
			limit = 0
		case wave.hard:
			limit = min(limit, int(scenario.deployment.peakBusy/slots/2))
		}
	}
	return limit
}

// reclaimsAt reports whether a wave reclaims the data centre's hosts at this
// time.
func (scenario *scenario) reclaimsAt(now clock.Millis, dataCentre string) bool {
	for _, wave := range scenario.waves {
		if wave.at == now && wave.dataCentre == dataCentre {
			return true
		}
	}
	return false
}

// reclaimRate returns the hourly rate of reclaims per host of the data centre.
func (scenario *scenario) reclaimRate(dataCentre string) float64 {
	if dataCentre == scenario.deployment.dataCentres[0] {
		return riskyReclaimsPerHour
	}
	return hostReclaimsPerHour
}
