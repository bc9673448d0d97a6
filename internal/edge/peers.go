package edge

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"sapphirehead/internal/caller"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/node"
	"sapphirehead/internal/node/nodecast"
	"sapphirehead/internal/platform"
	"sapphirehead/internal/usage"
	"sapphirehead/platform/store"
)

const (
	// kindNodes is the kind of the store objects by which nodes discover each
	// other.
	kindNodes = "sapphire-nodes"
	// batchWaitPerNode times the number of nodes is the wait between two batches
	// of bulletins, at most maxBatchWait. With 60 nodes, usage at a busy node is
	// counted at its peers within 0.3 s: 240 ms between bulletins and this wait.
	batchWaitPerNode = 1 * clock.Millisecond
	maxBatchWait     = 60 * clock.Millisecond
	// newerConfigurationWait is the time for which a peer must have a newer
	// configuration before this node reads the store. A working watch reports a
	// change within a few milliseconds.
	newerConfigurationWait = 300 * clock.Millisecond
	// nodesInterval is the time between two reads of the list of nodes, and
	// nodesIntervalPerNode the least such time for each node.
	nodesInterval        = 4 * clock.Second
	nodesIntervalPerNode = 50 * clock.Millisecond
)

// nodeForm is the body of the store object by which a node is discovered.
type nodeForm struct {
	Address string `json:"address"`
}

// demand counts the requests to one pool and their prompt tokens since the start,
// at this node and, from their bulletins, at its peers (tokens only).
type demand struct {
	requests atomic.Int64
	tokens   atomic.Int64
	atPeers  atomic.Int64
}

// peers is the state that a node exchanges with its peers.
type peers struct {
	socket      *nodecast.Socket
	states      *node.Peers
	incarnation int64
	sequence    atomic.Int64
	demands     sync.Map // Pool to *demand.
	runs        *usage.Counter
	discovered  chan []discoveredPeer
	received    chan node.Bulletin
	// newerConfiguration is a version of the configuration at a peer that is newer
	// than this node's, and newerSince the time at which it was first reported or
	// last caused a read.
	newerConfiguration int64
	newerSince         clock.Millis
	// reportedWindow is the latest window whose usage is known to have been committed.
	reportedWindow atomic.Int64
	// loggedNodes is the number of nodes that was last logged.
	loggedNodes int
	// limitsAssigned is when nodes were last assigned to servers with limits.
	limitsAssigned clock.Millis
	// urgent receives a value when peers must learn of something at once, and busy when
	// a request arrives while none is in progress.
	urgent chan struct{}
	busy   chan struct{}
}

type discoveredPeer struct {
	host    string
	address string
}

// bulletinQueue bounds the queue of applyPeerState. Dropped bulletins are superseded by
// the next ones.
const bulletinQueue = 256

func newPeers(host, listen string, wall clock.Millis) (*peers, error) {
	socket, err := nodecast.New(listen)
	if err != nil {
		return nil, err
	}
	return &peers{
		socket: socket, states: node.NewPeers(host), incarnation: int64(wall), runs: usage.NewCounter(),
		discovered: make(chan []discoveredPeer), received: make(chan node.Bulletin, bulletinQueue),
		urgent: make(chan struct{}, 1), busy: make(chan struct{}, 1),
	}, nil
}

func (peers *peers) demandFor(pool string) *demand {
	if existing, ok := peers.demands.Load(pool); ok {
		return existing.(*demand)
	}
	existing, _ := peers.demands.LoadOrStore(pool, &demand{})
	return existing.(*demand)
}

// recordReportedWindow records that the usage of the window was committed.
func (peers *peers) recordReportedWindow(window int64) {
	for {
		latest := peers.reportedWindow.Load()
		if window <= latest || peers.reportedWindow.CompareAndSwap(latest, window) {
			return
		}
	}
}

// nodes returns the number of nodes that share limits.
func (edge *Edge) nodes() int {
	return max(1, edge.peers.states.View().Nodes(edge.clock.Now()))
}

// refillShare returns the share of an account's rate that this node may use:
// all of it if every peer is live, as the usage of peers is then deducted.
func (edge *Edge) refillShare() float64 {
	now := edge.clock.Now()
	view := edge.peers.states.View()
	return float64(view.LiveCount(now)) / float64(view.Nodes(now))
}

// trueTime returns the time of day on which the nodes agree.
func (edge *Edge) trueTime() clock.Millis {
	return edge.peers.states.View().TrueTime(edge.clock.Now(), edge.clock.Wall())
}

