// Command sapphire-steward controls the fleet of backend servers from one entry host,
// for the pools and data centres whose leases it holds.
package main

import (
	"expvar"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/alecthomas/kong"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/logging"
	"sapphirehead/internal/program"
	"sapphirehead/internal/settings"
	"sapphirehead/internal/steward"
)

type runCommand struct {
	Settings string `help:"Settings file." required:"" type:"path"`
}

type checkCommand struct {
	Settings string `help:"Settings file." required:"" type:"path"`
}

type settingsCommand struct{}

// memoryShare is the soft memory limit of the Go runtime, near which it collects
// garbage more often, as a share of the memory in the settings. That memory also includes
// the program itself and the bytes that wait in sockets.
const memoryShare = 0.6

// Run prints the reference of the settings.
func (command *settingsCommand) Run() error {
	fmt.Print(settings.Markdown(settings.StewardReference()))
	return nil
}

type commandLine struct {
	Run      runCommand       `cmd:"" default:"withargs" help:"Control the fleet."`
	Check    checkCommand     `cmd:"" help:"Check the settings file and exit."`
	Settings settingsCommand  `cmd:"" help:"Print the reference of the settings file and exit."`
	Version  kong.VersionFlag `help:"Print the version and exit."`
}

// Run controls the fleet until a signal stops the process.
func (command *runCommand) Run() error {
	// A signal that arrives before its handler would end the process.
	stop, kill := program.Signals()
	loaded, err := settings.LoadSteward(command.Settings)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(memoryShare * float64(loaded.Limits().MemoryBytes())))
	log := logging.New(os.Stderr, loaded.LogLevel(), "sapphire-steward", loaded.Host(), loaded.DataCentre())
	steward, err := steward.New(loaded, clock.System(), log)
	if err != nil {
		return err
	}
	expvar.Publish("sapphire", steward.Counters())
	program.PrintListening(map[string]string{"operator": steward.OperatorAddress()})
	return steward.Run(stop, kill)
}

// Run checks the settings.
func (command *checkCommand) Run() error {
	if _, err := settings.LoadSteward(command.Settings); err != nil {
		return err
	}
	fmt.Println("settings are valid")
	return nil
}

func main() {
	var line commandLine
	context := kong.Parse(&line, kong.Name("sapphire-steward"), kong.Vars{"version": program.Version},
		kong.Description("Controls the fleet of backend servers from one entry host."))
	context.FatalIfErrorf(context.Run())
}
