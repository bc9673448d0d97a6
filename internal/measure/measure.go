// Package measure runs the decisions of several entry hosts against simulated
// model runners and application services in virtual time, and compares the policy
// of the entry hosts, named "ours", with baselines on the same arrivals.
//
// Each node has its own view of the backend servers, its own prefix index and
// its own admission, as in the real programs; only the connections and the
// engines are simulated. A seed gives the same arrivals to every policy:
//
//	filtrix, calm, seed 1: random 1.000, ours 0.777 (weighted measure)
package measure

import (
	"fmt"
	"io"
	"runtime"
	"slices"
	"text/tabwriter"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"
)

// baselineName is the name of the policy to which weighted measures are
// relative.
const baselineName = "random"

// Options selects the seeds, deployments, conditions and policies to simulate.
type Options struct {
	seeds       int
	deployments []string
	conditions  []Condition
	policies    []Policy
	byKind      bool
}

// NewOptions returns options for both deployments and all conditions, with the
// given number of seeds. byKind adds a table by request kind and client
// account.
func NewOptions(seeds int, policies []Policy, byKind bool) Options {
	return Options{
		seeds: seeds, deployments: []string{"filtrix", "tarbela"}, conditions: []Condition{Calm, Overloaded, Wave},
		policies: policies, byKind: byKind,
	}
}

// Run runs the simulations and prints a table for each deployment and
// condition.
func Run(output io.Writer, options Options) error {
	for _, deployment := range []deployment{filtrix(), tarbela()} {
		if !slices.Contains(options.deployments, deployment.name) {
			continue
		}
		for _, condition := range options.conditions {
			results, err := measureAll(deployment, condition, options)
			if err != nil {
				return err
			}
			if err := printTable(output, deployment, condition, options, results); err != nil {
				return err
			}
		}
	}
	return nil
}

// measureAll returns the results by policy and seed. Runs are distributed over
// half of the processors; each run uses a single goroutine.
func measureAll(deployment deployment, condition Condition, options Options) ([][]*result, error) {
	results := make([][]*result, len(options.policies))
	var group errgroup.Group
	group.SetLimit(max(1, runtime.GOMAXPROCS(0)/2))
	for i, policy := range options.policies {
		results[i] = make([]*result, options.seeds)
		for seed := range options.seeds {
			group.Go(func() error {
				results[i][seed] = measureOnce(deployment, condition, policy, uint64(seed+1))
				return nil
			})
		}
	}
	return results, group.Wait()
}

// spread is the mean, minimum and maximum of a value over the seeds.
type spread struct {
	mean    float64
	minimum float64
	maximum float64
}

func spreadOf(results []*result, figure func(seed int, result *result) float64) spread {
	var values []float64
	sum := 0.0
	for seed, result := range results {
		value := figure(seed, result)
		values = append(values, value)
		sum += value
	}
	return spread{mean: sum / float64(len(values)), minimum: slices.Min(values), maximum: slices.Max(values)}
}

func (spread spread) format(verb string) string {
	return fmt.Sprintf(verb+" ("+verb+"-"+verb+")", spread.mean, spread.minimum, spread.maximum)
}

func printTable(output io.Writer, deployment deployment, condition Condition, options Options, results [][]*result) error {
	fmt.Fprintf(output, "\n%s, %s, %d seeds: mean (least-most)\n", deployment.name, condition, options.seeds)
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "policy\tweighted\tcost/1000 in time\tfirst token 50/95/99 ms\tbetween 50/95/99 ms\trecomputed tokens\tworth served %\trefused %\tlate %\tlost %")
	relative := results[slices.IndexFunc(options.policies, func(policy Policy) bool { return policy.name == baselineName })]
	for i, policy := range options.policies {
		printRow(table, deployment, policy, results[i], relative)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(output, "%s is ahead of every other policy in %d of %d seeds\n", options.policies[0].name, countSeedsAhead(deployment, results, relative), options.seeds)
	if options.byKind {
		return printKinds(output, options, results)
	}
	return nil
}

