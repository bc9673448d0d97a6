package entry

import (
	"context"

	"github.com/pkg/errors"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/request"
	"sapphirehead/internal/runner"
	"sapphirehead/internal/service"
)

// cancelTimeout bounds the call that cancels an abandoned generation.
const cancelTimeout = 1 * clock.Second

// Driver executes the actions of request flows. Its methods are called from one
// goroutine for each request.
type Driver struct {
	clock         *clock.Clock
	choose        func(req *request.Request, exclude []string) (*backend.Server, bool)
	retry         func(req *request.Request) bool
	claim         func(ctx context.Context, req *request.Request) (request.Claim, service.Answer)
	record        func(ctx context.Context, req *request.Request, answer service.Answer) error
	open          func(ctx context.Context, req *request.Request, attempt request.Attempt) (*runner.Stream, error)
	cancel        func(ctx context.Context, server *backend.Server, streamID string) error
	call          func(ctx context.Context, server *backend.Server, req *request.Request, call service.Call) (service.Answer, request.Cause, error)
	serverLeaving func(server *backend.Server)
	attemptEnded  func(req *request.Request, server *backend.Server, cause request.Cause, tokens int)
	closeIdle     func(server *backend.Server)
	sourceChanged func(response *Response)
}

// NewDriver returns a driver that reaches the node through its functions.
// serverLeaving is called for servers that announce that they are leaving,
// attemptEnded after each attempt with the cause of its failure (0 if it
// succeeded) and the number of tokens that it received, closeIdle for servers whose connections went silent, and
// sourceChanged when a response comes from another stream than before.
func NewDriver(
	clock *clock.Clock,
	choose func(req *request.Request, exclude []string) (*backend.Server, bool),
	retry func(req *request.Request) bool,
	claim func(ctx context.Context, req *request.Request) (request.Claim, service.Answer),
	record func(ctx context.Context, req *request.Request, answer service.Answer) error,
	open func(ctx context.Context, req *request.Request, attempt request.Attempt) (*runner.Stream, error),
	cancel func(ctx context.Context, server *backend.Server, streamID string) error,
	call func(ctx context.Context, server *backend.Server, req *request.Request, call service.Call) (service.Answer, request.Cause, error),
	serverLeaving func(server *backend.Server),
	attemptEnded func(req *request.Request, server *backend.Server, cause request.Cause, tokens int),
	closeIdle func(server *backend.Server),
	sourceChanged func(response *Response),
) *Driver {
	return &Driver{
		clock: clock, choose: choose, retry: retry, claim: claim, record: record, open: open,
		cancel: cancel, call: call, serverLeaving: serverLeaving, attemptEnded: attemptEnded, closeIdle: closeIdle, sourceChanged: sourceChanged,
	}
}

// abandon cancels a generation that is no longer needed.
func (driver *Driver) abandon(server *backend.Server, streamID string) {
	ctx, cancel := driver.clock.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_ = driver.cancel(ctx, server, streamID)
}

// Call runs a call to an application service.
func (driver *Driver) Call(ctx context.Context, req *request.Request, call service.Call) (service.Answer, error) {
	ctx, cancel := driver.clock.WithTimeout(ctx, req.Deadline()-driver.clock.Now())
	defer cancel()
	flow := request.NewFlow(req, driver.clock, driver.choose, driver.retry)
	action := flow.Start()
	var answer service.Answer
	for {
		switch action.Kind() {
		case request.ActionClaim:
			var claim request.Claim
			claim, answer = driver.claim(ctx, req)
			action = flow.Claimed(claim)
		case request.ActionAttempt:
			answer, action = driver.exchange(ctx, flow, action.Attempt(), call)
		case request.ActionReplay:
			return answer, nil
		case request.ActionFinish:
			if req.NeedsClaim() {
				_ = driver.record(context.WithoutCancel(ctx), req, answer)
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
	flow.Sent(attempt.Number())
	answer, cause, err := driver.call(ctx, server, flow.Request(), call)
	ended := cause
	if cause == request.CauseCut && ctx.Err() != nil {
		// The server may still be at work: it was too slow, or the caller left.
		ended = request.CauseSilent
	}
	driver.attemptEnded(flow.Request(), server, ended, 0)
	if err == nil {
		return answer, flow.Answered(attempt.Number())
	}
	if server.Leaving() {
		driver.serverLeaving(server)
	}
	return service.Answer{}, flow.Broken(attempt.Number(), cause)
}
