package request

import "sapphirehead/internal/clock"

// Move is a way to handle a stream whose server is leaving.
type Move int

// The moves.
const (
	// MoveStay leaves the stream where it is: it ends before the server does.
	MoveStay Move = iota + 1
	// MoveTransfer moves the KV cache to another server.
	MoveTransfer
	// MoveContinue sends the prompt and the tokens so far to another server.
	MoveContinue
)

// Parameters of PlanMove.
const (
	// typicalResponseTokens is the assumed length of a response without a bound; at
	// least a tenth of it is assumed to be still to come.
	typicalResponseTokens = 220
	// stayMargin is the least time between the expected end of a stream and the
	// shutdown of its server.
	stayMargin = 500 * clock.Millisecond
	// transferTokensPerMillisecond is the rate at which KV cache is transferred
	// between servers.
	transferTokensPerMillisecond = 8
	// transferOverhead is the time of the calls around a transfer.
	transferOverhead = 20 * clock.Millisecond
	// minTransferTokens is the context length below which a new prefill costs less
	// than the calls of a transfer.
	minTransferTokens = 32
)

// StreamState is the state of a stream on a server that is leaving.
type StreamState struct {
	context   int
	tokens    int
	maxTokens int
	perToken  clock.Millis
	notice    clock.Millis
}

// NewStreamState returns the state of a stream with the numbers of its prompt and
// generated tokens. MaxTokens bounds the generated tokens, or is 0; perToken is the
// time per token; notice is the time until the server is shut down.
func NewStreamState(prompt, tokens, maxTokens int, perToken, notice clock.Millis) StreamState {
	return StreamState{context: prompt + tokens, tokens: tokens, maxTokens: maxTokens, perToken: perToken, notice: notice}
}

// PlanMove decides how to handle the stream. It stays if it ends in time. If not,
// its KV cache is transferred, which saves a new prefill, provided that the
// transfer takes at most half of the remaining time and the context is long
// enough. Otherwise another server continues from the prompt and the tokens so
// far.
//
//	900 tokens to come at 20 ms, shutdown in 30 s: stay
//	900 tokens to come at 50 ms, shutdown in 30 s, context 4,000: transfer
//	the same, shutdown in 400 ms: continue, as a transfer takes 520 ms
func PlanMove(state StreamState) Move {
	if clock.Millis(state.remainingTokens())*state.perToken+stayMargin <= state.notice {
		return MoveStay
	}
	transfer := clock.Millis(state.context/transferTokensPerMillisecond) + transferOverhead
	if state.context >= minTransferTokens && transfer <= state.notice/2 {
		return MoveTransfer
	}
	return MoveContinue
}

// remainingTokens returns the expected number of tokens still to come.
func (state StreamState) remainingTokens() int {
	if state.maxTokens > 0 {
		return max(state.maxTokens-state.tokens, 0)
	}
	return max(typicalResponseTokens-state.tokens, typicalResponseTokens/10)
}
