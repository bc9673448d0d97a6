package edge

import (
	"cmp"
	"net/http"
	"slices"
	"sync/atomic"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/backend/backendlink"
	"sapphirehead/internal/canary"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/quarantine"
	"sapphirehead/internal/request"
	"sapphirehead/platform/runners"
)

// planRollout decides which versions the first attempt may use, and counts the request as
// one that servers of any version may get until the returned function is called. It is
// counted before the decision: when this node reports that it knows of a promotion and that
// no such request is left, none can be sent to another version any more.
func (attempts *attempts) planRollout() (end func()) {
	requestContext, edge := attempts.requestContext, attempts.requestContext.edge
	if !edge.hasRollouts() {
		return func() {}
	}
	unsettled := edge.rollouts.unsettledIn(requestContext.pool)
	unsettled.Add(1)
	if requestContext.takesUp() {
		// The rest of a stream comes from the release that began it.
		return func() { unsettled.Add(-1) }
	}
	_, session := requestContext.call.Prompt().Session()
	attempts.plan = edge.rollouts.tracker.Plan(requestContext.pool, requestContext.route.Name(), session, edge.clock.Now())
	if attempts.plan.Use() == canary.UsePromoted {
		unsettled.Add(-1)
		return func() {}
	}
	return func() { unsettled.Add(-1) }
}

// planRetry decides which versions a later attempt may use.
func (attempts *attempts) planRetry() {
	requestContext := attempts.requestContext
	if attempts.retrier.Sends() > 0 && requestContext.edge.hasRollouts() {
		attempts.plan = requestContext.edge.rollouts.tracker.Retry(requestContext.pool)
	}
}

// leaveCanary turns a canary request that the ordered version can't serve into one for the
// other versions, and reports whether it was one.
func (attempts *attempts) leaveCanary() bool {
	if !attempts.plan.IsCanary() {
		return false
	}
	tracker := attempts.requestContext.edge.rollouts.tracker
	tracker.Return(attempts.plan)
	attempts.plan = tracker.Retry(attempts.requestContext.pool)
	return true
}

// countCanary counts an attempt that uses the canary share.
func (attempts *attempts) countCanary() {
	if attempts.plan.IsCanary() {
		attempts.requestContext.edge.rollouts.canaryRequests.Add(1)
	}
}

// usableServers returns the pool's servers that the next attempt may use during a rollout.
func (attempts *attempts) usableServers() []*backend.Server {
	requestContext, edge := attempts.requestContext, attempts.requestContext.edge
	servers := edge.fleet.Current().Pool(requestContext.pool)
	if attempts.release != 0 || attempts.plan.Use() == canary.UseAny || !edge.hasRollouts() {
		return servers
	}
	allowed := make([]*backend.Server, 0, len(servers))
	for _, server := range servers {
		if attempts.plan.Allows(server.Software()) {
			allowed = append(allowed, server)
		}
	}
	if limit := attempts.plan.Servers(); limit > 0 && limit < len(allowed) {
		return lowestRanks(allowed, limit, edge.clock.Now())
	}
	return allowed
}

// lowestRanks returns the servers with the lowest ranks among those that can be used.
func lowestRanks(servers []*backend.Server, limit int, now clock.Millis) []*backend.Server {
	usable := slices.DeleteFunc(servers, func(server *backend.Server) bool { return server.Leaving() || !server.Circuit().Allows(now) })
	slices.SortFunc(usable, func(a, b *backend.Server) int {
		return cmp.Compare(canary.ServerRank(a.Key()), canary.ServerRank(b.Key()))
	})
	return usable[:min(limit, len(usable))]
}

// attemptEvidence is what an attempt shows about the version of its server. It is recorded
// once.
type attemptEvidence struct {
	// isNone is set for the rest of a stream.
	isNone   bool
	recorded atomic.Bool
}

// watchSlowness records the attempt as overdue if its response has not begun in the usual
// time. It returns a function that ends the watch and calls markRead, to be called when the
// response begins and when the attempt ends.
func (attempts *attempts) watchSlowness(server *backend.Server, markRead func()) (begun func()) {
	requestContext, edge := attempts.requestContext, attempts.requestContext.edge
	evidence := &attemptEvidence{isNone: attempts.release != 0 || !edge.hasRollouts()}
	attempts.evidence = evidence
	if evidence.isNone {
		return markRead
	}
	route, tokens := requestContext.route.Name(), requestContext.choice.UncachedTokens()
	wait, ok := edge.rollouts.tracker.SlowAfter(server.Pool(), route, tokens)
	if !ok {
		return markRead
	}
	cancel := edge.clock.AfterFunc(wait, func() {
		if !requestContext.callerLeft() && !evidence.recorded.Swap(true) {
			overdue := canary.NewAnswer(route, tokens, canary.OutcomeOverdue, wait)
			edge.rollouts.tracker.Record(server.Pool(), server.Software(), overdue, edge.clock.Now())
		}
	})
	return func() {
		cancel()
		markRead()
	}
}

