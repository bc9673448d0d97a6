package edge

import (
	"slices"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/release"
)

const (
	// takeUpMargin is the time that a request needs to reach a node after a caller has
	// decided to take a stream up.
	takeUpMargin = 1 * clock.Second
	// unboundedStream is assumed as the length of a stream whose caller and route set no
	// deadline.
	unboundedStream = 1 * clock.Minute
)

// takesUp reports whether the caller takes up a stream that broke off.
func (requestContext *requestContext) takesUp() bool {
	return requestContext.route.Resumable() && requestContext.call.ResumeAfter() != ""
}

// streamID returns the id of the request that brought the first event of the stream, or
// will bring it, and false if the caller doesn't name it.
func (requestContext *requestContext) streamID() (release.RequestID, bool) {
	id := requestContext.call.ID()
	if requestContext.takesUp() {
		id = requestContext.call.BegunBy()
	}
	return release.NewRequestID(id), id != ""
}

// pinRelease limits the attempts of a request that takes a stream up to the release that
// began it. It reports false if that release isn't known: the rest of the stream could
// come from another one.
func (attempts *attempts) pinRelease() bool {
	requestContext := attempts.requestContext
	if attempts.pinKnownRelease() {
		return true
	}
	// A server of another release may have joined, and begun the stream through another
	// node, without this node's knowledge.
	isAlone := len(requestContext.route.Shares()) <= 1 && attempts.pinLoneRelease() &&
		requestContext.edge.hasListSince(attempts.ctx, requestContext.arrived)
	return attempts.pinKnownRelease() || (isAlone && attempts.pinLoneRelease())
}

// pinKnownRelease limits the attempts to the release that is known to have begun the
// stream, and reports false if there is none.
func (attempts *attempts) pinKnownRelease() bool {
	requestContext, edge := attempts.requestContext, attempts.requestContext.edge
	stream, named := requestContext.streamID()
	if !named {
		return false
	}
	began, known := edge.releases.BeganAt(stream, edge.clock.Now())
	if known {
		attempts.release = began
		requestContext.pool = requestContext.poolOf(began)
	}
	return known
}

// pinLoneRelease limits the attempts to the release that alone has served for as long as
// a stream may last, and reports false if there is none.
func (attempts *attempts) pinLoneRelease() (alone bool) {
	requestContext, edge := attempts.requestContext, attempts.requestContext.edge
	attempts.release, alone = edge.releases.Alone(requestContext.pool, release.AloneSpan(requestContext.route.Deadline()), edge.clock.Now())
	return alone
}

// poolOf returns the pool of the route that has servers of the release, or the pool that
// was picked.
func (requestContext *requestContext) poolOf(began release.ID) string {
	servers := requestContext.edge.fleet.Current()
	for _, share := range requestContext.route.Shares() {
		for _, server := range servers.Pool(share.Pool()) {
			if release.Of(server) == began {
				return share.Pool()
			}
		}
	}
	return requestContext.pool
}

// recordBeginning keeps the stream at the release of the server that brought its first
// event, in this response and, for a caller who takes it up, in later ones.
func (attempts *attempts) recordBeginning(server *backend.Server) {
	requestContext, edge := attempts.requestContext, attempts.requestContext.edge
	if !requestContext.route.Resumable() {
		return
	}
	attempts.release = release.Of(server)
	if server.DoubtedAt() != 0 {
		edge.observeReleases()
	}
	wait := max(requestContext.call.Timeout(), requestContext.route.Deadline())
	if wait == 0 {
		wait = unboundedStream
	}
	if stream, named := requestContext.streamID(); named {
		edge.releases.Begin(stream, server, requestContext.arrived+wait+takeUpMargin, edge.clock.Now())
	}
}

// observeReleases records the releases that are listed now. Without the store, servers that
// may have started again count as releases of their own.
func (edge *Edge) observeReleases() {
	releaseOf := release.Listed
	if edge.serversUnavailable.Load() {
		releaseOf = release.Of
	}
	if edge.releases.Observe(edge.fleet.Current().Servers(), releaseOf, edge.clock.Now()) {
		signal(edge.peers.urgent)
	}
}

// resolvesDoubts waits for the list of servers if the stream could go on only at servers
// that may have started again, and reports whether there was one.
func (attempts *attempts) resolvesDoubts() bool {
	requestContext, edge := attempts.requestContext, attempts.requestContext.edge
	isDoubted := func(server *backend.Server) bool {
		return server.DoubtedAt() != 0 && release.Listed(server) == attempts.release
	}
	return attempts.release != 0 && slices.ContainsFunc(edge.fleet.Current().Pool(requestContext.pool), isDoubted) &&
		edge.readsListSince(attempts.ctx, edge.clock.Now())
}
