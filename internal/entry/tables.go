package entry

import (
	"context"
	"expvar"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/node"
	"sapphirehead/internal/node/nodepb"
	"sapphirehead/internal/operator"
	"sapphirehead/internal/table"
	"sapphirehead/internal/table/tablecodec"
)

// A node gets its tables from two sources. A few nodes of each data centre
// watch the platform's object, since each waiting watch counts as a call there.
// The others receive a higher version number by gossip and fetch the changes from
// peers.
//
// At startup a node queries both sources and uses the highest version before it
// becomes ready. Later, tables that lack an edit that is active at this node
// are refused, and the active tables are written back to the store.

const (
	// watcherCheckInterval is the time between two checks for whether this node
	// is a watcher.
	watcherCheckInterval = clock.Second
	// repairDelay is the maximum wait before a watcher writes the active tables back.
	// It spreads the writes of watchers that read an older store at the same time.
	repairDelay = 200 * clock.Millisecond
	// fetchAttempts bounds the peers that are queried for one version.
	fetchAttempts = 4
)

// TablesFollower keeps the active tables up to date.
type TablesFollower struct {
	clock        *clock.Clock
	members      *node.Members
	connectivity *node.Connectivity
	active       *table.Active
	load         func(ctx context.Context) (*table.Tables, int64, error)
	watch        func(ctx context.Context, after int64) (*table.Tables, int64, error)
	call         func(ctx context.Context, address string, call *nodepb.Call) (*nodepb.Reply, error)
	editor       *operator.Editor
	triggerPush  func()
	log          zerolog.Logger
	counters     *expvar.Map
	ahead        chan struct{}
}

// NewTablesFollower returns a follower. load, watch and commit access the
// platform's object, call sends a call to a peer, and triggerPush announces a
// higher active version to peers.
func NewTablesFollower(
	clock *clock.Clock,
	members *node.Members,
	connectivity *node.Connectivity,
	active *table.Active,
	load func(ctx context.Context) (*table.Tables, int64, error),
	watch func(ctx context.Context, after int64) (*table.Tables, int64, error),
	commit func(ctx context.Context, tables *table.Tables, condition int64) error,
	call func(ctx context.Context, address string, call *nodepb.Call) (*nodepb.Reply, error),
	triggerPush func(),
	log zerolog.Logger,
	counters *expvar.Map,
) *TablesFollower {
	follower := &TablesFollower{
		clock: clock, members: members, connectivity: connectivity, active: active, load: load, watch: watch, call: call,
		triggerPush: triggerPush, log: log, counters: counters, ahead: make(chan struct{}, 1),
	}
	follower.editor = follower.NewEditor(load, commit)
	return follower
}

// Run loads the initial tables and keeps them up to date until the context
// ends. join fetches the members from peers and reports whether one responded.
func (follower *TablesFollower) Run(ctx context.Context, join func(ctx context.Context) bool) {
	for ctx.Err() == nil && !follower.start(ctx, join) {
		follower.clock.Wait(ctx, jittered(retryInterval))
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		follower.followStore(ctx)
		return nil
	})
	group.Go(func() error {
		follower.followPeers(ctx)
		return nil
	})
	group.Wait()
}

// start queries the store and the peers, and activates the tables with the
// highest version. It reports success if the store or a peer responded and no
// peer now has a higher version than this node.
func (follower *TablesFollower) start(ctx context.Context, join func(ctx context.Context) bool) bool {
	var stored *table.Tables
	var joined bool
	group, queryCtx := errgroup.WithContext(ctx)
	group.Go(func() error {
		stored, _, _ = follower.load(queryCtx)
		return nil
	})
	group.Go(func() error {
		joined = join(queryCtx)
		return nil
	})
	group.Wait()
	if joined {
		follower.fetchAhead(ctx)
	}
	if stored != nil {
		follower.applyStored(ctx, stored)
	}
	if _, behind := follower.members.Ahead(follower.active.Current().Version()); (stored != nil || joined) && !behind {
		follower.connectivity.MarkStarted()
	}
	return follower.connectivity.HasStarted()
}

// followStore watches the platform's object while this node is a watcher.
func (follower *TablesFollower) followStore(ctx context.Context) {
	version := int64(-1)
	for ctx.Err() == nil {
		if !follower.members.IsWatcher() {
			version = -1
			follower.clock.Wait(ctx, watcherCheckInterval)
			continue
		}
		tables, current, err := follower.nextStored(ctx, version)
		if err != nil {
			follower.counters.Add("tablesWatchFailed", 1)
			follower.clock.Wait(ctx, jittered(retryInterval))
			continue
		}
		version = current
		follower.applyStored(ctx, tables)
	}
}

// nextStored waits for a change of the object. A node without live peers polls
// it, as only a response shows that the node is connected.
func (follower *TablesFollower) nextStored(ctx context.Context, version int64) (*table.Tables, int64, error) {
	if version < 0 {
		return follower.load(ctx)
	}
	if len(follower.members.Live()) == 0 {
		follower.clock.Wait(ctx, watcherCheckInterval)
		return follower.load(ctx)
	}
	return follower.watch(ctx, version)
}

func (follower *TablesFollower) applyStored(ctx context.Context, stored *table.Tables) {
	follower.connectivity.RecordStoreResponse()
	switch follower.active.Current().Relate(stored) {
	case table.RelationSame:
	case table.RelationStoredNewer:
		follower.Offer(stored)
	default:
		follower.clock.Wait(ctx, jittered(repairDelay))
		follower.repair(ctx)
	}
}

