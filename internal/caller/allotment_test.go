package caller_test

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"sapphirehead/internal/caller"
	"sapphirehead/internal/clock"
)

func TestMeter(t *testing.T) {
	allotment := caller.NewAllotment(1000, 2000, 50, true)
	expectAdmitted := func(t *testing.T, meter *caller.Meter, tokens int, now clock.Millis, admitted bool) {
		t.Helper()
		err := meter.Admit(allotment, tokens, 1, 1, now)
		require.Equal(t, admitted, err == nil, "error %v", err)
	}
	t.Run("a new meter has the burst", func(t *testing.T) {
		meter := caller.NewMeter(allotment, 0)
		expectAdmitted(t, meter, 2000, 0, true)
		expectAdmitted(t, meter, 1, 0, false)
	})
	t.Run("the bucket refills at the rate", func(t *testing.T) {
		meter := caller.NewMeter(allotment, 0)
		expectAdmitted(t, meter, 2000, 0, true)
		expectAdmitted(t, meter, 1, 1, true)
		expectAdmitted(t, meter, 1, 1, false)
	})
	t.Run("a large request is admitted like a small one and leaves a debt", func(t *testing.T) {
		meter := caller.NewMeter(allotment, 0)
		expectAdmitted(t, meter, 1999, 0, true)
		expectAdmitted(t, meter, 5000, 0, true)
		expectAdmitted(t, meter, 1, 4998, false)
		expectAdmitted(t, meter, 1, 5001, true)
	})
	t.Run("peer usage counts", func(t *testing.T) {
		meter := caller.NewMeter(allotment, 0)
		meter.AddPeerUsage(allotment, 2000, 1, 0)
		expectAdmitted(t, meter, 1, 0, false)
		require.Zero(t, meter.Used())
	})
	t.Run("a refund restores the level and the usage", func(t *testing.T) {
		meter := caller.NewMeter(allotment, 0)
		expectAdmitted(t, meter, 2000, 0, true)
		meter.Refund(allotment, 2000, 1, 0)
		require.Zero(t, meter.Used())
		expectAdmitted(t, meter, 2000, 0, true)
	})
	t.Run("a request that runs once more is charged once more", func(t *testing.T) {
		meter := caller.NewMeter(allotment, 0)
		expectAdmitted(t, meter, 1500, 0, true)
		meter.Charge(allotment, 1500, 1, 0)
		require.Equal(t, int64(3000), meter.Used())
		expectAdmitted(t, meter, 1, 1000, false)
		expectAdmitted(t, meter, 1, 1001, true)
	})
	t.Run("no limit", func(t *testing.T) {
		meter := caller.NewMeter(caller.NewAllotment(0, 0, 1, false), 0)
		for range 100 {
			require.NoError(t, meter.Admit(caller.NewAllotment(0, 0, 1, false), 1_000_000, 1, 7, 0))
		}
	})
	t.Run("a request that states no tokens has the default cost", func(t *testing.T) {
		require.Equal(t, 50, allotment.Cost(0))
		require.Equal(t, 700, allotment.Cost(700))
		require.Equal(t, 1, caller.NewAllotment(10, 10, 1, false).Cost(700))
	})
}

// TestMeterOfNewProcess checks that a restarted process does not admit the burst
// a second time.
func TestMeterOfNewProcess(t *testing.T) {
	allotment := caller.NewAllotment(1000, 2000, 1, true)
	expectAdmitted := func(t *testing.T, meter *caller.Meter, now clock.Millis, wanted int64) {
		t.Helper()
		for range 10_000 {
			// Refused requests are not counted.
			_ = meter.Admit(allotment, 1, 1, 1, now)
		}
		require.Equal(t, wanted, meter.Used())
	}
	t.Run("full at the first start", func(t *testing.T) { expectAdmitted(t, caller.NewMeter(allotment, 0), 0, 2000) })
	t.Run("empty at a later one", func(t *testing.T) { expectAdmitted(t, caller.NewMeterSince(0, 0), 0, 0) })
	t.Run("the operators' slack at a later one", func(t *testing.T) { expectAdmitted(t, caller.NewMeterSince(0, 300), 0, 300) })
	t.Run("refilled since the start", func(t *testing.T) { expectAdmitted(t, caller.NewMeterSince(0, 0), 500, 500) })
	t.Run("up to the burst", func(t *testing.T) { expectAdmitted(t, caller.NewMeterSince(0, 300), 9000, 2000) })
}

