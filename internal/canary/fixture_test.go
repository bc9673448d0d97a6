package canary_test

import (
	"fmt"
	"math"
	"math/rand/v2"

	"sapphirehead/internal/canary"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/node"
)

const (
	second   = clock.Second
	tick     = 10 * clock.Millisecond
	exposure = 0.1
	slack    = 50
	rollback = 5 * second
	duration = 12 * second
	// The order comes after the nodes have seen the old version for a while, and its
	// servers are listed 4 s later.
	orderedAt = 10 * second
	listedAt  = orderedAt + 4*second
)

// scenario is what happens in a rollout. A fault function returns the portion of failed
// answers and the factor of durations for a request that is sent at the time to a server
// at the load, where 1 is that of an old server.
type scenario struct {
	// fault is of the new version, and disturbance of both.
	fault       func(at clock.Millis, route int, load float64) (failed, factor float64)
	disturbance func(at clock.Millis) (failed, factor float64)
	// crashes is the mean number of crashes of servers of each kind in a minute.
	crashes float64
	// cutAt is when half of the nodes lose the others and the store, killedAt when all
	// nodes start again.
	cutAt, killedAt clock.Millis
	// replaced changes the lease holder before or after each write.
	replacedBefore, replacedAfter bool
}

// host is one node.
type host struct {
	tracker     *canary.Tracker
	incarnation int64
	isCut       bool
	inProgress  int
	report      canary.Report
}

// answer is the end of an attempt, or what is recorded of it.
type answer struct {
	host        *host
	incarnation int64
	version     string
	isBad       bool
	recorded    canary.Answer
	isRecord    bool
}

// fixture is a deployment in virtual time.
type fixture struct {
	scenario scenario
	random   *rand.Rand
	rate     float64
	servers  int
	now      clock.Millis
	hosts    []*host
	names    []string
	due      map[clock.Millis][]answer
	order    canary.Order
	holder   *canary.Controller
	// sent are the requests per tick to each version in the last tick but one.
	sent, load map[string]float64

	requests, exposed, badAnswers, lost int
	lastExposed, fiftiethBad, endedAt   clock.Millis
	cause                               canary.Cause
	reason                              string
}

// routes have a weight, a usual duration and a usual prompt length.
var routes = []struct {
	weight float64
	took   float64
	tokens int
}{{0.4, 300, 8000}, {0.25, 200, 2000}, {0.1, 150, 700}, {0.18, 60, 0}, {0.07, 60, 0}}

func newFixture(nodes int, scenario scenario, seed uint64) *fixture {
	fixture := &fixture{
		scenario: scenario, random: rand.New(rand.NewPCG(seed, uint64(nodes))), rate: 150 + 8*float64(nodes), servers: nodes + 5,
		due: map[clock.Millis][]answer{}, holder: canary.NewController(exposure), sent: map[string]float64{}, load: map[string]float64{},
	}
	for i := range nodes {
		fixture.names = append(fixture.names, fmt.Sprint("n-", i))
		fixture.hosts = append(fixture.hosts, &host{})
		fixture.start(fixture.hosts[i])
	}
	return fixture
}

func (fixture *fixture) start(host *host) {
	host.tracker, host.incarnation, host.inProgress = canary.NewTracker(exposure), host.incarnation+1, 0
	host.report = canary.NewReport(-1, nil)
}

func (fixture *fixture) listed() []canary.Listed {
	listed := []canary.Listed{canary.NewListed("engines", "v1", fixture.servers)}
	if fixture.now >= listedAt {
		listed = append(listed, canary.NewListed("engines", "v2", fixture.servers))
	}
	return listed
}

