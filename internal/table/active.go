package table

import (
	"slices"
	"sync/atomic"
)

// historyLength is the number of earlier versions kept in memory, so that a peer
// node that is a few versions behind can be sent a delta.
const historyLength = 16

type versionHistory struct {
	current *Tables
	earlier []*Tables
}

// Active publishes the tables that a node uses. Their version only increases, and
// an active edit is never lost.
type Active struct {
	history atomic.Pointer[versionHistory]
}

// NewActive returns an Active with empty tables.
func NewActive() *Active {
	active := &Active{}
	active.history.Store(&versionHistory{current: Empty()})
	return active
}

// Current returns the active tables.
func (active *Active) Current() *Tables { return active.history.Load().current }

// Earlier returns the tables that were active at the version, if they are still in
// memory.
func (active *Active) Earlier(version int64) (*Tables, bool) {
	for _, tables := range active.history.Load().earlier {
		if tables.version == version {
			return tables, true
		}
	}
	return nil, false
}

// OfferResult is the result of an offer of tables.
type OfferResult int

// The results of an offer.
const (
	// OfferRedundant: the active tables have all edits of the offered ones.
	OfferRedundant OfferResult = iota + 1
	// OfferAccepted: the offered tables are active now.
	OfferAccepted
	// OfferDiverged: the offered tables lack an active edit, so they are refused
	// until both histories are merged in the store.
	OfferDiverged
)

// Offer activates the tables if they continue the history of the active ones.
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
