package entry

import (
	"context"

	"sapphirehead/internal/node/nodepb"
	"sapphirehead/internal/platform/platformhttp"
	"sapphirehead/internal/table"
	"sapphirehead/internal/table/tablecodec"
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

func (entry *Entry) loadTables(ctx context.Context) (*table.Tables, int64, error) {
	return platformhttp.LoadTables(ctx, entry.store)
}

func (entry *Entry) commitTables(ctx context.Context, tables *table.Tables, condition int64) error {
	return platformhttp.CommitTables(ctx, entry.store, tables, condition)
}

// newestTables returns what this node and its fellow nodes have in force.
func (entry *Entry) newestTables(ctx context.Context) (*table.Tables, error) {
	entry.fetchTables(ctx)
	return entry.inForce.Current(), nil
}

// alarmOlderStore reports a store that lacks edits which are in force.
func (entry *Entry) alarmOlderStore(inForce, stored *table.Tables) {
	entry.counters.Add("storeCameBackOlder", 1)
	entry.log.Error().Int64("inForce", inForce.Version()).Int64("stored", stored.Version()).
		Msg("the platform's store lacks edits that are in force: writing them back")
}

func (entry *Entry) putInForce(tables *table.Tables) {
	if entry.inForce.Offer(tables) == table.OfferedTaken {
		entry.log.Info().Int64("version", tables.Version()).Msg("tables in force")
	}
}
