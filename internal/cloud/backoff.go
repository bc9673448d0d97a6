package cloud

import (
	"sync"

	"sapphirehead/internal/clock"
)

// Bounds of the wait after refused starts, before jitter.
const (
	minRefusedWait = 5 * clock.Second
	maxRefusedWait = 5 * clock.Minute
)

// refusal is the backoff state of a kind: the latest wait without jitter, and the
// time until which starts have to wait.
type refusal struct {
	wait  clock.Millis
	until clock.Millis
}

// Backoff delays starts of the kinds of host that the cloud refuses to start. The
// wait doubles with each refusal and is jittered from half to one and a half of its
// length, so that stewards don't retry at the same time.
// It is safe for concurrent use.
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

// Refused records that the cloud refused a start. Further refusals during the wait
// are ignored, as their calls were sent before it began.
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

// Started records that the cloud started a host of the kind, which ends the wait.
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
