package runner

import (
	"slices"

	"sapphirehead/internal/pool"
)

// RoleServe is the role of a runner that answers requests.
const RoleServe = "serve"

// Order states the wanted condition of a runner whole, so that a late or
// doubled order does no harm beyond being corrected.
type Order struct {
	fence  int64
	models []pool.Model
	role   string
}

// NewOrder returns an order under the fencing number.
func NewOrder(fence int64, models []pool.Model, role string) Order {
	return Order{fence: fence, models: slices.Clone(models), role: role}
}

// Fence returns the fencing number.
func (order Order) Fence() int64 { return order.fence }

// Models returns the models that the runner is to serve.
func (order Order) Models() []pool.Model { return slices.Clone(order.models) }

// Role returns the wanted role.
func (order Order) Role() string { return order.role }

// State is what a runner says of its condition.
type State struct {
	fence  int64
	models []pool.Model
	role   string
}

// NewState returns the condition of a runner.
func NewState(fence int64, models []pool.Model, role string) State {
	return State{fence: fence, models: slices.Clone(models), role: role}
}

// Fence returns the highest fencing number that the runner has seen.
func (state State) Fence() int64 { return state.fence }

// Fulfils reports whether the runner is in the ordered condition.
func (state State) Fulfils(order Order) bool {
	return state.role == order.role && slices.EqualFunc(state.models, order.models, pool.Model.Equal)
}

// OldFenceError says that a runner refused an order with an old number.
type OldFenceError struct {
	fence int64
}

// NewOldFenceError returns an error for the number.
func NewOldFenceError(fence int64) *OldFenceError { return &OldFenceError{fence: fence} }

// Fence returns the refused number.
func (err *OldFenceError) Fence() int64 { return err.fence }

func (err *OldFenceError) Error() string { return "the runner has seen a newer fencing number" }
