package placement_test

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/placement"
)

// engineLoad plays prompts on an engine with a known speed. Of the prompts, some wait
// behind others that this node does not know of, and some are cached, although they
// were expected not to be.
type engineLoad struct {
	random    *rand.Rand
	rate      float64
	gap       float64
	waiting   float64
	cached    float64
	decoding  float64
	minTokens int
	maxTokens int
}

func newEngineLoad(rate float64) *engineLoad {
	return &engineLoad{
		random: rand.New(rand.NewPCG(1, 2)), rate: rate, gap: 18, waiting: 0.3, cached: 0.03, decoding: 0.15, minTokens: 400, maxTokens: 6000,
	}
}

// play lets the speed observe a number of prompts and their streams.
func (load *engineLoad) play(speed *placement.Speed, prompts int) {
	for range prompts {
		tokens := load.minTokens + load.random.IntN(load.maxTokens-load.minTokens)
		read := float64(tokens)
		if load.random.Float64() < load.cached {
			read *= load.random.Float64()
		}
		decoding := load.decoding * (0.7 + 0.6*load.random.Float64())
		elapsed := load.gap + read/load.rate/(1-decoding) + 3*load.random.Float64()
		if load.random.Float64() < load.waiting {
			elapsed += 200 * load.random.Float64()
		}
		speed.ObserveFirstEvent(tokens, clock.Millis(elapsed))
		const events = 12
		speed.ObserveStream(clock.Millis(elapsed), clock.Millis(elapsed+(events-1)*load.gap), events)
	}
}

// TestPrefillRate checks that the learned rate is near the true one.
func TestPrefillRate(t *testing.T) {
	const tolerance = 0.2
	expectLearned := func(t *testing.T, load *engineLoad, prompts int) {
		t.Helper()
		speed := placement.NewSpeed()
		load.play(speed, prompts)
		require.InEpsilon(t, load.rate, speed.PrefillRate(), tolerance)
	}
	for name, rate := range map[string]float64{"10 tokens/ms": 10, "20 tokens/ms": 20, "38 tokens/ms": 38.1, "66 tokens/ms": 66.2, "120 tokens/ms": 120} {
		t.Run(name, func(t *testing.T) { expectLearned(t, newEngineLoad(rate), 300) })
	}
	t.Run("within the first seconds", func(t *testing.T) { expectLearned(t, newEngineLoad(66.2), 80) })
	t.Run("cold caches and many unknown queues", func(t *testing.T) {
		load := newEngineLoad(66.2)
		load.waiting = 0.6
		expectLearned(t, load, 600)
	})
	t.Run("engines are replaced by faster ones", func(t *testing.T) {
		speed, slow, fast := placement.NewSpeed(), newEngineLoad(20), newEngineLoad(80)
		slow.play(speed, 500)
		fast.play(speed, 300)
		require.InEpsilon(t, fast.rate, speed.PrefillRate(), tolerance)
	})
	t.Run("engines are replaced by slower ones", func(t *testing.T) {
		speed, slow, fast := placement.NewSpeed(), newEngineLoad(20), newEngineLoad(80)
		fast.play(speed, 500)
		slow.play(speed, 1500)
		require.InEpsilon(t, slow.rate, speed.PrefillRate(), tolerance)
	})
	t.Run("absurd observations", func(t *testing.T) {
		speed, load := placement.NewSpeed(), newEngineLoad(38.1)
		load.play(speed, 500)
		before := speed.PrefillRate()
		speed.ObserveFirstEvent(1<<40, 1)
		speed.ObserveFirstEvent(1<<40, 1<<40)
		speed.ObserveFirstEvent(-1, -1)
		speed.ObserveStream(5, 1, 1)
		speed.ObserveStream(1, 5, 0)
		require.InEpsilon(t, before, speed.PrefillRate(), 0.03)
	})
}

// TestMeanTimes checks the learned times of streams and responses.
func TestMeanTimes(t *testing.T) {
	speed := placement.NewSpeed()
	for range 200 {
		speed.ObserveStream(100, 3300, 20)
		speed.ObserveResponse(500)
	}
	require.InEpsilon(t, 3300.0/32, speed.SlotWaitMillis(32), 0.05)
	require.InEpsilon(t, 500.0, speed.ResponseMillis(), 0.05)
}
