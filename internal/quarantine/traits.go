package quarantine

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"sapphirehead/internal/runner"
)

// Traits are what a request has in common with others that may crash servers, too: the
// shared parts of its prompt and, by its fingerprint, the whole request.
type Traits struct {
	// hashes are sorted.
	hashes []uint64
}

// NewTraits returns the traits of a request. Fingerprint 0 leaves out the whole request.
func NewTraits(prompt runner.Prompt, fingerprint uint64) Traits {
	shared := prompt.Shared()
	hashes := make([]uint64, 0, len(shared)+1)
	for _, part := range shared {
		hashes = append(hashes, xxhash.Sum64String(part.ID())&^requestBit)
	}
	if fingerprint != 0 {
		hashes = append(hashes, fingerprint|requestBit)
	}
	return Traits{hashes: sorted(hashes)}
}

// requestBit is set in the hashes of whole requests and not in those of prompt parts.
const requestBit = 1

// isRequest reports whether the hash is that of a whole request.
func isRequest(hash uint64) bool { return hash&requestBit != 0 }

// request returns the hash of the whole request, and false if it was left out.
func (traits Traits) request() (uint64, bool) {
	index := slices.IndexFunc(traits.hashes, isRequest)
	if index < 0 {
		return 0, false
	}
	return traits.hashes[index], true
}
