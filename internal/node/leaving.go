package node

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"sapphirehead/internal/clock"
)

const (
	// leavingAge is how long evidence is passed on. By then the platform's list
	// shows the server as leaving, or no longer shows it.
	leavingAge = clock.Minute
	// maxLeaving bounds the evidence that is passed on; the oldest goes first.
	maxLeaving = 4096
)

type leavingRecord struct {
	server string
	since  clock.Millis
	notice clock.Millis
	told   int
}

// leavingServers is the recent evidence of leaving servers, oldest first. Its
// owner guards it.
type leavingServers struct {
	records []*leavingRecord
	known   map[string]*leavingRecord
	// sum is the exclusive or of the hashes of the known servers, so two nodes
	// compare their evidence by one number.
	sum uint64
}

func newLeavingServers() *leavingServers {
	return &leavingServers{known: map[string]*leavingRecord{}}
}

// add takes in evidence and reports whether it is new.
func (leaving *leavingServers) add(evidence Leaving, now clock.Millis) bool {
	leaving.expire(now)
	if _, ok := leaving.known[evidence.server]; ok || evidence.server == "" || evidence.age >= leavingAge {
		return false
	}
	record := &leavingRecord{server: evidence.server, since: now - max(evidence.age, 0), notice: evidence.notice}
	leaving.known[evidence.server] = record
	leaving.sum ^= xxhash.Sum64String(evidence.server)
	leaving.records = append(leaving.records, record)
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
	delete(leaving.known, leaving.records[0].server)
	leaving.sum ^= xxhash.Sum64String(leaving.records[0].server)
	leaving.records = leaving.records[1:]
}

// untold reports whether there is evidence that was never told.
func (leaving *leavingServers) untold() bool {
	return slices.ContainsFunc(leaving.records, func(record *leavingRecord) bool { return record.told == 0 })
}

// all returns all evidence.
func (leaving *leavingServers) all(now clock.Millis) []Leaving {
	leaving.expire(now)
	all := make([]Leaving, 0, len(leaving.records))
	for _, record := range leaving.records {
		all = append(all, Leaving{server: record.server, age: now - record.since, notice: record.notice})
	}
	return all
}

// tell returns at most count pieces of evidence, those told least often first,
// and counts them as told. Fresh leaves out what was told before.
func (leaving *leavingServers) tell(count int, fresh bool, now clock.Millis) []Leaving {
	leaving.expire(now)
	chosen := make([]*leavingRecord, 0, len(leaving.records))
	for _, record := range leaving.records {
		if !fresh || record.told == 0 {
			chosen = append(chosen, record)
		}
	}
	slices.SortStableFunc(chosen, func(a, b *leavingRecord) int { return a.told - b.told })
	told := make([]Leaving, 0, min(count, len(chosen)))
	for _, record := range chosen[:min(count, len(chosen))] {
		record.told++
		told = append(told, Leaving{server: record.server, age: now - record.since, notice: record.notice})
	}
	return told
}
