package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/standin/dutystandin"
	"sapphirehead/internal/standin/enginestandin"
	"sapphirehead/internal/standin/relay"
	"sapphirehead/internal/standin/storestandin"
)

// fault is a fault that is injected and undone later.
type fault struct {
	name   string
	inject func()
	undo   func()
}

func noop() {}

// relayDelay is the delay of each piece of data on a slow connection.
const relayDelay = 60 * clock.Millisecond

// drawFault returns the next fault of the seeded random sequence.
func (run *run) drawFault() fault {
	node := run.system.nodes[run.random.IntN(nodeCount)]
	engine := run.system.engines[run.random.IntN(len(run.system.engines))]
	choices := []func() fault{
		func() fault { return run.processFault(node) },
		func() fault { return run.storeFault(node) },
		func() fault { return run.watchFault(node) },
		func() fault { return run.linkFault("store's link of "+node.name, node.relay) },
		func() fault { return run.responseFault(engine) },
		func() fault { return run.engineLinkFault(engine) },
		func() fault { return run.engineReplacement(engine) },
		func() fault { return run.cloudFault() },
		func() fault { return fault{name: "configuration changes", inject: run.system.configure, undo: noop} },
	}
	return choices[run.random.IntN(len(choices))]()
}

// processFault kills, stops, reloads or pauses a node. A killed or stopped node is
// started again.
func (run *run) processFault(node *edgeNode) fault {
	switch run.random.IntN(4) {
	case 0:
		return fault{name: node.name + " is killed", inject: func() { run.system.restart(node, syscall.SIGKILL) }, undo: noop}
	case 1:
		return fault{name: node.name + " is stopped", inject: func() { run.system.restart(node, syscall.SIGTERM) }, undo: noop}
	case 2:
		return fault{name: node.name + " reloads", inject: func() { run.signal(node, syscall.SIGHUP) }, undo: noop}
	default:
		return fault{
			name:   node.name + " is paused",
			inject: func() { run.signal(node, syscall.SIGSTOP) },
			undo:   func() { run.signal(node, syscall.SIGCONT) },
		}
	}
}

// signal sends a signal to a process that may be about to be replaced.
func (run *run) signal(node *edgeNode, signal syscall.Signal) {
	// The process may just have ended; the fault that ended it starts it again.
	process := node.process.Load()
	if signal == syscall.SIGSTOP {
		run.system.disturbed.Store(process, true)
	}
	_ = process.Signal(signal)
}

// storeFault makes the store fail for one node, or for all.
func (run *run) storeFault(node *edgeNode) fault {
	faults := []storestandin.Fault{
		storestandin.FaultBusy, storestandin.FaultRateLimited, storestandin.FaultSilent, storestandin.FaultReset,
		storestandin.FaultLostResponse, storestandin.FaultDelayed,
	}
	kind := faults[run.random.IntN(len(faults))]
	nodes, scope := []*edgeNode{node}, node.name
	if run.random.IntN(3) == 0 {
		nodes, scope = run.system.nodes, "every node"
	}
	set := func(fault storestandin.Fault) {
		for _, each := range nodes {
			each.endpoint.SetFault(fault)
		}
	}
	return fault{
		name:   fmt.Sprintf("store fails %s (%d)", scope, kind),
		inject: func() { set(kind) },
		undo: func() {
			set(storestandin.FaultNone)
			run.system.store.ApplyDelayed()
		},
	}
}

// watchFault drops the store's history, closes watches, or mutes a node's watches.
func (run *run) watchFault(node *edgeNode) fault {
	switch run.random.IntN(3) {
	case 0:
		return fault{name: "store drops its history", inject: run.system.store.Compact, undo: noop}
	case 1:
		return fault{name: "store cuts watches", inject: run.system.store.CutWatches, undo: noop}
	default:
		return fault{
			name: "watches of " + node.name + " are muted", inject: func() { node.endpoint.MuteWatches(true) }, undo: func() { node.endpoint.MuteWatches(false) },
		}
	}
}

