package edge

import (
	"context"
	"sync/atomic"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/node"
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
	if !edge.serversUnavailable.Load() {
		edge.requestListRead()
		ctx, cancel := edge.clock.WithTimeout(ctx, edge.settings.Load().Platform().Timeout())
		defer cancel()
		if edge.listReads.await(ctx, since) {
			return true
		}
	}
	quietest := evidenceIntervals*node.BulletinInterval(edge.nodes(), true) + maxBatchWait
	return edge.peers.states.View().HearsAll(quietest, edge.clock.Now())
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
