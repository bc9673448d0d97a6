package entry

import (
	"context"
	"sync"
	"sync/atomic"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/request"
)

// Times for which responses outlive their callers' connections.
const (
	// disconnectGrace is how long a generation continues after its caller
	// disconnected.
	disconnectGrace = 5 * clock.Second
	// adoptedGrace is the same for a response continued from a resume point. It is
	// longer because the caller may first have to reconnect to this entry host.
	adoptedGrace = 30 * clock.Second
	// retention is how long a finished response is kept for a caller that
	// reconnects.
	retention = 30 * clock.Second
)

// Responses holds the responses that this node generates or has recently
// generated. A response is independent of connections: any number of
// connections of its client account can follow its journal.
//
//	POST, stream           -> Begin, Follow(0): "The"
//	connection lost        -> the generation continues for the grace
//	Last-Event-ID <id>:1   -> Find, Follow(1): " log", " is", " clean"
//
// Lookups and appends take no lock: the map is a sync.Map, and journals are
// read through atomic pointers.
type Responses struct {
	clock    *clock.Clock
	ctx      context.Context
	cancel   context.CancelCauseFunc
	generate func(ctx context.Context, response *Response)
	byID     sync.Map
	active   atomic.Int64
	group    sync.WaitGroup
}

// NewResponses returns an empty set. generate generates a response and finishes
// its journal.
func NewResponses(clock *clock.Clock, generate func(ctx context.Context, response *Response)) *Responses {
	ctx, cancel := context.WithCancelCause(context.Background())
	return &Responses{clock: clock, ctx: ctx, cancel: cancel, generate: generate}
}

// Begin starts to generate the response to a request, unless there is already a
// response with its ID.
func (responses *Responses) Begin(req *request.Request) *Response {
	return responses.start(newResponse(responses, req, nil))
}

// Adopt continues a response that another node began, from the resume point.
func (responses *Responses) Adopt(req *request.Request, resume *ResumePoint) *Response {
	return responses.start(newResponse(responses, req, resume))
}

func (responses *Responses) start(response *Response) *Response {
	id := response.Request().ID()
	for {
		existing, loaded := responses.byID.LoadOrStore(id, response)
		if !loaded {
			break
		}
		if current := existing.(*Response); !current.replaceable() {
			return current
		}
		if responses.byID.CompareAndSwap(id, existing, response) {
			break
		}
	}
	responses.active.Add(1)
	responses.group.Go(func() {
		defer responses.active.Add(-1)
		responses.generate(response.ctx, response)
		response.cancel(nil)
		close(response.finished)
		responses.clock.AfterFunc(retention, func() { responses.byID.CompareAndDelete(id, response) })
	})
	if response.resumeFrom != nil {
		response.addReader()()
	}
	return response
}

// Find returns the response with the ID.
func (responses *Responses) Find(id string) (*Response, bool) {
	existing, ok := responses.byID.Load(id)
	if !ok {
		return nil, false
	}
	return existing.(*Response), true
}

// Active returns the responses that are being generated.
func (responses *Responses) Active() []*Response {
	var active []*Response
	responses.byID.Range(func(_, value any) bool {
		response := value.(*Response)
		if finished, _ := response.journal.State().Finished(); !finished {
			active = append(active, response)
		}
		return true
	})
	return active
}

// Close cancels every generation with the cause and waits until all have ended.
func (responses *Responses) Close(cause error) {
	responses.cancel(cause)
	responses.group.Wait()
}

// ResumePoint is the state from which a node continues a response that another
// node began, or that it gave up itself.
type ResumePoint struct {
	tokens   []string
	source   streamSource
	complete bool
}

// Response is a response that this node generates.
type Response struct {
	responses       *Responses
	journal         *request.Journal
	resumeFrom      *ResumePoint
	disconnectGrace clock.Millis
	ctx             context.Context
	cancel          context.CancelCauseFunc
	// moves and pauses carry requests to the goroutine of the response's run.
	moves        chan request.Move
	pauses       chan *pause
	finished     chan struct{}
	epoch        atomic.Int64
	readers      atomic.Int64
	firstTokenAt atomic.Int64
}

func newResponse(responses *Responses, req *request.Request, resume *ResumePoint) *Response {
	response := &Response{
		responses: responses, resumeFrom: resume,
		moves: make(chan request.Move, 1), pauses: make(chan *pause), finished: make(chan struct{}),
	}
	response.ctx, response.cancel = context.WithCancelCause(responses.ctx)
	var tokens []string
	switch {
	case resume != nil:
		tokens, response.disconnectGrace = resume.tokens, adoptedGrace
	case req.Streamed():
		response.disconnectGrace = disconnectGrace
	}
	response.journal = request.NewJournal(req, tokens)
	return response
}

// Request returns the request.
func (response *Response) Request() *request.Request { return response.journal.Request() }

// Journal returns the journal of the tokens generated so far.
func (response *Response) Journal() *request.Journal { return response.journal }

// Follow delivers the tokens from the offset on as they are generated, and
// returns nil once the response is complete.
func (response *Response) Follow(ctx context.Context, offset int, deliver func(offset int, tokens []string) error) error {
	remove := response.addReader()
	defer remove()
	for {
		state := response.journal.State()
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

// addReader counts a connection that follows the response. When the last one
// has ended, the generation is cancelled after the grace unless a new one was
// added. A request with side effects always runs to completion.
func (response *Response) addReader() (remove func()) {
	response.readers.Add(1)
	response.epoch.Add(1)
	return func() {
		if response.readers.Add(-1) > 0 || response.Request().Route().NonIdempotent() {
			return
		}
		if finished, _ := response.journal.State().Finished(); finished {
			return
		}
		epoch := response.epoch.Load()
		if response.disconnectGrace == 0 {
			response.cancel(request.NewUnattendedError(response.Request().ID()))
			return
		}
		response.responses.clock.AfterFunc(response.disconnectGrace, func() {
			if response.readers.Load() == 0 && response.epoch.Load() == epoch {
				response.cancel(request.NewUnattendedError(response.Request().ID()))
			}
		})
	}
}

// perToken returns the mean time between tokens so far, or the route's target
// while there are fewer than two tokens.
func (response *Response) perToken() clock.Millis {
	tokens := clock.Millis(len(response.journal.State().Tokens()))
	first := clock.Millis(response.firstTokenAt.Load())
	if first == 0 || tokens < 2 {
		return response.Request().Route().BetweenTokens()
	}
	return max((response.responses.clock.Now()-first)/(tokens-1), 1)
}

// observeSpeed reports the generation time to the server's speed estimate, unless
// the response was continued from a resume point.
func (response *Response) observeSpeed(server *backend.Server) {
	first, tokens := clock.Millis(response.firstTokenAt.Load()), len(response.journal.State().Tokens())
	if first > 0 && response.resumeFrom == nil {
		server.Speed().Observe(response.responses.clock.Now()-first, tokens-1)
	}
}

// replaceable reports whether this node gave up the response, so that it may be
// started again: another node has continued it, or its caller did not
// reconnect.
func (response *Response) replaceable() bool {
	_, err := response.journal.State().Finished()
	return isMoved(err) || isUnattended(err)
}
