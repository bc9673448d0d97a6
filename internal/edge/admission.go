package edge

import (
	"context"
	"expvar"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"

	"sapphirehead/internal/admission"
	"sapphirehead/internal/caller"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/directory"
	"sapphirehead/internal/node"
	"sapphirehead/internal/placement"
	"sapphirehead/internal/pool"
	"sapphirehead/internal/request"
	"sapphirehead/internal/route"
)

const (
	// boundAdmission and boundAllotment name the bound by which a request was refused in
	// the log; the other names are those of the outcomes of attempts.
	boundAdmission = "admission"
	boundAllotment = "allotment"
	// longPromptShare is the share of the target from which a prompt's own prefill says
	// more about the prompt than about the load.
	longPromptShare = 0.5
	// returnedAfter is the least time by which a caller must have less time left than is
	// usual for the route to count as returned after a Retry-After, of which none is
	// shorter.
	returnedAfter = 180 * clock.Millisecond
	// usualTimeoutFall divides the difference by which a shorter timeout of a caller
	// lowers the usual one of its route.
	usualTimeoutFall = 64
)

// admissions holds the admission of each pool.
type admissions struct {
	byPool sync.Map // Name to *admission.Admission.
	// timeouts holds the usual timeout of each route's callers.
	timeouts sync.Map // Name to *atomic.Int64.
	weights  atomic.Pointer[accountWeights]
}

// accountWeights are the weights of the client accounts of a configuration.
type accountWeights struct {
	of     *directory.Directory
	byName map[string]float64
}

func newAdmissions() *admissions { return &admissions{} }

// admission returns the admission of the pool.
func (edge *Edge) admission(pool string) *admission.Admission {
	if known, ok := edge.admissions.byPool.Load(pool); ok {
		return known.(*admission.Admission)
	}
	known, _ := edge.admissions.byPool.LoadOrStore(pool, admission.New(rand.Float64, edge.accountWeight))
	return known.(*admission.Admission)
}

// accountWeight returns the weight of the client account in the active configuration.
func (edge *Edge) accountWeight(account string) float64 {
	current := edge.directory.Current()
	if current == nil {
		return 1
	}
	weights := edge.admissions.weights.Load()
	if weights == nil || weights.of != current {
		weights = &accountWeights{of: current, byName: caller.Weights(current.Accounts())}
		edge.admissions.weights.Store(weights)
	}
	if weight, ok := weights.byName[account]; ok {
		return weight
	}
	return 1
}

// updateAdmissions estimates the capacity of all pools until the context ends.
func (edge *Edge) updateAdmissions(ctx context.Context) {
	for edge.clock.Wait(ctx, admission.UpdateInterval) == nil {
		edge.admissions.byPool.Range(func(_, known any) bool {
			known.(*admission.Admission).Update(edge.clock.Now())
			return true
		})
	}
}

// admissionSums returns the sums of this node for its peers.
func (edge *Edge) admissionSums() []admission.Sums {
	var sums []admission.Sums
	edge.admissions.byPool.Range(func(pool, known any) bool {
		sums = append(sums, known.(*admission.Admission).Sums(pool.(string), edge.clock.Now()))
		return true
	})
	return sums
}

// mergeAdmission applies a peer's sums for the pools of the active configuration.
func (edge *Edge) mergeAdmission(bulletin node.Bulletin, now clock.Millis) {
	current := edge.directory.Current()
	if current == nil {
		return
	}
	for _, sums := range bulletin.Admission() {
		if _, ok := current.Pool(sums.Pool()); ok {
			edge.admission(sums.Pool()).Merge(bulletin.Host(), bulletin.Incarnation(), bulletin.Sequence(), sums, now)
		}
	}
}

// ticket is a request's admission to its pool.
type ticket struct {
	admission *admission.Admission
	request   admission.Request
	verdict   admission.Verdict
	// isOpen is set from the admission until the response begins or the request ends.
	isOpen     bool
	admittedAt clock.Millis
	turnedAway bool
	bound      string
}

// offer offers the request to its pool. It reports false after it has refused the request.
// A caller that takes up a stream has been admitted before.
func (requestContext *requestContext) offer() bool {
	edge, ticket := requestContext.edge, &requestContext.ticket
	poolConfig, ok := requestContext.directory.Pool(requestContext.pool)
	if !ok || requestContext.takesUp() || !edge.settings.Load().AdmissionByAccount() {
		return true
	}
	ticket.admission = edge.admission(requestContext.pool)
	ticket.request = requestContext.offered(poolConfig)
	now := edge.clock.Now()
	ticket.verdict = ticket.admission.Offer(ticket.request, now)
	if !ticket.verdict.Admitted() {
		ticket.bound = boundAdmission
		requestContext.refuse("the pool is overloaded", ticket.verdict.RetryAfter())
		return false
	}
	ticket.isOpen, ticket.admittedAt = true, now
	return true
}

