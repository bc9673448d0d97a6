package backend

import (
	"sync"

	"sapphirehead/internal/clock"
)

// Evidence collects evidence that backend servers are leaving, from any goroutine,
// until the fleet's writer takes it. No evidence is dropped, and each id is stored
// once, so the size is bounded by the number of servers:
//
//	request:   Add("runner-7", 0)      (from the header of a response)
//	notices:   Add("runner-7", 8 s)    (from the cloud's reclaim notice)
//	writer:    Take() -> {runner-7: 8 s}
type Evidence struct {
	pending sync.Map
	wake    chan struct{}
}

// NewEvidence returns an empty collection.
func NewEvidence() *Evidence { return &Evidence{wake: make(chan struct{}, 1)} }

// Add records that the server with the id is leaving. The notice is the time until
// it ends, or 0 if that is unknown, which does not replace a known one.
func (evidence *Evidence) Add(id string, notice clock.Millis) {
	for {
		recorded, loaded := evidence.pending.LoadOrStore(id, notice)
		if !loaded || notice == 0 || recorded == notice || evidence.pending.CompareAndSwap(id, recorded, notice) {
			break
		}
	}
	select {
	case evidence.wake <- struct{}{}:
	default:
	}
}

// Wake returns a channel that receives a value when evidence may be available.
func (evidence *Evidence) Wake() <-chan struct{} { return evidence.wake }

// Take removes and returns the recorded ids, with the time until each ends.
func (evidence *Evidence) Take() map[string]clock.Millis {
	notices := map[string]clock.Millis{}
	evidence.pending.Range(func(id, _ any) bool {
		if notice, ok := evidence.pending.LoadAndDelete(id); ok {
			notices[id.(string)] = notice.(clock.Millis)
		}
		return true
	})
	return notices
}
