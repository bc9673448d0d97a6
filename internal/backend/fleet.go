package backend

import "sync/atomic"

// leavingRetention is the number of updates in a row that must not list a leaving
// server before its mark is dropped. At two to four updates a second that is
// about an hour, in which the list catches up with any lag. While the list can't
// be read, nothing is forgotten.
const leavingRetention = 10_000

// Fleet publishes snapshots of the live servers. Update and MarkLeaving may
// be called from one writer at a time; Current from any goroutine.
type Fleet struct {
	current atomic.Pointer[Snapshot]
	// leaving holds, for each key known to leave, the number of updates since it
	// was last listed.
	leaving map[string]int
	speeds  *speeds
}

// NewFleet returns an empty fleet.
func NewFleet() *Fleet {
	fleet := &Fleet{leaving: map[string]int{}, speeds: newSpeeds()}
	fleet.current.Store(newSnapshot(nil))
	return fleet
}

// Current returns the snapshot in force.
func (fleet *Fleet) Current() *Snapshot { return fleet.current.Load() }

// Update puts the listed servers in force and returns the ids of those of which
// the list is the first evidence that they leave. A known server keeps its
// counters and its leaving mark.
func (fleet *Fleet) Update(list []Listing) (first []string) {
	known := fleet.current.Load()
	servers := make([]*Server, 0, len(list))
	fleet.ageMarks()
	for _, listing := range list {
		server := known.Server(listing.server.id)
		if server == nil || server.address != listing.server.address || server.start != listing.server.start {
			server = listing.server
			server.speed.Store(fleet.speeds.of(server))
		}
		_, leaving := fleet.leaving[server.Key()]
		if listing.leaving && !leaving {
			first = append(first, server.id)
		}
		if listing.leaving || leaving {
			fleet.leaving[server.Key()] = 0
			server.MarkLeaving()
		}
		if listing.endsAt != 0 {
			server.endsAt.Store(int64(listing.endsAt))
		}
		servers = append(servers, server)
	}
	fleet.current.Store(newSnapshot(servers))
	return first
}

// ageMarks counts one more update for each mark and drops those not listed for long.
func (fleet *Fleet) ageMarks() {
	for id, updates := range fleet.leaving {
		if updates >= leavingRetention {
			delete(fleet.leaving, id)
			continue
		}
		fleet.leaving[id] = updates + 1
	}
}

// MarkLeaving records evidence that a server is leaving, even one that the
// list does not show yet. It reports whether this was the first evidence.
func (fleet *Fleet) MarkLeaving(id string) bool {
	_, known := fleet.leaving[id]
	if !known {
		fleet.leaving[id] = 0
	}
	if server := fleet.current.Load().Server(id); server != nil {
		server.MarkLeaving()
	}
	return !known
}

// Leaving returns the ids of all servers known to leave, listed or not.
func (fleet *Fleet) Leaving() []string {
	ids := make([]string, 0, len(fleet.leaving))
	for id := range fleet.leaving {
		ids = append(ids, id)
	}
	return ids
}
