package canary

import (
	"fmt"

	"sapphirehead/internal/clock"
)

// Cause is why the controller decided as it did.
type Cause int

// Causes of decisions.
const (
	CauseNone Cause = iota
	// CauseOrdered is the first sight of the order.
	CauseOrdered
	// CauseChanged is the first sight of an order for another version than before.
	CauseChanged
	// CauseWithdrawn is the deletion of the order.
	CauseWithdrawn
	// CauseNoPool is a pool that doesn't exist.
	CauseNoPool
	// CauseAlone is a version that is the only one of its pool.
	CauseAlone
	// CauseNoServers is a version without servers.
	CauseNoServers
	// CauseServing is the begin of the canary share.
	CauseServing
	// CauseWatching is the wait for evidence.
	CauseWatching
	// CauseCapacity is a version with too few servers for the load.
	CauseCapacity
	// CausePromoted is the move of all new requests.
	CausePromoted
	// CauseDraining is the wait for requests at servers of other versions.
	CauseDraining
	// CauseSucceeded is the success.
	CauseSucceeded
	// CauseEvidence is evidence against the version.
	CauseEvidence
	// CauseDeadline is a deadline that passed before the promotion.
	CauseDeadline
	// CauseFinal is an order that is succeeded or rolled back already.
	CauseFinal
)

// String returns the cause for logs.
func (cause Cause) String() string {
	return [...]string{
		"none", "ordered", "changed", "withdrawn", "noPool", "alone", "noServers", "serving", "watching", "capacity",
		"promoted", "draining", "succeeded", "evidence", "deadline", "final",
	}[cause]
}

// Inputs is what the lease holder knows about an order.
type Inputs struct {
	order      Order
	poolExists bool
	listed     []Listed
	agreement  Agreement
	verdict    Verdict
	slots      int
	load       int
	age        clock.Millis
}

// NewInputs returns the inputs for the order: whether its pool exists, the pool's servers
// by version, what the nodes report, and what the evidence shows.
func NewInputs(order Order, poolExists bool, listed []Listed, agreement Agreement, verdict Verdict) Inputs {
	return Inputs{order: order, poolExists: poolExists, listed: listed, agreement: agreement, verdict: verdict}
}

// WithLoad returns the inputs with the slots of the version's servers and the pool's
// requests in progress, both over all nodes. Without them the capacity isn't checked.
func (inputs Inputs) WithLoad(slots, inProgress int) Inputs {
	inputs.slots, inputs.load = slots, inProgress
	return inputs
}

// WithAge returns the inputs with the time since this node first saw the order. The
// deadline counts from there if an earlier holder has not written it.
func (inputs Inputs) WithAge(age clock.Millis) Inputs {
	inputs.age = age
	return inputs
}

// Decision is the next status of an order.
type Decision struct {
	order  Order
	write  bool
	cause  Cause
	reason string
}

// Order returns the order with its next status.
func (decision Decision) Order() Order { return decision.order }

// State returns the next state.
func (decision Decision) State() State { return decision.order.state }

// Share returns the next share.
func (decision Decision) Share() float64 { return decision.order.share }

// MustWrite reports whether the status differs from the stored one.
func (decision Decision) MustWrite() bool { return decision.write }

// Cause returns why the controller decided so.
func (decision Decision) Cause() Cause { return decision.cause }

// Reason returns the cause as text.
func (decision Decision) Reason() string { return decision.reason }

// Stages of an order, as shares of its duration. Short orders take 12 s, of which the
// servers need up to 4 s to start.
const (
	// earliestPromotion is when all requests move to a version that was watched for
	// watchTime, and usualPromotion when they do in any case, unless there is some evidence
	// against it. A fault that begins 5 s after the servers joined a 12 s order is still
	// noticed at the canary share then. Little evidence doesn't count from suspectPromotion
	// on, and much of it, that doesn't show a bad version, from doubtfulPromotion on.
	earliestPromotion = 0.5
	usualPromotion    = 0.82
	suspectPromotion  = 0.86
	doubtfulPromotion = 0.88
	// latestServers is when the version must have servers, and latestCapacity when it must
	// have enough of them.
	latestServers  = 0.72
	latestCapacity = 0.9
	// soak is how long a promoted version must carry the load before it succeeds.
	soak = 0.08
	// latestSuccess is when a promoted version succeeds although some nodes have not said
	// that they know the promotion, suspectSuccess when it does although there is some
	// evidence against it, and lastSuccess when it does although requests are in progress
	// at others.
	latestSuccess  = 0.93
	suspectSuccess = 0.96
	lastSuccess    = 0.98
)

