package edge

import (
	"sapphirehead/internal/backend"
	"sapphirehead/internal/backend/backendlink"
	"sapphirehead/platform/runners"
)

// recordStatements records what the server says of itself in the head of its response to
// this request.
func (attempts *attempts) recordStatements(server *backend.Server, response *backendlink.Response) {
	attempts.recordLimit(server, response)
	if runners.Classify(response.Status(), response.Header(), attempts.requestContext.call.ID()) != runners.VerdictMismatched {
		attempts.recordLeaving(server, response)
		attempts.recordPause(server, response)
	}
}

// recordPause leaves a server alone that has turned this request away and wants no others
// for a time.
func (attempts *attempts) recordPause(server *backend.Server, response *backendlink.Response) {
	edge := attempts.requestContext.edge
	wait, ok := runners.DecodeWait(response.Status(), response.Header())
	if ok && server.RateLimit().Pause(wait, edge.clock.Now()) {
		edge.log.Info().Str("requestId", attempts.requestContext.call.ID()).Str("backendServer", server.ID()).Int64("waitMillis", int64(wait)).
			Msg("backend server wants no requests for a time")
	}
}

// recordLeaving marks a server that says that it leaves. The mark outlives its entry in
// the list and holds for this run of the server, also if it says so no more.
func (attempts *attempts) recordLeaving(server *backend.Server, response *backendlink.Response) {
	if !runners.DecodeLeaving(response.Header()) || !server.MarkLeaving() {
		return
	}
	edge := attempts.requestContext.edge
	if listed := edge.fleet.Current().Server(server.ID()); listed != nil && listed.Key() == server.Key() {
		// Its entry may have been removed and written again since the request was sent.
		listed.MarkLeaving()
	}
	edge.log.Info().Str("requestId", attempts.requestContext.call.ID()).Str("backendServer", server.ID()).
		Msg("backend server leaves: it said so in a response")
	if edge.isDesignatedWatcher() {
		signal(edge.peers.urgent)
	}
}
