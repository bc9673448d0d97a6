package table

import (
	"slices"
	"sync/atomic"
)

// historyLength is the number of earlier versions kept in memory, so that a
// fellow node a little behind can be sent only what changed.
const historyLength = 16

type versionHistory struct {
	current *Tables
	earlier []*Tables
}

// Active publishes the tables that a node acts on. Their version only rises,
// and no edit that is in force ever goes out of force.
type Active struct {
	history atomic.Pointer[versionHistory]
}

// NewActive returns a holder of empty tables.
func NewActive() *Active {
	active := &Active{}
	active.history.Store(&versionHistory{current: Empty()})
	return active
}

// Current returns the tables in force.
func (active *Active) Current() *Tables { return active.history.Load().current }

// Earlier returns the tables that were in force at the version, if they are
// still in memory.
func (active *Active) Earlier(version int64) (*Tables, bool) {
	for _, tables := range active.history.Load().earlier {
		if tables.version == version {
			return tables, true
		}
	}
	return nil, false
}

// OfferResult is what became of offered tables.
type OfferResult int

// The results of an offer.
const (
	// OfferRedundant: the tables in force hold all that the offered ones do.
	OfferRedundant OfferResult = iota + 1
	// OfferAccepted: the offered tables are in force now.
	OfferAccepted
	// OfferDiverged: the offered tables lack an edit that is in force, so they
	// were refused until both histories are merged in the store.
	OfferDiverged
)

// Offer puts the tables in force if they continue the current ones.
func (active *Active) Offer(tables *Tables) OfferResult {
	for {
		history := active.history.Load()
		switch history.current.Relate(tables) {
		case RelationSame, RelationStoredOlder:
			return OfferRedundant
		case RelationDiverged:
			return OfferDiverged
		}
		earlier := append(slices.Clone(history.earlier), history.current)
		if excess := len(earlier) - historyLength; excess > 0 {
			earlier = earlier[excess:]
		}
		if active.history.CompareAndSwap(history, &versionHistory{current: tables, earlier: earlier}) {
			return OfferAccepted
		}
	}
}
