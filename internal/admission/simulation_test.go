package admission_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"sapphirehead/internal/admission"
	"sapphirehead/internal/clock"
)

// traffic is the load of one kind of request by one account, in multiples of the capacity.
type traffic struct {
	account string
	rank    int
	cost    int
	load    float64
	target  clock.Millis
}

// simulation is a pool of engines behind nodes that send each other their sums, in
// virtual time. Each engine serves one request after the other, the most urgent first.
type simulation struct {
	random  *rand.Rand
	now     clock.Millis
	nodes   []*admission.Admission
	starts  []int64
	engines []*engine
	// costPerMilli is what an engine serves in a millisecond.
	costPerMilli float64
	// interval is the time between two bulletins of a node.
	interval clock.Millis
	// hears reports whether a node gets the bulletin that another one sends now.
	hears   func(from, to int) bool
	traffic []traffic
	// growth returns the factor on the load of a kind at the time.
	growth func(kind traffic, now clock.Millis) float64
	owed   []float64
	// retries is the number of times that a refused request is sent again at once.
	retries func(kind traffic) int
	// slow and hung return the factor on an engine's time, and whether it does not respond.
	slow func(engine int, now clock.Millis) float64
	hung func(engine int) bool
	// honours makes a refused caller return once, after the Retry-After.
	honours  bool
	arrivals []arrival
	sequence int64
	results  map[traffic]*result
	// measureFrom is when results begin to count, at that time of the request's arrival.
	measureFrom clock.Millis
	served      float64
}

type arrival struct {
	at       clock.Millis
	kind     traffic
	returned bool
	first    clock.Millis
}

type result struct {
	offered, admitted, late, begun int
	returned, returnedAdmitted     int
}

type job struct {
	kind    traffic
	request admission.Request
	node    int
	arrived clock.Millis
	left    float64
}

type engine struct {
	queue   []*job
	current *job
	gone    bool
	// known is the backlog of each rank and the more urgent ones at the latest report.
	known [3]float64
}

const timeout = 4 * clock.Second

// newSimulation returns a pool of 80 engines behind the nodes.
func newSimulation(seed uint64, nodes int, interval clock.Millis, kinds []traffic) *simulation {
	simulation := &simulation{
		random: rand.New(rand.NewPCG(seed, 0)), now: 1000, costPerMilli: 1, interval: interval, traffic: kinds,
		hears: func(int, int) bool { return true }, growth: func(traffic, clock.Millis) float64 { return 1 },
		slow: func(int, clock.Millis) float64 { return 1 }, hung: func(int) bool { return false }, retries: func(traffic) int { return 0 },
		owed: make([]float64, len(kinds)), results: map[traffic]*result{},
	}
	for range nodes {
		simulation.nodes = append(simulation.nodes, simulation.newNode())
		simulation.starts = append(simulation.starts, 1)
	}
	for range 80 {
		simulation.engines = append(simulation.engines, &engine{})
	}
	for _, kind := range kinds {
		simulation.results[kind] = &result{}
	}
	return simulation
}

func (simulation *simulation) newNode() *admission.Admission {
	return admission.New(simulation.random.Float64, func(string) float64 { return 1 })
}

// restart replaces the process of a node. Its requests in progress are lost.
func (simulation *simulation) restart(node int) {
	simulation.nodes[node] = simulation.newNode()
	simulation.starts[node]++
	for _, engine := range simulation.engines {
		engine.queue = slices.DeleteFunc(engine.queue, func(job *job) bool { return job.node == node })
		if engine.current != nil && engine.current.node == node {
			engine.current = nil
		}
	}
}

func (simulation *simulation) capacity() float64 {
	engines := 0
	for _, engine := range simulation.engines {
		if !engine.gone {
			engines++
		}
	}
	return float64(engines) * simulation.costPerMilli
}

// run advances the simulation until the time.
func (simulation *simulation) run(until clock.Millis) {
	full := float64(len(simulation.engines)) * simulation.costPerMilli
	for ; simulation.now < until; simulation.now++ {
		for i, kind := range simulation.traffic {
			simulation.owed[i] += simulation.poisson(kind.load * simulation.growth(kind, simulation.now) * full / float64(kind.cost))
			for ; simulation.owed[i] >= 1; simulation.owed[i]-- {
				simulation.offer(arrival{kind: kind, first: simulation.now})
			}
		}
		due := simulation.arrivals
		simulation.arrivals = nil
		for _, arrival := range due {
			if arrival.at > simulation.now {
				simulation.arrivals = append(simulation.arrivals, arrival)
			} else {
				simulation.offer(arrival)
			}
		}
		for i, engine := range simulation.engines {
			if (int(simulation.now)+i*11)%int(simulation.interval) == 0 {
				engine.report()
			}
			if !simulation.hung(i) {
				simulation.serve(engine, simulation.slow(i, simulation.now))
			}
		}
		for node, admission := range simulation.nodes {
			if (int(simulation.now)+node*7)%50 == 0 {
				admission.Update(simulation.now)
			}
			if (int(simulation.now)+node*int(simulation.interval)/len(simulation.nodes))%int(simulation.interval) == 0 {
				simulation.send(node)
			}
		}
	}
}

// poisson returns a random count with the mean.
func (simulation *simulation) poisson(mean float64) float64 {
	count, limit, product := 0.0, math.Exp(-mean), simulation.random.Float64()
	for product > limit {
		count++
		product *= simulation.random.Float64()
	}
	return count
}

func (simulation *simulation) send(node int) {
	simulation.sequence++
	sums := simulation.nodes[node].Sums("pool", simulation.now)
	for to, peer := range simulation.nodes {
		if to != node && simulation.hears(node, to) {
			peer.Merge(fmt.Sprint(node), simulation.starts[node], simulation.sequence, sums, simulation.now)
		}
	}
}

