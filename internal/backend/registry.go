package backend

import (
	"strconv"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/platform"
)

// NoticeUnknown is the notice of a leaving server whose end is unknown.
const NoticeUnknown clock.Millis = -1

// Entry is the entry of one backend server in the platform's list.
type Entry struct {
	id          string
	address     string
	dataCentre  string
	pool        string
	version     int64
	slots       int
	start       clock.Millis
	software    string
	reclaimable bool
	leaving     bool
	notice      clock.Millis
}

// NewEntry returns the entry of a server that accepts requests, at the version
// of the list.
func NewEntry(id, address, dataCentre, pool string, version int64) Entry {
	return Entry{id: id, address: address, dataCentre: dataCentre, pool: pool, version: version}
}

// ID returns the server's id.
func (entry Entry) ID() string { return entry.id }

// Pool returns the pool that the server belongs to.
func (entry Entry) Pool() string { return entry.pool }

// DataCentre returns the data centre in which the server runs.
func (entry Entry) DataCentre() string { return entry.dataCentre }

// Version returns the version of the list at which the entry changed.
func (entry Entry) Version() int64 { return entry.version }

// Leaving reports whether the server accepts no new requests.
func (entry Entry) Leaving() bool { return entry.leaving }

// WithSlots returns a copy with the number of concurrent requests.
func (entry Entry) WithSlots(slots int) Entry {
	entry.slots = slots
	return entry
}

// WithStart returns a copy with the time at which the server started, by the
// server's clock.
func (entry Entry) WithStart(start clock.Millis) Entry {
	entry.start = start
	return entry
}

// WithSoftware returns a copy with the version of the server's software, or empty if the
// entry doesn't name it.
func (entry Entry) WithSoftware(version string) Entry {
	entry.software = version
	return entry
}

// WithReclaimable returns a copy for a server on a reclaimable host.
func (entry Entry) WithReclaimable() Entry {
	entry.reclaimable = true
	return entry
}

// WithLeaving returns a copy for a server that accepts no new requests and ends
// after the notice, which may be NoticeUnknown.
func (entry Entry) WithLeaving(notice clock.Millis) Entry {
	entry.leaving, entry.notice = true, notice
	return entry
}

// Server returns a server with what the entry says of it.
func (entry Entry) Server() *Server {
	server := NewServer(entry.id, entry.address, entry.dataCentre, "", entry.pool)
	server.slots, server.reclaimable, server.software = entry.slots, entry.reclaimable, entry.software
	if entry.start != 0 {
		server.setStart(strconv.FormatInt(int64(entry.start), 10))
	}
	return server
}

func (entry Entry) listing() Listing { return NewListing(entry.Server(), entry.leaving) }

// Registry follows the platform's list of backend servers, in which each server
// keeps its entry alive by heartbeats. During an outage of the platform's store,
// entries expire although their servers are live. An entry that is removed
// during an outage, or within the grace period after it, is therefore kept until
// the end of that period, so that the server can write it again. With a grace
// period of 1.8 s:
//
//	outage from 10 s to 15 s; entry of s-1 removed at 15 s -> kept until 16.8 s
//	no outage; entry of s-2 removed at 30 s                -> dropped at 30 s
//
// So is one that a restored store lacks, as the server writes it again. One that is removed
// while only this node can't reach the store has left (EndGrace). The entry of a
// leaving server is dropped at once. A registry must be used by one
// goroutine.
type Registry struct {
	entries        map[string]Entry
	kept           map[string]Entry
	noticedAt      map[string]clock.Millis
	asOf           int64
	availableSince clock.Millis
	unavailable    bool
	// restored is set if the grace period is that of a store that lost entries.
	restored bool
	grace    clock.Millis
}

// NewRegistry returns an empty registry with the grace period after an outage of
// the platform's store.
func NewRegistry(grace clock.Millis) *Registry {
	return &Registry{
		entries: map[string]Entry{}, kept: map[string]Entry{}, noticedAt: map[string]clock.Millis{},
		grace: grace, availableSince: -grace,
	}
}

// SetUnavailable records that the platform does not respond.
func (registry *Registry) SetUnavailable() { registry.unavailable = true }

// SetAvailable records that the platform responds.
func (registry *Registry) SetAvailable(now clock.Millis) {
	if registry.unavailable {
		registry.unavailable, registry.restored = false, false
		registry.availableSince = now
	}
}

// EndGrace ends the grace period after an outage that was not the store's but this node's,
// so that no server had to let its entry expire. That after a restore goes on.
func (registry *Registry) EndGrace(now clock.Millis) {
	if !registry.unavailable && !registry.restored {
		registry.availableSince = now - registry.grace
	}
}

// Replace applies a complete list as of a version. Entries that the registry
// has at a later version are kept.
func (registry *Registry) Replace(list []Entry, asOf int64, now clock.Millis) {
	if registry.asOf != 0 && platform.EraOf(asOf) > platform.EraOf(registry.asOf) {
		registry.unavailable, registry.restored, registry.availableSince = false, true, now
	}
	registry.asOf = max(registry.asOf, asOf)
	listed := make(map[string]bool, len(list))
	for _, entry := range list {
		listed[entry.id] = true
		registry.Set(entry, now)
	}
	for id, entry := range registry.entries {
		if !listed[id] && entry.version <= asOf {
			registry.Remove(id, asOf, now)
		}
	}
}

// Set applies one entry unless the registry has it at this version or a later one.
func (registry *Registry) Set(entry Entry, now clock.Millis) {
	current, ok := registry.entries[entry.id]
	if ok && current.version >= entry.version {
		return
	}
	delete(registry.kept, entry.id)
	registry.entries[entry.id] = entry
	if !ok || current.start != entry.start || current.leaving != entry.leaving {
		registry.noticedAt[entry.id] = now
	}
}

// Remove applies the removal of an entry at the version.
func (registry *Registry) Remove(id string, version int64, now clock.Millis) {
	entry, ok := registry.entries[id]
	if !ok || entry.version > version {
		return
	}
	delete(registry.entries, id)
	if !entry.leaving && registry.inGrace(now) {
		registry.kept[id] = entry
		return
	}
	delete(registry.noticedAt, id)
}

func (registry *Registry) inGrace(now clock.Millis) bool {
	return registry.unavailable || now < registry.availableSince+registry.grace
}

// GraceEnd returns the time at which kept entries expire, and false if none are
// kept or the platform is still unavailable.
func (registry *Registry) GraceEnd() (clock.Millis, bool) {
	return registry.availableSince + registry.grace, len(registry.kept) > 0 && !registry.unavailable
}

// List returns the servers and drops the kept entries once the grace period has
// ended. A leaving server ends after its notice, counted from the time at which the
// registry first received it.
func (registry *Registry) List(now clock.Millis) []Listing {
	if !registry.inGrace(now) {
		for id := range registry.kept {
			delete(registry.kept, id)
			delete(registry.noticedAt, id)
		}
	}
	list := make([]Listing, 0, len(registry.entries)+len(registry.kept))
	for id, entry := range registry.entries {
		listing := entry.listing()
		if entry.leaving && entry.notice != NoticeUnknown {
			listing.endsAt = registry.noticedAt[id] + entry.notice
		}
		list = append(list, listing)
	}
	for _, entry := range registry.kept {
		list = append(list, entry.listing())
	}
	return list
}
