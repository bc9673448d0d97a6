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
	// callers is the number of callers that send one request after the other.
	callers = 12
	// faultGap is the mean time between the beginnings of two faults, and faultTime
	// the longest time that one lasts: about three overlap.
	faultGap  = 350 * clock.Millisecond
	faultTime = 2 * clock.Second
	// recovery is the time after the last fault within which every node serves.
	recovery = 12 * clock.Second
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
		system: system, tally: system.tally, report: report, begun: system.clock.Now(),
		random: rand.New(rand.NewPCG(seed, seed)),
	}
	if err := system.startNodes(); err != nil {
		return nil, system.logs(), err
	}
	load, endLoad := context.WithCancel(context.Background())
	defer endLoad()
	var group sync.WaitGroup
	for i := range callers {
		caller := newCaller(system, i, rand.New(rand.NewPCG(seed, uint64(i))))
		group.Go(func() { caller.run(load) })
	}
	run.breakFor(duration)
	run.awaitRecovery()
	endLoad()
	group.Wait()
	system.checkRuns()
	return system.tally, system.logs(), nil
}

// run is one seeded course of faults.
type run struct {
	system *system
	tally  *Tally
	report func(line string)
	begun  clock.Millis
	random *rand.Rand
	active sync.WaitGroup
}

// breakFor induces faults until the duration is over and waits until all are
// healed.
func (run *run) breakFor(duration clock.Millis) {
	for end := run.begun + duration; run.system.clock.Now() < end; {
		fault := run.draw()
		lasts := clock.Millis(run.random.Int64N(int64(faultTime)))
		run.say(fmt.Sprintf("%s for %d ms", fault.name, lasts))
		run.active.Go(func() {
			fault.induce()
			run.wait(lasts)
			fault.heal()
		})
		run.wait(clock.Millis(run.random.Int64N(2 * int64(faultGap))))
	}
	run.active.Wait()
	run.say("everything is healed")
}

func (run *run) wait(delay clock.Millis) {
	// The background context never ends, so the wait can't fail.
	_ = run.system.clock.Wait(context.Background(), delay)
}

func (run *run) say(line string) {
	run.report(fmt.Sprintf("%6.2f s  %s", float64(run.system.clock.Now()-run.begun)/float64(clock.Second), line))
}

// awaitRecovery checks that each node serves a booking within the recovery time.
func (run *run) awaitRecovery() {
	caller := newCaller(run.system, callers, run.random)
	defer caller.close()
	for _, node := range run.system.nodes {
		for end := run.system.clock.Now() + recovery; ; run.wait(100) {
			if caller.call(context.Background(), node.address(), kindBook) {
				break
			}
			if run.system.clock.Now() > end {
				run.tally.violate("%s does not serve %d ms after the last fault", node.name, recovery)
				break
			}
		}
	}
}