// receiveBulletins reads bulletins from the socket until it is closed.
func (edge *Edge) receiveBulletins(context.Context) {
	buffer := nodecast.NewBuffer()
	for {
		bulletin, err := edge.peers.socket.Receive(buffer)
		var malformed *nodecast.MalformedError
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case errors.As(err, &malformed):
			edge.log.Warn().Err(err).Msg("ignored a datagram that is not a bulletin")
			continue
		case err != nil:
			edge.log.Error().Err(err).Msg("cannot receive bulletins from peer nodes")
			return
		}
		select {
		case edge.peers.received <- bulletin:
		default:
			edge.counters.bulletinsDropped.Add(1)
		}
	}
}

// applyPeerState applies bulletins and discovered peers in batches: the updates
// after a bulletin cost time in proportion to the number of nodes and backend
// servers, and one update serves all bulletins of a batch.
func (edge *Edge) applyPeerState(ctx context.Context) {
	peers := edge.peers
	for {
		used := newPeerUsage()
		select {
		case <-ctx.Done():
			return
		case discovered := <-peers.discovered:
			for _, peer := range discovered {
				peers.states.Add(peer.host, peer.address, edge.clock.Now())
			}
		case bulletin := <-peers.received:
			edge.applyBulletin(bulletin, used)
		}
		for waiting := len(peers.received); waiting > 0; waiting-- {
			edge.applyBulletin(<-peers.received, used)
		}
		peers.states.Publish()
		edge.logNodes()
		now := edge.clock.Now()
		edge.applyPeerUsage(used, now)
		edge.applyPeerWork(now)
		edge.reviewQuarantine()
		edge.assignLimits(now)
		if edge.clock.Wait(ctx, min(batchWaitPerNode*clock.Millis(edge.nodes()), maxBatchWait)) != nil {
			return
		}
	}
}

// logNodes logs the number of nodes after it has changed.
func (edge *Edge) logNodes() {
	if nodes := edge.nodes(); nodes != edge.peers.loggedNodes {
		edge.peers.loggedNodes = nodes
		edge.log.Info().Int("nodes", nodes).Msg("nodes that share limits")
	}
}

// configurationVersion returns the version of the active configuration, or 0.
func (edge *Edge) configurationVersion() int64 {
	if directory := edge.directory.Current(); directory != nil {
		return directory.Version()
	}
	return 0
}

// compareConfiguration triggers a read of the store once a peer has had a newer
// configuration for longer than a watch takes to report it.
func (edge *Edge) compareConfiguration(version int64, now clock.Millis) {
	peers := edge.peers
	switch {
	case version <= edge.configurationVersion():
		return
	case version != peers.newerConfiguration:
		peers.newerConfiguration, peers.newerSince = version, now
	case now-peers.newerSince >= newerConfigurationWait:
		edge.log.Info().Int64("version", edge.configurationVersion()).Int64("newer", version).Msg("a peer node has a newer configuration")
		edge.wakeUps.configuration.Trigger()
		peers.newerSince = now
	}
}

// applyBulletin applies one bulletin and adds the usage of client accounts at
// its sender to used.
func (edge *Edge) applyBulletin(bulletin node.Bulletin, used *peerUsage) {
	now := edge.clock.Now()
	edge.compareConfiguration(bulletin.Configuration(), now)
	if service := bulletin.ListService(); service > 0 && edge.listService.compare(now-service) {
		edge.log.Info().Str("peer", bulletin.Host()).Msg("the store served a peer node all the while; servers that are gone from the list have left")
		edge.wakeUps.servers.Trigger()
	}
	edge.quarantine.Merge(bulletin.Evidence(), now)
	edge.releases.Merge(bulletin.Releases(), now)
	edge.placement.Merge(bulletin.Host(), bulletin.Incarnation(), bulletin.Speeds())
	edge.mergeRollouts(bulletin, now)
	edge.mergeAdmission(bulletin, now)
	if window := bulletin.ReportedWindow(); usage.IsPlausible(window, edge.trueTime(), edge.settings.Load().Bounds().UsageWindow()) {
		edge.peers.recordReportedWindow(window)
	}
	increase := edge.peers.states.Receive(bulletin, now)
	edge.applyServerLimits(bulletin.ServerLimits(), increase.Sent(), now)
	used.add(increase)
	for _, amount := range increase.Demanded() {
		edge.peers.demandFor(amount.Name()).atPeers.Add(amount.Tokens())
	}
}

// peerUsage is the tokens that client accounts used at peers according to a batch of
// bulletins, by account.
type peerUsage struct {
	current map[string]int64
	// duringSilence is the usage at peers that had not counted as live.
	duringSilence map[string]int64
}

func newPeerUsage() *peerUsage {
	return &peerUsage{current: map[string]int64{}, duringSilence: map[string]int64{}}
}

func (peerUsage *peerUsage) add(increase node.Increase) {
	sums := peerUsage.current
	if increase.AfterSilence() {
		sums = peerUsage.duringSilence
	}
	for _, amount := range increase.Used() {
		sums[amount.Name()] += amount.Tokens()
	}
}

