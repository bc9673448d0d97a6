package node

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"sapphirehead/internal/clock"
)

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
	silent        bool
	seen          clock.Millis
}

// NewMember returns a member that has said nothing yet.
func NewMember(host, address, dataCentre string, incarnation int64) Member {
	return Member{host: host, address: address, dataCentre: dataCentre, incarnation: incarnation}
}

// WithState returns a copy with the member's own latest news.
func (member Member) WithState(sequence, tablesVersion int64, ready, stopping bool) Member {
	member.sequence = sequence
	member.tablesVersion = tablesVersion
	member.ready = ready
	member.stopping = stopping
	return member
}

// WithSilent returns a copy that a fellow node could not reach, or could.
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

// Incarnation returns which start of the process this is.
func (member Member) Incarnation() int64 { return member.incarnation }

// Sequence returns the number of the member's latest news.
func (member Member) Sequence() int64 { return member.sequence }

// TablesVersion returns the version of the tables that the member has in force.
func (member Member) TablesVersion() int64 { return member.tablesVersion }

// Ready reports whether the member takes new requests.
func (member Member) Ready() bool { return member.ready }

// Stopping reports whether the member has begun to stop.
func (member Member) Stopping() bool { return member.stopping }

// Silent reports whether a fellow node could not reach the member since the
// news with this sequence.
func (member Member) Silent() bool { return member.silent }

// UpdatedAt returns when this node got the member's latest news.
func (member Member) UpdatedAt() clock.Millis { return member.seen }

// live reports whether the member takes part.
func (member Member) live() bool { return !member.silent && !member.stopping }

// hash names this start of the member.
func (member Member) hash() uint64 {
	return xxhash.Sum64String(member.host + "\x00" + strconv.FormatInt(member.incarnation, 10))
}

// newerThan orders news of one member. That it is silent counts after the news
// with the same sequence and before the next, by which the member refutes it.
func (member Member) newerThan(known Member) bool {
	if member.incarnation != known.incarnation {
		return member.incarnation > known.incarnation
	}
	if member.sequence != known.sequence {
		return member.sequence > known.sequence
	}
	return member.silent && !known.silent
}
