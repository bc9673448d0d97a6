// Package backend holds a node's view of the live backend servers: an
// immutable snapshot that the request path reads through an atomic pointer,
// and atomic counters for each server.
//
// A single writer rebuilds the snapshot from the platform's list, which lags,
// and from evidence that a server is leaving. The evidence is kept while the list
// may still show the server, so that a stale list never makes a leaving server
// live again.
package backend

import (
	"slices"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"sapphirehead/internal/clock"
)

// Server is one backend server. Its identity is fixed; its counters may be
// updated from any goroutine.
type Server struct {
	id         string
	address    string
	dataCentre string
	hostClass  string
	pool       string
	leaving    atomic.Bool
	inFlight   atomic.Int64
	failures   atomic.Int64
	load       atomic.Pointer[Load]
	cache      Cache
	work       Work
	circuit    Circuit
	rateLimit  *RateLimit
	rate       Rate
	slowdown   atomic.Pointer[Slowdown]
	speed      atomic.Pointer[Speed]
	// start distinguishes two runs of a server under the same id. It is empty if
	// the platform assigns a new id to each run.
	start string
	// software is the version of the server's software, or empty if it isn't known.
	software     string
	key          string
	hash         uint64
	slots        int
	reclaimable  bool
	endsAt       atomic.Int64
	peerInFlight atomic.Int64
	peersAsOf    atomic.Int64
	doubtedAt    atomic.Int64
}

// NewServer returns a live backend server without load. The address is the
// host and port of a TCP listener.
func NewServer(id, address, dataCentre, hostClass, pool string) *Server {
	server := &Server{id: id, address: address, dataCentre: dataCentre, hostClass: hostClass, pool: pool, rateLimit: &RateLimit{}}
	server.speed.Store(newSpeed(&mean{}))
	server.setStart("")
	return server
}

// setStart sets the start that identifies this run of the server. It must be
// called before the server is in use.
func (server *Server) setStart(start string) {
	server.start, server.key = start, server.id
	if start != "" {
		server.key += "@" + start
	}
	server.hash = xxhash.Sum64String(server.key)
}

// ID returns the server's id; a replaced host gets a new one.
func (server *Server) ID() string { return server.id }

// Address returns the server's host and port.
func (server *Server) Address() string { return server.address }

// DataCentre returns the data centre in which the server runs.
func (server *Server) DataCentre() string { return server.dataCentre }

// HostClass returns the class of the server's host.
func (server *Server) HostClass() string { return server.hostClass }

// Pool returns the name of the pool that the server belongs to.
func (server *Server) Pool() string { return server.pool }

// Slots returns the number of requests that the server processes concurrently,
// or 0 if it is unknown.
func (server *Server) Slots() int { return server.slots }

// Reclaimable reports whether the server runs on a reclaimable host.
func (server *Server) Reclaimable() bool { return server.reclaimable }

// Software returns the version of the server's software, or an empty string if it isn't
// known. Versions of one pool may serve side by side.
func (server *Server) Software() string { return server.software }

// Doubt records that the server's process may have ended at the time: it may have started
// again since, under the same id and with other software, without the list showing it yet.
func (server *Server) Doubt(now clock.Millis) { server.doubtedAt.Store(int64(now)) }

// Confirm records that the list, as of the time, still names this start of the server.
func (server *Server) Confirm(asOf clock.Millis) {
	if doubted := server.doubtedAt.Load(); doubted != 0 && doubted <= int64(asOf) {
		server.doubtedAt.CompareAndSwap(doubted, 0)
	}
}

// DoubtedAt returns when the server's process may have ended, or 0 if the list has been
// read since.
func (server *Server) DoubtedAt() clock.Millis { return clock.Millis(server.doubtedAt.Load()) }

// EndsAt returns the time at which a leaving server ends, or 0 if it is unknown.
func (server *Server) EndsAt() clock.Millis { return clock.Millis(server.endsAt.Load()) }

