package entry

import (
	"context"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/request"
)

// NewResumePoint tells where to go on with an answer that another node began: the
// tokens known of it and the stream that generates it, if any.
func NewResumePoint(tokens []string, server *backend.Server, streamID string) *ResumePoint {
	return &ResumePoint{tokens: tokens, place: place{server: server, streamID: streamID}}
}

// HandOver gives the answer away: its generation stands still while the function
// give passes the state on, and ends here if that succeeds.
func (answer *Response) HandOver(ctx context.Context, give func(state *request.JournalState) error) error {
	return answer.handOver(ctx, give)
}

// RequestMove asks the answer's generation to leave its server.
func (answer *Response) RequestMove(move request.Move) {
	select {
	case answer.moves <- move:
	default:
	}
}
