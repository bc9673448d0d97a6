package edge

import (
	"sapphirehead/internal/backend"
	"sapphirehead/internal/backend/backendlink"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/node"
	"sapphirehead/platform/runners"
)

// assignInterval is the time between two assignments of nodes to servers with limits.
const assignInterval = 500 * clock.Millisecond

// recordLimit records the limit that the server names in the head of a response. Only
// its own answer to this request shows that it names none.
func (attempts *attempts) recordLimit(server *backend.Server, response *backendlink.Response) {
	edge, id := attempts.requestContext.edge, attempts.requestContext.call.ID()
	verdict := runners.Classify(response.Status(), response.Header(), id)
	perSecond, named := runners.DecodeLimit(response.Header())
	statement := backend.NewUnlimited()
	switch {
	case verdict == runners.VerdictMismatched:
		return
	case named:
		statement = backend.NewStatement(perSecond)
	case runners.NamesLimit(response.Header()):
		edge.log.Warn().Str("requestId", id).Str("backendServer", server.ID()).Msg("ignored a limit of a backend server that is no number")
		return
	case verdict != runners.VerdictSuccess:
		return
	}
	if server.RateLimit().Observe(statement, attempts.sentAt, edge.clock.Now()) {
		edge.assignLimit(server, edge.peers.states.View().Hosts(edge.clock.Now()))
		edge.logLimit(server, "backend server named another limit")
	}
}

func (edge *Edge) logLimit(server *backend.Server, message string) {
	edge.log.Info().Str("backendServer", server.ID()).Str("pool", server.Pool()).Float64("perSecond", server.RateLimit().PerSecond()).Msg(message)
}

// logLimitedSend logs a request that is sent to a server with a limit, and what this node
// knows of the limit.
func (requestContext *requestContext) logLimitedSend(server *backend.Server) {
	rateLimit := server.RateLimit()
	if !rateLimit.IsLimited() {
		return
	}
	edge := requestContext.edge
	edge.log.Info().Str("requestId", requestContext.call.ID()).Str("backendServer", server.ID()).Float64("perSecond", rateLimit.PerSecond()).
		Int("nodes", edge.nodes()).Float64("level", rateLimit.Level(edge.clock.Now())).Msg("request uses the limit of a backend server")
}

// serverLimits returns what this node tells the receivers of a bulletin about the limits
// of servers.
func (edge *Edge) serverLimits(receivers []node.Receiver, now clock.Millis) []node.ServerLimit {
	var limits []node.ServerLimit
	borrowers := edge.peers.states.View().Borrowers(receivers, now)
	for _, server := range edge.fleet.Current().Servers() {
		rateLimit := server.RateLimit()
		loan := edge.lend(rateLimit, borrowers[server.Hash()], now)
		statement, age, sent, recent := rateLimit.Report(now)
		if !recent && loan.Requests() == 0 {
			continue
		}
		limit := node.NewServerLimit(server.Hash(), statement, age, sent).WithLoan(loan)
		if rateLimit.Borrows(now) {
			limit = limit.WithBorrowing()
		}
		limits = append(limits, limit)
	}
	return limits
}

// lend lends what this node can't use of the limit to one of the borrowers, to each in
// turn.
func (edge *Edge) lend(rateLimit *backend.RateLimit, borrowers []string, now clock.Millis) node.Loan {
	if len(borrowers) == 0 {
		return node.Loan{}
	}
	turn := int(edge.peers.sequence.Load() % int64(len(borrowers)))
	return node.NewLoan(borrowers[turn], rateLimit.Lend(now))
}

// applyServerLimits applies the limits in a bulletin; added holds the requests that its
// sender has sent to each server since the previous one, and is nil if the bulletin is
// not the sender's latest one.
func (edge *Edge) applyServerLimits(limits []node.ServerLimit, added map[uint64]int64, now clock.Millis) {
	servers := edge.fleet.Current()
	for _, limit := range limits {
		server := servers.ServerWithHash(limit.Server())
		if server == nil {
			continue
		}
		if server.RateLimit().Learn(limit.Statement(), now-limit.Age(), now) {
			edge.assignLimit(server, edge.peers.states.View().Hosts(edge.clock.Now()))
			edge.logLimit(server, "backend server named another limit: reported by a peer node")
		}
		server.RateLimit().AddPeers(added[limit.Server()], now)
		if lent := limit.Loan().To(edge.settings.Load().Host()); lent > 0 && added != nil {
			server.RateLimit().Borrow(lent, now)
		}
	}
}

// assignLimits assigns nodes to the servers with limits: all nodes in a small
// deployment, some by rendezvous hashing in a large one.
func (edge *Edge) assignLimits(now clock.Millis) {
	if now < edge.peers.limitsAssigned+assignInterval {
		return
	}
	edge.peers.limitsAssigned = now
	hosts := edge.peers.states.View().Hosts(now)
	for _, server := range edge.fleet.Current().Servers() {
		if server.RateLimit().IsLimited() {
			edge.assignLimit(server, hosts)
		}
	}
}

// assignLimit assigns this node and those on the other hosts to a server with a limit.
// The hosts are those that share limits, not the live ones: nodes agree on which are
// live only roughly, and one that takes few for live would count itself among the first.
func (edge *Edge) assignLimit(server *backend.Server, hosts []string) {
	rateLimit := server.RateLimit()
	count := backend.LimitedNodes(rateLimit.PerSecond(), len(hosts)+1)
	rateLimit.SetUsage(edge.refillShare(), count, !node.IsAmongFirst(edge.settings.Load().Host(), hosts, server.Hash(), count))
}
