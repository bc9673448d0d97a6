package runner

import (
	"math"
	"slices"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/request"
)

// The placer estimates for each candidate the time to the first token of a
// request:
//
//	first token = round trip
//	            + wait for a batch slot
//	            + (waiting prompt tokens + tokens not in the prefix cache) / prefill rate
//
// The queue is that of the server's latest report, corrected by the requests that
// this node has begun and ended there since. Several nodes act on the same report,
// so the placer chooses at random among the candidates whose scores are within
// estimateNoiseMillis of the best.
//
// Example: A has the prompt's 1,600 tokens cached but 4 more requests than its 8
// slots; B is idle. At 10 tokens per millisecond, the prefill takes 160 ms at B.
// At 3 s per request in the batch, the wait at A is 1.9 s. B is chosen, so the
// frequently used prefix spreads.

// MaxCandidates bounds the servers that one decision considers. In a larger pool
// each node uses a subset of this size, chosen by rendezvous hashing.
const MaxCandidates = 64

const (
	// estimateNoiseMillis is the difference below which scores count as equal.
	estimateNoiseMillis = 25.0
	// prefillWeight is the weight of the prefill time in addition to its part in
	// the time to the first token, because a prefill slows down the whole batch.
	prefillWeight = 2.0
	// reportHalfWeightMillis is the age at which a report has half its weight.
	reportHalfWeightMillis = 300.0
	// peerSimilarity is the share of the peers' load that is assumed to be
	// distributed like this node's. ownOffset is added to this node's requests at a
	// server, so that a server without any is assigned some of it.
	peerSimilarity = 0.3
	ownOffset      = 0.5
	// batchContentionMillis is the cost that one more request in a batch has for the
	// others, added for each request in the batch.
	batchContentionMillis = 80.0
	// latenessWeight is the weight of the time by which the expected first token
	// exceeds safeTargetShare of its target.
	latenessWeight  = 1.0
	safeTargetShare = 0.5
	// slowStartPenaltyMillis is the cost added for a server at the beginning of its
	// slow start.
	slowStartPenaltyMillis = 400.0
)

// Estimate is the placer's estimate for a request at one server.
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

// Queue returns the part of FirstToken spent in the queue, in milliseconds.
func (estimate Estimate) Queue() float64 { return estimate.queue }

// ShortestQueue returns the shortest queue of all candidates in milliseconds.
func (estimate Estimate) ShortestQueue() float64 { return estimate.shortestQueue }

// PrefillMillis returns the time to prefill the prompt in milliseconds.
func (estimate Estimate) PrefillMillis() float64 {
	return float64(estimate.prefillTokens) / estimate.server.Speed().PrefillRate()
}

// PrefillTokens returns the number of tokens that the server must prefill.
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

// NewPlacer returns a placer for the node. The function roundTripMillis returns
// the round-trip time to a server in milliseconds, slots the batch slots of a
// pool's servers, and random a number from 0 to n-1.
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

// Refresh computes the candidates of the fleet's current snapshot in advance, so
// that no request has to.
func (placer *Placer) Refresh() {
	placer.subsets.get(placer.fleet.Current(), placer.node, placer.clock.Now())
}

