package service_test

import (
	"runtime"
	"slices"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/service"
)

// TestClaimsMachine drives three nodes whose calls to the store, to each other
// and to the service are lost, doubled, late or out of order, and whose
// processes are killed or paused between any two steps. In some runs the clock
// of the third node is days late. The oracle is a count of runs for each key
// and the set of requests reported as not run.
func TestClaimsMachine(t *testing.T) {
	// One thread, so that a seed gives the same run again.
	threads := runtime.GOMAXPROCS(1)
	t.Cleanup(func() { runtime.GOMAXPROCS(threads) })
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(bubble{TB: t}, func(rt *rapid.T) {
			world := newWorld(3, rapid.Bool().Draw(rt, "lateClock"))
			defer world.close()
			rt.Repeat(map[string]func(*rapid.T){
				"request": func(rt *rapid.T) { world.attempt(drawNode(rt, world), rapid.SampledFrom(world.keys()).Draw(rt, "key")) },
				"step":    func(rt *rapid.T) { world.proceed(rt, fateDone) },
				"steps":   func(rt *rapid.T) { world.proceedAll(rt) },
				"fault":   func(rt *rapid.T) { world.proceed(rt, fate(rapid.IntRange(0, int(fates)-1).Draw(rt, "fate"))) },
				"land":    func(rt *rapid.T) { world.land(rt) },
				"elect":   func(rt *rapid.T) { drawNode(rt, world).owner.Store(rapid.Int64Range(0, 2).Draw(rt, "owner")) },
				"kill":    func(rt *rapid.T) { drawNode(rt, world).kill() },
				"settle":  func(rt *rapid.T) { world.settle(drawNode(rt, world)) },
				"wait":    func(rt *rapid.T) { world.manual.Advance(rapid.Custom(drawWait).Draw(rt, "wait")) },
				"":        world.check,
			})
			world.recover(rt)
		})
	})
}

// drawWait returns a wait, seldom one for a whole ring of buckets.
func drawWait(rt *rapid.T) clock.Millis {
	return rapid.SampledFrom([]clock.Millis{10, 300, 2000, 10, 300, 2000, 300, ring}).Draw(rt, "millis")
}

func (world *world) check(rt *rapid.T) {
	synctest.Wait()
	world.mutex.Lock()
	defer world.mutex.Unlock()
	require.Empty(rt, world.violations)
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

// proceedAll lets what waits now succeed, and what follows from it.
func (world *world) proceedAll(rt *rapid.T) {
	for range rapid.IntRange(1, 12).Draw(rt, "steps") {
		synctest.Wait()
		if steps := world.waiting(); len(steps) > 0 {
			world.decide(steps[0], fateDone)
		}
	}
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
	world.spawn(func() { node.ledger.RetryBacklog(node.ctx) })
}

// recover ends all faults and checks what must then hold: a key that was
// reported as not run by processes still alive can run.
func (world *world) recover(rt *rapid.T) {
	world.quiesce(rt)
	world.check(rt)
	for _, node := range world.nodes {
		for range 3 {
			world.settle(node)
			world.quiesce(rt)
		}
	}
	for _, key := range world.keys() {
		world.attempt(world.nodes[0], key)
		world.quiesce(rt)
		world.check(rt)
		if !world.doubtful[key] && !world.mayHaveExpired(key) {
			require.Equal(rt, 1, world.runs[key], "key %s could not run after the faults ended", key)
		}
	}
}

// mayHaveExpired reports whether a node may take the key for an expired one.
func (world *world) mayHaveExpired(key string) bool {
	_, dated := service.NewKey("garage", key).Created()
	if dated {
		return !slices.Contains(datedKeys(world.day()), key)
	}
	return world.lateClock || world.day() > 0
}

// close ends every process, so that no goroutine is left.
func (world *world) close() {
	for _, node := range world.nodes {
		node.end()
	}
	for !world.idle() {
		synctest.Wait()
		world.manual.Advance(clock.Second)
	}
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
