package release

import (
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"sapphirehead/internal/clock"
)

const (
	// streamSlots is the number of streams that are remembered, and slotChoices the
	// number of slots that each may have. A beginning that finds no free slot displaces
	// the one that ends first.
	streamSlots = 16384
	slotChoices = 8
	// recentStreams is the number of this node's latest beginnings that peers may get.
	recentStreams = 256
)

// RequestID identifies a caller's request among nodes.
type RequestID uint64

// NewRequestID returns the id for the one that the caller gave.
func NewRequestID(id string) RequestID { return RequestID(max(1, xxhash.Sum64String(id))) }

// beginning is the release that brought the first event of a stream. It is immutable.
type beginning struct {
	request RequestID
	// pool is set if this node saw the beginning.
	pool    PoolID
	release ID
	// began is when this node learned of the beginning, and until the time up to which
	// the stream can be taken up.
	began clock.Millis
	until clock.Millis
}

// streams remembers where the streams of the last seconds began. It is safe for
// concurrent use.
type streams struct {
	slots  [streamSlots]atomic.Pointer[beginning]
	recent [recentStreams]atomic.Pointer[beginning]
	count  atomic.Uint64
}

// record remembers a beginning that this node saw.
func (streams *streams) record(seen *beginning) {
	streams.remember(seen)
	streams.recent[(streams.count.Add(1)-1)%recentStreams].Store(seen)
}

func (streams *streams) remember(added *beginning) {
	for {
		slot, held := streams.slotFor(added.request)
		if held != nil && held.request == added.request && held.until >= added.until {
			return
		}
		if slot.CompareAndSwap(held, added) {
			return
		}
	}
}

// slotFor returns the slot of the request, or else an empty one or the one whose stream
// ends first.
func (streams *streams) slotFor(request RequestID) (best *atomic.Pointer[beginning], held *beginning) {
	stride := uint64(request)>>32 | 1
	for i := range uint64(slotChoices) {
		slot := &streams.slots[(uint64(request)+i*stride)%streamSlots]
		current := slot.Load()
		switch {
		case current != nil && current.request == request:
			return slot, current
		case best == nil, held != nil && (current == nil || current.until < held.until):
			best, held = slot, current
		}
	}
	return best, held
}

// find returns where the stream of the request began, and false if it isn't known.
func (streams *streams) find(request RequestID, now clock.Millis) (ID, bool) {
	_, held := streams.slotFor(request)
	if held == nil || held.request != request || held.until < now {
		return 0, false
	}
	return held.release, true
}

// latest returns at most the number of live beginnings that this node saw last, not
// before the time that since returns for their pool, if any. The latest come first.
func (streams *streams) latest(limit int, now clock.Millis, since func(pool PoolID) (clock.Millis, bool)) []*beginning {
	var latest []*beginning
	count := streams.count.Load()
	for i := uint64(1); i <= min(count, recentStreams) && len(latest) < limit; i++ {
		seen := streams.recent[(count-i)%recentStreams].Load()
		if seen == nil || seen.until < now {
			continue
		}
		if from, ok := since(seen.pool); ok && seen.began >= from {
			latest = append(latest, seen)
		}
	}
	return latest
}
