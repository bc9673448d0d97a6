package entry

import (
	"context"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/node"
	"sapphirehead/internal/node/nodepb"
	"sapphirehead/internal/request"
)

const (
	// hintDelay is the time for which hints are collected into one message.
	hintDelay = 100 * clock.Millisecond
	// successorInterval is the time between two looks at who the successor is.
	successorInterval = 1 * clock.Second
	// maxHintsWaiting bounds the answers whose hints wait to be sent.
	maxHintsWaiting = 4096
)

// offerHint has the answer's place told to this node's successor. Hints are a
// help, not a promise: when too many wait, one is left out and counted.
func (entry *Entry) offerHint(answer *Answer) {
	if !answer.Request().Streamed() {
		return
	}
	select {
	case entry.located <- answer:
	default:
		entry.counters.Add("hintsDropped", 1)
	}
}

// sendHints tells this node's successor where its answers are generated. A new
// successor is told of all of them.
func (entry *Entry) sendHints(ctx context.Context) {
	last := ""
	for ctx.Err() == nil {
		waiting := entry.awaitHints(ctx)
		successors := node.Successors(entry.tag(), entry.members.Live(), 1)
		if len(successors) == 0 {
			continue
		}
		if successors[0].Host() != last {
			last = successors[0].Host()
			waiting = entry.answers.Active()
		}
		message := entry.hintsMessage(waiting)
		if len(message.GetHints()) == 0 {
			continue
		}
		call := nodepb.Call_builder{Hints: message}.Build()
		if _, err := entry.links.Call(ctx, successors[0].Address(), call); err != nil {
			entry.counters.Add("hintsFailed", 1)
			last = ""
			continue
		}
		entry.counters.Add("hintsSent", int64(len(message.GetHints())))
	}
}

// awaitHints collects answers that have a new place for a short time after the
// first.
func (entry *Entry) awaitHints(ctx context.Context) []*Answer {
	var waiting []*Answer
	idle, cancel := entry.clock.WithTimeout(ctx, successorInterval)
	defer cancel()
	for {
		select {
		case answer := <-entry.located:
			if waiting = append(waiting, answer); len(waiting) == 1 {
				var stop context.CancelFunc
				idle, stop = entry.clock.WithTimeout(ctx, hintDelay)
				defer stop()
			}
		case <-idle.Done():
			return waiting
		}
	}
}

func (entry *Entry) hintsMessage(answers []*Answer) *nodepb.Hints {
	var hints []*nodepb.Hint
	for _, answer := range answers {
		state := answer.journal.State()
		server, streamID := state.Place()
		if finished, _ := state.Finished(); finished || server == nil || !answer.Request().Streamed() {
			continue
		}
		hints = append(hints, hintMessage(answer.Request(), server.ID(), streamID, entry.clock.Now()))
	}
	return nodepb.Hints_builder{Owner: new(entry.tag()), Hints: hints}.Build()
}

func hintMessage(to *request.Request, serverID, streamID string, now clock.Millis) *nodepb.Hint {
	_, random, _ := request.SplitID(to.ID())
	return nodepb.Hint_builder{
		Request:     random[:],
		AccountHash: new(node.AccountHash(to.Account())),
		PromptHash:  new(uint32(to.Prompt().Hash())),
		Route:       new(to.Route().Name()),
		ServerId:    &serverID,
		StreamId:    &streamID,
		LeftMillis:  new(int64(to.Deadline() - now)),
	}.Build()
}

// hintOf reads a hint of the owner's.
func hintOf(message *nodepb.Hint, owner uint32, now clock.Millis) node.Hint {
	var random [12]byte
	copy(random[:], message.GetRequest())
	return node.NewHint(request.NewID(owner, random), message.GetAccountHash(), message.GetPromptHash(), message.GetRoute(),
		message.GetServerId(), message.GetStreamId(), now+clock.Millis(message.GetLeftMillis()))
}

func (entry *Entry) takeHints(message *nodepb.Hints) {
	for _, hint := range message.GetHints() {
		entry.hints.Keep(hintOf(hint, message.GetOwner(), entry.clock.Now()))
	}
}
