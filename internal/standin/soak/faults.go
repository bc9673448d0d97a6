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

// fault is one thing that goes wrong and is put right later.
type fault struct {
	name   string
	inject func()
	undo   func()
}

func noop() {}

// relayDelay holds back each piece of data of a slow connection.
const relayDelay = 60 * clock.Millisecond

// drawFault returns the next fault by the seed.
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

// processFault kills, stops or pauses a node. One that was killed or stopped starts
// again.
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
	// A process that has just ended is started again by whoever ended it.
	_ = node.process.Load().Signal(signal)
}

// storeFault lets the store fail for one node, or for all.
func (run *run) storeFault(node *edgeNode) fault {
	faults := []storestandin.Fault{
		storestandin.FaultBusy, storestandin.FaultRate, storestandin.FaultSilent, storestandin.FaultReset,
		storestandin.FaultLost, storestandin.FaultLate,
	}
	kind := faults[run.random.IntN(len(faults))]
	nodes, scope := []*edgeNode{node}, node.name
	if run.random.IntN(3) == 0 {
		nodes, scope = run.system.nodes, "every node"
	}
	set := func(fault storestandin.Fault) {
		for _, each := range nodes {
			each.door.Break(fault)
		}
	}
	return fault{
		name:   fmt.Sprintf("store fails %s (%d)", scope, kind),
		inject: func() { set(kind) },
		undo: func() {
			set(storestandin.FaultNone)
			run.system.store.Settle()
		},
	}
}

// watchFault lets watches miss their history or what they wait for.
func (run *run) watchFault(node *edgeNode) fault {
	switch run.random.IntN(3) {
	case 0:
		return fault{name: "store drops its history", inject: run.system.store.Compact, undo: noop}
	case 1:
		return fault{name: "store cuts watches", inject: run.system.store.CutWatches, undo: noop}
	default:
		return fault{
			name: "watches of " + node.name + " hear nothing", inject: func() { node.door.Mute(true) }, undo: func() { node.door.Mute(false) },
		}
	}
}

// linkFault breaks the open connections of a relay, or slows all.
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

// badResponseShare is the share of answers that are bad while a server answers badly.
const badResponseShare = 0.3

// responseFault lets some of a backend server's answers be bad in various ways.
func (run *run) responseFault(engine *engine) fault {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	behaviours := []enginestandin.Manner{
		enginestandin.MannerRefuse, enginestandin.MannerFail, enginestandin.MannerBusy, enginestandin.MannerCut,
		enginestandin.MannerTruncate, enginestandin.MannerForeign, enginestandin.MannerBreakStream, enginestandin.MannerGarbage,
		enginestandin.MannerExtra, enginestandin.MannerLeave, enginestandin.MannerEarly, enginestandin.MannerSilent,
	}
	if engine.streams {
		// A plain second answer is no stream.
		behaviours = behaviours[:8]
	}
	// Requests come in an order of their own, so they draw from a source of their own.
	random := rand.New(rand.NewPCG(run.random.Uint64(), 0))
	drawBehaviour := func() enginestandin.Manner {
		if random.Float64() < badResponseShare {
			return behaviours[random.IntN(len(behaviours))]
		}
		return enginestandin.MannerServe
	}
	standin := engine.standin
	return fault{
		name: engine.id + " answers badly", inject: func() { standin.SetBehaviourFunc(drawBehaviour) }, undo: func() { standin.SetBehaviourFunc(nil) },
	}
}

// engineReplacement drains a backend server, or lets it crash, and starts another.
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
			// The drain bound of the settings passes before the server ends.
			run.wait(drainTime)
			run.system.store.Remove("servers", id)
			oldRelay.Close()
		},
		undo: noop,
	}
}

// drainTime is how long a leaving server serves on: the drain bound and a little.
const drainTime = 2500 * clock.Millisecond

// cloudFault lets calls of the duties fail.
func (run *run) cloudFault() fault {
	faults := []dutystandin.Fault{dutystandin.FaultBusy, dutystandin.FaultRate, dutystandin.FaultLost, dutystandin.FaultLate}
	kind := faults[run.random.IntN(len(faults))]
	return fault{
		name: fmt.Sprintf("cloud fails (%d)", kind), inject: func() { run.system.duty.Break(kind) },
		undo: func() {
			run.system.duty.Break(dutystandin.FaultNone)
			run.system.duty.Settle()
		},
	}
}
