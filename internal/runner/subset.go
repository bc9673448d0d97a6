package runner

import (
	"slices"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/clock"
)

// candidate is a server with the name by which the index knows it.
type candidate struct {
	server *backend.Server
	holder uint64
}

// subset is the candidates of each pool in one snapshot of the fleet.
type subset struct {
	snapshot *backend.Snapshot
	byPool   map[string][]candidate
}

// subsets publishes the subset that belongs to the latest snapshot.
type subsets struct {
	current atomic.Pointer[subset]
}

// of returns the subset of the snapshot, and makes it if it is a new one. Two
// goroutines that make the same one do no harm. A server that is new here begins
// its slow start now.
func (subsets *subsets) of(snapshot *backend.Snapshot, node string, now clock.Millis) *subset {
	if known := subsets.current.Load(); known != nil && known.snapshot == snapshot {
		return known
	}
	made := newSubset(snapshot, node)
	for _, candidates := range made.byPool {
		for _, candidate := range candidates {
			candidate.server.Circuit().Start(now)
		}
	}
	subsets.current.Store(made)
	return made
}

func newSubset(snapshot *backend.Snapshot, node string) *subset {
	made := &subset{snapshot: snapshot, byPool: map[string][]candidate{}}
	for _, name := range snapshot.Pools() {
		made.byPool[name] = candidatesOf(snapshot.Pool(name), node)
	}
	return made
}

// candidatesOf returns the servers with the highest rendezvous weights for the
// node, so that each server is in about as many nodes' subsets as any other
// and a server that comes or goes changes one place only.
func candidatesOf(servers []*backend.Server, node string) []candidate {
	type weighed struct {
		candidate candidate
		weight    uint64
	}
	list := make([]weighed, 0, len(servers))
	for _, server := range servers {
		if !server.Leaving() {
			list = append(list, weighed{candidate: candidate{server: server, holder: holderOf(server)}, weight: xxhash.Sum64String(node + "/" + server.ID())})
		}
	}
	if len(list) > MaxCandidates {
		slices.SortFunc(list, func(a, b weighed) int {
			if a.weight > b.weight {
				return -1
			}
			return 1
		})
		list = list[:MaxCandidates]
	}
	candidates := make([]candidate, 0, len(list))
	for _, weighed := range list {
		candidates = append(candidates, weighed.candidate)
	}
	return candidates
}

func (subset *subset) candidates(pool string) []candidate { return subset.byPool[pool] }
