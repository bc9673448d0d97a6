package backend

import (
	"sync/atomic"

	"sapphirehead/internal/clock"
)

// A circuit opens after failuresToOpen consecutive failures. The time for which it
// stays open doubles with each reopening, up to maxOpenTime. It then allows one
// attempt at a time. The first success closes it; the server's load is then ramped
// up like that of a newly listed server.
//
//	closed -3 failures-> open 1 s -> half open
//	half open -failure-> open 2 s -> half open -success-> closed
const (
	failuresToOpen = 3
	minOpenTime    = 1 * clock.Second
	maxOpenTime    = 30 * clock.Second
	probeTimeout   = 5 * clock.Second
	slowStartTime  = 5 * clock.Second
)

// Circuit is the circuit breaker of one server. Its fields are separate atomics; a
// race between two updates costs at most one attempt.
type Circuit struct {
	failures   atomic.Int64
	openings   atomic.Int64
	openUntil  atomic.Int64
	probeUntil atomic.Int64
	rampStart  atomic.Int64
}

// CircuitState is the state of a circuit breaker.
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
	switch openUntil := circuit.openUntil.Load(); {
	case openUntil == 0:
		return CircuitClosed
	case int64(now) < openUntil:
		return CircuitOpen
	default:
		return CircuitHalfOpen
	}
}

// Start begins the slow start of a newly listed server. Only the first call has
// an effect.
func (circuit *Circuit) Start(now clock.Millis) {
	circuit.rampStart.CompareAndSwap(0, int64(max(now, 1)))
}

// Allows reports whether the server may be chosen.
func (circuit *Circuit) Allows(now clock.Millis) bool {
	openUntil := circuit.openUntil.Load()
	return openUntil == 0 || (int64(now) >= openUntil && int64(now) >= circuit.probeUntil.Load())
}

// Begin records an attempt. In a half-open circuit the attempt is the probe;
// further ones are not allowed until its outcome is known or probeTimeout has
// passed.
func (circuit *Circuit) Begin(now clock.Millis) {
	if openUntil := circuit.openUntil.Load(); openUntil != 0 && int64(now) >= openUntil {
		circuit.probeUntil.Store(int64(now + probeTimeout))
	}
}

// Succeeded closes the circuit.
func (circuit *Circuit) Succeeded(now clock.Millis) {
	circuit.failures.Store(0)
	if circuit.openUntil.Load() != 0 {
		circuit.openUntil.Store(0)
		circuit.openings.Store(0)
		circuit.rampStart.Store(int64(now))
	}
}

// Trip opens the circuit after a single unambiguous failure, such as a refused
// connection.
func (circuit *Circuit) Trip(now clock.Millis) {
	circuit.failures.Store(failuresToOpen)
	circuit.Failed(now)
}

// Failed counts a failure. It opens the circuit at the limit, and opens it again
// for longer if it is not closed.
func (circuit *Circuit) Failed(now clock.Millis) {
	notClosed := circuit.openUntil.Load() != 0
	if circuit.failures.Add(1) < failuresToOpen && !notClosed {
		return
	}
	openings := circuit.openings.Add(1)
	wait := min(minOpenTime<<min(openings-1, 10), maxOpenTime)
	circuit.probeUntil.Store(0)
	circuit.openUntil.Store(int64(now + wait))
}

// Ramp returns the share of the full load that the server may get, from 0.1 at
// the beginning of its slow start to 1 after slowStartTime.
func (circuit *Circuit) Ramp(now clock.Millis) float64 {
	rampStart := circuit.rampStart.Load()
	if rampStart == 0 {
		return 1
	}
	age := now - clock.Millis(rampStart)
	return min(1, max(0.1, float64(age)/float64(slowStartTime)))
}
