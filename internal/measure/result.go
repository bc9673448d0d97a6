package measure

import (
	"maps"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sapphirehead/internal/route"
)

// kindResult counts the requests of one kind.
type kindResult struct {
	offered  int
	inTime   int
	refused  int
	lost     int
	late     int
	worth    float64
	maxWorth float64
}

// result holds the counters of one run.
type result struct {
	cost        float64
	recomputed  int64
	kinds       map[string]*kindResult
	accounts    map[string]*kindResult
	counted     map[string]bool
	firstTokens *hdrhistogram.Histogram
	gaps        *hdrhistogram.Histogram
}

// maxRecordedMicros is the upper bound of the histograms.
const maxRecordedMicros = 120_000_000

func newResult() *result {
	return &result{
		kinds: map[string]*kindResult{}, accounts: map[string]*kindResult{}, counted: map[string]bool{},
		firstTokens: hdrhistogram.New(1, maxRecordedMicros, 3), gaps: hdrhistogram.New(1, maxRecordedMicros, 3),
	}
}

func (result *result) counters(call *call) (kind, account *kindResult) {
	return counter(result.kinds, call.req.Route().Name()), counter(result.accounts, call.req.Account())
}

func counter(counters map[string]*kindResult, name string) *kindResult {
	if counters[name] == nil {
		counters[name] = &kindResult{}
	}
	return counters[name]
}

func (result *result) offered(call *call) {
	kind, account := result.counters(call)
	kind.offered++
	account.offered++
	kind.maxWorth += call.req.Route().Worth()
	account.maxWorth += call.req.Route().Worth()
}

func (result *result) refused(call *call) {
	kind, account := result.counters(call)
	kind.refused++
	account.refused++
}

func (result *result) lost(call *call) {
	kind, account := result.counters(call)
	kind.lost++
	account.lost++
}

func (result *result) firstToken(_ *call, duration micros) {
	_ = result.firstTokens.RecordValue(min(int64(duration), maxRecordedMicros))
}

func (result *result) gap(duration micros) {
	_ = result.gaps.RecordValue(min(int64(duration), maxRecordedMicros))
}

// completed counts a complete response, and its worth if it met its targets. An
// idempotency key counts once.
func (result *result) completed(call *call, now micros) {
	kind, account := result.counters(call)
	if !inTime(call, now) {
		kind.late++
		account.late++
		return
	}
	if key := call.req.Key(); key != "" {
		if result.counted[key] {
			return
		}
		result.counted[key] = true
	}
	kind.inTime++
	account.inTime++
	kind.worth += call.req.Route().Worth()
	account.worth += call.req.Route().Worth()
}

// inTime reports whether a response met its targets: the time to the first
// token (or to the service's response), the mean time between tokens, and the
// deadline.
func inTime(call *call, now micros) bool {
	reqRoute := call.req.Route()
	if reqRoute.Kind() == route.KindService {
		return now-call.arrival.time <= microsOf(reqRoute.FirstToken())
	}
	if call.firstToken-call.arrival.time > microsOf(reqRoute.FirstToken()) || now-call.arrival.time > microsOf(reqRoute.Deadline()) {
		return false
	}
	gaps := micros(max(1, call.arrival.responseTokens-1))
	return call.lastToken-call.firstToken <= gaps*microsOf(reqRoute.BetweenTokens())
}

// total sums the counters of all kinds.
func (result *result) total() kindResult {
	var total kindResult
	for _, name := range slices.Sorted(maps.Keys(result.kinds)) {
		kind := result.kinds[name]
		total.offered += kind.offered
		total.inTime += kind.inTime
		total.refused += kind.refused
		total.lost += kind.lost
		total.late += kind.late
		total.worth += kind.worth
		total.maxWorth += kind.maxWorth
	}
	return total
}

// hostCost returns the price of all hosts during the time in which requests
// arrived.
func (result *result) hostCost() float64 {
	return result.cost * float64(arrivalsEnd) / float64(3600*microsPerSec)
}

// costPerResponse returns the hosts' cost per response in time.
func (result *result) costPerResponse() float64 {
	return result.hostCost() / float64(max(1, result.total().inTime))
}

// costPerWorth returns the hosts' cost per unit of worth served in time.
func (result *result) costPerWorth() float64 { return result.hostCost() / max(1, result.total().worth) }

// recomputedPerResponse returns the recomputed tokens per response in time.
func (result *result) recomputedPerResponse() float64 {
	return float64(result.recomputed) / float64(max(1, result.total().inTime))
}

// recomputedPerWorth returns the recomputed tokens per unit of worth served in
// time.
func (result *result) recomputedPerWorth() float64 {
	return float64(result.recomputed) / max(1, result.total().worth)
}

// weightedMeasure returns a deployment's weighted measure relative to another
// result of the same seed. Lower is better; the other result itself has 1.
//
//	filtrix: 2/3 x cost per response + 1/3 x recomputed tokens per response
//	tarbela: 1/3 x cost per worth    + 2/3 x recomputed tokens per worth
func (result *result) weightedMeasure(deployment deployment, baseline *result) float64 {
	cost, recomputed := result.costPerResponse()/baseline.costPerResponse(), ratio(result.recomputedPerResponse(), baseline.recomputedPerResponse())
	if deployment.daytimeOnly {
		cost, recomputed = result.costPerWorth()/baseline.costPerWorth(), ratio(result.recomputedPerWorth(), baseline.recomputedPerWorth())
	}
	return deployment.costWeight*cost + (1-deployment.costWeight)*recomputed
}

func ratio(value, baseline float64) float64 {
	if baseline == 0 {
		return 1
	}
	return value / baseline
}
