package measure

import (
	"math"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/route"
	"sapphirehead/internal/runner"
)

// Pools of both deployments.
const (
	runnerPool  = "runners"
	servicePool = "service"
)

// requestKind is one kind of request of a deployment.
type requestKind struct {
	route          route.Route
	share          float64
	systemBlocks   int
	sharedBlocks   int
	ownBlocks      int
	responseTokens int
	nonIdempotent  bool
	session        bool
	subjects       int
	prefixRoute    string
}

// deployment is one user's system with its size and workload.
type deployment struct {
	name          string
	centres       []string
	oneWayLatency micros
	runners       int
	nodes         int
	services      int
	kinds         []requestKind
	accounts      []float64
	daytimeOnly   bool
	costWeight    float64
}

func chat(name string, worth float64, firstToken, deadline clock.Millis) route.Route {
	return route.New(name, route.KindChat, runnerPool).WithModel(name).WithWorth(worth).
		WithTargets(firstToken, route.DefaultBetweenTokens, deadline)
}

func serviceKind(name string, worth float64, nonIdempotent bool) requestKind {
	serviceRoute := route.New(name, route.KindService, servicePool).WithPath("/"+name).WithWorth(worth).WithNonIdempotent(nonIdempotent).
		WithTargets(500, route.DefaultBetweenTokens, 5*clock.Second)
	return requestKind{route: serviceRoute, nonIdempotent: nonIdempotent}
}

func (kind requestKind) withShare(share float64) requestKind {
	kind.share = share
	return kind
}

// filtrix returns the deployment of Filtrix Storitve. A report's prompt begins
// with that of an earlier log.
func filtrix() deployment {
	return deployment{
		name: "filtrix", centres: []string{"lj-a", "lj-b", "lj-c"}, oneWayLatency: 1500, runners: 10, nodes: 7, services: 3, costWeight: 2.0 / 3,
		accounts: []float64{0.4, 0.3, 0.15, 0.1, 0.05},
		kinds: []requestKind{
			{route: chat("logs", 4, 1900, 30*clock.Second), share: 0.25, systemBlocks: 50, sharedBlocks: 20, ownBlocks: 40, responseTokens: 120},
			{route: chat("reports", 8, 1900, 60*clock.Second), share: 0.15, prefixRoute: "logs", ownBlocks: 10, responseTokens: 280},
			{route: chat("desk", 3, 800, 10*clock.Second), share: 0.4, systemBlocks: 8, ownBlocks: 5, responseTokens: 60},
			serviceKind("bookings", 10, true).withShare(0.08),
			serviceKind("invoices", 10, true).withShare(0.05),
			serviceKind("status", 1, false).withShare(0.07),
		},
	}
}

// tarbela returns the deployment of Tarbela Strings & Co. The prompts of chats
// grow with each turn, and a summary reads the whole history of a customer.
func tarbela() deployment {
	return deployment{
		name: "tarbela", centres: []string{"lhr-a", "lhr-b", "isb-c"}, oneWayLatency: 500, runners: 20, nodes: 7, services: 3, costWeight: 1.0 / 3,
		accounts: []float64{0.4, 0.3, 0.15, 0.1, 0.05}, daytimeOnly: true,
		kinds: []requestKind{
			{route: chat("chats", 2, 1900, 20*clock.Second), share: 0.4, systemBlocks: 25, ownBlocks: 6, responseTokens: 80, session: true, subjects: 200},
			{route: chat("advice", 2, 1900, 30*clock.Second), share: 0.15, systemBlocks: 30, ownBlocks: 12, responseTokens: 150},
			{route: chat("summaries", 9, 1900, 60*clock.Second), share: 0.15, systemBlocks: 15, sharedBlocks: 250, ownBlocks: 4, responseTokens: 250, subjects: 80},
			serviceKind("renewals", 6, true).withShare(0.12),
			serviceKind("skips", 5, true).withShare(0.08),
			serviceKind("charges", 10, true).withShare(0.1),
		},
	}
}

// segment is a sequence of blocks from one source. Equal segments after equal
// prefixes have equal block hashes.
type segment struct {
	source uint64
	blocks int
}

// chainOf returns the hashes of the segments' blocks.
func chainOf(segments []segment) []uint64 {
	var blocks []uint64
	hash := uint64(1)
	for _, segment := range segments {
		for i := range segment.blocks {
			hash = mix(hash, segment.source+uint64(i))
			blocks = append(blocks, hash)
		}
	}
	return blocks
}

func mix(a, b uint64) uint64 {
	a ^= b + 0x9e3779b97f4a7c15 + a<<6 + a>>2
	a *= 0xff51afd7ed558ccd
	return a ^ a>>33
}

// workload draws requests from a seed, so that every policy gets the same ones.
type workload struct {
	deployment deployment
	random     *rand.Rand
	total      float64
	serial     uint64
	logs       [][]segment
	sessions   map[uint64][]segment
}

