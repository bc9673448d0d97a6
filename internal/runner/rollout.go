package runner

import (
	"cmp"
	"slices"

	"sapphirehead/internal/pool"
)

// Condition is the steward's view of one runner of a pool.
type Condition struct {
	id       string
	state    State
	reported bool
	draining bool
	changing bool
}

// NewCondition returns the condition of a runner that did not respond.
func NewCondition(id string) Condition { return Condition{id: id} }

// WithState returns a copy with the state that the runner reported.
func (condition Condition) WithState(state State) Condition {
	condition.state, condition.reported = state, true
	return condition
}

// WithDraining returns a copy that states whether the runner is being drained.
func (condition Condition) WithDraining(draining bool) Condition {
	condition.draining = draining
	return condition
}

// WithChanging returns a copy that states whether an order to load weights was sent
// recently.
func (condition Condition) WithChanging(changing bool) Condition {
	condition.changing = changing
	return condition
}

// serves reports whether the runner accepts requests for the named model.
func (condition Condition) serves(name string) bool {
	return condition.reported && !condition.draining && condition.state.role == RoleServe && condition.state.ServesName(name)
}

// Step is one order of a rollout that is due.
type Step struct {
	id        string
	models    []pool.Model
	role      string
	loads     []pool.Model
	loadWorth float64
}

// ID returns the id of the runner that the order is for.
func (step Step) ID() string { return step.id }

// Models returns the models that the runner must serve.
func (step Step) Models() []pool.Model { return slices.Clone(step.models) }

// Role returns the wanted role.
func (step Step) Role() string { return step.role }

// Loads returns the models whose weights the runner must load for the order.
func (step Step) Loads() []pool.Model { return slices.Clone(step.loads) }

// Rollout changes the runners of a pool to the wanted models, a few at a time.
//
// A runner may be unable to serve while it loads weights, so at most surge serving
// runners change at the same time. The last runner that serves a wanted model keeps
// the old version while it loads the new one, and drops it afterwards:
//
//	wanted desk v2; the only runner serves desk v1
//	  step 1: serve desk v1 and desk v2
//	  step 2: serve desk v2
//
// An order that loads nothing is sent at once.
type Rollout struct {
	wanted []pool.Model
	worth  func(model pool.Model) float64
	surge  int
}

// NewRollout returns a rollout of the wanted models. The function worth returns the
// worth of a model's routes.
func NewRollout(wanted []pool.Model, worth func(model pool.Model) float64, surge int) *Rollout {
	return &Rollout{wanted: slices.Clone(wanted), worth: worth, surge: max(surge, 1)}
}

// Steps returns the orders that are due: first those that load nothing, then the
// others in order of descending worth.
func (rollout *Rollout) Steps(conditions []Condition) []Step {
	changing := 0
	for _, condition := range conditions {
		if condition.changing && rollout.servesWanted(condition) {
			changing++
		}
	}
	var steps, loading []Step
	for _, condition := range conditions {
		step, needed := rollout.step(condition)
		switch {
		case !needed:
		case condition.draining && rollout.isLast(condition, conditions):
		case len(step.loads) == 0:
			steps = append(steps, step)
		case !condition.changing:
			step.loadWorth = rollout.loadWorth(step, conditions)
			loading = append(loading, step)
		}
	}
	slices.SortStableFunc(loading, func(a, b Step) int { return cmp.Compare(b.loadWorth, a.loadWorth) })
	return append(steps, rollout.admit(loading, conditions, rollout.surge-changing)...)
}

// servesWanted reports whether the runner serves a wanted model in any version.
func (rollout *Rollout) servesWanted(condition Condition) bool {
	return slices.ContainsFunc(rollout.wanted, func(model pool.Model) bool { return condition.serves(model.Name()) })
}

// isLast reports whether the runner serves a wanted model, in any version, that no
// other runner serves.
func (rollout *Rollout) isLast(condition Condition, conditions []Condition) bool {
	return slices.ContainsFunc(rollout.wanted, func(model pool.Model) bool {
		return condition.state.ServesName(model.Name()) && !slices.ContainsFunc(conditions, func(other Condition) bool {
			return other.id != condition.id && other.serves(model.Name())
		})
	})
}

// step returns the order for the runner regardless of the other runners, and false
// if none is needed.
func (rollout *Rollout) step(condition Condition) (Step, bool) {
	if !condition.reported || (condition.state.role == RoleDrain && !condition.draining) {
		return Step{}, false
	}
	step := Step{id: condition.id, models: rollout.wanted, role: RoleServe}
	if condition.draining {
		step.models, step.role = condition.state.models, RoleDrain
	}
	for _, model := range step.models {
		if !condition.state.Serves(model) {
			step.loads = append(step.loads, model)
		}
	}
	return step, !condition.state.Matches(NewOrder(0, step.models, step.role))
}

// loadWorth returns the worth of the models that the step loads. A model that no
// runner serves is weighted so that it precedes the others.
func (rollout *Rollout) loadWorth(step Step, conditions []Condition) float64 {
	const unservedWeight = 1000
	sum := 0.0
	for _, model := range step.loads {
		worth := rollout.worth(model)
		if !slices.ContainsFunc(conditions, func(other Condition) bool { return other.serves(model.Name()) }) {
			worth *= unservedWeight
		}
		sum += worth
	}
	return sum
}

// admit returns the steps for runners that serve no wanted model, and those of the
// others up to the limit. A runner that changes counts as not serving for the
// steps after it.
func (rollout *Rollout) admit(loading []Step, conditions []Condition, limit int) []Step {
	unavailable := map[string]bool{}
	for _, condition := range conditions {
		unavailable[condition.id] = condition.changing
	}
	var admitted []Step
	for _, step := range loading {
		index := slices.IndexFunc(conditions, func(condition Condition) bool { return condition.id == step.id })
		if rollout.servesWanted(conditions[index]) {
			if limit <= 0 {
				continue
			}
			limit--
		}
		if kept := rollout.lastServed(step, conditions, unavailable); len(kept) > 0 {
			step.models = append(slices.Clone(step.models), kept...)
		}
		unavailable[step.id] = true
		admitted = append(admitted, step)
	}
	return admitted
}

// lastServed returns the models that the runner must keep while it loads, because
// they are wanted and no other runner serves any version of them.
func (rollout *Rollout) lastServed(step Step, conditions []Condition, unavailable map[string]bool) []pool.Model {
	index := slices.IndexFunc(conditions, func(condition Condition) bool { return condition.id == step.id })
	var kept []pool.Model
	for _, model := range conditions[index].state.models {
		wanted := slices.ContainsFunc(rollout.wanted, func(other pool.Model) bool { return other.Name() == model.Name() })
		served := slices.ContainsFunc(conditions, func(other Condition) bool {
			return other.id != step.id && !unavailable[other.id] && other.serves(model.Name())
		})
		if wanted && !served && !slices.ContainsFunc(step.models, model.Equal) {
			kept = append(kept, model)
		}
	}
	return kept
}
