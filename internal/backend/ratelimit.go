package backend

import (
	"math"
	"sync/atomic"

	"sapphirehead/internal/clock"
)

const (
	// minPerSecond is the rate at which requests are sent to a server that names a lower
	// limit: one in 10 s shows whether it still names one.
	minPerSecond = 0.1
	// burstSeconds is the time at the server's limit whose requests may be sent at once,
	// in addition to one.
	burstSeconds = 0.5
	// ranksApart is the number of ranks that are told apart when requests are scarce.
	ranksApart = 4
	// maxDebtSeconds bounds the debt that reports of peers may cause, as the time that
	// it takes to make up for it.
	maxDebtSeconds = 4.0
	// spareSeconds bounds what a node lends at once, as the time in which it refills it.
	spareSeconds = 0.5
	// borrowTime is how long a node borrows after a request found its allowance used up.
	borrowTime = 1 * clock.Second
	// limitReportTime is how long a node reports a limit to its peers after it last sent
	// a request to the server or read its answer.
	limitReportTime = 5 * clock.Second
)

// RateLimit is the limit on requests per second that a server has named in its answers,
// over all nodes. Each node keeps a token bucket of the whole limit and takes from it
// its own requests and those that its peers report:
//
//	level = min(1 + burstSeconds x limit, level + elapsed x limit) - own - peers'
//
// Peers' requests are known late, so the level can fall below 0, which preserves the
// mean rate. Less urgent requests need a higher level, so they are refused first.
// A limit holds until the server answers without one.
//
// Requests of peers may also stay unknown, so each node has an allowance besides: a
// bucket that only its own requests drain, with its part of the limit as rate and its
// part of LimitedNodes as capacity. What overflows is lent to a peer that has used up
// its own: the lender gives it up before the borrower learns of it, so a loan that is
// late or lost can only leave a part of the limit unused. In any 4 s the nodes together
// send at most
//
//	4 x limit + 1.5 x limit + 3 + 0.5 x limit lent before
//
// whatever they know of each other. The platform allows 6 x limit + 5; the rest is for
// nodes that briefly disagree on who uses the server.
type RateLimit struct {
	state   atomic.Pointer[rateLimitState]
	sent    atomic.Int64
	usage   atomic.Pointer[limitUsage]
	shortAt atomic.Int64
	// pausedUntil is until when the server wants no requests of this node, as it has
	// said, or 0.
	pausedUntil atomic.Int64
}

type rateLimitState struct {
	// perSecond is the limit, and 0 if the server names none.
	perSecond float64
	// statedAt is when the server's latest answer began, at this node or a peer, and
	// usedAt when this node last read an answer or sent a request.
	statedAt  clock.Millis
	usedAt    clock.Millis
	level     float64
	updatedAt clock.Millis
	// allowance is the level of this node's own bucket at allowanceAt, and spare what
	// has overflowed.
	allowance   float64
	spare       float64
	allowanceAt clock.Millis
}

// limitUsage is a node's part in the use of the limit.
type limitUsage struct {
	share    float64
	users    int
	excluded bool
}

// Statement is what a server says of its limit.
type Statement struct {
	perSecond float64
	limited   bool
}

// NewStatement returns the statement of a server that takes the number of requests per
// second, over all nodes.
func NewStatement(perSecond float64) Statement {
	return Statement{perSecond: perSecond, limited: true}
}

// NewUnlimited returns the statement of a server that names no limit.
func NewUnlimited() Statement { return Statement{} }

// PerSecond returns the limit, and false if there is none.
func (statement Statement) PerSecond() (perSecond float64, limited bool) {
	return statement.perSecond, statement.limited
}

// Observe records the statement in an answer that this node received to a request sent
// at the time, and reports whether the limit changed. Answers overtake each other, so one
// without a limit ends a limit only if its request was sent after the limit was named.
func (rateLimit *RateLimit) Observe(statement Statement, sentAt, now clock.Millis) (changed bool) {
	if !statement.limited && rateLimit.state.Load() == nil {
		return false
	}
	at := now
	if !statement.limited {
		at = sentAt
	}
	return rateLimit.apply(statement, at, now, now)
}

// Learn records a statement that a peer received at the time.
func (rateLimit *RateLimit) Learn(statement Statement, at, now clock.Millis) (changed bool) {
	return rateLimit.apply(statement, at, 0, now)
}

func (rateLimit *RateLimit) apply(statement Statement, at, usedAt, now clock.Millis) (changed bool) {
	limit := 0.0
	if statement.limited {
		limit = max(statement.perSecond, minPerSecond)
	}
	for {
		current := rateLimit.state.Load()
		// The bucket is empty at first: nodes learn of a limit at the same time, and full
		// buckets would let each of them send at once.
		next := &rateLimitState{perSecond: limit, statedAt: at, usedAt: usedAt, updatedAt: now, allowance: 1, allowanceAt: now}
		if current != nil {
			if at < current.statedAt {
				return false
			}
			next.usedAt = max(usedAt, current.usedAt)
			if current.perSecond > 0 {
				next.level, next.updatedAt = current.refilled(rateLimit.share(), now), max(now, current.updatedAt)
				own := *current
				own.refillAllowance(rateLimit.users(), now)
				next.allowance, next.spare, next.allowanceAt = own.allowance, own.spare, own.allowanceAt
			}
			changed = current.perSecond != limit
		} else {
			changed = statement.limited
		}
		if rateLimit.state.CompareAndSwap(current, next) {
			return changed
		}
	}
}

