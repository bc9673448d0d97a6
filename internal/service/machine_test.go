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

// TestClaimsMachine drives three nodes whose calls to the store, to each other and
// to the service are lost, duplicated, delayed or reordered, and whose processes
// are killed or paused between any two steps. In some runs the clock of the third
// node is 25.5 hours slow. The oracle is the number of runs for each key and the
// set of requests reported as not run.
func TestClaimsMachine(t *testing.T) {
	// A single thread makes runs with the same seed repeatable.
	threads := runtime.GOMAXPROCS(1)
	t.Cleanup(func() { runtime.GOMAXPROCS(threads) })
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(bubble{TB: t}, func(rt *rapid.T) {
			f := newFaultFixture(3, rapid.Bool().Draw(rt, "lateClock"))
			defer f.close()
			rt.Repeat(map[string]func(*rapid.T){
				"request": func(rt *rapid.T) { f.attempt(drawNode(rt, f), rapid.SampledFrom(f.keys()).Draw(rt, "key")) },
				"step":    func(rt *rapid.T) { f.proceed(rt, faultNone) },
				"steps":   func(rt *rapid.T) { f.proceedAll(rt) },
				"fault":   func(rt *rapid.T) { f.proceed(rt, fault(rapid.IntRange(0, int(faultCount)-1).Draw(rt, "fate"))) },
				"land":    func(rt *rapid.T) { f.deliverDelayed(rt) },
				"elect":   func(rt *rapid.T) { drawNode(rt, f).owner.Store(rapid.Int64Range(0, 2).Draw(rt, "owner")) },
				"kill":    func(rt *rapid.T) { drawNode(rt, f).kill() },
				"settle":  func(rt *rapid.T) { f.settle(drawNode(rt, f)) },
				"wait":    func(rt *rapid.T) { f.manual.Advance(rapid.Custom(drawWait).Draw(rt, "wait")) },
				"":        f.check,
			})
			f.recover(rt)
		})
	})
}

// drawWait returns a wait, rarely one of a whole name period.
func drawWait(rt *rapid.T) clock.Millis {
	return rapid.SampledFrom([]clock.Millis{10, 300, 2000, 10, 300, 2000, 300, namePeriod}).Draw(rt, "millis")
}

func (fixture *faultFixture) check(rt *rapid.T) {
	synctest.Wait()
	fixture.mutex.Lock()
	defer fixture.mutex.Unlock()
	require.Empty(rt, fixture.violations)
}

// bubble hides the deadline of a test, which must not be read within synctest.
type bubble struct{ rapid.TB }

func drawNode(rt *rapid.T, fixture *faultFixture) *claimNode {
	return fixture.nodes[rapid.IntRange(0, len(fixture.nodes)-1).Draw(rt, "node")]
}

func (fixture *faultFixture) proceed(rt *rapid.T, fault fault) {
	steps := fixture.waitingSteps()
	if len(steps) == 0 {
		rt.Skip("no step waits")
	}
	fixture.decide(rapid.SampledFrom(steps).Draw(rt, "step"), fault)
}

// proceedAll lets up to 12 steps succeed, including those that follow from them.
func (fixture *faultFixture) proceedAll(rt *rapid.T) {
	for range rapid.IntRange(1, 12).Draw(rt, "steps") {
		synctest.Wait()
		if steps := fixture.waitingSteps(); len(steps) > 0 {
			fixture.decide(steps[0], faultNone)
		}
	}
}

func (fixture *faultFixture) deliverDelayed(rt *rapid.T) {
	if len(fixture.delayed) == 0 {
		rt.Skip("nothing is late")
	}
	index := rapid.IntRange(0, len(fixture.delayed)-1).Draw(rt, "late")
	late := fixture.delayed[index]
	fixture.delayed = append(fixture.delayed[:index], fixture.delayed[index+1:]...)
	late()
}

func (fixture *faultFixture) settle(node *claimNode) {
	fixture.spawn(func() { node.ledger.RetryBacklog(node.ctx) })
}

// recover ends all faults and checks that each key has run exactly once after one
// more attempt, unless its outcome is unknown or it may have expired.
func (fixture *faultFixture) recover(rt *rapid.T) {
	fixture.quiesce(rt)
	fixture.check(rt)
	for _, node := range fixture.nodes {
		for range 3 {
			fixture.settle(node)
			fixture.quiesce(rt)
		}
	}
	for _, key := range fixture.keys() {
		fixture.attempt(fixture.nodes[0], key)
		fixture.quiesce(rt)
		fixture.check(rt)
		if !fixture.outcomeUnknown[key] && !fixture.mayHaveExpired(key) {
			require.Equal(rt, 1, fixture.runs[key], "key %s could not run after the faults ended", key)
		}
	}
}

// mayHaveExpired reports whether a node may treat the key as expired.
func (fixture *faultFixture) mayHaveExpired(key string) bool {
	_, dated := service.NewKey("garage", key).Created()
	if dated {
		return !slices.Contains(datedKeys(fixture.cycle()), key)
	}
	return fixture.slowClock || fixture.cycle() > 0
}

// close ends every process and waits for the end of all goroutines.
func (fixture *faultFixture) close() {
	for _, node := range fixture.nodes {
		node.cancel()
	}
	for !fixture.idle() {
		synctest.Wait()
		fixture.manual.Advance(clock.Second)
	}
}

// quiesce lets all steps succeed until no request is in progress.
func (fixture *faultFixture) quiesce(rt *rapid.T) {
	const rounds = 10_000
	for range rounds {
		synctest.Wait()
		for len(fixture.waitingSteps()) > 0 {
			fixture.decide(fixture.waitingSteps()[0], faultNone)
			synctest.Wait()
		}
		if fixture.idle() {
			return
		}
		fixture.manual.Advance(50)
	}
	require.Fail(rt, "requests are still in progress")
}

func (fixture *faultFixture) idle() bool {
	fixture.mutex.Lock()
	defer fixture.mutex.Unlock()
	return fixture.active == 0
}
