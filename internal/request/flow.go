package request

import (
	"slices"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/clock"
)

// MaxAttempts bounds the attempts of one request.
const MaxAttempts = 8

// retryAfterNoServer is the wait told to callers when no server is free.
const retryAfterNoServer = 1 * clock.Second

// Claim is the result of asking for the right to run.
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
	// ClaimExpired means that the key is older than the claims' window.
	ClaimExpired
	// ClaimAhead means that the key's creation time lies in the future.
	ClaimAhead
	// ClaimMismatch means that the key was used for another call.
	ClaimMismatch
	// ClaimNotKept means that an earlier run ended and its answer was too
	// large to be recorded.
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

// Flow is the state of one request. It is used by one goroutine at a time.
//
// A stream that must leave its server while that server still works has two
// attempts in progress. What the old one brings is held back until the new one
// delivers, which then takes over, or breaks, and then the old one goes on.
// So an answer never joins tokens of two generations that each sampled its
// own: a generation goes on only from tokens that it was given.
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

// NewFlow returns the flow of a request. The function choose picks a server
// that is not excluded; retry asks the retry budget for one more attempt.
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

// InProgress reports whether the attempt is one whose messages still count.
func (flow *Flow) InProgress(attempt int) bool { return flow.find(attempt) != nil }

// Done reports whether the flow has ended.
func (flow *Flow) Done() bool { return flow.state == flowDone }

// Source returns the server and the stream from which the answer comes now.
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

// Adopt returns the first action of a request that another node began: its
// stream is resumed where it runs, after the tokens that are known of it.
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

// Claimed reports the result of ActionClaim.
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

// Sent reports that bytes of the attempt may reach the server from now on.
func (flow *Flow) Sent(attempt int) {
	if attemptState := flow.find(attempt); attemptState != nil {
		attemptState.sent = true
	}
}

// Stream reports the server's id of the attempt's stream.
func (flow *Flow) Stream(attempt int, streamID string) {
	if attemptState := flow.find(attempt); attemptState != nil {
		attemptState.streamID = streamID
	}
}

// Chunk reports tokens of an attempt at an offset. It returns the tokens that
// can be delivered now: those of abandoned attempts and doubled ones are
// dropped, early ones wait.
func (flow *Flow) Chunk(attempt, offset int, tokens []string) ([]string, Action) {
	attemptState := flow.find(attempt)
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

// Ended reports the end mark of an attempt, with the total number of tokens.
// It may come before the last chunks.
func (flow *Flow) Ended(attempt, total int) Action {
	attemptState := flow.find(attempt)
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

// Answered reports the whole answer of an application service.
func (flow *Flow) Answered(attempt int) Action {
	if flow.find(attempt) == nil {
		return Action{kind: ActionRead}
	}
	return flow.finish()
}

// Broken reports that an attempt broke off. Held-back tokens may have become
// deliverable: see Tokens.
func (flow *Flow) Broken(attempt int, cause Cause) Action {
	attemptState := flow.find(attempt)
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

// Move asks for a second attempt at another server, because the current one
// is leaving. With transfer, the KV cache moves too. It returns ActionRead if
// the stream has to stay where it is.
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

// Expire reports that the deadline may have passed. It ends the request only
// if the clock agrees.
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

func (flow *Flow) find(attempt int) *attemptState {
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

// mayRegenerate reports whether a runner may generate the answer, or go on with
// it, from the tokens known: not if something with side effects may have run,
// not without the prompt, and not if the caller holds sampled tokens that are
// not known here.
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

// progress takes in what waits on the track, unless it has to be held back.
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

// exhausted ends the request without an answer. It was not run only if no
// attempt, past or in progress, can have reached a server.
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
