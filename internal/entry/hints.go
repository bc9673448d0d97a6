package entry

import (
	"context"

	"google.golang.org/protobuf/proto"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/node"
	"sapphirehead/internal/node/nodepb"
	"sapphirehead/internal/request"
)

const (
	// hintDelay is the time for which hints are batched into one message.
	hintDelay = 100 * clock.Millisecond
	// successorInterval is the time between two checks for a new successor.
	successorInterval = 1 * clock.Second
	// maxQueuedHints bounds the queue of responses whose hints are to be sent.
	maxQueuedHints = 4096
)

// queueHint queues a hint about the response's source for this node's
// successor. Hints are best effort: if the queue is full, the hint is dropped
// and counted.
func (entry *Entry) queueHint(response *Response) {
	if !response.Request().Streamed() {
		return
	}
	select {
	case entry.sourceChanges <- response:
	default:
		entry.counters.Add("hintsDropped", 1)
	}
}

// sendHints sends hints about where this node's responses are generated to its
// successor. A new successor gets hints about all active responses.
func (entry *Entry) sendHints(ctx context.Context) {
	successor := ""
	for ctx.Err() == nil {
		queued := entry.awaitHints(ctx)
		successors := node.Successors(entry.tag(), entry.members.Live(), 1)
		if len(successors) == 0 {
			continue
		}
		if successors[0].Host() != successor {
			queued = entry.responses.Active()
		}
		successor = successors[0].Host()
		if err := entry.pushHints(ctx, queued); err != nil {
			entry.counters.Add("hintsFailed", 1)
			successor = ""
		}
	}
}

// pushHints sends hints about the sources of the responses. Hints go to the
// successor of the node that accepted the request, also for adopted responses,
// as that successor is queried when their callers reconnect.
func (entry *Entry) pushHints(ctx context.Context, responses []*Response) error {
	var lastErr error
	for address, hints := range entry.hintsByAddress(responses) {
		call := nodepb.Call_builder{Hints: nodepb.Hints_builder{Sender: new(entry.tag()), Hints: hints}.Build()}.Build()
		if _, err := entry.links.Call(ctx, address, call); err != nil {
			lastErr = err
			continue
		}
		entry.counters.Add("hintsSent", int64(len(hints)))
		entry.counters.Add("hintBytes", int64(proto.Size(call)))
	}
	return lastErr
}

func (entry *Entry) hintsByAddress(responses []*Response) map[string][]*nodepb.Hint {
	hints := map[string][]*nodepb.Hint{}
	live := entry.members.Live()
	for _, response := range responses {
		state := response.journal.State()
		server, streamID := state.Source()
		if finished, _ := state.Finished(); finished || server == nil || !response.Request().Streamed() {
			continue
		}
		tag, _ := request.ParseID(response.Request().ID())
		if successors := node.Successors(tag, live, 1); len(successors) > 0 {
			message := hintMessage(response.Request(), server.ID(), streamID, entry.clock.Now())
			if tag != entry.tag() {
				message.SetTag(tag)
			}
			hints[successors[0].Address()] = append(hints[successors[0].Address()], message)
		}
	}
	return hints
}

// awaitHints collects the responses with a new source until hintDelay after the
// first one.
func (entry *Entry) awaitHints(ctx context.Context) []*Response {
	var queued []*Response
	idle, cancel := entry.clock.WithTimeout(ctx, successorInterval)
	defer cancel()
	for {
		select {
		case response := <-entry.sourceChanges:
			if queued = append(queued, response); len(queued) == 1 {
				var stop context.CancelFunc
				idle, stop = entry.clock.WithTimeout(ctx, hintDelay)
				defer stop()
			}
		case <-idle.Done():
			return queued
		}
	}
}

func hintMessage(req *request.Request, serverID, streamID string, now clock.Millis) *nodepb.Hint {
	_, random, _ := request.SplitID(req.ID())
	return nodepb.Hint_builder{
		Request:     random[:],
		AccountHash: new(node.Hash(req.Account())),
		PromptHash:  new(uint32(req.Prompt().Hash())),
		RouteHash:   new(node.Hash(req.Route().Name())),
		ServerHash:  new(node.Hash(serverID)),
		StreamId:    &streamID,
		LeftMillis:  new(int64(req.Deadline() - now)),
	}.Build()
}

// hintOf decodes a hint. The tag is that of the node that accepted the request,
// unless the hint carries its own.
func hintOf(message *nodepb.Hint, tag uint32, now clock.Millis) node.Hint {
	var random [12]byte
	copy(random[:], message.GetRequest())
	if message.HasTag() {
		tag = message.GetTag()
	}
	return node.NewHint(request.NewID(tag, random), message.GetAccountHash(), message.GetPromptHash(), message.GetRouteHash(),
		message.GetServerHash(), message.GetStreamId(), now+clock.Millis(message.GetLeftMillis()))
}

func (entry *Entry) storeHints(message *nodepb.Hints) {
	for _, hint := range message.GetHints() {
		entry.hints.Store(hintOf(hint, message.GetSender(), entry.clock.Now()))
	}
}
