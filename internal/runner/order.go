package runner

import (
	"slices"

	"sapphirehead/internal/pool"
)

// Roles of a runner.
const (
	// RoleServe is the role of a runner that answers requests.
	RoleServe = "serve"
	// RoleDrain is the role of a runner that finishes its requests, takes no
	// new ones and says that it is leaving.
	RoleDrain = "drain"
)

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
	fence   int64
	models  []pool.Model
	role    string
	running int
	queued  int
}

// NewState returns the condition of a runner.
func NewState(fence int64, models []pool.Model, role string) State {
	return State{fence: fence, models: slices.Clone(models), role: role}
}

// Fence returns the highest fencing number that the runner has seen.
func (state State) Fence() int64 { return state.fence }

// WithLoad returns a copy with the requests that run and wait at the runner.
func (state State) WithLoad(running, queued int) State {
	state.running, state.queued = running, queued
	return state
}

// Models returns the models that the runner serves.
func (state State) Models() []pool.Model { return slices.Clone(state.models) }

// Role returns the role of the runner.
func (state State) Role() string { return state.role }

// InFlight returns the number of requests that run and wait at the runner.
func (state State) InFlight() int { return state.running + state.queued }

// Serves reports whether the runner serves exactly these weights and adapters.
func (state State) Serves(model pool.Model) bool {
	return slices.ContainsFunc(state.models, model.Equal)
}

// ServesName reports whether the runner serves any version under the name.
func (state State) ServesName(name string) bool {
	return slices.ContainsFunc(state.models, func(model pool.Model) bool { return model.Name() == name })
}

// Matches reports whether the runner is in the ordered condition.
func (state State) Matches(order Order) bool {
	return state.role == order.role && slices.EqualFunc(state.models, order.models, pool.Model.Equal)
}

// StaleFenceError says that a runner refused an order with an old number.
type StaleFenceError struct {
	fence int64
}

// NewStaleFenceError returns an error for the number.
func NewStaleFenceError(fence int64) *StaleFenceError { return &StaleFenceError{fence: fence} }

// Fence returns the refused number.
func (err *StaleFenceError) Fence() int64 { return err.fence }

func (err *StaleFenceError) Error() string { return "the runner has seen a newer fencing number" }

// NotPermittedError says that an order was not sent because the lease did not
// cover it at the moment of sending.
type NotPermittedError struct{}

// NewNotPermittedError returns the error.
func NewNotPermittedError() *NotPermittedError { return &NotPermittedError{} }

func (err *NotPermittedError) Error() string { return "the lease does not cover the order" }
