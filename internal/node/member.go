package node

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"sapphirehead/internal/clock"
)

// Member is the known state of one node.
type Member struct {
	host          string
	address       string
	dataCentre    string
	incarnation   int64
	sequence      int64
	tablesVersion int64
	ready         bool
	stopping      bool
	silent        bool
	updatedAt     clock.Millis
}

// NewMember returns a member without any update yet.
func NewMember(host, address, dataCentre string, incarnation int64) Member {
	return Member{host: host, address: address, dataCentre: dataCentre, incarnation: incarnation}
}

// WithState returns a copy with the latest state that the member published of
// itself.
func (member Member) WithState(sequence, tablesVersion int64, ready, stopping bool) Member {
	member.sequence = sequence
	member.tablesVersion = tablesVersion
	member.ready = ready
	member.stopping = stopping
	return member
}

// WithSilent returns a copy that is marked as silent or not: a peer could not reach
// a silent member.
func (member Member) WithSilent(silent bool) Member {
	member.silent = silent
	return member
}

// Host returns the name of the member's host.
func (member Member) Host() string { return member.host }

// Address returns the host and port for links.
func (member Member) Address() string { return member.address }

// DataCentre returns the member's data centre.
func (member Member) DataCentre() string { return member.dataCentre }

// Incarnation returns the number of the process start, which rises with each
// start.
func (member Member) Incarnation() int64 { return member.incarnation }

// Sequence returns the number of the member's latest update.
func (member Member) Sequence() int64 { return member.sequence }

// TablesVersion returns the version of the tables that is active at the member.
func (member Member) TablesVersion() int64 { return member.tablesVersion }

// Ready reports whether the member takes new requests.
func (member Member) Ready() bool { return member.ready }

// Stopping reports whether the member has begun to stop.
func (member Member) Stopping() bool { return member.stopping }

// Silent reports whether a peer could not reach the member since the update
// with this sequence.
func (member Member) Silent() bool { return member.silent }

// UpdatedAt returns when this node received the member's latest update.
func (member Member) UpdatedAt() clock.Millis { return member.updatedAt }

// live reports whether the member is neither silent nor stopping.
func (member Member) live() bool { return !member.silent && !member.stopping }

// hash returns the hash of this incarnation of the member.
func (member Member) hash() uint64 {
	return xxhash.Sum64String(member.host + "\x00" + strconv.FormatInt(member.incarnation, 10))
}

// newerThan orders updates of one member. A report that it is silent comes
// after the update with the same sequence and before the next one, by which the
// member refutes it.
func (member Member) newerThan(other Member) bool {
	if member.incarnation != other.incarnation {
		return member.incarnation > other.incarnation
	}
	if member.sequence != other.sequence {
		return member.sequence > other.sequence
	}
	return member.silent && !other.silent
}
