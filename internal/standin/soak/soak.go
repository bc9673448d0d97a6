// Package soak runs real edge processes between stand-ins on loopback, breaks
// connections, processes, store, cloud and engines in an order given by a seed,
// and checks what callers and backend servers see while it does so.
//
// Faults come in series and overlap. Callers go on using their connections until
// the process at the other end is gone:
//
//	0.3 s  engine app-1: answers broken
//	0.4 s  node edge-2: stop and start again
//	0.6 s  store refuses edge-1 (429)
//	...
//	9.0 s  everything is healed, each node must serve within the recovery time
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"

	"sapphirehead/internal/clock"
)

const (
	// callerCount is the number of callers that send one request after the other.
	callerCount = 12
	// meanFaultInterval is the mean time between the beginnings of two faults, and faultTime
	// the longest time that one lasts: about three overlap.
	meanFaultInterval = 350 * clock.Millisecond
	maxFaultTime      = 2 * clock.Second
	// recoveryTimeout is the time after the last fault within which every node serves.
	recoveryTimeout = 12 * clock.Second
)

// Run starts a system from the programs in bin, breaks it for the duration and
// returns what was seen and the processes' logs. Settings files go to the folder.
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
	for i := range callerCount {
		caller := newCaller(system, i, rand.New(rand.NewPCG(seed, uint64(i))))
		group.Go(func() { caller.run(load) })
	}
	run.injectFaults(duration)
	run.checkRecovery()
	endLoad()
	group.Wait()
	system.checkRuns()
	return system.tally, system.logs(), nil
}

// run is one seeded course of faults.
type run struct {
	system       *system
	tally        *Tally
	report       func(line string)
	startedAt    clock.Millis
	random       *rand.Rand
	activeFaults sync.WaitGroup
}

// injectFaults induces faults until the duration is over and waits until all are
// healed.
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
	run.reportLine("everything is healed")
}

func (run *run) wait(delay clock.Millis) {
	// The background context never ends, so the wait can't fail.
	_ = run.system.clock.Wait(context.Background(), delay)
}

func (run *run) reportLine(line string) {
	run.report(fmt.Sprintf("%6.2f s  %s", float64(run.system.clock.Now()-run.startedAt)/float64(clock.Second), line))
}

// checkRecovery checks that each node serves a booking within the recovery time.
func (run *run) checkRecovery() {
	caller := newCaller(run.system, callerCount, run.random)
	defer caller.close()
	for _, node := range run.system.nodes {
		for end := run.system.clock.Now() + recoveryTimeout; ; run.wait(100) {
			if caller.call(context.Background(), node.address(), kindBook) {
				break
			}
			if run.system.clock.Now() > end {
				run.tally.addViolation("%s does not serve %d ms after the last fault", node.name, recoveryTimeout)
				break
			}
		}
	}
}
