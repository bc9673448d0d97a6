package entry

import (
	"context"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/logging"
)

const (
	// hostsInterval is the maximum time between a node's reads of the list of hosts
	// while at most fullRateReaders nodes are live.
	hostsInterval = 500 * clock.Millisecond
	// fullRateReaders is the number of live nodes up to which each reads at
	// hostsInterval. Beyond it the interval grows with the number of nodes, up to
	// maxHostsInterval at 200 nodes, so that the total rate of reads stays the
	// same. A leaving server that one node reads is announced to all at once.
	fullRateReaders = 20
	// maxHostsInterval bounds the interval, and with it the time until a node uses
	// a new server.
	maxHostsInterval = 5 * clock.Second
)

// updateServers reads the list of hosts and applies evidence until the context
// ends. It is the only goroutine that changes the fleet.
func (entry *Entry) updateServers(ctx context.Context) {
	for ctx.Err() == nil {
		list, err := entry.platform.Hosts(ctx)
		if err == nil {
			entry.handleLeaving(withoutNotice(entry.fleet.Update(list)))
		}
		entry.hostsRequested.Store(true)
		entry.applyEvidence(ctx)
	}
}

func withoutNotice(ids []string) map[string]clock.Millis {
	leaving := make(map[string]clock.Millis, len(ids))
	for _, id := range ids {
		leaving[id] = 0
	}
	return leaving
}

// listInterval returns the maximum time between a node's reads of the list of
// hosts with the given number of live nodes.
func listInterval(nodes int) clock.Millis {
	return min(hostsInterval*clock.Millis(max(nodes, fullRateReaders))/fullRateReaders, maxHostsInterval)
}

// applyEvidence marks leaving servers until the next read of the list is due.
func (entry *Entry) applyEvidence(ctx context.Context) {
	ctx, cancel := entry.clock.WithTimeout(ctx, jittered(listInterval(1+len(entry.members.Live()))))
	defer cancel()
	for {
		select {
		case <-entry.evidence.Wake():
			first := map[string]clock.Millis{}
			for id, notice := range entry.evidence.Take() {
				if entry.fleet.MarkLeaving(id) {
					first[id] = notice
				}
			}
			entry.handleLeaving(first)
		case <-ctx.Done():
			return
		}
	}
}

// handleLeaving handles the first evidence that servers are leaving: it
// announces them to peers and moves their streams.
func (entry *Entry) handleLeaving(leaving map[string]clock.Millis) {
	if len(leaving) == 0 {
		return
	}
	for id, notice := range leaving {
		entry.gossip.AnnounceLeaving(id, notice)
		entry.log.Info().Str(logging.FieldServer, id).Int64("noticeMillis", int64(notice)).Msg("backend server is leaving")
	}
	entry.counters.Add("serversLeaving", int64(len(leaving)))
	entry.moveStreams(leaving)
}

// recordLeaving records evidence from a request that a server is leaving.
func (entry *Entry) recordLeaving(server *backend.Server) {
	if server.MarkLeaving() {
		entry.addEvidence(server.ID())
	}
}

// addEvidence records evidence that a server is leaving. If the server is
// listed, it is excluded from the choice of a server immediately.
func (entry *Entry) addEvidence(id string) { entry.addNotice(id, 0) }

func (entry *Entry) addNotice(id string, notice clock.Millis) {
	if server := entry.fleet.Current().Server(id); server != nil {
		server.MarkLeaving()
	}
	entry.evidence.Add(id, notice)
}

// watchNotices polls the cloud's reclaim notices.
func (entry *Entry) watchNotices(ctx context.Context) {
	after := int64(0)
	for ctx.Err() == nil && entry.cloud != nil {
		notices, err := entry.cloud.Notices(ctx, after)
		if err != nil {
			entry.clock.Wait(ctx, jittered(retryInterval))
			continue
		}
		for _, notice := range notices {
			after = max(after, notice.Sequence())
			if notice.HostID() == entry.settings.Host() {
				entry.recordReclaim(notice.After())
				continue
			}
			entry.addNotice(notice.HostID(), notice.After())
		}
	}
}
