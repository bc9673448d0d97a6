package entry

import (
	"context"
	"strings"
	"sync"

	"github.com/pkg/errors"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/request"
	"sapphirehead/internal/runner"
	"sapphirehead/internal/service"
)

// place is a stream at a server.
type place struct {
	server   *backend.Server
	streamID string
}

// attemptEvent is one message of an attempt's goroutine to its run.
type attemptEvent struct {
	attempt  int
	opened   bool
	streamID string
	event    runner.Event
	err      error
}

// run generates one answer. One goroutine owns the flow and the journal; each
// attempt reads its stream in a goroutine of its own and sends what it reads,
// so two attempts can be in progress while a stream moves.
type run struct {
	driver   *Driver
	answer   *Response
	flow     *request.Flow
	events   chan attemptEvent
	expired  chan struct{}
	disarm   func() bool
	finisher int
	places   map[int]place
	cancels  map[int]context.CancelFunc
	attempts map[int]request.Attempt
	group    sync.WaitGroup
}

// Run generates an answer and finishes its journal.
func (driver *Driver) Run(ctx context.Context, answer *Response) {
	run := &run{
		driver:   driver,
		answer:   answer,
		flow:     request.NewFlow(answer.Request(), driver.clock, driver.choose, driver.retry),
		events:   make(chan attemptEvent),
		expired:  make(chan struct{}, 1),
		places:   map[int]place{},
		cancels:  map[int]context.CancelFunc{},
		attempts: map[int]request.Attempt{},
	}
	err := run.generate(ctx)
	answer.journal.Finish(err)
	run.end(err)
}

func (run *run) generate(ctx context.Context) error {
	run.armDeadline()
	defer func() { run.disarm() }()
	action, err := run.start()
	if err != nil || action.Kind() == 0 {
		return err
	}
	for {
		switch action.Kind() {
		case request.ActionClaim:
			action = run.claim(ctx)
		case request.ActionAttempt:
			run.begin(ctx, action.Attempt())
			action = request.ReadAction()
		case request.ActionReplay:
			return nil
		case request.ActionFinish:
			return run.record(ctx)
		case request.ActionFail:
			return action.Err()
		default:
			action, err = run.wait(ctx)
			if err != nil {
				return err
			}
			run.publish()
		}
	}
}

// claim asks for the right to run. A recorded answer goes into the journal.
func (run *run) claim(ctx context.Context) request.Action {
	to := run.answer.Request()
	ctx, cancel := run.driver.clock.WithTimeout(ctx, to.Deadline()-run.driver.clock.Now())
	defer cancel()
	claim, recorded := run.driver.claim(ctx, to)
	action := run.flow.Claimed(claim)
	if action.Kind() == request.ActionReplay {
		run.answer.journal.Advance([]string{string(recorded.Body())})
	}
	return action
}

// start returns the first action, or none if the answer came whole.
func (run *run) start() (request.Action, error) {
	start := run.answer.start
	if start == nil {
		return run.flow.Start(), nil
	}
	if start.whole {
		return request.Action{}, nil
	}
	return run.flow.Adopt(start.place.server, start.place.streamID, start.tokens), nil
}

// wait returns what follows from the next event.
func (run *run) wait(ctx context.Context) (request.Action, error) {
	select {
	case event := <-run.events:
		return run.take(event), nil
	case move := <-run.answer.moves:
		return run.flow.Move(move == request.MoveTransfer), nil
	case pause := <-run.answer.pauses:
		return request.ReadAction(), run.standStill(ctx, pause)
	case <-run.expired:
		run.armDeadline()
		return run.flow.Expire(), nil
	case <-ctx.Done():
		return request.Action{}, context.Cause(ctx)
	}
}

