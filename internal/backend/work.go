package backend

import (
	"math"
	"sync/atomic"

	"sapphirehead/internal/clock"
)

// Speeds of a host class before the first observation, in milliseconds per token
// and per request, and parameters of the estimate.
const (
	defaultGapMillis   = 15.0
	defaultBatchMillis = 3000.0
	// promptTokensPerInterval is the number of prompt tokens that a server
	// prefills in the time between two tokens of a response. The prefill rate can't
	// be observed itself, as it is unknown how much of a prompt was cached.
	promptTokensPerInterval = 150.0
	// observationWeight is the weight of one observation in a running mean.
	observationWeight = 0.05
)

// mean is an exponential moving mean that any goroutine may update. Of two
// concurrent updates one may be lost, which costs one observation.
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
	current := mean.value(fallback)
	mean.bits.Store(math.Float64bits(current + (value-current)*weight))
}

// Work counts the prompt tokens that were sent to one server and those that wait
// for prefill there.
type Work struct {
	sent        atomic.Int64
	pending     atomic.Int64
	peerPending atomic.Int64
}

// Queue counts prompt tokens of this node as waiting for prefill at the server
// until the returned function is called.
func (work *Work) Queue(tokens int) (prefilled func()) {
	work.pending.Add(int64(tokens))
	var done atomic.Bool
	return func() {
		if !done.Swap(true) {
			work.pending.Add(-int64(tokens))
		}
	}
}

// OwnPending returns the prompt tokens of this node that wait at the server.
func (work *Work) OwnPending() int64 { return work.pending.Load() }

// Pending returns the prompt tokens that wait at the server: those of this node
// and those that peer nodes have reported.
func (work *Work) Pending() int64 { return work.pending.Load() + work.peerPending.Load() }

// PeerPending returns the waiting prompt tokens that peer nodes have reported.
func (work *Work) PeerPending() int64 { return work.peerPending.Load() }

// SetPeerPending records the waiting prompt tokens that peer nodes have reported.
func (work *Work) SetPeerPending(tokens int64) { work.peerPending.Store(tokens) }

// RecordSent counts prompt tokens that this node has sent to the server.
func (work *Work) RecordSent(tokens int) { work.sent.Add(int64(tokens)) }

// SentTokens returns the prompt tokens that this node has sent so far.
func (work *Work) SentTokens() int64 { return work.sent.Load() }

// Speed holds the observed speed of the servers of one host class in a pool.
type Speed struct {
	gap     mean
	batch   mean
	poolGap *mean
}

func newSpeed(poolGap *mean) *Speed { return &Speed{poolGap: poolGap} }

// InterTokenMillis returns the mean time between two tokens of a response, in
// milliseconds.
func (speed *Speed) InterTokenMillis() float64 { return speed.gap.value(defaultGapMillis) }

// PrefillRate returns the number of prompt tokens that a server prefills per
// millisecond. It is the same for all host classes of the pool: with a rate for
// each class, new prefixes accumulated in the caches of the faster hosts.
func (speed *Speed) PrefillRate() float64 {
	return promptTokensPerInterval / max(speed.poolGap.value(defaultGapMillis), 1)
}

// BatchMillis returns the mean time that a request stays in the batch, in
// milliseconds.
func (speed *Speed) BatchMillis() float64 { return speed.batch.value(defaultBatchMillis) }

// Observe records the time that a response took from its first token to its
// last, and the number of tokens after the first.
func (speed *Speed) Observe(duration clock.Millis, tokens int) {
	if tokens <= 0 {
		return
	}
	gap := float64(duration) / float64(tokens)
	speed.gap.observe(gap, observationWeight, defaultGapMillis)
	speed.poolGap.observe(gap, observationWeight, defaultGapMillis)
	speed.batch.observe(float64(duration), observationWeight, defaultBatchMillis)
}

// speeds holds the speed of each host class of each pool. Only the fleet's
// writer uses it.
type speeds struct {
	byClass map[speedKey]*Speed
	byPool  map[string]*mean
}

type speedKey struct {
	pool      string
	hostClass string
}

func newSpeeds() *speeds { return &speeds{byClass: map[speedKey]*Speed{}, byPool: map[string]*mean{}} }

// get returns the speed of the server's host class in its pool.
func (speeds *speeds) get(server *Server) *Speed {
	key := speedKey{pool: server.pool, hostClass: server.hostClass}
	if speeds.byClass[key] == nil {
		if speeds.byPool[server.pool] == nil {
			speeds.byPool[server.pool] = &mean{}
		}
		speeds.byClass[key] = newSpeed(speeds.byPool[server.pool])
	}
	return speeds.byClass[key]
}
