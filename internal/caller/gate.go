package caller

import (
	"math"
	"sync/atomic"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/request"
	"sapphirehead/internal/route"
)

// The gate refuses early what can't be answered in time, and under overload
// what is worth least for its cost.
//
// A request has a density: its worth divided by the time that it will hold a
// place in a batch. The gate of a pool counts the offered cost by density.
// While the queue at the best server is longer than wanted, a controller
// raises the share of the offered cost that is refused; the cut is then the
// density below which that share lies. Client accounts that use more than
// their max-min fair share are counted with a lower density, the others with a
// higher one.
//
//	offered: desk 1.9 (40% of the cost), logs 1.1 (35%), reports 1.0 (25%)
//	refused share 0.3 -> all reports, and of the logs one in seven
const (
	// targetQueueMillis is the queue at the best server that the controller keeps,
	// in milliseconds.
	targetQueueMillis = 150.0
	// gainPerTick is the change of the refused share for a queue twice as long
	// as wanted.
	gainPerTick = 0.03
	// maxRefusedShare keeps some requests coming, whose answers tell the load.
	maxRefusedShare = 0.95
	// queueSmoothing is the weight of one estimate in the mean queue.
	queueSmoothing = 0.1
	// densityDecay is the part of the offered cost that is kept at each tick.
	densityDecay = 0.97
	// densityBuckets and bucketsPerDouble divide densities by their logarithm.
	densityBuckets     = 160
	bucketsPerDoubling = 8
	middleBucket       = densityBuckets / 2
)

// GateTick is the interval at which Tick is called.
const GateTick = 100 * clock.Millisecond

// Offer is what the gate must know of a request.
type Offer struct {
	account    *Account
	route      route.Route
	firstToken float64
	queue      float64
	cost       float64
}

// NewOffer returns the offer of a request: the expected time to its first
// token, the part of it spent in the queue, and the time for which it will
// hold a place, all in milliseconds.
func NewOffer(account *Account, on route.Route, firstToken, queue, cost float64) Offer {
	return Offer{account: account, route: on, firstToken: firstToken, queue: queue, cost: max(cost, 1)}
}

func (offer Offer) density() float64 {
	return offer.route.Worth() / offer.cost * 1000 * offer.account.fairness()
}

// cutoff is what a gate refuses: all below a bucket, and a share of the bucket.
type cutoff struct {
	bucket int
	share  float64
}

// Gate guards one pool. Admit may be called from any goroutine, Tick from one.
type Gate struct {
	random  func() float64
	queue   atomic.Uint64
	refused atomic.Uint64
	cutoff  atomic.Pointer[cutoff]
	offered [densityBuckets]atomic.Int64
}

// NewGate returns an open gate. Random returns a number from 0 to 1.
func NewGate(random func() float64) *Gate {
	gate := &Gate{random: random}
	gate.cutoff.Store(&cutoff{})
	return gate
}

func bucketOf(density float64) int {
	bucket := middleBucket + int(math.Round(bucketsPerDoubling*math.Log2(max(density, 1e-9))))
	return min(max(bucket, 0), densityBuckets-1)
}

// Admit returns nil or a *request.NotRunError.
func (gate *Gate) Admit(offer Offer) error {
	queue := math.Float64frombits(gate.queue.Load())
	gate.queue.Store(math.Float64bits(queue + (offer.queue-queue)*queueSmoothing))
	bucket := bucketOf(offer.density())
	gate.offered[bucket].Add(int64(offer.cost))
	offer.account.recordOffered(offer.cost)
	target := float64(offer.route.FirstToken())
	if offer.firstToken > target {
		return request.NewNotRunError("it would not be answered in time", clock.Second+clock.Millis(offer.firstToken-target))
	}
	cutoff := gate.cutoff.Load()
	if bucket < cutoff.bucket || (bucket == cutoff.bucket && cutoff.share > 0 && gate.random() < cutoff.share) {
		return request.NewNotRunError("the pool is overloaded and other requests are worth more", gate.retryAfter())
	}
	offer.account.recordUsed(offer.cost)
	return nil
}

// retryAfter returns when the pool may have room: the more is refused, the
// later.
func (gate *Gate) retryAfter() clock.Millis {
	const longest = 10 * clock.Second
	return clock.Second + clock.Millis(float64(longest-clock.Second)*gate.RefusedShare())
}

// RefusedShare returns the share of the offered cost that is refused.
func (gate *Gate) RefusedShare() float64 { return math.Float64frombits(gate.refused.Load()) }

// Tick moves the refused share towards the wanted queue and the cut with it.
func (gate *Gate) Tick() {
	queue := math.Float64frombits(gate.queue.Load())
	step := min(max((queue-targetQueueMillis)/targetQueueMillis, -1), 2)
	refused := min(max(gate.RefusedShare()+gainPerTick*step, 0), maxRefusedShare)
	gate.refused.Store(math.Float64bits(refused))
	gate.cutoff.Store(gate.cutoffFor(refused))
	for i := range gate.offered {
		cost := gate.offered[i].Load()
		gate.offered[i].Add(-int64(math.Ceil(float64(cost) * (1 - densityDecay))))
	}
}

func (gate *Gate) cutoffFor(refused float64) *cutoff {
	total := 0.0
	for i := range gate.offered {
		total += float64(gate.offered[i].Load())
	}
	remaining := refused * total
	if remaining <= 0 {
		return &cutoff{}
	}
	for i := range gate.offered {
		cost := float64(gate.offered[i].Load())
		if cost > 0 && cost >= remaining {
			return &cutoff{bucket: i, share: remaining / cost}
		}
		remaining -= cost
	}
	return &cutoff{}
}
