// Command fleet prints the comparison of host renting policies that
// docs/MEASURES.md shows.
package main

import (
	"os"

	"github.com/alecthomas/kong"

	"sapphirehead/internal/measure/fleetmeasure"
)

type commandLine struct {
	Seeds    int `help:"Number of seeds." default:"20"`
	Parallel int `help:"Runs at the same time." default:"4"`
}

func main() {
	var line commandLine
	kong.Parse(&line, kong.Description("Compares ways of renting hosts over one day of virtual time."))
	fleetmeasure.Report(os.Stdout, line.Seeds, line.Parallel)
}
