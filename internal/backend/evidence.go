package backend

import (
	"sync"

	"sapphirehead/internal/clock"
)

// Evidence collects, from any goroutine, word that backend servers are
// leaving, until the fleet's writer takes it. It holds each id once, so it is
// bounded by the number of servers, and loses none:
//
//	request:   Add("runner-7", 0)      (the runner's answer said so)
//	notices:   Add("runner-7", 8 s)    (the cloud says when)
//	writer:    Take() -> {runner-7: 8 s}
type Evidence struct {
	pending sync.Map
	wake    chan struct{}
}

// NewEvidence returns an empty collection.
func NewEvidence() *Evidence { return &Evidence{wake: make(chan struct{}, 1)} }

// Add notes that the server with the id is leaving, and the time until it
// goes, or 0 if that is not known.
func (evidence *Evidence) Add(id string, notice clock.Millis) {
	for {
		known, loaded := evidence.pending.LoadOrStore(id, notice)
		if !loaded || notice == 0 || known == notice || evidence.pending.CompareAndSwap(id, known, notice) {
			break
		}
	}
	select {
	case evidence.wake <- struct{}{}:
	default:
	}
}

// Wake returns a channel that has a value when there may be evidence to take.
func (evidence *Evidence) Wake() <-chan struct{} { return evidence.wake }

// Take returns and removes what was noted: ids, and the time until each goes.
func (evidence *Evidence) Take() map[string]clock.Millis {
	taken := map[string]clock.Millis{}
	evidence.pending.Range(func(id, _ any) bool {
		if notice, ok := evidence.pending.LoadAndDelete(id); ok {
			taken[id.(string)] = notice.(clock.Millis)
		}
		return true
	})
	return taken
}
