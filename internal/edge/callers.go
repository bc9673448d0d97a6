package edge

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"sapphirehead/internal/caller"
	"sapphirehead/internal/caller/callerlink"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/directory"
	"sapphirehead/internal/placement"
	"sapphirehead/internal/platform"
	"sapphirehead/internal/request"
	"sapphirehead/internal/route"
	"sapphirehead/platform/callers"
)

const (
	// headerTimeout and idleTimeout only end unused connections. The caller's and
	// the route's timeouts bound a request.
	headerTimeout = 15 * clock.Second
	idleTimeout   = 120 * clock.Second
	// maxHeaderBytes bounds the head of a request. maxBodyBytes bounds its body
	// unless the configuration sets a limit.
	maxHeaderBytes = 64 << 10
	maxBodyBytes   = 4 << 20
	// maxConfigurationAge is the maximum age of the store's latest response, to this
	// node or to a peer, with which a node may answer that a route or key does not
	// exist: the longest watch of a small deployment, and a second for its response.
	maxConfigurationAge = platform.MinOtherWatchWait + clock.Second
	// shortRetryAfter is the Retry-After of a refusal if another node, or this one
	// after a short time, can probably serve the request.
	shortRetryAfter = 300 * clock.Millisecond
)

// callerServer is the HTTP server for callers and its open connections.
type callerServer struct {
	server   *http.Server
	listener *callerlink.Listener
	// guard counts the open connections.
	guard *callerlink.Guard
	// accepted is closed once the listener is, and the guard counts each connection that it
	// accepted.
	accepted chan struct{}
}

func (edge *Edge) newCallerServer() *callerServer {
	callerServer := &callerServer{
		listener: callerlink.New(edge.listeners.caller), accepted: make(chan struct{}),
		guard: callerlink.NewGuard(edge.clock, edge.callerLimits, edge.reportUncontrolled("caller")),
	}
	callerServer.server = &http.Server{
		Handler:           http.HandlerFunc(edge.serve),
		ReadHeaderTimeout: headerTimeout.Duration(),
		IdleTimeout:       idleTimeout.Duration(),
		MaxHeaderBytes:    maxHeaderBytes,
	}
	return callerServer
}

// serve accepts connections until the listener closes.
func (callerServer *callerServer) serve() error {
	defer close(callerServer.accepted)
	return ignoreClosed(callerServer.guard.Serve(callerServer.server, callerServer.guard.Listener(callerServer.listener)))
}

// closeListener ends the accepting of connections. After it, the guard counts each one that
// was accepted, and the count can only fall.
func (callerServer *callerServer) closeListener() error {
	err := callerServer.listener.Drain()
	<-callerServer.accepted
	return err
}

// requestContext is an HTTP request in progress at this node.
type requestContext struct {
	edge         *Edge
	writer       http.ResponseWriter
	request      *http.Request
	call         callers.Call
	directory    *directory.Directory
	route        route.Route
	account      *caller.Account
	target       string
	body         []byte
	bodyReceived bool
	arrived      clock.Millis
	pool         string
	attemptCount int
	status       int
	reason       string
	firstEvent   clock.Millis
	choice       placement.Choice
	cost         int
	bodyHold     *callerlink.BodyHold
	runCounted   bool
	// fingerprintHash is 0 until it is needed.
	fingerprintHash uint64
	ticket          ticket
}

// serve handles one request. Every request is logged in one line.
func (edge *Edge) serve(writer http.ResponseWriter, request *http.Request) {
	if edge.inFlight.Add(1) == 1 {
		signal(edge.peers.busy)
	}
	defer edge.inFlight.Add(-1)
	requestContext := &requestContext{edge: edge, writer: writer, request: request, arrived: edge.clock.Now()}
	defer requestContext.record()
	defer requestContext.releaseBody()
	if requestContext.decode() && requestContext.admit() && requestContext.receiveBody() && requestContext.beginForward() {
		defer edge.forwarding.Add(-1)
		requestContext.forward()
	}
}

// decode reads the request's head. It reports false after it has responded with an
// error.
func (requestContext *requestContext) decode() bool {
	var err error
	if requestContext.call, err = callers.Decode(requestContext.request.Header); err != nil {
		requestContext.writeProblem(http.StatusBadRequest, "badRequest", err.Error(), 0)
		return false
	}
	requestContext.target = requestContext.request.RequestURI
	if !strings.HasPrefix(requestContext.target, "/") {
		requestContext.target = requestContext.request.URL.RequestURI()
	}
	requestContext.directory = requestContext.edge.directory.Current()
	return true
}

