// Package callerhttp serves callers over HTTP: the published chat-completions
// API, the list of models, application services by path, and the two health
// checks of the balancer.
//
// It decodes a call, passes it to the node through function fields, and encodes
// the response. Every error is a JSON object:
//
//	{"error": {"type": "notRun", "message": "...", "requestId": "..."}}
package callerhttp

import (
	"context"
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"sapphirehead/internal/caller"
	"sapphirehead/internal/caller/callerlink"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/request"
	"sapphirehead/internal/route"
	"sapphirehead/internal/service"
	"sapphirehead/internal/table"
)

// MaxBodyBytes is the maximum size of a call's body.
const MaxBodyBytes = 1 << 20

// Names of headers.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderLastEventID    = "Last-Event-ID"
)

// Handler serves callers.
type Handler struct {
	clock    *clock.Clock
	tables   func() *table.Tables
	accounts func() *caller.Accounts
	admit    func(account *caller.Account, req *request.Request) (release func(), err error)
	ready    func() bool
	newID    func() string
	chat     func(ctx context.Context, req *request.Request, deliver func(offset int, tokens []string) error) error
	call     func(ctx context.Context, req *request.Request, call service.Call) (service.Answer, error)
	find     func(ctx context.Context, resumption request.Resumption) (req *request.Request, follow Follow, err error)
	bodies   *callerlink.BodyMemory
}

const (
	// bodyTimeout is how long a caller may take to send a body.
	bodyTimeout = 10 * clock.Second
	// bodyRetryAfter is the Retry-After of a request whose body there is no memory for.
	bodyRetryAfter = 1 * clock.Second
)

// WithBodies makes the handler reserve memory for bodies, which are bounded one by one only
// without it.
func (handler *Handler) WithBodies(bodies *callerlink.BodyMemory) *Handler {
	handler.bodies = bodies
	return handler
}

// Follow delivers the tokens of a response from the offset and returns nil once
// the response is complete.
type Follow func(ctx context.Context, offset int, deliver func(offset int, tokens []string) error) error

// New returns a handler that calls a node through the functions. Chat delivers
// tokens in order and returns nil once the response is complete. The request
// passed to admit is nil when a caller resumes a response. Find returns the
// response that a caller resumes.
func New(
	clock *clock.Clock,
	tables func() *table.Tables,
	accounts func() *caller.Accounts,
	admit func(account *caller.Account, req *request.Request) (release func(), err error),
	ready func() bool,
	newID func() string,
	chat func(ctx context.Context, req *request.Request, deliver func(offset int, tokens []string) error) error,
	call func(ctx context.Context, req *request.Request, call service.Call) (service.Answer, error),
	find func(ctx context.Context, resumption request.Resumption) (req *request.Request, follow Follow, err error),
) *Handler {
	return &Handler{
		clock: clock, tables: tables, accounts: accounts, admit: admit, ready: ready, newID: newID, chat: chat, call: call, find: find,
		bodies: callerlink.NewBodyMemory(clock, func() int64 { return math.MaxInt64 }, func() int64 { return 0 }, func(callerlink.Kind, string) {}),
	}
}

// Router returns the HTTP routes of the handler.
func (handler *Handler) Router() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/healthz", handler.serveHealth).Methods(http.MethodGet)
	router.HandleFunc("/readyz", handler.serveReady).Methods(http.MethodGet)
	router.HandleFunc("/v1/models", handler.serveModels).Methods(http.MethodGet)
	router.HandleFunc("/v1/chat/completions", handler.serveChat).Methods(http.MethodPost)
	router.HandleFunc("/v1/streams/{id}", handler.serveStream).Methods(http.MethodGet)
	router.HandleFunc("/v1/results/{id}", handler.serveResult).Methods(http.MethodGet)
	router.PathPrefix("/").HandlerFunc(handler.serveService)
	return router
}

func (handler *Handler) serveHealth(writer http.ResponseWriter, _ *http.Request) {
	writeJSON(writer, http.StatusOK, statusForm{Status: "ok"})
}

func (handler *Handler) serveReady(writer http.ResponseWriter, _ *http.Request) {
	if !handler.ready() {
		writeJSON(writer, http.StatusServiceUnavailable, statusForm{Status: "notReady"})
		return
	}
	writeJSON(writer, http.StatusOK, statusForm{Status: "ready"})
}

func (handler *Handler) serveModels(writer http.ResponseWriter, message *http.Request) {
	if _, err := handler.account(message); err != nil {
		writeError(writer, "", err)
		return
	}
	form := modelsForm{Object: "list", Data: []modelForm{}}
	for _, routeConfig := range handler.tables().Routes() {
		if routeConfig.Kind() == route.KindChat {
			form.Data = append(form.Data, modelForm{ID: routeConfig.Model(), Object: "model", OwnedBy: routeConfig.Pool()})
		}
	}
	writeJSON(writer, http.StatusOK, form)
}

