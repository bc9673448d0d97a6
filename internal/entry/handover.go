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
	// streams are spread. Returning callers are looked for at as many.
	handOverSuccessors = returnSuccessors
	// handOverParallel bounds the streams that are handed over at the same time.
	handOverParallel = 32
)

// handOver gives the answer away: its run stands still while the function give
// passes the state on, and ends if that succeeds. Otherwise it goes on.
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

// handOverFinished gives away an answer that is whole, or that was given away
// before: the reply that said so may have been lost.
func (response *Response) handOverFinished(transfer func(state *request.JournalState) error) error {
	state := response.journal.State()
	if _, err := state.Finished(); err != nil && !isMoved(err) {
		return err
	}
	return transfer(state)
}

// pause stands a run still. The verdict is nil if it goes on.
type pause struct {
	paused chan struct{}
	result chan error
}

// handOver gives the answers in progress to fellow nodes.
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
				entry.log.Error().Err(err).Str(logging.FieldRequestID, response.Request().ID()).Msg("stopping: answer not handed over")
			}
			return nil
		})
	}
	group.Wait()
}

func rotated(members []node.Member, by int) []node.Member {
	if len(members) == 0 {
		return nil
	}
	by %= len(members)
	return append(append([]node.Member{}, members[by:]...), members[:by]...)
}

func (entry *Entry) handOverResponse(ctx context.Context, response *Response, successors []node.Member) error {
	server, _ := response.journal.State().Source()
	if server == nil && response.Request().Route().NonIdempotent() {
		return errors.New("it has side effects and may be running: it is waited for")
	}
	return response.handOver(ctx, func(state *request.JournalState) error {
		last := errors.New("no fellow node can take it")
		call := nodepb.Call_builder{Stream: entry.streamMessage(response.Request(), state)}.Build()
		for _, successor := range successors {
			if _, last = entry.links.Call(ctx, successor.Address(), call); last == nil {
				entry.counters.Add("streamsHandedOver", 1)
				return nil
			}
		}
		return last
	})
}

// handleStreamCall handles the calls of fellow nodes that are about streams.
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

// handleStreamQuery gives an answer away to the node to which its caller has
// returned, or tells what hint there is.
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
