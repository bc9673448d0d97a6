package request

import (
	"slices"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/clock"
)

// MaxAttempts bounds the attempts of one request.
const MaxAttempts = 8

// retryAfterNoServer is the wait sent to callers when a request was not run.
const retryAfterNoServer = 1 * clock.Second

// Claim is the result of a request for the right to run.
type Claim int

// The results of a claim.
const (
	// ClaimGranted means that this request holds the right to run.
	ClaimGranted Claim = iota + 1
	// ClaimRecorded means that the outcome of an earlier run is recorded.
	ClaimRecorded
	// ClaimTaken means that another request holds the right and no outcome
	// is recorded.
	ClaimTaken
	// ClaimExpired means that the key is older than the retention window of claims.
	ClaimExpired
	// ClaimAhead means that the key's creation time lies in the future.
	ClaimAhead
	// ClaimMismatch means that the key was used for another call.
	ClaimMismatch
	// ClaimNotKept means that an earlier run ended and its response was too large
	// to be recorded.
	ClaimNotKept
	// ClaimUnavailable means that the platform could not grant the right.
	ClaimUnavailable
)

type flowState int

const (
	flowNew flowState = iota
	flowClaiming
	flowAttempting
	flowDone
)

// Flow is the state machine of one request. It is used by one goroutine at a
// time.
//
// A stream that migrates from a leaving server has two attempts in progress.
// Tokens of the old one are withheld until the new one delivers its first token
// and takes over, or breaks, after which the old one continues. So a response
// never joins tokens that two generations sampled independently: a generation
// continues only from tokens that were passed to it.
type Flow struct {
	request    *Request
	clock      *clock.Clock
	choose     func(request *Request, exclude []string) (*backend.Server, bool)
	retry      func(request *Request) bool
	state      flowState
	current    *attemptState
	migrating  *attemptState
	attempts   int
	mayHaveRun bool
	excluded   []string
	tokens     []string
}

// NewFlow returns the flow of a request. The function choose returns a server
// whose id is not excluded, or false; retry takes one attempt from the retry
// budget, or returns false if the budget is used up.
func NewFlow(
	request *Request,
	clock *clock.Clock,
	choose func(request *Request, exclude []string) (*backend.Server, bool),
	retry func(request *Request) bool,
) *Flow {
	return &Flow{request: request, clock: clock, choose: choose, retry: retry}
}

// Request returns the request of the flow.
func (flow *Flow) Request() *Request { return flow.request }

// Tokens returns the tokens accepted so far. Callers must not change them.
func (flow *Flow) Tokens() []string { return flow.tokens }

// Attempts returns the number of attempts begun.
func (flow *Flow) Attempts() int { return flow.attempts }

// InProgress reports whether the attempt is in progress. Messages of others are
// ignored.
func (flow *Flow) InProgress(attempt int) bool { return flow.attemptInProgress(attempt) != nil }

// Done reports whether the flow has ended.
func (flow *Flow) Done() bool { return flow.state == flowDone }

// Source returns the server and the stream from which the response is being read,
// and false if there is none.
func (flow *Flow) Source() (server *backend.Server, streamID string, ok bool) {
	if flow.state != flowAttempting || flow.current.streamID == "" {
		return nil, "", false
	}
	return flow.current.attempt.server, flow.current.streamID, true
}

// Start returns the first action of an admitted request.
func (flow *Flow) Start() Action {
	if flow.request.NeedsClaim() {
		flow.state = flowClaiming
		return Action{kind: ActionClaim}
	}
	return flow.nextAttempt()
}

// Adopt returns the first action of a request that another node began. Its stream
// is resumed at its server, after the tokens already received.
func (flow *Flow) Adopt(server *backend.Server, streamID string, tokens []string) Action {
	flow.mayHaveRun = true
	flow.tokens = slices.Clone(tokens)
	if server == nil || streamID == "" {
		if flow.request.route.NonIdempotent() {
			return flow.fail(NewOutcomeUnknownError(flow.request.id, "the stream is not known"))
		}
		return flow.nextAttempt()
	}
	if flow.pastDeadline() {
		return flow.exhausted(reasonDeadline)
	}
	return flow.startAttempt(AttemptResume, server, streamID)
}

// Claimed handles the result of ActionClaim.
func (flow *Flow) Claimed(claim Claim) Action {
	switch claim {
	case ClaimGranted:
		return flow.nextAttempt()
	case ClaimRecorded:
		flow.state = flowDone
		return Action{kind: ActionReplay}
	case ClaimTaken:
		return flow.fail(NewOutcomeUnknownError(flow.request.id, "an earlier request with this key has no recorded outcome"))
	case ClaimNotKept:
		return flow.fail(NewOutcomeUnknownError(flow.request.id, "an earlier request with this key has run, and its answer was too large to be kept"))
	case ClaimExpired:
		return flow.fail(NewKeyError(KeyExpired, "the idempotency key is older than the window of claims; an earlier request with it may have run"))
	case ClaimAhead:
		return flow.fail(NewKeyError(KeyAhead, "the creation time in the idempotency key lies in the future"))
	case ClaimMismatch:
		return flow.fail(NewKeyError(KeyReused, "the idempotency key was used for a different call"))
	default:
		return flow.fail(NewNotRunError("the right to run could not be claimed", retryAfterNoServer))
	}
}