// Key returns the identity of this run of the server.
func (server *Server) Key() string { return server.key }

// Hash returns a hash of the key.
func (server *Server) Hash() uint64 { return server.hash }

// Leaving reports whether the server is leaving, so that it gets no new requests.
func (server *Server) Leaving() bool { return server.leaving.Load() }

// MarkLeaving marks the server as leaving, permanently. It reports whether it was
// unmarked before.
func (server *Server) MarkLeaving() bool { return !server.leaving.Swap(true) }

// InFlight returns the number of this node's attempts in progress at the server.
func (server *Server) InFlight() int64 { return server.inFlight.Load() }

// PeerInFlight returns the number of attempts in progress at the server that
// peer nodes have reported.
func (server *Server) PeerInFlight() int64 { return server.peerInFlight.Load() }

// PeersAsOf returns the mean time of the reports of peer nodes.
func (server *Server) PeersAsOf() clock.Millis { return clock.Millis(server.peersAsOf.Load()) }

// SetPeerInFlight records the number of attempts that peer nodes have reported, and the
// mean time of their reports.
func (server *Server) SetPeerInFlight(attempts int64, asOf clock.Millis) {
	server.peerInFlight.Store(attempts)
	server.peersAsOf.Store(int64(asOf))
}

// Begin counts an attempt in progress until the returned function is called.
func (server *Server) Begin() (end func()) {
	server.inFlight.Add(1)
	var ended atomic.Bool
	return func() {
		if !ended.Swap(true) {
			server.inFlight.Add(-1)
		}
	}
}

// Succeeded resets the number of consecutive failures.
func (server *Server) Succeeded() { server.failures.Store(0) }

// Failed counts a failure and returns the number of consecutive failures.
func (server *Server) Failed() int64 { return server.failures.Add(1) }

// Failures returns the number of consecutive failures.
func (server *Server) Failures() int64 { return server.failures.Load() }

// Cache returns how far this node's index follows the server's prefix cache.
func (server *Server) Cache() *Cache { return &server.cache }

// Work returns the counters of prompt tokens sent to the server.
func (server *Server) Work() *Work { return &server.work }

// Speed returns the speed of servers of this host class in this pool.
func (server *Server) Speed() *Speed { return server.speed.Load() }

// Circuit returns the server's circuit breaker.
func (server *Server) Circuit() *Circuit { return &server.circuit }

// Rate returns what this node has learned of the server's speed.
func (server *Server) Rate() *Rate { return &server.rate }

// RateLimit returns the limit on requests that the server has named.
func (server *Server) RateLimit() *RateLimit { return server.rateLimit }

// Load returns the latest load report, or nil before the first.
func (server *Server) Load() *Load { return server.load.Load() }

// Report stores a load report, with this node's current counters, unless a later
// one has been stored.
func (server *Server) Report(load *Load) {
	load.ownInFlight = server.InFlight()
	load.sentTokens = server.work.SentTokens()
	if load.SharesHost() {
		server.SetSlowdown(load.slowdown, load.receivedAt)
	}
	for {
		current := server.load.Load()
		if current != nil && current.receivedAt > load.receivedAt {
			return
		}
		if server.load.CompareAndSwap(current, load) {
			return
		}
	}
}

// Load is a load report of a backend server.
type Load struct {
	receivedAt    clock.Millis
	running       int
	queued        int
	waitingTokens int
	ownInFlight   int64
	sentTokens    int64
	// slowdown is how long work takes at this moment in relation to the usual time, or 0
	// if the server doesn't report it.
	slowdown float64
}

// NewLoad returns a report that was received at the given time, with the
// requests running and queued and the prompt tokens waiting for prefill.
func NewLoad(receivedAt clock.Millis, running, queued, tokens int) *Load {
	return &Load{receivedAt: receivedAt, running: running, queued: queued, waitingTokens: tokens}
}

