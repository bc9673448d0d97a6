package request

import "slices"

// Bounds on what waits for an earlier chunk, for each attempt.
const (
	maxPendingChunks = 256
	maxPendingTokens = 4096
)

// unknownEnd is the end of an attempt whose end mark has not come.
const unknownEnd = -1

type pendingChunk struct {
	offset int
	tokens []string
}

func (chunk pendingChunk) end() int { return chunk.offset + len(chunk.tokens) }

// attemptState is what a flow knows of one attempt in progress: the chunks that wait
// for an earlier one, in order of offset, and the total of its end mark.
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

// add keeps a chunk. It reports false if the chunk can't be right.
func (attemptState *attemptState) add(offset int, tokens []string) bool {
	chunk := pendingChunk{offset: offset, tokens: tokens}
	if offset < 0 || (attemptState.end != unknownEnd && chunk.end() > attemptState.end) {
		return false
	}
	if len(attemptState.pending) >= maxPendingChunks || attemptState.pendingTokens+len(tokens) > maxPendingTokens {
		return false
	}
	at, _ := slices.BinarySearchFunc(attemptState.pending, offset+1, func(other pendingChunk, wanted int) int { return other.offset - wanted })
	attemptState.pending = slices.Insert(attemptState.pending, at, chunk)
	attemptState.pendingTokens += len(tokens)
	return true
}

// finish keeps the total of the end mark. It reports false if the total
// contradicts an earlier one, a chunk, or the number of accepted tokens.
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

// contiguousEnd returns the offset up to which chunks join the accepted tokens.
func (attemptState *attemptState) contiguousEnd(accepted int) int {
	for _, chunk := range attemptState.pending {
		if chunk.offset > accepted {
			break
		}
		accepted = max(accepted, chunk.end())
	}
	return accepted
}

// complete reports whether the answer could end with this attempt now.
func (attemptState *attemptState) complete(accepted int) bool {
	return attemptState.end != unknownEnd && attemptState.contiguousEnd(accepted) == attemptState.end
}

// accept appends the chunks that join the accepted tokens. It reports false if
// one says another token for a place that is taken.
func (attemptState *attemptState) accept(accepted []string) ([]string, bool) {
	taken := 0
	defer func() { attemptState.pending = attemptState.pending[taken:] }()
	for _, chunk := range attemptState.pending {
		next := len(accepted)
		if chunk.offset > next {
			break
		}
		taken++
		attemptState.pendingTokens -= len(chunk.tokens)
		overlap := min(next-chunk.offset, len(chunk.tokens))
		if !slices.Equal(chunk.tokens[:overlap], accepted[chunk.offset:chunk.offset+overlap]) {
			return accepted, false
		}
		accepted = append(accepted, chunk.tokens[overlap:]...)
	}
	return accepted, true
}
