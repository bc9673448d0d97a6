package runner

import (
	"slices"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/clock"
)

// candidate is a server with the hash that identifies it in the index.
type candidate struct {
	server *backend.Server
	holder uint64
}

// subset holds the candidates of each pool in one snapshot of the fleet.
type subset struct {
	snapshot *backend.Snapshot
	byPool   map[string][]candidate
}

// subsets publishes the subset of the latest snapshot.
type subsets struct {
	current atomic.Pointer[subset]
}

// get returns the subset of the snapshot, and creates it if the snapshot is new.
// Concurrent creation is harmless. It begins the slow start of new servers.
func (subsets *subsets) get(snapshot *backend.Snapshot, node string, now clock.Millis) *subset {
	if current := subsets.current.Load(); current != nil && current.snapshot == snapshot {
		return current
	}
	created := newSubset(snapshot, node)
	for _, candidates := range created.byPool {
		for _, candidate := range candidates {
			candidate.server.Circuit().Start(now)
		}
	}
	subsets.current.Store(created)
	return created
}

func newSubset(snapshot *backend.Snapshot, node string) *subset {
	created := &subset{snapshot: snapshot, byPool: map[string][]candidate{}}
	for _, name := range snapshot.Pools() {
		created.byPool[name] = selectCandidates(snapshot.Pool(name), node)
	}
	return created
}

// selectCandidates returns the servers with the highest rendezvous weights for the
// node. Each server is thus in about the same number of nodes' subsets, and a
// server that is added or removed changes only one entry of a subset.
func selectCandidates(servers []*backend.Server, node string) []candidate {
	type weighted struct {
		candidate candidate
		weight    uint64
	}
	list := make([]weighted, 0, len(servers))
	for _, server := range servers {
		if !server.Leaving() {
			list = append(list, weighted{candidate: candidate{server: server, holder: holderHash(server)}, weight: xxhash.Sum64String(node + "/" + server.ID())})
		}
	}
	if len(list) > MaxCandidates {
		slices.SortFunc(list, func(a, b weighted) int {
			if a.weight > b.weight {
				return -1
			}
			return 1
		})
		list = list[:MaxCandidates]
	}
	candidates := make([]candidate, 0, len(list))
	for _, weighted := range list {
		candidates = append(candidates, weighted.candidate)
	}
	return candidates
}

func (subset *subset) candidates(pool string) []candidate { return subset.byPool[pool] }
