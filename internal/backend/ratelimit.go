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
// part of LimitedNodes as capacity. In any 4 s the nodes together send at most
//
//	4 x limit + 1.5 x limit + 3
//
// whatever they know of each other. The platform allows 6 x limit + 5; the rest is for
// nodes that briefly disagree on who uses the server.
type RateLimit struct {
	state atomic.Pointer[rateLimitState]
	sent  atomic.Int64
	usage atomic.Pointer[limitUsage]
}

type rateLimitState struct {
	// perSecond is the limit, and 0 if the server names none.
	perSecond float64
	// statedAt is when the server's latest answer began, at this node or a peer, and
	// usedAt when this node last read an answer or sent a request.
	statedAt clock.Millis
	usedAt   clock.Millis
	// takenAt is when this node last sent a request.
	takenAt   clock.Millis
	level     float64
	updatedAt clock.Millis
	// allowance is the level of this node's own bucket at allowanceAt.
	allowance   float64
	allowanceAt clock.Millis
}

// limitUsage is a node's part in the use of the limit.
type limitUsage struct {
	share    float64
	users    int
	excluded bool
	spacing  clock.Millis
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

// Observe records the statement in an answer that this node received. It reports
// whether the limit changed.
func (rateLimit *RateLimit) Observe(statement Statement, now clock.Millis) (changed bool) {
	if !statement.limited && rateLimit.state.Load() == nil {
		return false
	}
	return rateLimit.apply(statement, now, now, now)
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
		next := &rateLimitState{perSecond: limit, statedAt: at, usedAt: usedAt, updatedAt: now, allowance: math.Inf(1), allowanceAt: now}
		if current != nil {
			if at < current.statedAt {
				return false
			}
			next.usedAt, next.takenAt = max(usedAt, current.usedAt), current.takenAt
			if current.perSecond > 0 {
				next.level, next.updatedAt = current.refilled(rateLimit.share(), now), max(now, current.updatedAt)
				next.allowance, next.allowanceAt = current.allowanceRefilled(rateLimit.users(), now), max(now, current.allowanceAt)
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
// if it has the reports of all peers, the number of nodes that use the server, whether
// this node leaves the server to them, and the time between two of its requests, in
// which the others learn of the first one.
func (rateLimit *RateLimit) SetUsage(share float64, users int, excluded bool, spacing clock.Millis) {
	rateLimit.usage.Store(&limitUsage{share: share, users: users, excluded: excluded, spacing: spacing})
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

// spacingLeft returns the time until this node may send another request.
func (rateLimit *RateLimit) spacingLeft(state *rateLimitState, now clock.Millis) clock.Millis {
	usage := rateLimit.usage.Load()
	if usage == nil || state.takenAt == 0 {
		return 0
	}
	return max(0, state.takenAt+usage.spacing-now)
}

func (rateLimit *RateLimit) isExcluded() bool {
	usage := rateLimit.usage.Load()
	return usage != nil && usage.excluded
}

// Wait returns the time until a request of the rank may be sent, 0 if it may be now.
func (rateLimit *RateLimit) Wait(rank int, now clock.Millis) clock.Millis {
	state := rateLimit.state.Load()
	if state == nil || state.perSecond == 0 {
		return 0
	}
	share, users := rateLimit.share(), rateLimit.users()
	missing := state.needed(rank) - state.refilled(share, now)
	if rateLimit.isExcluded() {
		missing = max(missing, 1)
	}
	refill := refillTime(missing, state.perSecond*share)
	allowance := refillTime(1-state.allowanceRefilled(users, now), state.perSecond/float64(users))
	return max(refill, allowance, rateLimit.spacingLeft(state, now))
}

// refillTime returns the time in which a bucket gets the missing requests at the rate
// per second.
func refillTime(missing, perSecond float64) clock.Millis {
	return clock.Millis(math.Ceil(max(0, missing) / perSecond * float64(clock.Second)))
}

// Take takes a request of the rank from the bucket, and reports whether it may be sent.
func (rateLimit *RateLimit) Take(rank int, now clock.Millis) bool {
	for {
		current := rateLimit.state.Load()
		if current == nil || current.perSecond == 0 {
			return true
		}
		level, allowance := current.refilled(rateLimit.share(), now), current.allowanceRefilled(rateLimit.users(), now)
		if level < current.needed(rank) || allowance < 1 || rateLimit.isExcluded() || rateLimit.spacingLeft(current, now) > 0 {
			return false
		}
		next := *current
		next.level, next.updatedAt, next.usedAt, next.takenAt = level-1, max(now, current.updatedAt), now, now
		next.allowance, next.allowanceAt = allowance-1, max(now, current.allowanceAt)
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

// Report returns what this node tells its peers: the server's latest statement, its age,
// and the requests that this node has sent under limits. It returns false if the node
// has nothing recent to tell.
func (rateLimit *RateLimit) Report(now clock.Millis) (statement Statement, age clock.Millis, sent int64, ok bool) {
	state := rateLimit.state.Load()
	if state == nil || state.usedAt == 0 || now-state.usedAt > limitReportTime {
		return Statement{}, 0, 0, false
	}
	return Statement{perSecond: state.perSecond, limited: state.perSecond > 0}, now - state.statedAt, rateLimit.sent.Load(), true
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

func (state *rateLimitState) allowanceRefilled(users int, now clock.Millis) float64 {
	elapsed := float64(max(0, now-state.allowanceAt)) / float64(clock.Second)
	capacity := mostNodes(state.perSecond) / float64(users)
	return min(capacity, state.allowance+elapsed*state.perSecond/float64(users))
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
