package weightstore

import (
	"sync"

	"sapphirehead/internal/clock"
)

// minSpread is the spread of waits of the worthiest load, as a share of the
// wait that the store asks for.
const minSpread = 0.5

// maxSpread bounds the spread of less worthy loads.
const maxSpread = 4.0

// Load names the weights that one runner needs.
type Load struct {
	server  string
	model   string
	version string
}

// NewLoad returns a load of the model's version for the backend server.
func NewLoad(server, model, version string) Load {
	return Load{server: server, model: model, version: version}
}

// Pacer asks the weight store for loads within its limit. It remembers what
// was granted, so that an order which could not be sent asks for nothing twice,
// and waits after a refusal, the longer the less a load is worth. So loads of
// several stewards reach the store in order of worth as well. It is safe for
// use by several goroutines.
type Pacer struct {
	clock        *clock.Clock
	random       func() float64
	mutex        sync.Mutex
	blockedUntil clock.Millis
	granted      map[Load]bool
}

// NewPacer returns a pacer that may ask at once. The function random returns a
// number from 0 up to 1.
func NewPacer(clock *clock.Clock, random func() float64) *Pacer {
	return &Pacer{clock: clock, random: random, granted: map[Load]bool{}}
}

// Granted reports whether the store has granted the load already.
func (pacer *Pacer) Granted(load Load) bool {
	pacer.mutex.Lock()
	defer pacer.mutex.Unlock()
	return pacer.granted[load]
}

// Allow reports whether the store may be asked now.
func (pacer *Pacer) Allow() bool {
	pacer.mutex.Lock()
	defer pacer.mutex.Unlock()
	return pacer.clock.Now() >= pacer.blockedUntil
}

// RecordGrant takes in that the store granted the load.
func (pacer *Pacer) RecordGrant(load Load) {
	pacer.mutex.Lock()
	defer pacer.mutex.Unlock()
	pacer.granted[load] = true
}

// ClearGrant takes in that the load's order was sent.
func (pacer *Pacer) ClearGrant(load Load) {
	pacer.mutex.Lock()
	defer pacer.mutex.Unlock()
	delete(pacer.granted, load)
}

// BackOff takes in that the store refused a load of the worth, where the
// worthiest load is worth most.
func (pacer *Pacer) BackOff(retryAfter clock.Millis, worth, maxWorth float64) {
	pacer.mutex.Lock()
	defer pacer.mutex.Unlock()
	spread := maxSpread
	if worth > 0 {
		spread = min(max(minSpread*maxWorth/worth, minSpread), maxSpread)
	}
	wait := retryAfter + clock.Millis(float64(retryAfter)*spread*pacer.random())
	pacer.blockedUntil = max(pacer.blockedUntil, pacer.clock.Now()+wait)
}
