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
// responses are short: the timeout bounds the reading of each request and the writing of
// its response. A connection that carried a complete request counts as proved. Only the
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
		ReadTimeout: timeout.Duration(), WriteTimeout: timeout.Duration(), IdleTimeout: sideIdleTimeout.Duration(),
		MaxHeaderBytes: maxHeaderBytes,
	}
}
