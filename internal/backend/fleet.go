package backend

import "sync/atomic"

// leavingRetention is the number of consecutive updates without a leaving server, or one
// with a limit, after which its mark or limit is dropped. At two to four updates per
// second it takes 42 to 83 minutes, which is longer than the list ever lags. Only updates
// count, so both are kept while the list can't be read.
const leavingRetention = 10_000

// Fleet publishes snapshots of the live servers. Update, MarkLeaving and Leaving
// must be called from one goroutine at a time; Current from any.
type Fleet struct {
	current atomic.Pointer[Snapshot]
	// leaving holds the number of updates since a leaving server was last listed, by
	// its key, or by its id if it was marked before it was listed.
	leaving map[string]int
	// marked is the same for servers that others than the list's reader have marked.
	// Such a mark is no first evidence: whoever set it reports it by itself.
	marked map[string]int
	// unlisted holds servers that are gone from the list while requests to them may still
	// be in progress: an answer may yet show that one leaves. The value is set once none
	// was in progress at an update.
	unlisted map[*Server]bool
	// limits holds the limits of servers that are not listed, by key. A live server's
	// entry may be gone for a while.
	limits map[string]unlistedLimit
	speeds *speeds
}

// unlistedLimit is the limit of a server that was last listed the number of updates ago.
type unlistedLimit struct {
	rateLimit *RateLimit
	updates   int
}

// NewFleet returns an empty fleet.
func NewFleet() *Fleet {
	fleet := &Fleet{
		leaving: map[string]int{}, marked: map[string]int{}, unlisted: map[*Server]bool{}, limits: map[string]unlistedLimit{}, speeds: newSpeeds(),
	}
	fleet.current.Store(newSnapshot(nil))
	return fleet
}

// Current returns the current snapshot.
func (fleet *Fleet) Current() *Snapshot { return fleet.current.Load() }

// Update publishes a snapshot of the listed servers. It returns the ids of those
// that the list is the first to show as leaving. A server of the previous snapshot
// keeps its counters and its leaving mark.
func (fleet *Fleet) Update(list []Listing) (firstEvidence []string) {
	current := fleet.current.Load()
	servers := make([]*Server, 0, len(list))
	fleet.ageMarks()
	fleet.keepMarks(current)
	for _, listing := range list {
		server := current.Server(listing.server.id)
		if server == nil || server.address != listing.server.address || server.start != listing.server.start ||
			server.software != listing.server.software {
			previous := server
			server = listing.server
			server.speed.Store(fleet.speeds.get(server))
			if kept, ok := fleet.limits[server.Key()]; ok {
				server.rateLimit = kept.rateLimit
			} else if previous != nil && previous.Key() == server.Key() {
				server.rateLimit = previous.rateLimit
			}
		}
		_, leaving := fleet.leaving[server.Key()]
		if listing.leaving && !leaving {
			firstEvidence = append(firstEvidence, server.id)
		}
		if listing.leaving || leaving {
			fleet.leaving[server.Key()] = 0
		}
		if _, marked := fleet.marked[server.Key()]; listing.leaving || leaving || marked {
			server.MarkLeaving()
		}
		if listing.endsAt != 0 {
			server.endsAt.Store(int64(listing.endsAt))
		}
		servers = append(servers, server)
	}
	next := newSnapshot(servers)
	fleet.keepLimits(current, next)
	fleet.keepUnlisted(current, next)
	fleet.current.Store(next)
	return firstEvidence
}

// keepLimits keeps the limits of the servers that only the current snapshot has.
func (fleet *Fleet) keepLimits(current, next *Snapshot) {
	for key, kept := range fleet.limits {
		kept.updates++
		fleet.limits[key] = kept
		if kept.updates > leavingRetention {
			delete(fleet.limits, key)
		}
	}
	for _, server := range next.byID {
		delete(fleet.limits, server.Key())
	}
	for id, server := range current.byID {
		if listed := next.byID[id]; (listed == nil || listed.Key() != server.Key()) && server.RateLimit().isKept() {
			fleet.limits[server.Key()] = unlistedLimit{rateLimit: server.RateLimit()}
		}
	}
}

// keepMarks keeps the marks that others than the list's reader have set on servers of
// the snapshot, since a server that is listed again is a new one here.
func (fleet *Fleet) keepMarks(snapshot *Snapshot) {
	for _, server := range snapshot.byID {
		if server.Leaving() {
			fleet.marked[server.Key()] = 0
		}
	}
	for server := range fleet.unlisted {
		if server.Leaving() {
			fleet.marked[server.Key()] = 0
		}
	}
}

// keepUnlisted keeps the servers that only the current snapshot has, and drops those whose
// requests have ended. One that was idle stays for another update, as a request may have
// been about to begin.
func (fleet *Fleet) keepUnlisted(current, next *Snapshot) {
	for server, wasIdle := range fleet.unlisted {
		isIdle := server.InFlight() == 0
		if isIdle && wasIdle {
			delete(fleet.unlisted, server)
			continue
		}
		fleet.unlisted[server] = isIdle
	}
	for id, server := range current.byID {
		if next.byID[id] != server {
			fleet.unlisted[server] = false
		}
	}
}

// ageMarks counts one more update for each mark and drops the expired ones.
func (fleet *Fleet) ageMarks() {
	for _, marks := range []map[string]int{fleet.leaving, fleet.marked} {
		for key, updates := range marks {
			if updates >= leavingRetention {
				delete(marks, key)
				continue
			}
			marks[key] = updates + 1
		}
	}
}

// MarkLeaving marks a server as leaving, also before the list shows it. It
// reports whether this was the first evidence.
func (fleet *Fleet) MarkLeaving(id string) bool {
	key := id
	if server := fleet.current.Load().Server(id); server != nil {
		key = server.Key()
		server.MarkLeaving()
	}
	_, marked := fleet.leaving[key]
	if !marked {
		fleet.leaving[key] = 0
	}
	return !marked
}

// Leaving returns the ids of all servers marked as leaving, listed or not.
func (fleet *Fleet) Leaving() []string {
	ids := make([]string, 0, len(fleet.leaving))
	for id := range fleet.leaving {
		ids = append(ids, id)
	}
	return ids
}
