package operatorhttp

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"expvar"
	"io"
	"net/http"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"sapphirehead/internal/operator"
	"sapphirehead/internal/platform"
	"sapphirehead/internal/table"
	"sapphirehead/internal/table/tablecodec"
)

// Types of errors told to operators.
const (
	errorTypeUnauthorized = "unauthorized"
	errorTypeBadRequest   = "badRequest"
	errorTypeConflict     = "conflict"
	errorTypeInvalid      = "invalid"
	errorTypeUnavailable  = "platformUnavailable"
	errorTypeUnknown      = "outcomeUnknown"
)

// Handler serves operators.
type Handler struct {
	token  string
	commit func(ctx context.Context, edit *table.Edit) (*table.Tables, error)
	stored func(ctx context.Context) (*table.Tables, error)
	status func() operator.Status
	refuse func(remote, reason string)
}

// New returns a handler. Calls without the token are refused and reported to
// refuse.
func New(
	token string,
	commit func(ctx context.Context, edit *table.Edit) (*table.Tables, error),
	stored func(ctx context.Context) (*table.Tables, error),
	status func() operator.Status,
	refuse func(remote, reason string),
) *Handler {
	return &Handler{token: token, commit: commit, stored: stored, status: status, refuse: refuse}
}

// Router returns the HTTP routes of the handler.
func (handler *Handler) Router() http.Handler {
	router := mux.NewRouter()
	router.Use(handler.authorize)
	router.Handle("/debug/vars", expvar.Handler()).Methods(http.MethodGet)
	router.HandleFunc("/admin/v1/tables", handler.serveTables).Methods(http.MethodGet)
	router.HandleFunc("/admin/v1/edits", handler.serveEdit).Methods(http.MethodPost)
	router.HandleFunc("/admin/v1/status", handler.serveStatus).Methods(http.MethodGet)
	return router
}

func (handler *Handler) authorize(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, message *http.Request) {
		given := []byte(message.Header.Get("Authorization"))
		if subtle.ConstantTimeCompare(given, []byte("Bearer "+handler.token)) != 1 {
			handler.refuse(message.RemoteAddr, "missing or wrong token")
			writeError(writer, http.StatusUnauthorized, errorForm{Type: errorTypeUnauthorized, Message: "the Authorization header must be \"Bearer\" and the operators' token"})
			return
		}
		next.ServeHTTP(writer, message)
	})
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
	tables, err := handler.commit(message.Context(), edit)
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
	var unknown *operator.UnknownError
	form := errorForm{Message: err.Error()}
	switch {
	case errors.As(err, &conflict):
		form.Type = errorTypeConflict
		writeError(writer, http.StatusConflict, form)
	case errors.As(err, &check):
		form.Type = errorTypeInvalid
		for _, problem := range check.Problems() {
			form.Problems = append(form.Problems, problemForm{Row: problem.Row(), Field: problem.Field(), Message: problem.Message()})
		}
		writeError(writer, http.StatusUnprocessableEntity, form)
	case errors.As(err, &unknown), errors.As(err, &unavailable) && unavailable.Unknown():
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
