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
	induce func()
	heal   func()
}

func nothing() {}

// relayDelay holds back each piece of data of a slow connection.
const relayDelay = 60 * clock.Millisecond

// draw returns the next fault by the seed.
func (run *run) draw() fault {
	node := run.system.nodes[run.random.IntN(nodeCount)]
	engine := run.system.engines[run.random.IntN(len(run.system.engines))]
	families := []func() fault{
		func() fault { return run.process(node) },
		func() fault { return run.storeRefuses(node) },
		func() fault { return run.storeHistory(node) },
		func() fault { return run.link("store's link of "+node.name, node.relay) },
		func() fault { return run.engineAnswers(engine) },
		func() fault { return run.engineLink(engine) },
		func() fault { return run.engineLeaves(engine) },
		func() fault { return run.cloud() },
		func() fault { return fault{name: "configuration changes", induce: run.system.configure, heal: nothing} },
	}
	return families[run.random.IntN(len(families))]()
}

// process kills, stops or pauses a node. One that was killed or stopped starts
// again.
func (run *run) process(node *host) fault {
	switch run.random.IntN(4) {
	case 0:
		return fault{name: node.name + " is killed", induce: func() { run.system.restart(node, syscall.SIGKILL) }, heal: nothing}
	case 1:
		return fault{name: node.name + " is stopped", induce: func() { run.system.restart(node, syscall.SIGTERM) }, heal: nothing}
	case 2:
		return fault{name: node.name + " reloads", induce: func() { run.signal(node, syscall.SIGHUP) }, heal: nothing}
	default:
		return fault{
			name:   node.name + " is paused",
			induce: func() { run.signal(node, syscall.SIGSTOP) },
			heal:   func() { run.signal(node, syscall.SIGCONT) },
		}
	}
}

// signal sends a signal to a process that may be about to be replaced.
func (run *run) signal(node *host, signal syscall.Signal) {
	// A process that has just ended is started again by whoever ended it.
	_ = node.process.Load().Signal(signal)
}

// storeRefuses lets the store fail for one node, or for all.
func (run *run) storeRefuses(node *host) fault {
	faults := []storestandin.Fault{
		storestandin.FaultBusy, storestandin.FaultRate, storestandin.FaultSilent, storestandin.FaultReset,
		storestandin.FaultLost, storestandin.FaultLate,
	}
	kind := faults[run.random.IntN(len(faults))]
	nodes, who := []*host{node}, node.name
	if run.random.IntN(3) == 0 {
		nodes, who = run.system.nodes, "every node"
	}
	set := func(fault storestandin.Fault) {
		for _, each := range nodes {
			each.door.Break(fault)
		}
	}
	return fault{
		name:   fmt.Sprintf("store fails %s (%d)", who, kind),
		induce: func() { set(kind) },
		heal: func() {
			set(storestandin.FaultNone)
			run.system.store.Settle()
		},
	}
}

// storeHistory lets watches miss their history or what they wait for.
func (run *run) storeHistory(node *host) fault {
	switch run.random.IntN(3) {
	case 0:
		return fault{name: "store drops its history", induce: run.system.store.Compact, heal: nothing}
	case 1:
		return fault{name: "store cuts watches", induce: run.system.store.CutWatches, heal: nothing}
	default:
		return fault{
			name: "watches of " + node.name + " hear nothing", induce: func() { node.door.Mute(true) }, heal: func() { node.door.Mute(false) },
		}
	}
}

// link breaks the open connections of a relay, or slows all.
func (run *run) link(name string, through *relay.Relay) fault {
	switch run.random.IntN(5) {
	case 0:
		return fault{name: name + " is cut", induce: func() { through.Cut() }, heal: nothing}
	case 1:
		return fault{name: name + " is silent", induce: func() { through.Silence(relay.Both) }, heal: func() { through.Cut() }}
	case 2:
		return fault{name: name + " is silent one way", induce: func() { through.Silence(relay.ToTarget) }, heal: func() { through.Cut() }}
	case 3:
		return fault{name: name + " is silent back", induce: func() { through.Silence(relay.FromTarget) }, heal: func() { through.Cut() }}
	default:
		return fault{name: name + " is slow", induce: func() { through.Delay(relayDelay) }, heal: func() { through.Delay(0) }}
	}
}

func (run *run) engineLink(engine *engine) fault {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return run.link("link of "+engine.id, engine.relay)
}

// badShare is the share of answers that are bad while a server answers badly.
const badShare = 0.3

// engineAnswers lets some of a backend server's answers be bad in various ways.
func (run *run) engineAnswers(engine *engine) fault {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	all := []enginestandin.Manner{
		enginestandin.MannerRefuse, enginestandin.MannerFail, enginestandin.MannerBusy, enginestandin.MannerCut,
		enginestandin.MannerTruncate, enginestandin.MannerForeign, enginestandin.MannerBreakStream, enginestandin.MannerGarbage,
		enginestandin.MannerExtra, enginestandin.MannerLeave, enginestandin.MannerEarly, enginestandin.MannerSilent,
	}
	if engine.streams {
		// A plain second answer is no stream.
		all = all[:8]
	}
	// Requests come in an order of their own, so they draw from a source of their own.
	random := rand.New(rand.NewPCG(run.random.Uint64(), 0))
	draw := func() enginestandin.Manner {
		if random.Float64() < badShare {
			return all[random.IntN(len(all))]
		}
		return enginestandin.MannerServe
	}
	standin := engine.standin
	return fault{
		name: engine.id + " answers badly", induce: func() { standin.SetBehaviourFunc(draw) }, heal: func() { standin.SetBehaviourFunc(nil) },
	}
}

// engineLeaves drains a backend server, or lets it crash, and starts another.
func (run *run) engineLeaves(engine *engine) fault {
	crash := run.random.IntN(2) == 0
	return fault{
		name: fmt.Sprintf("%s leaves (crash: %t)", engine.pool, crash),
		induce: func() {
			engine.mutex.Lock()
			id, through := engine.id, engine.relay
			if !crash {
				run.system.list(engine, "draining")
			}
			engine.mutex.Unlock()
			if crash {
				through.Close()
			}
			if err := run.system.startEngine(engine); err != nil {
				run.tally.violate("engine does not start: %v", err)
			}
			// The drain bound of the settings passes before the server ends.
			run.wait(drainTime)
			run.system.store.Remove("servers", id)
			through.Close()
		},
		heal: nothing,
	}
}

// drainTime is how long a leaving server serves on: the drain bound and a little.
const drainTime = 2500 * clock.Millisecond

// cloud lets calls of the duties fail.
func (run *run) cloud() fault {
	faults := []dutystandin.Fault{dutystandin.FaultBusy, dutystandin.FaultRate, dutystandin.FaultLost, dutystandin.FaultLate}
	kind := faults[run.random.IntN(len(faults))]
	return fault{
		name: fmt.Sprintf("cloud fails (%d)", kind), induce: func() { run.system.duty.Break(kind) },
		heal: func() {
			run.system.duty.Break(dutystandin.FaultNone)
			run.system.duty.Settle()
		},
	}
}
