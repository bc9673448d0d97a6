package demo

import (
	_ "embed"

	"github.com/pkg/errors"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/standin/harness"
)

//go:embed tables.toml
var tablesFile string

// grace is the grace period of entry-a and entry-b.
const grace = 20 * clock.Second

// system is the set of processes of the demonstration.
type system struct {
	harness  *harness.Harness
	platform *harness.Process
	cloud    *harness.Process
	weights  *harness.Process
	runnerA  *harness.Process
	runnerB  *harness.Process
	booking  *harness.Process
	entryA   *harness.Process
	entryB   *harness.Process
}

func newSystem(bin, folder string) *system {
	return &system{harness: harness.New(bin, folder, clock.System())}
}

func (system *system) start() error {
	for _, step := range []func() error{system.startStandins, system.startEntries, system.startStewards, system.writeTables} {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

func (system *system) standin(name string, arguments ...string) (*harness.Process, error) {
	return system.harness.Start(name, "sapphire-standin", arguments...)
}

func (system *system) startStandins() error {
	var err error
	start := func(name string, arguments ...string) *harness.Process {
		if err != nil {
			return nil
		}
		var process *harness.Process
		process, err = system.standin(name, arguments...)
		return process
	}
	system.platform = start("platform", "platform")
	if err != nil {
		return err
	}
	platform := "--platform=" + system.platform.Address("api")
	system.weights = start("weightstore", "weightstore")
	system.cloud = start("cloud", "cloud", platform, "--data-centre=lj-a", "--data-centre=lj-b")
	system.runnerA = start("runner-a", "runner", platform, "--id=runner-a", "--data-centre=lj-a", "--model=desk-small")
	system.runnerB = start("runner-b", "runner", platform, "--id=runner-b", "--data-centre=lj-b", "--model=desk-small")
	system.booking = start("booking", "service", platform, "--id=booking-a", "--data-centre=lj-a", "--pool=booking")
	return err
}

func (system *system) startEntries() error {
	var err error
	system.entryA, err = system.startEntry("entry-a", "lj-a", grace)
	if err != nil {
		return err
	}
	system.entryB, err = system.startEntry("entry-b", "lj-b", grace, system.entryA.Address("node"))
	return err
}

func (system *system) startEntry(name, dataCentre string, grace clock.Millis, peers ...string) (*harness.Process, error) {
	content := harness.EntrySettings(name, dataCentre, system.platform.Address("api"), system.cloud.Address("api"), peers, grace)
	file, err := system.harness.WriteFile(name+".toml", content)
	if err != nil {
		return nil, err
	}
	return system.harness.Start(name, "sapphire-entry", "--settings="+file)
}

func (system *system) startStewards() error {
	for _, host := range []struct {
		name, dataCentre string
		entry            *harness.Process
	}{{"entry-a", "lj-a", system.entryA}, {"entry-b", "lj-b", system.entryB}} {
		content := harness.StewardSettings(host.name, host.dataCentre, system.platform.Address("api"), system.cloud.Address("api"),
			system.weights.Address("api"), host.entry.Address("operator"))
		file, err := system.harness.WriteFile(host.name+"-steward.toml", content)
		if err != nil {
			return err
		}
		if _, err := system.harness.Start("steward-"+host.name, "sapphire-steward", "--settings="+file); err != nil {
			return err
		}
	}
	return nil
}

func (system *system) operate(entry *harness.Process, arguments ...string) (string, error) {
	arguments = append([]string{"--address=" + entry.Address("operator"), "--token=" + harness.OperatorToken}, arguments...)
	output, err := system.harness.Command("sapphirectl", arguments...)
	return output, errors.Wrap(err, output)
}

func (system *system) writeTables() error {
	return system.harness.Apply(system.entryA, tablesFile)
}
