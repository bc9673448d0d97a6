package edge

import (
	"expvar"
	"net/http"
	"strconv"

	"github.com/gorilla/mux"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/operator/operatorhttp"
)

// counters are the node's metrics since its start.
type counters struct {
	values           *expvar.Map
	connections      *expvar.Int
	storeCalls       *expvar.Int
	retriesRefused   *expvar.Int
	bulletinsDropped *expvar.Int
	cloudCalls       *expvar.Int
	responses        *expvar.Map
	outcomes         *expvar.Map
	uncontrolled     *expvar.Map
	latency          *latencies
}

func newCounters() *counters {
	counters := &counters{values: new(expvar.Map).Init(), responses: new(expvar.Map).Init(), outcomes: new(expvar.Map).Init(), uncontrolled: new(expvar.Map).Init(), latency: newLatencies()}
	for name, value := range map[string]**expvar.Int{
		"connectionsOpened": &counters.connections, "storeCalls": &counters.storeCalls, "retriesRefused": &counters.retriesRefused,
		"bulletinsDropped": &counters.bulletinsDropped, "cloudCalls": &counters.cloudCalls,
	} {
		*value = new(expvar.Int)
		counters.values.Set(name, *value)
	}
	counters.values.Set("answers", counters.responses)
	counters.values.Set("outcomes", counters.outcomes)
	counters.values.Set("uncontrolled", counters.uncontrolled)
	counters.latency.publish(counters.values)
	return counters
}

// PublishDroppedLines adds the number of dropped log lines to the metrics.
func (edge *Edge) PublishDroppedLines(dropped func() int64) {
	edge.counters.values.Set("logLinesDropped", expvar.Func(func() any { return dropped() }))
}

// publishQuarantines adds the number of quarantines to the metrics.
func (edge *Edge) publishQuarantines() {
	edge.counters.values.Set("quarantines", expvar.Func(func() any { return edge.quarantine.Size() }))
}

// metricsHandler serves the counters as JSON text.
func (edge *Edge) metricsHandler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/metrics", func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Content-Type", "application/json")
		writer.Write([]byte(edge.counters.values.String()))
	}).Methods(http.MethodGet)
	router.HandleFunc(operatorhttp.RolloutsPath, edge.serveRollouts).Methods(http.MethodGet)
	router.HandleFunc("/where", edge.serveWhere).Methods(http.MethodGet)
	return router
}

// readyHandler answers the load balancer's readiness probes.
func (edge *Edge) readyHandler() http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		if !edge.isReady() {
			writer.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		writer.WriteHeader(http.StatusOK)
	})
}

// isReady reports whether callers should be sent here: the node has a
// configuration and backend servers, and is not stopping.
func (edge *Edge) isReady() bool {
	return !edge.stopping.Load() && edge.directory.Current() != nil && len(edge.fleet.Current().Servers()) > 0
}

// record logs the request and updates the metrics when it has ended.
func (requestContext *requestContext) record() {
	edge := requestContext.edge
	edge.counters.responses.Add(strconv.Itoa(requestContext.status), 1)
	edge.counters.latency.observe(requestContext.route.Name(), requestContext.firstEvent, edge.clock.Now()-requestContext.arrived)
	event := edge.log.Info()
	if requestContext.status >= http.StatusBadRequest {
		event = edge.log.Warn()
	}
	requestContext.logAdmission(event)
	event.Str("requestId", requestContext.call.ID()).Str("route", requestContext.route.Name()).Str("account", requestContext.accountName()).
		Str("pool", requestContext.pool).Int("status", requestContext.status).Str("reason", requestContext.reason).Int("attempts", requestContext.attemptCount).
		Int64("takenMillis", int64(edge.clock.Now()-requestContext.arrived)).Int64("firstMillis", int64(requestContext.firstEvent)).
		Float64("expectedMillis", requestContext.choice.Wait()).Int("reads", requestContext.choice.UncachedTokens()).Bool("home", requestContext.choice.Preferred()).
		Int("choices", requestContext.choice.Candidates()).Int64("configuration", requestContext.version()).
		Int64("serversAgeMillis", int64(ageOf(&edge.storeResponses.servers, edge.clock.Now()))).
		Str("resumes", requestContext.call.BegunBy()).Str("softwareVersion", requestContext.softwareVersion()).
		Msg("request")
}

// softwareVersion returns the version of the software of the server chosen last, or an
// empty string.
func (requestContext *requestContext) softwareVersion() string {
	if server := requestContext.choice.Server(); server != nil {
		return server.Software()
	}
	return ""
}

func (requestContext *requestContext) version() int64 {
	if requestContext.directory == nil {
		return 0
	}
	return requestContext.directory.Version()
}

// recordFirstEvent records the time to the first event.
func (requestContext *requestContext) recordFirstEvent() {
	requestContext.firstEvent = max(clock.Millisecond, requestContext.edge.clock.Now()-requestContext.arrived)
}
