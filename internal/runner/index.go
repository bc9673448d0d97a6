package runner

import (
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"sapphirehead/internal/backend"
)

// The index is a set-associative table of fixed size. A block belongs to one set
// of ways; when all are occupied, the least recently used one is replaced. Every
// word is an atomic, so readers and writers need no lock. A reader that races with
// a replacement may count a block as cached that is not, which only costs a
// prefill.
//
//	block 0x7f.. -> set 0x7f.. mod sets -> way {block, holders: [runner-2, runner-5, -, -]}
const (
	waysPerSet      = 4
	holdersPerBlock = 4
	// DefaultIndexSets makes an index of 65,536 blocks, 3.1 MB.
	DefaultIndexSets = 1 << 14
)

// Parameters of the confidence in the index for one runner's cache. Each gap in the
// runner's events lowers it, and events without a gap restore it.
const (
	fullConfidence = 1.0
	gapFactor      = 0.8
	minConfidence  = 0.3
	restoredShare  = 0.1
)

type way struct {
	block   atomic.Uint64
	lastUse atomic.Uint64
	holders [holdersPerBlock]atomic.Uint64
}

// Index records which runners probably have which prompt blocks cached.
type Index struct {
	sets []([waysPerSet]way)
	uses atomic.Uint64
}

// NewIndex returns an empty index with the number of sets.
func NewIndex(sets int) *Index {
	return &Index{sets: make([][waysPerSet]way, sets)}
}

// holderHash returns the hash that identifies a server in the index. It is never
// 0, which stands for no server.
func holderHash(server *backend.Server) uint64 { return xxhash.Sum64String(server.ID()) | 1 }

func (index *Index) set(block uint64) *[waysPerSet]way {
	return &index.sets[block%uint64(len(index.sets))]
}

func (index *Index) findWay(block uint64) *way {
	set := index.set(block)
	for i := range set {
		if set[i].block.Load() == block {
			return &set[i]
		}
	}
	return nil
}

func (index *Index) findOrReplaceWay(block uint64) *way {
	if way := index.findWay(block); way != nil {
		return way
	}
	set := index.set(block)
	oldest := &set[0]
	for i := range set[1:] {
		if set[i+1].lastUse.Load() < oldest.lastUse.Load() {
			oldest = &set[i+1]
		}
	}
	oldest.block.Store(0)
	for i := range oldest.holders {
		oldest.holders[i].Store(0)
	}
	oldest.block.Store(block)
	return oldest
}

// Record records that the server has the blocks of the chain cached.
func (index *Index) Record(server *backend.Server, chain Chain) {
	holder := holderHash(server)
	use := index.uses.Add(1)
	for _, block := range chain.blocks {
		index.recordBlock(holder, block, use)
	}
}

func (index *Index) recordBlock(holder, block, use uint64) {
	way := index.findOrReplaceWay(block)
	way.lastUse.Store(use)
	free := -1
	for i := range way.holders {
		switch way.holders[i].Load() {
		case holder:
			return
		case 0:
			free = i
		}
	}
	if free < 0 {
		free = int(use % holdersPerBlock)
	}
	way.holders[free].Store(holder)
}

// remove records that the server no longer has the block cached.
func (index *Index) remove(holder, block uint64) {
	way := index.findWay(block)
	if way == nil {
		return
	}
	for i := range way.holders {
		way.holders[i].CompareAndSwap(holder, 0)
	}
}

// Apply applies events of the server's cache, which may be late and have gaps. It
// must be called from one goroutine per server.
func (index *Index) Apply(server *backend.Server, events []CacheEvent) {
	holder := holderHash(server)
	use := index.uses.Add(1)
	cache := server.Cache()
	for _, event := range events {
		if event.sequence <= cache.Sequence() {
			continue
		}
		if cache.Sequence() > 0 && event.sequence > cache.Sequence()+1 {
			cache.Lower(gapFactor, minConfidence)
		} else {
			cache.Restore(restoredShare/float64(len(events)), fullConfidence)
		}
		cache.Advance(event.sequence)
		if event.stored {
			index.recordBlock(holder, event.block, use)
		} else {
			index.remove(holder, event.block)
		}
	}
}

// matches holds up to 8 servers, each with its depth: the number of leading blocks
// of a chain that it has cached.
type matches struct {
	holders [8]uint64
	depths  [8]int
	count   int
}

// match returns the servers with the longest cached prefixes of the chain. It
// iterates from the last block, so the first occurrence of a server gives its
// depth.
func (index *Index) match(chain Chain) matches {
	var found matches
	use := index.uses.Load()
	for i := len(chain.blocks) - 1; i >= 0 && found.count < len(found.holders); i-- {
		way := index.findWay(chain.blocks[i])
		if way == nil {
			continue
		}
		if way.lastUse.Load() != use {
			way.lastUse.Store(use)
		}
		for j := range way.holders {
			if holder := way.holders[j].Load(); holder != 0 {
				found.add(holder, i+1)
			}
		}
	}
	return found
}

func (found *matches) add(holder uint64, depth int) {
	for i := range found.count {
		if found.holders[i] == holder {
			return
		}
	}
	if found.count < len(found.holders) {
		found.holders[found.count], found.depths[found.count] = holder, depth
		found.count++
	}
}

func (found *matches) depth(holder uint64) int {
	for i := range found.count {
		if found.holders[i] == holder {
			return found.depths[i]
		}
	}
	return 0
}

// Cached returns the estimated number of the chain's tokens that the server has
// cached.
func (index *Index) Cached(server *backend.Server, chain Chain) int {
	found := index.match(chain)
	return int(float64(found.depth(holderHash(server))*BlockTokens) * server.Cache().Confidence())
}
