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
	// estimateNoiseMillis is the difference of estimates that means nothing.
	estimateNoiseMillis = 25.0
	// prefillWeight counts a prefill once more, because it slows down everybody
	// in the batch.
	prefillWeight = 2.0
	// reportHalfWeightMillis is the age at which a report counts half.
	reportHalfWeightMillis = 300.0
	// peerSimilarity is how far fellow nodes are taken to do what this node does, and
	// ownFloor what it counts to have at a server where it has nothing.
	peerSimilarity = 0.3
	ownOffset      = 0.5
	// batchContentionMillis is what one more request in a batch costs those in it.
	batchContentionMillis = 80.0
	// latenessWeight counts the time by which the first token would come later than
	// the safe share of its target.
	latenessWeight  = 1.0
	safeTargetShare = 0.5
	// slowStartPenaltyMillis is the handicap of a server that has just begun.
	slowStartPenaltyMillis = 400.0
)

// Estimate is what the placer expects of one server.
type Estimate struct {
	server        *backend.Server
	firstToken    float64
	queue         float64
	shortestQueue float64
	prefillTokens int
	score         float64
}

// Server returns the server.
func (estimate Estimate) Server() *backend.Server { return estimate.server }

// FirstToken returns the expected time to the first token in milliseconds.
func (estimate Estimate) FirstToken() float64 { return estimate.firstToken }

// Queue returns the part of it that is spent waiting in milliseconds.
func (estimate Estimate) Queue() float64 { return estimate.queue }

// ShortestQueue returns the queue at the server where it is shortest.
func (estimate Estimate) ShortestQueue() float64 { return estimate.shortestQueue }

// PrefillMillis returns the time to read the prompt in milliseconds.
func (estimate Estimate) PrefillMillis() float64 {
	return float64(estimate.prefillTokens) / estimate.server.Speed().PrefillRate()
}

// PrefillTokens returns the tokens that the server would have to read.
func (estimate Estimate) PrefillTokens() int { return estimate.prefillTokens }

// Placer chooses model runners. It may be used from any goroutine.
type Placer struct {
	clock           *clock.Clock
	fleet           *backend.Fleet
	index           *Index
	node            string
	roundTripMillis func(server *backend.Server) float64
	slots           func(pool string) int
	random          func(n int) int
	subsets         subsets
}

// NewPlacer returns a placer for the node. Distance is the time in
// milliseconds of the way to a server and back; slots are the places in the
// batch of a pool's servers; random returns a number from 0 to n-1.
func NewPlacer(
	clock *clock.Clock,
	fleet *backend.Fleet,
	index *Index,
	node string,
	roundTripMillis func(server *backend.Server) float64,
	slots func(pool string) int,
	random func(n int) int,
) *Placer {
	return &Placer{clock: clock, fleet: fleet, index: index, node: node, roundTripMillis: roundTripMillis, slots: slots, random: random}
}

// Refresh prepares the candidates of the fleet's current snapshot, so that no
// request has to.
func (placer *Placer) Refresh() {
	placer.subsets.get(placer.fleet.Current(), placer.node, placer.clock.Now())
}

// Place returns the server for an attempt whose prompt has the chain and which
// goes on after so many tokens of the answer. It counts the prompt as sent.
func (placer *Placer) Place(to *request.Request, chain Chain, offset int, exclude []string) (Estimate, bool) {
	estimate, ok := placer.choose(to, chain, offset, exclude)
	if !ok {
		return estimate, false
	}
	now := placer.clock.Now()
	estimate.server.Circuit().Begin(now)
	estimate.server.Work().RecordSent(estimate.prefillTokens)
	placer.index.Record(estimate.server, chain)
	return estimate, true
}

// EstimateBest returns the estimate of the best server without choosing it.
func (placer *Placer) EstimateBest(to *request.Request, chain Chain) (Estimate, bool) {
	return placer.choose(to, chain, 0, nil)
}

