package node

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"sapphirehead/internal/clock"
)

// Hint identifies the backend server and stream that generate a response, in case
// the node that serves its caller dies. It contains no prompt, which the caller
// sends again.
type Hint struct {
	requestID   string
	accountHash uint32
	promptHash  uint32
	routeHash   uint32
	serverHash  uint32
	streamID    string
	deadline    clock.Millis
}

// NewHint returns a hint. Client account, prompt, route and backend server are
// identified by their hashes; the deadline is in this node's monotonic time.
func NewHint(requestID string, accountHash, promptHash, routeHash, serverHash uint32, streamID string, deadline clock.Millis) Hint {
	return Hint{
		requestID: requestID, accountHash: accountHash, promptHash: promptHash,
		routeHash: routeHash, serverHash: serverHash, streamID: streamID, deadline: deadline,
	}
}

// Hash returns the number by which hints identify a client account, a route or
// a backend server.
func Hash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// RequestID returns the id of the request.
func (hint Hint) RequestID() string { return hint.requestID }

// AccountHash returns the hash of the client account.
func (hint Hint) AccountHash() uint32 { return hint.accountHash }

// PromptHash returns the hash of the prompt.
func (hint Hint) PromptHash() uint32 { return hint.promptHash }

// RouteHash returns the hash of the request's route.
func (hint Hint) RouteHash() uint32 { return hint.routeHash }

// ServerHash returns the hash of the backend server that generates the
// response.
func (hint Hint) ServerHash() uint32 { return hint.serverHash }

// StreamID returns the server's id of the stream.
func (hint Hint) StreamID() string { return hint.streamID }

// Deadline returns when the response is due, after which the hint is dropped.
func (hint Hint) Deadline() clock.Millis { return hint.deadline }

// Hints holds the hints received from peers. It may be used from any goroutine.
type Hints struct {
	clock *clock.Clock
	byID  sync.Map
}

// NewHints returns an empty set.
func NewHints(clock *clock.Clock) *Hints { return &Hints{clock: clock} }

// Store keeps a hint until its deadline, in place of an earlier one for the
// same request.
func (hints *Hints) Store(hint Hint) {
	stored := &hint
	hints.byID.Store(hint.requestID, stored)
	hints.clock.AfterFunc(hint.deadline-hints.clock.Now(), func() { hints.byID.CompareAndDelete(hint.requestID, stored) })
}

// Find returns the hint for the request.
func (hints *Hints) Find(requestID string) (Hint, bool) {
	stored, ok := hints.byID.Load(requestID)
	if !ok {
		return Hint{}, false
	}
	return *stored.(*Hint), true
}