// admit matches route and client account and charges the request to the
// allotment. It reports false after it has responded with an error.
func (requestContext *requestContext) admit() bool {
	now := requestContext.edge.clock.Now()
	if requestContext.directory == nil {
		requestContext.refuse("no configuration yet", shortRetryAfter)
		return false
	}
	path, _, _ := strings.Cut(requestContext.target, "?")
	matched, ok := requestContext.directory.Route(requestContext.request.Host, path)
	if !ok {
		return requestContext.deny(now, http.StatusNotFound, "noRoute", "no such route")
	}
	requestContext.route = matched
	if requestContext.needsAccount() {
		if requestContext.account, ok = requestContext.directory.Account(requestContext.call.Key()); !ok {
			return requestContext.deny(now, http.StatusUnauthorized, "noKey", "the key is not known")
		}
	}
	callerlink.Prove(requestContext.request)
	if !requestContext.edge.shutdownPolicy.Load().Admits(matched.Streaming(), requestContext.deadline(), now) {
		requestContext.refuse("this node is stopping", shortRetryAfter)
		return false
	}
	if requestContext.account != nil {
		cost, err := requestContext.edge.charge(requestContext.account, requestContext.call.Tokens())
		if err != nil {
			requestContext.refuseOverLimit(err)
			return false
		}
		requestContext.cost = cost
	}
	callers.Strip(requestContext.request.Header)
	return true
}

// needsAccount reports whether requests of the route must have a client account's key.
func (requestContext *requestContext) needsAccount() bool {
	return requestContext.directory.NeedsKey() && !requestContext.route.Public()
}

// deny answers that a route or key does not exist. If a newer configuration may
// define it, deny refuses the request as not run instead.
func (requestContext *requestContext) deny(now clock.Millis, status int, kind, reason string) bool {
	if !requestContext.edge.isConfigurationFresh(requestContext.directory.Version(), now) {
		requestContext.refuse(reason+" in an old configuration", shortRetryAfter)
		return false
	}
	requestContext.writeProblem(status, kind, reason, 0)
	return false
}

// isConfigurationFresh reports whether the version was the newest one at the store a
// short time ago, as this node or a peer has read, and no peer has a newer one. A store
// that was restored may lack what peers still have.
func (edge *Edge) isConfigurationFresh(version int64, now clock.Millis) bool {
	view := edge.peers.states.View()
	if view.HasNewerConfiguration(version, now) {
		return false
	}
	return ageOf(&edge.storeResponses.configuration, now) <= maxConfigurationAge ||
		view.ConfirmsConfiguration(version, maxConfigurationAge, now)
}

func (requestContext *requestContext) refuseOverLimit(err error) {
	var notRun *request.NotRunError
	requestContext.ticket.bound = boundAllotment
	if errors.As(err, &notRun) {
		requestContext.writeProblem(http.StatusTooManyRequests, "overLimit", notRun.Error(), notRun.RetryAfter())
		return
	}
	requestContext.refuse(err.Error(), shortRetryAfter)
}

// refuse answers that the request did not run and never will.
func (requestContext *requestContext) refuse(reason string, retryAfter clock.Millis) {
	if requestContext.cost > 0 {
		requestContext.edge.refund(requestContext.account, requestContext.cost)
	}
	requestContext.writeProblem(http.StatusServiceUnavailable, "notRun", reason, retryAfter)
}

type problemForm struct {
	Type   string `json:"type"`
	Reason string `json:"reason"`
}

// writeProblem ends the request with an error response of this node.
func (requestContext *requestContext) writeProblem(status int, kind, reason string, retryAfter clock.Millis) {
	requestContext.status, requestContext.reason = status, reason
	requestContext.closeIfStopping()
	requestContext.endUnreadBody()
	header := requestContext.writer.Header()
	header.Set("Content-Type", "application/json")
	if requestContext.call.ID() != "" {
		callers.SetRequestID(header, requestContext.call.ID())
	}
	if retryAfter > 0 {
		callers.SetRetryAfter(header, retryAfter)
	}
	body, err := json.Marshal(problemForm{Type: kind, Reason: reason})
	if err != nil {
		requestContext.edge.log.Error().Err(err).Msg("cannot encode an error response")
	}
	requestContext.writer.WriteHeader(status)
	requestContext.writer.Write(body)
}

// closeIfStopping ends the caller's connection with this response if the node
// is stopping, so that the caller's next request goes to another node.
func (requestContext *requestContext) closeIfStopping() {
	if requestContext.edge.stopping.Load() {
		requestContext.writer.Header().Set("Connection", "close")
	}
}

// accountName returns the name of the client account, or empty.
func (requestContext *requestContext) accountName() string {
	if requestContext.account == nil {
		return ""
	}
	return requestContext.account.Name()
}

// deadline returns when the request must have its final response: at the end of
// the caller's or the route's timeout, whichever is earlier.
func (requestContext *requestContext) deadline() clock.Millis {
	timeout := requestContext.route.Deadline()
	if requestContext.call.Timeout() > 0 && (timeout == 0 || requestContext.call.Timeout() < timeout) {
		timeout = requestContext.call.Timeout()
	}
	return requestContext.arrived + timeout
}

// callerLeft reports whether the caller closed its connection.
func (requestContext *requestContext) callerLeft() bool {
	return errors.Is(context.Cause(requestContext.request.Context()), context.Canceled)
}
