package entry

import (
	"cmp"
	"context"
	"slices"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/request"
)

const (
	// assumedNotice is the time until a leaving server goes if none was given.
	assumedNotice = 5 * clock.Second
	// moveBatch is the number of streams that begin to move at the same time.
	moveBatch = 16
	// moveInterval is the time between two batches.
	moveInterval = 20 * clock.Millisecond
	// moveRounds is how often the streams on a leaving server are looked at,
	// evenly over the time until it goes.
	moveRounds = 3
)

// moveStreams looks after the streams on leaving servers until these go. Each
// round plans anew for what is still there, in order of worth and deadline and
// a batch at a time, so that a data centre's worth of streams does not fall on
// the other servers in one moment:
//
//	round 1: 40 streams: 25 stay, as they end in time; 15 begin to move
//	round 2: 2 streams are longer than estimated and move now
//	round 3: none left
func (entry *Entry) moveStreams(leaving map[string]clock.Millis) {
	entry.answers.group.Go(func() {
		begun := entry.clock.Now()
		longest := assumedNotice
		for _, notice := range leaving {
			longest = max(longest, notice)
		}
		for range moveRounds {
			entry.moveRound(entry.answers.life, leaving, entry.clock.Now()-begun)
			if entry.clock.Wait(entry.answers.life, longest/moveRounds) != nil {
				return
			}
		}
	})
}

func (entry *Entry) moveRound(ctx context.Context, leaving map[string]clock.Millis, passed clock.Millis) {
	for i, answer := range orderMoves(entry.answersAt(leaving)) {
		server, _ := answer.journal.State().Source()
		notice := leaving[server.ID()]
		if notice == 0 {
			notice = assumedNotice
		}
		entry.planMove(answer, max(notice-passed, 0))
		if i%moveBatch == moveBatch-1 && entry.clock.Wait(ctx, moveInterval) != nil {
			return
		}
	}
}

func (entry *Entry) answersAt(leaving map[string]clock.Millis) []*Response {
	var there []*Response
	for _, answer := range entry.answers.Active() {
		server, _ := answer.journal.State().Source()
		if server == nil {
			continue
		}
		if _, ok := leaving[server.ID()]; ok {
			there = append(there, answer)
		}
	}
	return there
}

// orderMoves puts answers of more worth first, and among equals those due
// first.
func orderMoves(answers []*Response) []*Response {
	slices.SortStableFunc(answers, func(a, b *Response) int {
		return cmp.Or(cmp.Compare(b.Request().Route().Worth(), a.Request().Route().Worth()), cmp.Compare(a.Request().Deadline(), b.Request().Deadline()))
	})
	return answers
}

// planMove tells the answer's run to move, unless it ends in time.
func (entry *Entry) planMove(answer *Response, notice clock.Millis) {
	to, tokens := answer.Request(), len(answer.journal.State().Tokens())
	state := request.NewStreamState(to.Prompt().Length(), tokens, to.Prompt().MaxTokens(), answer.perToken(), notice)
	move := request.PlanMove(state)
	if move == request.MoveStay {
		return
	}
	select {
	case answer.moves <- move:
		entry.counters.Add("streamsMoved", 1)
	default:
	}
}

// noteLocated hears from a run that its answer comes from another stream than
// before.
func (entry *Entry) noteLocated(answer *Response) {
	server, _ := answer.journal.State().Source()
	if server.Leaving() {
		entry.planMove(answer, assumedNotice)
	}
	entry.offerHint(answer)
}