const (
	// watchTime is longer than the 5 s after which a fault may begin.
	watchTime = 8 * clock.Second
	// headroom is the part of the version's slots that the pool's requests may fill.
	headroom = 0.9
)

// Controller decides on the state of orders at the lease holder. It belongs to one
// goroutine. A new holder begins with a new controller: all that must outlive a holder is
// in the status.
type Controller struct {
	exposureShare float64
	// watched and promoted are when this holder first saw a run at the canary share, and
	// at all requests.
	watched, promoted map[string]sight
}

// sight is when a run was first seen in a stage.
type sight struct {
	run run
	at  clock.Millis
}

// NewController returns a controller with the bound of a bad version's share of the
// requests.
func NewController(exposureShare float64) *Controller {
	return &Controller{exposureShare: exposureShare, watched: map[string]sight{}, promoted: map[string]sight{}}
}

// since returns when the order was first seen in a stage.
func since(stage map[string]sight, order Order, now clock.Millis) clock.Millis {
	seen, ok := stage[order.pool]
	if !ok || seen.run != order.run() {
		seen = sight{run: order.run(), at: now}
		stage[order.pool] = seen
	}
	return seen.at
}

// Step returns the next status of the order at the true time. It is called again with the
// order as read back after each write, and at least every 100 ms.
func (controller *Controller) Step(now clock.Millis, inputs Inputs) Decision {
	order := inputs.order
	switch {
	case order.withdrawn:
		return inputs.keep(CauseWithdrawn, "the order was deleted")
	case order.state.IsFinal():
		return inputs.keep(CauseFinal, "the order is "+order.state.String())
	case order.orderedAt == 0 && order.replaces != "":
		return inputs.begin(now, CauseChanged, "the order was for version "+order.replaces+" before")
	case order.orderedAt == 0:
		return inputs.begin(now, CauseOrdered, "the order was first seen")
	case inputs.verdict.halted:
		return inputs.end(StateRolledBack, CauseEvidence, inputs.verdict.reason)
	case inputs.agreement.halted > 0:
		return inputs.end(StateRolledBack, CauseEvidence, "a node stopped using the version by its evidence")
	}
	elapsed := float64(now-order.orderedAt) / float64(max(1, order.duration))
	servers, others := inputs.servers()
	switch {
	case !inputs.poolExists:
		return inputs.waitUntil(elapsed, latestServers, CauseNoPool, "the pool doesn't exist")
	case servers == 0 && order.share >= 1:
		return inputs.waitUntil(elapsed, latestSuccess, CauseNoServers, "no server of the version is left")
	case servers == 0:
		return inputs.waitUntil(elapsed, latestServers, CauseNoServers, "no server of the version joined")
	case others == 0:
		return inputs.end(StateSucceeded, CauseAlone, "the version serves alone")
	case order.share >= 1:
		return controller.finish(now, elapsed, inputs)
	case order.share <= 0:
		return inputs.serve(canaryPart*controller.exposureShare, CauseServing, fmt.Sprintf("%d servers of the version joined", servers))
	default:
		return controller.promote(now, elapsed, inputs)
	}
}

