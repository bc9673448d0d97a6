package backend

import (
	"math"
	"sync/atomic"

	"sapphirehead/internal/clock"
)

// Speeds of a host class of which nothing is known yet.
const (
	defaultInterTokenMillis = 15.0
	defaultServeMillis      = 3000.0
	// promptTokensPerInterval is the number of prompt tokens that a server reads in the
	// time between two tokens of an answer. The read speed itself can't be seen
	// from outside, as nobody knows how much of a prompt was cached there.
	promptTokensPerInterval = 150.0
	// observationWeight is the weight of one observation in a running mean.
	observationWeight = 0.05
)

// mean is a running mean that many goroutines may update. A lost update costs
// one observation.
type mean struct {
	bits atomic.Uint64
}

func (mean *mean) value(fallback float64) float64 {
	if bits := mean.bits.Load(); bits != 0 {
		return math.Float64frombits(bits)
	}
	return fallback
}

func (mean *mean) observe(value, weight, fallback float64) {
	known := mean.value(fallback)
	mean.bits.Store(math.Float64bits(known + (value-known)*weight))
}

// Work is what this node has sent to one server.
type Work struct {
	sent        atomic.Int64
	pending     atomic.Int64
	peerPending atomic.Int64
}

// Queue counts prompt tokens that the server has to read for this node, until
// the returned function is called.
func (work *Work) Queue(tokens int) (read func()) {
	work.pending.Add(int64(tokens))
	var done atomic.Bool
	return func() {
		if !done.Swap(true) {
			work.pending.Add(-int64(tokens))
		}
	}
}

// OwnPending returns the prompt tokens that wait at the server for this node.
func (work *Work) OwnPending() int64 { return work.pending.Load() }

// Pending returns the prompt tokens that wait at the server for this node and,
// as far as they told, for its fellow nodes.
func (work *Work) Pending() int64 { return work.pending.Load() + work.peerPending.Load() }

// SetPeerPending records the prompt tokens that wait there for fellow nodes.
func (work *Work) SetPeerPending(tokens int64) { work.peerPending.Store(tokens) }

// RecordSent counts prompt tokens that the server will have to read for this node.
func (work *Work) RecordSent(tokens int) { work.sent.Add(int64(tokens)) }

// SentTokens returns the prompt tokens sent so far.
func (work *Work) SentTokens() int64 { return work.sent.Load() }

// Speed is how fast the servers of one host class are, as answers showed.
type Speed struct {
	interToken mean
	serve      mean
	pool       *mean
}

func newSpeed(pool *mean) *Speed { return &Speed{pool: pool} }

// InterTokenMillis returns the mean time between two tokens of an answer.
func (speed *Speed) InterTokenMillis() float64 {
	return speed.interToken.value(defaultInterTokenMillis)
}

// PrefillRate returns the prompt tokens that a server reads in a millisecond.
// It is the same for all classes of the pool: where faster hosts were credited
// with faster reads, cold prefixes crowded into their caches.
func (speed *Speed) PrefillRate() float64 {
	return promptTokensPerInterval / max(speed.pool.value(defaultInterTokenMillis), 1)
}

// ServeMillis returns the mean time that a request stays in the batch.
func (speed *Speed) ServeMillis() float64 { return speed.serve.value(defaultServeMillis) }

// Observe takes in that an answer took the time from its first token to its
// last, with so many tokens after the first.
func (speed *Speed) Observe(taken clock.Millis, tokens int) {
	if tokens <= 0 {
		return
	}
	interToken := float64(taken) / float64(tokens)
	speed.interToken.observe(interToken, observationWeight, defaultInterTokenMillis)
	speed.pool.observe(interToken, observationWeight, defaultInterTokenMillis)
	speed.serve.observe(float64(taken), observationWeight, defaultServeMillis)
}

// speeds holds the speed of each host class of each pool. It belongs to the
// fleet's writer.
type speeds struct {
	byClass     map[speedKey]*Speed
	interTokens map[string]*mean
}

type speedKey struct {
	pool      string
	hostClass string
}

func newSpeeds() *speeds {
	return &speeds{byClass: map[speedKey]*Speed{}, interTokens: map[string]*mean{}}
}

// of returns the speed that the server shares with its host class.
func (speeds *speeds) of(server *Server) *Speed {
	key := speedKey{pool: server.pool, hostClass: server.hostClass}
	if speeds.byClass[key] == nil {
		if speeds.interTokens[server.pool] == nil {
			speeds.interTokens[server.pool] = &mean{}
		}
		speeds.byClass[key] = newSpeed(speeds.interTokens[server.pool])
	}
	return speeds.byClass[key]
}