// recordEvidence counts the response as evidence about the version of its server. Refusals
// show nothing about it, nor do responses by which a server sheds load or keeps to its
// limit, the rest of a stream, and what callers that left didn't wait for. Lost responses
// are judged by resolveLost.
func (attempts *attempts) recordEvidence(server *backend.Server, response *backendlink.Response, outcome request.Outcome) {
	requestContext, edge := attempts.requestContext, attempts.requestContext.edge
	if attempts.evidence.isNone {
		return
	}
	began := attempts.beganAt
	if began == 0 {
		began = edge.clock.Now()
	}
	result := canary.OutcomeAnswered
	switch outcome {
	case request.OutcomeAnswered:
	case request.OutcomeFailed:
		result = canary.OutcomeFailed
	default:
		return
	}
	if requestContext.callerLeft() || shedsLoad(response) || attempts.evidence.recorded.Swap(true) {
		return
	}
	answer := canary.NewAnswer(requestContext.route.Name(), requestContext.choice.UncachedTokens(), result, began-attempts.sentAt)
	edge.rollouts.tracker.Record(server.Pool(), server.Software(), answer, edge.clock.Now())
}

// shedsLoad reports whether the server turned the request away for its load or its limit.
func shedsLoad(response *backendlink.Response) bool {
	if response.Status() != http.StatusTooManyRequests && response.Status() != http.StatusServiceUnavailable {
		return false
	}
	_, waits := runners.DecodeWait(response.Status(), response.Header())
	return response.Status() == http.StatusTooManyRequests || waits || runners.NamesLimit(response.Header())
}

// lostAnswer is an attempt whose connection the server ended. Whether its process crashed
// is known once the list shows another start of the server, or none.
type lostAnswer struct {
	server *backend.Server
	route  string
	traits quarantine.Traits
	at     clock.Millis
}

// crashListTime is the time within which the list shows that a process has ended: its entry
// expires, or the next start of the server writes another one.
const crashListTime = 5 * clock.Second

// recordLost keeps an attempt whose connection the server ended until it is known whether
// the server crashed.
func (attempts *attempts) recordLost(server *backend.Server, err error) {
	requestContext, edge := attempts.requestContext, attempts.requestContext.edge
	if !edge.hasRollouts() || server.Leaving() || !backendlink.IsClosedByPeer(err) || requestContext.callerLeft() {
		return
	}
	select {
	case edge.rollouts.lost <- lostAnswer{server: server, route: requestContext.route.Name(), traits: requestContext.traits(), at: edge.clock.Now()}:
	default:
	}
}

// takeLost adds the lost answers that were recorded since the last call.
func (edge *Edge) takeLost(lost []lostAnswer) []lostAnswer {
	for len(lost) < maxLostAnswers {
		select {
		case answer := <-edge.rollouts.lost:
			lost = append(lost, answer)
		default:
			return lost
		}
	}
	return lost
}

// resolveLost counts the lost answers of servers that crashed, and returns those of which
// it isn't known yet. A crash that the quarantine explains, or the end of a server that was
// about to leave, shows nothing about the version.
func (edge *Edge) resolveLost(lost []lostAnswer, now clock.Millis) (pending []lostAnswer) {
	crashed := map[string][]lostAnswer{}
	servers := edge.fleet.Current()
	for _, answer := range lost {
		listed := servers.Server(answer.server.ID())
		isListed := listed != nil && listed.Key() == answer.server.Key()
		switch {
		case answer.server.Leaving() || (isListed && listed.Leaving()):
		case now-answer.at < edge.evidenceDelay() || (isListed && now-answer.at < crashListTime):
			pending = append(pending, answer)
		case isListed || edge.isQuarantined(answer.traits, now):
		default:
			crashed[answer.server.Key()] = append(crashed[answer.server.Key()], answer)
		}
	}
	for _, answers := range crashed {
		inProgress := len(answers) + int(answers[0].server.PeerInFlight())
		for _, answer := range answers {
			result := canary.NewAnswer(answer.route, 0, canary.OutcomeCrashed, 0).WithLost(inProgress)
			edge.rollouts.tracker.Record(answer.server.Pool(), answer.server.Software(), result, now)
		}
	}
	return pending
}

// isQuarantined reports whether requests with the traits are known to crash servers.
func (edge *Edge) isQuarantined(traits quarantine.Traits, now clock.Millis) bool {
	_, blocked := edge.quarantine.Check(traits, now, func() bool { return false })
	return blocked
}