// run plays a rollout until the deadline.
func (fixture *fixture) run() *fixture {
	nodes := len(fixture.hosts)
	interval := node.BulletinInterval(nodes, false) / tick
	for ; fixture.now < orderedAt+duration; fixture.now += tick {
		step := fixture.now / tick
		if fixture.now == orderedAt {
			fixture.order = canary.NewOrder("engines", "v2", duration, 1)
		}
		for i, host := range fixture.hosts {
			host.isCut = fixture.scenario.cutAt > 0 && fixture.now >= fixture.scenario.cutAt && i%2 == 1
			if fixture.scenario.killedAt > 0 && fixture.now == fixture.scenario.killedAt {
				fixture.start(host)
			}
			phase := step + clock.Millis(7*i)
			if phase%10 == 0 {
				fixture.read(host)
			}
			if phase%5 == 0 {
				host.tracker.Update(fixture.now)
			}
			if phase%interval == 0 && fixture.now >= orderedAt {
				fixture.cast(i)
			}
		}
		if step%10 == 0 && fixture.now >= orderedAt {
			fixture.control()
		}
		fixture.serve()
	}
	// Only the result is kept.
	fixture.hosts, fixture.due = nil, nil
	return fixture
}

// read lets a node read servers and rollouts, and look at its peers.
func (fixture *fixture) read(host *host) {
	host.tracker.ObservePeers(len(fixture.hosts)-1, len(fixture.hosts)-1, fixture.now)
	if host.isCut {
		return
	}
	host.tracker.ObserveServers(fixture.listed(), fixture.now)
	var orders []canary.Order
	if fixture.order.Pool() != "" {
		orders = append(orders, fixture.order)
	}
	host.tracker.Observe(orders, fixture.now, fixture.now)
}

// cast sends a node's bulletin. A twentieth is lost, and the others arrive at once: what
// they say is as old as the interval.
func (fixture *fixture) cast(sender int) {
	from := fixture.hosts[sender]
	from.report = from.tracker.Report(func(string, string) int { return from.inProgress }, fixture.now)
	for i, to := range fixture.hosts {
		if i != sender && to.isCut == from.isCut && fixture.random.Float64() > 0.05 {
			to.tracker.Merge(fixture.names[sender], from.incarnation, from.report, fixture.now)
		}
	}
}

// control lets the lease holder, the first node, decide.
func (fixture *fixture) control() {
	holder := fixture.hosts[0]
	agreement := holder.tracker.Agreement(fixture.order, holder.inProgress, fixture.names[1:], fixture.now)
	inputs := canary.NewInputs(fixture.order, true, fixture.listed(), agreement, holder.tracker.Verdict("engines"))
	decision := fixture.holder.Step(fixture.now, inputs.WithAge(holder.tracker.Age("engines", fixture.now)))
	if !decision.MustWrite() {
		return
	}
	if fixture.scenario.replacedBefore {
		// The next holder decides a second later.
		fixture.holder, fixture.scenario.replacedBefore = canary.NewController(exposure), false
		return
	}
	fixture.scenario.replacedBefore = fixture.scenario.replacedAfter && !decision.State().IsFinal()
	if fixture.scenario.replacedAfter {
		fixture.holder = canary.NewController(exposure)
	}
	fixture.order = canary.NewOrder("engines", "v2", duration, fixture.order.Revision()+1).
		WithStatus("v2", decision.State(), decision.Share(), decision.Order().OrderedAt())
	if decision.State().IsFinal() {
		fixture.endedAt, fixture.cause, fixture.reason = fixture.now, decision.Cause(), decision.Reason()
		for _, host := range fixture.hosts {
			fixture.lost += host.inProgress
		}
	}
}

// serve sends the requests of a tick and records the answers that arrive.
func (fixture *fixture) serve() {
	for _, due := range fixture.due[fixture.now] {
		if due.host.incarnation != due.incarnation {
			continue
		}
		if due.isRecord {
			due.host.tracker.Record("engines", due.version, due.recorded, fixture.now)
			continue
		}
		if due.version == "v1" {
			due.host.inProgress--
		}
		if due.isBad && due.version == "v2" {
			if fixture.badAnswers++; fixture.badAnswers == slack {
				fixture.fiftiethBad = fixture.now
			}
		}
	}
	delete(fixture.due, fixture.now)
	usual := fixture.rate * float64(tick) / float64(second) / float64(fixture.servers)
	for version, sent := range fixture.sent {
		fixture.load[version] = 0.95*fixture.load[version] + 0.05*sent/usual
		fixture.sent[version] = 0
	}
	expected := fixture.rate * float64(tick) / float64(second)
	for count := expected + fixture.random.NormFloat64()*math.Sqrt(expected); count > fixture.random.Float64(); count-- {
		fixture.send(fixture.hosts[fixture.random.IntN(len(fixture.hosts))])
	}
}