// Sent records that bytes of the attempt may reach the server from now on.
func (flow *Flow) Sent(attempt int) {
	if attemptState := flow.attemptInProgress(attempt); attemptState != nil {
		attemptState.sent = true
	}
}

// Stream records the server's id of the attempt's stream.
func (flow *Flow) Stream(attempt int, streamID string) {
	if attemptState := flow.attemptInProgress(attempt); attemptState != nil {
		attemptState.streamID = streamID
	}
}

// Chunk handles tokens of an attempt at an offset. It returns the tokens that can
// be delivered now. Tokens of abandoned attempts and duplicates are dropped;
// tokens after a gap wait until it is filled.
func (flow *Flow) Chunk(attempt, offset int, tokens []string) ([]string, Action) {
	attemptState := flow.attemptInProgress(attempt)
	if attemptState == nil {
		return nil, Action{kind: ActionRead}
	}
	if flow.pastDeadline() {
		return nil, flow.exhausted(reasonDeadline)
	}
	if !attemptState.add(offset, tokens) {
		return nil, flow.Broken(attempt, CauseInvalid)
	}
	accepted := len(flow.tokens)
	action := flow.progress(attemptState)
	return flow.tokens[accepted:], action
}

// Ended handles the end mark of an attempt, with the total number of tokens. It
// may arrive before the last chunks.
func (flow *Flow) Ended(attempt, total int) Action {
	attemptState := flow.attemptInProgress(attempt)
	if attemptState == nil {
		return Action{kind: ActionRead}
	}
	if flow.pastDeadline() {
		return flow.exhausted(reasonDeadline)
	}
	if !attemptState.finish(total, len(flow.tokens)) {
		return flow.Broken(attempt, CauseInvalid)
	}
	return flow.progress(attemptState)
}

// Answered handles the complete response of an application service.
func (flow *Flow) Answered(attempt int) Action {
	if flow.attemptInProgress(attempt) == nil {
		return Action{kind: ActionRead}
	}
	return flow.finish()
}

// Broken handles an attempt that broke off. Tokens that were withheld may have
// become deliverable: see Tokens.
func (flow *Flow) Broken(attempt int, cause Cause) Action {
	attemptState := flow.attemptInProgress(attempt)
	if attemptState == nil {
		return Action{kind: ActionRead}
	}
	if cause != CauseNotSent && cause != CauseRefused {
		flow.mayHaveRun = true
	}
	switch {
	case attemptState == flow.migrating:
		flow.migrating = nil
		flow.exclude(attemptState)
		return flow.progress(flow.current)
	case flow.migrating != nil:
		flow.current, flow.migrating = flow.migrating, nil
		flow.exclude(attemptState)
		return flow.progress(flow.current)
	case flow.pastDeadline():
		return flow.exhausted(reasonDeadline)
	case flow.canResume(attemptState, cause):
		return flow.startAttempt(AttemptResume, attemptState.attempt.server, attemptState.streamID)
	case flow.request.route.NonIdempotent() && flow.mayHaveRun:
		return flow.fail(NewOutcomeUnknownError(flow.request.id, "the connection to the backend server broke after the request was sent"))
	}
	flow.current = nil
	flow.exclude(attemptState)
	if !flow.retry(flow.request) {
		return flow.exhausted("the retry budget is used up")
	}
	return flow.nextAttempt()
}

// Move returns the action that starts a second attempt at another server because
// the current one is leaving. With transfer, the KV cache moves too. It returns
// ActionRead if the stream has to stay at its server.
func (flow *Flow) Move(transfer bool) Action {
	stay := Action{kind: ActionRead}
	if flow.state != flowAttempting || flow.migrating != nil || flow.pastDeadline() || flow.attempts >= MaxAttempts {
		return stay
	}
	current := flow.current
	transfer = transfer && current.streamID != ""
	if !transfer && !flow.mayRegenerate() {
		return stay
	}
	server, ok := flow.choose(flow.request, append(slices.Clone(flow.excluded), current.attempt.server.ID()))
	if !ok {
		return stay
	}
	mode := flow.generateMode()
	streamID := ""
	if transfer {
		mode, streamID = AttemptTransfer, current.streamID
	}
	attempt := flow.newAttempt(mode, server, streamID)
	attempt.from = current.attempt.server
	flow.migrating = newAttemptState(attempt)
	if transfer {
		flow.migrating.streamID = ""
	}
	return Action{kind: ActionAttempt, attempt: attempt}
}

// Expire handles the deadline's timer. It ends the request only if the deadline
// has passed by the clock.
func (flow *Flow) Expire() Action {
	if flow.state == flowDone || !flow.pastDeadline() {
		return Action{kind: ActionRead}
	}
	return flow.exhausted(reasonDeadline)
}

