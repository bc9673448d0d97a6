package entry

import (
	"context"
	"sync"
	"sync/atomic"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/request"
)

// Times for which answers outlive the connections of their callers.
const (
	// returnGrace is how long a generation goes on for a caller that left.
	returnGrace = 5 * clock.Second
	// adoptedGrace is the same for a stream taken over from another entry
	// host, whose caller first has to find the way here.
	adoptedGrace = 30 * clock.Second
	// retention is how long a finished answer is kept for a caller's return.
	retention = 30 * clock.Second
)

// Responses holds the answers that this node generates or has generated lately.
// An answer belongs to no connection: it runs on its own, and any number of
// connections of its client account follow its journal.
//
//	POST, stream        -> Begin, Follow(0)  "req-1": The log
//	connection lost     -> detached, runs on for the grace
//	Last-Event-ID req-1:1 -> Find, Follow(1) " log", " is", " clean"
//
// Lookups and appends take no lock: the map is a sync.Map, journals are read
// through atomic pointers.
type Responses struct {
	clock  *clock.Clock
	life   context.Context
	end    context.CancelCauseFunc
	run    func(ctx context.Context, answer *Response)
	byID   sync.Map
	active atomic.Int64
	group  sync.WaitGroup
}

// NewResponses returns an empty set. The function run generates an answer and
// finishes its journal.
func NewResponses(clock *clock.Clock, run func(ctx context.Context, answer *Response)) *Responses {
	life, end := context.WithCancelCause(context.Background())
	return &Responses{clock: clock, life: life, end: end, run: run}
}

// Begin starts to generate the answer to a request, unless an answer with its
// id is known.
func (answers *Responses) Begin(to *request.Request) *Response {
	return answers.start(newAnswer(answers, to, nil))
}

// Adopt goes on with an answer that another node began. The start tells where.
func (answers *Responses) Adopt(to *request.Request, start *ResumePoint) *Response {
	return answers.start(newAnswer(answers, to, start))
}

func (answers *Responses) start(answer *Response) *Response {
	id := answer.Request().ID()
	for {
		found, loaded := answers.byID.LoadOrStore(id, answer)
		if !loaded {
			break
		}
		if known := found.(*Response); !known.replaceable() {
			return known
		}
		if answers.byID.CompareAndSwap(id, found, answer) {
			break
		}
	}
	answers.active.Add(1)
	answers.group.Go(func() {
		defer answers.active.Add(-1)
		answers.run(answer.ctx, answer)
		answer.cancel(nil)
		close(answer.finished)
		answers.clock.AfterFunc(retention, func() { answers.byID.CompareAndDelete(id, answer) })
	})
	if answer.start != nil {
		answer.attend()()
	}
	return answer
}

// Find returns the answer with the id.
func (answers *Responses) Find(id string) (*Response, bool) {
	found, ok := answers.byID.Load(id)
	if !ok {
		return nil, false
	}
	return found.(*Response), true
}

// Active returns the answers that are being generated.
func (answers *Responses) Active() []*Response {
	var active []*Response
	answers.byID.Range(func(_, value any) bool {
		answer := value.(*Response)
		if finished, _ := answer.journal.State().Finished(); !finished {
			active = append(active, answer)
		}
		return true
	})
	return active
}

// Close stops every generation with the cause and waits for its end.
func (answers *Responses) Close(cause error) {
	answers.end(cause)
	answers.group.Wait()
}

// ResumePoint tells where a node goes on with an answer that another began.
type ResumePoint struct {
	tokens []string
	place  place
	whole  bool
}

// Response is one answer of this node.
type Response struct {
	answers *Responses
	journal *request.Journal
	start   *ResumePoint
	grace   clock.Millis
	ctx     context.Context
	cancel  context.CancelCauseFunc
	// moves and pauses are how others speak to the answer's run.
	moves    chan request.Move
	pauses   chan *pause
	finished chan struct{}
	epoch    atomic.Int64
	readers  atomic.Int64
	firstAt  atomic.Int64
}

func newAnswer(answers *Responses, to *request.Request, start *ResumePoint) *Response {
	answer := &Response{
		answers: answers, start: start,
		moves: make(chan request.Move, 1), pauses: make(chan *pause), finished: make(chan struct{}),
	}
	answer.ctx, answer.cancel = context.WithCancelCause(answers.life)
	var tokens []string
	switch {
	case start != nil:
		tokens, answer.grace = start.tokens, adoptedGrace
	case to.Streamed():
		answer.grace = returnGrace
	}
	answer.journal = request.NewJournal(to, tokens)
	return answer
}

// Request returns the request that is answered.
func (answer *Response) Request() *request.Request { return answer.journal.Request() }

// Journal returns the answer as far as it has come.
func (answer *Response) Journal() *request.Journal { return answer.journal }

// Follow delivers the tokens from the offset on, as they come, and returns nil
// once the answer is whole.
func (answer *Response) Follow(ctx context.Context, offset int, deliver func(offset int, tokens []string) error) error {
	detach := answer.attend()
	defer detach()
	for {
		state := answer.journal.State()
		if tokens := state.Tokens(); len(tokens) > offset {
			if err := deliver(offset, tokens[offset:]); err != nil {
				return err
			}
			offset = len(tokens)
		}
		if finished, err := state.Finished(); finished {
			return err
		}
		select {
		case <-state.Changed():
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// attend counts a connection that follows the answer. When the last one has
// left, the generation is stopped after the grace, unless a later one came.
// What has side effects runs to its end.
func (answer *Response) attend() (detach func()) {
	answer.readers.Add(1)
	answer.epoch.Add(1)
	return func() {
		if answer.readers.Add(-1) > 0 || answer.Request().Route().NonIdempotent() {
			return
		}
		if finished, _ := answer.journal.State().Finished(); finished {
			return
		}
		epoch := answer.epoch.Load()
		if answer.grace == 0 {
			answer.cancel(request.NewUnattendedError(answer.Request().ID()))
			return
		}
		answer.answers.clock.AfterFunc(answer.grace, func() {
			if answer.readers.Load() == 0 && answer.epoch.Load() == epoch {
				answer.cancel(request.NewUnattendedError(answer.Request().ID()))
			}
		})
	}
}

// perToken returns the time that a token has taken so far, or the route's
// target while too few are known.
func (answer *Response) perToken() clock.Millis {
	tokens := clock.Millis(len(answer.journal.State().Tokens()))
	first := clock.Millis(answer.firstAt.Load())
	if first == 0 || tokens < 2 {
		return answer.Request().Route().BetweenTokens()
	}
	return max((answer.answers.clock.Now()-first)/(tokens-1), 1)
}

// observeSpeed tells the server's host class how long the answer took, if all of
// it came from there.
func (answer *Response) observeSpeed(server *backend.Server) {
	first, tokens := clock.Millis(answer.firstAt.Load()), len(answer.journal.State().Tokens())
	if first > 0 && answer.start == nil {
		server.Speed().Observe(answer.answers.clock.Now()-first, tokens-1)
	}
}

// replaceable reports whether the answer was given up here and may be taken up
// again: another node goes on with it, or its caller stayed away.
func (answer *Response) replaceable() bool {
	_, err := answer.journal.State().Finished()
	return isMoved(err) || isUnattended(err)
}
