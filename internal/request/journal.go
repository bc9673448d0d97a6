package request

import (
	"sync/atomic"

	"sapphirehead/internal/backend"
)

// Journal is the answer to one request as far as it has come. One goroutine
// writes it; callers' connections read it, also ones that come later. Each
// change publishes a new immutable state, so readers take no lock:
//
//	writer: Advance(["The"])      state {The}        readers of state {} wake
//	writer: Advance([" log"])     state {The log}
//	writer: Finish(nil)           state {The log, finished}
type Journal struct {
	request *Request
	state   atomic.Pointer[JournalState]
}

// NewJournal returns the journal of a request whose answer is known up to the
// tokens.
func NewJournal(request *Request, tokens []string) *Journal {
	journal := &Journal{request: request}
	journal.state.Store(&JournalState{tokens: tokens, changed: make(chan struct{})})
	return journal
}

// Request returns the request that is answered.
func (journal *Journal) Request() *Request { return journal.request }

// State returns the latest state.
func (journal *Journal) State() *JournalState { return journal.state.Load() }

// Advance publishes that the answer has come as far as the tokens, which begin
// with those published before.
func (journal *Journal) Advance(tokens []string) {
	current := journal.State()
	if len(tokens) > len(current.tokens) {
		journal.publish(&JournalState{tokens: tokens, server: current.server, streamID: current.streamID})
	}
}

// SetSource publishes from which stream of which server the answer comes.
func (journal *Journal) SetSource(server *backend.Server, streamID string) {
	current := journal.State()
	if current.server != server || current.streamID != streamID {
		journal.publish(&JournalState{tokens: current.tokens, server: server, streamID: streamID})
	}
}

// Finish publishes that nothing more comes: the answer is whole if err is nil.
func (journal *Journal) Finish(err error) {
	current := journal.State()
	journal.publish(&JournalState{tokens: current.tokens, server: current.server, streamID: current.streamID, finished: true, err: err})
}

func (journal *Journal) publish(state *JournalState) {
	state.changed = make(chan struct{})
	close(journal.state.Swap(state).changed)
}

// JournalState is one state of a journal. It does not change.
type JournalState struct {
	tokens   []string
	server   *backend.Server
	streamID string
	finished bool
	err      error
	changed  chan struct{}
}

// Tokens returns the tokens so far. Callers must not change them.
func (state *JournalState) Tokens() []string { return state.tokens }

// Source returns the server and the stream from which the answer comes, or nil.
func (state *JournalState) Source() (server *backend.Server, streamID string) {
	return state.server, state.streamID
}

// Finished reports whether nothing more comes, and why if the answer is not
// whole.
func (state *JournalState) Finished() (finished bool, err error) { return state.finished, state.err }

// Changed is closed when there is a later state.
func (state *JournalState) Changed() <-chan struct{} { return state.changed }
