package measure

import (
	"cmp"
	"slices"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/request"
	"sapphirehead/internal/route"
	"sapphirehead/internal/runner"
)

// moveRounds is the number of rounds in which a node plans moves of its streams
// on leaving servers.
const moveRounds = 3

// Times of a KV cache transfer between simulated runners.
const (
	transferPerToken = 125 * micros(1)
	transferBase     = 20 * microsPerMilli
)

func (call *call) transferTime(attempt request.Attempt) micros {
	return transferBase + micros(call.chain.Tokens()+attempt.Offset())*transferPerToken
}

// moveStreams plans moves of the node's streams on leaving servers, in order of
// worth and deadline, in rounds until the servers end.
func moveStreams(node *node, servers []*backend.Server, until clock.Millis, rounds int) {
	now := node.run.clock.Now()
	if rounds == 0 || now >= until {
		return
	}
	for _, call := range node.callsOn(servers) {
		call.move(until - now)
	}
	next := microsOf(until-now) / micros(rounds)
	node.run.timeline.after(next, func() { moveStreams(node, servers, until, rounds-1) })
}

func (node *node) callsOn(servers []*backend.Server) []*call {
	var affected []*call
	for call := range node.run.openCalls {
		if call.node == node && call.job != nil && slices.Contains(servers, call.attempt.Server()) {
			affected = append(affected, call)
		}
	}
	slices.SortFunc(affected, func(a, b *call) int {
		return cmp.Or(cmp.Compare(b.req.Route().Worth(), a.req.Route().Worth()), cmp.Compare(a.req.Deadline(), b.req.Deadline()),
			cmp.Compare(a.req.ID(), b.req.ID()))
	})
	return affected
}

// move plans and executes the move of one stream.
func (call *call) move(notice clock.Millis) {
	if call.req.Route().Kind() != route.KindChat {
		return
	}
	perToken := clock.Millis(call.attempt.Server().Speed().InterTokenMillis()) + 1
	state := request.NewStreamState(len(call.chain.Blocks())*runner.BlockTokens, call.offset(), call.req.Prompt().MaxTokens(), perToken, notice)
	planned := request.PlanMove(state)
	if planned == request.MoveStay {
		return
	}
	previous := call.attempt.Number()
	action := call.flow.Move(planned == request.MoveTransfer)
	if action.Kind() == request.ActionAttempt {
		call.movedFrom = previous
		call.handle(action)
	}
}
