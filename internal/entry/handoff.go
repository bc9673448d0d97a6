package entry

import (
	"context"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/request"
)

// NewAdopted tells where to go on with an answer that another node began: the
// tokens known of it and the stream that generates it, if any.
func NewAdopted(tokens []string, server *backend.Server, streamID string) *Adopted {
	return &Adopted{tokens: tokens, place: place{server: server, streamID: streamID}}
}

// Release gives the answer away: its generation stands still while the function
// give passes the state on, and ends here if that succeeds.
func (answer *Answer) Release(ctx context.Context, give func(state *request.JournalState) error) error {
	return answer.release(ctx, give)
}

// Move asks the answer's generation to leave its server.
func (answer *Answer) Move(move request.Move) {
	select {
	case answer.moves <- move:
	default:
	}
}
