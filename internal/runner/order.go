package runner

import (
	"slices"

	"sapphirehead/internal/pool"
)

// Roles of a runner.
const (
	// RoleServe is the role of a runner that accepts requests.
	RoleServe = "serve"
	// RoleDrain is the role of a runner that finishes its requests, accepts no new
	// ones and reports that it is leaving.
	RoleDrain = "drain"
)

// Order is the complete wanted state of a runner. A late or repeated order has no
// lasting effect, as the next one corrects it.
type Order struct {
	fence  int64
	models []pool.Model
	role   string
}

// NewOrder returns an order with the fencing token.
func NewOrder(fence int64, models []pool.Model, role string) Order {
	return Order{fence: fence, models: slices.Clone(models), role: role}
}

// Fence returns the fencing token.
func (order Order) Fence() int64 { return order.fence }

// Models returns the models that the runner must serve.
func (order Order) Models() []pool.Model { return slices.Clone(order.models) }

// Role returns the wanted role.
func (order Order) Role() string { return order.role }

// State is the state that a runner reports.
type State struct {
	fence   int64
	models  []pool.Model
	role    string
	running int
	queued  int
}

// NewState returns the state of a runner without load.
func NewState(fence int64, models []pool.Model, role string) State {
	return State{fence: fence, models: slices.Clone(models), role: role}
}

// Fence returns the highest fencing token that the runner has received.
func (state State) Fence() int64 { return state.fence }

// WithLoad returns a copy with the numbers of running and queued requests.
func (state State) WithLoad(running, queued int) State {
	state.running, state.queued = running, queued
	return state
}

// Models returns the models that the runner serves.
func (state State) Models() []pool.Model { return slices.Clone(state.models) }

// Role returns the role of the runner.
func (state State) Role() string { return state.role }

// InFlight returns the number of running and queued requests.
func (state State) InFlight() int { return state.running + state.queued }

// Serves reports whether the runner serves the model with exactly its version and
// adapters.
func (state State) Serves(model pool.Model) bool {
	return slices.ContainsFunc(state.models, model.Equal)
}

// ServesName reports whether the runner serves any version of the named model.
func (state State) ServesName(name string) bool {
	return slices.ContainsFunc(state.models, func(model pool.Model) bool { return model.Name() == name })
}

// Matches reports whether the runner is in the ordered state.
func (state State) Matches(order Order) bool {
	return state.role == order.role && slices.EqualFunc(state.models, order.models, pool.Model.Equal)
}

// StaleFenceError reports that a runner refused an order because it has received a
// newer fencing token.
type StaleFenceError struct {
	fence int64
}

// NewStaleFenceError returns an error for the token.
func NewStaleFenceError(fence int64) *StaleFenceError { return &StaleFenceError{fence: fence} }

// Fence returns the refused token.
func (err *StaleFenceError) Fence() int64 { return err.fence }

func (err *StaleFenceError) Error() string { return "the runner has seen a newer fencing token" }

// NotPermittedError reports that an order was not sent because the lease was no
// longer valid at the time of sending.
type NotPermittedError struct{}

// NewNotPermittedError returns the error.
func NewNotPermittedError() *NotPermittedError { return &NotPermittedError{} }

func (err *NotPermittedError) Error() string { return "the lease does not cover the order" }
