// Package canary moves the traffic of a pool to servers of another software version.
//
// An operator's order names the pool, the version and a duration. A Tracker at each node
// decides which versions a request may use and collects evidence about the new version;
// it bounds the exposure by itself. A Controller at the lease holder decides on the state
// of the order. Both are driven by the times and messages that their callers pass in.
//
//	order seen -> serving, share 0 -> serving, share 0.08 -> serving, share 1 -> succeeded
//	                    |                     |                    |
//	                    +---------------------+--------------------+-----------> rolled back
package canary

import (
	"sapphirehead/internal/clock"
	"sapphirehead/internal/platform"
)

// State is the state of an order.
type State int

// States of an order. An order is StateOrdered until the lease holder has written a
// status; StateSucceeded and StateRolledBack are final.
const (
	StateOrdered State = iota
	StateServing
	StateSucceeded
	StateRolledBack
)

// String returns the state for logs.
func (state State) String() string {
	switch state {
	case StateServing:
		return "serving"
	case StateSucceeded:
		return "succeeded"
	case StateRolledBack:
		return "rolledBack"
	default:
		return "ordered"
	}
}

// IsFinal reports whether nothing follows the state.
func (state State) IsFinal() bool { return state == StateSucceeded || state == StateRolledBack }

// Order is an operator's order to move the traffic of a pool to a version, with its
// status as last read. It is immutable.
type Order struct {
	pool      string
	version   string
	duration  clock.Millis
	revision  int64
	orderedAt clock.Millis
	state     State
	share     float64
	withdrawn bool
	// replaces is the version that the status names if it is another one than ordered.
	replaces string
}

// NewOrder returns an order without a status. The revision is that of the stored object,
// with the store's era (platform.NewVersion).
func NewOrder(pool, version string, duration clock.Millis, revision int64) Order {
	return Order{pool: pool, version: version, duration: duration, revision: revision}
}

// WithStatus returns the order with the stored status. A status for another version than
// the ordered one belongs to an order that was changed since, and only tells that.
func (order Order) WithStatus(version string, state State, share float64, orderedAt clock.Millis) Order {
	if version != order.version {
		order.replaces = version
		return order
	}
	order.state, order.share, order.orderedAt = state, share, orderedAt
	return order
}

// WithWithdrawn returns the order as deleted by the operator at the revision.
func (order Order) WithWithdrawn(revision int64) Order {
	order.withdrawn, order.revision = true, revision
	return order
}

// Pool returns the pool whose traffic moves.
func (order Order) Pool() string { return order.pool }

// Version returns the software version that the traffic moves to.
func (order Order) Version() string { return order.version }

// Duration returns the time from the order within which it must be succeeded.
func (order Order) Duration() clock.Millis { return order.duration }

// Revision returns the revision of the stored object, with the store's era.
func (order Order) Revision() int64 { return order.revision }

// OrderedAt returns when the order was first seen, in true time, or 0 if no status says.
func (order Order) OrderedAt() clock.Millis { return order.orderedAt }

// Deadline returns the true time at which the order must be succeeded, or 0 if it isn't
// known yet.
func (order Order) Deadline() clock.Millis {
	if order.orderedAt == 0 {
		return 0
	}
	return order.orderedAt + order.duration
}

// State returns the state.
func (order Order) State() State { return order.state }

// Share returns the share of the pool's requests that the version gets, 1 from promotion.
func (order Order) Share() float64 { return order.share }

// Withdrawn reports whether the operator deleted the order.
func (order Order) Withdrawn() bool { return order.withdrawn }

// Replaces returns the version of the order that this one replaced, or "".
func (order Order) Replaces() string { return order.replaces }

// IsPromoted reports whether all new requests go to the version.
func (order Order) IsPromoted() bool {
	return !order.withdrawn && (order.state == StateSucceeded || order.state == StateServing && order.share >= 1)
}

// run identifies one execution of an order.
type run struct {
	version   string
	orderedAt clock.Millis
}

func (order Order) run() run { return run{version: order.version, orderedAt: order.orderedAt} }

// era returns the era of the store that the order was read from.
func (order Order) era() int64 { return platform.EraOf(order.revision) }
