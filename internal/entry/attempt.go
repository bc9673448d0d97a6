package entry

import (
	"context"
	"sync/atomic"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/request"
	"sapphirehead/internal/runner"
)

// Times after which an attempt without progress counts as silent: a multiple
// of the route's target, but not less than a floor. Comments that a runner
// sends while a request waits in its queue count as progress.
const (
	silenceTargets      = 4
	silenceFirstFloor   = 2 * clock.Second
	silenceBetweenFloor = 1 * clock.Second
)

// drainTimeout bounds the reading of what comes after an end mark.
const drainTimeout = 200 * clock.Millisecond

// silenceOf returns the times for the first token and between two tokens.
func silenceOf(to *request.Request) (first, between clock.Millis) {
	on := to.Route()
	return max(silenceTargets*on.FirstToken(), silenceFirstFloor), max(silenceTargets*on.BetweenTokens(), silenceBetweenFloor)
}

// read opens the attempt's stream and sends its events until it ends.
func (run *run) read(ctx context.Context, attempt request.Attempt) {
	driver, server := run.driver, attempt.Server()
	end := server.Begin()
	defer end()
	watched, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := newWatchdog(driver.clock, cancel)
	defer watchdog.stop()
	first, between := silenceOf(run.answer.Request())
	watchdog.arm(first)
	send := func(event attemptEvent) {
		event.attempt = attempt.Number()
		select {
		case run.events <- event:
		case <-ctx.Done():
		}
	}
	fail := func(err error) {
		if watchdog.fired.Load() {
			driver.renew(server)
			err = runner.NewAttemptError(request.CauseSilent, err)
		}
		send(attemptEvent{err: err})
	}
	stream, err := driver.open(watched, run.answer.Request(), attempt)
	if err != nil {
		fail(err)
		return
	}
	defer stream.Close()
	send(attemptEvent{opened: true, streamID: stream.ID()})
	bound := first
	for {
		event, err := stream.Next()
		if err != nil {
			fail(err)
			return
		}
		if len(event.Tokens()) > 0 {
			bound = between
		}
		watchdog.arm(bound)
		if _, ended := event.Ended(); ended {
			watchdog.arm(drainTimeout)
			run.drain(stream, send)
			send(attemptEvent{event: event})
			return
		}
		send(attemptEvent{event: event})
	}
}

// drain passes on what comes after the end mark, so that the connection can
// be used again.
func (run *run) drain(stream *runner.Stream, send func(event attemptEvent)) {
	for {
		event, err := stream.Next()
		if err != nil {
			return
		}
		send(attemptEvent{event: event})
	}
}

// watchdog cancels an attempt that makes no progress.
type watchdog struct {
	clock  *clock.Clock
	cancel func()
	disarm func() bool
	fired  atomic.Bool
}

func newWatchdog(clock *clock.Clock, cancel func()) *watchdog {
	return &watchdog{clock: clock, cancel: cancel}
}

func (watchdog *watchdog) arm(silence clock.Millis) {
	watchdog.stop()
	watchdog.disarm = watchdog.clock.AfterFunc(silence, func() {
		watchdog.fired.Store(true)
		watchdog.cancel()
	})
}

func (watchdog *watchdog) stop() {
	if watchdog.disarm != nil {
		watchdog.disarm()
	}
}
