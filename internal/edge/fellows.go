package edge

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/node"
	"sapphirehead/internal/node/nodecast"
	"sapphirehead/internal/platform"
	"sapphirehead/internal/usage"
	"sapphirehead/platform/store"
)

const (
	// kindNodes is the kind of the objects by which nodes find each other.
	kindNodes = "sapphire-nodes"
	// newsPerNode is the wait between two batches of bulletins for each node, and
	// newsMost its bound: client accounts are counted within 0.3 s everywhere.
	newsPerNode = 1 * clock.Millisecond
	newsMost    = 60 * clock.Millisecond
	// newerWait is how long a fellow node may have a newer configuration before this
	// one looks for it: a watch tells of a change within a few milliseconds.
	newerWait = 300 * clock.Millisecond
	// nodesInterval is the time between two readings of the list of nodes.
	nodesInterval = 4 * clock.Second
)

// nodeForm is the object by which a node is found.
type nodeForm struct {
	Address string `json:"address"`
}

// demand is what callers asked of one pool since the start, here and, as far as
// they told, at fellow nodes.
type demand struct {
	requests  atomic.Int64
	tokens    atomic.Int64
	elsewhere atomic.Int64
}

// fellows is what a node exchanges with its fellows.
type fellows struct {
	socket      *nodecast.Socket
	known       *node.Peers
	incarnation int64
	sequence    atomic.Int64
	demands     sync.Map // Pool to *demand.
	runs        *usage.Counter
	found       chan found
	heard       chan node.Bulletin
	// newer is a later version of the configuration that fellow nodes have, and
	// newerSince when this was heard first.
	newer      int64
	newerSince clock.Millis
}

type found struct {
	host    string
	address string
}

// foundQueue and heardQueue bound what waits for the goroutine that knows the
// fellow nodes. What does not fit is told again soon.
const (
	foundQueue = 64
	heardQueue = 256
)

func newFellows(host, listen string, wall clock.Millis) (*fellows, error) {
	socket, err := nodecast.New(listen)
	if err != nil {
		return nil, err
	}
	return &fellows{
		socket: socket, known: node.NewPeers(host), incarnation: int64(wall), runs: usage.NewCounter(),
		found: make(chan found, foundQueue), heard: make(chan node.Bulletin, heardQueue),
	}, nil
}

func (fellows *fellows) demandFor(pool string) *demand {
	if known, ok := fellows.demands.Load(pool); ok {
		return known.(*demand)
	}
	known, _ := fellows.demands.LoadOrStore(pool, &demand{})
	return known.(*demand)
}

// nodes returns how many nodes share limits.
func (edge *Edge) nodes() int {
	return max(1, edge.fellows.known.View().Nodes(edge.clock.Now()))
}

// refillShare returns the part of an account's rate that this node may use: all
// if it hears every fellow node, as what they use is then taken off.
func (edge *Edge) refillShare() float64 {
	now := edge.clock.Now()
	view := edge.fellows.known.View()
	return float64(view.LiveCount(now)) / float64(view.Nodes(now))
}

// trueTime returns the time of day on which the nodes agree.
func (edge *Edge) trueTime() clock.Millis {
	return edge.fellows.known.View().TrueTime(edge.clock.Now(), edge.clock.Wall())
}

// receiveFellows reads bulletins from the socket until it is closed.
func (edge *Edge) receiveFellows(context.Context) {
	buffer := nodecast.NewBuffer()
	for {
		bulletin, err := edge.fellows.socket.Receive(buffer)
		var garbled *nodecast.MalformedError
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case errors.As(err, &garbled):
			edge.log.Warn().Err(err).Msg("datagram ignored")
			continue
		case err != nil:
			edge.log.Error().Err(err).Msg("fellow nodes can't be heard")
			return
		}
		select {
		case edge.fellows.heard <- bulletin:
		default:
			edge.counters.bulletinsDropped.Add(1)
		}
	}
}

// knowFellows takes in what is heard and found of fellow nodes, a batch at a
// time: what follows from a bulletin costs as much as there are nodes and backend
// servers, and comes to the same for those that came together.
func (edge *Edge) knowFellows(ctx context.Context) {
	fellows := edge.fellows
	for {
		used := map[string]int64{}
		select {
		case <-ctx.Done():
			return
		case found := <-fellows.found:
			fellows.known.Add(found.host, found.address, edge.clock.Now())
		case bulletin := <-fellows.heard:
			edge.hear(bulletin, used)
		}
		for waiting := len(fellows.heard); waiting > 0; waiting-- {
			edge.hear(<-fellows.heard, used)
		}
		fellows.known.Publish()
		now := edge.clock.Now()
		edge.takeUse(used, now)
		edge.takeWork(now)
		if edge.clock.Wait(ctx, min(newsPerNode*clock.Millis(edge.nodes()), newsMost)) != nil {
			return
		}
	}
}

