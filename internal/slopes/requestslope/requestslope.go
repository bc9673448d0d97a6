// Package requestslope measures the cost of requests at an entry host:
// processor time per request and per token, and memory per stream in flight. It
// runs one real entry host between a load generator and a stand-in runner, and
// reads the entry host's resource usage from the operating system.
//
// Two loads that differ in one quantity give the slope of that quantity:
//
//	2,000 chats of 1 token      use P1 of processor time
//	2,000 chats of 101 tokens   use P2
//	a token costs (P2 - P1) / 200,000
package requestslope

import (
	"context"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/standin/callerstandin"
	"sapphirehead/internal/standin/harness"
)

const (
	// maxConcurrent is the number of requests in flight under load.
	maxConcurrent = 64
	loadRequests  = 2000
	shortTokens   = 1
	longTokens    = 101
	// inFlightTokens is the length of the streams that are in flight while
	// memory is read.
	inFlightTokens = 400
	// Decode times per token of the stand-in runner: decodeFast under load,
	// decodeSlow while memory is read.
	decodeFast = 1 * clock.Millisecond
	decodeSlow = 20 * clock.Millisecond
)

// Slopes is the cost of one request, one token and one stream in flight.
type Slopes struct {
	request  float64
	token    float64
	lookup   float64
	booking  float64
	stream   float64
	baseline int64
	inFlight []int
	memory   []int64
}

// Request returns the processor time per chat without its tokens, in
// microseconds.
func (slopes Slopes) Request() float64 { return slopes.request }

// Token returns the processor time per streamed token, in microseconds.
func (slopes Slopes) Token() float64 { return slopes.token }

// Stream returns the memory per stream in flight, in bytes.
func (slopes Slopes) Stream() float64 { return slopes.stream }

// Print writes the slopes as a table.
func (slopes Slopes) Print(to io.Writer) error {
	writer := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	fmt.Fprintf(writer, "processor time, one chat without its tokens\t%.0f us\n", slopes.request)
	fmt.Fprintf(writer, "processor time, one streamed token\t%.1f us\n", slopes.token)
	fmt.Fprintf(writer, "processor time, one status lookup\t%.0f us\n", slopes.lookup)
	fmt.Fprintf(writer, "processor time, one booking with a claim\t%.0f us\n", slopes.booking)
	fmt.Fprintf(writer, "memory before any load\t%.1f MB\n", float64(slopes.baseline)/1e6)
	for i, count := range slopes.inFlight {
		fmt.Fprintf(writer, "memory with %d streams in flight\t%.1f MB\n", count, float64(slopes.memory[i])/1e6)
	}
	fmt.Fprintf(writer, "memory, one stream in flight\t%.1f KB\n", slopes.stream/1e3)
	return writer.Flush()
}

// fixture holds the processes of one measurement.
type fixture struct {
	harness *harness.Harness
	entry   *harness.Process
	caller  *callerstandin.Caller
}

// Measure runs the programs in bin and returns the slopes.
func Measure(ctx context.Context, bin string) (Slopes, error) {
	var slopes Slopes
	if err := measureLoad(ctx, bin, &slopes); err != nil {
		return slopes, err
	}
	return slopes, measureMemory(ctx, bin, &slopes)
}

func measureLoad(ctx context.Context, bin string, slopes *Slopes) error {
	fixture, closeFixture, err := newFixture(bin, decodeFast)
	if err != nil {
		return err
	}
	defer closeFixture()
	if err := fixture.warmUp(ctx); err != nil {
		return err
	}
	short, err := fixture.load(ctx, fixture.chat(shortTokens))
	if err != nil {
		return err
	}
	long, err := fixture.load(ctx, fixture.chat(longTokens))
	if err != nil {
		return err
	}
	lookup, err := fixture.load(ctx, fixture.call("GET", "/status/1", false))
	if err != nil {
		return err
	}
	booking, err := fixture.load(ctx, fixture.call("POST", "/bookings", true))
	if err != nil {
		return err
	}
	slopes.token = (long - short) / (longTokens - shortTokens)
	slopes.request = short - slopes.token*shortTokens
	slopes.lookup, slopes.booking = lookup, booking
	return nil
}

func (fixture *fixture) warmUp(ctx context.Context) error {
	_, err := fixture.load(ctx, fixture.chat(shortTokens))
	return err
}

