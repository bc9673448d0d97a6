package callerhttp

import (
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/request"
)

// Types of errors in responses to callers.
const (
	errorTypeNotRun         = "notRun"
	errorTypeOutcomeUnknown = "outcomeUnknown"
	errorTypeIncomplete     = "incomplete"
	errorTypeInternal       = "internal"
	errorTypeKeyExpired     = "keyExpired"
	errorTypeKeyAhead       = "keyAhead"
	errorTypeKeyReused      = "keyReused"
	errorTypeStreamNotFound = "streamNotFound"
	errorTypeUnavailable    = "unavailable"
)

// CallError reports an invalid call of a caller.
type CallError struct {
	status  int
	kind    string
	message string
}

func newCallError(status int, kind, message string) *CallError {
	return &CallError{status: status, kind: kind, message: message}
}

// Status returns the HTTP status.
func (err *CallError) Status() int { return err.status }

func (err *CallError) Error() string { return err.message }

type errorForm struct {
	Type      string `json:"type"`
	Message   string `json:"message"`
	RequestID string `json:"requestId,omitempty"`
}

type errorsForm struct {
	Error errorForm `json:"error"`
}

func encodeError(id string, err error) (int, errorsForm) {
	form := errorForm{Message: err.Error(), RequestID: id}
	var callErr *CallError
	var notRun *request.NotRunError
	var unknown *request.OutcomeUnknownError
	var incomplete *request.IncompleteError
	var keyErr *request.KeyError
	var notFound *request.StreamNotFoundError
	status := http.StatusInternalServerError
	switch {
	case errors.As(err, &callErr):
		status, form.Type = callErr.status, callErr.kind
	case errors.As(err, &notRun):
		status, form.Type = http.StatusServiceUnavailable, errorTypeNotRun
		if notRun.OverLimit() {
			status = http.StatusTooManyRequests
		}
	case errors.As(err, &unknown):
		status, form.Type = http.StatusBadGateway, errorTypeOutcomeUnknown
	case errors.As(err, &incomplete):
		status, form.Type = http.StatusGatewayTimeout, errorTypeIncomplete
	case errors.As(err, &keyErr):
		status, form.Type = http.StatusUnprocessableEntity, keyErrorType(keyErr.Problem())
	case errors.As(err, &notFound):
		status, form.Type = http.StatusNotFound, errorTypeStreamNotFound
	default:
		form.Type = errorTypeInternal
	}
	return status, errorsForm{Error: form}
}

func keyErrorType(problem request.KeyProblem) string {
	switch problem {
	case request.KeyExpired:
		return errorTypeKeyExpired
	case request.KeyAhead:
		return errorTypeKeyAhead
	default:
		return errorTypeKeyReused
	}
}

func writeError(writer http.ResponseWriter, id string, err error) {
	status, form := encodeError(id, err)
	var notRun *request.NotRunError
	if errors.As(err, &notRun) {
		seconds := (notRun.RetryAfter() + clock.Second - 1) / clock.Second
		writer.Header().Set("Retry-After", strconv.FormatInt(int64(max(seconds, 1)), 10))
	}
	writeJSON(writer, status, form)
}
