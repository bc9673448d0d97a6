// Package placement chooses the backend server for an attempt.
//
// For model engines it weighs the prefill queue against the prompt tokens that
// are not in a server's KV cache. Each session has a preferred server, which all
// nodes compute alike by rendezvous hashing, so that its prompt parts are cached
// there without any messages between nodes. A request goes to another server
// when the queue at the preferred one costs more than the prefill of the
// session's parts elsewhere:
//
//	session of 3,780 tokens, 38.1 tokens per ms, other servers idle:
//	53 ms of queue at the preferred server -> alternate server in another data
//	                                          centre, expected to cache half
//	100 ms of queue at both                -> any other server of the data centre
//
// For application services it spreads requests by the load expected at each server.
package placement

import (
	"math"
	"sync"

	"github.com/cespare/xxhash/v2"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/pool"
	"sapphirehead/internal/release"
	"sapphirehead/internal/rendezvous"
	"sapphirehead/internal/runner"
)

const (
	// remoteRoundTripMillis is the round trip to another data centre.
	remoteRoundTripMillis = 3.0
	// freshLoadAge is the age up to which a reported load has full weight.
	freshLoadAge = 300 * clock.Millisecond
	// alternateCachedShare is the share of a session's parts expected in the cache
	// of its alternate server. They are cached there only if the preferred server
	// was overloaded recently.
	alternateCachedShare = 0.5
	// rampPenaltyMillis is the cost added for a server at the start of its ramp-up.
	rampPenaltyMillis = 40.0
)

// Choice is the server for one attempt, with the estimates behind the decision.
type Choice struct {
	server *backend.Server
	cost   float64
	// order is what the choice is made by: the cost, or for application services a
	// random number that depends on it.
	order          float64
	uncachedTokens int
	preferred      bool
	// savesTokens tells that the preferred server saves the prefill of tokens.
	savesTokens bool
	candidates  int
	engine      bool
	wait        float64
	// base is the part of wait that a server with the pool's rate would take.
	base         float64
	rateFactor   float64
	showsRate    bool
	queue        float64
	foundQueue   bool
	onlyLastPart bool
	limitWait    clock.Millis
	// cachedShare is the share of the session's parts expected in the engine's cache.
	cachedShare float64
	// calibration is the factor by which first events are later than expected.
	calibration float64
}

// Server returns the chosen server.
func (choice Choice) Server() *backend.Server { return choice.server }

// Cost returns the estimate for the server in milliseconds.
func (choice Choice) Cost() float64 { return choice.cost }

// Wait returns the expected time to the first event at an engine in milliseconds:
// the prefill of the queued prompts and of this one, and the wait for a slot. Of an
// application server it is the expected time of the response.
func (choice Choice) Wait() float64 { return choice.wait }

// Rate returns the learned speed of the server in relation to its pool, 1 for the same.
func (choice Choice) Rate() float64 { return 1 / choice.rateFactor }

// ShowsPrefill reports whether the time to the first event shows the speed of the
// server: nothing was ahead of the request, as far as this node knew, and all tokens
// expected to be prefilled belong to its last part, which no cache holds.
func (choice Choice) ShowsPrefill() bool { return !choice.foundQueue && choice.onlyLastPart }

// LimitWait returns the time until a server takes another request, if some are left out
// for the limit that they named, or 0.
func (choice Choice) LimitWait() clock.Millis { return choice.limitWait }

// UncachedTokens returns the number of prompt tokens that the server is expected
// to prefill.
func (choice Choice) UncachedTokens() int { return choice.uncachedTokens }

// Preferred reports whether the server is the preferred one of the prompt's
// session.
func (choice Choice) Preferred() bool { return choice.preferred }

// Candidates returns the number of servers considered whose circuit allows
// requests.
func (choice Choice) Candidates() int { return choice.candidates }

