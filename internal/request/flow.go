package request

import (
	"slices"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/clock"
)

// MaxAttempts bounds the attempts of one request.
const MaxAttempts = 6

// maxPending bounds the chunks that wait for an earlier one.
const maxPending = 256

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

type pendingChunk struct {
	offset int
	tokens []string
}

// Flow is the state of one request. It is used by one goroutine at a time.
type Flow struct {
	request  *Request
	clock    *clock.Clock
	choose   func(request *Request, exclude []string) (*backend.Server, bool)
	retry    func(request *Request) bool
	state    flowState
	attempt  Attempt
	sent     bool
	resumed  bool
	streamID string
	excluded []string
	tokens   []string
	pending  []pendingChunk
	end      int
}

// NewFlow returns the flow of a request. The function choose picks a server
// that is not excluded; retry asks the retry budget for one more attempt.
func NewFlow(
	request *Request,
	clock *clock.Clock,
	choose func(request *Request, exclude []string) (*backend.Server, bool),
	retry func(request *Request) bool,
) *Flow {
	return &Flow{request: request, clock: clock, choose: choose, retry: retry, end: -1}
}

// Request returns the request of the flow.
func (flow *Flow) Request() *Request { return flow.request }

// Tokens returns the tokens accepted so far. Callers must not change them.
func (flow *Flow) Tokens() []string { return flow.tokens }

// Attempts returns the number of attempts begun.
func (flow *Flow) Attempts() int { return flow.attempt.number }

// Start returns the first action of an admitted request.
func (flow *Flow) Start() Action {
	if flow.request.NeedsClaim() {
		flow.state = flowClaiming
		return Action{kind: ActionClaim}
	}
	return flow.next(AttemptFresh)
}

// Claimed reports the result of ActionClaim.
func (flow *Flow) Claimed(claim Claim) Action {
	switch claim {
	case ClaimGranted:
		return flow.next(AttemptFresh)
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

// Sent reports that bytes of the attempt may have reached the server.
func (flow *Flow) Sent(attempt int) {
	if flow.current(attempt) {
		flow.sent = true
	}
}

// Stream reports the server's id of the attempt's stream.
func (flow *Flow) Stream(attempt int, streamID string) {
	if flow.current(attempt) {
		flow.streamID = streamID
	}
}

// Chunk reports tokens of an attempt at an offset. It returns the tokens that
// can be delivered now: those of abandoned attempts and doubled ones are
// dropped, early ones wait.
func (flow *Flow) Chunk(attempt, offset int, tokens []string) ([]string, Action) {
	if !flow.current(attempt) {
		return nil, Action{kind: ActionRead}
	}
	if len(flow.pending) >= maxPending {
		return nil, flow.Broken(attempt, CauseCut)
	}
	flow.resumed = false
	flow.pending = append(flow.pending, pendingChunk{offset: offset, tokens: tokens})
	delivered := flow.takeReady()
	return delivered, flow.afterProgress()
}

// Ended reports the end mark of an attempt, with the total number of tokens.
func (flow *Flow) Ended(attempt, total int) Action {
	if !flow.current(attempt) {
		return Action{kind: ActionRead}
	}
	flow.end = total
	return flow.afterProgress()
}

// Answered reports the whole answer of an application service.
func (flow *Flow) Answered(attempt int) Action {
	if !flow.current(attempt) {
		return Action{kind: ActionRead}
	}
	return flow.finish()
}

// Broken reports that an attempt broke off.
func (flow *Flow) Broken(attempt int, cause Cause) Action {
	if !flow.current(attempt) {
		return Action{kind: ActionRead}
	}
	maySend := !flow.sent || cause == CauseNotSent || cause == CauseRefused
	if flow.request.route.NonIdempotent() && !maySend {
		return flow.fail(NewOutcomeUnknownError(flow.request.id, "the connection to the backend server broke after the request was sent"))
	}
	if flow.canResume(cause) {
		flow.resumed = true
		return flow.begin(AttemptResume, flow.attempt.server)
	}
	flow.excluded = append(flow.excluded, flow.attempt.server.ID())
	flow.resumed = false
	if !flow.retry(flow.request) {
		return flow.exhausted("the retry budget is used up")
	}
	if len(flow.tokens) == 0 {
		return flow.next(AttemptFresh)
	}
	return flow.next(AttemptContinue)
}

// Expire reports that the deadline may have passed. It ends the request only
// if the clock agrees.
func (flow *Flow) Expire() Action {
	if flow.state == flowDone || flow.clock.Now() < flow.request.Deadline() {
		return Action{kind: ActionRead}
	}
	return flow.exhausted("the deadline has passed")
}

func (flow *Flow) canResume(cause Cause) bool {
	if cause != CauseCut && cause != CauseSilent {
		return false
	}
	return flow.streamID != "" && !flow.resumed && !flow.attempt.server.Leaving() && flow.attempt.number < MaxAttempts
}

func (flow *Flow) current(attempt int) bool {
	return flow.state == flowAttempting && attempt == flow.attempt.number
}

func (flow *Flow) next(mode AttemptMode) Action {
	if flow.clock.Now() >= flow.request.Deadline() {
		return flow.exhausted("the deadline has passed")
	}
	if flow.attempt.number >= MaxAttempts {
		return flow.exhausted("too many attempts failed")
	}
	server, ok := flow.choose(flow.request, flow.excluded)
	if !ok {
		return flow.exhausted("no backend server can take the request")
	}
	return flow.begin(mode, server)
}

func (flow *Flow) begin(mode AttemptMode, server *backend.Server) Action {
	flow.state = flowAttempting
	flow.attempt = Attempt{
		number:   flow.attempt.number + 1,
		mode:     mode,
		server:   server,
		offset:   len(flow.tokens),
		streamID: flow.streamID,
		tokens:   slices.Clone(flow.tokens),
	}
	flow.pending = nil
	flow.end = -1
	if mode != AttemptResume {
		flow.streamID = ""
		flow.sent = false
	}
	return Action{kind: ActionAttempt, attempt: flow.attempt}
}

// takeReady moves waiting chunks that join the accepted tokens.
func (flow *Flow) takeReady() []string {
	slices.SortStableFunc(flow.pending, func(a, b pendingChunk) int { return a.offset - b.offset })
	var ready []string
	taken := 0
	for _, chunk := range flow.pending {
		have := len(flow.tokens)
		if chunk.offset > have {
			break
		}
		taken++
		if skip := have - chunk.offset; skip < len(chunk.tokens) {
			ready = append(ready, chunk.tokens[skip:]...)
			flow.tokens = append(flow.tokens, chunk.tokens[skip:]...)
		}
	}
	flow.pending = flow.pending[taken:]
	return ready
}

func (flow *Flow) afterProgress() Action {
	if flow.end >= 0 && len(flow.tokens) >= flow.end {
		return flow.finish()
	}
	return Action{kind: ActionRead}
}

func (flow *Flow) finish() Action {
	flow.state = flowDone
	return Action{kind: ActionFinish}
}

func (flow *Flow) exhausted(reason string) Action {
	if flow.attempt.number == 0 || (!flow.sent && len(flow.tokens) == 0) {
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
