package node

import (
	"sync/atomic"

	"sapphirehead/internal/clock"
)

// touchAge is how long a node may hear neither the store nor any fellow node
// and still be ready.
const touchAge = 5 * clock.Second

// Contact decides whether a node is in touch with the rest: whether it took its
// tables from the store or a fellow node at its start, and hears either of them
// still.
type Contact struct {
	clock   *clock.Clock
	members *Members
	store   atomic.Int64
	started atomic.Bool
}

// NewContact returns the contact of a node that has just started.
func NewContact(clock *clock.Clock, members *Members) *Contact {
	return &Contact{clock: clock, members: members}
}

// StoreAnswered notes an answer of the store.
func (contact *Contact) StoreAnswered() { contact.store.Store(int64(contact.clock.Now())) }

// Started notes that the highest tables of store and fellow nodes are in force.
func (contact *Contact) Started() { contact.started.Store(true) }

// HasStarted reports whether Started was called.
func (contact *Contact) HasStarted() bool { return contact.started.Load() }

// InTouch reports whether the node may take new requests.
func (contact *Contact) InTouch() bool {
	last := max(clock.Millis(contact.store.Load()), contact.members.LastContact())
	return contact.started.Load() && contact.clock.Now()-last <= touchAge
}