// IsLimited reports whether the server names a limit.
func (rateLimit *RateLimit) IsLimited() bool { return rateLimit.PerSecond() > 0 }

// PerSecond returns the limit that is enforced, or 0 if there is none.
func (rateLimit *RateLimit) PerSecond() float64 {
	if state := rateLimit.state.Load(); state != nil {
		return state.perSecond
	}
	return 0
}

// Level returns the requests that the bucket holds, below 0 for a debt.
func (rateLimit *RateLimit) Level(now clock.Millis) float64 {
	if state := rateLimit.state.Load(); state != nil {
		return state.refilled(rateLimit.share(), now)
	}
	return 0
}

// SetUsage sets this node's part: the share of the limit at which it refills, which is 1
// if it has the reports of all peers, the number of nodes that use the server, and
// whether this node leaves the server to them.
func (rateLimit *RateLimit) SetUsage(share float64, users int, excluded bool) {
	rateLimit.usage.Store(&limitUsage{share: share, users: users, excluded: excluded})
}

func (rateLimit *RateLimit) users() int {
	if usage := rateLimit.usage.Load(); usage != nil {
		return usage.users
	}
	return 1
}

func (rateLimit *RateLimit) share() float64 {
	if usage := rateLimit.usage.Load(); usage != nil {
		return usage.share
	}
	return 1
}

func (rateLimit *RateLimit) isExcluded() bool {
	usage := rateLimit.usage.Load()
	return usage != nil && usage.excluded
}

// maxPause bounds the time for which a server is left alone, so that it is found again
// whatever it says.
const maxPause = 1 * clock.Hour

// Pause records that the server wants no requests of this node for the time. It reports
// whether the pause now ends later than before.
func (rateLimit *RateLimit) Pause(wait, now clock.Millis) (longer bool) {
	until := int64(now + min(wait, maxPause))
	for {
		current := rateLimit.pausedUntil.Load()
		if until <= current {
			return false
		}
		if rateLimit.pausedUntil.CompareAndSwap(current, until) {
			return true
		}
	}
}

// pauseLeft returns the time until the pause is over, 0 if there is none.
func (rateLimit *RateLimit) pauseLeft(now clock.Millis) clock.Millis {
	return max(0, clock.Millis(rateLimit.pausedUntil.Load())-now)
}

// isKept reports whether the server has said something that must outlive its entry.
func (rateLimit *RateLimit) isKept() bool {
	return rateLimit.IsLimited() || rateLimit.pausedUntil.Load() != 0
}

// Wait returns the time until a request of the rank may be sent, 0 if it may be now.
func (rateLimit *RateLimit) Wait(rank int, now clock.Millis) clock.Millis {
	return max(rateLimit.pauseLeft(now), rateLimit.limitWait(rank, now))
}

// Left is Wait for a request that isn't sent: it doesn't count as a need for a loan.
func (rateLimit *RateLimit) Left(rank int, now clock.Millis) clock.Millis {
	wait, _ := rateLimit.refillWait(rank, now)
	return max(rateLimit.pauseLeft(now), wait)
}

// limitWait returns the time until the limit allows a request of the rank, and borrows if
// only this node's part of it is used up.
func (rateLimit *RateLimit) limitWait(rank int, now clock.Millis) clock.Millis {
	wait, short := rateLimit.refillWait(rank, now)
	if short {
		rateLimit.shortAt.Store(int64(now))
	}
	return wait
}

// refillWait returns the time until the limit allows a request of the rank, and whether
// only this node's part of it is used up.
func (rateLimit *RateLimit) refillWait(rank int, now clock.Millis) (wait clock.Millis, short bool) {
	state := rateLimit.state.Load()
	if state == nil || state.perSecond == 0 {
		return 0, false
	}
	share, users := rateLimit.share(), rateLimit.users()
	missing := state.needed(rank) - state.refilled(share, now)
	if rateLimit.isExcluded() {
		missing = max(missing, 1)
	}
	wait = refillTime(missing, state.perSecond*share)
	own := *state
	own.refillAllowance(users, now)
	allowanceWait := refillTime(1-own.allowance, state.perSecond/float64(users))
	return max(wait, allowanceWait), wait == 0 && allowanceWait > 0
}

// refillTime returns the time in which a bucket gets the missing requests at the rate
// per second.
func refillTime(missing, perSecond float64) clock.Millis {
	return clock.Millis(math.Ceil(max(0, missing) / perSecond * float64(clock.Second)))
}