// configurationVersion returns the version in force, or 0.
func (edge *Edge) configurationVersion() int64 {
	if directory := edge.directory.Current(); directory != nil {
		return directory.Version()
	}
	return 0
}

// compareConfiguration looks at the store once a fellow node has had a newer
// configuration for longer than a watch takes to tell.
func (edge *Edge) compareConfiguration(version int64, now clock.Millis) {
	fellows := edge.fellows
	switch {
	case version <= edge.configurationVersion():
		return
	case version != fellows.newer:
		fellows.newer, fellows.newerSince = version, now
	case now-fellows.newerSince >= newerWait:
		edge.log.Info().Int64("version", edge.configurationVersion()).Int64("newer", version).Msg("a fellow node has a newer configuration")
		edge.nudges.configuration.Now()
		fellows.newerSince = now
	}
}

// hear takes in one bulletin and adds what client accounts used at its sender.
func (edge *Edge) hear(bulletin node.Bulletin, used map[string]int64) {
	now := edge.clock.Now()
	edge.compareConfiguration(bulletin.Configuration(), now)
	added, asked := edge.fellows.known.Receive(bulletin, now)
	for _, use := range added {
		used[use.Name()] += use.Tokens()
	}
	for _, use := range asked {
		edge.fellows.demandFor(use.Name()).elsewhere.Add(use.Tokens())
	}
}

// takeUse counts what client accounts used at fellow nodes.
func (edge *Edge) takeUse(used map[string]int64, now clock.Millis) {
	directory := edge.directory.Current()
	if directory == nil {
		return
	}
	share := edge.refillShare()
	for name, tokens := range used {
		if account, ok := directory.AccountNamed(name); ok {
			allotment := edge.allotment(account)
			edge.meters.of(account, allotment, now).AddPeerUsage(allotment, tokens, share, now)
		}
	}
}

// takeWork notes at each backend server what fellow nodes have there, and that it
// leaves if one of them has read so.
func (edge *Edge) takeWork(now clock.Millis) {
	view := edge.fellows.known.View()
	work, leaving := view.ServerWork(now), view.Leaving(now)
	for _, server := range edge.fleet.Current().Servers() {
		if leaving[server.Hash()] && server.MarkLeaving() {
			edge.log.Info().Str("backendServer", server.ID()).Msg("backend server leaves, a fellow node says")
		}
		at := work[server.Hash()]
		server.SetPeerInFlight(int64(at.Attempts()))
		server.Work().SetPeerPending(int64(at.Tokens()))
	}
}

// findFellows keeps this node's object in the store and reads those of others.
func (edge *Edge) findFellows(ctx context.Context) {
	written := false
	for {
		if !written {
			written = edge.writeNode(ctx)
		}
		listing, err := edge.store.List(ctx, kindNodes, store.FreshnessStaleOK)
		edge.counters.storeCalls.Add(1)
		if err != nil {
			edge.log.Debug().Err(err).Msg("list of nodes can't be read")
		}
		listed := false
		for _, object := range listing.Objects() {
			var form nodeForm
			if err := json.Unmarshal(object.Spec(), &form); err != nil {
				edge.log.Warn().Err(err).Str("node", object.Name()).Msg("object of a node can't be read")
				continue
			}
			if object.Name() == edge.settings.Load().Host() {
				listed = form.Address == edge.fellows.socket.Address()
				continue
			}
			select {
			case edge.fellows.found <- found{host: object.Name(), address: form.Address}:
			default:
			}
		}
		wait := nodesInterval
		if err != nil || !listed || len(listing.Objects()) == 1 {
			wait = nodesInterval / 4
		}
		if edge.clock.Wait(ctx, wait) != nil {
			return
		}
	}
}

// writeNode writes the object by which this node is found, and reports whether
// that is done.
func (edge *Edge) writeNode(ctx context.Context) bool {
	spec, err := json.Marshal(nodeForm{Address: edge.fellows.socket.Address()})
	if err != nil {
		edge.log.Error().Err(err).Msg("object of this node can't be encoded")
		return true
	}
	host := edge.settings.Load().Host()
	edge.counters.storeCalls.Add(1)
	_, err = edge.store.Put(ctx, kindNodes, host, spec, platform.VersionNone)
	first := err == nil
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		var known store.Object
		if known, err = edge.store.Get(ctx, kindNodes, host); err == nil && string(known.Spec()) != string(spec) {
			_, err = edge.store.Put(ctx, kindNodes, host, spec, known.Revision())
		}
	}
	if err != nil {
		edge.log.Warn().Err(err).Msg("object of this node can't be written")
		return false
	}
	edge.meters.first.Store(first)
	edge.log.Info().Str("address", edge.fellows.socket.Address()).Bool("first", first).Msg("object of this node written")
	return true
}
