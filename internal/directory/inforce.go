package directory

import "sync/atomic"

// InForce publishes the directory that a node acts on. Its version only rises.
type InForce struct {
	current atomic.Pointer[Directory]
}

// NewInForce returns a holder without a directory.
func NewInForce() *InForce { return &InForce{} }

// Current returns the directory in force, or nil before the first.
func (inForce *InForce) Current() *Directory { return inForce.current.Load() }

// Offer puts the directory in force if it is newer, and reports whether it did.
func (inForce *InForce) Offer(offered *Directory) bool {
	for {
		known := inForce.current.Load()
		if known != nil && known.version >= offered.version {
			return false
		}
		if inForce.current.CompareAndSwap(known, offered) {
			return true
		}
	}
}
