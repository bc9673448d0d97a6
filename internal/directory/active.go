package directory

import "sync/atomic"

// Active publishes the directory that a node acts on. Its version only rises.
type Active struct {
	current atomic.Pointer[Directory]
}

// NewActive returns a holder without a directory.
func NewActive() *Active { return &Active{} }

// Current returns the directory in force, or nil before the first.
func (active *Active) Current() *Directory { return active.current.Load() }

// Offer puts the directory in force if it is newer, and reports whether it did.
func (active *Active) Offer(newer *Directory) bool {
	for {
		current := active.current.Load()
		if current != nil && current.version >= newer.version {
			return false
		}
		if active.current.CompareAndSwap(current, newer) {
			return true
		}
	}
}
