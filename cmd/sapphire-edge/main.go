// Command sapphire-edge is the serving system on the users' platform: one process on
// each host, between callers and backend servers.
package main

import (
	"fmt"
	"os"
	"runtime/debug"
	"sync/atomic"

	"github.com/alecthomas/kong"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/edge"
	"sapphirehead/internal/logging"
	"sapphirehead/internal/program"
	"sapphirehead/internal/settings"
)

type runCommand struct {
	Settings string `help:"Settings file." required:"" env:"SAPPHIREHEAD_CONFIG" type:"path"`
}

type checkCommand struct {
	Settings string `help:"Settings file." required:"" env:"SAPPHIREHEAD_CONFIG" type:"path"`
}

type settingsCommand struct{}

// Run prints the reference of the settings.
func (command *settingsCommand) Run() error {
	fmt.Print(settings.Markdown(settings.EdgeReference()))
	return nil
}

type commandLine struct {
	Run      runCommand       `cmd:"" default:"withargs" help:"Serve callers."`
	Check    checkCommand     `cmd:"" help:"Check the settings file and exit."`
	Settings settingsCommand  `cmd:"" help:"Print the reference of the settings file and exit."`
	Version  kong.VersionFlag `help:"Print the version and exit."`
}

// memoryShare is the soft memory limit of the Go runtime, near which it collects
// garbage more often, as a share of the memory at which the process is killed. That
// memory also includes the bytes that wait in sockets.
const memoryShare = 0.6

// Run serves callers until a signal stops the process.
func (command *runCommand) Run() error {
	// A signal that arrives before its handler would end the process.
	stop, kill := program.Signals()
	reloads := program.Reloads()
	load := func() (*settings.Edge, error) { return settings.LoadEdge(command.Settings) }
	loaded, err := load()
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(memoryShare * float64(loaded.MemoryBytes())))
	dropped := &atomic.Int64{}
	log, ring := logging.NewBounded(os.Stdout, loaded.LogLevel(), "sapphire-edge", loaded.Host(), loaded.DataCentre(),
		func(lines int) { dropped.Add(int64(lines)) })
	defer ring.Close()
	node, err := edge.New(loaded, clock.System(), log)
	if err != nil {
		return err
	}
	node.PublishDroppedLines(dropped.Load)
	program.PrintListening(node.Addresses())
	return node.Run(stop, kill, reloads, load)
}

// Run checks the settings.
func (command *checkCommand) Run() error {
	if _, err := settings.LoadEdge(command.Settings); err != nil {
		return err
	}
	fmt.Println("settings are valid")
	return nil
}

func main() {
	var line commandLine
	context := kong.Parse(&line, kong.Name("sapphire-edge"), kong.Vars{"version": program.Version},
		kong.Description("Serves callers on the users' platform."))
	context.FatalIfErrorf(context.Run())
}