func (placer *Placer) choose(to *request.Request, chain Chain, offset int, exclude []string) (Estimate, bool) {
	candidates := placer.subsets.get(placer.fleet.Current(), placer.node, placer.clock.Now()).candidates(to.Route().Pool())
	if len(candidates) == 0 {
		return Estimate{}, false
	}
	decision := newDecision(placer, to, chain, offset)
	decision.averageLoad(candidates)
	var estimates [MaxCandidates]Estimate
	count, best, shortestQueue := 0, 0, math.Inf(1)
	for _, candidate := range candidates {
		server := candidate.server
		if server.Leaving() || !server.Circuit().Allows(decision.now) || slices.Contains(exclude, server.ID()) {
			continue
		}
		estimates[count] = decision.estimate(candidate)
		if estimates[count].score < estimates[best].score {
			best = count
		}
		shortestQueue = min(shortestQueue, estimates[count].queue)
		count++
	}
	if count == 0 {
		return placer.lastResort(candidates, exclude)
	}
	chosen := placer.chooseNear(estimates[:count], estimates[best].score+estimateNoiseMillis)
	chosen.shortestQueue = shortestQueue
	return chosen, true
}

// chooseNear picks at random among the estimates up to the limit.
func (placer *Placer) chooseNear(estimates []Estimate, limit float64) Estimate {
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

// decision is what the estimates of one decision share.
type decision struct {
	placer    *Placer
	now       clock.Millis
	chain     Chain
	tokens    int
	found     matches
	slots     int
	target    float64
	peersMean float64
	ownMean   float64
}

func newDecision(placer *Placer, to *request.Request, chain Chain, offset int) decision {
	return decision{
		placer: placer, now: placer.clock.Now(), chain: chain, tokens: chain.tokens + offset,
		found: placer.index.match(chain), slots: placer.slots(to.Route().Pool()),
		target: float64(to.Route().FirstToken()),
	}
}

func (decision *decision) estimate(candidate candidate) Estimate {
	server := candidate.server
	cached := float64(decision.found.depth(candidate.holder)*BlockTokens) * server.Cache().Confidence()
	prefillTokens := float64(decision.tokens) - cached
	rate := server.Speed().PrefillRate()
	running, waiting := decision.serverLoad(server, rate)
	queue := waiting / rate
	if excess := running - float64(decision.slots) + 1; excess > 0 {
		queue += excess * server.Speed().ServeMillis() / float64(decision.slots)
	}
	firstToken := decision.placer.roundTripMillis(server) + queue + prefillTokens/rate
	score := firstToken + prefillWeight*prefillTokens/rate + batchContentionMillis*running
	score += latenessWeight * max(0, firstToken-safeTargetShare*decision.target)
	score += slowStartPenaltyMillis * (1 - server.Circuit().Ramp(decision.now))
	return Estimate{server: server, firstToken: firstToken, queue: queue, prefillTokens: int(prefillTokens), score: score}
}

// serverLoad returns the requests in progress at the server and the prompt tokens
// that wait there: its report, corrected by what this node did since.
func (decision *decision) serverLoad(server *backend.Server, rate float64) (running, waiting float64) {
	own, sent := server.InFlight(), server.Work().SentTokens()
	expected := decision.peersMean * (1 - peerSimilarity + peerSimilarity*(float64(own)+ownOffset)/(decision.ownMean+ownOffset))
	load := server.Load()
	if load == nil {
		return float64(own) + expected, 0
	}
	weight := reportHalfWeightMillis / (reportHalfWeightMillis + float64(max(0, decision.now-load.At())))
	others := weight*float64(peerRequests(load)) + (1-weight)*expected
	waiting = float64(load.WaitingTokens()) + float64(sent-load.SentTokens()) - rate*float64(decision.now-load.At())
	return float64(own) + others, max(0, waiting)
}

// peerRequests returns the requests of fellow nodes in a report.
func peerRequests(load *backend.Load) int64 {
	return max(0, int64(load.Running()+load.Queued())-load.OwnInFlight())
}

// averageLoad takes the mean, over the candidates, of the requests of this node
// and of fellow nodes. An old report tells less of a server than what fellow
// nodes, which meet the same prompts, probably do: much the same as this one.
func (decision *decision) averageLoad(candidates []candidate) {
	others, own, weights, live := 0.0, 0.0, 0.0, 0.0
	for i := range candidates {
		server := candidates[i].server
		if server.Leaving() {
			continue
		}
		own += float64(server.InFlight())
		live++
		if load := server.Load(); load != nil {
			weight := reportHalfWeightMillis / (reportHalfWeightMillis + float64(max(0, decision.now-load.At())))
			others += weight * float64(peerRequests(load))
			weights += weight
		}
	}
	decision.ownMean = own / max(live, 1)
	if weights > 0 {
		decision.peersMean = others / weights
	}
}
