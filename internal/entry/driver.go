package entry

import (
	"context"
	"strings"
	"sync/atomic"

	"github.com/pkg/errors"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/request"
	"sapphirehead/internal/runner"
	"sapphirehead/internal/service"
)

// Times after which an attempt without progress counts as silent.
const (
	silenceFirst   = 10 * clock.Second
	silenceBetween = 2 * clock.Second
)

// cancelTimeout bounds the call that stops an abandoned generation.
const cancelTimeout = 1 * clock.Second

// Driver carries out the actions of request flows. Its methods are called
// from one goroutine for each request.
type Driver struct {
	clock    *clock.Clock
	choose   func(to *request.Request, exclude []string) (*backend.Server, bool)
	retry    func(to *request.Request) bool
	claim    func(ctx context.Context, to *request.Request) (request.Claim, service.Answer)
	record   func(ctx context.Context, to *request.Request, answer service.Answer) error
	open     func(ctx context.Context, to *request.Request, attempt request.Attempt) (*runner.Stream, error)
	cancel   func(ctx context.Context, server *backend.Server, streamID string) error
	call     func(ctx context.Context, server *backend.Server, from *request.Request, call service.Call) (service.Answer, request.Cause, error)
	leaving  func(server *backend.Server)
	attempts func(to *request.Request, server *backend.Server, cause request.Cause)
}

// NewDriver returns a driver over the seams of a node. The function leaving
// hears of servers that say they leave, attempts of each attempt that ended
// with the cause, or 0 if it went well.
func NewDriver(
	clock *clock.Clock,
	choose func(to *request.Request, exclude []string) (*backend.Server, bool),
	retry func(to *request.Request) bool,
	claim func(ctx context.Context, to *request.Request) (request.Claim, service.Answer),
	record func(ctx context.Context, to *request.Request, answer service.Answer) error,
	open func(ctx context.Context, to *request.Request, attempt request.Attempt) (*runner.Stream, error),
	cancel func(ctx context.Context, server *backend.Server, streamID string) error,
	call func(ctx context.Context, server *backend.Server, from *request.Request, call service.Call) (service.Answer, request.Cause, error),
	leaving func(server *backend.Server),
	attempts func(to *request.Request, server *backend.Server, cause request.Cause),
) *Driver {
	return &Driver{
		clock: clock, choose: choose, retry: retry, claim: claim, record: record, open: open,
		cancel: cancel, call: call, leaving: leaving, attempts: attempts,
	}
}

// Chat runs a chat request and delivers its tokens in order. It returns nil
// once the answer is whole.
func (driver *Driver) Chat(ctx context.Context, to *request.Request, deliver func(offset int, tokens []string) error) error {
	ctx, cancel := driver.clock.WithTimeout(ctx, to.Deadline()-driver.clock.Now())
	defer cancel()
	flow := request.NewFlow(to, driver.clock, driver.choose, driver.retry)
	action := flow.Start()
	var recorded service.Answer
	for {
		switch action.Kind() {
		case request.ActionClaim:
			var claim request.Claim
			claim, recorded = driver.claim(ctx, to)
			action = flow.Claimed(claim)
		case request.ActionAttempt:
			var err error
			action, err = driver.stream(ctx, flow, action.Attempt(), deliver)
			if err != nil {
				return err
			}
		case request.ActionReplay:
			return deliver(0, []string{string(recorded.Body())})
		case request.ActionFinish:
			return driver.finishChat(ctx, flow)
		case request.ActionFail:
			return action.Err()
		default:
			return errors.Errorf("flow returned action %d", action.Kind())
		}
	}
}

func (driver *Driver) finishChat(ctx context.Context, flow *request.Flow) error {
	if !flow.Request().NeedsClaim() {
		return nil
	}
	answer := service.NewAnswer(200, "text/plain", []byte(strings.Join(flow.Tokens(), "")))
	_ = driver.record(ctx, flow.Request(), answer)
	return nil
}

