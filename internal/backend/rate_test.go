package backend_test

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/clock"
)

// TestRate guards against rates that follow single observations, or never change again.
func TestRate(t *testing.T) {
	const noise = 0.3
	factorOf := func(rate *backend.Rate, now clock.Millis) float64 {
		factor, logarithm := rate.Factor(now)
		require.InDelta(t, math.Log(factor), logarithm, 1e-9)
		return factor
	}
	learned := func(logarithm float64, observations int) *backend.Rate {
		rate := &backend.Rate{}
		for range observations {
			rate.Observe(logarithm, noise, 1000)
		}
		return rate
	}
	t.Run("a new server is as fast as its pool", func(t *testing.T) { require.Equal(t, 1.0, factorOf(learned(0, 0), 1000)) })
	t.Run("many observations count nearly fully", func(t *testing.T) {
		require.InDelta(t, 1.6, factorOf(learned(math.Log(1.7), 40), 1000), 0.1)
		require.InDelta(t, 0.6, factorOf(learned(math.Log(0.55), 40), 1000), 0.1)
	})
	t.Run("one observation counts little", func(t *testing.T) { require.Less(t, factorOf(learned(math.Log(2), 1), 1000), 1.3) })
	t.Run("scattered observations count less", func(t *testing.T) {
		rate := &backend.Rate{}
		for range 6 {
			rate.Observe(math.Log(1.5), 1, 1000)
		}
		require.Less(t, factorOf(rate, 1000), factorOf(learned(math.Log(1.5), 6), 1000))
	})
	t.Run("a wrong observation doesn't move it far", func(t *testing.T) {
		rate := learned(0, 10)
		for _, wrong := range []float64{1e300, math.NaN(), math.Inf(1)} {
			rate.Observe(wrong, noise, 1000)
		}
		require.Less(t, factorOf(rate, 1000), 1.15)
	})
	t.Run("it ages back to the pool's", func(t *testing.T) {
		rate := learned(math.Log(2), 40)
		require.Greater(t, factorOf(rate, 1000), 1.7)
		require.Equal(t, 1.0, factorOf(rate, 1000+10*clock.Minute))
	})
	t.Run("a new start of a server begins at the pool's", func(t *testing.T) {
		fleet := backend.NewFleet()
		list := func(start clock.Millis) *backend.Server {
			registry := backend.NewRegistry(0)
			registry.Set(backend.NewEntry("s-1", "10.0.0.1:80", "lj-a", "pool", 1).WithStart(start), 0)
			fleet.Update(registry.List(0))
			return fleet.Current().Server("s-1")
		}
		for range 40 {
			list(7).Rate().Observe(1, noise, 1000)
		}
		require.Greater(t, factorOf(list(7).Rate(), 1000), 2.0)
		require.Equal(t, 1.0, factorOf(list(8).Rate(), 1000))
	})
}
