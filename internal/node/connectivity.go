package node

import (
	"sync/atomic"

	"sapphirehead/internal/clock"
)

// maxContactAge is how long a node may hear neither the store nor any fellow node
// and still be ready.
const maxContactAge = 5 * clock.Second

// Connectivity decides whether a node is in touch with the rest: whether it took its
// tables from the store or a fellow node at its start, and hears either of them
// still.
type Connectivity struct {
	clock   *clock.Clock
	members *Members
	store   atomic.Int64
	started atomic.Bool
}

// NewConnectivity returns the contact of a node that has just started.
func NewConnectivity(clock *clock.Clock, members *Members) *Connectivity {
	return &Connectivity{clock: clock, members: members}
}

// RecordStoreResponse notes an answer of the store.
func (connectivity *Connectivity) RecordStoreResponse() {
	connectivity.store.Store(int64(connectivity.clock.Now()))
}

// MarkStarted notes that the highest tables of store and fellow nodes are in force.
func (connectivity *Connectivity) MarkStarted() { connectivity.started.Store(true) }

// HasStarted reports whether Started was called.
func (connectivity *Connectivity) HasStarted() bool { return connectivity.started.Load() }

// IsConnected reports whether the node may take new requests.
func (connectivity *Connectivity) IsConnected() bool {
	last := max(clock.Millis(connectivity.store.Load()), connectivity.members.LastContact())
	return connectivity.started.Load() && connectivity.clock.Now()-last <= maxContactAge
}
