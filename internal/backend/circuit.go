package backend

import (
	"sync/atomic"

	"sapphirehead/internal/clock"
)

// A circuit opens after a few failures in a row, stays open for a time that
// doubles each time it opens again, and then lets one attempt through at a
// time. The first success closes it, after which the server is loaded slowly,
// as one that has just been listed is.
//
//	closed -3 failures-> open 1 s -> half open -failure-> open 2 s -> half open -success-> closed
const (
	failuresToOpen  = 3
	minOpen         = 1 * clock.Second
	maxOpen         = 30 * clock.Second
	probeTimeout    = 5 * clock.Second
	slowStartMillis = 5 * clock.Second
)

// Circuit is the state of the circuit to one server. Its fields are atomics;
// an update that loses a race costs one attempt.
type Circuit struct {
	failures atomic.Int64
	opened   atomic.Int64
	until    atomic.Int64
	probe    atomic.Int64
	started  atomic.Int64
}

// CircuitState is whether a server may be chosen.
type CircuitState int

// The states of a circuit.
const (
	CircuitClosed CircuitState = iota
	CircuitOpen
	CircuitHalfOpen
)

// String returns the name of the state.
func (state CircuitState) String() string { return [...]string{"closed", "open", "halfOpen"}[state] }

// State returns the state at the time.
func (circuit *Circuit) State(now clock.Millis) CircuitState {
	switch until := circuit.until.Load(); {
	case until == 0:
		return CircuitClosed
	case int64(now) < until:
		return CircuitOpen
	default:
		return CircuitHalfOpen
	}
}

// Start records when the server began to take work here; only the first call
// counts.
func (circuit *Circuit) Start(now clock.Millis) {
	circuit.started.CompareAndSwap(0, int64(max(now, 1)))
}

// Allows reports whether the server may be chosen.
func (circuit *Circuit) Allows(now clock.Millis) bool {
	until := circuit.until.Load()
	return until == 0 || (int64(now) >= until && int64(now) >= circuit.probe.Load())
}

// Begin counts an attempt. In a half-open circuit it is the one that decides,
// and others must wait for its outcome.
func (circuit *Circuit) Begin(now clock.Millis) {
	if until := circuit.until.Load(); until != 0 && int64(now) >= until {
		circuit.probe.Store(int64(now + probeTimeout))
	}
}

// Succeeded closes the circuit.
func (circuit *Circuit) Succeeded(now clock.Millis) {
	circuit.failures.Store(0)
	if circuit.until.Load() != 0 {
		circuit.until.Store(0)
		circuit.opened.Store(0)
		circuit.started.Store(int64(now))
	}
}

// Trip opens the circuit after one failure that leaves no doubt, such as a
// refused connection.
func (circuit *Circuit) Trip(now clock.Millis) {
	circuit.failures.Store(failuresToOpen)
	circuit.Failed(now)
}

// Failed counts a failure and opens the circuit if there are too many.
func (circuit *Circuit) Failed(now clock.Millis) {
	halfOpen := circuit.until.Load() != 0
	if circuit.failures.Add(1) < failuresToOpen && !halfOpen {
		return
	}
	opened := circuit.opened.Add(1)
	wait := min(minOpen<<min(opened-1, 10), maxOpen)
	circuit.probe.Store(0)
	circuit.until.Store(int64(now + wait))
}

// Ramp returns the share of its load that a fresh server may get, from 0 to 1.
func (circuit *Circuit) Ramp(now clock.Millis) float64 {
	started := circuit.started.Load()
	if started == 0 {
		return 1
	}
	age := now - clock.Millis(started)
	return min(1, max(0.1, float64(age)/float64(slowStartMillis)))
}