// stream carries out one attempt at a model runner. It returns an error only
// if the caller is gone.
func (driver *Driver) stream(
	ctx context.Context, flow *request.Flow, attempt request.Attempt, deliver func(offset int, tokens []string) error,
) (request.Action, error) {
	server := attempt.Server()
	end := server.Begin()
	defer end()
	attemptCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := newWatchdog(driver.clock, cancel)
	defer watchdog.stop()
	watchdog.arm(silenceFirst)
	stream, err := driver.open(attemptCtx, flow.Request(), attempt)
	if err != nil {
		return driver.broken(ctx, flow, attempt, watchdog, err)
	}
	defer stream.Close()
	flow.Sent(attempt.Number())
	flow.Stream(attempt.Number(), stream.ID())
	for {
		event, err := stream.Next()
		if err != nil {
			return driver.broken(ctx, flow, attempt, watchdog, err)
		}
		watchdog.arm(silenceBetween)
		if event.Leaving() {
			driver.leaving(server)
		}
		have := len(flow.Tokens())
		ready, action := flow.Chunk(attempt.Number(), event.Offset(), event.Tokens())
		if len(ready) > 0 {
			if err := deliver(have, ready); err != nil {
				driver.abandon(server, stream.ID())
				return request.Action{}, errors.Wrap(err, "deliver to the caller")
			}
		}
		if total, ended := event.Ended(); ended && action.Kind() == request.ActionRead {
			action = flow.Ended(attempt.Number(), total)
			if action.Kind() == request.ActionRead {
				action = flow.Broken(attempt.Number(), request.CauseCut)
			}
		}
		if action.Kind() != request.ActionRead {
			driver.attempts(flow.Request(), server, 0)
			return action, nil
		}
	}
}

// broken reports a failed attempt to the flow, with what is known of its cause.
func (driver *Driver) broken(
	ctx context.Context, flow *request.Flow, attempt request.Attempt, watchdog *watchdog, err error,
) (request.Action, error) {
	if ctx.Err() != nil {
		if action := flow.Expire(); action.Kind() == request.ActionFail {
			return action, nil
		}
		return request.Action{}, ctx.Err()
	}
	cause := request.CauseCut
	var broken *runner.BrokenError
	if errors.As(err, &broken) {
		cause = broken.Cause()
	}
	if watchdog.fired.Load() {
		cause = request.CauseSilent
	}
	if cause != request.CauseNotSent && cause != request.CauseRefused {
		flow.Sent(attempt.Number())
	}
	driver.attempts(flow.Request(), attempt.Server(), cause)
	if attempt.Server().Leaving() {
		driver.leaving(attempt.Server())
	}
	return flow.Broken(attempt.Number(), cause), nil
}

// abandon stops a generation that nobody waits for.
func (driver *Driver) abandon(server *backend.Server, streamID string) {
	ctx, cancel := driver.clock.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_ = driver.cancel(ctx, server, streamID)
}

// Call runs a call to an application service.
func (driver *Driver) Call(ctx context.Context, to *request.Request, call service.Call) (service.Answer, error) {
	ctx, cancel := driver.clock.WithTimeout(ctx, to.Deadline()-driver.clock.Now())
	defer cancel()
	flow := request.NewFlow(to, driver.clock, driver.choose, driver.retry)
	action := flow.Start()
	var answer service.Answer
	for {
		switch action.Kind() {
		case request.ActionClaim:
			var claim request.Claim
			claim, answer = driver.claim(ctx, to)
			action = flow.Claimed(claim)
		case request.ActionAttempt:
			answer, action = driver.exchange(ctx, flow, action.Attempt(), call)
		case request.ActionReplay:
			return answer, nil
		case request.ActionFinish:
			if to.NeedsClaim() {
				_ = driver.record(context.WithoutCancel(ctx), to, answer)
			}
			return answer, nil
		case request.ActionFail:
			return service.Answer{}, action.Err()
		default:
			return service.Answer{}, errors.Errorf("flow returned action %d", action.Kind())
		}
	}
}

func (driver *Driver) exchange(ctx context.Context, flow *request.Flow, attempt request.Attempt, call service.Call) (service.Answer, request.Action) {
	server := attempt.Server()
	end := server.Begin()
	defer end()
	answer, cause, err := driver.call(ctx, server, flow.Request(), call)
	driver.attempts(flow.Request(), server, cause)
	if err == nil {
		return answer, flow.Answered(attempt.Number())
	}
	if cause != request.CauseNotSent && cause != request.CauseRefused {
		flow.Sent(attempt.Number())
	}
	if server.Leaving() {
		driver.leaving(server)
	}
	return service.Answer{}, flow.Broken(attempt.Number(), cause)
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