func newWorkload(deployment deployment, seed uint64) *workload {
	workload := &workload{deployment: deployment, random: rand.New(rand.NewPCG(seed, 1)), sessions: map[uint64][]segment{}}
	for _, kind := range deployment.kinds {
		workload.total += kind.share
	}
	return workload
}

// arrival is one drawn request.
type arrival struct {
	time           micros
	kind           requestKind
	account        int
	node           int
	segments       []segment
	responseTokens int
	source         uint64
}

// draw returns the arrivals until end, at a mean rate per second.
func (workload *workload) draw(rate float64, end micros) []arrival {
	var arrivals []arrival
	for at := micros(0); ; {
		now := rate
		if workload.deployment.daytimeOnly {
			now *= 0.5 + math.Pi/4*math.Sin(math.Pi*float64(at)/float64(end))
		}
		at += micros(workload.random.ExpFloat64() / now * float64(microsPerSec))
		if at >= end {
			return arrivals
		}
		arrivals = append(arrivals, workload.next(at))
	}
}

func (workload *workload) next(at micros) arrival {
	workload.serial++
	arrival := arrival{
		time: at, kind: workload.kind(), account: weighted(workload.random, workload.deployment.accounts),
		node: workload.random.IntN(workload.deployment.nodes), source: xxhash.Sum64String("answer") + workload.serial<<20,
	}
	if arrival.kind.route.Kind() == route.KindService {
		return arrival
	}
	arrival.responseTokens = max(8, int(float64(arrival.kind.responseTokens)*(0.6+0.8*workload.random.Float64())))
	arrival.segments = workload.prompt(&arrival)
	return arrival
}

func (workload *workload) kind() requestKind {
	shares := make([]float64, len(workload.deployment.kinds))
	for i, kind := range workload.deployment.kinds {
		shares[i] = kind.share
	}
	return workload.deployment.kinds[weighted(workload.random, shares)]
}

func weighted(random *rand.Rand, shares []float64) int {
	sum := 0.0
	for _, share := range shares {
		sum += share
	}
	pick := random.Float64() * sum
	for i, share := range shares {
		if pick -= share; pick < 0 {
			return i
		}
	}
	return len(shares) - 1
}

// prompt returns the segments of a prompt: the system text, the text shared by
// account or subject, and the request's own text.
func (workload *workload) prompt(arrival *arrival) []segment {
	kind := arrival.kind
	name := xxhash.Sum64String(kind.route.Name())
	ownText := segment{source: workload.serial << 32, blocks: kind.ownBlocks}
	if kind.prefixRoute != "" && len(workload.logs) > 0 {
		return append(append([]segment{}, workload.logs[workload.random.IntN(len(workload.logs))]...), ownText)
	}
	segments := []segment{{source: name, blocks: max(kind.systemBlocks, 1)}}
	subject := uint64(arrival.account)
	if kind.subjects > 0 {
		subject = uint64(float64(kind.subjects) * math.Pow(workload.random.Float64(), 1.5))
	}
	if kind.session {
		return workload.turn(name+subject<<40, segments, ownText, arrival)
	}
	if kind.sharedBlocks > 0 {
		segments = append(segments, segment{source: name + (subject+1)<<40, blocks: kind.sharedBlocks})
	}
	segments = append(segments, ownText)
	if kind.route.Name() == "logs" {
		workload.logs = append(workload.logs, segments)
		if len(workload.logs) > 24 {
			workload.logs = workload.logs[1:]
		}
	}
	return segments
}

// maxTurns is the maximum number of turns of a chat.
const maxTurns = 8

func (workload *workload) turn(session uint64, system []segment, ownText segment, arrival *arrival) []segment {
	past := workload.sessions[session]
	if len(past) == 0 || len(past) > 2*maxTurns {
		past = system
	}
	segments := append(append([]segment{}, past...), ownText)
	response := segment{source: arrival.source, blocks: arrival.responseTokens / runner.BlockTokens}
	workload.sessions[session] = append(append([]segment{}, segments...), response)
	return segments
}

// capacity returns the arrivals per second that keep all slots of the runners busy
// if half of the system, shared and own blocks of each prompt is cached, and an
// earlier log or earlier turns entirely.
func (deployment deployment) capacity() float64 {
	slots, perArrival, total := 0.0, 0.0, 0.0
	for i := range deployment.runners {
		slots += engineSlots * hostClassOf(i).speedFactor
	}
	full := float64(stepBase+engineSlots*stepPerRequest) / float64(microsPerSec)
	for _, kind := range deployment.kinds {
		total += kind.share
		if kind.route.Kind() == route.KindService {
			continue
		}
		prompt := float64(kind.systemBlocks+kind.sharedBlocks+kind.ownBlocks) * runner.BlockTokens
		prefill := prompt / 2 * float64(prefillPerToken) / float64(microsPerSec) * engineSlots
		perArrival += kind.share * (float64(kind.responseTokens)*full + prefill)
	}
	return slots / (perArrival / total)
}
