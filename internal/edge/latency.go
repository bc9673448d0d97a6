package edge

import (
	"expvar"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sapphirehead/internal/clock"
)

const (
	// maxLatencyMillis is the longest latency that a histogram records; longer
	// ones count as this. latencyDigits is the number of significant digits.
	maxLatencyMillis = 120_000
	latencyDigits    = 2
	// latencyQueue bounds the latencies that wait to be recorded.
	latencyQueue = 1024
)

// latencyPercents are the published percentiles.
var latencyPercents = map[string]float64{"p50": 50, "p90": 90, "p99": 99}

// gapPercents are the published percentiles of the differences from estimates.
var gapPercents = map[string]float64{"p10": 10, "p50": 50, "p90": 90, "p99": 99}

// latencies holds histograms of the time to the first event and to the end of a
// response, by route. Histograms need a lock, so requests only queue their
// latencies and never wait for it.
type latencies struct {
	times      chan latency
	mutex      sync.Mutex
	total      map[string]*hdrhistogram.Histogram
	firstEvent map[string]*hdrhistogram.Histogram
	// above and below hold, by pool, by how much the times to the first event, or of the
	// responses of services, were above and below what was expected at the choice; 0 for
	// those on the other side.
	gaps    chan estimateGap
	above   map[string]*hdrhistogram.Histogram
	below   map[string]*hdrhistogram.Histogram
	dropped *expvar.Int
}

// estimateGap is the actual time less the expected one.
type estimateGap struct {
	pool string
	gap  clock.Millis
}

type latency struct {
	route      string
	firstEvent clock.Millis
	total      clock.Millis
}

func newLatencies() *latencies {
	return &latencies{
		times: make(chan latency, latencyQueue), total: map[string]*hdrhistogram.Histogram{},
		firstEvent: map[string]*hdrhistogram.Histogram{}, dropped: new(expvar.Int),
		gaps: make(chan estimateGap, latencyQueue), above: map[string]*hdrhistogram.Histogram{}, below: map[string]*hdrhistogram.Histogram{},
	}
}

// observe queues the latencies of one response; first is 0 if there was no
// event.
func (latencies *latencies) observe(route string, firstEvent, total clock.Millis) {
	select {
	case latencies.times <- latency{route: route, firstEvent: firstEvent, total: total}:
	default:
		latencies.dropped.Add(1)
	}
}

// observeGap queues the difference between a time and what was expected.
func (latencies *latencies) observeGap(pool string, gap clock.Millis) {
	select {
	case latencies.gaps <- estimateGap{pool: pool, gap: gap}:
	default:
		latencies.dropped.Add(1)
	}
}

func (latencies *latencies) publish(values *expvar.Map) {
	values.Set("wholeAnswerMillis", expvar.Func(func() any { return latencies.percentiles(latencies.total) }))
	values.Set("firstEventMillis", expvar.Func(func() any { return latencies.percentiles(latencies.firstEvent) }))
	values.Set("estimateGapMillis", expvar.Func(func() any { return latencies.gapPercentiles() }))
	values.Set("timesLost", latencies.dropped)
}

// flush records the queued latencies in the histograms.
func (latencies *latencies) flush() {
	latencies.mutex.Lock()
	defer latencies.mutex.Unlock()
	latencies.recordQueued()
}

// percentiles records the queued latencies and returns the count and the
// percentiles in milliseconds, by route.
func (latencies *latencies) percentiles(histograms map[string]*hdrhistogram.Histogram) map[string]map[string]int64 {
	latencies.mutex.Lock()
	defer latencies.mutex.Unlock()
	latencies.recordQueued()
	byRoute := map[string]map[string]int64{}
	for route, histogram := range histograms {
		byRoute[route] = map[string]int64{"count": histogram.TotalCount()}
		for name, percent := range latencyPercents {
			byRoute[route][name] = histogram.ValueAtQuantile(percent)
		}
	}
	return byRoute
}

// gapPercentiles returns the count and the percentiles of the differences by pool.
func (latencies *latencies) gapPercentiles() map[string]map[string]int64 {
	latencies.mutex.Lock()
	defer latencies.mutex.Unlock()
	latencies.recordQueued()
	byPool := map[string]map[string]int64{}
	for pool, above := range latencies.above {
		byPool[pool] = map[string]int64{"count": above.TotalCount()}
		for name, percent := range gapPercents {
			byPool[pool][name] = above.ValueAtQuantile(percent) - latencies.below[pool].ValueAtQuantile(100-percent)
		}
	}
	return byPool
}

func (latencies *latencies) recordQueued() {
	for {
		select {
		case next := <-latencies.gaps:
			latencies.record(latencies.above, next.pool, next.gap)
			latencies.record(latencies.below, next.pool, -next.gap)
		case next := <-latencies.times:
			latencies.record(latencies.total, next.route, max(1, next.total))
			if next.firstEvent > 0 {
				latencies.record(latencies.firstEvent, next.route, next.firstEvent)
			}
		default:
			return
		}
	}
}

// record records the duration, or 0 if it is negative, under the name of a route or pool.
func (latencies *latencies) record(histograms map[string]*hdrhistogram.Histogram, name string, duration clock.Millis) {
	if histograms[name] == nil {
		histograms[name] = hdrhistogram.New(1, maxLatencyMillis, latencyDigits)
	}
	if histograms[name].RecordValue(min(max(0, int64(duration)), maxLatencyMillis)) != nil {
		latencies.dropped.Add(1)
	}
}
