package callerlink

import (
	"net/http"
	"slices"

	"sapphirehead/internal/clock"
)

// sideIdleTimeout is how long a connection to a side address may be idle: longer than the
// time between two probes of a load balancer.
const sideIdleTimeout = 30 * clock.Second

// NewSideServer returns a server for probes, metrics or operators, whose requests and
// responses are short: the timeout bounds the reading of each request. A connection that carried a complete request counts as proved. Only the
// methods given may have bodies; the connection of another request with one is closed.
func NewSideServer(handler http.Handler, maxHeaderBytes int, timeout clock.Millis, withBody ...string) *http.Server {
	return &http.Server{
		Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			if request.ContentLength != 0 && !slices.Contains(withBody, request.Method) {
				// net/http would wait for the body before it writes the response. An error
				// means that the connection is closed.
				_ = http.NewResponseController(writer).SetReadDeadline(clock.RuntimeDeadline(-clock.Second))
			} else {
				Prove(request)
			}
			handler.ServeHTTP(writer, request)
		}),
		ReadTimeout: timeout.Duration(), IdleTimeout: sideIdleTimeout.Duration(),
		MaxHeaderBytes: maxHeaderBytes,
	}
}

const (
	// OperatorTimeout bounds the reading of an operator's request, which may have a body of
	// whole tables, and how long a part of its response may be unread.
	OperatorTimeout = 30 * clock.Second
	// operatorHeadBytes bounds the head of an operator's request.
	operatorHeadBytes = 16 << 10
)

// NewOperatorServer returns a server for operators.
func NewOperatorServer(handler http.Handler) *http.Server {
	return NewSideServer(handler, operatorHeadBytes, OperatorTimeout, http.MethodPost)
}

// WithLeftoverTimeout bounds the time for which a caller may leave a body unfinished that
// the handler doesn't read: net/http reads it before it writes the response. A handler that
// reads the body sets its own deadline.
func WithLeftoverTimeout(timeout clock.Millis, next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.ContentLength != 0 {
			// An error means that the connection is closed.
			_ = http.NewResponseController(writer).SetReadDeadline(clock.RuntimeDeadline(timeout))
		}
		next.ServeHTTP(writer, request)
	})
}
