package entry

import (
	"context"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/request"
)

// NewResumePoint returns the resume point of a response that another node
// began: its tokens so far and the stream that generates it, if any.
func NewResumePoint(tokens []string, server *backend.Server, streamID string) *ResumePoint {
	return &ResumePoint{tokens: tokens, source: streamSource{server: server, streamID: streamID}}
}

// HandOver hands the response over to another node: its generation pauses while
// transfer sends the state, and ends at this node if that succeeds.
func (response *Response) HandOver(ctx context.Context, transfer func(state *request.JournalState) error) error {
	return response.handOver(ctx, transfer)
}

// RequestMove requests that the response's generation moves to another server.
func (response *Response) RequestMove(move request.Move) {
	select {
	case response.moves <- move:
	default:
	}
}
