// Package chaos runs the real programs on loopback, sends them requests whose
// responses it checks, and injects faults meanwhile.
//
// The order of the faults depends on a seed, and their times on the number of
// finished requests, never on the clock. The result is a set of counts that must be
// zero. For example, with 2,000 requests and 18 faults, a fault is injected every 100
// requests and undone 130 requests later, so that it overlaps the next one:
//
//	requests  100  platform down
//	          200  entry host paused
//	          230  end of platform down
//	          300  operators race
//	          330  end of entry host paused
//
// Callers make use of the guarantees of the API: they repeat an idempotent request at
// another entry host after any error, and a booking under the same key.
package chaos

import (
	"context"
	"math/rand/v2"
	"os"

	"github.com/pkg/errors"

	"sapphirehead/internal/clock"
)

const (
	// runTimeout bounds the whole run.
	runTimeout = 20 * clock.Minute
	// faultDurationSlots is the share of a fault's slot after which it is put right.
	faultDurationSlots = 1.3
	// requiredHosts is the number of hosts that the stewards must start before the
	// load begins.
	requiredHosts = 3
)

// Run starts the programs in bin, sends the number of requests, injects every fault
// in an order given by the seed, and returns the tally. The error is about the run
// itself; logs are those of all processes.
func Run(bin string, requests int, seed uint64, report func(line string)) (tally *Tally, logs string, err error) {
	folder, err := os.MkdirTemp("", "sapphirehead-chaos")
	if err != nil {
		return nil, "", err
	}
	defer os.RemoveAll(folder)
	tally = newTally()
	system := newSystem(bin, folder)
	ctx, cancel := system.clock.WithTimeout(context.Background(), runTimeout)
	defer cancel()
	err = system.start(ctx)
	if err == nil {
		err = system.run(ctx, tally, requests, seed, report)
	}
	logs = system.harness.Logs()
	for _, name := range system.close() {
		tally.add(countProcessesLeft, "%s", name)
	}
	return tally, logs, err
}

func (system *system) run(ctx context.Context, tally *Tally, requests int, seed uint64, report func(line string)) error {
	err := system.await(ctx, "the stewards did not start enough hosts", func(ctx context.Context) bool {
		hosts, err := system.cloudHosts(ctx)
		return err == nil && len(hosts) >= requiredHosts
	})
	if err != nil {
		return err
	}
	load := newLoad(system, tally, requests)
	injector := &injector{
		system: system, operators: newOperators(system, tally), random: rand.New(rand.NewPCG(seed, seed)), versions: newVersions(), tally: tally,
	}
	ended := make(chan struct{})
	go func() {
		load.run(ctx)
		close(ended)
	}()
	err = injector.runEvents(ctx, load, requests, report)
	<-ended
	if err != nil {
		return err
	}
	if err := injector.operators.checkTables(ctx); err != nil {
		return err
	}
	injector.versions.check(ctx, system, tally)
	return load.checkRuns(ctx)
}

// event is the beginning or the end of a fault.
type event struct {
	at   int
	name string
	run  func(ctx context.Context) error
}

// schedule spreads the faults evenly over the requests and returns their events in
// order. A fault overlaps the next one, unless one of them stops the platform's
// stand-in and the other one calls it: then it ends just before the next one begins.
func schedule(faults []fault, requests int) []event {
	slot := requests / (len(faults) + 2)
	var begins, ends, events []event
	for i, fault := range faults {
		begin := (i + 1) * slot
		end := begin + int(faultDurationSlots*float64(slot))
		if i+1 < len(faults) && fault.excludes(faults[i+1]) {
			end = begin + slot - 1
		}
		begins = append(begins, event{at: begin, name: fault.name, run: fault.inject})
		ends = append(ends, event{at: end, name: "end of " + fault.name, run: fault.undo})
	}
	for len(ends) > 0 {
		if len(begins) > 0 && begins[0].at <= ends[0].at {
			events, begins = append(events, begins[0]), begins[1:]
			continue
		}
		events, ends = append(events, ends[0]), ends[1:]
	}
	return events
}

// runEvents runs each event once its number of requests has finished.
func (injector *injector) runEvents(ctx context.Context, load *load, requests int, report func(line string)) error {
	finished := 0
	for _, event := range schedule(injector.faults(), requests) {
		for finished < event.at {
			select {
			case <-load.done:
				finished++
			case <-ctx.Done():
				return errors.Wrap(ctx.Err(), "wait for requests to finish")
			}
		}
		report(event.name)
		if err := event.run(ctx); err != nil {
			return errors.Wrap(err, event.name)
		}
		injector.versions.check(ctx, injector.system, injector.tally)
	}
	return nil
}
