package backend

import (
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/clock"
)

// expectAllows checks the time from which the circuit allows attempts.
func expectAllows(t *testing.T, circuit *Circuit, from clock.Millis) {
	t.Helper()
	require.False(t, circuit.Allows(from-1))
	require.True(t, circuit.Allows(from))
}

func newOpenCircuit(now clock.Millis) *Circuit {
	circuit := &Circuit{}
	for range failuresToOpen {
		circuit.Failed(now)
	}
	return circuit
}

func TestCircuit(t *testing.T) {
	t.Run("a success between failures keeps the circuit closed", func(t *testing.T) {
		circuit := &Circuit{}
		for range 10 {
			circuit.Failed(5)
			circuit.Failed(5)
			require.True(t, circuit.Allows(5))
			circuit.Succeeded(5)
		}
	})
	t.Run("consecutive failures open the circuit", func(t *testing.T) {
		expectAllows(t, newOpenCircuit(100), 100+minOpenTime)
	})
	t.Run("a half-open circuit allows one probe", func(t *testing.T) {
		circuit := newOpenCircuit(100)
		probe := 100 + minOpenTime
		circuit.Begin(probe)
		expectAllows(t, circuit, probe+probeTimeout)
		circuit.Failed(probe + 10)
		expectAllows(t, circuit, probe+10+2*minOpenTime)
	})
	t.Run("the load is ramped up after a success", func(t *testing.T) {
		circuit := newOpenCircuit(100)
		circuit.Succeeded(5000)
		require.True(t, circuit.Allows(5000))
		require.InDelta(t, 0.5, circuit.Ramp(5000+slowStartTime/2), 0.01)
		require.InDelta(t, 1, circuit.Ramp(5000+slowStartTime), 0)
	})
}

func TestRetryBudget(t *testing.T) {
	takeAll := func(budget *RetryBudget) (count int) {
		for budget.Take() {
			count++
		}
		return count
	}
	t.Run("a new budget has the initial retries", func(t *testing.T) {
		require.Equal(t, initialRetries, takeAll(NewRetryBudget()))
	})
	t.Run("successes add a share", func(t *testing.T) {
		budget := NewRetryBudget()
		takeAll(budget)
		for range 100 {
			budget.Succeeded()
		}
		require.Equal(t, unitsPerSuccess, takeAll(budget))
	})
	t.Run("the budget is bounded", func(t *testing.T) {
		budget := NewRetryBudget()
		for range 100_000 {
			budget.Succeeded()
		}
		require.Equal(t, maxRetries, takeAll(budget))
	})
}

func TestCircuitState(t *testing.T) {
	expectState := func(t *testing.T, circuit *Circuit, now clock.Millis, want CircuitState) {
		t.Helper()
		require.Equal(t, want, circuit.State(now), "is %s", circuit.State(now))
	}
	circuit := &Circuit{}
	t.Run("closed at first", func(t *testing.T) { expectState(t, circuit, 1000, CircuitClosed) })
	for range failuresToOpen {
		circuit.Failed(1000)
	}
	t.Run("open after failures", func(t *testing.T) { expectState(t, circuit, 1000+minOpenTime-1, CircuitOpen) })
	t.Run("half open after the open time", func(t *testing.T) { expectState(t, circuit, 1000+minOpenTime, CircuitHalfOpen) })
	circuit.Succeeded(1000 + minOpenTime)
	t.Run("closed by a success", func(t *testing.T) { expectState(t, circuit, 1000+minOpenTime, CircuitClosed) })
}