// linkFault cuts or silences the open connections of a relay, or slows all its
// connections down.
func (run *run) linkFault(name string, target *relay.Relay) fault {
	switch run.random.IntN(5) {
	case 0:
		return fault{name: name + " is cut", inject: func() { target.Cut() }, undo: noop}
	case 1:
		return fault{name: name + " is silent", inject: func() { target.Silence(relay.Both) }, undo: func() { target.Cut() }}
	case 2:
		return fault{name: name + " is silent one way", inject: func() { target.Silence(relay.ToTarget) }, undo: func() { target.Cut() }}
	case 3:
		return fault{name: name + " is silent back", inject: func() { target.Silence(relay.FromTarget) }, undo: func() { target.Cut() }}
	default:
		return fault{name: name + " is slow", inject: func() { target.Delay(relayDelay) }, undo: func() { target.Delay(0) }}
	}
}

func (run *run) engineLinkFault(engine *engine) fault {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return run.linkFault("link of "+engine.id, engine.relay)
}

// badResponseShare is the share of bad responses during a response fault.
const badResponseShare = 0.3

// responseFault makes a backend server send some bad responses of various kinds.
func (run *run) responseFault(engine *engine) fault {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	behaviours := []enginestandin.Behaviour{
		enginestandin.BehaviourRefuse, enginestandin.BehaviourFail, enginestandin.BehaviourBusy, enginestandin.BehaviourCut,
		enginestandin.BehaviourTruncate, enginestandin.BehaviourWrongRequest, enginestandin.BehaviourBreakStream, enginestandin.BehaviourGarbage,
		enginestandin.BehaviourExtra, enginestandin.BehaviourClose, enginestandin.BehaviourRefuseEarly, enginestandin.BehaviourSilent,
	}
	if engine.streams {
		// Excludes the behaviour with an extra response, which is plain and not a
		// stream, and the behaviours after it.
		behaviours = behaviours[:8]
	}
	// The order of requests is not deterministic, so they have a random source of
	// their own. Drawing from the run's source would make the faults irreproducible.
	random := rand.New(rand.NewPCG(run.random.Uint64(), 0))
	drawBehaviour := func() enginestandin.Behaviour {
		if random.Float64() < badResponseShare {
			return behaviours[random.IntN(len(behaviours))]
		}
		return enginestandin.BehaviourServe
	}
	standin := engine.standin
	return fault{
		name: engine.id + " sends bad responses", inject: func() { standin.SetBehaviourFunc(drawBehaviour) }, undo: func() { standin.SetBehaviourFunc(nil) },
	}
}

// engineReplacement drains or crashes a backend server and starts another in its
// place.
func (run *run) engineReplacement(engine *engine) fault {
	crash := run.random.IntN(2) == 0
	return fault{
		name: fmt.Sprintf("%s leaves (crash: %t)", engine.pool, crash),
		inject: func() {
			engine.mutex.Lock()
			id, oldRelay := engine.id, engine.relay
			if !crash {
				run.system.publishServer(engine, "draining")
			}
			engine.mutex.Unlock()
			if crash {
				oldRelay.Close()
			}
			if err := run.system.startEngine(engine); err != nil {
				run.tally.addViolation("engine does not start: %v", err)
			}
			// The server ends after the drain time of the node's settings.
			run.wait(drainTime)
			run.system.store.Remove("servers", id)
			oldRelay.Close()
		},
		undo: noop,
	}
}

// drainTime is the time that a leaving server keeps serving. It slightly exceeds the
// drain time of the node's settings.
const drainTime = 2500 * clock.Millisecond

// cloudFault makes the calls of leader tasks fail.
func (run *run) cloudFault() fault {
	faults := []dutystandin.Fault{dutystandin.FaultBusy, dutystandin.FaultRateLimited, dutystandin.FaultLostResponse, dutystandin.FaultDelayed}
	kind := faults[run.random.IntN(len(faults))]
	return fault{
		name: fmt.Sprintf("cloud fails (%d)", kind), inject: func() { run.system.duty.SetFault(kind) },
		undo: func() {
			run.system.duty.SetFault(dutystandin.FaultNone)
			run.system.duty.ApplyDelayed()
		},
	}
}
