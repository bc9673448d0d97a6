package table

import (
	"slices"
	"sync/atomic"
)

// historyLength is the number of earlier versions kept in memory, so that a
// fellow node a little behind can be sent only what changed.
const historyLength = 16

type generation struct {
	current *Tables
	earlier []*Tables
}

// InForce publishes the tables that a node acts on. Their version only rises,
// and no edit that is in force ever goes out of force.
type InForce struct {
	generation atomic.Pointer[generation]
}

// NewInForce returns a holder of empty tables.
func NewInForce() *InForce {
	inForce := &InForce{}
	inForce.generation.Store(&generation{current: Empty()})
	return inForce
}

// Current returns the tables in force.
func (inForce *InForce) Current() *Tables { return inForce.generation.Load().current }

// Earlier returns the tables that were in force at the version, if they are
// still in memory.
func (inForce *InForce) Earlier(version int64) (*Tables, bool) {
	for _, tables := range inForce.generation.Load().earlier {
		if tables.version == version {
			return tables, true
		}
	}
	return nil, false
}

// Offered is what became of offered tables.
type Offered int

// The results of an offer.
const (
	// OfferedKnown: the tables in force hold all that the offered ones do.
	OfferedKnown Offered = iota + 1
	// OfferedTaken: the offered tables are in force now.
	OfferedTaken
	// OfferedParted: the offered tables lack an edit that is in force, so they
	// were refused until both histories are merged in the store.
	OfferedParted
)

// Offer puts the tables in force if they continue the current ones.
func (inForce *InForce) Offer(tables *Tables) Offered {
	for {
		known := inForce.generation.Load()
		switch known.current.Relate(tables) {
		case RelationSame, RelationStoredOlder:
			return OfferedKnown
		case RelationParted:
			return OfferedParted
		}
		earlier := append(slices.Clone(known.earlier), known.current)
		if excess := len(earlier) - historyLength; excess > 0 {
			earlier = earlier[excess:]
		}
		if inForce.generation.CompareAndSwap(known, &generation{current: tables, earlier: earlier}) {
			return OfferedTaken
		}
	}
}