func (simulation *simulation) offer(arrival arrival) {
	kind, node := arrival.kind, simulation.random.IntN(len(simulation.nodes))
	request := admission.NewRequest(admission.NewClass(kind.account, kind.rank), kind.cost, timeout-(simulation.now-arrival.first)).WithTarget(kind.target)
	if arrival.returned {
		request = request.WithReturned()
	}
	result := &result{}
	if simulation.now >= simulation.measureFrom {
		result = simulation.results[kind]
	}
	for try := 0; try <= simulation.retries(kind); try++ {
		verdict := simulation.nodes[node].Offer(request, simulation.now)
		admitted := verdict.Admitted() && simulation.place(&job{kind: kind, request: request, node: node, arrived: simulation.now, left: float64(kind.cost) / simulation.costPerMilli})
		result.count(arrival.returned, try, admitted)
		if admitted {
			return
		}
		if verdict.Admitted() {
			simulation.nodes[node].Ended(request, simulation.now, true)
		}
		if simulation.honours && !arrival.returned {
			arrival.at, arrival.returned = simulation.now+verdict.RetryAfter(), true
			simulation.arrivals = append(simulation.arrivals, arrival)
		}
	}
}

func (result *result) count(returned bool, try int, admitted bool) {
	switch {
	case returned:
		result.returned++
		if admitted {
			result.returnedAdmitted++
		}
	case try == 0:
		result.offered++
	}
	if admitted && !returned {
		result.admitted++
	}
}

// place puts the job in the shortest queue of four engines, as figures are too old to
// know the shortest of all. It reports false if the job would begin late by the figures,
// as the second check of a node does (placement.Choice.Lateness).
func (simulation *simulation) place(job *job) bool {
	var best *engine
	for tries := 0; tries < 4; {
		engine := simulation.engines[simulation.random.IntN(len(simulation.engines))]
		if engine.gone {
			continue
		}
		tries++
		if best == nil || engine.backlog() < best.backlog() {
			best = engine
		}
	}
	if !simulation.beginsInTime(best, job) {
		return false
	}
	best.queue = append(best.queue, job)
	return true
}

// beginsInTime reports whether the job is expected to begin by the admission deadline of
// its rank at the engine, whose figures are up to an interval old.
func (simulation *simulation) beginsInTime(engine *engine, job *job) bool {
	wait := engine.known[job.kind.rank]
	target := float64(job.kind.target)
	return wait < 0.25*target || wait+job.left <= (0.85-0.05*float64(job.kind.rank))*target
}

// report makes the engine's backlog known, by rank.
func (engine *engine) report() {
	engine.known = [3]float64{}
	for rank := range engine.known {
		for _, job := range engine.queue {
			if job.kind.rank <= rank {
				engine.known[rank] += job.left
			}
		}
		if engine.current != nil {
			engine.known[rank] += engine.current.left
		}
	}
}

func (engine *engine) backlog() float64 {
	total := 0.0
	for _, job := range engine.queue {
		total += job.left
	}
	if engine.current != nil {
		total += engine.current.left
	}
	return total
}

func (simulation *simulation) serve(engine *engine, slow float64) {
	if engine.gone {
		return
	}
	if engine.current == nil && len(engine.queue) > 0 {
		slices.SortStableFunc(engine.queue, func(a, b *job) int { return cmp.Compare(a.kind.rank, b.kind.rank) })
		engine.current, engine.queue = engine.queue[0], engine.queue[1:]
	}
	if engine.current == nil {
		return
	}
	if simulation.now >= simulation.measureFrom {
		simulation.served += simulation.costPerMilli
	}
	if engine.current.left -= 1 / slow; engine.current.left > 0 {
		return
	}
	job := engine.current
	engine.current = nil
	late := simulation.now-job.arrived > job.kind.target
	simulation.nodes[job.node].Begun(job.request, job.arrived, late)
	if job.arrived >= simulation.measureFrom {
		result := simulation.results[job.kind]
		result.begun++
		if late {
			result.late++
		}
	}
}

// reclaim removes engines. Their jobs are placed again.
func (simulation *simulation) reclaim(count int) {
	for _, engine := range simulation.engines[:count] {
		engine.gone = true
		for _, job := range append(engine.queue, engine.current) {
			if job != nil && !simulation.place(job) {
				simulation.nodes[job.node].Ended(job.request, job.arrived, true)
			}
		}
		engine.queue, engine.current = nil, nil
	}
}

// deployment returns 12 accounts of equal load with three routes, 0.8 of the capacity in
// all.
func deployment() []traffic {
	var kinds []traffic
	for i := range 12 {
		account := fmt.Sprintf("account-%02d", i)
		kinds = append(kinds, traffic{account, 0, 20, 0.1 / 12, 400}, traffic{account, 1, 70, 0.45 / 12, 500}, traffic{account, 2, 40, 0.25 / 12, 1000})
	}
	return kinds
}

// sum adds up the results of the kinds that match.
func (simulation *simulation) sum(matches func(traffic) bool) result {
	var sum result
	for kind, result := range simulation.results {
		if matches(kind) {
			sum.offered += result.offered
			sum.admitted += result.admitted
			sum.late += result.late
			sum.begun += result.begun
			sum.returned += result.returned
			sum.returnedAdmitted += result.returnedAdmitted
		}
	}
	return sum
}

func (result result) share() float64 { return float64(result.admitted) / float64(result.offered) }

func (result result) lateShare() float64 { return float64(result.late) / float64(max(1, result.begun)) }

func all(traffic) bool { return true }
