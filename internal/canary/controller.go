package canary

import "sapphirehead/internal/clock"

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

// Controller decides on the state of orders at the lease holder. It belongs to one
// goroutine. A new holder begins with a new controller: all that must outlive a holder is
// in the status.
type Controller struct{}

// NewController returns a controller with the bound of a bad version's share of the
// requests.
func NewController(exposureShare float64) *Controller { return &Controller{} }

// Step returns the next status of the order at the true time. It is called again with the
// order as read back after each write, and at least every 100 ms.
func (controller *Controller) Step(now clock.Millis, inputs Inputs) Decision {
	return Decision{order: inputs.order}
}