// promote decides when all requests move to the version.
func (controller *Controller) promote(now clock.Millis, elapsed float64, inputs Inputs) Decision {
	watched := now - since(controller.watched, inputs.order, now)
	isDue := elapsed >= usualPromotion || elapsed >= earliestPromotion && watched >= watchTime
	switch {
	case inputs.slots > 0 && headroom*float64(inputs.slots) < float64(inputs.load):
		return inputs.waitUntil(elapsed, latestCapacity, CauseCapacity,
			fmt.Sprintf("%d requests are in progress, and the version's servers have %d slots", inputs.load, inputs.slots))
	case elapsed >= latestCapacity:
		return inputs.end(StateRolledBack, CauseDeadline, "no time is left for the promotion")
	case !isDue:
		return inputs.keep(CauseWatching, "evidence is gathered")
	case inputs.verdict.suspect && elapsed < suspectPromotion, inputs.verdict.doubtful && elapsed < doubtfulPromotion:
		return inputs.keep(CauseWatching, inputs.verdict.reason)
	default:
		return inputs.serve(1, CausePromoted, "nothing speaks against the version")
	}
}

// finish decides when a promoted version has succeeded.
func (controller *Controller) finish(now clock.Millis, elapsed float64, inputs Inputs) Decision {
	order, agreement := inputs.order, inputs.agreement
	carried := now - since(controller.promoted, order, now)
	isCarried := float64(carried) >= soak*float64(order.duration)
	switch {
	case elapsed >= suspectSuccess && inputs.verdict.grave:
		return inputs.end(StateRolledBack, CauseEvidence, inputs.verdict.reason)
	case elapsed >= lastSuccess, elapsed >= latestOf(inputs) && agreement.inProgress == 0:
		return inputs.end(StateSucceeded, CauseSucceeded, fmt.Sprintf(
			"the deadline is near; %d of %d nodes know the promotion, %d requests are in progress at other versions",
			agreement.knowing, agreement.nodes, agreement.inProgress))
	case inputs.verdict.suspect:
		return inputs.keep(CauseDraining, inputs.verdict.reason)
	case isCarried && agreement.IsDrained():
		return inputs.end(StateSucceeded, CauseSucceeded, "the version carries the load, and no request is in progress at others")
	default:
		return inputs.keep(CauseDraining, fmt.Sprintf("%d of %d nodes know the promotion, %d requests are in progress at other versions",
			agreement.knowing, agreement.nodes, agreement.inProgress))
	}
}

// latestOf returns when the version succeeds if no request is in progress at others.
func latestOf(inputs Inputs) float64 {
	if inputs.verdict.suspect {
		return suspectSuccess
	}
	return latestSuccess
}

// servers returns the number of the version's servers, and of the pool's others.
func (inputs Inputs) servers() (ordered, others int) {
	for _, listed := range inputs.listed {
		switch {
		case listed.pool != inputs.order.pool:
		case listed.version == inputs.order.version:
			ordered += listed.servers
		default:
			others += listed.servers
		}
	}
	return ordered, others
}

// keep leaves the status as it is.
func (inputs Inputs) keep(cause Cause, reason string) Decision {
	return Decision{order: inputs.order, cause: cause, reason: reason}
}

// waitUntil leaves the status as it is, and rolls back from the share of the duration on.
func (inputs Inputs) waitUntil(elapsed, latest float64, cause Cause, reason string) Decision {
	if elapsed >= latest {
		return inputs.end(StateRolledBack, cause, reason)
	}
	return inputs.keep(cause, reason)
}

// begin writes the time of the order, which outlives this holder.
func (inputs Inputs) begin(now clock.Millis, cause Cause, reason string) Decision {
	decision := inputs.serve(0, cause, reason)
	decision.order.orderedAt = now - inputs.age
	return decision
}

// serve sets the share.
func (inputs Inputs) serve(share float64, cause Cause, reason string) Decision {
	order := inputs.order
	order.state, order.share, order.replaces = StateServing, share, ""
	return Decision{order: order, write: true, cause: cause, reason: reason}
}

// end sets a final state.
func (inputs Inputs) end(state State, cause Cause, reason string) Decision {
	order := inputs.order
	order.state = state
	if state == StateRolledBack {
		order.share = 0
	}
	return Decision{order: order, write: true, cause: cause, reason: reason}
}
