package service_test

import (
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"sapphirehead/internal/clock"
)

// keys are two dated keys, created at 1,000 hours, and an undated one.
var keys = []string{"00000000-0000-7000-8000-000000000001", "0000d693-a400-7000-8000-000000000002", "0000d693-a400-7000-8000-000000000003", "renewal-17"}

// TestClaimsMachine drives three nodes whose calls to the store, to each other
// and to the service are lost, doubled, late or out of order, and whose
// processes are killed or paused between any two steps. The oracle is a count
// of runs for each key and the set of requests reported as not run.
func TestClaimsMachine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(bubble{TB: t}, func(rt *rapid.T) {
			world := newWorld(3)
			rt.Repeat(map[string]func(*rapid.T){
				"request": func(rt *rapid.T) { world.attempt(drawNode(rt, world), rapid.SampledFrom(keys).Draw(rt, "key")) },
				"step":    func(rt *rapid.T) { world.proceed(rt, fateDone) },
				"fault":   func(rt *rapid.T) { world.proceed(rt, fate(rapid.IntRange(0, int(fates)-1).Draw(rt, "fate"))) },
				"land":    func(rt *rapid.T) { world.land(rt) },
				"elect":   func(rt *rapid.T) { drawNode(rt, world).owner.Store(rapid.Int64Range(0, 2).Draw(rt, "owner")) },
				"kill":    func(rt *rapid.T) { drawNode(rt, world).kill() },
				"settle":  func(rt *rapid.T) { world.settle(drawNode(rt, world)) },
				"wait": func(rt *rapid.T) {
					world.manual.Advance(rapid.SampledFrom([]clock.Millis{10, 300, 2000, 25 * clock.Hour}).Draw(rt, "wait"))
				},
				"": func(rt *rapid.T) {
					synctest.Wait()
					require.Empty(rt, world.violations)
				},
			})
			world.recover(rt)
		})
	})
}

// bubble hides the deadline of a test, which synctest forbids to ask for.
type bubble struct{ rapid.TB }

func drawNode(rt *rapid.T, world *world) *claimNode {
	return world.nodes[rapid.IntRange(0, len(world.nodes)-1).Draw(rt, "node")]
}

func (world *world) proceed(rt *rapid.T, fate fate) {
	steps := world.waiting()
	if len(steps) == 0 {
		rt.Skip("no step waits")
	}
	world.decide(rapid.SampledFrom(steps).Draw(rt, "step"), fate)
}

func (world *world) land(rt *rapid.T) {
	if len(world.late) == 0 {
		rt.Skip("nothing is late")
	}
	index := rapid.IntRange(0, len(world.late)-1).Draw(rt, "late")
	late := world.late[index]
	world.late = append(world.late[:index], world.late[index+1:]...)
	late()
}

func (world *world) settle(node *claimNode) {
	world.spawn(func() { node.ledger.Settle(node.ctx) })
}

// recover ends all faults and checks what must then hold: a key that was
// reported as not run by processes still alive can run, and an answer that was
// given within the window is given again.
func (world *world) recover(rt *rapid.T) {
	world.quiesce(rt)
	for _, node := range world.nodes {
		for range 3 {
			world.settle(node)
			world.quiesce(rt)
		}
	}
	expired := world.manual.Now() >= 1_023*clock.Hour
	for i, key := range keys[1:] {
		ran := world.runs[key]
		world.attempt(world.nodes[i], key)
		world.quiesce(rt)
		if !world.doubtful[key] && !expired {
			require.Equal(rt, 1, world.runs[key], "key %s could not run after the faults ended; ran %d times before", key, ran)
		}
	}
	require.Empty(rt, world.violations)
	require.Zero(rt, world.runs[keys[0]], "an expired key ran")
}

// quiesce lets every step succeed until no request is in progress.
func (world *world) quiesce(rt *rapid.T) {
	const rounds = 10_000
	for range rounds {
		synctest.Wait()
		for len(world.waiting()) > 0 {
			world.decide(world.waiting()[0], fateDone)
			synctest.Wait()
		}
		if world.idle() {
			return
		}
		world.manual.Advance(50)
	}
	require.Fail(rt, "requests are still in progress")
}

func (world *world) idle() bool {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	return world.active == 0
}
