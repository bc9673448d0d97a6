package edge

import (
	"net/http"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/placement"
	"sapphirehead/internal/request"
	"sapphirehead/internal/usage"
	"sapphirehead/platform/runners"
)

// urgency returns the request's urgency at an engine.
func (visit *visit) urgency() int {
	if visit.account != nil {
		return visit.account.RankOn(visit.route)
	}
	return visit.route.Rank()
}

// logChoice logs where an attempt goes and what decided.
func (visit *visit) logChoice(choice placement.Choice) {
	visit.choice = choice
	visit.edge.log.Debug().Str("requestId", visit.call.ID()).Str("backendServer", choice.Server().ID()).
		Float64("costMillis", choice.Cost()).Int("reads", choice.UncachedTokens()).Bool("home", choice.Preferred()).
		Int("choices", choice.Candidates()).Msg("attempt")
}

// logStep logs what follows from an attempt, unless it is a plain answer.
func (visit *visit) logStep(retrier *request.Retrier, outcome request.Outcome, step request.Step) {
	visit.edge.counters.outcomes.Add(outcome.String(), 1)
	if outcome == request.OutcomeAnswered {
		return
	}
	server := ""
	if retrier.Sends() > 0 {
		server = visit.choice.Server().ID()
	}
	visit.edge.log.Info().Str("requestId", visit.call.ID()).Str("pool", visit.pool).Str("backendServer", server).Str("outcome", outcome.String()).
		Str("step", step.String()).Int("sends", retrier.Sends()).Bool("mayHaveRun", retrier.MayHaveRun()).
		Int64("leftMillis", int64(retrier.Deadline()-visit.edge.clock.Now())).Msg("attempt ended")
}

// noteLoad takes in the load that a server reports with an answer.
func (edge *Edge) noteLoad(server *backend.Server, header http.Header) {
	if load, _, ok := runners.DecodeLoad(header, edge.clock.Now()); ok {
		server.Report(load)
	}
}

// countRun counts for the usage report that the request began to run.
func (visit *visit) countRun() {
	if visit.ran || visit.account == nil {
		return
	}
	visit.ran = true
	edge := visit.edge
	window := usage.WindowAt(edge.trueTime(), edge.settings.Load().Bounds().UsageWindow())
	edge.fellows.runs.Count(window, visit.account.Name())
}

// countDemand counts what an attempt asks of its pool.
func (visit *visit) countDemand(choice placement.Choice) {
	demand := visit.edge.fellows.demandFor(visit.pool)
	demand.requests.Add(1)
	demand.tokens.Add(int64(choice.UncachedTokens()))
}
