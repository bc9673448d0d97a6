package fleetmeasure

import (
	"fmt"
	"io"
	"slices"

	"golang.org/x/sync/errgroup"
)

// column is a column of the table.
type column struct {
	title string
	value func(result Result) float64
}

var columns = []column{
	{"cost per hour", Result.CostPerHour},
	{"worth lost, %", func(result Result) float64 { return 100 * result.LostWorth() }},
	{"min below demand per wave", Result.BelowDemandPerWave},
	{"min below the worthiest per wave", Result.BelowProtectedPerWave},
}

// Report runs every policy with each seed, up to parallel runs at a time, and
// writes a Markdown table with the mean, minimum and maximum of each column.
func Report(writer io.Writer, seeds, parallel int) {
	fmt.Fprint(writer, "| deployment | condition | policy |")
	for _, column := range columns {
		fmt.Fprintf(writer, " %s |", column.title)
	}
	fmt.Fprint(writer, "\n|---|---|---|---|---|---|---|\n")
	for _, deployment := range Deployments() {
		for _, waves := range []bool{false, true} {
			condition := "calm"
			if waves {
				condition = "waves"
			}
			for _, policy := range Policies() {
				results := runSeeds(deployment, policy, waves, seeds, parallel)
				fmt.Fprintf(writer, "| %s | %s | %s |", deployment.Name(), condition, policy.Name())
				for _, column := range columns {
					writeSpread(writer, results, column.value)
				}
				fmt.Fprintln(writer)
			}
		}
	}
}

func runSeeds(deployment Deployment, policy Policy, waves bool, seeds, parallel int) []Result {
	results := make([]Result, seeds)
	group := &errgroup.Group{}
	group.SetLimit(parallel)
	for seed := range seeds {
		group.Go(func() error {
			results[seed] = Run(deployment, policy, uint64(seed), waves)
			return nil
		})
	}
	group.Wait()
	return results
}

func writeSpread(writer io.Writer, results []Result, value func(result Result) float64) {
	values := make([]float64, 0, len(results))
	sum := 0.0
	for _, result := range results {
		values = append(values, value(result))
		sum += value(result)
	}
	fmt.Fprintf(writer, " %.2f (%.2f to %.2f) |", sum/float64(len(values)), slices.Min(values), slices.Max(values))
}
