package entry

import (
	"context"
	mathrand "math/rand/v2"

	"golang.org/x/sync/errgroup"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/logging"
	"sapphirehead/internal/node"
	"sapphirehead/internal/node/nodepb"
	"sapphirehead/internal/operator"
	"sapphirehead/internal/platform/platformhttp"
	"sapphirehead/internal/table"
	"sapphirehead/internal/table/tablecodec"
)

// Intervals of the loops.
const (
	beatInterval  = 500 * clock.Millisecond
	hostsInterval = 500 * clock.Millisecond
	retryInterval = 500 * clock.Millisecond
)

// watchTables follows the platform's tables object and puts each newer
// version in force.
func (entry *Entry) watchTables(ctx context.Context) {
	version := int64(-1)
	for ctx.Err() == nil {
		tables, seen, err := entry.nextTables(ctx, version)
		if err != nil {
			entry.clock.Wait(ctx, jittered(retryInterval))
			continue
		}
		version = seen
		entry.putInForce(tables)
		entry.ready.Store(true)
	}
}

func (entry *Entry) nextTables(ctx context.Context, version int64) (*table.Tables, int64, error) {
	if version < 0 {
		return platformhttp.LoadTables(ctx, entry.store)
	}
	return platformhttp.WatchTables(ctx, entry.store, version)
}

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

// beat exchanges heartbeats with fellow nodes.
func (entry *Entry) beat(ctx context.Context) {
	for ctx.Err() == nil {
		group, round := errgroup.WithContext(ctx)
		for _, address := range entry.fellowAddresses() {
			group.Go(func() error {
				entry.exchangeHeartbeat(round, address)
				return nil
			})
		}
		group.Wait()
		entry.fetchTables(ctx)
		entry.clock.Wait(ctx, jittered(beatInterval))
	}
}

func (entry *Entry) fellowAddresses() []string {
	addresses := map[string]bool{}
	for _, address := range entry.settings.Fellows() {
		addresses[address] = true
	}
	for _, member := range entry.members.Live() {
		addresses[member.Address()] = true
	}
	delete(addresses, entry.NodeAddress())
	list := make([]string, 0, len(addresses))
	for address := range addresses {
		list = append(list, address)
	}
	return list
}

func (entry *Entry) exchangeHeartbeat(ctx context.Context, address string) {
	call := nodepb.Call_builder{Heartbeat: entry.heartbeat()}.Build()
	reply, err := entry.links.Call(ctx, address, call)
	if err != nil {
		entry.counters.Add("heartbeatsFailed", 1)
		return
	}
	entry.takeHeartbeat(reply.GetHeartbeat())
}

func (entry *Entry) heartbeat() *nodepb.Heartbeat {
	beat := nodepb.Heartbeat_builder{Sender: memberMessage(entry.self())}.Build()
	var members []*nodepb.Member
	for _, member := range entry.members.Live() {
		members = append(members, memberMessage(member))
	}
	beat.SetMembers(members)
	var leaving []string
	for _, server := range entry.fleet.Current().Servers() {
		if server.Leaving() {
			leaving = append(leaving, server.ID())
		}
	}
	beat.SetLeavingServers(leaving)
	return beat
}

// self returns this node's own news, newer with each call.
func (entry *Entry) self() node.Member {
	return node.NewMember(entry.settings.Host(), entry.NodeAddress(), entry.settings.DataCentre(), entry.incarnation).
		WithNews(entry.sequence.Add(1), entry.inForce.Current().Version(), entry.isReady(), entry.stopping.Load())
}

func (entry *Entry) takeHeartbeat(beat *nodepb.Heartbeat) {
	news := []node.Member{memberOf(beat.GetSender())}
	for _, member := range beat.GetMembers() {
		news = append(news, memberOf(member))
	}
	entry.members.Merge(news)
	for _, id := range beat.GetLeavingServers() {
		entry.addEvidence(id)
	}
}

// fetchTables asks a fellow node for tables newer than those in force.
func (entry *Entry) fetchTables(ctx context.Context) {
	ahead, ok := entry.members.HighestTables()
	if !ok || ahead.TablesVersion() <= entry.inForce.Current().Version() {
		return
	}
	call := nodepb.Call_builder{TablesQuery: &nodepb.TablesQuery{}}.Build()
	reply, err := entry.links.Call(ctx, ahead.Address(), call)
	if err != nil {
		return
	}
	tables, err := tablecodec.DecodeJSON(reply.GetTables().GetBody())
	if err != nil {
		entry.log.Error().Err(err).Msg("tables from a fellow node are not valid")
		return
	}
	entry.putInForce(tables)
	entry.ready.Store(true)
}

// answerCall handles a call from a fellow node.
func (entry *Entry) answerCall(call *nodepb.Call) *nodepb.Reply {
	switch call.WhichBody() {
	case nodepb.Call_Heartbeat_case:
		entry.takeHeartbeat(call.GetHeartbeat())
		return nodepb.Reply_builder{Heartbeat: entry.heartbeat()}.Build()
	case nodepb.Call_TablesQuery_case:
		tables := entry.inForce.Current()
		body, err := tablecodec.EncodeJSON(tables)
		if err != nil {
			return errorReply(err.Error())
		}
		return nodepb.Reply_builder{Tables: nodepb.Tables_builder{Version: new(tables.Version()), Body: body}.Build()}.Build()
	default:
		return errorReply("unknown call")
	}
}

func errorReply(message string) *nodepb.Reply {
	return nodepb.Reply_builder{Error: &message}.Build()
}

func memberMessage(member node.Member) *nodepb.Member {
	message := &nodepb.Member{}
	message.SetHost(member.Host())
	message.SetAddress(member.Address())
	message.SetDataCentre(member.DataCentre())
	message.SetIncarnation(member.Incarnation())
	message.SetSequence(member.Sequence())
	message.SetTablesVersion(member.TablesVersion())
	message.SetReady(member.Ready())
	message.SetStopping(member.Stopping())
	return message
}

func memberOf(message *nodepb.Member) node.Member {
	return node.NewMember(message.GetHost(), message.GetAddress(), message.GetDataCentre(), message.GetIncarnation()).
		WithNews(message.GetSequence(), message.GetTablesVersion(), message.GetReady(), message.GetStopping())
}

// status returns the report for operators.
func (entry *Entry) status() operator.Status {
	var servers []operator.ServerStatus
	for _, server := range entry.fleet.Current().Servers() {
		servers = append(servers, operator.NewServerStatus(
			server.ID(), server.Address(), server.DataCentre(), server.Pool(), server.Leaving(), server.InFlight(), server.Failures(),
		))
	}
	return operator.NewStatus(entry.self(), entry.members.Live(), servers)
}

// jittered returns a random time between half of the interval and the whole.
func jittered(interval clock.Millis) clock.Millis {
	return interval/2 + clock.Millis(mathrand.Int64N(int64(interval/2)+1))
}