// standStill keeps the journal as it is until the verdict.
func (run *run) standStill(ctx context.Context, pause *pause) error {
	close(pause.frozen)
	select {
	case err := <-pause.verdict:
		return err
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// armDeadline wakes the run at the deadline. The flow decides by the clock
// whether it has passed.
func (run *run) armDeadline() {
	left := run.answer.Request().Deadline() - run.driver.clock.Now()
	run.disarm = run.driver.clock.AfterFunc(max(left, 1), func() {
		select {
		case run.expired <- struct{}{}:
		default:
		}
	})
}

// take reports an attempt's event to the flow.
func (run *run) take(event attemptEvent) request.Action {
	attempt := run.attempts[event.attempt]
	server := attempt.Server()
	switch {
	case event.err != nil:
		if !run.flow.InProgress(event.attempt) {
			return request.ReadAction()
		}
		return run.broken(attempt, event.err)
	case event.opened:
		run.places[event.attempt] = place{server: server, streamID: event.streamID}
		run.flow.Stream(event.attempt, event.streamID)
		return request.ReadAction()
	}
	if event.event.Leaving() {
		run.driver.leaving(server)
	}
	action := request.ReadAction()
	if len(event.event.Tokens()) > 0 {
		_, action = run.flow.Chunk(event.attempt, event.event.Offset(), event.event.Tokens())
	}
	if total, ended := event.event.Ended(); ended && action.Kind() == request.ActionRead {
		action = run.flow.Ended(event.attempt, total)
	}
	if action.Kind() == request.ActionFinish {
		run.finisher = event.attempt
		run.answer.observeSpeed(server)
		run.driver.attempts(run.answer.Request(), server, 0)
	}
	return action
}

func (run *run) broken(attempt request.Attempt, err error) request.Action {
	cause := request.CauseCut
	var broken *runner.AttemptError
	if errors.As(err, &broken) {
		cause = broken.Cause()
	}
	run.driver.attempts(run.answer.Request(), attempt.Server(), cause)
	if attempt.Server().Leaving() {
		run.driver.leaving(attempt.Server())
	}
	delete(run.places, attempt.Number())
	run.cancels[attempt.Number()]()
	delete(run.cancels, attempt.Number())
	return run.flow.Broken(attempt.Number(), cause)
}

// publish brings the journal up to the flow, and ends attempts that the flow
// has abandoned. The place goes first: who sees tokens also sees whence.
func (run *run) publish() {
	journal := run.answer.journal
	if server, streamID, ok := run.flow.Source(); ok {
		if known, knownID := journal.State().Source(); known != server || knownID != streamID {
			journal.SetSource(server, streamID)
			run.driver.located(run.answer)
		}
	}
	if len(run.flow.Tokens()) > 0 {
		run.answer.firstAt.CompareAndSwap(0, int64(run.driver.clock.Now()))
	}
	journal.Advance(run.flow.Tokens())
	for number := range run.cancels {
		if !run.flow.Done() && !run.flow.InProgress(number) {
			run.abandon(number)
		}
	}
}

// abandon ends an attempt and the generation behind it, unless another attempt
// reads the same generation.
func (run *run) abandon(number int) {
	run.cancels[number]()
	delete(run.cancels, number)
	left, ok := run.places[number]
	delete(run.places, number)
	for _, place := range run.places {
		ok = ok && place != left
	}
	if ok {
		run.group.Go(func() { run.driver.abandon(left.server, left.streamID) })
	}
}

// end stops all attempts. Generations behind them are stopped too, but for one
// that gave the whole answer or with which another node goes on.
func (run *run) end(err error) {
	for number := range run.cancels {
		if number == run.finisher || isMoved(err) {
			delete(run.places, number)
		}
		run.abandon(number)
	}
	run.group.Wait()
}

func (run *run) record(ctx context.Context) error {
	if run.answer.Request().NeedsClaim() {
		answer := service.NewAnswer(200, "text/plain", []byte(strings.Join(run.flow.Tokens(), "")))
		_ = run.driver.record(context.WithoutCancel(ctx), run.answer.Request(), answer)
	}
	return nil
}

// begin starts the goroutine of an attempt.
func (run *run) begin(ctx context.Context, attempt request.Attempt) {
	ctx, cancel := context.WithCancel(ctx)
	run.attempts[attempt.Number()] = attempt
	run.cancels[attempt.Number()] = cancel
	run.flow.Sent(attempt.Number())
	run.group.Go(func() { run.read(ctx, attempt) })
}