func (fixture *fixture) send(host *host) {
	route, draw := 0, fixture.random.Float64()
	for draw > routes[route].weight && route < len(routes)-1 {
		draw -= routes[route].weight
		route++
	}
	plan := host.tracker.Plan("engines", fmt.Sprint("r-", route), fixture.random.Float64() < 0.3, fixture.now)
	version, servers := "v1", fixture.servers
	switch {
	case plan.Use() == canary.UseCanary, plan.Use() == canary.UsePromoted:
		version, servers = "v2", max(1, plan.Servers())
		if plan.Use() == canary.UsePromoted {
			servers = fixture.servers
		}
	case fixture.now >= listedAt && plan.Allows("v2"):
		if !plan.Allows("v1") || fixture.random.IntN(2) == 0 {
			version = "v2"
		}
	}
	fixture.sent[version] += 1 / float64(servers)
	if fixture.now >= orderedAt {
		fixture.requests++
	}
	if version == "v2" {
		fixture.exposed++
		fixture.lastExposed = fixture.now
	} else if host.inProgress++; fixture.order.State() == canary.StateSucceeded {
		fixture.lost++
	}
	fixture.answer(host, version, route, servers)
}

// answer draws the answer of a server.
func (fixture *fixture) answer(host *host, version string, route, servers int) {
	failed, factor := 0.003, math.Exp(0.25*fixture.random.NormFloat64())
	if fixture.random.Float64() < 0.15 {
		factor *= 2.5
	}
	if version == "v2" && fixture.scenario.fault != nil {
		faultFailed, faultFactor := fixture.scenario.fault(fixture.now, route, fixture.load["v2"]*float64(servers))
		failed, factor = failed+faultFailed, factor*faultFactor
	}
	if fixture.scenario.disturbance != nil {
		otherFailed, otherFactor := fixture.scenario.disturbance(fixture.now)
		failed, factor = failed+otherFailed, factor*otherFactor
	}
	usual := routes[route]
	tokens := int(float64(usual.tokens) * math.Exp(0.3*fixture.random.NormFloat64()))
	took := clock.Millis(usual.took * factor)
	name := fmt.Sprint("r-", route)
	result, recorded := canary.NewAnswer(name, tokens, canary.OutcomeAnswered, took), took
	if slowAfter, ok := host.tracker.SlowAfter("engines", name, tokens); ok && slowAfter < took {
		result, recorded = canary.NewAnswer(name, tokens, canary.OutcomeOverdue, slowAfter), slowAfter
	}
	isBad := factor > 3
	switch {
	case fixture.random.Float64() < failed:
		result, isBad, recorded = canary.NewAnswer(name, tokens, canary.OutcomeFailed, took/2), true, took
	case fixture.random.Float64() < fixture.scenario.crashes/60*float64(took)/float64(second):
		// All 4 requests in progress at the server are lost, and are drawn like this one.
		result, isBad, recorded = canary.NewAnswer(name, tokens, canary.OutcomeCrashed, took/2).WithLost(4), true, took
	}
	due := answer{host: host, incarnation: host.incarnation, version: version, isBad: isBad}
	at := fixture.now + (took/tick+1)*tick
	fixture.due[at] = append(fixture.due[at], due)
	at = fixture.now + (recorded/tick+1)*tick
	due.recorded, due.isRecord = result, true
	fixture.due[at] = append(fixture.due[at], due)
}
