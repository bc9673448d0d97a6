package node

import (
	"sync/atomic"

	"sapphirehead/internal/clock"
)

// maxContactAge is how long a node may have no contact with the store or any
// peer and still be ready.
const maxContactAge = 5 * clock.Second

// Connectivity decides whether a node is connected to the deployment: whether
// it has loaded its tables from the store or a peer since its start, and is
// still in contact with either.
type Connectivity struct {
	clock   *clock.Clock
	members *Members
	store   atomic.Int64
	started atomic.Bool
}

// NewConnectivity returns the connectivity of a node that has just started.
func NewConnectivity(clock *clock.Clock, members *Members) *Connectivity {
	return &Connectivity{clock: clock, members: members}
}

// RecordStoreResponse records a response of the store.
func (connectivity *Connectivity) RecordStoreResponse() {
	connectivity.store.Store(int64(connectivity.clock.Now()))
}

// MarkStarted records that the newest tables of the store and the peers are
// active.
func (connectivity *Connectivity) MarkStarted() { connectivity.started.Store(true) }

// HasStarted reports whether MarkStarted was called.
func (connectivity *Connectivity) HasStarted() bool { return connectivity.started.Load() }

// IsConnected reports whether the node has started and had contact with the store
// or a peer within maxContactAge.
func (connectivity *Connectivity) IsConnected() bool {
	last := max(clock.Millis(connectivity.store.Load()), connectivity.members.LastContact())
	return connectivity.started.Load() && connectivity.clock.Now()-last <= maxContactAge
}
