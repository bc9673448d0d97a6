package runner

import (
	"math"
	"slices"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/request"
)

// The placer estimates for each candidate when the first token of a request
// would come from it:
//
//	first token = way there and back
//	            + wait for a slot of the batch
//	            + (prompt tokens waiting there + tokens not in its prefix cache) / prefill rate
//
// The queue is the server's lagged report, corrected by what this node has
// begun and ended there since. Several nodes act on the same report, so the
// placer does not take the one best candidate but any of those whose estimate
// is within the noise of the reports.
//
// Example: A has the prompt's 1,600 tokens cached but 4 requests more than
// slots; B is idle. At 10 tokens a millisecond, B's prefill costs 160 ms, the
// wait at A more than a second, so B is chosen and the hot prefix spreads.

// MaxCandidates bounds the servers that one decision looks at. In a larger
// pool each node keeps a subset of this size by rendezvous hashing.
const MaxCandidates = 64

const (
	// noiseMillis is the difference of estimates that means nothing.
	noiseMillis = 25.0
	// workWeight counts a prefill once more, because it slows down everybody
	// in the batch.
	workWeight = 2.0
	// freshMillis is the age at which a report counts half.
	freshMillis = 300.0
	// likeness is how far fellow nodes are taken to do what this node does, and
	// ownFloor what it counts to have at a server where it has nothing.
	likeness = 0.3
	ownFloor = 0.5
	// crowdMillis is what one more request in a batch costs those in it.
	crowdMillis = 80.0
	// lateWeight counts the time by which the first token would come later than
	// the safe share of its target.
	lateWeight = 1.0
	safeShare  = 0.5
	// rampMillis is the handicap of a server that has just begun.
	rampMillis = 400.0
)

// Estimate is what the placer expects of one server.
type Estimate struct {
	server     *backend.Server
	firstToken float64
	queue      float64
	least      float64
	work       int
	score      float64
}

// Server returns the server.
func (estimate Estimate) Server() *backend.Server { return estimate.server }

// FirstToken returns the expected time to the first token in milliseconds.
func (estimate Estimate) FirstToken() float64 { return estimate.firstToken }

// Queue returns the part of it that is spent waiting in milliseconds.
func (estimate Estimate) Queue() float64 { return estimate.queue }

// ShortestQueue returns the queue at the server where it is shortest.
func (estimate Estimate) ShortestQueue() float64 { return estimate.least }

// PrefillMillis returns the time to read the prompt in milliseconds.
func (estimate Estimate) PrefillMillis() float64 {
	return float64(estimate.work) / estimate.server.Speed().PrefillRate()
}

// PrefillTokens returns the tokens that the server would have to read.
func (estimate Estimate) PrefillTokens() int { return estimate.work }

// Placer chooses model runners. It may be used from any goroutine.
type Placer struct {
	clock    *clock.Clock
	fleet    *backend.Fleet
	index    *Index
	node     string
	distance func(server *backend.Server) float64
	slots    func(pool string) int
	random   func(n int) int
	subsets  subsets
}

// NewPlacer returns a placer for the node. Distance is the time in
// milliseconds of the way to a server and back; slots are the places in the
// batch of a pool's servers; random returns a number from 0 to n-1.
func NewPlacer(
	clock *clock.Clock,
	fleet *backend.Fleet,
	index *Index,
	node string,
	distance func(server *backend.Server) float64,
	slots func(pool string) int,
	random func(n int) int,
) *Placer {
	return &Placer{clock: clock, fleet: fleet, index: index, node: node, distance: distance, slots: slots, random: random}
}

// Refresh prepares the candidates of the fleet's current snapshot, so that no
// request has to.
func (placer *Placer) Refresh() {
	placer.subsets.of(placer.fleet.Current(), placer.node, placer.clock.Now())
}

// Place returns the server for an attempt whose prompt has the chain and which
// goes on after so many tokens of the answer. It counts the prompt as sent.
func (placer *Placer) Place(to *request.Request, chain Chain, offset int, exclude []string) (Estimate, bool) {
	estimate, ok := placer.pick(to, chain, offset, exclude)
	if !ok {
		return estimate, false
	}
	now := placer.clock.Now()
	estimate.server.Circuit().Begin(now)
	estimate.server.Work().RecordSent(estimate.work)
	placer.index.Record(estimate.server, chain)
	return estimate, true
}

// EstimateBest returns the estimate of the best server without choosing it.
func (placer *Placer) EstimateBest(to *request.Request, chain Chain) (Estimate, bool) {
	return placer.pick(to, chain, 0, nil)
}

