package entry

import (
	"context"
	mathrand "math/rand/v2"

	"sapphirehead/internal/node"
	"sapphirehead/internal/node/nodelink"
	"sapphirehead/internal/node/nodepb"
	"sapphirehead/internal/platform/platformhttp"
	"sapphirehead/internal/table"
)

// connectPeers creates the membership, the links to peers and the gossip.
func (entry *Entry) connectPeers() {
	seeds := entry.settings.Peers()
	entry.members = node.NewMembers(entry.clock, entry.self, mathrand.IntN, seeds)
	entry.connectivity = node.NewConnectivity(entry.clock, entry.members)
	entry.links = nodelink.New(entry.clock, entry.dialNode, entry.handleCall)
	entry.tables = NewTablesFollower(entry.clock, entry.members, entry.connectivity, entry.active, entry.loadTables, entry.watchTables,
		entry.commitTables, entry.links.Call, func() { entry.gossip.TriggerPush() }, entry.log, entry.counters)
	entry.gossip = NewGossip(entry.clock, entry.members, seeds, entry.links.Call, entry.links.CloseIdle,
		entry.addNotice, entry.tables.CheckAhead, entry.quarantine, entry.counters)
}

// self returns this node's own member record, without a sequence.
func (entry *Entry) self() node.Member {
	return node.NewMember(entry.settings.Host(), entry.NodeAddress(), entry.settings.DataCentre(), entry.incarnation).
		WithState(0, entry.active.Current().Version(), entry.isReady(), entry.stopping.Load())
}

// followTables keeps the active tables up to date.
func (entry *Entry) followTables(ctx context.Context) {
	entry.tables.Run(ctx, entry.gossip.Join)
}

// handleCall handles a call from a peer.
func (entry *Entry) handleCall(call *nodepb.Call) *nodepb.Reply {
	switch call.WhichBody() {
	case nodepb.Call_Heartbeat_case:
		return entry.gossip.Heartbeat(call.GetHeartbeat())
	case nodepb.Call_MembersQuery_case:
		return entry.gossip.Members()
	case nodepb.Call_EvidenceQuery_case:
		return entry.gossip.Evidence()
	case nodepb.Call_TablesQuery_case:
		return entry.tables.HandleQuery(call.GetTablesQuery())
	case nodepb.Call_ClaimOperation_case:
		return entry.handleClaimOperation(call.GetClaimOperation())
	case nodepb.Call_ClaimQuery_case:
		return entry.handleClaimQuery(call.GetClaimQuery())
	case nodepb.Call_BurnQuery_case:
		return nodepb.Reply_builder{BurnReport: burnReportMessage(entry.meter.Report())}.Build()
	case nodepb.Call_Drain_case:
		entry.stopForOperator(call.GetDrain().GetOperator())
		return nodepb.Reply_builder{Draining: &nodepb.Draining{}}.Build()
	default:
		return entry.handleStreamCall(call)
	}
}

func errorReply(message string) *nodepb.Reply {
	return nodepb.Reply_builder{Error: &message}.Build()
}

func (entry *Entry) loadTables(ctx context.Context) (*table.Tables, int64, error) {
	return platformhttp.LoadTables(ctx, entry.store)
}

func (entry *Entry) watchTables(ctx context.Context, after int64) (*table.Tables, int64, error) {
	return platformhttp.WatchTables(ctx, entry.store, after)
}

func (entry *Entry) commitTables(ctx context.Context, tables *table.Tables, condition int64) error {
	return platformhttp.CommitTables(ctx, entry.store, tables, condition)
}
