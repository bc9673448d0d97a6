package entry

import (
	"context"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"sapphirehead/internal/logging"
	"sapphirehead/internal/node"
	"sapphirehead/internal/node/nodepb"
	"sapphirehead/internal/request"
)

const (
	// handOverSuccessors is the number of nodes over which a stopping node's
	// streams are spread. Nodes to which callers reconnect query as many.
	handOverSuccessors = resumeSuccessors
	// handOverParallel bounds the concurrent handovers of streams.
	handOverParallel = 32
)

// handOver pauses the response's run while transfer sends its state to a peer.
// The run ends if transfer succeeds and resumes otherwise.
func (response *Response) handOver(ctx context.Context, transfer func(state *request.JournalState) error) error {
	pause := &pause{paused: make(chan struct{}), result: make(chan error, 1)}
	select {
	case response.pauses <- pause:
	case <-response.finished:
		return response.handOverFinished(transfer)
	case <-ctx.Done():
		return ctx.Err()
	}
	<-pause.paused
	if err := transfer(response.journal.State()); err != nil {
		pause.result <- nil
		return err
	}
	pause.result <- request.NewMovedError(response.Request().ID())
	return nil
}

// handOverFinished hands over a complete response, or one that was handed over
// before, as the reply to that handover may have been lost.
func (response *Response) handOverFinished(transfer func(state *request.JournalState) error) error {
	state := response.journal.State()
	if _, err := state.Finished(); err != nil && !isMoved(err) {
		return err
	}
	return transfer(state)
}

// pause suspends a run. paused is closed once it is suspended; a nil result
// resumes it and an error ends it.
type pause struct {
	paused chan struct{}
	result chan error
}

// handOver hands the responses in progress over to peers.
func (entry *Entry) handOver(ctx context.Context) {
	active := entry.responses.Active()
	if len(active) == 0 {
		return
	}
	successors := node.Successors(entry.tag(), notStopping(entry.members.Live()), handOverSuccessors)
	var group errgroup.Group
	group.SetLimit(handOverParallel)
	for i, response := range active {
		group.Go(func() error {
			if err := entry.handOverResponse(ctx, response, rotated(successors, i)); err != nil {
				entry.log.Error().Err(err).Str(logging.FieldRequestID, response.Request().ID()).Msg("stopping: response not handed over")
			}
			return nil
		})
	}
	group.Wait()
}

func rotated(members []node.Member, offset int) []node.Member {
	if len(members) == 0 {
		return nil
	}
	offset %= len(members)
	return append(append([]node.Member{}, members[offset:]...), members[:offset]...)
}

func (entry *Entry) handOverResponse(ctx context.Context, response *Response, successors []node.Member) error {
	server, _ := response.journal.State().Source()
	if server == nil && response.Request().Route().NonIdempotent() {
		return errors.New("request has side effects and may be running: waiting for it to finish")
	}
	return response.handOver(ctx, func(state *request.JournalState) error {
		lastErr := errors.New("no peer node is available for the handover")
		call := nodepb.Call_builder{Stream: entry.streamMessage(response.Request(), state)}.Build()
		for _, successor := range successors {
			if _, lastErr = entry.links.Call(ctx, successor.Address(), call); lastErr == nil {
				entry.counters.Add("streamsHandedOver", 1)
				return nil
			}
		}
		return lastErr
	})
}

// handleStreamCall handles calls from peers that concern streams.
func (entry *Entry) handleStreamCall(call *nodepb.Call) *nodepb.Reply {
	done := nodepb.Reply_builder{Done: &nodepb.Done{}}.Build()
	switch call.WhichBody() {
	case nodepb.Call_Hints_case:
		entry.storeHints(call.GetHints())
		return done
	case nodepb.Call_StreamQuery_case:
		return entry.handleStreamQuery(call.GetStreamQuery())
	case nodepb.Call_Stream_case:
		if entry.stopping.Load() {
			return errorReply("this node is stopping")
		}
		if _, err := entry.adoptStream(call.GetStream()); err != nil {
			return errorReply(err.Error())
		}
		return done
	default:
		return errorReply("unknown call")
	}
}

// handleStreamQuery hands a response over to the node to which its caller has
// reconnected. Without the response it returns the hint that this node has, if
// any.
func (entry *Entry) handleStreamQuery(query *nodepb.StreamQuery) *nodepb.Reply {
	ctx, cancel := entry.clock.WithTimeout(entry.responses.ctx, peerQueryTimeout)
	defer cancel()
	reply := nodepb.Reply_builder{Done: &nodepb.Done{}}.Build()
	if response, ok := entry.responses.Find(query.GetRequestId()); ok && response.Request().Account() == query.GetAccount() {
		err := response.handOver(ctx, func(state *request.JournalState) error {
			reply.SetStream(entry.streamMessage(response.Request(), state))
			return nil
		})
		if err == nil {
			return reply
		}
	}
	hint, ok := entry.hints.Find(query.GetRequestId())
	if !ok {
		return reply
	}
	_, random, _ := request.SplitID(hint.RequestID())
	reply.SetHint(nodepb.Hint_builder{
		Request: random[:], AccountHash: new(hint.AccountHash()), PromptHash: new(hint.PromptHash()), RouteHash: new(hint.RouteHash()),
		ServerHash: new(hint.ServerHash()), StreamId: new(hint.StreamID()), LeftMillis: new(int64(hint.Deadline() - entry.clock.Now())),
	}.Build())
	return reply
}
