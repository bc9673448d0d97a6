package entry

import (
	"context"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/request"
)

// NewResumePoint tells where to go on with an answer that another node began: the
// tokens known of it and the stream that generates it, if any.
func NewResumePoint(tokens []string, server *backend.Server, streamID string) *ResumePoint {
	return &ResumePoint{tokens: tokens, source: streamSource{server: server, streamID: streamID}}
}

// HandOver gives the answer away: its generation stands still while the function
// give passes the state on, and ends here if that succeeds.
func (response *Response) HandOver(ctx context.Context, transfer func(state *request.JournalState) error) error {
	return response.handOver(ctx, transfer)
}

// RequestMove asks the answer's generation to leave its server.
func (response *Response) RequestMove(move request.Move) {
	select {
	case response.moves <- move:
	default:
	}
}
