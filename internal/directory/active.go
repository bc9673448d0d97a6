package directory

import "sync/atomic"

// Active publishes the directory that a node uses. Its version only increases.
type Active struct {
	current atomic.Pointer[Directory]
}

// NewActive returns an Active without a directory.
func NewActive() *Active { return &Active{} }

// Current returns the active directory, or nil before the first.
func (active *Active) Current() *Directory { return active.current.Load() }

// Offer activates the directory if its version is newer, and reports whether it
// did.
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
