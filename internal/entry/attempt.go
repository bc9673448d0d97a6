package entry

import (
	"context"
	"sync/atomic"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/request"
	"sapphirehead/internal/runner"
)

// An attempt without progress for a multiple of the route's target, or for the
// floor if that is longer, counts as silent. Comments that a runner sends while
// a request waits in its queue count as progress, but not after its first token: a
// stalled stream may still send a byte now and then.
const (
	silenceTargetFactor = 4
	silenceFirstFloor   = 2 * clock.Second
	silenceBetweenFloor = 1 * clock.Second
)

// drainTimeout bounds the reading of data after an end mark.
const drainTimeout = 200 * clock.Millisecond

// silenceTimeouts returns the timeouts for the first token and between two
// tokens.
func silenceTimeouts(req *request.Request) (first, between clock.Millis) {
	reqRoute := req.Route()
	return max(silenceTargetFactor*reqRoute.FirstToken(), silenceFirstFloor), max(silenceTargetFactor*reqRoute.BetweenTokens(), silenceBetweenFloor)
}

// readStream opens the attempt's stream and sends its events until it ends.
func (run *run) readStream(ctx context.Context, attempt request.Attempt) {
	driver, server := run.driver, attempt.Server()
	end := server.Begin()
	defer end()
	attemptCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := newWatchdog(driver.clock, cancel)
	defer watchdog.stop()
	first, between := silenceTimeouts(run.response.Request())
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
			driver.closeIdle(server)
			err = runner.NewAttemptError(request.CauseSilent, err)
		}
		send(attemptEvent{err: err})
	}
	stream, err := driver.open(attemptCtx, run.response.Request(), attempt)
	if err != nil {
		fail(err)
		return
	}
	defer stream.Close()
	send(attemptEvent{opened: true, streamID: stream.ID()})
	started := false
	for {
		event, err := stream.Next()
		if err != nil {
			fail(err)
			return
		}
		generated := len(event.Tokens()) > 0
		started = started || generated
		switch {
		case generated:
			watchdog.arm(between)
		case !started:
			watchdog.arm(first)
		}
		if _, ended := event.Ended(); ended {
			watchdog.arm(drainTimeout)
			run.drain(stream, send)
			send(attemptEvent{event: event})
			return
		}
		send(attemptEvent{event: event})
	}
}

// drain sends the events after the end mark, so that the connection can be
// reused.
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
	clock     *clock.Clock
	cancel    func()
	stopTimer func() bool
	fired     atomic.Bool
}

func newWatchdog(clock *clock.Clock, cancel func()) *watchdog {
	return &watchdog{clock: clock, cancel: cancel}
}

func (watchdog *watchdog) arm(timeout clock.Millis) {
	watchdog.stop()
	watchdog.stopTimer = watchdog.clock.AfterFunc(timeout, func() {
		watchdog.fired.Store(true)
		watchdog.cancel()
	})
}

func (watchdog *watchdog) stop() {
	if watchdog.stopTimer != nil {
		watchdog.stopTimer()
	}
}
