// Package nodeslope runs many nodes in one process, each with real links,
// heartbeats and tables, over loopback or in virtual time, and measures the
// cost per node of peers and edits.
package nodeslope

import (
	"context"
	"expvar"
	"fmt"
	mathrand "math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/entry"
	"sapphirehead/internal/node"
	"sapphirehead/internal/node/nodelink"
	"sapphirehead/internal/node/nodepb"
	"sapphirehead/internal/platform/platformhttp"
	"sapphirehead/internal/quarantine"
	"sapphirehead/internal/table"
)

// Node is a node of a cluster: an entry host without the request path.
type Node struct {
	host         string
	dataCentre   string
	active       *table.Active
	members      *node.Members
	connectivity *node.Connectivity
	port         *Port
	gossip       *entry.Gossip
	tables       *entry.TablesFollower
	stopping     atomic.Bool
	mutex        sync.Mutex
	leaving      map[string]bool
	cancel       context.CancelFunc
	done         chan struct{}
}

// Host returns the name of the node's host.
func (node *Node) Host() string { return node.host }

// DataCentre returns the node's data centre.
func (node *Node) DataCentre() string { return node.dataCentre }

// Address returns the node's address for links from peers.
func (node *Node) Address() string { return node.port.address }

// Active returns the active tables.
func (node *Node) Active() *table.Tables { return node.active.Current() }

// Members returns the node's membership.
func (node *Node) Members() *node.Members { return node.members }

// IsReady reports whether the node would accept requests.
func (node *Node) IsReady() bool { return node.connectivity.IsConnected() && !node.stopping.Load() }

// Tables returns the node's follower of the tables.
func (node *Node) Tables() *entry.TablesFollower { return node.tables }

// Traffic returns the node's traffic so far.
func (node *Node) Traffic() Traffic { return node.port.traffic() }

// AnnounceLeaving makes the node announce that a backend server is leaving.
func (node *Node) AnnounceLeaving(server string) {
	node.recordLeaving(server, 0)
	node.gossip.AnnounceLeaving(server, 0)
}

// HasLeaving reports whether the node has received that the server is leaving.
func (node *Node) HasLeaving(server string) bool {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	return node.leaving[server]
}

func (node *Node) recordLeaving(server string, _ clock.Millis) {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	node.leaving[server] = true
}

// Stop ends the node. If announced, the node first announces the stop to its
// peers.
func (node *Node) Stop(clock *clock.Clock, announced bool) {
	if announced {
		node.stopping.Store(true)
		node.gossip.TriggerPush()
		clock.Wait(context.Background(), stopPropagationTime)
	}
	node.cancel()
	node.port.close()
	<-node.done
}

// stopPropagationTime is the time between the announcement of a stop and the
// end of the node.
const stopPropagationTime = 500 * clock.Millisecond

// Cluster is a set of nodes around one store.
type Cluster struct {
	clock   *clock.Clock
	join    func(handler nodelink.Handler) (*Port, error)
	store   *Store
	seeds   []string
	started int
	nodes   []*Node
}

// NewCluster returns a cluster without nodes. join connects a node to the
// others: Loopback.Join or Memory.Join.
func NewCluster(clock *clock.Clock, join func(handler nodelink.Handler) (*Port, error), store *Store) *Cluster {
	return &Cluster{clock: clock, join: join, store: store}
}

// Nodes returns the running nodes.
func (cluster *Cluster) Nodes() []*Node { return cluster.nodes }

// Start starts a node in the data centre. The first seedCount nodes are the
// seeds of all later ones.
func (cluster *Cluster) Start(dataCentre string) (*Node, error) {
	cluster.started++
	node := &Node{
		host:       fmt.Sprintf("%s-entry-%d", dataCentre, cluster.started),
		dataCentre: dataCentre,
		active:     table.NewActive(),
		leaving:    map[string]bool{},
		done:       make(chan struct{}),
	}
	built := make(chan struct{})
	port, err := cluster.join(func(call *nodepb.Call) *nodepb.Reply {
		<-built
		return node.handleCall(call)
	})
	if err != nil {
		return nil, err
	}
	node.port = port
	cluster.build(node)
	close(built)
	if len(cluster.seeds) < seedCount {
		cluster.seeds = append(cluster.seeds, node.Address())
	}
	cluster.nodes = append(cluster.nodes, node)
	return node, nil
}

