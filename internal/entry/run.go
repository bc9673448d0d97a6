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

// streamSource identifies a stream at a backend server.
type streamSource struct {
	server   *backend.Server
	streamID string
}

// attemptEvent is a message from an attempt's goroutine to its run.
type attemptEvent struct {
	attempt  int
	opened   bool
	streamID string
	event    runner.Event
	err      error
}

// run generates one response. One goroutine owns the flow and the journal. Each
// attempt reads its stream in its own goroutine and sends events, so that two
// attempts can be in progress while a stream moves.
type run struct {
	driver     *Driver
	response   *Response
	flow       *request.Flow
	events     chan attemptEvent
	expired    chan struct{}
	stopTimer  func() bool
	finishedBy int
	sources    map[int]streamSource
	cancels    map[int]context.CancelFunc
	attempts   map[int]request.Attempt
	received   map[int]int
	group      sync.WaitGroup
}

// Run generates a response and finishes its journal.
func (driver *Driver) Run(ctx context.Context, response *Response) {
	run := &run{
		driver:   driver,
		response: response,
		flow:     request.NewFlow(response.Request(), driver.clock, driver.choose, driver.retry),
		events:   make(chan attemptEvent),
		expired:  make(chan struct{}, 1),
		sources:  map[int]streamSource{},
		cancels:  map[int]context.CancelFunc{},
		attempts: map[int]request.Attempt{},
		received: map[int]int{},
	}
	err := run.generate(ctx)
	response.journal.Finish(err)
	run.stopAttempts(err)
}

func (run *run) generate(ctx context.Context) error {
	run.armDeadline()
	defer func() { run.stopTimer() }()
	action, err := run.firstAction()
	if err != nil || action.Kind() == 0 {
		return err
	}
	for {
		switch action.Kind() {
		case request.ActionClaim:
			action = run.claim(ctx)
		case request.ActionAttempt:
			run.startAttempt(ctx, action.Attempt())
			action = request.ReadAction()
		case request.ActionReplay:
			return nil
		case request.ActionFinish:
			return run.record(ctx)
		case request.ActionFail:
			return action.Err()
		default:
			action, err = run.nextAction(ctx)
			if err != nil {
				return err
			}
			run.updateJournal()
		}
	}
}

// claim claims the right to run. A recorded answer is added to the journal.
func (run *run) claim(ctx context.Context) request.Action {
	req := run.response.Request()
	ctx, cancel := run.driver.clock.WithTimeout(ctx, req.Deadline()-run.driver.clock.Now())
	defer cancel()
	claim, recorded := run.driver.claim(ctx, req)
	action := run.flow.Claimed(claim)
	if action.Kind() == request.ActionReplay {
		run.response.journal.Advance([]string{string(recorded.Body())})
	}
	return action
}

// firstAction returns the first action, or the zero action if the resume point
// is complete.
func (run *run) firstAction() (request.Action, error) {
	resume := run.response.resumeFrom
	if resume == nil {
		return run.flow.Start(), nil
	}
	if resume.complete {
		return request.Action{}, nil
	}
	return run.flow.Adopt(resume.source.server, resume.source.streamID, resume.tokens), nil
}

// nextAction waits for the next event and returns the resulting action.
func (run *run) nextAction(ctx context.Context) (request.Action, error) {
	select {
	case event := <-run.events:
		return run.handleEvent(event), nil
	case move := <-run.response.moves:
		return run.flow.Move(move == request.MoveTransfer), nil
	case pause := <-run.response.pauses:
		return request.ReadAction(), run.suspend(ctx, pause)
	case <-run.expired:
		run.armDeadline()
		return run.flow.Expire(), nil
	case <-ctx.Done():
		return request.Action{}, context.Cause(ctx)
	}
}