// offered returns the request as the pool's admission sees it. At an engine it costs the
// tokens of the prompt that no cache holds and those of the output, elsewhere 1.
func (requestContext *requestContext) offered(poolConfig pool.Pool) admission.Request {
	edge, call := requestContext.edge, requestContext.call
	left := requestContext.deadline() - edge.clock.Now()
	target, cost := requestContext.route.FirstToken(), 1
	if poolConfig.Kind() == pool.KindRunner {
		prefill := placement.PrefillTokens(call.Prompt())
		cost = prefill + call.Tokens() - call.Prompt().Tokens()
		if float64(prefill)/edge.placement.Speed(requestContext.pool).PrefillRate() > longPromptShare*float64(target) {
			target = 0
		}
	}
	offered := admission.NewRequest(admission.NewClass(requestContext.accountName(), requestContext.rank()), cost, left).WithTarget(target)
	if call.Timeout() > 0 && edge.admissions.usualTimeout(requestContext.route, call.Timeout())-call.Timeout() >= returnedAfter {
		return offered.WithReturned()
	}
	return offered
}

// usualTimeout returns the usual timeout of the route's callers, with one more of them.
// It is near the longest one, as callers that return have less time left.
func (admissions *admissions) usualTimeout(routeConfig route.Route, timeout clock.Millis) clock.Millis {
	known, ok := admissions.timeouts.Load(routeConfig.Name())
	if !ok {
		known, _ = admissions.timeouts.LoadOrStore(routeConfig.Name(), &atomic.Int64{})
	}
	usual := known.(*atomic.Int64)
	before := clock.Millis(usual.Load())
	// Of two concurrent requests one may be lost.
	usual.Store(int64(max(timeout, before-(before-timeout)/usualTimeoutFall)))
	return max(before, timeout)
}

// beginTicket records that the response begins.
func (requestContext *requestContext) beginTicket() {
	ticket := &requestContext.ticket
	if !ticket.isOpen {
		return
	}
	ticket.isOpen = false
	ticket.admission.Begun(ticket.request, ticket.admittedAt, requestContext.edge.clock.Now()-requestContext.arrived > requestContext.route.FirstToken())
}

// endTicket records the end of a request whose response did not begin.
func (requestContext *requestContext) endTicket() {
	ticket := &requestContext.ticket
	if ticket.isOpen {
		ticket.isOpen = false
		ticket.admission.Ended(ticket.request, ticket.admittedAt, ticket.turnedAway)
	}
}

// recordBound records the bound by which an admitted request is refused.
func (requestContext *requestContext) recordBound(outcome request.Outcome) {
	requestContext.ticket.bound = outcome.String()
	requestContext.ticket.turnedAway = outcome == request.OutcomeTooLate
}

// logAdmission adds the bound and the figures behind it to the line of a request that was
// refused or answered late.
func (requestContext *requestContext) logAdmission(event *zerolog.Event) {
	ticket := &requestContext.ticket
	target := requestContext.route.FirstToken()
	isLate := target > 0 && requestContext.firstEvent > target
	if ticket.bound == "" && !isLate {
		return
	}
	event.Str("bound", ticket.bound).Int("rank", requestContext.rank()).
		Float64("sharePerSecond", ticket.verdict.Share()).Float64("capacityPerSecond", ticket.verdict.Capacity()).
		Float64("offeredPerSecond", ticket.verdict.Offered()).Int64("figuresAgeMillis", int64(ticket.verdict.Age()))
}

// publishAdmissions adds the figures of all pools to the metrics.
func (edge *Edge) publishAdmissions() {
	edge.counters.values.Set("admission", expvar.Func(func() any {
		pools := map[string]any{}
		edge.admissions.byPool.Range(func(pool, known any) bool {
			pools[pool.(string)] = admissionMetrics(known.(*admission.Admission))
			return true
		})
		return pools
	}))
}

func admissionMetrics(admission *admission.Admission) map[string]any {
	figures := admission.Figures()
	accounts := map[string]map[string]map[string]int64{}
	for _, class := range admission.ClassTotals() {
		name := class.Class().Account()
		if accounts[name] == nil {
			accounts[name] = map[string]map[string]int64{}
		}
		accounts[name][strconv.Itoa(class.Class().Rank())] = map[string]int64{"offered": class.Offered(), "returned": class.Returned(), "admitted": class.Admitted()}
	}
	return map[string]any{
		"overloaded": figures.Overloaded(), "capacityPerSecond": figures.Capacity(), "offeredPerSecond": figures.Offered(),
		"waitShare": figures.WaitShare(), "lateShare": figures.LateShare(), "figuresAgeMillis": figures.Age(), "accounts": accounts,
	}
}
