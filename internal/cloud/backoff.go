package cloud

import (
	"sync"

	"sapphirehead/internal/clock"
)

// Waits after refused starts.
const (
	minRefusedWait = 5 * clock.Second
	maxRefusedWait = 5 * clock.Minute
)

// refusal is the state of a kind whose starts the cloud refuses.
type refusal struct {
	wait  clock.Millis
	until clock.Millis
}

// Backoff remembers which kinds of host the cloud refuses to start. Each wait
// is twice the one before, with jitter, so that stewards do not ask in step.
// It is safe for use by several goroutines.
type Backoff struct {
	clock    *clock.Clock
	random   func() float64
	mutex    sync.Mutex
	refusals map[Kind]refusal
}

// NewBackoff returns a backoff without refusals. The function random returns a
// number from 0 up to 1.
func NewBackoff(clock *clock.Clock, random func() float64) *Backoff {
	return &Backoff{clock: clock, random: random, refusals: map[Kind]refusal{}}
}

// Refused takes in that the cloud refused a start. Refusals of calls that were
// sent before the wait began count once.
func (backoff *Backoff) Refused(kind Kind) {
	backoff.mutex.Lock()
	defer backoff.mutex.Unlock()
	now := backoff.clock.Now()
	refusal := backoff.refusals[kind]
	if now < refusal.until {
		return
	}
	refusal.wait = min(max(2*refusal.wait, minRefusedWait), maxRefusedWait)
	refusal.until = now + refusal.wait/2 + clock.Millis(backoff.random()*float64(refusal.wait))
	backoff.refusals[kind] = refusal
}

// Started takes in that the cloud started a host of the kind.
func (backoff *Backoff) Started(kind Kind) {
	backoff.mutex.Lock()
	defer backoff.mutex.Unlock()
	delete(backoff.refusals, kind)
}

// Blocked reports whether starts of the kind have to wait.
func (backoff *Backoff) Blocked(kind Kind) bool {
	backoff.mutex.Lock()
	defer backoff.mutex.Unlock()
	return backoff.clock.Now() < backoff.refusals[kind].until
}
