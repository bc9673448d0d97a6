package servicehttp_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/request"
	"sapphirehead/internal/route"
	"sapphirehead/internal/service"
	"sapphirehead/internal/service/servicehttp"
)

var charge = route.New("charges", route.KindService, "booking").WithPath("/charges").WithNonIdempotent(true)

// call sends one charge with a key to the address.
func call(ctx context.Context, client *servicehttp.Client, address string) (service.Answer, request.Cause, error) {
	server := backend.NewServer("booking-1", address, "lj-a", "plain", "booking")
	req := request.New("req-1", "garage", charge, "renewal-17", request.Prompt{}, 0).WithFingerprint("f")
	return client.Call(ctx, server, req, service.NewCall(http.MethodPost, "/charges?month=5", "text/plain", []byte("set")))
}

// expectCause calls a service with the handler, and checks the cause and that the
// service received the call once.
func expectCause(t *testing.T, want request.Cause, serve http.HandlerFunc) service.Answer {
	t.Helper()
	var calls atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, httpRequest *http.Request) {
		calls.Add(1)
		body, _ := io.ReadAll(httpRequest.Body)
		require.Equal(t, "set", string(body))
		require.Equal(t, "f", httpRequest.Header.Get(servicehttp.HeaderFingerprint))
		serve(writer, httpRequest)
	}))
	defer server.Close()
	answer, cause, err := call(t.Context(), servicehttp.New(clock.Second), server.Listener.Addr().String())
	require.Equal(t, want, cause)
	require.Equal(t, want == 0, err == nil)
	require.Equal(t, int64(1), calls.Load())
	return answer
}

// TestCall checks the cause returned for each end of a call with side effects.
func TestCall(t *testing.T) {
	t.Run("ended after its head", func(t *testing.T) {
		expectCause(t, request.CauseCut, func(writer http.ResponseWriter, _ *http.Request) {
			connection, _, err := http.NewResponseController(writer).Hijack()
			require.NoError(t, err)
			_, err = io.WriteString(connection, "HTTP/1.1 200 OK\r\n\r\n")
			require.NoError(t, err)
			require.NoError(t, connection.Close())
		})
	})
	t.Run("answered", func(t *testing.T) {
		answer := expectCause(t, 0, func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusCreated) })
		require.Equal(t, http.StatusCreated, answer.Status())
	})
	t.Run("a redirect is passed on, not followed", func(t *testing.T) {
		answer := expectCause(t, 0, func(writer http.ResponseWriter, httpRequest *http.Request) {
			http.Redirect(writer, httpRequest, "/charges", http.StatusTemporaryRedirect)
		})
		require.Equal(t, http.StatusTemporaryRedirect, answer.Status())
	})
	t.Run("cut without a response", func(t *testing.T) {
		expectCause(t, request.CauseCut, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	})
	t.Run("cut within the response", func(t *testing.T) {
		expectCause(t, request.CauseCut, func(writer http.ResponseWriter, _ *http.Request) {
			writer.Header().Set("Content-Length", "10")
			writer.WriteHeader(http.StatusCreated)
		})
	})
	t.Run("status 503 alone does not mean that the call did not run", func(t *testing.T) {
		expectCause(t, 0, func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusServiceUnavailable) })
	})
	t.Run("the service reports that it did not run the call", func(t *testing.T) {
		expectCause(t, request.CauseRefused, func(writer http.ResponseWriter, _ *http.Request) {
			writer.Header().Set("X-Not-Run", "true")
			writer.WriteHeader(http.StatusServiceUnavailable)
		})
	})
	t.Run("cut after an earlier call succeeded: not sent again", func(t *testing.T) {
		var calls atomic.Int64
		server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			if calls.Add(1) > 1 {
				panic(http.ErrAbortHandler)
			}
		}))
		defer server.Close()
		client := servicehttp.New(clock.Second)
		_, _, err := call(t.Context(), client, server.Listener.Addr().String())
		require.NoError(t, err)
		_, cause, _ := call(t.Context(), client, server.Listener.Addr().String())
		require.Equal(t, request.CauseCut, cause)
		require.Equal(t, int64(2), calls.Load())
	})
	t.Run("no connection", func(t *testing.T) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		require.NoError(t, listener.Close())
		_, cause, _ := call(t.Context(), servicehttp.New(clock.Second), listener.Addr().String())
		require.Equal(t, request.CauseNotSent, cause)
	})
	t.Run("cancelled before a connection", func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, cause, _ := call(ctx, servicehttp.New(clock.Second), "127.0.0.1:1")
		require.Equal(t, request.CauseNotSent, cause)
	})
}

// expectRuns sends three calls to a service that runs the third and closes the
// connection without a response, and checks the number of runs. The first shows that
// the service echoes ids, the second opens a connection that is kept.
func expectRuns(t *testing.T, nonIdempotent bool, runs int64) {
	t.Helper()
	var ran atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, httpRequest *http.Request) {
		if ran.Add(1) == 3 {
			panic(http.ErrAbortHandler)
		}
		// Only connections to services that echo the id are used again.
		writer.Header().Set(servicehttp.HeaderRequestID, httpRequest.Header.Get(servicehttp.HeaderRequestID))
		writer.WriteHeader(http.StatusCreated)
	}))
	defer server.Close()
	client := servicehttp.New(clock.Second)
	routeConfig := route.New("bookings", route.KindService, "booking").WithNonIdempotent(nonIdempotent)
	req := request.New("req-1", "garage-north", routeConfig, "key-1", request.Prompt{}, 0)
	booking := backend.NewServer("booking-1", server.Listener.Addr().String(), "lj-a", "plain", "booking")
	call := service.NewCall(http.MethodPost, "/bookings", "text/plain", []byte("truck 7"))
	for range 2 {
		_, _, err := client.Call(context.Background(), booking, req, call)
		require.NoError(t, err)
	}
	_, cause, err := client.Call(context.Background(), booking, req, call)
	if nonIdempotent {
		require.Error(t, err)
		require.Equal(t, request.CauseCut, cause)
	}
	require.Equal(t, runs, ran.Load())
}

func TestConnectionClosedUnanswered(t *testing.T) {
	t.Run("a call with side effects is not repeated", func(t *testing.T) { expectRuns(t, true, 3) })
	t.Run("an idempotent one is repeated by the transport", func(t *testing.T) { expectRuns(t, false, 4) })
}
