package node

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"sapphirehead/internal/clock"
)

const (
	// leavingAge is how long evidence is gossiped. By then the platform's list
	// shows the server as leaving, or no longer shows it.
	leavingAge = clock.Minute
	// maxLeaving bounds the evidence that is gossiped; the oldest is dropped
	// first.
	maxLeaving = 4096
)

type leavingRecord struct {
	server string
	since  clock.Millis
	notice clock.Millis
	// sentCount counts the gossip rounds with the evidence, and pushed is set once
	// it was pushed to all links. A round reaches one node, so it must not replace
	// the push.
	sentCount int
	pushed    bool
}

func (record *leavingRecord) evidence(now clock.Millis) LeavingEvidence {
	return NewLeavingEvidence(record.server, now-record.since, record.notice)
}

// leavingServers is the recent evidence of leaving servers, oldest first. Its
// owner locks it.
type leavingServers struct {
	records  []*leavingRecord
	byServer map[string]*leavingRecord
	// sum is the exclusive or of the hashes of the recorded servers, so that two
	// nodes can compare their evidence by one number.
	sum uint64
}

func newLeavingServers() *leavingServers {
	return &leavingServers{byServer: map[string]*leavingRecord{}}
}

// add records evidence and reports whether it is new.
func (leaving *leavingServers) add(evidence LeavingEvidence, now clock.Millis) bool {
	leaving.expire(now)
	if _, ok := leaving.byServer[evidence.server]; ok || evidence.server == "" || evidence.age >= leavingAge {
		return false
	}
	record := &leavingRecord{server: evidence.server, since: now - max(evidence.age, 0), notice: evidence.notice}
	leaving.byServer[evidence.server] = record
	leaving.sum ^= xxhash.Sum64String(evidence.server)
	index, _ := slices.BinarySearchFunc(leaving.records, record.since+1, func(existing *leavingRecord, since clock.Millis) int { return cmp.Compare(existing.since, since) })
	leaving.records = slices.Insert(leaving.records, index, record)
	if len(leaving.records) > maxLeaving {
		leaving.dropOldest()
	}
	return true
}

func (leaving *leavingServers) expire(now clock.Millis) {
	for len(leaving.records) > 0 && now-leaving.records[0].since >= leavingAge {
		leaving.dropOldest()
	}
}

func (leaving *leavingServers) dropOldest() {
	delete(leaving.byServer, leaving.records[0].server)
	leaving.sum ^= xxhash.Sum64String(leaving.records[0].server)
	leaving.records = leaving.records[1:]
}

// unpushed reports whether there is evidence that was not pushed.
func (leaving *leavingServers) unpushed() bool {
	return slices.ContainsFunc(leaving.records, func(record *leavingRecord) bool { return !record.pushed })
}

// push returns evidence that was not pushed yet, up to the bound of a push.
func (leaving *leavingServers) push(now clock.Millis) []LeavingEvidence {
	leaving.expire(now)
	var pushed []LeavingEvidence
	for _, record := range leaving.records {
		if len(pushed) < pushLeaving && !record.pushed {
			record.pushed = true
			pushed = append(pushed, record.evidence(now))
		}
	}
	return pushed
}

// all returns all evidence.
func (leaving *leavingServers) all(now clock.Millis) []LeavingEvidence {
	leaving.expire(now)
	all := make([]LeavingEvidence, 0, len(leaving.records))
	for _, record := range leaving.records {
		all = append(all, record.evidence(now))
	}
	return all
}

// nextForRound returns the evidence for a gossip round, the least often sent
// first, and counts it as sent.
func (leaving *leavingServers) nextForRound(now clock.Millis) []LeavingEvidence {
	leaving.expire(now)
	chosen := slices.Clone(leaving.records)
	slices.SortStableFunc(chosen, func(a, b *leavingRecord) int { return a.sentCount - b.sentCount })
	selected := make([]LeavingEvidence, 0, digestLeaving)
	for _, record := range chosen[:min(digestLeaving, len(chosen))] {
		record.sentCount++
		selected = append(selected, record.evidence(now))
	}
	return selected
}