// suspend leaves the journal unchanged until the result of the handover.
func (run *run) suspend(ctx context.Context, pause *pause) error {
	close(pause.paused)
	select {
	case err := <-pause.result:
		return err
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// armDeadline signals expired at the deadline. The flow itself checks the clock
// for whether the deadline has passed.
func (run *run) armDeadline() {
	remaining := run.response.Request().Deadline() - run.driver.clock.Now()
	run.stopTimer = run.driver.clock.AfterFunc(max(remaining, 1), func() {
		select {
		case run.expired <- struct{}{}:
		default:
		}
	})
}

// handleEvent reports an attempt's event to the flow.
func (run *run) handleEvent(event attemptEvent) request.Action {
	attempt := run.attempts[event.attempt]
	server := attempt.Server()
	switch {
	case event.err != nil:
		if !run.flow.InProgress(event.attempt) {
			return request.ReadAction()
		}
		return run.attemptFailed(attempt, event.err)
	case event.opened:
		run.sources[event.attempt] = streamSource{server: server, streamID: event.streamID}
		run.flow.Stream(event.attempt, event.streamID)
		return request.ReadAction()
	}
	if event.event.Leaving() {
		run.driver.serverLeaving(server)
	}
	action := request.ReadAction()
	if len(event.event.Tokens()) > 0 {
		run.received[event.attempt] += len(event.event.Tokens())
		_, action = run.flow.Chunk(event.attempt, event.event.Offset(), event.event.Tokens())
	}
	if total, ended := event.event.Ended(); ended && action.Kind() == request.ActionRead {
		action = run.flow.Ended(event.attempt, total)
	}
	if action.Kind() == request.ActionFinish {
		run.finishedBy = event.attempt
		run.response.observeSpeed(server)
		run.driver.attemptEnded(run.response.Request(), server, 0, run.received[event.attempt])
	}
	return action
}

func (run *run) attemptFailed(attempt request.Attempt, err error) request.Action {
	cause := request.CauseCut
	var broken *runner.AttemptError
	if errors.As(err, &broken) {
		cause = broken.Cause()
	}
	run.driver.attemptEnded(run.response.Request(), attempt.Server(), cause, run.received[attempt.Number()])
	if attempt.Server().Leaving() {
		run.driver.serverLeaving(attempt.Server())
	}
	delete(run.sources, attempt.Number())
	run.cancels[attempt.Number()]()
	delete(run.cancels, attempt.Number())
	return run.flow.Broken(attempt.Number(), cause)
}

// updateJournal copies the flow's progress to the journal, and ends attempts
// that the flow has abandoned. The source is updated first, so that a reader
// that sees tokens also sees where they come from.
func (run *run) updateJournal() {
	journal := run.response.journal
	if server, streamID, ok := run.flow.Source(); ok {
		if current, currentID := journal.State().Source(); current != server || currentID != streamID {
			journal.SetSource(server, streamID)
			run.driver.sourceChanged(run.response)
		}
	}
	if len(run.flow.Tokens()) > 0 {
		run.response.firstTokenAt.CompareAndSwap(0, int64(run.driver.clock.Now()))
	}
	journal.Advance(run.flow.Tokens())
	for number := range run.cancels {
		if !run.flow.Done() && !run.flow.InProgress(number) {
			run.abandon(number)
		}
	}
}

// abandon cancels an attempt and its generation, unless another attempt reads
// the same generation.
func (run *run) abandon(number int) {
	run.cancels[number]()
	delete(run.cancels, number)
	abandoned, ok := run.sources[number]
	delete(run.sources, number)
	for _, source := range run.sources {
		ok = ok && source != abandoned
	}
	if ok {
		run.group.Go(func() { run.driver.abandon(abandoned.server, abandoned.streamID) })
	}
}

// stopAttempts cancels all attempts and their generations, except for a
// generation that has finished or that another node continues.
func (run *run) stopAttempts(err error) {
	for number := range run.cancels {
		if number == run.finishedBy || isMoved(err) {
			delete(run.sources, number)
		}
		run.abandon(number)
	}
	run.group.Wait()
}

func (run *run) record(ctx context.Context) error {
	if run.response.Request().NeedsClaim() {
		answer := service.NewAnswer(200, "text/plain", []byte(strings.Join(run.flow.Tokens(), "")))
		_ = run.driver.record(context.WithoutCancel(ctx), run.response.Request(), answer)
	}
	return nil
}

// startAttempt starts an attempt in its own goroutine.
func (run *run) startAttempt(ctx context.Context, attempt request.Attempt) {
	ctx, cancel := context.WithCancel(ctx)
	run.attempts[attempt.Number()] = attempt
	run.cancels[attempt.Number()] = cancel
	run.flow.Sent(attempt.Number())
	run.group.Go(func() { run.readStream(ctx, attempt) })
}
