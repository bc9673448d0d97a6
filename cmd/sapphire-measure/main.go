// Command sapphire-measure compares the routing policy with simple ones in virtual
// time. It is for developers only.
package main

import (
	"os"

	"github.com/alecthomas/kong"

	"sapphirehead/internal/measure"
)

type commandLine struct {
	Seeds  int      `help:"Number of seeds for each policy." default:"20"`
	Policy []string `help:"Only these policies, and random for comparison."`
	ByKind bool     `help:"Add the worth served by kind and account."`
}

func main() {
	var line commandLine
	parsed := kong.Parse(&line, kong.Name("sapphire-measure"), kong.Description("Measures the policy against simple ones in virtual time."))
	parsed.FatalIfErrorf(measure.Run(os.Stdout, measure.NewOptions(line.Seeds, measure.Policies(line.Policy...), line.ByKind)))
}
