package measure

import (
	"fmt"
	"math/rand/v2"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/clock"
)

// Condition is a load or failure condition of a run.
type Condition string

// Conditions of a run.
const (
	Calm       Condition = "calm"
	Overloaded Condition = "overloaded"
	Wave       Condition = "wave"
)

// Arrival rates as a share of the capacity.
const (
	calmShare       = 0.6
	overloadedShare = 1.5
)

// Times and intervals of a run.
const (
	arrivalsEnd                  = 60 * microsPerSec
	runEnd                       = 125 * microsPerSec
	waveAt                       = 25 * microsPerSec
	waveNotice                   = 4 * clock.Second
	minPropagationDelay          = 50 * microsPerMilli
	propagationDelaySpreadMillis = 350
	eventInterval                = 1 * microsPerSec
	tickInterval                 = 100 * microsPerMilli
	// eventLossShare is the share of cache event batches that a node never
	// receives.
	eventLossShare = 0.1
)

// hostClass is a class of host with its relative speed and its price per hour.
type hostClass struct {
	name        string
	speedFactor float64
	price       float64
}

// hostClassOf returns the host class of the runner with the given number.
func hostClassOf(number int) hostClass {
	if number%5 < 3 {
		return hostClass{name: "gpu-small", speedFactor: 1, price: 0.5}
	}
	return hostClass{name: "gpu-large", speedFactor: 1.6, price: 0.9}
}

// run is one simulation: a deployment under a condition with a policy.
type run struct {
	deployment  deployment
	condition   Condition
	timeline    *timeline
	clock       *clock.Clock
	random      *rand.Rand
	nodes       []*node
	engines     []*engine
	services    []*appService
	engineByID  map[string]*engine
	serviceByID map[string]*appService
	computed    map[uint64]bool
	openCalls   map[*call]bool
	serial      int
	result      *result
}

// measureOnce returns the result of one run. A seed gives the same arrivals to
// every policy.
func measureOnce(deployment deployment, condition Condition, policy Policy, seed uint64) *result {
	timeline := newTimeline()
	run := &run{
		deployment: deployment, condition: condition, timeline: timeline, clock: timeline.clock(),
		random: rand.New(rand.NewPCG(seed, 2)), engineByID: map[string]*engine{}, serviceByID: map[string]*appService{},
		computed: map[uint64]bool{}, openCalls: map[*call]bool{}, result: newResult(),
	}
	timeline.now = microsPerSec
	run.addServers()
	for i := range deployment.nodes {
		run.nodes = append(run.nodes, newNode(run, fmt.Sprintf("entry-%d", i+1), deployment.centres[i%len(deployment.centres)], policy))
	}
	rate := deployment.capacity() * calmShare
	if condition == Overloaded {
		rate = deployment.capacity() * overloadedShare
	}
	for _, arrival := range newWorkload(deployment, seed).draw(rate, arrivalsEnd) {
		arrival.time += microsPerSec
		timeline.after(arrival.time-timeline.now, func() { run.nodes[arrival.node].start(arrival) })
	}
	timeline.after(eventInterval, run.deliverCacheEvents)
	timeline.after(tickInterval, run.tick)
	if condition == Wave {
		timeline.after(waveAt, func() { run.reclaimDataCentre(deployment.centres[seed%uint64(len(deployment.centres))]) })
	}
	timeline.run(runEnd)
	return run.result
}

func (run *run) addServers() {
	for i := range run.deployment.runners {
		class := hostClassOf(i)
		engine := newEngine(run, fmt.Sprintf("runner-%d", i+1), run.centre(i), class.name, class.speedFactor)
		run.engines = append(run.engines, engine)
		run.engineByID[engine.id] = engine
		run.result.cost += class.price
	}
	for i := range run.deployment.services {
		service := &appService{run: run, id: fmt.Sprintf("service-%d", i+1), dataCentre: run.centre(i), alive: true}
		run.services = append(run.services, service)
		run.serviceByID[service.id] = service
		run.result.cost += 0.05
	}
}

func (run *run) centre(i int) string { return run.deployment.centres[i%len(run.deployment.centres)] }

// deliverCacheEvents delivers the runners' cache events to every node, delayed
// by up to a second and with eventLossShare of the batches lost.
func (run *run) deliverCacheEvents() {
	for _, engine := range run.engines {
		events := engine.drainEvents()
		for _, node := range run.nodes {
			if len(events) == 0 || run.random.Float64() < eventLossShare {
				continue
			}
			delay := micros(run.random.Int64N(int64(microsPerSec)))
			run.timeline.after(delay, func() {
				if server := node.fleet.Current().Server(engine.id); server != nil {
					node.decisions.cacheEvents(server, events)
				}
			})
		}
	}
	if run.timeline.now < runEnd {
		run.timeline.after(eventInterval, run.deliverCacheEvents)
	}
}

// tick runs the nodes' periodic tasks.
func (run *run) tick() {
	for _, node := range run.nodes {
		node.decisions.tick()
	}
	if run.timeline.now < runEnd {
		run.timeline.after(tickInterval, run.tick)
	}
}

// reclaimDataCentre reclaims all servers of a data centre: they are leaving at
// once, the nodes receive this after a propagation delay, and the servers end
// after waveNotice.
func (run *run) reclaimDataCentre(dataCentre string) {
	until := run.clock.Now() + waveNotice
	for _, engine := range run.engines {
		if engine.dataCentre == dataCentre {
			engine.leaving = true
			run.timeline.after(microsOf(waveNotice), engine.kill)
		}
	}
	for _, service := range run.services {
		if service.dataCentre == dataCentre {
			service.leaving = true
			run.timeline.after(microsOf(waveNotice), func() { service.alive = false })
		}
	}
	for _, node := range run.nodes {
		delay := minPropagationDelay + micros(run.random.IntN(propagationDelaySpreadMillis))*microsPerMilli
		run.timeline.after(delay, func() { node.applyWave(dataCentre, until) })
	}
}

func (node *node) applyWave(dataCentre string, until clock.Millis) {
	var leaving []*backend.Server
	for _, pool := range []string{runnerPool, servicePool} {
		for _, server := range node.fleet.Current().Pool(pool) {
			if server.DataCentre() == dataCentre {
				node.fleet.MarkLeaving(server.ID())
				leaving = append(leaving, server)
			}
		}
	}
	node.decisions.serversLeaving(leaving, until)
}
