package edge

import (
	"context"
	"sync/atomic"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/node"
	"sapphirehead/internal/platform"
)

// listReadIntervalPerNode times the number of nodes is the least time between two reads of
// the list of servers that requests cause at a node.
const listReadIntervalPerNode = 2 * clock.Millisecond

// listReads records the reads of the list of servers, so that requests can wait for one.
// Readers use an immutable state, which each read replaces.
type listReads struct {
	latest atomic.Pointer[listRead]
	// requested is set while a read that has not begun is due.
	requested atomic.Bool
}

// listRead is the latest read of the list.
type listRead struct {
	// began is when its call was sent: what was written before is in the list.
	began clock.Millis
	// superseded is closed by the next read.
	superseded chan struct{}
}

func newListReads() *listReads {
	listReads := &listReads{}
	listReads.latest.Store(&listRead{began: -1, superseded: make(chan struct{})})
	return listReads
}

// record records a read that began at the time. It must be called by one goroutine.
func (listReads *listReads) record(began clock.Millis) {
	previous := listReads.latest.Swap(&listRead{began: began, superseded: make(chan struct{})})
	close(previous.superseded)
}

// await waits for a read that began at the time or later, and reports whether there was
// one before the context ended.
func (listReads *listReads) await(ctx context.Context, since clock.Millis) bool {
	for {
		latest := listReads.latest.Load()
		if latest.began >= since {
			return true
		}
		select {
		case <-latest.superseded:
		case <-ctx.Done():
			return false
		}
	}
}

// hasListSince reports whether this node's list of servers has everything that other nodes
// may have read before the time, which is not later than now. It reads the list once
// more, or, without the store, relies on the bulletins of all peers.
func (edge *Edge) hasListSince(ctx context.Context, since clock.Millis) bool {
	if edge.readsListSince(ctx, since) {
		return true
	}
	quietest := evidenceIntervals*node.BulletinInterval(edge.nodes(), true) + maxBatchWait
	return edge.peers.states.View().HearsAll(quietest, edge.clock.Now())
}

// readsListSince reads the list of servers once more, as of the time at least, and reports
// whether the store answered.
func (edge *Edge) readsListSince(ctx context.Context, since clock.Millis) bool {
	if edge.serversUnavailable.Load() {
		return false
	}
	edge.requestListRead()
	ctx, cancel := edge.clock.WithTimeout(ctx, edge.settings.Load().Platform().Timeout())
	defer cancel()
	return edge.listReads.await(ctx, since)
}

// doubt records that the server's process may have ended, and reads the list.
func (edge *Edge) doubt(server *backend.Server) {
	if server.DoubtedAt() == 0 {
		edge.log.Info().Str("backendServer", server.ID()).Msg("backend server may have ended; reading the list")
	}
	server.Doubt(edge.clock.Now())
	edge.requestListRead()
}

// requestListRead causes a read of the list of servers that begins later than now, one for
// all requests of the interval.
func (edge *Edge) requestListRead() {
	if edge.listReads.requested.Swap(true) {
		return
	}
	read := func() {
		edge.listReads.requested.Store(false)
		edge.wakeUps.servers.Trigger()
	}
	due := edge.listReads.latest.Load().began + listReadIntervalPerNode*clock.Millis(edge.nodes())
	if wait := due - edge.clock.Now(); wait > 0 {
		edge.clock.AfterFunc(wait, read)
		return
	}
	read()
}

// listService is how the store has served this node's reads of the list of servers. Readers
// use an immutable state, which updates replace.
type listService struct {
	state atomic.Pointer[listServiceState]
}

// listServiceState is immutable.
type listServiceState struct {
	// since is when the service began in which no read has failed and none was long in
	// coming, or 0 in an outage; servedAt is the time of the latest successful read.
	since    clock.Millis
	servedAt clock.Millis
	// servedUntil is when the store certainly still served this node before the latest
	// outage, or 0 if there was none.
	servedUntil clock.Millis
	// isOwnOutage is set if the store served a peer all through the latest outage.
	isOwnOutage bool
}

func newListService() *listService {
	listService := &listService{}
	listService.state.Store(&listServiceState{})
	return listService
}

// fail records a failed read; the latest successful one began at the time.
func (listService *listService) fail(latestRead clock.Millis) {
	if listService.state.Load().since != 0 {
		listService.state.Store(&listServiceState{servedUntil: latestRead})
	}
}

// succeed records a successful read, and reports whether the latest outage is known to
// have been this node's own. An outage may have passed unnoticed if the read before is
// older than maxGap.
func (listService *listService) succeed(maxGap, now clock.Millis) (isOwnOutage bool) {
	for {
		current := listService.state.Load()
		next := *current
		if next.since == 0 || now-next.servedAt > maxGap {
			next.since = now
		}
		next.servedAt = now
		if listService.state.CompareAndSwap(current, &next) {
			return next.isOwnOutage
		}
	}
}

// age returns the time for which the store has served this node, or 0 in an outage, or
// where one may have begun since the latest read.
func (listService *listService) age(maxGap, now clock.Millis) clock.Millis {
	current := listService.state.Load()
	if current.since == 0 || now-current.servedAt > maxGap {
		return 0
	}
	return now - current.since
}

// lapseReturnTime is the time after an outage of the store within which entries that lapsed
// in it are back: the platform promises about two seconds.
const lapseReturnTime = 2500 * clock.Millisecond

// compare records that the store has served a peer since the time. It reports whether this
// shows, for the first time, that the latest outage was this node's own, or that the store
// had been back for so long before this node reached it that no lapsed entry is still
// missing. During an outage nothing does: the peer may be about to notice it.
func (listService *listService) compare(peerSince clock.Millis) bool {
	current := listService.state.Load()
	if current.since == 0 || current.isOwnOutage || current.servedUntil == 0 || peerSince > max(current.servedUntil, current.since-lapseReturnTime) {
		return false
	}
	next := *current
	next.isOwnOutage = true
	// Where another update comes first, the next bulletin shows it again.
	return listService.state.CompareAndSwap(current, &next)
}

// maxListGap returns the longest time between two reads of the list by a designated
// watcher. An outage that fits into it is too short for an entry to expire.
func (edge *Edge) maxListGap() clock.Millis {
	settings := edge.settings.Load()
	return platform.WatchWait(settings.Bounds().Drain(), true, edge.nodes()) + settings.Platform().Timeout()
}

// provenListService returns the time for which the store has served this node's reads of
// the list of servers, or 0 if this node isn't a designated watcher: the long watches of
// others don't fail in an outage that ends before they do.
func (edge *Edge) provenListService() clock.Millis {
	if !edge.isDesignatedWatcher() {
		return 0
	}
	return edge.listService.age(edge.maxListGap(), edge.clock.Now())
}