func (fixture *fixture) chat(tokens int) func(ctx context.Context, serial int) error {
	return func(ctx context.Context, serial int) error {
		content := fmt.Sprintf("Draft the report of filter %d", serial)
		response, err := fixture.caller.StreamChat(ctx, fixture.entry.Address("caller"), harness.Model, content, tokens, func(int) {})
		if err != nil {
			return err
		}
		return callerstandin.CheckText(response, callerstandin.Expected(harness.Model, content, tokens))
	}
}

func (fixture *fixture) call(method, path string, keyed bool) func(ctx context.Context, serial int) error {
	return func(ctx context.Context, serial int) error {
		key := ""
		if keyed {
			key = fmt.Sprintf("booking-%d", serial)
		}
		response, err := fixture.caller.Call(ctx, method, fixture.entry.Address("caller"), path, key, nil)
		if err == nil && response.Status() >= 300 {
			err = errors.Errorf("status %d: %s", response.Status(), response.Text())
		}
		return err
	}
}

// load sends loadRequests requests and returns the entry host's processor time
// per request, in microseconds.
func (fixture *fixture) load(ctx context.Context, send func(ctx context.Context, serial int) error) (float64, error) {
	before, err := ReadUsage(fixture.entry.PID())
	if err != nil {
		return 0, err
	}
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxConcurrent)
	for serial := range loadRequests {
		group.Go(func() error { return send(ctx, serial) })
	}
	if err := group.Wait(); err != nil {
		return 0, err
	}
	after, err := ReadUsage(fixture.entry.PID())
	if err != nil {
		return 0, err
	}
	return float64(after.Processor()-before.Processor()) * 1000 / loadRequests, nil
}

func measureMemory(ctx context.Context, bin string, slopes *Slopes) error {
	for _, count := range []int{1, 100, 1000, 3000} {
		fixture, closeFixture, err := newFixture(bin, decodeSlow)
		if err != nil {
			return err
		}
		before, after, err := fixture.memoryInFlight(ctx, count)
		closeFixture()
		if err != nil {
			return err
		}
		slopes.baseline = before
		slopes.inFlight = append(slopes.inFlight, count)
		slopes.memory = append(slopes.memory, after)
	}
	last := len(slopes.memory) - 1
	slopes.stream = float64(slopes.memory[last]-slopes.memory[0]) / float64(slopes.inFlight[last]-slopes.inFlight[0])
	return nil
}

// memoryInFlight starts streams and returns the entry host's resident memory in
// bytes before the start and after the first token of each stream.
func (fixture *fixture) memoryInFlight(ctx context.Context, count int) (before, after int64, err error) {
	usage, err := ReadUsage(fixture.entry.PID())
	if err != nil {
		return 0, 0, err
	}
	before = usage.Memory()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	started := make(chan struct{}, count*inFlightTokens)
	group, ctx := errgroup.WithContext(ctx)
	for serial := range count {
		group.Go(func() error {
			content := fmt.Sprintf("Summarise the history of account %d", serial)
			_, err := fixture.caller.StreamChat(ctx, fixture.entry.Address("caller"), harness.Model, content, inFlightTokens, func(events int) {
				if events == 1 {
					started <- struct{}{}
				}
			})
			return err
		})
	}
	for range count {
		select {
		case <-started:
		case <-ctx.Done():
			return 0, 0, group.Wait()
		}
	}
	usage, err = ReadUsage(fixture.entry.PID())
	cancel()
	group.Wait()
	return before, usage.Memory(), err
}

func newFixture(bin string, decode clock.Millis) (*fixture, func(), error) {
	folder, err := os.MkdirTemp("", "sapphirehead-slopes")
	if err != nil {
		return nil, nil, err
	}
	fixture := &fixture{harness: harness.New(bin, folder, clock.System()), caller: callerstandin.New(harness.CallerKey)}
	closeFixture := func() {
		fixture.harness.Close()
		os.RemoveAll(folder)
	}
	if err := fixture.start(decode); err != nil {
		closeFixture()
		return nil, nil, errors.Wrap(err, fixture.harness.Logs())
	}
	return fixture, closeFixture, nil
}

func (fixture *fixture) start(decode clock.Millis) error {
	single, err := fixture.harness.StartSingleNode(decode)
	if err != nil {
		return err
	}
	fixture.entry = single.Entry()
	return nil
}
