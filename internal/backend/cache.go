package backend

import (
	"math"
	"sync/atomic"
)

// Cache tracks how far a node's index follows the prefix cache of one server: the
// sequence number of the last event and the confidence in the index, from 0 to 1.
type Cache struct {
	sequence atomic.Int64
	doubt    atomic.Uint64
}

// Sequence returns the sequence number of the last event applied.
func (cache *Cache) Sequence() int64 { return cache.sequence.Load() }

// Advance records the sequence number of the last event applied.
func (cache *Cache) Advance(sequence int64) { cache.sequence.Store(sequence) }

// Confidence returns the estimated share of the indexed blocks that are cached.
func (cache *Cache) Confidence() float64 { return 1 - math.Float64frombits(cache.doubt.Load()) }

// Lower multiplies the confidence by the factor, down to the floor.
func (cache *Cache) Lower(factor, floor float64) {
	cache.doubt.Store(math.Float64bits(1 - max(cache.Confidence()*factor, floor)))
}

// Restore raises the confidence by a share of its difference from full.
func (cache *Cache) Restore(share, full float64) {
	confidence := cache.Confidence()
	cache.doubt.Store(math.Float64bits(1 - (confidence + (full-confidence)*share)))
}