// repair writes the active tables back to the store.
func (follower *TablesFollower) repair(ctx context.Context) {
	tables, err := follower.editor.WriteBack(ctx)
	if err != nil {
		follower.log.Warn().Err(err).Msg("cannot write the active tables back to the platform's store")
		return
	}
	follower.Offer(tables)
}

// followPeers fetches newer tables from peers.
func (follower *TablesFollower) followPeers(ctx context.Context) {
	for {
		select {
		case <-follower.ahead:
			follower.fetchAhead(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// CheckAhead starts a fetch if a peer has newer active tables.
func (follower *TablesFollower) CheckAhead() {
	if _, ok := follower.members.Ahead(follower.active.Current().Version()); !ok {
		return
	}
	select {
	case follower.ahead <- struct{}{}:
	default:
	}
}

func (follower *TablesFollower) fetchAhead(ctx context.Context) {
	for range fetchAttempts {
		current := follower.active.Current()
		member, ok := follower.members.Ahead(current.Version())
		if !ok {
			return
		}
		tables, err := follower.fetch(ctx, member, current)
		if err != nil {
			follower.log.Warn().Err(err).Str("member", member.Host()).Msg("cannot fetch tables from a peer node")
			follower.members.RecordFailure(member.Address())
			continue
		}
		if follower.Offer(tables) == table.OfferDiverged {
			follower.repair(ctx)
			return
		}
	}
}

// fetch fetches a member's tables as a delta from the current ones, or in full
// if the two histories differ.
func (follower *TablesFollower) fetch(ctx context.Context, member node.Member, current *table.Tables) (*table.Tables, error) {
	tables, err := follower.query(ctx, member, current)
	var delta *table.DeltaError
	if errors.As(err, &delta) {
		return follower.query(ctx, member, table.Empty())
	}
	return tables, err
}

func (follower *TablesFollower) query(ctx context.Context, member node.Member, current *table.Tables) (*table.Tables, error) {
	query := nodepb.TablesQuery_builder{Have: new(current.Version())}.Build()
	reply, err := follower.call(ctx, member.Address(), nodepb.Call_builder{TablesQuery: query}.Build())
	if err != nil {
		return nil, err
	}
	response := reply.GetTables()
	if !response.HasDelta() {
		return tablecodec.DecodeJSON(response.GetBody())
	}
	encoded := response.GetDelta()
	delta, err := tablecodec.DecodeDeltaJSON(encoded.GetBody(), encoded.GetFrom(), encoded.GetTo(), encoded.GetFingerprint())
	if err != nil {
		return nil, err
	}
	return current.ApplyDelta(delta)
}

// HandleQuery returns the reply to a peer's query for tables.
func (follower *TablesFollower) HandleQuery(query *nodepb.TablesQuery) *nodepb.Reply {
	tables := follower.active.Current()
	response := &nodepb.Tables{}
	response.SetVersion(tables.Version())
	if earlier, ok := follower.active.Earlier(query.GetHave()); ok && query.GetHave() > 0 {
		delta := tables.DeltaSince(earlier)
		body, err := tablecodec.EncodeDeltaJSON(delta)
		if err != nil {
			return errorReply(err.Error())
		}
		response.SetDelta(nodepb.TablesDelta_builder{From: new(delta.From()), To: new(delta.To()), Fingerprint: new(delta.Fingerprint()), Body: body}.Build())
		return nodepb.Reply_builder{Tables: response}.Build()
	}
	body, err := tablecodec.EncodeJSON(tables)
	if err != nil {
		return errorReply(err.Error())
	}
	response.SetBody(body)
	return nodepb.Reply_builder{Tables: response}.Build()
}

// Commit commits an edit and makes it active at this node.
func (follower *TablesFollower) Commit(ctx context.Context, edit *table.Edit) (*table.Tables, error) {
	tables, err := follower.editor.Commit(ctx, edit)
	if err != nil {
		return nil, err
	}
	follower.Offer(tables)
	return tables, nil
}

// NewEditor returns an editor like the follower's own that uses the given load
// and commit functions.
func (follower *TablesFollower) NewEditor(
	load func(ctx context.Context) (tables *table.Tables, condition int64, err error),
	commit func(ctx context.Context, tables *table.Tables, condition int64) error,
) *operator.Editor {
	return operator.NewEditor(load, commit, follower.newest, follower.reportOlderStore)
}

// Stored returns the tables that the platform stores.
func (follower *TablesFollower) Stored(ctx context.Context) (*table.Tables, error) {
	tables, _, err := follower.load(ctx)
	return tables, err
}

// newest returns the active tables reconciled with those of a member that has a
// higher version, and the highest active version.
func (follower *TablesFollower) newest(ctx context.Context) (*table.Tables, int64) {
	current := follower.active.Current()
	member, ok := follower.members.Ahead(current.Version())
	if !ok {
		return current, current.Version()
	}
	if tables, err := follower.fetch(ctx, member, current); err == nil {
		current, _ = current.Reconcile(tables)
	}
	return current, member.TablesVersion()
}

// reportOlderStore reports that the store lacks active edits.
func (follower *TablesFollower) reportOlderStore(active, stored *table.Tables) {
	follower.counters.Add("storeCameBackOlder", 1)
	follower.log.Error().Int64("inForce", active.Version()).Int64("stored", stored.Version()).
		Msg("the platform's store lacks active edits: writing them back")
}

// Offer activates the tables if they continue the current ones, and announces
// them to peers.
func (follower *TablesFollower) Offer(tables *table.Tables) table.OfferResult {
	offered := follower.active.Offer(tables)
	if offered == table.OfferAccepted {
		follower.log.Info().Int64("version", tables.Version()).Msg("activated new tables")
		follower.triggerPush()
	}
	return offered
}
