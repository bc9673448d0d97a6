package request

import (
	"sync/atomic"

	"sapphirehead/internal/backend"
)

// Journal is the append-only response to one request. One goroutine writes it,
// and any number of callers' connections read it, including later ones. Each
// change publishes a new immutable state, so readers take no lock:
//
//	writer: Advance(["The"])           state {The}        readers of state {} wake up
//	writer: Advance(["The", " log"])   state {The log}
//	writer: Finish(nil)                state {The log, finished}
type Journal struct {
	request *Request
	state   atomic.Pointer[JournalState]
}

// NewJournal returns the journal of a request whose response begins with the
// tokens.
func NewJournal(request *Request, tokens []string) *Journal {
	journal := &Journal{request: request}
	journal.state.Store(&JournalState{tokens: tokens, changed: make(chan struct{})})
	return journal
}

// Request returns the request of the response.
func (journal *Journal) Request() *Request { return journal.request }

// State returns the latest state.
func (journal *Journal) State() *JournalState { return journal.state.Load() }

// Advance publishes all tokens of the response so far, which begin with those
// published before.
func (journal *Journal) Advance(tokens []string) {
	current := journal.State()
	if len(tokens) > len(current.tokens) {
		journal.publish(&JournalState{tokens: tokens, server: current.server, streamID: current.streamID})
	}
}

// SetSource publishes the server and the stream from which the response is read.
func (journal *Journal) SetSource(server *backend.Server, streamID string) {
	current := journal.State()
	if current.server != server || current.streamID != streamID {
		journal.publish(&JournalState{tokens: current.tokens, server: server, streamID: streamID})
	}
}

// Finish publishes the end of the response, which is complete if err is nil.
func (journal *Journal) Finish(err error) {
	current := journal.State()
	journal.publish(&JournalState{tokens: current.tokens, server: current.server, streamID: current.streamID, finished: true, err: err})
}

func (journal *Journal) publish(state *JournalState) {
	state.changed = make(chan struct{})
	close(journal.state.Swap(state).changed)
}

// JournalState is one state of a journal. It is immutable.
type JournalState struct {
	tokens   []string
	server   *backend.Server
	streamID string
	finished bool
	err      error
	changed  chan struct{}
}

// Tokens returns the tokens of the response so far. Callers must not change them.
func (state *JournalState) Tokens() []string { return state.tokens }

// Source returns the server and the stream from which the response is read; the
// server is nil if there is none.
func (state *JournalState) Source() (server *backend.Server, streamID string) {
	return state.server, state.streamID
}

// Finished reports whether the response has ended, and the error if it is not
// complete.
func (state *JournalState) Finished() (finished bool, err error) { return state.finished, state.err }

// Changed returns a channel that is closed once there is a later state.
func (state *JournalState) Changed() <-chan struct{} { return state.changed }
