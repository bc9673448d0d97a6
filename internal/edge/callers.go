package edge

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"

	"github.com/pkg/errors"

	"sapphirehead/internal/caller"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/directory"
	"sapphirehead/internal/placement"
	"sapphirehead/internal/request"
	"sapphirehead/internal/route"
	"sapphirehead/platform/callers"
)

const (
	// headerTimeout and idleTimeout bound connections of callers. The
	// configuration's own limits are shorter and bound what proper callers do, so
	// these only end connections that nobody uses.
	headerTimeout = 15 * clock.Second
	idleTimeout   = 120 * clock.Second
	// bodyTimeout is how long a caller may take to send a body.
	bodyTimeout = 10 * clock.Second
	// maxHeaderBytes and maxBodyBytes hold until a configuration names others.
	maxHeaderBytes = 64 << 10
	maxBodyBytes   = 4 << 20
	// freshContact is the age of the latest word from the store up to which a
	// node may say that a route or key does not exist: a watch and its timeout.
	freshContact = watchWait + clock.Second
	// connectionShare is the part of the process's descriptors that callers'
	// connections may take, and bodyShare the part of its memory that bodies may.
	connectionShare = 0.6
	bodyShare       = 0.25
	// retrySoon is what a caller is told to wait if another node, or this one a
	// moment later, may well serve it.
	retrySoon = 300 * clock.Millisecond
)

// callerServer is the HTTP server for callers and its open connections.
type callerServer struct {
	server *http.Server
	open   atomic.Int64
	most   int64
}

func (edge *Edge) newCallerServer() *callerServer {
	callerServer := &callerServer{most: int64(connectionShare * float64(edge.settings.Load().Descriptors()))}
	callerServer.server = &http.Server{
		Handler:           http.HandlerFunc(edge.serve),
		ReadHeaderTimeout: headerTimeout.Duration(),
		IdleTimeout:       idleTimeout.Duration(),
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         callerServer.count,
	}
	return callerServer
}

// count follows the open connections. One too many is closed at once: its caller
// goes to another node, while those that are served keep their descriptors.
func (callerServer *callerServer) count(conn net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		if callerServer.open.Add(1) > callerServer.most {
			conn.Close()
		}
	case http.StateClosed, http.StateHijacked:
		callerServer.open.Add(-1)
	default:
	}
}

// visit is one request of a caller on its way through the node.
type visit struct {
	edge      *Edge
	writer    http.ResponseWriter
	request   *http.Request
	call      callers.Call
	directory *directory.Directory
	route     route.Route
	account   *caller.Account
	target    string
	body      []byte
	arrived   clock.Millis
	pool      string
	attempts  int
	status    int
	reason    string
	first     clock.Millis
	choice    placement.Choice
	cost      int
	held      int64
	ran       bool
}

// serve answers one request. Every request gets one line in the log.
func (edge *Edge) serve(writer http.ResponseWriter, request *http.Request) {
	edge.inFlight.Add(1)
	defer edge.inFlight.Add(-1)
	visit := &visit{edge: edge, writer: writer, request: request, arrived: edge.clock.Now()}
	defer visit.record()
	defer func() { edge.bodyBytes.Add(-visit.held) }()
	if visit.decode() && visit.admit() {
		visit.forward()
	}
}

// decode reads the request, and answers it if that is not possible.
func (visit *visit) decode() bool {
	var err error
	if visit.call, err = callers.Decode(visit.request.Header); err != nil {
		visit.answer(http.StatusBadRequest, "badRequest", err.Error(), 0)
		return false
	}
	visit.target = visit.request.RequestURI
	if !strings.HasPrefix(visit.target, "/") {
		visit.target = visit.request.URL.RequestURI()
	}
	visit.directory = visit.edge.directory.Current()
	limit := maxBodyBytes
	if visit.directory != nil && visit.directory.Limits().BodyBytes() > 0 {
		limit = visit.directory.Limits().BodyBytes()
	}
	return visit.readBody(limit)
}

func (visit *visit) readBody(limit int) bool {
	if visit.request.ContentLength == 0 {
		return true
	}
	announced := max(0, visit.request.ContentLength)
	visit.held = announced
	if visit.edge.bodyBytes.Add(announced) > int64(bodyShare*float64(visit.edge.settings.Load().MemoryBytes())) {
		visit.refuse("no memory for the body", retrySoon)
		return false
	}
	control := http.NewResponseController(visit.writer)
	if err := control.SetReadDeadline(deadlineIn(bodyTimeout)); err != nil {
		visit.edge.log.Error().Err(err).Msg("no deadline for a body")
	}
	body, err := io.ReadAll(http.MaxBytesReader(visit.writer, visit.request.Body, int64(limit)))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		visit.answer(http.StatusRequestEntityTooLarge, "tooLarge", "the body is too large", 0)
		return false
	case err != nil:
		visit.answer(http.StatusBadRequest, "badRequest", "the body can't be read", 0)
		return false
	}
	if err := control.SetReadDeadline(noDeadline); err != nil {
		visit.edge.log.Error().Err(err).Msg("deadline of a body stays")
	}
	visit.body = body
	return true
}

