// Package overhead measures the latency that an entry host adds to each streamed
// token. It starts a platform, one runner, one service and one entry host as
// processes, and reads responses alternately from the runner directly and through the
// entry host, so that both measurements run under the same load. The runner generates
// a token each millisecond.
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
	// tokensPerResponse and responses are measured on each path.
	tokensPerResponse = 200
	responses         = 20
	warmUpResponses   = 4
	runTimeout        = 120 * clock.Second
	pollInterval      = 50 * clock.Millisecond
	maxMicros         = 10_000_000
)

// path is one path to the runner with its measurements.
type path struct {
	name       string
	address    string
	gaps       *hdrhistogram.Histogram
	firstToken *hdrhistogram.Histogram
	totalTime  time.Duration
	tokens     int
}

func newPath(name, address string) *path {
	return &path{name: name, address: address, gaps: hdrhistogram.New(1, maxMicros, 3), firstToken: hdrhistogram.New(1, maxMicros, 3)}
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
	paths, err := start(processes)
	if err != nil {
		return errors.Wrap(err, processes.Logs())
	}
	ctx, cancel := clock.System().WithTimeout(context.Background(), runTimeout)
	defer cancel()
	caller := callerstandin.New(harness.CallerKey)
	if err := awaitRunner(ctx, caller, paths[1].address); err != nil {
		return errors.Wrap(err, processes.Logs())
	}
	for i := range warmUpResponses + responses {
		for _, path := range paths {
			if err := path.read(ctx, caller, i); err != nil {
				return errors.Wrapf(err, "%s\n%s", processes.Logs(), path.name)
			}
		}
	}
	report(output, paths)
	return nil
}

func start(processes *harness.Harness) ([]*path, error) {
	single, err := processes.StartSingleNode(clock.Millisecond)
	if err != nil {
		return nil, err
	}
	return []*path{newPath("direct", single.Runner().Address("api")), newPath("through the entry host", single.Entry().Address("caller"))}, nil
}

// awaitRunner waits until the entry host serves a chat with the runner.
func awaitRunner(ctx context.Context, caller *callerstandin.Caller, address string) error {
	for {
		response, err := caller.Chat(ctx, address, harness.Model, "Is the filter ready?", 1)
		if err != nil || response.Status() == http.StatusOK {
			return err
		}
		if err := clock.System().Wait(ctx, pollInterval); err != nil {
			return err
		}
	}
}

// read reads one response and, after the warm-up, records the times between its
// tokens. The prompts of the two paths differ, so that neither uses the other's
// cached prefixes.
func (path *path) read(ctx context.Context, caller *callerstandin.Caller, number int) error {
	content := fmt.Sprintf("%s asks for bake log %d", path.name, number)
	elapsed, last := clock.Stopwatch(), time.Duration(0)
	response, err := caller.StreamChat(ctx, path.address, harness.Model, content, tokensPerResponse, func(events int) {
		now := elapsed()
		if number >= warmUpResponses {
			path.record(events, now, now-last)
		}
		last = now
	})
	if err != nil {
		return err
	}
	if number >= warmUpResponses {
		path.totalTime += elapsed()
		path.tokens += tokensPerResponse
	}
	return callerstandin.CheckText(response, callerstandin.Expected(harness.Model, content, tokensPerResponse))
}

func (path *path) record(events int, now, gap time.Duration) {
	if events == 1 {
		_ = path.firstToken.RecordValue(now.Microseconds())
		return
	}
	_ = path.gaps.RecordValue(gap.Microseconds())
}

func report(output io.Writer, paths []*path) {
	fmt.Fprintf(output, "%-24s %10s %28s %28s\n", "way", "tokens", "token us mean/50/95/99", "first token us 50/95/99")
	for _, path := range paths {
		fmt.Fprintf(output, "%-24s %10d %28s %28s\n", path.name, path.tokens,
			fmt.Sprintf("%.1f/%s", path.mean(), percentiles(path.gaps)), percentiles(path.firstToken))
	}
	fmt.Fprintf(output, "overhead per token of a complete response: mean %.1f us; for the first token: median %d us\n",
		paths[1].mean()-paths[0].mean(), paths[1].firstToken.ValueAtPercentile(50)-paths[0].firstToken.ValueAtPercentile(50))
}

func (path *path) mean() float64 {
	return float64(path.totalTime.Microseconds()) / float64(max(path.tokens, 1))
}

func percentiles(histogram *hdrhistogram.Histogram) string {
	var parts []string
	for _, percent := range []float64{50, 95, 99} {
		parts = append(parts, fmt.Sprint(histogram.ValueAtPercentile(percent)))
	}
	return strings.Join(parts, "/")
}
