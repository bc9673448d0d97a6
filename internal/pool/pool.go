// Package pool holds the configuration of one pool: its models, adapters and
// versions, its class of host, the bounds on its number of hosts, and how its
// backend servers handle fencing tokens and repeated keys.
//
//	runners := pool.New("runners", pool.KindRunner).
//		WithModels(pool.NewModel("desk-small", "v1")).WithHosts("gpu-small", 2, 10)
package pool

import "slices"

// Kind is the kind of backend servers in a pool.
type Kind int

// The kinds of pool.
const (
	// KindRunner pools hold model runners.
	KindRunner Kind = iota + 1
	// KindService pools hold application services.
	KindService
)

const (
	kindNameRunner  = "runner"
	kindNameService = "service"
)

// String returns the name of the kind in the tables.
func (kind Kind) String() string {
	switch kind {
	case KindRunner:
		return kindNameRunner
	case KindService:
		return kindNameService
	default:
		return "unknown"
	}
}

// ParseKind returns the kind with the given name, and false if there is none.
func ParseKind(name string) (Kind, bool) {
	switch name {
	case kindNameRunner:
		return KindRunner, true
	case kindNameService:
		return KindService, true
	default:
		return 0, false
	}
}

// Model identifies weights that the runners of a pool serve.
type Model struct {
	name     string
	version  string
	adapters []string
}

// NewModel returns a model with the given adapters.
func NewModel(name, version string, adapters ...string) Model {
	return Model{name: name, version: version, adapters: slices.Clone(adapters)}
}

// Name returns the name that callers use.
func (model Model) Name() string { return model.name }

// Version returns the version of the weights.
func (model Model) Version() string { return model.version }

// Adapters returns the names of the adapters served with the model.
func (model Model) Adapters() []string { return slices.Clone(model.adapters) }

// Equal reports whether both identify the same weights and adapters.
func (model Model) Equal(other Model) bool {
	return model.name == other.name && model.version == other.version && slices.Equal(model.adapters, other.adapters)
}

// Pool is the configuration of one pool.
type Pool struct {
	name          string
	kind          Kind
	models        []Model
	hostClass     string
	otherClasses  []string
	minHosts      int
	maxHosts      int
	slots         int
	ignoresFence  bool
	refusesRepeat bool
	revision      int64
	engine        Engine
	rental        Rental
}

// DefaultSlots is the default number of requests that one backend server handles
// at the same time.
const DefaultSlots = 8

// New returns a pool without models or hosts.
func New(name string, kind Kind) Pool {
	return Pool{name: name, kind: kind, slots: DefaultSlots}
}

// Name returns the name of the pool.
func (pool Pool) Name() string { return pool.name }

// Kind returns the kind of backend server in the pool.
func (pool Pool) Kind() Kind { return pool.kind }

// Models returns the models served by the pool.
func (pool Pool) Models() []Model { return slices.Clone(pool.models) }

// HostClass returns the class of host that the pool runs on.
func (pool Pool) HostClass() string { return pool.hostClass }

// HostClasses returns every class of host that the pool may run on, HostClass
// first, or nil if the pool has none.
func (pool Pool) HostClasses() []string {
	if pool.hostClass == "" {
		return nil
	}
	return append([]string{pool.hostClass}, pool.otherClasses...)
}

// OtherClasses returns the classes of host other than HostClass.
func (pool Pool) OtherClasses() []string { return slices.Clone(pool.otherClasses) }

// MinHosts returns the minimum number of hosts.
func (pool Pool) MinHosts() int { return pool.minHosts }

// MaxHosts returns the maximum number of hosts.
func (pool Pool) MaxHosts() int { return pool.maxHosts }

// Slots returns the number of requests that one backend server handles at the same
// time.
func (pool Pool) Slots() int { return pool.slots }

// IgnoresFence reports whether the runners ignore the fencing tokens of orders.
func (pool Pool) IgnoresFence() bool { return pool.ignoresFence }

// RefusesRepeat reports whether the service itself refuses repeated
// idempotency keys.
func (pool Pool) RefusesRepeat() bool { return pool.refusesRepeat }

// Revision returns the version of the tables that last changed the pool.
func (pool Pool) Revision() int64 { return pool.revision }

// Serves reports whether the pool serves the model or adapter.
func (pool Pool) Serves(name string) bool {
	return slices.ContainsFunc(pool.models, func(model Model) bool {
		return model.name == name || slices.Contains(model.adapters, name)
	})
}

// Equal reports whether both pools have the same configuration. It does not compare
// the revision, the engine and the rental.
func (pool Pool) Equal(other Pool) bool {
	same := slices.EqualFunc(pool.models, other.models, Model.Equal)
	same = same && slices.Equal(pool.otherClasses, other.otherClasses)
	return same && pool.name == other.name && pool.kind == other.kind && pool.hostClass == other.hostClass &&
		pool.minHosts == other.minHosts && pool.maxHosts == other.maxHosts && pool.slots == other.slots &&
		pool.ignoresFence == other.ignoresFence && pool.refusesRepeat == other.refusesRepeat
}

// WithModels returns a copy that serves the given models.
func (pool Pool) WithModels(models ...Model) Pool {
	pool.models = slices.Clone(models)
	return pool
}

// WithHosts returns a copy with the given host class and bounds.
func (pool Pool) WithHosts(hostClass string, minHosts, maxHosts int) Pool {
	pool.hostClass = hostClass
	pool.minHosts = minHosts
	pool.maxHosts = maxHosts
	return pool
}

// WithOtherClasses returns a copy that may also run on the given classes.
func (pool Pool) WithOtherClasses(classes ...string) Pool {
	pool.otherClasses = slices.Clone(classes)
	return pool
}

// WithSlots returns a copy with the given slots for each backend server.
func (pool Pool) WithSlots(slots int) Pool {
	pool.slots = slots
	return pool
}

// WithIgnoresFence returns a copy whose runners ignore fencing tokens or not.
func (pool Pool) WithIgnoresFence(ignoresFence bool) Pool {
	pool.ignoresFence = ignoresFence
	return pool
}

// WithRefusesRepeat returns a copy whose service refuses repeated keys or not.
func (pool Pool) WithRefusesRepeat(refusesRepeat bool) Pool {
	pool.refusesRepeat = refusesRepeat
	return pool
}

// Engine returns the description of the pool's model engines; the zero value means
// that the pool has none.
func (pool Pool) Engine() Engine { return pool.engine }

// Rental returns the terms on which backend servers are rented; the zero value
// means that the pool is not autoscaled.
func (pool Pool) Rental() Rental { return pool.rental }

// WithEngine returns a copy of kind runner with the engine and its slots.
func (pool Pool) WithEngine(engine Engine) Pool {
	pool.kind = KindRunner
	pool.engine = engine
	pool.slots = engine.slots
	return pool
}

// WithRental returns a copy whose servers are rented on the terms.
func (pool Pool) WithRental(rental Rental) Pool {
	pool.rental = rental
	return pool
}

// WithRevision returns a copy last changed by the given version of the tables.
func (pool Pool) WithRevision(revision int64) Pool {
	pool.revision = revision
	return pool
}