// seedCount is the maximum number of seed addresses of a node.
const seedCount = 3

func (cluster *Cluster) build(created *Node) {
	incarnation := int64(cluster.clock.Wall())
	self := func() node.Member {
		return node.NewMember(created.host, created.Address(), created.dataCentre, incarnation).
			WithState(0, created.Active().Version(), created.IsReady(), created.stopping.Load())
	}
	store := cluster.store.Platform()
	load := func(ctx context.Context) (*table.Tables, int64, error) { return platformhttp.LoadTables(ctx, store) }
	watch := func(ctx context.Context, after int64) (*table.Tables, int64, error) {
		ctx, cancel := cluster.clock.WithTimeout(ctx, watchTimeout)
		defer cancel()
		return platformhttp.WatchTables(ctx, store, after)
	}
	commit := func(ctx context.Context, tables *table.Tables, condition int64) error {
		return platformhttp.CommitTables(ctx, store, tables, condition)
	}
	counters := new(expvar.Map).Init()
	created.members = node.NewMembers(cluster.clock, self, mathrand.IntN, cluster.seeds)
	created.connectivity = node.NewConnectivity(cluster.clock, created.members)
	created.tables = entry.NewTablesFollower(cluster.clock, created.members, created.connectivity, created.active, load, watch, commit,
		created.port.call, func() { created.gossip.TriggerPush() }, zerolog.Nop(), counters)
	created.gossip = entry.NewGossip(cluster.clock, created.members, cluster.seeds, created.port.call, created.port.closeIdle,
		created.recordLeaving, created.tables.CheckAhead, quarantine.New(cluster.clock.Now()), counters)
	ctx, cancel := context.WithCancel(context.Background())
	created.cancel = cancel
	var group sync.WaitGroup
	group.Go(func() { created.tables.Run(ctx, created.gossip.Join) })
	group.Go(func() { created.gossip.Run(ctx) })
	go func() {
		group.Wait()
		close(created.done)
	}()
}

// watchTimeout bounds one watch of the store.
const watchTimeout = 20 * clock.Second

func (node *Node) handleCall(call *nodepb.Call) *nodepb.Reply {
	switch call.WhichBody() {
	case nodepb.Call_Heartbeat_case:
		return node.gossip.Heartbeat(call.GetHeartbeat())
	case nodepb.Call_MembersQuery_case:
		return node.gossip.Members()
	case nodepb.Call_EvidenceQuery_case:
		return node.gossip.Evidence()
	case nodepb.Call_TablesQuery_case:
		return node.tables.HandleQuery(call.GetTablesQuery())
	default:
		return &nodepb.Reply{}
	}
}

// Remove stops a node.
func (cluster *Cluster) Remove(removed *Node, announced bool) {
	for i, node := range cluster.nodes {
		if node == removed {
			cluster.nodes = append(cluster.nodes[:i:i], cluster.nodes[i+1:]...)
			break
		}
	}
	removed.Stop(cluster.clock, announced)
}

// Close stops every node at once.
func (cluster *Cluster) Close() {
	var group sync.WaitGroup
	for _, node := range cluster.nodes {
		group.Go(func() { node.Stop(cluster.clock, false) })
	}
	group.Wait()
	cluster.nodes = nil
}

// Await waits until the condition holds on every node. It returns the elapsed
// time, and false if the condition did not hold within the limit.
func (cluster *Cluster) Await(limit clock.Millis, holds func(node *Node) bool) (clock.Millis, bool) {
	start := cluster.clock.Now()
	for {
		all := true
		for _, node := range cluster.nodes {
			all = all && holds(node)
		}
		elapsed := cluster.clock.Now() - start
		if all || elapsed > limit {
			return elapsed, all
		}
		cluster.clock.Wait(context.Background(), pollInterval)
	}
}

// pollInterval is the time between two checks of a condition.
const pollInterval = 5 * clock.Millisecond
