// Package burn measures how fast each route and client account spends its
// error budget: the share of requests that may miss the route's targets.
//
// Each request ends with one outcome. The counters are ring buffers of buckets,
// one minute wide for the windows of 5 minutes and 1 hour, and ten minutes wide
// for the window of 6 hours. The request path only loads a pointer and adds to
// atomics; an expired bucket is replaced by a compare-and-swap, so no count is
// lost or counted twice.
//
// With an objective of 95 in 100, a burn rate of 1 spends the budget exactly:
//
//	100 requests, 5 late     -> bad share 0.05 / budget 0.05 = burn rate 1
//	100 requests, 72 refused -> bad share 0.72 / budget 0.05 = burn rate 14.4
//
// Reports of several nodes are merged by adding their counts.
package burn

import (
	"maps"
	"math"
	"sync/atomic"

	"sapphirehead/internal/clock"
)

// Outcome is the result of one request.
type Outcome int

// The outcomes. All but Good spend the error budget.
const (
	// Good requests kept every target of their route.
	Good Outcome = iota
	// LateFirst requests got their first token, or the service's response, after the
	// route's target.
	LateFirst
	// LateBetween requests had too many late gaps between tokens.
	LateBetween
	// LateWhole requests had no complete response by their deadline.
	LateWhole
	// Refused requests were not run.
	Refused
	// Failed requests ended with an error or an unknown outcome.
	Failed
	// OutcomeCount is the number of outcomes.
	OutcomeCount int = iota
)

// Names of outcomes in messages and reports.
var outcomeNames = [OutcomeCount]string{"good", "lateFirst", "lateBetween", "lateWhole", "refused", "failed"}

// String returns the name of the outcome.
func (outcome Outcome) String() string { return outcomeNames[outcome] }

// Window is a time span over which a burn rate is computed.
type Window int

// The windows.
const (
	Window5Minutes Window = iota
	Window1Hour
	Window6Hours
	// WindowCount is the number of windows.
	WindowCount int = iota
)

// String returns the name of the window.
func (window Window) String() string { return [WindowCount]string{"5m", "1h", "6h"}[window] }

const (
	fineWidth   = 1 * clock.Minute
	coarseWidth = 10 * clock.Minute
	// fineSlots and coarseSlots are the numbers of buckets of each width: one more
	// than the longest window has. A sum that races with the start of a new bucket
	// still finds its oldest one.
	fineSlots   = 61
	coarseSlots = 37
	// worthScale is the number of counted units per unit of worth.
	worthScale = 1000
)

// DefaultSeries bounds the pairs of route and client account with separate
// counters. Further pairs share those of their route and OtherAccounts.
const DefaultSeries = 1024

// OtherAccounts is the name under which accounts beyond the bound are counted.
const OtherAccounts = "other"

type seriesKey struct {
	route   string
	account string
}

// bucket counts the requests that ended within one time span.
type bucket struct {
	number int64
	counts [OutcomeCount]atomic.Int64
	worth  atomic.Int64
}

// ring is a ring buffer of the latest buckets of one width.
type ring struct {
	width   clock.Millis
	buckets []atomic.Pointer[bucket]
}

func newRing(width clock.Millis, slots int) ring {
	return ring{width: width, buckets: make([]atomic.Pointer[bucket], slots)}
}

func (ring *ring) bucketAt(now clock.Millis) *bucket {
	number := int64(now / ring.width)
	slot := &ring.buckets[number%int64(len(ring.buckets))]
	for {
		current := slot.Load()
		if current != nil && current.number >= number {
			return current
		}
		fresh := &bucket{number: number}
		if slot.CompareAndSwap(current, fresh) {
			return fresh
		}
	}
}

// sum returns the sum over the latest count buckets, including the current one.
func (ring *ring) sum(now clock.Millis, count int64) Counts {
	var counts Counts
	newest := int64(now / ring.width)
	for i := range ring.buckets {
		bucket := ring.buckets[i].Load()
		if bucket != nil && bucket.number > newest-count && bucket.number <= newest {
			counts = counts.Add(bucket.read())
		}
	}
	return counts
}

func (bucket *bucket) read() Counts {
	var counts Counts
	for i := range bucket.counts {
		counts.byOutcome[i] = bucket.counts[i].Load()
	}
	counts.worth = bucket.worth.Load()
	return counts
}

func (bucket *bucket) add(outcome Outcome, worth int64) {
	bucket.counts[outcome].Add(1)
	bucket.worth.Add(worth)
}

// series holds the counters of one pair of route and client account.
type series struct {
	fine   ring
	coarse ring
}

func newSeries() *series {
	return &series{fine: newRing(fineWidth, fineSlots), coarse: newRing(coarseWidth, coarseSlots)}
}

// Meter counts the outcomes of one node's requests. It is safe for concurrent use.
type Meter struct {
	clock     *clock.Clock
	objective float64
	limit     int
	current   atomic.Pointer[map[seriesKey]*series]
}

// New returns a meter for the objective, a share of at least 0 and below 1, with
// separate counters for at most limit pairs of route and client account.
func New(clock *clock.Clock, objective float64, limit int) *Meter {
	meter := &Meter{clock: clock, objective: objective, limit: limit}
	meter.current.Store(&map[seriesKey]*series{})
	return meter
}

// Count counts one request of the account on the route, and adds its worth to the
// worth served.
func (meter *Meter) Count(route, account string, outcome Outcome, worth float64) {
	series := meter.series(seriesKey{route: route, account: account})
	now, units := meter.clock.Wall(), int64(math.Round(worth*worthScale))
	series.fine.bucketAt(now).add(outcome, units)
	series.coarse.bucketAt(now).add(outcome, units)
}

func (meter *Meter) series(pair seriesKey) *series {
	for {
		current := meter.current.Load()
		if existing, ok := (*current)[pair]; ok {
			return existing
		}
		if len(*current) >= meter.limit && pair.account != OtherAccounts {
			pair.account = OtherAccounts
			continue
		}
		extended := maps.Clone(*current)
		extended[pair] = newSeries()
		if meter.current.CompareAndSwap(current, &extended) {
			return extended[pair]
		}
	}
}

// Report returns the counts of this node.
func (meter *Meter) Report() Report {
	now := meter.clock.Wall()
	report := Report{objective: meter.objective, nodes: 1}
	points := map[pointKey]Counts{}
	for key, series := range *meter.current.Load() {
		row := Row{route: key.route, account: key.account}
		row.windows[Window5Minutes] = series.fine.sum(now, int64(5*clock.Minute/fineWidth))
		row.windows[Window1Hour] = series.fine.sum(now, int64(clock.Hour/fineWidth))
		row.windows[Window6Hours] = series.coarse.sum(now, int64(6*clock.Hour/coarseWidth))
		report.rows = append(report.rows, row)
		series.coarse.points(key.route, now, points)
	}
	report.points = sortedPoints(points)
	report.sort()
	return report
}

func (ring *ring) points(route string, now clock.Millis, points map[pointKey]Counts) {
	oldest := int64((now - 6*clock.Hour) / ring.width)
	for i := range ring.buckets {
		bucket := ring.buckets[i].Load()
		if bucket != nil && bucket.number > oldest {
			key := pointKey{route: route, startsAt: clock.Millis(bucket.number) * ring.width}
			points[key] = points[key].Add(bucket.read())
		}
	}
}
