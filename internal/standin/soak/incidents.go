package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"

	"sapphirehead/internal/clock"
)

const (
	// fatalPart is the id of a prompt part that crashes model runners, fatalTarget the
	// path of a request that crashes application servers, and fatalShare the share of
	// chats and lookups that are fatal while such an incident is on.
	fatalPart   = "fatal"
	fatalTarget = "/look/fatal"
	fatalShare  = 0.3
	// restartTime is the time from a runner's crash to the start of its successor.
	restartTime = 500 * clock.Millisecond
	// sessions is the number of sessions that chats belong to.
	sessions = 3
	// crashBudget, lookBudget, contactTime and lateArrivals are the users' bounds: later
	// than contactTime after the crashBudget-th crash by the part, or the lookBudget-th by
	// the request, at most lateArrivals such requests reach servers.
	crashBudget  = 5
	lookBudget   = 3
	contactTime  = 3 * clock.Second
	lateArrivals = 3
	// incidentPause is the mean time between two incidents.
	incidentPause = 1500 * clock.Millisecond
	// restorePause is the mean time between two restores of the store, and maxCopyAge the
	// age of the copies.
	restorePause = 2500 * clock.Millisecond
	maxCopyAge   = 3 * clock.Second
	// maxStopPause is the longest time between the end of a stop in turn and the next one.
	maxStopPause = 1500 * clock.Millisecond
)

// limits are the limits that a backend server may name, in requests per second.
var limits = []string{"0", "0.5", "2.0", "10.0"}

// injectIncidents makes callers send fatal requests, and backend servers name limits,
// until the context ends. It has a random source of its own, so that the seeds of the
// other faults keep their order.
func (run *run) injectIncidents(ctx context.Context, random *rand.Rand) {
	for run.system.clock.Wait(ctx, clock.Millis(random.Int64N(2*int64(incidentPause)))) == nil {
		incident := run.drawIncident(random)
		run.reportLine(incident.name)
		incident.inject()
		// An end of the context undoes the incident early.
		_ = run.system.clock.Wait(ctx, clock.Millis(random.Int64N(int64(maxFaultTime))))
		incident.undo()
	}
}

// injectRestores restores the store from older copies until the context ends. What the
// nodes wrote since is lost; operator and servers write again.
func (run *run) injectRestores(ctx context.Context, random *rand.Rand) {
	for run.system.clock.Wait(ctx, clock.Millis(random.Int64N(2*int64(restorePause)))) == nil {
		older, age := run.system.store.Copy(), clock.Millis(random.Int64N(int64(maxCopyAge)))
		// An end of the context shortens the age.
		_ = run.system.clock.Wait(ctx, age)
		run.reportLine(fmt.Sprintf("store is restored from a copy of %d ms ago", age))
		run.system.store.Restore(older, "config", "servers")
	}
}

// injectStops stops the nodes in turn, and starts each one again, until the context ends.
func (run *run) injectStops(ctx context.Context, random *rand.Rand) {
	for next := 0; run.system.clock.Wait(ctx, clock.Millis(random.Int64N(int64(maxStopPause)))) == nil; next++ {
		node := run.system.nodes[next%nodeCount]
		run.reportLine(node.name + " is stopped in turn")
		run.system.restart(node, syscall.SIGTERM)
	}
}

func (run *run) drawIncident(random *rand.Rand) fault {
	switch random.IntN(4) {
	case 0:
		return fault{
			name:   "callers send the fatal request",
			inject: func() { run.system.fatalLooks.Store(true) }, undo: func() { run.system.fatalLooks.Store(false) },
		}
	case 1:
		return fault{
			name:   "callers send the fatal part",
			inject: func() { run.system.fatal.Store(true) }, undo: func() { run.system.fatal.Store(false) },
		}
	}
	engine, limit := run.system.engines[random.IntN(len(run.system.engines))], limits[random.IntN(len(limits))]
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	standin := engine.standin
	return fault{
		name:   fmt.Sprintf("%s names the limit %s", engine.id, limit),
		inject: func() { standin.SetNamedLimit(limit) }, undo: func() { standin.SetNamedLimit("") },
	}
}

// crashOnFatal makes the engine's current process crash on the fatal part, or on the
// fatal request if it is an application server: its connections end, and a successor
// starts under a new id. The engine must be locked.
func (system *system) crashOnFatal(engine *engine) {
	id, relay := engine.id, engine.relay
	var once sync.Once
	crash := func(crashes *atomic.Int64) func() {
		return func() {
			once.Do(func() {
				crashes.Add(1)
				system.audit.Go(func() { system.replaceCrashed(engine, id, relay.Close) })
			})
		}
	}
	if engine.streams {
		engine.standin.SetFatalPart(fatalPart, crash(&system.crashes))
	} else {
		engine.standin.SetFatalTarget(fatalTarget, crash(&system.lookCrashes))
	}
}

// replaceCrashed ends the connections of a crashed engine and starts its successor,
// unless another one was started meanwhile.
func (system *system) replaceCrashed(engine *engine, id string, end func()) {
	end()
	// The background context never ends, so the wait can't fail.
	_ = system.clock.Wait(context.Background(), restartTime)
	system.store.Remove("servers", id)
	engine.mutex.Lock()
	isCurrent := engine.id == id
	engine.mutex.Unlock()
	if !isCurrent {
		return
	}
	if err := system.startEngine(engine); err != nil {
		system.tally.addViolation("engine does not start after a crash: %v", err)
	}
}

// checkIncidents checks after the last fault that all nodes serve sound chats of each
// session, and that a known fatal part or request reaches no more than lateArrivals
// servers.
func (run *run) checkIncidents() {
	caller := newCaller(run.system, callerCount+1, true, run.random)
	defer caller.close()
	for _, node := range run.system.nodes {
		for session := range sessions {
			caller.session = session
			for end := run.system.clock.Now() + recoveryTimeout; !caller.call(context.Background(), node.process.Load(), kindChat); run.wait(100) {
				if run.system.clock.Now() > end {
					run.tally.addViolation("%s does not serve chats of session %d %d ms after the last fault", node.name, session, recoveryTimeout)
					break
				}
			}
		}
	}
	caller.isFatal = true
	run.checkFatal(caller, kindChat, &run.system.crashes, crashBudget)
	run.checkFatal(caller, kindLook, &run.system.lookCrashes, lookBudget)
}

// checkFatal checks that hardly any more fatal requests of the kind reach servers, if
// there were as many crashes as the budget.
func (run *run) checkFatal(caller *caller, kind kind, crashes *atomic.Int64, budget int64) {
	before := crashes.Load()
	if before < budget {
		return
	}
	run.wait(contactTime)
	for i := range 4 * lateArrivals {
		caller.call(context.Background(), run.system.nodes[i%nodeCount].process.Load(), kind)
	}
	if late := crashes.Load() - before; late > lateArrivals {
		run.tally.addViolation("%d fatal requests of kind %s %s reached servers later than %d ms after %d crashes", late, kind.method(), kind.path(), contactTime, before)
	}
}
