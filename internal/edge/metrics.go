package edge

import (
	"expvar"
	"net/http"
	"strconv"

	"github.com/gorilla/mux"

	"sapphirehead/internal/clock"
)

// readyTimeout bounds the head of a request at the addresses for readiness and
// metrics.
const readyTimeout = 5_000_000_000

// counters are the node's own counts since its start.
type counters struct {
	values           *expvar.Map
	connections      *expvar.Int
	storeCalls       *expvar.Int
	retriesRefused   *expvar.Int
	bulletinsDropped *expvar.Int
	cloudCalls       *expvar.Int
	answers          *expvar.Map
	outcomes         *expvar.Map
	latency          *latencies
}

func newCounters() *counters {
	counters := &counters{values: new(expvar.Map).Init(), answers: new(expvar.Map).Init(), outcomes: new(expvar.Map).Init(), latency: newLatencies()}
	for name, value := range map[string]**expvar.Int{
		"connectionsOpened": &counters.connections, "storeCalls": &counters.storeCalls, "retriesRefused": &counters.retriesRefused,
		"bulletinsDropped": &counters.bulletinsDropped, "cloudCalls": &counters.cloudCalls,
	} {
		*value = new(expvar.Int)
		counters.values.Set(name, *value)
	}
	counters.values.Set("answers", counters.answers)
	counters.values.Set("outcomes", counters.outcomes)
	counters.latency.publish(counters.values)
	return counters
}

// PublishDroppedLines serves the number of log lines that were dropped.
func (edge *Edge) PublishDroppedLines(dropped func() int64) {
	edge.counters.values.Set("logLinesDropped", expvar.Func(func() any { return dropped() }))
}

// metricsHandler serves the counters as JSON text.
func (edge *Edge) metricsHandler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/metrics", func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Content-Type", "application/json")
		writer.Write([]byte(edge.counters.values.String()))
	}).Methods(http.MethodGet)
	return router
}

// readyHandler answers the balancer's question.
func (edge *Edge) readyHandler() http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		if !edge.isReady() {
			writer.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		writer.WriteHeader(http.StatusOK)
	})
}

// isReady reports whether callers should be sent here: the node knows a
// configuration and backend servers, and is not about to stop.
func (edge *Edge) isReady() bool {
	return !edge.stopping.Load() && edge.directory.Current() != nil && len(edge.fleet.Current().Servers()) > 0
}

// record logs the end of a request.
func (visit *visit) record() {
	edge := visit.edge
	edge.counters.answers.Add(strconv.Itoa(visit.status), 1)
	edge.counters.latency.observe(visit.route.Name(), visit.first, edge.clock.Now()-visit.arrived)
	event := edge.log.Info()
	if visit.status >= http.StatusBadRequest {
		event = edge.log.Warn()
	}
	event.Str("requestId", visit.call.ID()).Str("route", visit.route.Name()).Str("account", visit.accountName()).
		Str("pool", visit.pool).Int("status", visit.status).Str("reason", visit.reason).Int("attempts", visit.attempts).
		Int64("takenMillis", int64(edge.clock.Now()-visit.arrived)).Int64("firstMillis", int64(visit.first)).
		Float64("expectedMillis", visit.choice.Wait()).Int("reads", visit.choice.UncachedTokens()).Bool("home", visit.choice.Preferred()).
		Int("choices", visit.choice.Candidates()).Int64("configuration", visit.version()).
		Int64("serversAgeMillis", int64(age(&edge.contact.servers, edge.clock.Now()))).
		Msg("request")
}

func (visit *visit) version() int64 {
	if visit.directory == nil {
		return 0
	}
	return visit.directory.Version()
}

// noteFirstEvent records the time to the first event.
func (visit *visit) noteFirstEvent() {
	visit.first = max(clock.Millisecond, visit.edge.clock.Now()-visit.arrived)
}