func (handler *Handler) serveChat(writer http.ResponseWriter, message *http.Request) {
	id := handler.newID()
	writer.Header().Set(HeaderRequestID, id)
	account, err := handler.account(message)
	if err != nil {
		writeError(writer, id, err)
		return
	}
	body, releaseBody, err := handler.readBody(writer, message)
	defer releaseBody()
	if err != nil {
		writeError(writer, id, err)
		return
	}
	form, err := decodeChat(body)
	if err != nil {
		writeError(writer, id, err)
		return
	}
	if eventID := message.Header.Get(HeaderLastEventID); eventID != "" {
		handler.resumeChat(writer, message, account, eventID, form)
		return
	}
	routeConfig, ok := handler.tables().RouteForModel(form.Model)
	if !ok {
		writeError(writer, id, newCallError(http.StatusNotFound, "modelNotFound", "there is no model "+strconv.Quote(form.Model)+": GET /v1/models lists them"))
		return
	}
	req := request.New(id, account.Name(), routeConfig, message.Header.Get(HeaderIdempotencyKey), form.prompt(), handler.clock.Now()).
		WithStreamed(form.Stream).WithFingerprint(service.FingerprintOf(message.Method, message.URL.RequestURI(), body))
	release, err := handler.admit(account, req)
	if err != nil {
		writeError(writer, id, err)
		return
	}
	defer release()
	follow := func(ctx context.Context, _ int, deliver func(offset int, tokens []string) error) error {
		return handler.chat(ctx, req, deliver)
	}
	if form.Stream {
		handler.streamChat(writer, message, req, follow, 0, form.includeUsage())
		return
	}
	handler.bufferedChat(writer, message, req, follow)
}

func (handler *Handler) serveService(writer http.ResponseWriter, message *http.Request) {
	id := handler.newID()
	writer.Header().Set(HeaderRequestID, id)
	account, err := handler.account(message)
	if err != nil {
		writeError(writer, id, err)
		return
	}
	routeConfig, ok := handler.tables().RouteForPath(message.URL.Path)
	if !ok {
		writeError(writer, id, newCallError(http.StatusNotFound, "routeNotFound", "no route serves the path "+strconv.Quote(message.URL.Path)))
		return
	}
	body, releaseBody, err := handler.readBody(writer, message)
	defer releaseBody()
	if err != nil {
		writeError(writer, id, err)
		return
	}
	req := request.New(id, account.Name(), routeConfig, message.Header.Get(HeaderIdempotencyKey), request.Prompt{}, handler.clock.Now()).
		WithFingerprint(service.FingerprintOf(message.Method, message.URL.RequestURI(), body))
	release, err := handler.admit(account, req)
	if err != nil {
		writeError(writer, id, err)
		return
	}
	defer release()
	call := service.NewCall(message.Method, message.URL.RequestURI(), message.Header.Get("Content-Type"), body)
	answer, err := handler.call(message.Context(), req, call)
	if err != nil {
		writeError(writer, id, err)
		return
	}
	writer.Header().Set("Content-Type", answer.ContentType())
	writer.WriteHeader(answer.Status())
	writer.Write(answer.Body())
}

func (handler *Handler) account(message *http.Request) (*caller.Account, error) {
	key, ok := strings.CutPrefix(message.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return nil, newCallError(http.StatusUnauthorized, "unauthorized", "the Authorization header must be \"Bearer\" and a key")
	}
	account, ok := handler.accounts().ByKey(key)
	if !ok {
		return nil, newCallError(http.StatusUnauthorized, "unauthorized", "the key belongs to no client account")
	}
	callerlink.Prove(message)
	return account, nil
}

// readBody returns the body, and the function that gives its memory back.
func (handler *Handler) readBody(writer http.ResponseWriter, message *http.Request) (body []byte, release func(), err error) {
	if message.ContentLength == 0 {
		return nil, func() {}, nil
	}
	if message.ContentLength > MaxBodyBytes {
		return nil, func() {}, newTooLargeError()
	}
	control := http.NewResponseController(writer)
	hold := handler.bodies.Begin(message.RemoteAddr, func() { setReadDeadline(control, clock.RuntimeDeadline(-clock.Second)) })
	setReadDeadline(control, clock.RuntimeDeadline(bodyTimeout))
	body, err = hold.ReadAll(http.MaxBytesReader(writer, message.Body, MaxBodyBytes), int(message.ContentLength))
	complete := hold.End()
	var tooLarge *http.MaxBytesError
	var noMemory *callerlink.BodyMemoryError
	switch {
	case !complete:
		err = request.NewNotRunError("the body arrives too slowly while others need its memory", bodyRetryAfter)
	case errors.As(err, &noMemory):
		err = request.NewNotRunError(noMemory.Error(), bodyRetryAfter)
	case errors.As(err, &tooLarge):
		err = newTooLargeError()
	case err != nil:
		err = newCallError(http.StatusBadRequest, "badRequest", "the body could not be read")
	default:
		setReadDeadline(control, time.Time{})
	}
	if err != nil {
		writer.Header().Set("Connection", "close")
	}
	return body, hold.Release, err
}

// setReadDeadline fails only if the connection is closed, or if a test has none.
func setReadDeadline(control *http.ResponseController, deadline time.Time) {
	_ = control.SetReadDeadline(deadline)
}

func newTooLargeError() error {
	return newCallError(http.StatusRequestEntityTooLarge, "bodyTooLarge", "the body has more than "+strconv.Itoa(MaxBodyBytes)+" bytes")
}

func writeJSON(writer http.ResponseWriter, status int, form any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	json.NewEncoder(writer).Encode(form)
}