// TestMetersOfNodes checks the bound over all nodes under a propagation delay: in
// any window, rate, burst and overshoot bound the admitted tokens, apart from the
// demand during the delay and one request for each node.
func TestMetersOfNodes(t *testing.T) {
	const propagationDelay, step, window = 200, 50, 8000
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(1_000, 20_000).Draw(t, "rate")
		overshoot := rapid.Float64Range(0, 100_000).Draw(t, "leeway")
		nodes := rapid.IntRange(1, 7).Draw(t, "nodes")
		cost := rapid.IntRange(300, 4000).Draw(t, "cost")
		pressure := rapid.Float64Range(0.5, 8).Draw(t, "pressure")
		choose := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		allotment := caller.NewAllotment(rate, rate, 1, true).WithOvershoot(0, overshoot)
		meters := make([]*caller.Meter, nodes)
		for i := range meters {
			meters[i] = caller.NewMeter(allotment, 0)
		}
		type update struct {
			at   clock.Millis
			node int
			used int64
		}
		var pending []update
		admitted := map[clock.Millis]int64{}
		demanded := 0.0
		for now := clock.Millis(0); now < 3*window; now += step {
			for len(pending) > 0 && pending[0].at <= now {
				for i := range meters {
					if i != pending[0].node {
						meters[i].AddPeerUsage(allotment, pending[0].used, 1, now)
					}
				}
				pending = pending[1:]
			}
			for demanded += pressure * rate * step / 1000; demanded >= float64(cost); demanded -= float64(cost) {
				node := choose.IntN(nodes)
				if meters[node].Admit(allotment, cost, 1, nodes, now) == nil {
					admitted[now] += int64(cost)
					pending = append(pending, update{at: now + propagationDelay, node: node, used: int64(cost)})
				}
			}
		}
		// During the propagation delay each node may admit its whole demand; the
		// reserve keeps tokens for that, but no more than the overshoot.
		excess := pressure*rate*propagationDelay/1000 + float64(nodes*cost)
		bound := rate*window/1000 + rate + overshoot + excess
		for start := clock.Millis(0); start < 2*window; start += 5 * step {
			sum := int64(0)
			for instant := start; instant < start+window; instant += step {
				sum += admitted[instant]
			}
			require.LessOrEqual(t, float64(sum), bound, "window from %d", start)
		}
	})
}

// burstLoad is the demand of one account at many nodes, which rises at once to a
// multiple of its allotment.
type burstLoad struct {
	nodes    int
	delay    clock.Millis
	perS     float64
	cost     int
	pressure float64
	calm     float64
}

// play lets the nodes admit the load for some seconds, calm for the first second, and
// returns the tokens admitted in each step.
func (load burstLoad) play(allotment caller.Allotment, step, length clock.Millis) []int64 {
	choose := rand.New(rand.NewPCG(7, 0))
	meters := make([]*caller.Meter, load.nodes)
	for i := range meters {
		meters[i] = caller.NewMeter(allotment, 0)
	}
	type update struct {
		at   clock.Millis
		node int
		used int64
	}
	var pending []update
	var admitted []int64
	demanded := 0.0
	for now := clock.Millis(0); now < length; now += step {
		for len(pending) > 0 && pending[0].at <= now {
			for i := range meters {
				if i != pending[0].node {
					meters[i].AddPeerUsage(allotment, pending[0].used, 1, now)
				}
			}
			pending = pending[1:]
		}
		pressure := load.pressure
		if now < clock.Second {
			pressure = load.calm
		}
		sum := int64(0)
		for demanded += pressure * load.perS * float64(step) / 1000; demanded >= float64(load.cost); demanded -= float64(load.cost) {
			node := choose.IntN(load.nodes)
			if meters[node].Admit(allotment, load.cost, 1, load.nodes, now) == nil {
				sum += int64(load.cost)
				pending = append(pending, update{at: now + load.delay, node: node, used: int64(load.cost)})
			}
		}
		admitted = append(admitted, sum)
	}
	return admitted
}