// applyPeerUsage charges the usage of client accounts at peers to the meters.
func (edge *Edge) applyPeerUsage(used *peerUsage, now clock.Millis) {
	share := edge.refillShare()
	edge.chargeEach(used.duringSilence, now, func(meter *caller.Meter, allotment caller.Allotment, tokens int64) {
		meter.AddUsageDuringSilence(allotment, tokens, share, now)
	})
	edge.chargeEach(used.current, now, func(meter *caller.Meter, allotment caller.Allotment, tokens int64) {
		meter.AddPeerUsage(allotment, tokens, share, now)
	})
}

// chargeEach calls charge for each account that the configuration has.
func (edge *Edge) chargeEach(used map[string]int64, now clock.Millis, charge func(meter *caller.Meter, allotment caller.Allotment, tokens int64)) {
	directory := edge.directory.Current()
	if directory == nil {
		return
	}
	for name, tokens := range used {
		if account, ok := directory.AccountNamed(name); ok {
			allotment := edge.allotment(account)
			charge(edge.meters.forAccount(account, allotment, now), allotment, tokens)
		}
	}
}

// applyPeerWork records at each backend server the load from peers, and that
// the server is leaving if one of them reported it.
func (edge *Edge) applyPeerWork(now clock.Millis) {
	view := edge.peers.states.View()
	work, leaving, asOf := view.ServerWork(now), view.Leaving(now), view.MeanReceivedAt(now)
	for _, server := range edge.fleet.Current().Servers() {
		if leaving[server.Hash()] && server.MarkLeaving() {
			edge.log.Info().Str("backendServer", server.ID()).Msg("backend server leaves: reported by a peer node")
		}
		peerWork := work[server.Hash()]
		server.SetPeerInFlight(int64(peerWork.Attempts()), asOf)
		server.Work().SetPeerPending(int64(peerWork.Tokens()))
	}
}

// discoverPeers keeps this node's object in the store and reads those of its
// peers.
func (edge *Edge) discoverPeers(ctx context.Context) {
	var written nodeObject
	for {
		if written.version == 0 {
			written = edge.writeNode(ctx, written)
		}
		listing, err := edge.store.List(ctx, kindNodes, store.FreshnessStaleOK)
		edge.counters.storeCalls.Add(1)
		if err != nil {
			edge.log.Debug().Err(err).Msg("cannot read the list of nodes")
		}
		listed := false
		var discovered []discoveredPeer
		for _, object := range listing.Objects() {
			var form nodeForm
			if err := json.Unmarshal(object.Spec(), &form); err != nil {
				edge.log.Warn().Err(err).Str("node", object.Name()).Msg("cannot decode the object of a peer node")
				continue
			}
			if object.Name() == edge.settings.Load().Host() {
				listed = form.Address == edge.peers.socket.Address()
				continue
			}
			discovered = append(discovered, discoveredPeer{host: object.Name(), address: form.Address})
		}
		select {
		case edge.peers.discovered <- discovered:
		case <-ctx.Done():
			return
		}
		if err == nil && !listed && platform.EraOf(listing.AsOf()) > platform.EraOf(written.version) {
			// The store was restored and has lost the object.
			written.version = 0
		}
		wait := max(nodesInterval, nodesIntervalPerNode*clock.Millis(edge.nodes()))
		if err != nil || !listed || len(listing.Objects()) == 1 {
			wait = nodesInterval / 4
		}
		if edge.clock.Wait(ctx, wait) != nil {
			return
		}
	}
}

// nodeObject is what this process knows of the object by which the node is discovered.
type nodeObject struct {
	// version is that of the object, or 0 if it must be written.
	version int64
	// known is set once the process has found out whether it is the first on its host.
	known bool
}

// writeNode writes the object by which this node is discovered.
func (edge *Edge) writeNode(ctx context.Context, written nodeObject) nodeObject {
	spec, err := json.Marshal(nodeForm{Address: edge.peers.socket.Address()})
	if err != nil {
		edge.log.Error().Err(err).Msg("cannot encode the object of this node")
		return written
	}
	host := edge.settings.Load().Host()
	edge.counters.storeCalls.Add(1)
	version, err := edge.store.Put(ctx, kindNodes, host, spec, platform.VersionNone)
	first := err == nil
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		var existing store.Object
		existing, err = edge.store.Get(ctx, kindNodes, host)
		version = existing.Version()
		if err == nil && string(existing.Spec()) != string(spec) {
			version, err = edge.store.Put(ctx, kindNodes, host, spec, version)
		}
	}
	if err != nil {
		edge.log.Warn().Err(err).Msg("cannot write the object of this node")
		return written
	}
	if !written.known {
		edge.meters.firstOnHost.Store(first)
	}
	edge.log.Info().Str("address", edge.peers.socket.Address()).Bool("first", first).Msg("object of this node written")
	return nodeObject{version: version, known: true}
}
