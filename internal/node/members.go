// Package node holds what a node knows and decides about fellow nodes: who is
// live, which tables each has in force, and which backend servers any of them
// has seen leaving.
//
// News of a member is ordered by incarnation and then by sequence, both set by
// the member itself, so an older report never replaces a newer one on any
// path.
package node

import (
	"maps"
	"slices"
	"sync/atomic"

	"sapphirehead/internal/clock"
)

// DefaultSilence is how long after its last news a member counts as live.
const DefaultSilence = 5 * clock.Second

// Member is what is known of one node.
type Member struct {
	host          string
	address       string
	dataCentre    string
	incarnation   int64
	sequence      int64
	tablesVersion int64
	ready         bool
	stopping      bool
	seen          clock.Millis
}

// NewMember returns a member that has said nothing yet.
func NewMember(host, address, dataCentre string, incarnation int64) Member {
	return Member{host: host, address: address, dataCentre: dataCentre, incarnation: incarnation}
}

// WithNews returns a copy with the member's own latest news.
func (member Member) WithNews(sequence, tablesVersion int64, ready, stopping bool) Member {
	member.sequence = sequence
	member.tablesVersion = tablesVersion
	member.ready = ready
	member.stopping = stopping
	return member
}

// Host returns the name of the member's host.
func (member Member) Host() string { return member.host }

// Address returns the host and port for links.
func (member Member) Address() string { return member.address }

// DataCentre returns the member's data centre.
func (member Member) DataCentre() string { return member.dataCentre }

// Incarnation returns which start of the process this is.
func (member Member) Incarnation() int64 { return member.incarnation }

// Sequence returns the number of the member's latest heartbeat.
func (member Member) Sequence() int64 { return member.sequence }

// TablesVersion returns the version of the tables that the member has in force.
func (member Member) TablesVersion() int64 { return member.tablesVersion }

// Ready reports whether the member takes new requests.
func (member Member) Ready() bool { return member.ready }

// Stopping reports whether the member has begun to stop.
func (member Member) Stopping() bool { return member.stopping }

// Seen returns when this node got the member's latest news.
func (member Member) Seen() clock.Millis { return member.seen }

func (member Member) newerThan(known Member) bool {
	if member.incarnation != known.incarnation {
		return member.incarnation > known.incarnation
	}
	return member.sequence > known.sequence
}

// Members publishes the known members. Merge is called by one writer at a
// time; the rest from any goroutine.
type Members struct {
	clock   *clock.Clock
	self    string
	silence clock.Millis
	current atomic.Pointer[map[string]Member]
}

// NewMembers returns an empty set for the node on the host. Members are live
// until they have been silent for the given time.
func NewMembers(clock *clock.Clock, self string, silence clock.Millis) *Members {
	members := &Members{clock: clock, self: self, silence: silence}
	members.current.Store(&map[string]Member{})
	return members
}

// Merge takes in news, and reports whether any was newer than what is known.
func (members *Members) Merge(news []Member) bool {
	known := *members.current.Load()
	changed := maps.Clone(known)
	newer := false
	for _, member := range news {
		if member.host == members.self || member.host == "" {
			continue
		}
		if old, ok := changed[member.host]; ok && !member.newerThan(old) {
			continue
		}
		member.seen = members.clock.Now()
		changed[member.host] = member
		newer = true
	}
	if newer {
		members.current.Store(&changed)
	}
	return newer
}

// Live returns the members heard from lately, in order of host.
func (members *Members) Live() []Member {
	now := members.clock.Now()
	var live []Member
	for _, member := range *members.current.Load() {
		if now-member.seen <= members.silence {
			live = append(live, member)
		}
	}
	slices.SortFunc(live, func(a, b Member) int {
		if a.host < b.host {
			return -1
		}
		return 1
	})
	return live
}

// HighestTables returns the highest version of the tables that any live
// member has in force, and that member.
func (members *Members) HighestTables() (Member, bool) {
	best, found := Member{}, false
	for _, member := range members.Live() {
		if !found || member.tablesVersion > best.tablesVersion {
			best, found = member, true
		}
	}
	return best, found
}
