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
func (answer *Response) handOver(ctx context.Context, give func(state *request.JournalState) error) error {
	pause := &pause{frozen: make(chan struct{}), verdict: make(chan error, 1)}
	select {
	case answer.pauses <- pause:
	case <-answer.finished:
		return answer.releaseFinished(give)
	case <-ctx.Done():
		return ctx.Err()
	}
	<-pause.frozen
	if err := give(answer.journal.State()); err != nil {
		pause.verdict <- nil
		return err
	}
	pause.verdict <- request.NewMovedError(answer.Request().ID())
	return nil
}

// releaseFinished gives away an answer that is whole, or that was given away
// before: the reply that said so may have been lost.
func (answer *Response) releaseFinished(give func(state *request.JournalState) error) error {
	state := answer.journal.State()
	if _, err := state.Finished(); err != nil && !isMoved(err) {
		return err
	}
	return give(state)
}

// pause stands a run still. The verdict is nil if it goes on.
type pause struct {
	frozen  chan struct{}
	verdict chan error
}

// handOver gives the answers in progress to fellow nodes.
func (entry *Entry) handOver(ctx context.Context) {
	active := entry.answers.Active()
	if len(active) == 0 {
		return
	}
	successors := node.Successors(entry.tag(), notStopping(entry.members.Live()), handOverSuccessors)
	var group errgroup.Group
	group.SetLimit(handOverParallel)
	for i, answer := range active {
		group.Go(func() error {
			if err := entry.handOverAnswer(ctx, answer, rotated(successors, i)); err != nil {
				entry.log.Error().Err(err).Str(logging.FieldRequestID, answer.Request().ID()).Msg("stopping: answer not handed over")
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

func (entry *Entry) handOverAnswer(ctx context.Context, answer *Response, successors []node.Member) error {
	server, _ := answer.journal.State().Source()
	if server == nil && answer.Request().Route().NonIdempotent() {
		return errors.New("it has side effects and may be running: it is waited for")
	}
	return answer.handOver(ctx, func(state *request.JournalState) error {
		last := errors.New("no fellow node can take it")
		call := nodepb.Call_builder{Stream: entry.streamMessage(answer.Request(), state)}.Build()
		for _, successor := range successors {
			if _, last = entry.links.Call(ctx, successor.Address(), call); last == nil {
				entry.counters.Add("streamsHandedOver", 1)
				return nil
			}
		}
		return last
	})
}

// answerStreamCall handles the calls of fellow nodes that are about streams.
func (entry *Entry) answerStreamCall(call *nodepb.Call) *nodepb.Reply {
	done := nodepb.Reply_builder{Done: &nodepb.Done{}}.Build()
	switch call.WhichBody() {
	case nodepb.Call_Hints_case:
		entry.takeHints(call.GetHints())
		return done
	case nodepb.Call_StreamQuery_case:
		return entry.answerStreamQuery(call.GetStreamQuery())
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

// answerStreamQuery gives an answer away to the node to which its caller has
// returned, or tells what hint there is.
func (entry *Entry) answerStreamQuery(query *nodepb.StreamQuery) *nodepb.Reply {
	ctx, cancel := entry.clock.WithTimeout(entry.answers.life, askTimeout)
	defer cancel()
	reply := nodepb.Reply_builder{Done: &nodepb.Done{}}.Build()
	if answer, ok := entry.answers.Find(query.GetRequestId()); ok && answer.Request().Account() == query.GetAccount() {
		err := answer.handOver(ctx, func(state *request.JournalState) error {
			reply.SetStream(entry.streamMessage(answer.Request(), state))
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
