// Package overhead measures what an entry host adds to each streamed token. It
// starts a platform, one runner and one entry host as processes, and reads the
// same answers from the runner directly and through the entry host, in turns,
// so that both meet the same load of the machine. The runner generates a token
// each millisecond.
package overhead

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/standin/callerstandin"
	"sapphirehead/internal/standin/harness"
)

const (
	// tokensPerAnswer and answers are what is read each way.
	tokensPerAnswer = 200
	answers         = 20
	warmUpAnswers   = 4
	runTimeout      = 120 * clock.Second
	pollInterval    = 50 * clock.Millisecond
	longestMicros   = 10_000_000
)

// way is one way to the runner with what was measured on it.
type way struct {
	name    string
	address string
	gaps    *hdrhistogram.Histogram
	first   *hdrhistogram.Histogram
	total   time.Duration
	tokens  int
}

func newWay(name, address string) *way {
	return &way{name: name, address: address, gaps: hdrhistogram.New(1, longestMicros, 3), first: hdrhistogram.New(1, longestMicros, 3)}
}

// Run measures with the programs in bin and prints a table.
func Run(output io.Writer, bin string) error {
	folder, err := os.MkdirTemp("", "sapphirehead-overhead")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	processes := harness.New(bin, folder, clock.System())
	defer processes.Close()
	ways, err := start(processes)
	if err != nil {
		return errors.Wrap(err, processes.Logs())
	}
	ctx, cancel := clock.System().WithTimeout(context.Background(), runTimeout)
	defer cancel()
	caller := callerstandin.New(harness.CallerKey)
	if err := awaitRunner(ctx, caller, ways[1].address); err != nil {
		return errors.Wrap(err, processes.Logs())
	}
	for i := range warmUpAnswers + answers {
		for _, way := range ways {
			if err := way.read(ctx, caller, i); err != nil {
				return errors.Wrapf(err, "%s\n%s", processes.Logs(), way.name)
			}
		}
	}
	report(output, ways)
	return nil
}

func start(processes *harness.Harness) ([]*way, error) {
	single, err := processes.StartSingle(clock.Millisecond)
	if err != nil {
		return nil, err
	}
	return []*way{newWay("direct", single.Runner().Address("api")), newWay("through the entry host", single.Entry().Address("caller"))}, nil
}

// awaitRunner waits until the entry host knows the runner.
func awaitRunner(ctx context.Context, caller *callerstandin.Caller, address string) error {
	for {
		answer, err := caller.Chat(ctx, address, harness.Model, "Is the filter ready?", 1)
		if err != nil || answer.Status() == http.StatusOK {
			return err
		}
		if err := clock.System().Wait(ctx, pollInterval); err != nil {
			return err
		}
	}
}

// read reads one answer and records the time between its tokens. Both ways get
// prompts of their own, so that neither finds the other's in the cache.
func (way *way) read(ctx context.Context, caller *callerstandin.Caller, number int) error {
	content := fmt.Sprintf("%s asks for bake log %d", way.name, number)
	begun, last := clock.Stopwatch(), time.Duration(0)
	answer, err := caller.StreamChat(ctx, way.address, harness.Model, content, tokensPerAnswer, func(events int) {
		now := begun()
		if number >= warmUpAnswers {
			way.record(events, now, now-last)
		}
		last = now
	})
	if err != nil {
		return err
	}
	if number >= warmUpAnswers {
		way.total += begun()
		way.tokens += tokensPerAnswer
	}
	return callerstandin.CheckText(answer, callerstandin.Expected(harness.Model, content, tokensPerAnswer))
}

func (way *way) record(events int, now, gap time.Duration) {
	if events == 1 {
		_ = way.first.RecordValue(now.Microseconds())
		return
	}
	_ = way.gaps.RecordValue(gap.Microseconds())
}

func report(output io.Writer, ways []*way) {
	fmt.Fprintf(output, "%-24s %10s %28s %28s\n", "way", "tokens", "whole/tokens, between us", "first token us 50/95/99")
	for _, way := range ways {
		fmt.Fprintf(output, "%-24s %10d %28s %28s\n", way.name, way.tokens,
			fmt.Sprintf("%.1f/%s", way.mean(), percentiles(way.gaps)), percentiles(way.first))
	}
	fmt.Fprintf(output, "overhead for each token of a whole answer: %.1f us in the mean, for the first token %d us at the median\n",
		ways[1].mean()-ways[0].mean(), ways[1].first.ValueAtPercentile(50)-ways[0].first.ValueAtPercentile(50))
}

func (way *way) mean() float64 {
	return float64(way.total.Microseconds()) / float64(max(way.tokens, 1))
}

func percentiles(of *hdrhistogram.Histogram) string {
	var parts []string
	for _, percent := range []float64{50, 95, 99} {
		parts = append(parts, fmt.Sprint(of.ValueAtPercentile(percent)))
	}
	return strings.Join(parts, "/")
}