// Placement chooses servers of the fleet for a node. It is safe for concurrent
// use.
type Placement struct {
	clock      *clock.Clock
	fleet      *backend.Fleet
	dataCentre string
	random     func() float64
	speeds     sync.Map // Pool to *Speed.
	// log holds what this node observed for its peers, and merged, by host, what it has
	// received from them.
	log    backend.SpeedLog
	merged map[string]newsFrom
	// longWork holds how long prompts are told apart, and what was learned of them.
	longWork longWork
}

// New returns a placement for a node in the data centre. Random returns a number
// from 0 to 1, by which requests are spread over application servers.
func New(clock *clock.Clock, fleet *backend.Fleet, dataCentre string, random func() float64) *Placement {
	return &Placement{clock: clock, fleet: fleet, dataCentre: dataCentre, random: random, merged: map[string]newsFrom{}}
}

// Speed returns what this node has learned about the servers of the pool.
func (placement *Placement) Speed(pool string) *Speed {
	if speed, ok := placement.speeds.Load(pool); ok {
		return speed.(*Speed)
	}
	speed, _ := placement.speeds.LoadOrStore(pool, NewSpeed())
	return speed.(*Speed)
}

// Choose returns the cheapest server for a request of the rank with the prompt, and
// false if there is none. It skips leaving servers, those whose keys are excluded, those
// at the limit that they named and, unless only is 0, those of other releases. A server
// whose circuit is open is chosen only if there is no other.
func (placement *Placement) Choose(poolConfig pool.Pool, prompt runner.Prompt, rank int, exclude []string, only release.ID) (Choice, bool) {
	return placement.ChooseWithin(poolConfig, prompt, rank, exclude, only, 0)
}

// ChooseWithin is Choose for a request with the time left to its target, or 0 if it has
// none.
func (placement *Placement) ChooseWithin(poolConfig pool.Pool, prompt runner.Prompt, rank int, exclude []string, only release.ID, slack clock.Millis) (Choice, bool) {
	return placement.ChooseAmong(placement.fleet.Current().Pool(poolConfig.Name()), poolConfig, prompt, rank, exclude, only, slack)
}

// ChooseAmong is ChooseWithin among the given servers of the pool. A session's preferred
// server is one of them. Now and then a request with more time than it needs is sent to a
// server that looked slow, to find out whether it still is.
func (placement *Placement) ChooseAmong(servers []*backend.Server, poolConfig pool.Pool, prompt runner.Prompt, rank int, exclude []string, only release.ID, slack clock.Millis) (Choice, bool) {
	return placement.choose(servers, poolConfig, prompt, rank, exclude, only, slack, nil)
}

// choose is ChooseAmong. It fills the explanation unless that is nil.
func (placement *Placement) choose(servers []*backend.Server, poolConfig pool.Pool, prompt runner.Prompt, rank int, exclude []string, only release.ID, slack clock.Millis, explanation *Explanation) (Choice, bool) {
	now, speed := placement.clock.Now(), placement.Speed(poolConfig.Name())
	preferred, alternate := affinityServers(servers, prompt)
	aged, prefill := newAgedLoad(servers, poolConfig, speed, now), newPrefill(prompt)
	var split longSplit
	if poolConfig.Kind() == pool.KindRunner {
		split = placement.splitLong(poolConfig.Name(), servers, aged, &prefill, explanation == nil)
	}
	var best, affine, explored, fallback Choice
	candidates, limitWait := 0, clock.Millis(0)
	for _, server := range servers {
		if exclusion := exclusionOf(server, exclude, only); exclusion != ExclusionNone {
			explanation.leaveOut(Choice{server: server}, exclusion, 0)
			continue
		}
		if wait := explanation.limitWait(server, rank, now); wait > 0 {
			if limitWait == 0 || wait < limitWait {
				limitWait = wait
			}
			explanation.leaveOut(Choice{server: server}, ExclusionLimit, wait)
			continue
		}
		choice := Choice{server: server}
		if poolConfig.Kind() == pool.KindRunner {
			placement.estimateEngine(&choice, aged, &prefill, &split, cachedShare(server, preferred, alternate), explanation.least(&best))
		} else {
			aged.estimateService(&choice, placement.distanceMillis(server), placement.random(), explanation.least(&best))
		}
		if !server.Circuit().Allows(now) {
			explanation.leaveOut(choice, ExclusionCircuit, 0)
			fallback.replace(&choice)
			continue
		}
		candidates++
		explanation.add(choice)
		if choice.rateFactor > 1 && mayExplore(&choice, slack, now) {
			choice.exploreFirst(&explored)
		}
		if choice.savesTokens {
			affine = choice
			continue
		}
		best.replace(&choice)
	}
	// The order of the others is partly random, so that only their costs can be compared.
	if best.server == nil || (affine.server != nil && affine.cost <= best.cost) {
		best = affine
	}
	if explored.server != nil && placement.random() < exploreShare {
		best = explored
	}
	if best.server == nil {
		best = fallback
	}
	best.candidates, best.limitWait = candidates, limitWait
	return best, best.server != nil
}

