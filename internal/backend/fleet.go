package backend

import "sync/atomic"

// forgetAfter is the number of updates in a row that must not list a leaving
// server before its mark is dropped. At two to four updates a second that is
// about an hour, in which the list catches up with any lag. While the list can't
// be read, nothing is forgotten.
const forgetAfter = 10_000

// Fleet publishes snapshots of the live servers. Update and MarkLeaving may
// be called from one writer at a time; Current from any goroutine.
type Fleet struct {
	current atomic.Pointer[Snapshot]
	// left holds, for each key known to leave, the number of updates since it
	// was last listed.
	left   map[string]int
	speeds *speeds
}

// NewFleet returns an empty fleet.
func NewFleet() *Fleet {
	fleet := &Fleet{left: map[string]int{}, speeds: newSpeeds()}
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
	fleet.age()
	for _, listed := range list {
		server := known.Server(listed.server.id)
		if server == nil || server.address != listed.server.address || server.start != listed.server.start {
			server = listed.server
			server.speed.Store(fleet.speeds.of(server))
		}
		_, left := fleet.left[server.Key()]
		if listed.leaving && !left {
			first = append(first, server.id)
		}
		if listed.leaving || left {
			fleet.left[server.Key()] = 0
			server.MarkLeaving()
		}
		if listed.leaveAt != 0 {
			server.leaveAt.Store(int64(listed.leaveAt))
		}
		servers = append(servers, server)
	}
	fleet.current.Store(newSnapshot(servers))
	return first
}

// age counts one more update for each mark and drops those not listed for long.
func (fleet *Fleet) age() {
	for id, updates := range fleet.left {
		if updates >= forgetAfter {
			delete(fleet.left, id)
			continue
		}
		fleet.left[id] = updates + 1
	}
}

// MarkLeaving records evidence that a server is leaving, even one that the
// list does not show yet. It reports whether this was the first evidence.
func (fleet *Fleet) MarkLeaving(id string) bool {
	_, known := fleet.left[id]
	if !known {
		fleet.left[id] = 0
	}
	if server := fleet.current.Load().Server(id); server != nil {
		server.MarkLeaving()
	}
	return !known
}

// Leaving returns the ids of all servers known to leave, listed or not.
func (fleet *Fleet) Leaving() []string {
	ids := make([]string, 0, len(fleet.left))
	for id := range fleet.left {
		ids = append(ids, id)
	}
	return ids
}
