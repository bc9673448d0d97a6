package weightstore

import (
	"sync"

	"sapphirehead/internal/clock"
)

// minSpread is the maximum of the random part of the wait for a load of the highest
// worth, as a share of the wait that the store requested.
const minSpread = 0.5

// maxSpread limits that share for loads of less worth.
const maxSpread = 4.0

// Load identifies the weights that one runner needs.
type Load struct {
	server  string
	model   string
	version string
}

// NewLoad returns a load of the model's version for the backend server.
func NewLoad(server, model, version string) Load {
	return Load{server: server, model: model, version: version}
}

// Pacer keeps the loads requested from the weight store within its limit. It
// records granted loads, so that an order which could not be sent does not request
// its load twice. After a refusal it waits for a random time, which is longer on
// average for loads of less worth, so that the loads of several stewards tend to
// reach the store in order of worth, too. It is safe for concurrent use.
type Pacer struct {
	clock        *clock.Clock
	random       func() float64
	mutex        sync.Mutex
	blockedUntil clock.Millis
	granted      map[Load]bool
}

// NewPacer returns a pacer that allows a request at once. The function random
// returns a number from 0 up to, but not including, 1.
func NewPacer(clock *clock.Clock, random func() float64) *Pacer {
	return &Pacer{clock: clock, random: random, granted: map[Load]bool{}}
}

// Granted reports whether the store has granted the load and its order has not been
// sent yet.
func (pacer *Pacer) Granted(load Load) bool {
	pacer.mutex.Lock()
	defer pacer.mutex.Unlock()
	return pacer.granted[load]
}

// Allow reports whether a load may be requested from the store now.
func (pacer *Pacer) Allow() bool {
	pacer.mutex.Lock()
	defer pacer.mutex.Unlock()
	return pacer.clock.Now() >= pacer.blockedUntil
}

// RecordGrant records that the store granted the load.
func (pacer *Pacer) RecordGrant(load Load) {
	pacer.mutex.Lock()
	defer pacer.mutex.Unlock()
	pacer.granted[load] = true
}

// ClearGrant removes the grant of a load whose order was sent.
func (pacer *Pacer) ClearGrant(load Load) {
	pacer.mutex.Lock()
	defer pacer.mutex.Unlock()
	delete(pacer.granted, load)
}

// BackOff delays further requests after the store refused a load of the worth, where
// maxWorth is the highest worth of all loads.
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