// least returns the order of the choice, or infinity if there is none yet.
func (choice *Choice) least() float64 {
	if choice.server == nil {
		return math.Inf(1)
	}
	return choice.order
}

// replace replaces the choice by another one that comes before it.
func (choice *Choice) replace(other *Choice) {
	if choice.server == nil || other.order < choice.order {
		*choice = *other
	}
}

// affinityServers returns the preferred and the alternate server of the prompt's
// session, or nil if it has none. The alternate is in another data centre, so
// that one remains when all reclaimable servers of a data centre are reclaimed.
func affinityServers(servers []*backend.Server, prompt runner.Prompt) (preferred, alternate *backend.Server) {
	session, ok := prompt.Session()
	if !ok {
		return nil, nil
	}
	hash := xxhash.Sum64String(session)
	preferred = highestScore(servers, hash, "")
	if preferred == nil {
		return nil, nil
	}
	return preferred, highestScore(servers, hash, preferred.DataCentre())
}

// highestScore returns the server with the highest rendezvous score for the key,
// or nil. It skips leaving servers and those of the excluded data centre.
func highestScore(servers []*backend.Server, key uint64, excludedDataCentre string) *backend.Server {
	var best *backend.Server
	var bestScore uint64
	for _, server := range servers {
		if server.Leaving() || server.DataCentre() == excludedDataCentre {
			continue
		}
		if score := rendezvous.ScoreHashes(key, server.Hash()); best == nil || score > bestScore {
			best, bestScore = server, score
		}
	}
	return best
}

// cachedShare returns the share of a session's own parts expected in the
// server's cache.
func cachedShare(server, preferred, alternate *backend.Server) float64 {
	switch server {
	case preferred:
		return 1
	case alternate:
		return alternateCachedShare
	default:
		return 0
	}
}

