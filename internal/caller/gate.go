package caller

import (
	"math"
	"sync/atomic"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/request"
	"sapphirehead/internal/route"
)

// The gate refuses requests whose first token would be late, and under overload
// those with the lowest worth for their cost.
//
// The density of a request is its worth divided by the time for which it will
// occupy a batch slot. The gate of a pool counts the offered cost by density.
// While the queue at the best server is above its target, a controller raises the
// share of the offered cost that is refused; the cutoff is the density below which
// this share lies. Client accounts above their max-min fair share are counted
// with a lower density, those below it with a higher one.
//
//	offered: desk 1.9 (40% of the cost), logs 1.1 (35%), reports 1.0 (25%)
//	refused share 0.3 -> all reports, and one in seven of the logs
const (
	// targetQueueMillis is the controller's target for the queue at the best server.
	targetQueueMillis = 150.0
	// gainPerTick is the increase of the refused share per tick at a queue of twice
	// the target.
	gainPerTick = 0.03
	// maxRefusedShare is below 1 so that some requests are admitted, whose responses
	// report the load.
	maxRefusedShare = 0.95
	// queueSmoothing is the weight of one estimate in the moving mean of the queue.
	queueSmoothing = 0.1
	// densityDecay is the factor by which the offered cost decays at each tick.
	densityDecay = 0.97
	// densityBuckets and bucketsPerDoubling define the logarithmic buckets of
	// densities.
	densityBuckets     = 160
	bucketsPerDoubling = 8
	middleBucket       = densityBuckets / 2
)

// GateTick is the interval at which Tick is called.
const GateTick = 100 * clock.Millisecond

// Offer is a request that is offered to the gate.
type Offer struct {
	account    *Account
	route      route.Route
	firstToken float64
	queue      float64
	cost       float64
}

// NewOffer returns the offer of a request: the expected time to its first token,
// the part of that time spent in the queue, and the time for which it will occupy
// a batch slot, all in milliseconds.
func NewOffer(account *Account, routeConfig route.Route, firstToken, queue, cost float64) Offer {
	return Offer{account: account, route: routeConfig, firstToken: firstToken, queue: queue, cost: max(cost, 1)}
}

func (offer Offer) density() float64 {
	return offer.route.Worth() / offer.cost * 1000 * offer.account.fairness()
}

// cutoff defines the requests that a gate refuses: all in the buckets below the
// bucket, and a share of those in it.
type cutoff struct {
	bucket int
	share  float64
}

// Gate is the admission control of one pool. Admit may be called from any
// goroutine, Tick from one. The mean queue in milliseconds and the refused share are
// stored as the bits of a float64.
type Gate struct {
	random       func() float64
	queue        atomic.Uint64
	refusedShare atomic.Uint64
	cutoff       atomic.Pointer[cutoff]
	offered      [densityBuckets]atomic.Int64
}

// NewGate returns a gate that refuses no share of the cost. The function random
// returns a number from 0 to 1.
func NewGate(random func() float64) *Gate {
	gate := &Gate{random: random}
	gate.cutoff.Store(&cutoff{})
	return gate
}

func bucketOf(density float64) int {
	bucket := middleBucket + int(math.Round(bucketsPerDoubling*math.Log2(max(density, 1e-9))))
	return min(max(bucket, 0), densityBuckets-1)
}

// Admit returns nil, or a *request.NotRunError if the first token would miss the
// route's target or the offer is below the cutoff.
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

// retryAfter returns a time that grows with the refused share, from 1 s at 0 to
// 9.55 s at maxRefusedShare.
func (gate *Gate) retryAfter() clock.Millis {
	const maxRetryAfter = 10 * clock.Second
	return clock.Second + clock.Millis(float64(maxRetryAfter-clock.Second)*gate.RefusedShare())
}

// RefusedShare returns the share of the offered cost that is refused.
func (gate *Gate) RefusedShare() float64 { return math.Float64frombits(gate.refusedShare.Load()) }

// Tick adjusts the refused share so that the queue approaches its target, and sets
// the cutoff for that share.
func (gate *Gate) Tick() {
	queue := math.Float64frombits(gate.queue.Load())
	step := min(max((queue-targetQueueMillis)/targetQueueMillis, -1), 2)
	refused := min(max(gate.RefusedShare()+gainPerTick*step, 0), maxRefusedShare)
	gate.refusedShare.Store(math.Float64bits(refused))
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
