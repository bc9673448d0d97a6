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

// track is what a flow knows of one attempt in progress: the chunks that wait
// for an earlier one, in order of offset, and the total of its end mark.
type track struct {
	attempt  Attempt
	streamID string
	sent     bool
	resumed  bool
	pending  []pendingChunk
	waiting  int
	end      int
}

func newTrack(attempt Attempt) *track {
	return &track{attempt: attempt, streamID: attempt.streamID, end: unknownEnd}
}

// add keeps a chunk. It reports false if the chunk can't be right.
func (track *track) add(offset int, tokens []string) bool {
	chunk := pendingChunk{offset: offset, tokens: tokens}
	if offset < 0 || (track.end != unknownEnd && chunk.end() > track.end) {
		return false
	}
	if len(track.pending) >= maxPendingChunks || track.waiting+len(tokens) > maxPendingTokens {
		return false
	}
	at, _ := slices.BinarySearchFunc(track.pending, offset+1, func(known pendingChunk, wanted int) int { return known.offset - wanted })
	track.pending = slices.Insert(track.pending, at, chunk)
	track.waiting += len(tokens)
	return true
}

// finish keeps the total of the end mark. It reports false if the total
// contradicts an earlier one, a chunk, or the number of accepted tokens.
func (track *track) finish(total, accepted int) bool {
	if total < accepted || (track.end != unknownEnd && track.end != total) {
		return false
	}
	for _, chunk := range track.pending {
		if chunk.end() > total {
			return false
		}
	}
	track.end = total
	return true
}

// reach returns the offset up to which chunks join the accepted tokens.
func (track *track) reach(accepted int) int {
	for _, chunk := range track.pending {
		if chunk.offset > accepted {
			break
		}
		accepted = max(accepted, chunk.end())
	}
	return accepted
}

// whole reports whether the answer could end with this attempt now.
func (track *track) whole(accepted int) bool {
	return track.end != unknownEnd && track.reach(accepted) == track.end
}

// take appends the chunks that join the accepted tokens. It reports false if
// one says another token for a place that is taken.
func (track *track) take(accepted []string) ([]string, bool) {
	taken := 0
	defer func() { track.pending = track.pending[taken:] }()
	for _, chunk := range track.pending {
		have := len(accepted)
		if chunk.offset > have {
			break
		}
		taken++
		track.waiting -= len(chunk.tokens)
		known := min(have-chunk.offset, len(chunk.tokens))
		if !slices.Equal(chunk.tokens[:known], accepted[chunk.offset:chunk.offset+known]) {
			return accepted, false
		}
		accepted = append(accepted, chunk.tokens[known:]...)
	}
	return accepted, true
}