// TestBurstAtManyNodes checks the operators' bound when an account's demand rises at
// once at many nodes, which know each other's usage late, and that an account below
// its allotment gets all that it asks for.
func TestBurstAtManyNodes(t *testing.T) {
	const perS, burst, window, step = 700_000.0, 1_400_000.0, 8000, 20
	const operatorsShare, operatorsSlack = 0.1, 140_000.0
	play := func(load burstLoad) (highest, total int64) {
		allotment := caller.NewAllotment(perS, burst, 1, true).WithOvershoot(operatorsShare/2, operatorsSlack*0.6).WithDelay(load.delay)
		admitted := load.play(allotment, step, 3*window)
		for start := range admitted {
			sum := int64(0)
			for _, tokens := range admitted[start:min(len(admitted), start+window/step)] {
				sum += tokens
			}
			highest = max(highest, sum)
			total += admitted[start]
		}
		return highest, total
	}
	expectBound := func(t *testing.T, load burstLoad) {
		t.Helper()
		highest, _ := play(load)
		require.LessOrEqual(t, float64(highest), (perS*window/1000+burst)*(1+operatorsShare)+operatorsSlack)
	}
	expectServed := func(t *testing.T, load burstLoad) {
		t.Helper()
		_, total := play(load)
		require.InEpsilon(t, load.calm*perS*3*window/1000, float64(total), 0.01)
	}
	t.Run("68 nodes, 6 times the allotment", func(t *testing.T) {
		expectBound(t, burstLoad{nodes: 68, delay: 332, perS: perS, cost: 12_000, pressure: 6, calm: 0.5})
	})
	t.Run("68 nodes, 3 times the allotment", func(t *testing.T) {
		expectBound(t, burstLoad{nodes: 68, delay: 332, perS: perS, cost: 2_400, pressure: 3, calm: 0.5})
	})
	t.Run("295 nodes, 6 times the allotment", func(t *testing.T) {
		expectBound(t, burstLoad{nodes: 295, delay: 400, perS: perS, cost: 9_200, pressure: 6, calm: 0.5})
	})
	t.Run("below the allotment at 7 nodes", func(t *testing.T) {
		expectServed(t, burstLoad{nodes: 7, delay: 90, perS: perS, cost: 9_200, pressure: 0.7, calm: 0.7})
	})
	t.Run("below the allotment at 68 nodes", func(t *testing.T) {
		expectServed(t, burstLoad{nodes: 68, delay: 332, perS: perS, cost: 9_200, pressure: 0.7, calm: 0.7})
	})
	t.Run("below the allotment at 295 nodes", func(t *testing.T) {
		expectServed(t, burstLoad{nodes: 295, delay: 400, perS: perS, cost: 9_200, pressure: 0.7, calm: 0.7})
	})
}

func TestShutdownPolicy(t *testing.T) {
	policy := caller.NewShutdownPolicy(1000, 8300)
	const stream, plain = 15 * clock.Second, 800 * clock.Millisecond
	expectAdmits := func(t *testing.T, policy *caller.ShutdownPolicy, timeout, now clock.Millis, admits bool) {
		t.Helper()
		require.Equal(t, admits, policy.Admits(timeout != plain, now+timeout, now))
	}
	t.Run("a node that does not stop admits everything", func(t *testing.T) { expectAdmits(t, nil, stream, 99999, true) })
	t.Run("stream shortly after the start", func(t *testing.T) { expectAdmits(t, policy, stream, 3400, true) })
	t.Run("stream that would be cut", func(t *testing.T) { expectAdmits(t, policy, stream, 3500, false) })
	t.Run("a later stream that fits", func(t *testing.T) { expectAdmits(t, policy, 4*clock.Second, 3900, true) })
	t.Run("a stream in a short grace period", func(t *testing.T) { expectAdmits(t, caller.NewShutdownPolicy(1000, 2300), stream, 1500, false) })
	t.Run("plain request that fits", func(t *testing.T) { expectAdmits(t, policy, plain, 7100, true) })
	t.Run("plain request that does not fit", func(t *testing.T) { expectAdmits(t, policy, plain, 7300, false) })
}
