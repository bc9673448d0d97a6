package request

import "slices"

// Bounds of the chunks of one attempt that wait for an earlier one.
const (
	maxPendingChunks = 256
	maxPendingTokens = 4096
)

// unknownEnd is the end of an attempt whose end mark has not arrived.
const unknownEnd = -1

type pendingChunk struct {
	offset int
	tokens []string
}

func (chunk pendingChunk) end() int { return chunk.offset + len(chunk.tokens) }

// attemptState is the state of one attempt in progress: its chunks that wait for
// an earlier one, in order of offset, and the number of tokens in its end mark.
type attemptState struct {
	attempt       Attempt
	streamID      string
	sent          bool
	resumed       bool
	pending       []pendingChunk
	pendingTokens int
	end           int
}

func newAttemptState(attempt Attempt) *attemptState {
	return &attemptState{attempt: attempt, streamID: attempt.streamID, end: unknownEnd}
}

// add stores a chunk. It returns false if the chunk is invalid or would exceed
// the bounds.
func (attemptState *attemptState) add(offset int, tokens []string) bool {
	chunk := pendingChunk{offset: offset, tokens: tokens}
	if offset < 0 || (attemptState.end != unknownEnd && chunk.end() > attemptState.end) {
		return false
	}
	if len(attemptState.pending) >= maxPendingChunks || attemptState.pendingTokens+len(tokens) > maxPendingTokens {
		return false
	}
	index, _ := slices.BinarySearchFunc(attemptState.pending, offset+1, func(other pendingChunk, wanted int) int { return other.offset - wanted })
	attemptState.pending = slices.Insert(attemptState.pending, index, chunk)
	attemptState.pendingTokens += len(tokens)
	return true
}

// finish stores the total number of tokens of the end mark. It returns false if
// the total contradicts an earlier one, a chunk, or the number of accepted tokens.
func (attemptState *attemptState) finish(total, accepted int) bool {
	if total < accepted || (attemptState.end != unknownEnd && attemptState.end != total) {
		return false
	}
	for _, chunk := range attemptState.pending {
		if chunk.end() > total {
			return false
		}
	}
	attemptState.end = total
	return true
}

// contiguousEnd returns the offset up to which the pending chunks extend the
// accepted tokens without a gap.
func (attemptState *attemptState) contiguousEnd(accepted int) int {
	for _, chunk := range attemptState.pending {
		if chunk.offset > accepted {
			break
		}
		accepted = max(accepted, chunk.end())
	}
	return accepted
}

// complete reports whether all tokens up to the attempt's end mark have been
// received.
func (attemptState *attemptState) complete(accepted int) bool {
	return attemptState.end != unknownEnd && attemptState.contiguousEnd(accepted) == attemptState.end
}

// accept appends the chunks that extend the accepted tokens without a gap. It
// returns false if one differs from an accepted token.
func (attemptState *attemptState) accept(accepted []string) ([]string, bool) {
	acceptedChunks := 0
	defer func() { attemptState.pending = attemptState.pending[acceptedChunks:] }()
	for _, chunk := range attemptState.pending {
		next := len(accepted)
		if chunk.offset > next {
			break
		}
		acceptedChunks++
		attemptState.pendingTokens -= len(chunk.tokens)
		overlap := min(next-chunk.offset, len(chunk.tokens))
		if !slices.Equal(chunk.tokens[:overlap], accepted[chunk.offset:chunk.offset+overlap]) {
			return accepted, false
		}
		accepted = append(accepted, chunk.tokens[overlap:]...)
	}
	return accepted, true
}