// admit finds route and client account and counts the request against the
// allotment. It answers a request that may not go on.
func (visit *visit) admit() bool {
	now := visit.edge.clock.Now()
	if visit.directory == nil {
		visit.refuse("no configuration yet", retrySoon)
		return false
	}
	path, _, _ := strings.Cut(visit.target, "?")
	fresh := age(&visit.edge.contact.configuration, now) <= freshContact
	row, ok := visit.directory.Route(visit.request.Host, path)
	if !ok {
		return visit.deny(fresh, http.StatusNotFound, "noRoute", "no such route")
	}
	visit.route = row
	if visit.directory.NeedsKey() && !row.Public() {
		if visit.account, ok = visit.directory.Account(visit.call.Key()); !ok {
			return visit.deny(fresh, http.StatusUnauthorized, "noKey", "the key is not known")
		}
	}
	if !visit.edge.closing.Load().Admits(row, now) {
		visit.refuse("this node is stopping", retrySoon)
		return false
	}
	if visit.account != nil {
		cost, err := visit.edge.meter(visit.account, visit.call.Tokens())
		if err != nil {
			visit.overLimit(err)
			return false
		}
		visit.cost = cost
	}
	callers.Strip(visit.request.Header)
	return true
}

// deny answers that a route or key does not exist, or, if a newer configuration
// may know it, that the request did not run.
func (visit *visit) deny(fresh bool, status int, kind, reason string) bool {
	if !fresh {
		visit.refuse(reason+" in an old configuration", retrySoon)
		return false
	}
	visit.answer(status, kind, reason, 0)
	return false
}

func (visit *visit) overLimit(err error) {
	var notRun *request.NotRunError
	if errors.As(err, &notRun) {
		visit.answer(http.StatusTooManyRequests, "overLimit", notRun.Error(), notRun.RetryAfter())
		return
	}
	visit.refuse(err.Error(), retrySoon)
}

// refuse answers that the request did not run and never will.
func (visit *visit) refuse(reason string, retryAfter clock.Millis) {
	if visit.cost > 0 {
		visit.edge.refund(visit.account, visit.cost)
	}
	visit.answer(http.StatusServiceUnavailable, "notRun", reason, retryAfter)
}

type problemForm struct {
	Type   string `json:"type"`
	Reason string `json:"reason"`
}

// answer ends the request with an answer of this node's own.
func (visit *visit) answer(status int, kind, reason string, retryAfter clock.Millis) {
	visit.status, visit.reason = status, reason
	visit.closeIfStopping()
	header := visit.writer.Header()
	header.Set("Content-Type", "application/json")
	if visit.call.ID() != "" {
		callers.SetRequestID(header, visit.call.ID())
	}
	if retryAfter > 0 {
		callers.SetRetryAfter(header, retryAfter)
	}
	body, err := json.Marshal(problemForm{Type: kind, Reason: reason})
	if err != nil {
		visit.edge.log.Error().Err(err).Msg("a problem can't be encoded")
	}
	visit.writer.WriteHeader(status)
	visit.writer.Write(body)
}

// closeIfStopping ends the caller's connection with this answer if the node
// stops, so that its next request goes to another node.
func (visit *visit) closeIfStopping() {
	if visit.edge.stopping.Load() {
		visit.writer.Header().Set("Connection", "close")
	}
}

// accountName returns the name of the client account, or empty.
func (visit *visit) accountName() string {
	if visit.account == nil {
		return ""
	}
	return visit.account.Name()
}

// deadline returns when the request must have its final answer: when the caller
// or the route loses patience.
func (visit *visit) deadline() clock.Millis {
	patience := visit.route.Deadline()
	if visit.call.Timeout() > 0 && (patience == 0 || visit.call.Timeout() < patience) {
		patience = visit.call.Timeout()
	}
	return visit.arrived + patience
}

// left reports whether the caller has gone.
func (visit *visit) left() bool {
	return errors.Is(context.Cause(visit.request.Context()), context.Canceled)
}
