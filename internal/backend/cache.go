package backend

import (
	"math"
	"sync/atomic"
)

// Cache is how well a node knows the prefix cache of one server: the number
// of the last event and the confidence in what was learned, from 0 to 1.
type Cache struct {
	sequence atomic.Int64
	doubt    atomic.Uint64
}

// Sequence returns the number of the last event taken in.
func (cache *Cache) Sequence() int64 { return cache.sequence.Load() }

// Advance records the number of the last event taken in.
func (cache *Cache) Advance(sequence int64) { cache.sequence.Store(sequence) }

// Confidence returns the share of the known blocks that are believed to be
// cached.
func (cache *Cache) Confidence() float64 { return 1 - math.Float64frombits(cache.doubt.Load()) }

// Lower multiplies the confidence, but keeps the least.
func (cache *Cache) Lower(factor, floor float64) {
	cache.doubt.Store(math.Float64bits(1 - max(cache.Confidence()*factor, floor)))
}

// Restore moves the confidence towards full by the share.
func (cache *Cache) Restore(share, full float64) {
	confidence := cache.Confidence()
	cache.doubt.Store(math.Float64bits(1 - (confidence + (full-confidence)*share)))
}
