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

// A node takes its tables from two sides. A few nodes of each data centre watch
// the platform's object; each waiting watch counts as a call there. The others
// hear of a higher version with the news of fellow nodes and fetch what changed.
//
// At its start a node asks both sides and takes the highest, before it is
// ready. Later, tables that lack an edit which is in force here are refused,
// and the store is brought up to what is in force.

const (
	// watcherCheckInterval is the time between two looks at whether to watch.
	watcherCheckInterval = clock.Second
	// repairDelay spreads the watchers that find the store to be older.
	repairDelay = 200 * clock.Millisecond
	// fetchAttempts bounds the fellow nodes that are asked for one version.
	fetchAttempts = 4
)

// TablesFollower keeps the tables in force up to the newest.
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

// NewTablesFollower returns a follower. Load, watch and commit reach the
// platform's object, call a fellow node; passOn tells fellow nodes of a higher
// version in force.
func NewTablesFollower(
	clock *clock.Clock,
	members *node.Members,
	connectivity *node.Connectivity,
	active *table.Active,
	load func(ctx context.Context) (*table.Tables, int64, error),
	tracker func(ctx context.Context, after int64) (*table.Tables, int64, error),
	commit func(ctx context.Context, tables *table.Tables, condition int64) error,
	call func(ctx context.Context, address string, call *nodepb.Call) (*nodepb.Reply, error),
	triggerPush func(),
	log zerolog.Logger,
	counters *expvar.Map,
) *TablesFollower {
	follower := &TablesFollower{
		clock: clock, members: members, connectivity: connectivity, active: active, load: load, watch: tracker, call: call,
		triggerPush: triggerPush, log: log, counters: counters, ahead: make(chan struct{}, 1),
	}
	follower.editor = follower.NewEditor(load, commit)
	return follower
}

// Run starts and follows until the context ends. Greet asks fellow nodes for
// their news and reports whether one answered.
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

// start asks the store and the fellow nodes, and puts the highest tables in
// force. It reports whether that worked: one of them answered, and no fellow
// node has a higher version than this node now.
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

// followStore watches the platform's object while this node is one of the few
// that do.
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

// nextStored waits for a change of the object. A node without fellow nodes asks
// again and again, as only an answer shows that it is in touch.
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

// repair brings the store up to what is in force.
func (follower *TablesFollower) repair(ctx context.Context) {
	tables, err := follower.editor.WriteBack(ctx)
	if err != nil {
		follower.log.Warn().Err(err).Msg("tables in force not written back")
		return
	}
	follower.Offer(tables)
}

// followPeers fetches what fellow nodes have in force and this node lacks.
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

// CheckAhead looks whether a fellow node has newer tables in force.
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
			follower.log.Warn().Err(err).Str("member", member.Host()).Msg("tables not fetched")
			follower.members.RecordFailure(member.Address())
			continue
		}
		if follower.Offer(tables) == table.OfferDiverged {
			follower.repair(ctx)
			return
		}
	}
}

// fetch asks a member for its tables. What changed since the current ones is
// enough, unless the two histories differ.
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

// HandleQuery answers a fellow node that asks for tables.
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

// Commit commits an edit and puts it in force here.
func (follower *TablesFollower) Commit(ctx context.Context, edit *table.Edit) (*table.Tables, error) {
	tables, err := follower.editor.Commit(ctx, edit)
	if err != nil {
		return nil, err
	}
	follower.Offer(tables)
	return tables, nil
}

// NewEditor returns an editor like the follower's own over calls to the
// platform that the caller may watch.
func (follower *TablesFollower) NewEditor(
	load func(ctx context.Context) (tables *table.Tables, condition int64, err error),
	commit func(ctx context.Context, tables *table.Tables, condition int64) error,
) *operator.Editor {
	return operator.NewEditor(load, commit, follower.newest, follower.reportOlderStore)
}

// Stored returns the tables as the platform stores them.
func (follower *TablesFollower) Stored(ctx context.Context) (*table.Tables, error) {
	tables, _, err := follower.load(ctx)
	return tables, err
}

// newest returns what this node and those with higher versions have in force.
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

// reportOlderStore reports a store that lacks edits which are in force.
func (follower *TablesFollower) reportOlderStore(active, stored *table.Tables) {
	follower.counters.Add("storeCameBackOlder", 1)
	follower.log.Error().Int64("inForce", active.Version()).Int64("stored", stored.Version()).
		Msg("the platform's store lacks edits that are in force: writing them back")
}

// Offer puts the tables in force if they continue the current ones, and tells
// fellow nodes.
func (follower *TablesFollower) Offer(tables *table.Tables) table.OfferResult {
	offered := follower.active.Offer(tables)
	if offered == table.OfferAccepted {
		follower.log.Info().Int64("version", tables.Version()).Msg("tables in force")
		follower.triggerPush()
	}
	return offered
}
