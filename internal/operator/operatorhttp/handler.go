package operatorhttp

import (
	"context"
	"encoding/json"
	"expvar"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"sapphirehead/internal/burn"
	"sapphirehead/internal/operator"
	"sapphirehead/internal/platform"
	"sapphirehead/internal/table"
	"sapphirehead/internal/table/tablecodec"
)

// Types of errors in the operators' API.
const (
	errorTypeUnauthorized = "unauthorized"
	errorTypeForbidden    = "forbidden"
	errorTypeNotFound     = "notFound"
	errorTypeBadRequest   = "badRequest"
	errorTypeConflict     = "conflict"
	errorTypeInvalid      = "invalid"
	errorTypeUnavailable  = "platformUnavailable"
	errorTypeUnknown      = "outcomeUnknown"
)

// Limits on the number of edits that one call for the history returns.
const (
	defaultHistoryLimit = 20
	maxHistoryLimit     = 256
)

// maxDrainBytes limits the body of a drain.
const maxDrainBytes = 4096

// Handler serves operators.
type Handler struct {
	token       func(given string) (operator.Token, bool)
	commit      func(ctx context.Context, by string, edit *table.Edit) (*table.Tables, error)
	stored      func(ctx context.Context) (*table.Tables, error)
	history     func(ctx context.Context, row string, limit int) ([]operator.Record, error)
	status      func() operator.Status
	leases      func(ctx context.Context) ([]operator.LeaseStatus, error)
	drainNode   func(ctx context.Context, by, host string) error
	drainServer func(by, id string) error
	burn        func(ctx context.Context) burn.Report
	refuse      func(remote, operator, reason string)
}

// New returns a handler over functions of a node. Calls without a token, or with one
// that does not allow them, are refused and reported to refuse.
func New(
	token func(given string) (operator.Token, bool),
	commit func(ctx context.Context, by string, edit *table.Edit) (*table.Tables, error),
	stored func(ctx context.Context) (*table.Tables, error),
	history func(ctx context.Context, row string, limit int) ([]operator.Record, error),
	status func() operator.Status,
	leases func(ctx context.Context) ([]operator.LeaseStatus, error),
	drainNode func(ctx context.Context, by, host string) error,
	drainServer func(by, id string) error,
	burn func(ctx context.Context) burn.Report,
	refuse func(remote, operator, reason string),
) *Handler {
	return &Handler{
		token: token, commit: commit, stored: stored, history: history, status: status, leases: leases,
		drainNode: drainNode, drainServer: drainServer, burn: burn, refuse: refuse,
	}
}

// Router returns the HTTP routes of the handler.
func (handler *Handler) Router() http.Handler {
	router := mux.NewRouter()
	read := func(path string, serve http.HandlerFunc) {
		router.Handle(path, handler.authorize(false, serve)).Methods(http.MethodGet)
	}
	write := func(path string, serve http.HandlerFunc) {
		router.Handle(path, handler.authorize(true, serve)).Methods(http.MethodPost)
	}
	read("/debug/vars", expvar.Handler().ServeHTTP)
	read("/admin/v1/tables", handler.serveTables)
	read("/admin/v1/history", handler.serveHistory)
	read("/admin/v1/status", handler.serveStatus)
	read("/admin/v1/leases", handler.serveLeases)
	read("/admin/v1/burn", handler.serveBurn)
	write("/admin/v1/edits", handler.serveEdit)
	write("/admin/v1/drains", handler.serveDrain)
	return router
}

type operatorKey struct{}

func operatorOf(message *http.Request) string {
	name, _ := message.Context().Value(operatorKey{}).(string)
	return name
}

func (handler *Handler) authorize(write bool, next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, message *http.Request) {
		given, ok := strings.CutPrefix(message.Header.Get("Authorization"), "Bearer ")
		token, valid := handler.token(given)
		switch {
		case !ok:
			handler.refuse(message.RemoteAddr, "", "no token")
			writeError(writer, http.StatusUnauthorized, errorForm{Type: errorTypeUnauthorized, Message: "the Authorization header must be \"Bearer\" and an operator's token"})
		case !valid:
			handler.refuse(message.RemoteAddr, "", "wrong token")
			writeError(writer, http.StatusUnauthorized, errorForm{Type: errorTypeUnauthorized, Message: "the token is not one of the settings' operator.tokens"})
		case write && !token.MayWrite():
			handler.refuse(message.RemoteAddr, token.Name(), "token may only read")
			writeError(writer, http.StatusForbidden, errorForm{Type: errorTypeForbidden, Message: "the token of " + strconv.Quote(token.Name()) + " has the role read: use one with the role write"})
		default:
			next.ServeHTTP(writer, message.WithContext(context.WithValue(message.Context(), operatorKey{}, token.Name())))
		}
	})
}

