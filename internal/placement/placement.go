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
// For application services it chooses the server with the least work.
package placement

import (
	"math"
	"slices"
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
	server         *backend.Server
	cost           float64
	uncachedTokens int
	preferred      bool
	candidates     int
	engine         bool
	wait           float64
	queue          float64
	onlyLastPart   bool
	limitWait      clock.Millis
}

// Server returns the chosen server.
func (choice Choice) Server() *backend.Server { return choice.server }

// Cost returns the estimate for the server in milliseconds.
func (choice Choice) Cost() float64 { return choice.cost }

// Wait returns the expected time to the first event at an engine in milliseconds:
// the prefill of the queued prompts and of this one, and the wait for a slot.
func (choice Choice) Wait() float64 { return choice.wait }

// ShowsPrefill reports whether the time to the first event shows the speed of the
// server: nothing was ahead of the request, as far as this node knew, and all tokens
// expected to be prefilled belong to its last part, which no cache holds.
func (choice Choice) ShowsPrefill() bool { return choice.queue == 0 && choice.onlyLastPart }

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
}

// New returns a placement for a node in the data centre. Random returns a number
// from 0 to 1, which is added to the cost of an application server in
// milliseconds to spread requests over servers of nearly equal cost.
func New(clock *clock.Clock, fleet *backend.Fleet, dataCentre string, random func() float64) *Placement {
	return &Placement{clock: clock, fleet: fleet, dataCentre: dataCentre, random: random}
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
	return placement.ChooseAmong(placement.fleet.Current().Pool(poolConfig.Name()), poolConfig, prompt, rank, exclude, only)
}

// ChooseAmong chooses like Choose among the given servers of the pool. A session's
// preferred server is one of them.
func (placement *Placement) ChooseAmong(servers []*backend.Server, poolConfig pool.Pool, prompt runner.Prompt, rank int, exclude []string, only release.ID) (Choice, bool) {
	now, speed := placement.clock.Now(), placement.Speed(poolConfig.Name())
	preferred, alternate := affinityServers(servers, prompt)
	var best, fallback Choice
	candidates, limitWait := 0, clock.Millis(0)
	for _, server := range servers {
		if server.Leaving() || slices.Contains(exclude, server.Key()) || (only != 0 && release.Of(server) != only) {
			continue
		}
		if wait := server.RateLimit().Wait(rank, now); wait > 0 {
			if limitWait == 0 || wait < limitWait {
				limitWait = wait
			}
			continue
		}
		choice := placement.estimate(server, poolConfig, speed, prompt, cachedShare(server, preferred, alternate), now)
		if !server.Circuit().Allows(now) {
			fallback = cheaper(fallback, choice)
			continue
		}
		candidates++
		best = cheaper(best, choice)
	}
	if best.server == nil {
		best = fallback
	}
	best.candidates, best.limitWait = candidates, limitWait
	return best, best.server != nil
}

func cheaper(current, other Choice) Choice {
	if current.server == nil || other.cost < current.cost {
		return other
	}
	return current
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

func (placement *Placement) estimate(server *backend.Server, poolConfig pool.Pool, speed *Speed, prompt runner.Prompt, cachedSessionShare float64, now clock.Millis) Choice {
	choice := Choice{server: server, preferred: cachedSessionShare == 1}
	running, waiting := serverLoad(server, now)
	slots := server.Slots()
	if slots == 0 {
		slots = poolConfig.Slots()
	}
	requestsAhead := math.Max(0, waiting+running-float64(slots)+1)
	if poolConfig.Kind() == pool.KindRunner {
		choice.uncachedTokens = uncachedTokens(prompt, cachedSessionShare)
		choice.engine = true
		choice.onlyLastPart = cachedSessionShare == 1 || len(prompt.Parts()) == 2
		choice.queue = float64(max(0, server.Work().Pending()))/speed.PrefillRate() + speed.SlotWaitMillis(slots)*requestsAhead
		choice.wait = choice.queue + float64(choice.uncachedTokens)/speed.PrefillRate()
		choice.cost = choice.wait + speed.ContentionMillis()*running
	} else {
		choice.cost = speed.ResponseMillis()*(running/float64(max(slots, 1))+requestsAhead) + placement.random()
	}
	if server.DataCentre() != placement.dataCentre {
		choice.cost += remoteRoundTripMillis
	}
	choice.cost += rampPenaltyMillis * (1 - server.Circuit().Ramp(now))
	return choice
}

// uncachedTokens returns the number of prompt tokens that a server would have to
// prefill: all but those of the first part, which most servers have cached, and
// the cached share of the following parts that are common to the session's
// requests. The last part is never cached.
func uncachedTokens(prompt runner.Prompt, cachedSessionShare float64) int {
	parts := prompt.Parts()
	if len(parts) < 2 {
		return prompt.Tokens()
	}
	sessionTokens := 0
	for _, part := range parts[1 : len(parts)-1] {
		sessionTokens += part.Tokens()
	}
	return prompt.Tokens() - parts[0].Tokens() - int(cachedSessionShare*float64(sessionTokens))
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
	running = math.Max(inFlight, weight*float64(load.Running())+float64(server.InFlight()-load.OwnInFlight()))
	return running, weight * float64(load.Queued())
}
