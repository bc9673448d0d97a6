package backend

import (
	"strconv"

	"sapphirehead/internal/clock"
)

// NoticeUnknown is the notice of a server that leaves without saying when.
const NoticeUnknown clock.Millis = -1

// Entry is what the platform's list says of one backend server.
type Entry struct {
	id          string
	address     string
	dataCentre  string
	pool        string
	revision    int64
	slots       int
	start       clock.Millis
	reclaimable bool
	leaving     bool
	notice      clock.Millis
}

// NewEntry returns the entry of a server that takes work, at the revision of
// the list.
func NewEntry(id, address, dataCentre, pool string, revision int64) Entry {
	return Entry{id: id, address: address, dataCentre: dataCentre, pool: pool, revision: revision}
}

// ID returns the server's id.
func (entry Entry) ID() string { return entry.id }

// Pool returns the pool that the server belongs to.
func (entry Entry) Pool() string { return entry.pool }

// DataCentre returns the data centre in which the server runs.
func (entry Entry) DataCentre() string { return entry.dataCentre }

// Revision returns the revision of the list at which the entry changed.
func (entry Entry) Revision() int64 { return entry.revision }

// Leaving reports whether the server takes no new work.
func (entry Entry) Leaving() bool { return entry.leaving }

// WithSlots returns a copy with so many places for requests.
func (entry Entry) WithSlots(slots int) Entry {
	entry.slots = slots
	return entry
}

// WithStart returns a copy that tells when the server started, by its own
// clock.
func (entry Entry) WithStart(start clock.Millis) Entry {
	entry.start = start
	return entry
}

// WithReclaimable returns a copy on a reclaimable host.
func (entry Entry) WithReclaimable() Entry {
	entry.reclaimable = true
	return entry
}

// WithLeaving returns a copy that takes no new work and ends after the notice,
// which may be NoticeUnknown.
func (entry Entry) WithLeaving(notice clock.Millis) Entry {
	entry.leaving, entry.notice = true, notice
	return entry
}

func (entry Entry) listing() Listing {
	server := NewServer(entry.id, entry.address, entry.dataCentre, "", entry.pool)
	server.slots, server.reclaimable = entry.slots, entry.reclaimable
	if entry.start != 0 {
		server.setStart(strconv.FormatInt(int64(entry.start), 10))
	}
	return NewListing(server, entry.leaving)
}

// Registry follows the platform's list of backend servers, in which each server
// keeps an entry alive by heartbeats. While the platform's store is away,
// entries lapse although their servers live. So an entry that goes around an
// outage is kept until the server had time to write it again:
//
//	store away at 10 s, back at 15 s; entry of s-1 gone at 15 s -> kept until 16.8 s
//	no outage; entry of s-2 gone at 30 s                        -> dropped at 30 s
//
// A server that left by its own word is dropped at once. A registry belongs to
// one goroutine.
type Registry struct {
	entries        map[string]Entry
	lapsed         map[string]Entry
	noticed        map[string]clock.Millis
	availableSince clock.Millis
	unavailable    bool
	grace          clock.Millis
}

// NewRegistry returns a registry of no servers that keeps lapsed entries for
// the grace after an outage of the platform.
func NewRegistry(grace clock.Millis) *Registry {
	return &Registry{
		entries: map[string]Entry{}, lapsed: map[string]Entry{}, noticed: map[string]clock.Millis{},
		grace: grace, availableSince: -grace,
	}
}

// SetUnavailable records that the platform does not answer.
func (registry *Registry) SetUnavailable() { registry.unavailable = true }

// SetAvailable records that the platform answers again.
func (registry *Registry) SetAvailable(now clock.Millis) {
	if registry.unavailable {
		registry.unavailable = false
		registry.availableSince = now
	}
}

// Replace takes in a whole list. Entries that the registry knows at a later
// revision than the list's stay.
func (registry *Registry) Replace(list []Entry, asOf int64, now clock.Millis) {
	listing := make(map[string]bool, len(list))
	for _, entry := range list {
		listing[entry.id] = true
		registry.Set(entry, now)
	}
	for id, entry := range registry.entries {
		if !listing[id] && entry.revision <= asOf {
			registry.Remove(id, asOf, now)
		}
	}
}

// Set takes in one entry unless a later revision of it is known.
func (registry *Registry) Set(entry Entry, now clock.Millis) {
	known, ok := registry.entries[entry.id]
	if ok && known.revision >= entry.revision {
		return
	}
	delete(registry.lapsed, entry.id)
	registry.entries[entry.id] = entry
	if !ok || known.start != entry.start || known.leaving != entry.leaving {
		registry.noticed[entry.id] = now
	}
}

// Remove takes in that an entry is gone as of the revision.
func (registry *Registry) Remove(id string, revision int64, now clock.Millis) {
	entry, ok := registry.entries[id]
	if !ok || entry.revision > revision {
		return
	}
	delete(registry.entries, id)
	if !entry.leaving && registry.inGrace(now) {
		registry.lapsed[id] = entry
		return
	}
	delete(registry.noticed, id)
}

func (registry *Registry) inGrace(now clock.Millis) bool {
	return registry.unavailable || now < registry.availableSince+registry.grace
}

// GraceEnd returns when lapsed entries are to be dropped, and false if there
// are none or the platform is still away.
func (registry *Registry) GraceEnd() (clock.Millis, bool) {
	return registry.availableSince + registry.grace, len(registry.lapsed) > 0 && !registry.unavailable
}

// List returns the servers, dropping lapsed entries whose grace has passed. A
// leaving server's end is worked out from when its notice was first read.
func (registry *Registry) List(now clock.Millis) []Listing {
	if !registry.inGrace(now) {
		for id := range registry.lapsed {
			delete(registry.lapsed, id)
			delete(registry.noticed, id)
		}
	}
	list := make([]Listing, 0, len(registry.entries)+len(registry.lapsed))
	for id, entry := range registry.entries {
		listing := entry.listing()
		if entry.leaving && entry.notice != NoticeUnknown {
			listing.endsAt = registry.noticed[id] + entry.notice
		}
		list = append(list, listing)
	}
	for _, entry := range registry.lapsed {
		list = append(list, entry.listing())
	}
	return list
}