// estimateEngine adds the estimates for an engine to the choice. Least is the least order
// so far.
func (placement *Placement) estimateEngine(choice *Choice, aged *agedLoad, prefill *prefill, split *longSplit, cachedSessionShare, least float64) {
	server := choice.server
	slots, streamMillis := serverSlots(server, aged.poolSlots), aged.lifeMillis
	rateFactor, logarithm := server.Rate().Factor(aged.now)
	var running, waiting, pending float64
	sharesHost := server.Slowdown() != nil
	if sharesHost {
		capacity := aged.capacity(float64(max(1, slots)), rateFactor, logarithm)
		share, ofPeers, ofServer := aged.others(server, capacity)
		running = float64(server.InFlight()) + max(0, share+ofPeers+ofServer)
		pending = aged.pendingTokens(server, capacity)
	} else {
		running, waiting = serverLoad(server, aged.now)
		pending = float64(server.Work().Pending())
	}
	requestsAhead := max(0, waiting+running-float64(slots)+1)
	choice.preferred, choice.cachedShare = cachedSessionShare == 1, cachedSessionShare
	choice.uncachedTokens = prefill.uncachedTokens(cachedSessionShare)
	choice.savesTokens = choice.preferred && prefill.sessionTokens > 0
	choice.engine = true
	choice.calibration = aged.calibration
	choice.onlyLastPart = choice.preferred || prefill.parts == 2
	choice.foundQueue = server.Work().Pending() > 0 || requestsAhead > 0
	choice.rateFactor = rateFactor
	factor := rateFactor * aged.slowdown(server)
	queue, own := max(0, pending)*aged.tokenMillis+streamMillis/float64(max(slots, 1))*requestsAhead, float64(choice.uncachedTokens)*aged.tokenMillis
	choice.showsRate = choice.onlyLastPart && queue <= maxQueueShare*own
	choice.base = queue + own
	choice.queue, choice.wait = factor*queue, factor*choice.base
	choice.cost = choice.wait + contentionShare*streamMillis*running + placement.distanceMillis(server) + rampPenaltyMillis*(1-server.Circuit().Ramp(aged.now)) +
		split.millis(server, choice.queue, choice.preferred, aged.now)
	choice.order = choice.cost
	switch {
	case sharesHost && aged.peersPerSlot > 0:
		spreadMillis := aged.spreadMillis(server)
		choice.order = spreadMillis * randomOrder(choice.cost/spreadMillis, placement.random(), 1, least/spreadMillis)
	case !sharesHost && cachedSessionShare == 0 && aged.unseenMillis > 0:
		// Nodes act on the same old figures. Without the noise all of them would choose
		// the engine that looked idle.
		choice.order += aged.unseenMillis * -fastLog(max(placement.random(), minDraw))
	}
}

// distanceMillis returns the time that the distance to the server costs.
func (placement *Placement) distanceMillis(server *backend.Server) float64 {
	if server.DataCentre() != placement.dataCentre {
		return remoteRoundTripMillis
	}
	return 0
}

// serverSlots returns the number of requests that the server processes concurrently, or
// that of the pool's servers, or 0 if it isn't known.
func serverSlots(server *backend.Server, poolSlots int) int {
	if slots := server.Slots(); slots > 0 {
		return slots
	}
	return poolSlots
}

// prefill is the prefill of a prompt.
type prefill struct {
	parts         int
	tokens        int
	sessionTokens int
}

// newPrefill returns the prompt tokens that a server would have to prefill: all but those
// of the first part, which most servers have cached, and the following parts that are
// common to the session's requests. The last part is never cached.
func newPrefill(prompt runner.Prompt) prefill {
	parts := prompt.Parts()
	prefill := prefill{parts: len(parts), tokens: prompt.Tokens()}
	if len(parts) < 2 {
		return prefill
	}
	prefill.tokens -= parts[0].Tokens()
	for _, part := range parts[1 : len(parts)-1] {
		prefill.sessionTokens += part.Tokens()
	}
	return prefill
}

// uncachedTokens returns the tokens to prefill at a server with the share of the session's
// parts in its cache.
func (prefill *prefill) uncachedTokens(cachedSessionShare float64) int {
	return prefill.tokens - int(cachedSessionShare*float64(prefill.sessionTokens))
}

// serverLoad returns the numbers of requests running and waiting at the server:
// the reported ones, weighted by the age of the report, and as running those that
// this node sent since. At least the attempts in progress of this node and its
// peers count as running.
func serverLoad(server *backend.Server, now clock.Millis) (running, waiting float64) {
	inFlight := float64(server.InFlight() + server.PeerInFlight())
	load := server.Load()
	if load == nil {
		return inFlight, 0
	}
	weight := 1.0
	if age := now - load.At(); age > freshLoadAge {
		weight = float64(freshLoadAge) / float64(age)
	}
	running = max(inFlight, weight*float64(load.Running())+float64(server.InFlight()-load.OwnInFlight()))
	return running, weight * float64(load.Queued())
}
