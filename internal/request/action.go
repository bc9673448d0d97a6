package request

import "sapphirehead/internal/backend"

// ActionKind is the kind of the driver's next task.
type ActionKind int

// The kinds of action.
const (
	// ActionClaim requests a claim, the right to run.
	ActionClaim ActionKind = iota + 1
	// ActionAttempt starts an attempt at a backend server.
	ActionAttempt
	// ActionRead continues reading the attempts in progress.
	ActionRead
	// ActionFinish ends the request with a complete response.
	ActionFinish
	// ActionReplay ends the request with the recorded response.
	ActionReplay
	// ActionFail ends the request with the action's error.
	ActionFail
)

// AttemptMode is the way in which an attempt begins.
type AttemptMode int

// The modes of an attempt.
const (
	// AttemptFresh sends the request from its beginning.
	AttemptFresh AttemptMode = iota + 1
	// AttemptResume reads the stream from an offset at the same server.
	AttemptResume
	// AttemptContinue sends the prompt and the tokens so far to another server.
	AttemptContinue
	// AttemptTransfer moves the stream's KV cache to another server and reads the
	// stream from an offset there.
	AttemptTransfer
)

// Action is one instruction of a flow to its driver.
type Action struct {
	kind    ActionKind
	attempt Attempt
	err     error
}

// ReadAction returns the instruction to continue reading.
func ReadAction() Action { return Action{kind: ActionRead} }

// Kind returns the driver's task.
func (action Action) Kind() ActionKind { return action.kind }

// Attempt returns the attempt to make; only for ActionAttempt.
func (action Action) Attempt() Attempt { return action.attempt }

// Err returns why the request failed; only for ActionFail. It is a
// *NotRunError, an *OutcomeUnknownError, an *IncompleteError or a *KeyError.
func (action Action) Err() error { return action.err }

// Attempt is one send of a request to a server, for the response or the rest of
// it.
type Attempt struct {
	number   int
	mode     AttemptMode
	server   *backend.Server
	from     *backend.Server
	offset   int
	streamID string
	tokens   []string
}

// Number returns the attempt's number within the request, from 1.
func (attempt Attempt) Number() int { return attempt.number }

// Mode returns how the attempt begins.
func (attempt Attempt) Mode() AttemptMode { return attempt.mode }

// Server returns the backend server to use.
func (attempt Attempt) Server() *backend.Server { return attempt.server }

// Offset returns the number of tokens already accepted.
func (attempt Attempt) Offset() int { return attempt.offset }

// From returns the server that exports the KV cache; only for AttemptTransfer.
func (attempt Attempt) From() *backend.Server { return attempt.from }

// StreamID returns the id of the stream to resume at the server, or to export
// at the server that From returns; only for AttemptResume and AttemptTransfer.
func (attempt Attempt) StreamID() string { return attempt.streamID }

// Tokens returns the tokens accepted before the attempt. Callers must not change
// them.
func (attempt Attempt) Tokens() []string { return attempt.tokens }

// Cause is the reason why an attempt broke off.
type Cause int

// The causes of a broken attempt.
const (
	// CauseNotSent means that no byte can have reached the server.
	CauseNotSent Cause = iota + 1
	// CauseRefused means that the server reported that it did not run the request.
	CauseRefused
	// CauseCut means that the connection broke after bytes were sent.
	CauseCut
	// CauseSilent means that the progress timeout expired.
	CauseSilent
	// CauseLeaving means that the server is leaving and the stream must migrate.
	CauseLeaving
	// CauseGone means that the stream no longer exists at the server.
	CauseGone
	// CauseInvalid means that the server's messages contradict each other or
	// belong to another request.
	CauseInvalid
)

// String returns the name of the cause in logs.
func (cause Cause) String() string {
	switch cause {
	case CauseNotSent:
		return "notSent"
	case CauseRefused:
		return "refused"
	case CauseCut:
		return "cut"
	case CauseSilent:
		return "silent"
	case CauseLeaving:
		return "leaving"
	case CauseGone:
		return "gone"
	case CauseInvalid:
		return "invalid"
	default:
		return "unknown"
	}
}
