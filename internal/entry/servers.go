package entry

import (
	"context"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/logging"
)

const hostsInterval = 500 * clock.Millisecond

// writeServers is the only writer of the fleet.
func (entry *Entry) writeServers(ctx context.Context) {
	for ctx.Err() == nil {
		list, err := entry.platform.Hosts(ctx)
		if err == nil {
			entry.fleet.Update(list)
		}
		entry.takeEvidence(ctx)
	}
}

// takeEvidence marks leaving servers until it is time to read the list again.
func (entry *Entry) takeEvidence(ctx context.Context) {
	ctx, cancel := entry.clock.WithTimeout(ctx, jittered(hostsInterval))
	defer cancel()
	for {
		select {
		case id := <-entry.evidence:
			if entry.fleet.MarkLeaving(id) {
				entry.log.Info().Str(logging.FieldServer, id).Msg("backend server is leaving")
				entry.fellows.Leave(id, 0)
			}
		case <-ctx.Done():
			return
		}
	}
}

// noteLeaving takes in evidence from a request that a server is leaving.
func (entry *Entry) noteLeaving(server *backend.Server) {
	server.MarkLeaving()
	entry.addEvidence(server.ID())
}

func (entry *Entry) addEvidence(id string) {
	select {
	case entry.evidence <- id:
	default:
	}
}

// noteFellowsEvidence takes in evidence from a fellow node.
func (entry *Entry) noteFellowsEvidence(id string, _ clock.Millis) {
	if server := entry.fleet.Current().Server(id); server != nil {
		server.MarkLeaving()
	}
	entry.addEvidence(id)
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
			entry.addEvidence(notice.HostID())
		}
	}
}