const reasonDeadline = "the deadline has passed"

func (flow *Flow) pastDeadline() bool { return flow.clock.Now() >= flow.request.Deadline() }

func (flow *Flow) canResume(attemptState *attemptState, cause Cause) bool {
	if cause != CauseCut && cause != CauseSilent {
		return false
	}
	return attemptState.streamID != "" && !attemptState.resumed && !attemptState.attempt.server.Leaving() && flow.attempts < MaxAttempts
}

func (flow *Flow) attemptInProgress(attempt int) *attemptState {
	switch {
	case flow.state != flowAttempting:
		return nil
	case flow.current != nil && flow.current.attempt.number == attempt:
		return flow.current
	case flow.migrating != nil && flow.migrating.attempt.number == attempt:
		return flow.migrating
	default:
		return nil
	}
}

func (flow *Flow) exclude(attemptState *attemptState) {
	flow.excluded = append(flow.excluded, attemptState.attempt.server.ID())
}

// mayRegenerate reports whether a runner may generate the rest of the response
// from the accepted tokens. It may not if a run with side effects may have begun,
// if the prompt is unknown, or if the caller has sampled tokens that this node
// lacks.
func (flow *Flow) mayRegenerate() bool {
	if flow.request.route.NonIdempotent() && (flow.mayHaveRun || flow.current != nil) {
		return false
	}
	if flow.request.promptUnknown {
		return false
	}
	return len(flow.tokens) >= flow.request.delivered || flow.request.prompt.Deterministic()
}

func (flow *Flow) generateMode() AttemptMode {
	if len(flow.tokens) == 0 {
		return AttemptFresh
	}
	return AttemptContinue
}

func (flow *Flow) nextAttempt() Action {
	if flow.pastDeadline() {
		return flow.exhausted(reasonDeadline)
	}
	if flow.attempts >= MaxAttempts {
		return flow.exhausted("too many attempts failed")
	}
	if !flow.mayRegenerate() {
		return flow.exhausted("the caller holds tokens of a generation that is lost")
	}
	server, ok := flow.choose(flow.request, flow.excluded)
	if !ok {
		return flow.exhausted("no backend server can take the request")
	}
	return flow.startAttempt(flow.generateMode(), server, "")
}

func (flow *Flow) newAttempt(mode AttemptMode, server *backend.Server, streamID string) Attempt {
	flow.attempts++
	return Attempt{
		number:   flow.attempts,
		mode:     mode,
		server:   server,
		offset:   len(flow.tokens),
		streamID: streamID,
		tokens:   slices.Clone(flow.tokens),
	}
}

func (flow *Flow) startAttempt(mode AttemptMode, server *backend.Server, streamID string) Action {
	flow.state = flowAttempting
	flow.current = newAttemptState(flow.newAttempt(mode, server, streamID))
	flow.current.resumed = mode == AttemptResume
	return Action{kind: ActionAttempt, attempt: flow.current.attempt}
}

// progress accepts the pending chunks of the attempt, unless they are withheld
// during a migration.
func (flow *Flow) progress(attemptState *attemptState) Action {
	acceptedBefore := len(flow.tokens)
	if flow.migrating != nil {
		if attemptState == flow.current && !attemptState.complete(acceptedBefore) {
			return Action{kind: ActionRead}
		}
		if attemptState == flow.migrating && attemptState.contiguousEnd(acceptedBefore) == acceptedBefore && !attemptState.complete(acceptedBefore) {
			return Action{kind: ActionRead}
		}
		flow.current, flow.migrating = attemptState, nil
	}
	accepted, valid := attemptState.accept(flow.tokens)
	flow.tokens = accepted
	if !valid {
		return flow.Broken(attemptState.attempt.number, CauseInvalid)
	}
	if len(accepted) > acceptedBefore {
		attemptState.resumed = false
	}
	if attemptState.end == len(accepted) {
		return flow.finish()
	}
	return Action{kind: ActionRead}
}

func (flow *Flow) finish() Action {
	if len(flow.tokens) < flow.request.delivered {
		return flow.exhausted("the answer is shorter than what the caller holds")
	}
	flow.state = flowDone
	return Action{kind: ActionFinish}
}

// exhausted ends the request without a complete response. It counts as not run
// only if no attempt, past or in progress, can have reached a server.
func (flow *Flow) exhausted(reason string) Action {
	inProgress := (flow.current != nil && flow.current.sent) || (flow.migrating != nil && flow.migrating.sent)
	if !flow.mayHaveRun && !inProgress {
		return flow.fail(NewNotRunError(reason, retryAfterNoServer))
	}
	if flow.request.route.NonIdempotent() {
		return flow.fail(NewOutcomeUnknownError(flow.request.id, reason))
	}
	return flow.fail(NewIncompleteError(flow.request.id, reason))
}

func (flow *Flow) fail(err error) Action {
	flow.state = flowDone
	return Action{kind: ActionFail, err: err}
}
