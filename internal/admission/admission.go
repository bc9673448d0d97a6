// Package admission decides which requests of a pool are admitted while the pool has
// less capacity than is asked of it. All nodes decide alike, from the sums of all.
//
// Requests wait at the backend servers. While they wait there for a large part of their
// targets, the pool is overloaded, and the rate of the cost of the responses that begin
// is its capacity. Each client account then gets its share of the capacity, and within
// the share the more urgent ranks come first:
//
//	capacity 100, offered A rank 0: 20, rank 1: 60; B rank 0: 10, rank 2: 20
//	shares A 70, B 30 -> of A's rank 1 five sixths are admitted, all else fully
//
// While requests do not wait, all are admitted.
package admission

import (
	"math"
	"sync"
	"sync/atomic"

	"sapphirehead/internal/clock"
)

const (
	// ranks is the number of ranks that are told apart. Less urgent ones count as the
	// last.
	ranks = 8
	// maxPlanAge is the age up to which a plan applies. Without a newer one all requests
	// are admitted.
	maxPlanAge = clock.Second
	// minRetryAfter is the least Retry-After, and fullRetryAfter what is added to it for
	// a class of which nothing is admitted: it is the time in which the estimate of the
	// capacity can double.
	minRetryAfter  = 200 * clock.Millisecond
	fullRetryAfter = clock.Second
	// retryJitter is the share by which a Retry-After differs at most from its mean.
	retryJitter = 0.25
	// retryShareOfLeft is the part of the time left to a caller that a Retry-After may
	// take. Callers do not wait for longer.
	retryShareOfLeft = 3
)

// Class is the requests of a client account that have a rank.
type Class struct {
	account string
	rank    int
}

// NewClass returns the class.
func NewClass(account string, rank int) Class {
	return Class{account: account, rank: min(max(rank, 0), ranks-1)}
}

// Account returns the name of the client account.
func (class Class) Account() string { return class.account }

// Rank returns the rank, 0 is the most urgent.
func (class Class) Rank() int { return class.rank }

// Request is a request that is offered to a pool.
type Request struct {
	class    Class
	cost     int64
	target   clock.Millis
	left     clock.Millis
	returned bool
}

// NewRequest returns a request of the class. The cost is that of running it, in a unit
// that is the same for all requests of the pool, and left is the time until its caller
// gives up.
func NewRequest(class Class, cost int, left clock.Millis) Request {
	return Request{class: class, cost: max(1, int64(cost)), left: left}
}

// WithTarget returns a copy whose response is to begin within the target.
func (request Request) WithTarget(target clock.Millis) Request {
	request.target = target
	return request
}

// WithReturned returns a copy of a request that was refused before and is sent again
// after the Retry-After.
func (request Request) WithReturned() Request {
	request.returned = true
	return request
}

// Admission decides about the requests of one pool at this node. Offer, Begun, Ended and
// Sums may be called from any goroutine and take no lock; Merge and Update are
// serialised by a lock.
type Admission struct {
	random  func() float64
	weight  func(account string) float64
	classes atomic.Pointer[map[Class]*classState]
	ranks   [ranks]rankState
	begun   atomic.Int64 // Cost of the requests whose responses began.
	plan    atomic.Pointer[plan]
	// overloaded is what this node tells its peers.
	overloaded atomic.Bool
	mutex      sync.Mutex
	peers      map[string]*nodeRates
	control    control
}

// rankState holds the counts of this node's requests with a target, by rank.
type rankState struct {
	// waiting counts the requests that wait by the time at which they were admitted, in a
	// ring of slots.
	waiting    [waitingSlots]atomic.Int64
	begun      atomic.Int64
	late       atomic.Int64
	turnedAway atomic.Int64
	// target is the mean target in milliseconds, as the bits of a float64.
	target atomic.Uint64
}

// classState holds the sums of a class at this node, and the credit from which its
// requests are admitted.
type classState struct {
	offered  atomic.Int64
	returned atomic.Int64
	admitted atomic.Int64
	// changedAt is when the latest request was offered.
	changedAt atomic.Int64
	// fresh and again are the credits for new and for returned requests.
	fresh atomic.Uint64
	again atomic.Uint64
}

// New returns an admission that admits everything. Random returns a number from 0 to 1,
// and weight that of a client account in the division of the capacity.
func New(random func() float64, weight func(account string) float64) *Admission {
	admission := &Admission{random: random, weight: weight, peers: map[string]*nodeRates{}, control: newControl()}
	admission.classes.Store(&map[Class]*classState{})
	return admission
}

// class returns the state of the class. The map is copied for each new class, of which
// there are few.
func (admission *Admission) class(key Class) *classState {
	for {
		current := admission.classes.Load()
		if state := (*current)[key]; state != nil {
			return state
		}
		changed := make(map[Class]*classState, len(*current)+1)
		for known, state := range *current {
			changed[known] = state
		}
		created := &classState{}
		// A credit that starts at a random level admits the first request with the
		// probability of the share. Each of many nodes gets few requests of a class.
		created.fresh.Store(math.Float64bits(admission.random()))
		created.again.Store(math.Float64bits(admission.random()))
		changed[key] = created
		if admission.classes.CompareAndSwap(current, &changed) {
			return created
		}
	}
}

// Verdict is the decision about a request, with the figures on which it rests.
type Verdict struct {
	admitted   bool
	retryAfter clock.Millis
	share      float64
	capacity   float64
	offered    float64
	age        clock.Millis
}

// Admitted reports whether the request is admitted.
func (verdict Verdict) Admitted() bool { return verdict.admitted }

