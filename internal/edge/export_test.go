package edge

import (
	"sapphirehead/internal/backend"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/release"
)

// RelistWaits returns the waits before the listings after which a watch fails each time.
func RelistWaits(count int) []clock.Millis {
	backoff, waits := relistBackoff{}, make([]clock.Millis, count)
	for i := range waits {
		waits[i] = backoff.next()
	}
	return waits
}

// BodyBytes returns the bytes of request bodies that the node holds.
func (edge *Edge) BodyBytes() int64 { return edge.bodyMemory.Held() }

// Bulletins returns the number of bulletins that the node has sent.
func (edge *Edge) Bulletins() int64 { return edge.peers.sequence.Load() }

// UsesAddress reports whether every server of the pool that takes requests has the
// address.
func (edge *Edge) UsesAddress(pool, address string) bool {
	servers := edge.fleet.Current().Pool(pool)
	for _, server := range servers {
		if !server.Leaving() && server.Address() != address {
			return false
		}
	}
	return len(servers) > 0
}

// UsedBy returns the tokens that the client account used at the node.
func (edge *Edge) UsedBy(name string) int64 {
	used := int64(0)
	edge.meters.forEach(func(account string, tokens int64) {
		if account == name {
			used = tokens
		}
	})
	return used
}

// LearnAlone makes the node believe that the software version alone has served in the
// pool for as long as it remembers, as the bulletin of a peer would.
func (edge *Edge) LearnAlone(pool, version string) {
	edge.releases.Merge(release.NewNews(clock.Minute, []release.SightingReport{
		release.NewSightingReport(release.NewPoolID(pool), release.New(pool, version), 0),
	}, nil), edge.clock.Now())
}

// BudgetRow is a part of the process's memory or descriptors.
type BudgetRow struct {
	Part  string
	Share float64
}

// MemoryBudget returns the shares of the process's memory.
func MemoryBudget() []BudgetRow {
	return []BudgetRow{
		{"callers' connections", connectionMemoryShare},
		{"heads", maxHeadMemoryShare},
		{"bodies", bodyMemoryShare},
		{"responses", responseMemoryShare},
		{"heads at the readiness address", sideMemoryShare},
		{"heads at the metrics address", sideMemoryShare},
		{"runtime, state, connections to others", runtimeMemoryShare},
	}
}

// DescriptorBudget returns the shares of the process's file descriptors.
func DescriptorBudget() []BudgetRow {
	return []BudgetRow{
		{"callers", callerDescriptorShare},
		{"backend servers", serverDescriptorShare},
		{"readiness address", sideDescriptorShare},
		{"metrics address", sideDescriptorShare},
		{"store, cloud, peers, listeners, files", ownDescriptorShare},
	}
}

// BulletinAddress returns the address at which the node receives bulletins.
func (edge *Edge) BulletinAddress() string { return edge.peers.socket.Address() }

// Server returns the backend server as the node knows it.
func (edge *Edge) Server(id string) *backend.Server { return edge.fleet.Current().Server(id) }
