package entry

import (
	"cmp"
	"context"
	"slices"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/request"
)

const (
	// assumedNotice is the assumed time until a leaving server ends if the evidence
	// contains none.
	assumedNotice = 5 * clock.Second
	// moveBatch is the number of streams that start to move at the same time.
	moveBatch = 16
	// moveInterval is the time between two batches.
	moveInterval = 20 * clock.Millisecond
	// moveRounds is the number of planning rounds, spread evenly over the longest
	// notice of the servers, or over assumedNotice if that is longer.
	moveRounds = 3
)

// moveStreams moves streams off leaving servers before these end. Each round
// plans again for the remaining streams, in order of worth and deadline and in
// batches, so that the streams of a whole data centre do not hit the other
// servers at once:
//
//	round 1: 40 streams: 25 stay, as they will finish in time; 15 start to move
//	round 2: 2 streams are longer than estimated and move
//	round 3: no streams left
func (entry *Entry) moveStreams(leaving map[string]clock.Millis) {
	entry.responses.group.Go(func() {
		startedAt := entry.clock.Now()
		longest := assumedNotice
		for _, notice := range leaving {
			longest = max(longest, notice)
		}
		for range moveRounds {
			entry.moveRound(entry.responses.ctx, leaving, entry.clock.Now()-startedAt)
			if entry.clock.Wait(entry.responses.ctx, longest/moveRounds) != nil {
				return
			}
		}
	})
}

func (entry *Entry) moveRound(ctx context.Context, leaving map[string]clock.Millis, elapsed clock.Millis) {
	for i, response := range orderMoves(entry.responsesOn(leaving)) {
		server, _ := response.journal.State().Source()
		notice := leaving[server.ID()]
		if notice == 0 {
			notice = assumedNotice
		}
		entry.planMove(response, max(notice-elapsed, 0))
		if i%moveBatch == moveBatch-1 && entry.clock.Wait(ctx, moveInterval) != nil {
			return
		}
	}
}

func (entry *Entry) responsesOn(leaving map[string]clock.Millis) []*Response {
	var affected []*Response
	for _, response := range entry.responses.Active() {
		server, _ := response.journal.State().Source()
		if server == nil {
			continue
		}
		if _, ok := leaving[server.ID()]; ok {
			affected = append(affected, response)
		}
	}
	return affected
}

// orderMoves sorts responses by worth, highest first, and then by deadline.
func orderMoves(responses []*Response) []*Response {
	slices.SortStableFunc(responses, func(a, b *Response) int {
		return cmp.Or(cmp.Compare(b.Request().Route().Worth(), a.Request().Route().Worth()), cmp.Compare(a.Request().Deadline(), b.Request().Deadline()))
	})
	return responses
}

// planMove requests a move of the response's generation, unless it is expected
// to finish within the notice.
func (entry *Entry) planMove(response *Response, notice clock.Millis) {
	req, tokens := response.Request(), len(response.journal.State().Tokens())
	state := request.NewStreamState(req.Prompt().Length(), tokens, req.Prompt().MaxTokens(), response.perToken(), notice)
	move := request.PlanMove(state)
	if move == request.MoveStay {
		return
	}
	select {
	case response.moves <- move:
		entry.counters.Add("streamsMoved", 1)
	default:
	}
}

// handleSourceChange handles a response whose source changed: it queues a hint, and
// plans a move if the new server is leaving.
func (entry *Entry) handleSourceChange(response *Response) {
	server, _ := response.journal.State().Source()
	if server.Leaving() {
		entry.planMove(response, assumedNotice)
	}
	entry.queueHint(response)
}