// countSeedsAhead returns the number of seeds for which the first policy has the
// lowest weighted measure of all.
func countSeedsAhead(deployment deployment, results [][]*result, relative []*result) int {
	ahead := 0
	for seed, first := range results[0] {
		firstMeasure := first.weightedMeasure(deployment, relative[seed])
		behind := slices.ContainsFunc(results[1:], func(other []*result) bool {
			return other[seed].weightedMeasure(deployment, relative[seed]) <= firstMeasure
		})
		if !behind {
			ahead++
		}
	}
	return ahead
}

func printRow(table io.Writer, deployment deployment, policy Policy, results, relative []*result) {
	share := func(count func(total kindResult) int) string {
		return spreadOf(results, func(_ int, result *result) float64 {
			total := result.total()
			return 100 * float64(count(total)) / float64(max(1, total.offered))
		}).format("%.1f")
	}
	weighted := spreadOf(results, func(seed int, result *result) float64 { return result.weightedMeasure(deployment, relative[seed]) })
	cost := spreadOf(results, func(_ int, result *result) float64 { return 1000 * result.costPerResponse() })
	recomputed := spreadOf(results, func(_ int, result *result) float64 { return float64(result.recomputed) })
	worth := spreadOf(results, func(_ int, result *result) float64 { return 100 * result.total().worth / result.total().maxWorth })
	firstTokens := percentiles(results, func(result *result) *hdrhistogram.Histogram { return result.firstTokens }, "%.0f/%.0f/%.0f")
	gaps := percentiles(results, func(result *result) *hdrhistogram.Histogram { return result.gaps }, "%.1f/%.1f/%.1f")
	fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", policy.name, weighted.format("%.3f"), cost.format("%.3f"), firstTokens, gaps,
		recomputed.format("%.0f"), worth.format("%.1f"), share(func(total kindResult) int { return total.refused }),
		share(func(total kindResult) int { return total.late }), share(func(total kindResult) int { return total.lost }))
}

// percentiles formats the 50th, 95th and 99th percentiles in milliseconds over
// the merged histograms of all seeds.
func percentiles(results []*result, histogramOf func(result *result) *hdrhistogram.Histogram, format string) string {
	merged := hdrhistogram.New(1, maxRecordedMicros, 3)
	for _, result := range results {
		merged.Merge(histogramOf(result))
	}
	percentile := func(percent float64) float64 { return micros(merged.ValueAtPercentile(percent)).millis() }
	return fmt.Sprintf(format, percentile(50), percentile(95), percentile(99))
}

// printKinds prints the percentage of worth served by request kind and client
// account.
func printKinds(output io.Writer, options Options, results [][]*result) error {
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "worth served %\tby kind and account")
	for i, policy := range options.policies {
		fmt.Fprintf(table, "%s\t%s\t%s\n", policy.name,
			servedWorthOf(results[i], func(result *result) map[string]*kindResult { return result.kinds }),
			servedWorthOf(results[i], func(result *result) map[string]*kindResult { return result.accounts }))
	}
	return table.Flush()
}

func servedWorthOf(results []*result, counters func(result *result) map[string]*kindResult) string {
	text := ""
	names := map[string]bool{}
	for _, result := range results {
		for name := range counters(result) {
			names[name] = true
		}
	}
	for _, name := range sortedNames(names) {
		served := spreadOf(results, func(_ int, result *result) float64 {
			kind := counter(counters(result), name)
			return 100 * kind.worth / max(1, kind.maxWorth)
		})
		text += fmt.Sprintf("%s %.1f  ", name, served.mean)
	}
	return text
}

func sortedNames(names map[string]bool) []string {
	var sorted []string
	for name := range names {
		sorted = append(sorted, name)
	}
	slices.Sort(sorted)
	return sorted
}
