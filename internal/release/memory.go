package release

import (
	"sapphirehead/internal/backend"
	"sapphirehead/internal/clock"
)

const (
	// announceTime is how long a node tells its peers of a beginning. A large deployment
	// sends a few bulletins to each peer in this time.
	announceTime = 4 * clock.Second
	// These bound what a bulletin, which must fit into one packet, says of releases.
	maxReportedBeginnings = 24
	maxReportedSightings  = 16
	// minAloneSpan is the least time for which a release must have served alone so that
	// every stream that can still be taken up began there, and aloneDeadlines the same in
	// times that a stream may last: callers may wait longer than a route does.
	minAloneSpan   = 20 * clock.Second
	aloneDeadlines = 2
)

// AloneSpan returns how long a release must have served alone so that every stream that
// can still be taken up began there; a stream may last for the deadline.
func AloneSpan(deadline clock.Millis) clock.Millis {
	return min(max(minAloneSpan, aloneDeadlines*deadline), historySpan)
}

// Memory is a node's knowledge of the releases that serve and of the streams that they
// began. It is safe for concurrent use and takes no locks.
type Memory struct {
	streams *streams
	history *history
}

// NewMemory returns the memory of a node that knows nothing of the time before now.
func NewMemory(now clock.Millis) *Memory {
	memory := &Memory{streams: &streams{}, history: &history{}}
	memory.history.state.Store(&historyState{since: now, seen: map[sightingKey]sighting{}})
	return memory
}

// Observe records the servers that are listed now, of the releases that the function names,
// and reports whether one was not known.
func (memory *Memory) Observe(servers []*backend.Server, releaseOf func(*backend.Server) ID, now clock.Millis) (isNew bool) {
	sightings := make([]sighting, 0, len(servers))
	for _, server := range servers {
		sightings = append(sightings, sighting{pool: NewPoolID(server.Pool()), release: releaseOf(server), first: now, last: now})
	}
	return memory.history.add(sightings, now, now)
}

// Begin records that the server brought the first event of the request's stream, which
// can be taken up until the time.
func (memory *Memory) Begin(request RequestID, server *backend.Server, until, now clock.Millis) {
	memory.streams.record(&beginning{request: request, pool: NewPoolID(server.Pool()), release: Of(server), began: now, until: until})
}

// BeganAt returns the release that brought the first event of the request's stream, and
// false if it isn't known.
func (memory *Memory) BeganAt(request RequestID, now clock.Millis) (ID, bool) {
	return memory.streams.find(request, now)
}

// Alone returns the release that alone has served in the pool for the span, and false if
// there were several, none, or the node doesn't know what served.
func (memory *Memory) Alone(pool string, span, now clock.Millis) (ID, bool) {
	return memory.history.alone(NewPoolID(pool), span, now)
}

// News returns what this node tells its peers now. Beginnings are only told of pools in
// which no release has served alone for long, as others need not be remembered.
func (memory *Memory) News(now clock.Millis) News {
	since, seen := memory.history.latest(maxReportedSightings, now)
	news := News{historyAge: now - since}
	for _, sighting := range seen {
		news.sightings = append(news.sightings, NewSightingReport(sighting.pool, sighting.release, now-sighting.last))
	}
	told := memory.streams.latest(maxReportedBeginnings, now, func(pool PoolID) (clock.Millis, bool) {
		if _, alone := memory.history.alone(pool, historySpan, now); alone {
			return 0, false
		}
		if mixed, ok := memory.history.mixedSince(pool); ok && now-mixed < announceTime {
			// Peers got none of the beginnings so far.
			return 0, true
		}
		return now - announceTime, true
	})
	for _, beginning := range told {
		news.beginnings = append(news.beginnings, NewBeginningReport(beginning.request, beginning.release, beginning.until-now))
	}
	return news
}

// Merge adds the news of a peer that arrived at the time. Merging the same news again
// changes nothing.
func (memory *Memory) Merge(news News, now clock.Millis) {
	for _, report := range news.beginnings {
		memory.streams.remember(&beginning{request: report.request, release: report.release, began: now, until: now + report.left})
	}
	sightings := make([]sighting, 0, len(news.sightings))
	for _, report := range news.sightings {
		sightings = append(sightings, sighting{pool: report.pool, release: report.release, first: now, last: now - report.age})
	}
	if len(sightings) > 0 {
		memory.history.add(sightings, now-news.historyAge, now)
	}
}
