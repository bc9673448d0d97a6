package entry

import (
	"context"

	"golang.org/x/sync/errgroup"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/node"
	"sapphirehead/internal/node/nodepb"
	"sapphirehead/internal/table/tablecodec"
)

const beatInterval = 500 * clock.Millisecond

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
	case nodepb.Call_BurnQuery_case:
		return nodepb.Reply_builder{BurnReport: burnReportMessage(entry.meter.Report())}.Build()
	case nodepb.Call_Drain_case:
		entry.stopFor(call.GetDrain().GetOperator())
		return nodepb.Reply_builder{Draining: &nodepb.Draining{}}.Build()
	default:
		return entry.answerStreamCall(call)
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
