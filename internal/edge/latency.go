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
	// latencyQueue bounds the latencies that wait to be counted.
	latencyQueue = 1024
)

// latencyPercents are the published percentiles.
var latencyPercents = map[string]float64{"p50": 50, "p90": 90, "p99": 99}

// latencies holds histograms of the time to the first event and to the end of a
// response, by route. Histograms need a lock, so requests only queue their
// latencies and never wait for it.
type latencies struct {
	times   chan latency
	mutex   sync.Mutex
	whole   map[string]*hdrhistogram.Histogram
	first   map[string]*hdrhistogram.Histogram
	dropped *expvar.Int
}

type latency struct {
	route string
	first clock.Millis
	whole clock.Millis
}

func newLatencies() *latencies {
	return &latencies{
		times: make(chan latency, latencyQueue), whole: map[string]*hdrhistogram.Histogram{},
		first: map[string]*hdrhistogram.Histogram{}, dropped: new(expvar.Int),
	}
}

// observe queues the latencies of one response; first is 0 if there was no
// event.
func (latencies *latencies) observe(route string, first, whole clock.Millis) {
	select {
	case latencies.times <- latency{route: route, first: first, whole: whole}:
	default:
		latencies.dropped.Add(1)
	}
}

func (latencies *latencies) publish(values *expvar.Map) {
	values.Set("wholeAnswerMillis", expvar.Func(func() any { return latencies.percentiles(latencies.whole) }))
	values.Set("firstEventMillis", expvar.Func(func() any { return latencies.percentiles(latencies.first) }))
	values.Set("timesLost", latencies.dropped)
}

// flush counts the queued latencies.
func (latencies *latencies) flush() {
	latencies.mutex.Lock()
	defer latencies.mutex.Unlock()
	latencies.countQueued()
}

// percentiles counts the queued latencies and returns percentiles by route.
func (latencies *latencies) percentiles(of map[string]*hdrhistogram.Histogram) map[string]map[string]int64 {
	latencies.mutex.Lock()
	defer latencies.mutex.Unlock()
	latencies.countQueued()
	served := map[string]map[string]int64{}
	for route, histogram := range of {
		served[route] = map[string]int64{"count": histogram.TotalCount()}
		for name, percent := range latencyPercents {
			served[route][name] = histogram.ValueAtQuantile(percent)
		}
	}
	return served
}

func (latencies *latencies) countQueued() {
	for {
		select {
		case next := <-latencies.times:
			latencies.count(latencies.whole, next.route, next.whole)
			if next.first > 0 {
				latencies.count(latencies.first, next.route, next.first)
			}
		default:
			return
		}
	}
}

func (latencies *latencies) count(into map[string]*hdrhistogram.Histogram, route string, taken clock.Millis) {
	if into[route] == nil {
		into[route] = hdrhistogram.New(1, maxLatencyMillis, latencyDigits)
	}
	if into[route].RecordValue(min(max(1, int64(taken)), maxLatencyMillis)) != nil {
		latencies.dropped.Add(1)
	}
}