// Place chooses the server for an attempt that continues the response at the offset
// in tokens; chain identifies the prompt. The prompt counts as sent to the server
// and cached there. Place returns false if there is no server.
func (placer *Placer) Place(req *request.Request, chain Chain, offset int, exclude []string) (Estimate, bool) {
	estimate, ok := placer.choose(req, chain, offset, exclude)
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
func (placer *Placer) EstimateBest(req *request.Request, chain Chain) (Estimate, bool) {
	return placer.choose(req, chain, 0, nil)
}

func (placer *Placer) choose(req *request.Request, chain Chain, offset int, exclude []string) (Estimate, bool) {
	candidates := placer.subsets.get(placer.fleet.Current(), placer.node, placer.clock.Now()).candidates(req.Route().Pool())
	if len(candidates) == 0 {
		return Estimate{}, false
	}
	decision := newDecision(placer, req, chain, offset)
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
	chosen := placer.chooseAmongBest(estimates[:count], estimates[best].score+estimateNoiseMillis)
	chosen.shortestQueue = shortestQueue
	return chosen, true
}

// chooseAmongBest chooses at random among the estimates with a score up to the
// limit.
func (placer *Placer) chooseAmongBest(estimates []Estimate, limit float64) Estimate {
	count := 0
	for i := range estimates {
		if estimates[i].score <= limit {
			estimates[count] = estimates[i]
			count++
		}
	}
	return estimates[placer.random(count)]
}

// lastResort returns a server with an open circuit if there is no other.
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

// decision holds the values that the estimates of one decision share.
type decision struct {
	placer    *Placer
	now       clock.Millis
	chain     Chain
	tokens    int
	matches   matches
	slots     int
	target    float64
	peersMean float64
	ownMean   float64
}

func newDecision(placer *Placer, req *request.Request, chain Chain, offset int) decision {
	return decision{
		placer: placer, now: placer.clock.Now(), chain: chain, tokens: chain.tokens + offset,
		matches: placer.index.match(chain), slots: placer.slots(req.Route().Pool()),
		target: float64(req.Route().FirstToken()),
	}
}

func (decision *decision) estimate(candidate candidate) Estimate {
	server := candidate.server
	cached := float64(decision.matches.depth(candidate.holder)*BlockTokens) * server.Cache().Confidence()
	prefillTokens := float64(decision.tokens) - cached
	rate := server.Speed().PrefillRate()
	running, waiting := decision.serverLoad(server, rate)
	queue := waiting / rate
	if excess := running - float64(decision.slots) + 1; excess > 0 {
		queue += excess * server.Speed().BatchMillis() / float64(decision.slots)
	}
	firstToken := decision.placer.roundTripMillis(server) + queue + prefillTokens/rate
	score := firstToken + prefillWeight*prefillTokens/rate + batchContentionMillis*running
	score += latenessWeight * max(0, firstToken-safeTargetShare*decision.target)
	score += slowStartPenaltyMillis * (1 - server.Circuit().Ramp(decision.now))
	return Estimate{server: server, firstToken: firstToken, queue: queue, prefillTokens: int(prefillTokens), score: score}
}

// serverLoad returns the requests in progress at the server and the prompt tokens
// that wait there, from its report and this node's requests since.
func (decision *decision) serverLoad(server *backend.Server, rate float64) (running, waiting float64) {
	own, sent := server.InFlight(), server.Work().SentTokens()
	expected := decision.peersMean * (1 - peerSimilarity + peerSimilarity*(float64(own)+ownOffset)/(decision.ownMean+ownOffset))
	load := server.Load()
	if load == nil {
		return float64(own) + expected, 0
	}
	weight := reportHalfWeightMillis / (reportHalfWeightMillis + float64(max(0, decision.now-load.At())))
	peers := weight*float64(peerRequests(load)) + (1-weight)*expected
	waiting = float64(load.WaitingTokens()) + float64(sent-load.SentTokens()) - rate*float64(decision.now-load.At())
	return float64(own) + peers, max(0, waiting)
}

// peerRequests returns the requests of peer nodes in a report.
func peerRequests(load *backend.Load) int64 {
	return max(0, int64(load.Running()+load.Queued())-load.OwnInFlight())
}

// averageLoad computes the mean number of requests per candidate of this node and
// of its peers. They are a better estimate than an old report of a server, as peers
// get the same prompts and probably place them as this node does.
func (decision *decision) averageLoad(candidates []candidate) {
	peers, own, totalWeight, live := 0.0, 0.0, 0.0, 0.0
	for i := range candidates {
		server := candidates[i].server
		if server.Leaving() {
			continue
		}
		own += float64(server.InFlight())
		live++
		if load := server.Load(); load != nil {
			weight := reportHalfWeightMillis / (reportHalfWeightMillis + float64(max(0, decision.now-load.At())))
			peers += weight * float64(peerRequests(load))
			totalWeight += weight
		}
	}
	decision.ownMean = own / max(live, 1)
	if totalWeight > 0 {
		decision.peersMean = peers / totalWeight
	}
}