// RetryAfter returns the time after which a refused caller is expected to be admitted.
func (verdict Verdict) RetryAfter() clock.Millis { return verdict.retryAfter }

// Share returns the client account's share of the capacity, in cost per second, or 0 while
// the pool is not overloaded.
func (verdict Verdict) Share() float64 { return verdict.share }

// Capacity returns the expected capacity of the pool in cost per second, or 0 while the
// pool is not overloaded.
func (verdict Verdict) Capacity() float64 { return verdict.capacity }

// Offered returns the rate in cost per second that all nodes are offered, or 0 while the
// pool is not overloaded.
func (verdict Verdict) Offered() float64 { return verdict.offered }

// Age returns the age of the oldest figures of a peer that the decision rests on.
func (verdict Verdict) Age() clock.Millis { return verdict.age }

// Offer decides about a request. Begun or Ended must be called for each admitted request.
func (admission *Admission) Offer(request Request, now clock.Millis) Verdict {
	state := admission.class(request.class)
	state.offered.Add(request.cost)
	state.changedAt.Store(int64(now))
	if request.returned {
		state.returned.Add(request.cost)
	}
	verdict := Verdict{admitted: true}
	if plan := admission.plan.Load(); plan != nil && now-plan.madeAt < maxPlanAge {
		fraction := plan.fraction(request.class, request.returned)
		verdict = Verdict{
			share: plan.shares[request.class.account], capacity: plan.capacity, offered: plan.offered,
			age: plan.age + now - plan.madeAt, admitted: state.credit(request.returned, fraction),
		}
		if !verdict.admitted {
			verdict.retryAfter = admission.retryAfter(fraction, request.left)
			return verdict
		}
	}
	state.admitted.Add(request.cost)
	if request.target > 0 {
		admission.ranks[request.class.rank].begin(request.target, now)
	}
	return verdict
}

// Begun records that the response to a request that was admitted at the time began, and
// whether it did so after its target.
func (admission *Admission) Begun(request Request, admittedAt clock.Millis, late bool) {
	admission.begun.Add(request.cost)
	if request.target == 0 {
		return
	}
	rank := &admission.ranks[request.class.rank]
	rank.slot(admittedAt).Add(-1)
	rank.begun.Add(1)
	if late {
		rank.late.Add(1)
	}
}

// Ended records that a request that was admitted at the time ended without a response.
// TurnedAway tells that it was refused after all, as the chosen server would have answered
// it late.
func (admission *Admission) Ended(request Request, admittedAt clock.Millis, turnedAway bool) {
	admission.class(request.class).admitted.Add(-request.cost)
	if request.target == 0 {
		return
	}
	rank := &admission.ranks[request.class.rank]
	rank.slot(admittedAt).Add(-1)
	if turnedAway {
		rank.turnedAway.Add(1)
	}
}

const (
	// waitingSlots and slotMillis are the number and the length of the slots of time by
	// which waiting requests are counted. Few requests wait for longer than the ring lasts.
	waitingSlots = 128
	slotMillis   = 50 * clock.Millisecond
	// maxWaitTargets is the time in targets for which a request counts as waiting. One that
	// waits longer shows a server that does not respond rather than a queue.
	maxWaitTargets = 2
)

// slot returns the count of the requests that were admitted at about the time.
func (rank *rankState) slot(at clock.Millis) *atomic.Int64 {
	return &rank.waiting[at/slotMillis%waitingSlots]
}

// waitingNow returns the number of requests that wait and were admitted lately, and the
// sum of the times for which they have waited.
func (rank *rankState) waitingNow(now clock.Millis) (waiting, waitedMillis int64) {
	for age := clock.Millis(0); age <= min(maxWaitTargets*rank.meanTarget(), (waitingSlots-1)*slotMillis, now); age += slotMillis {
		count := max(0, rank.slot(now-age).Load())
		waiting += count
		waitedMillis += count * int64(age)
	}
	return waiting, waitedMillis
}

// targetWeight is the weight of one request in the mean target of its rank.
const targetWeight = 0.05

// begin counts a request that waits for its response.
func (rank *rankState) begin(target, now clock.Millis) {
	rank.slot(now).Add(1)
	mean := math.Float64frombits(rank.target.Load())
	if mean == 0 {
		mean = float64(target)
	}
	// Of two concurrent requests one may be lost in the mean.
	rank.target.Store(math.Float64bits(mean + targetWeight*(float64(target)-mean)))
}

func (rank *rankState) meanTarget() clock.Millis {
	return clock.Millis(math.Float64frombits(rank.target.Load()))
}

// credit adds the fraction to the class's credit and takes 1 for a request, if there is so
// much. It reports whether there was.
func (state *classState) credit(returned bool, fraction float64) bool {
	credit := &state.fresh
	if returned {
		credit = &state.again
	}
	if fraction >= 1 {
		return true
	}
	for {
		bits := credit.Load()
		level, admitted := math.Float64frombits(bits)+fraction, false
		if admitted = level >= 1; admitted {
			level--
		}
		if credit.CompareAndSwap(bits, math.Float64bits(level)) {
			return admitted
		}
	}
}

// retryAfter returns the jittered time after which room is expected for a class of which
// the fraction is admitted.
func (admission *Admission) retryAfter(fraction float64, left clock.Millis) clock.Millis {
	mean := float64(minRetryAfter) + (1-fraction)*float64(fullRetryAfter)
	wait := clock.Millis(mean * (1 + retryJitter*(2*admission.random()-1)))
	return max(clock.Millisecond, min(max(wait, minRetryAfter), left/retryShareOfLeft))
}