// minSlowdown and maxSlowdown bound what a report may say, so that no server gets all
// requests or none by it.
const (
	minSlowdown = 0.1
	maxSlowdown = 10.0
)

// WithSlowdown returns a copy of the report of a server that shares its host with other
// work, with the time that work takes now in relation to the usual time.
func (load *Load) WithSlowdown(slowdown float64) *Load {
	shared := *load
	shared.slowdown = min(max(slowdown, minSlowdown), maxSlowdown)
	return &shared
}

// SharesHost reports whether the server shares its host with other work.
func (load *Load) SharesHost() bool { return load.slowdown > 0 }

// Slowdown returns how long work takes in relation to the usual time, 1 as usual.
func (load *Load) Slowdown() float64 {
	if !load.SharesHost() {
		return 1
	}
	return load.slowdown
}

// At returns when the report was received.
func (load *Load) At() clock.Millis { return load.receivedAt }

// Running returns the number of requests in the batch.
func (load *Load) Running() int { return load.running }

// Queued returns the number of requests waiting for a slot.
func (load *Load) Queued() int { return load.queued }

// WaitingTokens returns the number of prompt tokens waiting for prefill.
func (load *Load) WaitingTokens() int { return load.waitingTokens }

// OwnInFlight returns the number of this node's attempts in progress at the
// server when the report was received.
func (load *Load) OwnInFlight() int64 { return load.ownInFlight }

// SentTokens returns the prompt tokens that this node had sent to the server
// when the report was received.
func (load *Load) SentTokens() int64 { return load.sentTokens }

// Snapshot is an immutable set of servers, by pool.
type Snapshot struct {
	byPool map[string][]*Server
	byID   map[string]*Server
	byHash map[uint64]*Server
}

func newSnapshot(servers []*Server) *Snapshot {
	snapshot := &Snapshot{byPool: map[string][]*Server{}, byID: map[string]*Server{}, byHash: map[uint64]*Server{}}
	for _, server := range servers {
		snapshot.byPool[server.pool] = append(snapshot.byPool[server.pool], server)
		snapshot.byID[server.id] = server
		snapshot.byHash[server.hash] = server
	}
	for _, list := range snapshot.byPool {
		slices.SortFunc(list, func(a, b *Server) int {
			switch {
			case a.id < b.id:
				return -1
			case a.id > b.id:
				return 1
			default:
				return 0
			}
		})
	}
	return snapshot
}

// Pool returns the servers of a pool in order of id. Callers must not change
// the slice.
func (snapshot *Snapshot) Pool(name string) []*Server { return snapshot.byPool[name] }

// Pools returns the names of the pools that have servers, in no particular
// order.
func (snapshot *Snapshot) Pools() []string {
	names := make([]string, 0, len(snapshot.byPool))
	for name := range snapshot.byPool {
		names = append(names, name)
	}
	return names
}

// Server returns the server with the id, or nil.
func (snapshot *Snapshot) Server(id string) *Server { return snapshot.byID[id] }

// ServerWithHash returns the server whose key has the hash, or nil.
func (snapshot *Snapshot) ServerWithHash(hash uint64) *Server { return snapshot.byHash[hash] }

// Servers returns every server in no particular order.
func (snapshot *Snapshot) Servers() []*Server {
	servers := make([]*Server, 0, len(snapshot.byID))
	for _, server := range snapshot.byID {
		servers = append(servers, server)
	}
	return servers
}

// Listing is one server in the platform's list, which lags.
type Listing struct {
	server  *Server
	leaving bool
	endsAt  clock.Millis
}

// NewListing returns the server as the list shows it.
func NewListing(server *Server, leaving bool) Listing {
	return Listing{server: server, leaving: leaving}
}

// Server returns the listed server.
func (listing Listing) Server() *Server { return listing.server }

// Leaving reports whether the list shows the server as leaving.
func (listing Listing) Leaving() bool { return listing.leaving }
