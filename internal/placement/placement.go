// Package placement chooses the backend server for an attempt.
//
// For model engines it weighs the wait for prefill against the tokens that a
// server would have to read again. Each session has a home, which all nodes
// work out alike by rendezvous hashing, so that its prompt parts are cached
// there without any talk between nodes. A request leaves the home when the
// queue there costs more than reading the session's parts elsewhere:
//
//	session of 3,780 tokens, 38 tokens a ms: home is left at 100 ms more of queue
//
// For application services it takes the server with the least work.
package placement

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/pool"
	"sapphirehead/internal/rendezvous"
	"sapphirehead/internal/runner"
)

const (
	// crowdMillis is what one more request in an engine's batch costs the others:
	// 0.02 ms a step over some 70 steps.
	crowdMillis = 1.5
	// queueMillis is what a request that waits for a place costs, where nothing
	// better is known: the time that a place is held by one request over a batch
	// of 64.
	queueMillis = 30.0
	// workMillis is the mean work of a request at an application service, as the
	// sheets of both deployments give it.
	workMillis = 60.0
	// remoteMillis is the way to another data centre and back.
	remoteMillis = 3.0
	// loadFresh is the age up to which a reported load counts in full.
	loadFresh = 300 * clock.Millisecond
	// secondKept is the share of a session's parts that its second home is expected
	// to have: it has them if the first was too busy a short time ago.
	secondKept = 0.5
	// rampMillis is the handicap of a server that has just begun.
	rampMillis = 40.0
)

// Choice is the server for one attempt, with the inputs that decided.
type Choice struct {
	server  *backend.Server
	cost    float64
	reads   int
	home    bool
	choices int
	engine  bool
	wait    float64
}

// Server returns the chosen server.
func (choice Choice) Server() *backend.Server { return choice.server }

// Cost returns the estimate for the server in milliseconds.
func (choice Choice) Cost() float64 { return choice.cost }

// Wait returns the expected time to the first event at an engine in milliseconds:
// reading the prompts that wait there and this one's.
func (choice Choice) Wait() float64 { return choice.wait }

// UncachedTokens returns the prompt tokens that the server is expected to read.
func (choice Choice) UncachedTokens() int { return choice.reads }

// Preferred reports whether the server is the home of the prompt's session.
func (choice Choice) Preferred() bool { return choice.home }

// Candidates returns the number of servers that could have been chosen.
func (choice Choice) Candidates() int { return choice.choices }

// Placement chooses servers of the fleet for a node. It may be used from any
// goroutine.
type Placement struct {
	clock      *clock.Clock
	fleet      *backend.Fleet
	dataCentre string
	random     func() float64
}

// New returns a placement for a node in the data centre. Random returns a
// number from 0 to 1.
func New(clock *clock.Clock, fleet *backend.Fleet, dataCentre string, random func() float64) *Placement {
	return &Placement{clock: clock, fleet: fleet, dataCentre: dataCentre, random: random}
}

// Choose returns the server for a request with the prompt, leaving out those
// whose keys are excluded. A server whose circuit is open is taken only if
// there is no other.
func (placement *Placement) Choose(row pool.Pool, prompt runner.Prompt, exclude []string) (Choice, bool) {
	servers := placement.fleet.Current().Pool(row.Name())
	now := placement.clock.Now()
	home, second := homesOf(servers, prompt)
	var best, spare Choice
	choices := 0
	for _, server := range servers {
		if server.Leaving() || slices.Contains(exclude, server.Key()) {
			continue
		}
		choice := placement.weigh(server, row, prompt, kept(server, home, second), now)
		if !server.Circuit().Allows(now) {
			spare = cheaper(spare, choice)
			continue
		}
		choices++
		best = cheaper(best, choice)
	}
	if best.server == nil {
		best = spare
	}
	best.choices = choices
	return best, best.server != nil
}

func cheaper(known, other Choice) Choice {
	if known.server == nil || other.cost < known.cost {
		return other
	}
	return known
}

// homesOf returns the two homes of the prompt's session, or nil if it has none.
// The second is in another data centre, so that one is left when all reclaimable
// servers of a data centre go.
func homesOf(servers []*backend.Server, prompt runner.Prompt) (first, second *backend.Server) {
	session, ok := prompt.Session()
	if !ok {
		return nil, nil
	}
	hash := xxhash.Sum64String(session)
	first = highest(servers, hash, "")
	if first == nil {
		return nil, nil
	}
	return first, highest(servers, hash, first.DataCentre())
}

// highest returns the server that stays with the highest weight for the key,
// leaving out a data centre.
func highest(servers []*backend.Server, key uint64, except string) *backend.Server {
	var best *backend.Server
	var weight uint64
	for _, server := range servers {
		if server.Leaving() || server.DataCentre() == except {
			continue
		}
		if score := rendezvous.ScoreHashes(key, server.Hash()); best == nil || score > weight {
			best, weight = server, score
		}
	}
	return best
}

// kept returns how much of a session's own parts is expected in the server's
// cache.
func kept(server, home, second *backend.Server) float64 {
	switch server {
	case home:
		return 1
	case second:
		return secondKept
	default:
		return 0
	}
}

func (placement *Placement) weigh(server *backend.Server, row pool.Pool, prompt runner.Prompt, kept float64, now clock.Millis) Choice {
	choice := Choice{server: server, home: kept == 1}
	running, waiting := runningAt(server, now)
	slots := server.Slots()
	if slots == 0 {
		slots = row.Slots()
	}
	over := math.Max(0, waiting+running-float64(slots)+1)
	if row.Kind() == pool.KindRunner {
		choice.reads = reads(prompt, kept)
		choice.engine = true
		choice.wait = float64(int64(choice.reads)+server.Work().Pending())/pool.PrefillTokensPerMillisecond + queueMillis*over
		choice.cost = choice.wait + crowdMillis*running
	} else {
		choice.cost = workMillis*(running/float64(max(slots, 1))+over) + placement.random()
	}
	if server.DataCentre() != placement.dataCentre {
		choice.cost += remoteMillis
	}
	choice.cost += rampMillis * (1 - server.Circuit().Ramp(now))
	return choice
}

// reads returns the tokens that a server would have to read: all but the first
// part, which most servers have, and the kept share of the parts after it that
// requests of the session have in common.
func reads(prompt runner.Prompt, kept float64) int {
	parts := prompt.Parts()
	if len(parts) < 2 {
		return prompt.Tokens()
	}
	session := 0
	for _, part := range parts[1 : len(parts)-1] {
		session += part.Tokens()
	}
	return prompt.Tokens() - parts[0].Tokens() - int(kept*float64(session))
}

// runningAt returns the requests in progress and waiting at the server: what it
// reported, unless this node and its fellows know of more.
func runningAt(server *backend.Server, now clock.Millis) (running, waiting float64) {
	known := float64(server.InFlight() + server.PeerInFlight())
	load := server.Load()
	if load == nil {
		return known, 0
	}
	weight := 1.0
	if age := now - load.At(); age > loadFresh {
		weight = float64(loadFresh) / float64(age)
	}
	running = math.Max(known, weight*float64(load.Running())+float64(server.InFlight()-load.OwnInFlight()))
	return running, weight * float64(load.Queued())
}
