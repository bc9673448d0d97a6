package entry

import (
	"context"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/logging"
)

const (
	// hostsInterval is the longest time between two reads of the list of hosts
	// at one node, while few nodes are live.
	hostsInterval = 500 * clock.Millisecond
	// fullRateReaders is the number of live nodes up to which each reads at that
	// interval. Beyond it the interval grows with the nodes, so that the reads
	// of all together don't. What one of them sees leaving is told to all at
	// once.
	fullRateReaders = 20
	// maxHostsInterval bounds the time until a node hears of a new server.
	maxHostsInterval = 5 * clock.Second
)

// updateServers is the only writer of the fleet.
func (entry *Entry) updateServers(ctx context.Context) {
	for ctx.Err() == nil {
		list, err := entry.platform.Hosts(ctx)
		if err == nil {
			entry.handleLeaving(withoutNotice(entry.fleet.Update(list)))
		}
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

// listInterval returns the longest time between two reads of the list, of a
// node among so many live ones.
func listInterval(nodes int) clock.Millis {
	return min(hostsInterval*clock.Millis(max(nodes, fullRateReaders))/fullRateReaders, maxHostsInterval)
}

// applyEvidence marks leaving servers until it is time to read the list again.
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

// handleLeaving acts on the first evidence that servers are leaving: fellow nodes
// are told, and the streams there are moved.
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

// recordLeaving takes in evidence from a request that a server is leaving.
func (entry *Entry) recordLeaving(server *backend.Server) {
	if server.MarkLeaving() {
		entry.addEvidence(server.ID())
	}
}

// addEvidence takes in evidence that a server is leaving. The chooser heeds it
// from this moment on, if the server is listed.
func (entry *Entry) addEvidence(id string) { entry.addNotice(id, 0) }

func (entry *Entry) addNotice(id string, notice clock.Millis) {
	if server := entry.fleet.Current().Server(id); server != nil {
		server.MarkLeaving()
	}
	entry.evidence.Add(id, notice)
}

// watchNotices follows the cloud's reclaim notices.
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