func (handler *Handler) serveHistory(writer http.ResponseWriter, message *http.Request) {
	limit := defaultHistoryLimit
	if text := message.URL.Query().Get("limit"); text != "" {
		var err error
		if limit, err = strconv.Atoi(text); err != nil || limit < 1 || limit > maxHistoryLimit {
			writeError(writer, http.StatusBadRequest, errorForm{Type: errorTypeBadRequest, Message: "limit: allowed is a whole number from 1 to " + strconv.Itoa(maxHistoryLimit)})
			return
		}
	}
	records, err := handler.history(message.Context(), message.URL.Query().Get("row"), limit)
	if err != nil {
		writeFailure(writer, err)
		return
	}
	body, err := EncodeHistory(records)
	if err != nil {
		writeFailure(writer, err)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.Write(body)
}

func (handler *Handler) serveLeases(writer http.ResponseWriter, message *http.Request) {
	leases, err := handler.leases(message.Context())
	if err != nil {
		writeFailure(writer, err)
		return
	}
	writeJSON(writer, http.StatusOK, leasesFormOf(leases))
}

func (handler *Handler) serveBurn(writer http.ResponseWriter, message *http.Request) {
	writeJSON(writer, http.StatusOK, burnFormOf(handler.burn(message.Context())))
}

func (handler *Handler) serveDrain(writer http.ResponseWriter, message *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(writer, message.Body, maxDrainBytes))
	var form drainForm
	if err == nil {
		err = json.Unmarshal(body, &form)
	}
	if err != nil || (form.Node == "") == (form.Server == "") {
		writeError(writer, http.StatusBadRequest, errorForm{Type: errorTypeBadRequest, Message: "the body must name either node or backendServer"})
		return
	}
	if form.Node != "" {
		err = handler.drainNode(message.Context(), operatorOf(message), form.Node)
	} else {
		err = handler.drainServer(operatorOf(message), form.Server)
	}
	if err != nil {
		writeFailure(writer, err)
		return
	}
	writeJSON(writer, http.StatusOK, form)
}

func (handler *Handler) serveTables(writer http.ResponseWriter, message *http.Request) {
	tables, err := handler.stored(message.Context())
	if err != nil {
		writeFailure(writer, err)
		return
	}
	body, err := tablecodec.EncodeJSON(tables)
	if err != nil {
		writeFailure(writer, err)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.Write(body)
}

func (handler *Handler) serveEdit(writer http.ResponseWriter, message *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(writer, message.Body, tablecodec.MaxBytes))
	if err != nil {
		writeError(writer, http.StatusRequestEntityTooLarge, errorForm{Type: errorTypeBadRequest, Message: "the body could not be read or is too large"})
		return
	}
	edit, err := tablecodec.DecodeEditJSON(body)
	if err != nil {
		writeError(writer, http.StatusBadRequest, errorForm{Type: errorTypeBadRequest, Message: err.Error()})
		return
	}
	tables, err := handler.commit(message.Context(), operatorOf(message), edit)
	if err != nil {
		writeFailure(writer, err)
		return
	}
	writeJSON(writer, http.StatusOK, committedForm{Version: tables.Version()})
}

func (handler *Handler) serveStatus(writer http.ResponseWriter, _ *http.Request) {
	writeJSON(writer, http.StatusOK, statusFormOf(handler.status()))
}

func writeFailure(writer http.ResponseWriter, err error) {
	var conflict *table.ConflictError
	var check *table.CheckError
	var unavailable *platform.UnavailableError
	var missing *operator.NotFoundError
	var unknown *operator.UnknownOutcomeError
	form := errorForm{Message: err.Error()}
	switch {
	case errors.As(err, &missing):
		form.Type = errorTypeNotFound
		writeError(writer, http.StatusNotFound, form)
	case errors.As(err, &conflict):
		form.Type, form.Conflict = errorTypeConflict, conflictFormOf(conflict)
		writeError(writer, http.StatusConflict, form)
	case errors.As(err, &check):
		form.Type = errorTypeInvalid
		for _, problem := range check.Problems() {
			form.Problems = append(form.Problems, problemForm{Row: problem.Row(), Field: problem.Field(), Message: problem.Message()})
		}
		writeError(writer, http.StatusUnprocessableEntity, form)
	case errors.As(err, &unknown), errors.As(err, &unavailable) && unavailable.OutcomeUnknown():
		form.Type = errorTypeUnknown
		writeError(writer, http.StatusBadGateway, form)
	default:
		form.Type = errorTypeUnavailable
		writeError(writer, http.StatusServiceUnavailable, form)
	}
}

func writeError(writer http.ResponseWriter, status int, form errorForm) {
	writeJSON(writer, status, errorsForm{Error: form})
}

func writeJSON(writer http.ResponseWriter, status int, form any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	json.NewEncoder(writer).Encode(form)
}
