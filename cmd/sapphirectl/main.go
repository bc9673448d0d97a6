// Command sapphirectl is the operators' tool: it edits and shows the two
// tables and shows the state of the system.
package main

import (
	"github.com/alecthomas/kong"

	"sapphirehead/internal/operator/operatorcli"
	"sapphirehead/internal/program"
)

func main() {
	var line operatorcli.CommandLine
	context := kong.Parse(&line, kong.Name("sapphirectl"), kong.Vars{"version": program.Version},
		kong.Description("Edits and shows the tables of routes and pools, and shows the state of the system."))
	context.FatalIfErrorf(context.Run(&line.Connection))
}
