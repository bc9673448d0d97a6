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

// latencies holds histograms of the time to the first event and to the end of a
// response, by route. Histograms need a lock, so requests only queue their
// latencies and never wait for it.
type latencies struct {
	times      chan latency
	mutex      sync.Mutex
	total      map[string]*hdrhistogram.Histogram
	firstEvent map[string]*hdrhistogram.Histogram
	dropped    *expvar.Int
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

func (latencies *latencies) publish(values *expvar.Map) {
	values.Set("wholeAnswerMillis", expvar.Func(func() any { return latencies.percentiles(latencies.total) }))
	values.Set("firstEventMillis", expvar.Func(func() any { return latencies.percentiles(latencies.firstEvent) }))
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

func (latencies *latencies) recordQueued() {
	for {
		select {
		case next := <-latencies.times:
			latencies.record(latencies.total, next.route, next.total)
			if next.firstEvent > 0 {
				latencies.record(latencies.firstEvent, next.route, next.firstEvent)
			}
		default:
			return
		}
	}
}

func (latencies *latencies) record(histograms map[string]*hdrhistogram.Histogram, route string, duration clock.Millis) {
	if histograms[route] == nil {
		histograms[route] = hdrhistogram.New(1, maxLatencyMillis, latencyDigits)
	}
	if histograms[route].RecordValue(min(max(1, int64(duration)), maxLatencyMillis)) != nil {
		latencies.dropped.Add(1)
	}
}
