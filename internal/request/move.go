package request

import "sapphirehead/internal/clock"

// Move is what to do with a stream whose server is leaving.
type Move int

// The moves.
const (
	// MoveStay leaves the stream where it is: it ends before the server does.
	MoveStay Move = iota + 1
	// MoveTransfer moves the KV cache to another server.
	MoveTransfer
	// MoveContinue sends prompt and tokens so far to another server.
	MoveContinue
)

// Figures by which moves are estimated.
const (
	// typicalResponseTokens is the length of an answer whose bound is not known.
	typicalResponseTokens = 220
	// stayMargin is kept between the end of a stream and that of its server.
	stayMargin = 500 * clock.Millisecond
	// transferTokensPerMillisecond is how much KV cache moves between servers.
	transferTokensPerMillisecond = 8
	// transferOverhead is the time of the calls around a transfer.
	transferOverhead = 20 * clock.Millisecond
	// minTransferTokens is the context below which reading it again costs less
	// than the calls of a transfer.
	minTransferTokens = 32
)

// StreamState is what is known of a stream on a server that is leaving.
type StreamState struct {
	context   int
	tokens    int
	maxTokens int
	perToken  clock.Millis
	notice    clock.Millis
}

// NewStreamState describes a stream by the tokens of its prompt, those
// generated, the bound on them or 0, the time for each, and the time until its
// server goes.
func NewStreamState(prompt, tokens, maxTokens int, perToken, notice clock.Millis) StreamState {
	return StreamState{context: prompt + tokens, tokens: tokens, maxTokens: maxTokens, perToken: perToken, notice: notice}
}

// PlanMove decides what to do with the stream: it stays if it ends in time. If
// not, the KV cache moves, which recomputes nothing, as long as the move is
// done well before the server goes and the context is worth it. Otherwise the
// stream continues elsewhere from prompt and tokens so far.
//
//	900 tokens left at 20 ms, server goes in 30 s: stays
//	900 tokens left at 50 ms, server goes in 30 s, context 4,000: transfer
//	the same, server goes in 400 ms: continues, the transfer takes 520 ms
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
