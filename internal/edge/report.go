package edge

import (
	"net/http"
	"strconv"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/placement"
	"sapphirehead/internal/quarantine"
	"sapphirehead/internal/request"
	"sapphirehead/internal/usage"
	"sapphirehead/platform/runners"
)

// rank returns the request's rank at an engine.
func (requestContext *requestContext) rank() int {
	if requestContext.account != nil {
		return requestContext.account.RankOn(requestContext.route)
	}
	return requestContext.route.Rank()
}

// slack returns the time left to the target of the request, or 0 if it has none.
func (requestContext *requestContext) slack() clock.Millis {
	target := requestContext.route.FirstToken()
	if target == 0 {
		return 0
	}
	return max(0, target-(requestContext.edge.clock.Now()-requestContext.arrived))
}

// logChoice logs the server chosen for an attempt and the inputs of the choice.
func (requestContext *requestContext) logChoice(choice placement.Choice) {
	requestContext.choice = choice
	requestContext.edge.log.Debug().Str("requestId", requestContext.call.ID()).Str("backendServer", choice.Server().ID()).
		Float64("costMillis", choice.Cost()).Int("reads", choice.UncachedTokens()).Bool("home", choice.Preferred()).
		Int("choices", choice.Candidates()).Float64("serverRate", choice.Rate()).Msg("attempt")
}

// observeTime learns from the time to the first event, or of a service's response, and
// records its difference from the expected one.
func (attempts *attempts) observeTime(observe func(pool string, choice placement.Choice, elapsed clock.Millis), elapsed clock.Millis) {
	requestContext := attempts.requestContext
	observe(requestContext.pool, requestContext.choice, elapsed)
	requestContext.edge.counters.latency.observeGap(requestContext.pool, elapsed-clock.Millis(requestContext.choice.Wait()))
}

// logStep logs the step that follows an attempt, unless the attempt was
// answered.
func (requestContext *requestContext) logStep(retrier *request.Retrier, outcome request.Outcome, step request.Step) {
	requestContext.edge.counters.outcomes.Add(outcome.String(), 1)
	if outcome == request.OutcomeAnswered {
		return
	}
	server := ""
	if retrier.Sends() > 0 {
		server = requestContext.choice.Server().ID()
	}
	requestContext.edge.log.Info().Str("requestId", requestContext.call.ID()).Str("pool", requestContext.pool).Str("backendServer", server).Str("outcome", outcome.String()).
		Str("step", step.String()).Int("sends", retrier.Sends()).Bool("mayHaveRun", retrier.MayHaveRun()).
		Int64("leftMillis", int64(retrier.Deadline()-requestContext.edge.clock.Now())).Msg("attempt ended")
}

// sharedParts returns the ids of the prompt's parts that other prompts may have, too.
func (requestContext *requestContext) sharedParts() []string {
	shared := requestContext.call.Prompt().Shared()
	ids := make([]string, 0, len(shared))
	for _, part := range shared {
		ids = append(ids, part.ID())
	}
	return ids
}

// fingerprint returns the hash by which repetitions of the request are recognised.
func (requestContext *requestContext) fingerprint() uint64 {
	if requestContext.fingerprintHash == 0 {
		request := requestContext.request
		requestContext.fingerprintHash = quarantine.Fingerprint(requestContext.body, request.Method, request.Host, requestContext.target, requestContext.accountName())
	}
	return requestContext.fingerprintHash
}

// requestHash returns the fingerprint in hexadecimal, for logs.
func (requestContext *requestContext) requestHash() string {
	return strconv.FormatUint(requestContext.fingerprint(), 16)
}

// recordLoad records the load that a server reports in the head of a response.
func (edge *Edge) recordLoad(server *backend.Server, header http.Header) {
	if load, _, ok := runners.DecodeLoad(header, edge.clock.Now()); ok {
		server.Report(load)
	}
}

// countRun counts the request in the usage report when it begins to run, at most
// once.
func (requestContext *requestContext) countRun() {
	requestContext.beginTicket()
	if requestContext.runCounted || requestContext.account == nil {
		return
	}
	requestContext.runCounted = true
	edge := requestContext.edge
	window := usage.WindowAt(edge.trueTime(), edge.settings.Load().Bounds().UsageWindow())
	edge.peers.runs.Count(window, requestContext.account.Name())
}

// countDemand adds an attempt to the demand of its pool.
func (requestContext *requestContext) countDemand(choice placement.Choice) {
	demand := requestContext.edge.peers.demandFor(requestContext.pool)
	demand.requests.Add(1)
	demand.tokens.Add(int64(choice.UncachedTokens()))
}
