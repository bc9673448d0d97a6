package edge

import (
	"sapphirehead/internal/backend"
	"sapphirehead/internal/backend/backendlink"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/logging"
	"sapphirehead/internal/node"
	"sapphirehead/internal/quarantine"
	"sapphirehead/internal/request"
)

// trialTask names the task of letting quarantined requests through on trial.
const trialTask = "quarantineTrials"

// maxEventsAtCrash is the number of events up to which the response of a request has
// hardly begun, so that the request may have crashed its server.
const maxEventsAtCrash = 1

// checkQuarantine reports whether the request must not be sent, as it or a part of its
// prompt crashes servers.
func (attempts *attempts) checkQuarantine() (blocked bool) {
	edge := attempts.requestContext.edge
	if edge.quarantine.IsIdle() {
		return false
	}
	now, traits := edge.clock.Now(), attempts.requestContext.traits()
	attempts.repeated = edge.quarantine.IsSuspect(traits)
	attempts.retryAfter, blocked = edge.quarantine.Check(traits, now, func() bool { return edge.mayTryQuarantined(now) })
	return blocked
}

// mayTryQuarantined reports whether this node is the one that lets requests through on trial.
func (edge *Edge) mayTryQuarantined(now clock.Millis) bool {
	return edge.peers.states.View().LiveCount(now) == 1 || edge.candidacyFor(trialTask, now).Rank() == 0
}

// recordCrash records the loss of a response after the number of events, if the server
// ended the connection. A server that leaves as planned isn't taken for crashed.
func (attempts *attempts) recordCrash(server *backend.Server, err error, events int) {
	edge := attempts.requestContext.edge
	attempts.recordLost(server, err)
	if backendlink.IsClosedByPeer(err) {
		edge.doubt(server)
	}
	if events > maxEventsAtCrash || server.Leaving() || !backendlink.IsClosedByPeer(err) {
		return
	}
	if edge.quarantine.Crashed(server.Hash(), attempts.requestContext.traits(), attempts.repeated, edge.clock.Now()) {
		signal(edge.peers.urgent)
	}
	edge.reviewQuarantine()
}

// recordAnswer records a complete answer of the server that began at the time.
func (attempts *attempts) recordAnswer(server *backend.Server, outcome request.Outcome, began clock.Millis) {
	if outcome != request.OutcomeAnswered || began == 0 {
		return
	}
	quarantined := attempts.requestContext.edge.quarantine
	traits := quarantine.NewTraits(attempts.requestContext.call.Prompt(), 0)
	if !quarantined.IsIdle() {
		traits = attempts.requestContext.traits()
	}
	quarantined.Answered(server.Hash(), traits, began)
}

// traits returns what may be the cause if the request crashes a server.
func (requestContext *requestContext) traits() quarantine.Traits {
	return quarantine.NewTraits(requestContext.call.Prompt(), requestContext.fingerprint())
}

// evidenceIntervals is the number of intervals between bulletins after which peers know
// of something: one bulletin may be lost or late.
const evidenceIntervals = 2

// evidenceDelay returns the time until the peers know what this node has seen or sent.
func (edge *Edge) evidenceDelay() clock.Millis {
	return evidenceIntervals*node.BulletinInterval(edge.nodes(), false) + maxBatchWait
}

// reviewQuarantine draws conclusions from the evidence of crashes and logs them.
func (edge *Edge) reviewQuarantine() {
	began, ended := edge.quarantine.Review(edge.evidenceDelay(), edge.clock.Now())
	for _, block := range began {
		edge.log.Warn().Strs(logging.FieldPartHashes, block.Names()).Int64("firstCrashAgeMillis", int64(edge.clock.Now()-block.Since())).
			Msg("requests quarantined: they crash backend servers")
		signal(edge.peers.urgent)
	}
	for _, block := range ended {
		edge.log.Info().Strs(logging.FieldPartHashes, block.Names()).Msg("quarantine ended: a request was answered")
		signal(edge.peers.urgent)
	}
}
