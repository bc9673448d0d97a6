package backend

import (
	"math"
	"sync/atomic"

	"sapphirehead/internal/clock"
)

// Speeds of a server of which nothing is known yet.
const (
	defaultPrefillTokens = 10.0
	defaultServeMillis   = 3000.0
	// speedWeight is the weight of one observation in a running mean.
	speedWeight = 0.1
)

// mean is a running mean that many goroutines may update. A lost update costs
// one observation.
type mean struct {
	bits atomic.Uint64
}

func (mean *mean) value(fallback float64) float64 {
	if bits := mean.bits.Load(); bits != 0 {
		return math.Float64frombits(bits)
	}
	return fallback
}

func (mean *mean) observe(value, weight, fallback float64) {
	known := mean.value(fallback)
	mean.bits.Store(math.Float64bits(known + (value-known)*weight))
}

// Work is what this node has sent to one server, and the speed that its
// answers showed.
type Work struct {
	sent    atomic.Int64
	prefill mean
	serve   mean
}

// Send counts prompt tokens that the server will have to read for this node.
func (work *Work) Send(tokens int) { work.sent.Add(int64(tokens)) }

// Sent returns the prompt tokens sent so far.
func (work *Work) Sent() int64 { return work.sent.Load() }

// PrefillTokens returns the prompt tokens that the server reads in a
// millisecond.
func (work *Work) PrefillTokens() float64 { return work.prefill.value(defaultPrefillTokens) }

// ServeMillis returns the mean time that a request stays in the batch.
func (work *Work) ServeMillis() float64 { return work.serve.value(defaultServeMillis) }

// ObservePrefill takes in that the server read tokens in the time, without a
// queue before them.
func (work *Work) ObservePrefill(tokens int, taken clock.Millis) {
	if tokens > 0 && taken > 0 {
		work.prefill.observe(float64(tokens)/float64(taken), speedWeight, defaultPrefillTokens)
	}
}

// ObserveServe takes in the time from first to last token of an answer.
func (work *Work) ObserveServe(taken clock.Millis) {
	work.serve.observe(float64(taken), speedWeight, defaultServeMillis)
}