func (placer *Placer) pick(to *request.Request, chain Chain, offset int, exclude []string) (Estimate, bool) {
	candidates := placer.subsets.of(placer.fleet.Current(), placer.node, placer.clock.Now()).candidates(to.Route().Pool())
	if len(candidates) == 0 {
		return Estimate{}, false
	}
	round := newRound(placer, to, chain, offset)
	round.lookAround(candidates)
	var estimates [MaxCandidates]Estimate
	count, best, least := 0, 0, math.Inf(1)
	for _, candidate := range candidates {
		server := candidate.server
		if server.Leaving() || !server.Circuit().Allows(round.now) || slices.Contains(exclude, server.ID()) {
			continue
		}
		estimates[count] = round.estimate(candidate)
		if estimates[count].score < estimates[best].score {
			best = count
		}
		least = min(least, estimates[count].queue)
		count++
	}
	if count == 0 {
		return placer.lastResort(candidates, exclude)
	}
	chosen := placer.amongNear(estimates[:count], estimates[best].score+noiseMillis)
	chosen.least = least
	return chosen, true
}

// amongNear picks at random among the estimates up to the limit.
func (placer *Placer) amongNear(estimates []Estimate, limit float64) Estimate {
	near := 0
	for i := range estimates {
		if estimates[i].score <= limit {
			estimates[near] = estimates[i]
			near++
		}
	}
	return estimates[placer.random(near)]
}

// lastResort returns a server with an open circuit, rather than none.
func (placer *Placer) lastResort(candidates []candidate, exclude []string) (Estimate, bool) {
	start := placer.random(len(candidates))
	for i := range candidates {
		server := candidates[(start+i)%len(candidates)].server
		if !server.Leaving() && !slices.Contains(exclude, server.ID()) {
			return Estimate{server: server}, true
		}
	}
	return Estimate{}, false
}

// round is what the estimates of one decision share.
type round struct {
	placer *Placer
	now    clock.Millis
	chain  Chain
	tokens int
	found  matches
	slots  int
	target float64
	others float64
	own    float64
}

func newRound(placer *Placer, to *request.Request, chain Chain, offset int) round {
	return round{
		placer: placer, now: placer.clock.Now(), chain: chain, tokens: chain.tokens + offset,
		found: placer.index.match(chain), slots: placer.slots(to.Route().Pool()),
		target: float64(to.Route().FirstToken()),
	}
}

func (round *round) estimate(candidate candidate) Estimate {
	server := candidate.server
	cached := float64(round.found.depth(candidate.holder)*BlockTokens) * server.Cache().Confidence()
	work := float64(round.tokens) - cached
	rate := server.Speed().PrefillRate()
	running, waiting := round.queue(server, rate)
	queue := waiting / rate
	if over := running - float64(round.slots) + 1; over > 0 {
		queue += over * server.Speed().ServeMillis() / float64(round.slots)
	}
	firstToken := round.placer.distance(server) + queue + work/rate
	score := firstToken + workWeight*work/rate + crowdMillis*running
	score += lateWeight * max(0, firstToken-safeShare*round.target)
	score += rampMillis * (1 - server.Circuit().Ramp(round.now))
	return Estimate{server: server, firstToken: firstToken, queue: queue, work: int(work), score: score}
}

// queue returns the requests in progress at the server and the prompt tokens
// that wait there: its report, corrected by what this node did since.
func (round *round) queue(server *backend.Server, rate float64) (running, waiting float64) {
	own, sent := server.InFlight(), server.Work().SentTokens()
	guess := round.others * (1 - likeness + likeness*(float64(own)+ownFloor)/(round.own+ownFloor))
	load := server.Load()
	if load == nil {
		return float64(own) + guess, 0
	}
	fresh := freshMillis / (freshMillis + float64(max(0, round.now-load.At())))
	others := fresh*float64(othersOf(load)) + (1-fresh)*guess
	waiting = float64(load.WaitingTokens()) + float64(sent-load.SentTokens()) - rate*float64(round.now-load.At())
	return float64(own) + others, max(0, waiting)
}

// othersOf returns the requests of fellow nodes in a report.
func othersOf(load *backend.Load) int64 {
	return max(0, int64(load.Running()+load.Queued())-load.OwnInFlight())
}

// lookAround takes the mean, over the candidates, of the requests of this node
// and of fellow nodes. An old report tells less of a server than what fellow
// nodes, which meet the same prompts, probably do: much the same as this one.
func (round *round) lookAround(candidates []candidate) {
	others, own, weight, live := 0.0, 0.0, 0.0, 0.0
	for i := range candidates {
		server := candidates[i].server
		if server.Leaving() {
			continue
		}
		own += float64(server.InFlight())
		live++
		if load := server.Load(); load != nil {
			fresh := freshMillis / (freshMillis + float64(max(0, round.now-load.At())))
			others += fresh * float64(othersOf(load))
			weight += fresh
		}
	}
	round.own = own / max(live, 1)
	if weight > 0 {
		round.others = others / weight
	}
}
