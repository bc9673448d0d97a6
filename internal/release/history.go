package release

import (
	"maps"
	"slices"
	"sync/atomic"

	"sapphirehead/internal/clock"
)

const (
	// historySpan is how long a release that serves no more is remembered, and thus the
	// longest time for which a release can be known to have served alone.
	historySpan = 2 * clock.Minute
	// sightingTick is the resolution of the times of sightings, so that most bulletins of
	// peers change nothing.
	sightingTick = 1 * clock.Second
	// maxSightings bounds the releases that are remembered.
	maxSightings = 256
)

// sighting is the times at which a release was first and last known to serve.
type sighting struct {
	pool    PoolID
	release ID
	first   clock.Millis
	last    clock.Millis
}

// history holds which releases served lately, as this node and its peers saw. It is safe
// for concurrent use: readers use an immutable state, which updates replace.
type history struct {
	state atomic.Pointer[historyState]
}

// historyState is immutable.
type historyState struct {
	// since is the time from which on the history is complete.
	since clock.Millis
	seen  map[sightingKey]sighting
	// mixed holds since when several releases of a pool are known.
	mixed map[PoolID]clock.Millis
}

type sightingKey struct {
	pool    PoolID
	release ID
}

// add adds sightings, and that the history is complete from the time on. It reports
// whether a release was not known.
func (history *history) add(sightings []sighting, since, now clock.Millis) (isNew bool) {
	for {
		current := history.state.Load()
		if current.hasAll(sightings, since) {
			return false
		}
		next, isNew := current.with(sightings, since, now)
		if history.state.CompareAndSwap(current, next) {
			return isNew
		}
	}
}

// hasAll reports whether the state has the sightings, at nearly their times.
func (current *historyState) hasAll(sightings []sighting, since clock.Millis) bool {
	return since >= current.since && !slices.ContainsFunc(sightings, func(added sighting) bool {
		known, ok := current.seen[sightingKey{pool: added.pool, release: added.release}]
		return !ok || added.last-known.last >= sightingTick
	})
}

func (current *historyState) with(sightings []sighting, since, now clock.Millis) (next *historyState, isNew bool) {
	next = &historyState{
		since: max(min(current.since, since), now-historySpan), seen: maps.Clone(current.seen), mixed: map[PoolID]clock.Millis{},
	}
	for _, added := range sightings {
		id := sightingKey{pool: added.pool, release: added.release}
		known, ok := next.seen[id]
		switch {
		case ok:
			known.last = max(known.last, added.last)
		case len(next.seen) >= maxSightings:
			// What isn't recorded must not count as absent.
			next.since = now
			continue
		default:
			known, isNew = added, true
		}
		next.seen[id] = known
	}
	maps.DeleteFunc(next.seen, func(_ sightingKey, seen sighting) bool { return seen.last < now-historySpan })
	firsts := map[PoolID][]clock.Millis{}
	for id, seen := range next.seen {
		firsts[id.pool] = append(firsts[id.pool], seen.first)
	}
	for pool, times := range firsts {
		if len(times) > 1 {
			slices.Sort(times)
			next.mixed[pool] = times[1]
		}
	}
	return next, isNew
}

// alone returns the release that alone has served in the pool for the span, and false if
// there were several, none, or the node doesn't know what served.
func (history *history) alone(pool PoolID, span, now clock.Millis) (ID, bool) {
	current := history.state.Load()
	if current.since > now-span {
		return 0, false
	}
	var alone ID
	for id, seen := range current.seen {
		if id.pool != pool || seen.last < now-span {
			continue
		}
		if alone != 0 {
			return 0, false
		}
		alone = id.release
	}
	return alone, alone != 0
}

// mixedSince returns since when several releases of the pool are known, and false if only
// one is.
func (history *history) mixedSince(pool PoolID) (clock.Millis, bool) {
	since, ok := history.state.Load().mixed[pool]
	return since, ok
}

// latest returns at most the number of sightings, the latest first, and the time from
// which on they are complete.
func (history *history) latest(limit int, now clock.Millis) (since clock.Millis, sightings []sighting) {
	current := history.state.Load()
	sightings = slices.SortedFunc(maps.Values(current.seen), func(a, b sighting) int { return int(b.last - a.last) })
	if len(sightings) > limit {
		return now, sightings[:limit]
	}
	return current.since, sightings
}
