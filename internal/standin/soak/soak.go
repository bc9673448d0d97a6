// Package soak runs real edge processes between stand-ins on loopback. It injects
// faults into connections, processes, the store, the cloud and engines, in an order
// given by a seed, and checks the responses that callers receive against the
// requests that backend servers executed.
//
// Faults overlap, and nodes are stopped in turn. Meanwhile half of the callers keep using
// their open connections, so that a node waits out its grace period, or all open one for
// each request, so that it ends early. For example:
//
//	0.30 s  app-1.1 sends bad responses for 1210 ms
//	0.41 s  edge-2 is stopped for 350 ms
//	0.62 s  store fails edge-1 (2) for 1730 ms
//	...
//	9.04 s  all faults are undone
//
// After that, each node must serve within the recovery timeout.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"

	"sapphirehead/internal/clock"
)

const (
	// callerCount is the number of concurrent callers.
	callerCount = 12
	// incidentStream is the stream of the seed that incidents are drawn from.
	incidentStream = 1 << 32
	// restoreStream is the stream of the seed that restores of the store are drawn from.
	restoreStream = 2 << 32
	// stopStream is the stream of the seed that stops in turn are drawn from.
	stopStream = 3 << 32
	// meanFaultInterval is the mean time between the starts of two faults, and
	// maxFaultTime the longest duration of one: about three overlap.
	meanFaultInterval = 350 * clock.Millisecond
	maxFaultTime      = 2 * clock.Second
	// recoveryTimeout is the time after the last fault within which each node must
	// serve a request.
	recoveryTimeout = 12 * clock.Second
)

// Run starts a system from the programs in bin, injects faults for the duration, and
// returns the tally and the logs of the processes. It writes settings files to the
// folder and reports each fault. The error is about the run itself.
func Run(bin, folder string, seed uint64, duration clock.Millis, report func(line string)) (*Tally, string, error) {
	system, err := newSystem(bin, folder)
	if err != nil {
		return nil, "", err
	}
	defer system.close()
	run := &run{
		system: system, tally: system.tally, report: report, startedAt: system.clock.Now(),
		random: rand.New(rand.NewPCG(seed, seed)),
	}
	if err := system.startNodes(); err != nil {
		return nil, system.logs(), err
	}
	load, endLoad := context.WithCancel(context.Background())
	defer endLoad()
	var group sync.WaitGroup
	stops := rand.New(rand.NewPCG(seed, stopStream))
	keepers := stops.IntN(2) * callerCount / 2
	for i := range callerCount {
		caller := newCaller(system, i, i < keepers, rand.New(rand.NewPCG(seed, uint64(i))))
		group.Go(func() { caller.run(load) })
	}
	incidents, endIncidents := context.WithCancel(context.Background())
	defer endIncidents()
	group.Go(func() { run.injectIncidents(incidents, rand.New(rand.NewPCG(seed, incidentStream))) })
	group.Go(func() { run.injectRestores(incidents, rand.New(rand.NewPCG(seed, restoreStream))) })
	group.Go(func() { run.injectStops(incidents, stops) })
	run.injectFaults(duration)
	endIncidents()
	run.checkRecovery()
	run.checkLeaderTasks()
	run.checkIncidents()
	endLoad()
	group.Wait()
	system.checkRuns()
	return system.tally, system.logs(), nil
}

// checkLeaderTasks checks that a call of the leader tasks is accepted within the recovery
// timeout.
func (run *run) checkLeaderTasks() {
	before := run.tally.Count("duties")
	for end := run.system.clock.Now() + recoveryTimeout; run.tally.Count("duties") == before; run.wait(100) {
		if run.system.clock.Now() > end {
			run.tally.addViolation("no leader task runs %d ms after the last fault", recoveryTimeout)
			return
		}
	}
}

// run is one seeded sequence of faults.
type run struct {
	system       *system
	tally        *Tally
	report       func(line string)
	startedAt    clock.Millis
	random       *rand.Rand
	activeFaults sync.WaitGroup
}

// injectFaults injects faults until the duration is over and waits until all are
// undone.
func (run *run) injectFaults(duration clock.Millis) {
	for end := run.startedAt + duration; run.system.clock.Now() < end; {
		fault := run.drawFault()
		faultDuration := clock.Millis(run.random.Int64N(int64(maxFaultTime)))
		run.reportLine(fmt.Sprintf("%s for %d ms", fault.name, faultDuration))
		run.activeFaults.Go(func() {
			fault.inject()
			run.wait(faultDuration)
			fault.undo()
		})
		run.wait(clock.Millis(run.random.Int64N(2 * int64(meanFaultInterval))))
	}
	run.activeFaults.Wait()
	run.reportLine("all faults are undone")
}

func (run *run) wait(delay clock.Millis) {
	// The background context never ends, so the wait can't fail.
	_ = run.system.clock.Wait(context.Background(), delay)
}

func (run *run) reportLine(line string) {
	run.report(fmt.Sprintf("%6.2f s  %s", float64(run.system.clock.Now()-run.startedAt)/float64(clock.Second), line))
}

// checkRecovery checks that each node serves a booking within the recovery timeout.
func (run *run) checkRecovery() {
	caller := newCaller(run.system, callerCount, true, run.random)
	defer caller.close()
	for _, node := range run.system.nodes {
		for end := run.system.clock.Now() + recoveryTimeout; ; run.wait(100) {
			if caller.call(context.Background(), node.process.Load(), kindBook) {
				break
			}
			if run.system.clock.Now() > end {
				run.tally.addViolation("%s does not serve %d ms after the last fault", node.name, recoveryTimeout)
				break
			}
		}
	}
}