// Take takes a request of the rank from the bucket, and reports whether it may be sent.
func (rateLimit *RateLimit) Take(rank int, now clock.Millis) bool {
	if rateLimit.pauseLeft(now) > 0 {
		return false
	}
	for {
		current := rateLimit.state.Load()
		if current == nil || current.perSecond == 0 {
			return true
		}
		level := current.refilled(rateLimit.share(), now)
		next := *current
		next.refillAllowance(rateLimit.users(), now)
		if level < current.needed(rank) || next.allowance < 1 || rateLimit.isExcluded() {
			return false
		}
		next.level, next.updatedAt, next.usedAt = level-1, max(now, current.updatedAt), now
		next.allowance--
		if rateLimit.state.CompareAndSwap(current, &next) {
			rateLimit.sent.Add(1)
			return true
		}
	}
}

// AddPeers takes requests that peers have sent from the bucket. The debt is bounded, or
// a wrong report could lock the server out.
func (rateLimit *RateLimit) AddPeers(requests int64, now clock.Millis) {
	for {
		current := rateLimit.state.Load()
		if current == nil || current.perSecond == 0 {
			return
		}
		next := *current
		next.level, next.updatedAt = current.refilled(rateLimit.share(), now)-float64(requests), max(now, current.updatedAt)
		next.level = max(next.level, -current.capacity()-maxDebtSeconds*current.perSecond)
		if rateLimit.state.CompareAndSwap(current, &next) {
			return
		}
	}
}

// Borrows reports whether a request has lately found this node's allowance used up while
// the nodes together had not reached the limit.
func (rateLimit *RateLimit) Borrows(now clock.Millis) bool {
	at := clock.Millis(rateLimit.shortAt.Load())
	return at != 0 && now-at < borrowTime
}

// Lend takes what this node can't use from its allowance and returns it, in requests.
func (rateLimit *RateLimit) Lend(now clock.Millis) float64 {
	for {
		current := rateLimit.state.Load()
		if current == nil || current.perSecond == 0 || rateLimit.isExcluded() {
			return 0
		}
		next := *current
		next.refillAllowance(rateLimit.users(), now)
		lent := next.spare
		next.spare = 0
		if lent == 0 || rateLimit.state.CompareAndSwap(current, &next) {
			return lent
		}
	}
}

// Borrow adds what a peer has lent, in requests, to this node's allowance.
func (rateLimit *RateLimit) Borrow(requests float64, now clock.Millis) {
	for {
		current := rateLimit.state.Load()
		if current == nil || current.perSecond == 0 {
			return
		}
		next := *current
		next.refillAllowance(rateLimit.users(), now)
		next.allowance = min(mostNodes(next.perSecond)/float64(rateLimit.users()), next.allowance+requests)
		if rateLimit.state.CompareAndSwap(current, &next) {
			return
		}
	}
}

// Report returns what this node tells its peers: the server's latest statement, its age,
// and the requests that this node has sent under limits. It reports false if nothing of
// it is recent.
func (rateLimit *RateLimit) Report(now clock.Millis) (statement Statement, age clock.Millis, sent int64, recent bool) {
	state := rateLimit.state.Load()
	if state == nil {
		return Statement{}, 0, 0, false
	}
	recent = state.usedAt != 0 && now-state.usedAt <= limitReportTime
	return Statement{perSecond: state.perSecond, limited: state.perSecond > 0}, now - state.statedAt, rateLimit.sent.Load(), recent
}

func (state *rateLimitState) capacity() float64 { return 1 + burstSeconds*state.perSecond }

// needed returns the level that a request of the rank needs, at most the capacity.
func (state *rateLimitState) needed(rank int) float64 {
	return 1 + (state.capacity()-1)*float64(min(max(rank, 0), ranksApart-1))/ranksApart
}

func (state *rateLimitState) refilled(share float64, now clock.Millis) float64 {
	elapsed := float64(max(0, now-state.updatedAt)) / float64(clock.Second)
	return min(state.capacity(), state.level+elapsed*state.perSecond*share)
}

// refillAllowance adds what the node's own bucket got since allowanceAt.
func (state *rateLimitState) refillAllowance(users int, now clock.Millis) {
	if now <= state.allowanceAt {
		return
	}
	rate := state.perSecond / float64(users)
	level := state.allowance + rate*float64(now-state.allowanceAt)/float64(clock.Second)
	state.allowance = min(mostNodes(state.perSecond)/float64(users), level)
	state.spare = min(rate*spareSeconds, state.spare+level-state.allowance)
	state.allowanceAt = now
}

const (
	// nodesPerRate and extraNodes bound the nodes that send to a server with a limit:
	// each may send a request before it knows of those of the others, so many nodes
	// would exceed a low limit together.
	nodesPerRate = 1.5
	extraNodes   = 3
)

func mostNodes(perSecond float64) float64 { return nodesPerRate*perSecond + extraNodes }

// LimitedNodes returns the number of nodes that share a server with the limit. The other
// nodes use other servers, and refuse requests if there are none: where all servers
// have limits, these nodes alone use them up.
//
//	limit 2.6, 7 nodes   -> 6
//	limit 3, 295 nodes   -> 7
func LimitedNodes(perSecond float64, nodes int) int {
	return min(nodes, int(mostNodes(perSecond)))
}
