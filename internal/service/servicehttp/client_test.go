package servicehttp_test

import (
	"context"
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

// expectRuns sends two calls to a service that runs the second and closes the
// connection unanswered, and checks how often the service ran.
func expectRuns(t *testing.T, nonIdempotent bool, runs int64) {
	t.Helper()
	var ran atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		if ran.Add(1) == 2 {
			panic(http.ErrAbortHandler)
		}
		writer.WriteHeader(http.StatusCreated)
	}))
	defer server.Close()
	client := servicehttp.New(clock.Second)
	on := route.New("bookings", route.KindService, "booking").WithNonIdempotent(nonIdempotent)
	to := request.New("req-1", "garage-north", on, "key-1", request.Prompt{}, 0)
	booking := backend.NewServer("booking-1", server.Listener.Addr().String(), "lj-a", "plain", "booking")
	call := service.NewCall(http.MethodPost, "/bookings", "text/plain", []byte("truck 7"))
	_, _, err := client.Call(context.Background(), booking, to, call)
	require.NoError(t, err)
	_, cause, err := client.Call(context.Background(), booking, to, call)
	if nonIdempotent {
		require.Error(t, err)
		require.Equal(t, request.CauseCut, cause)
	}
	require.Equal(t, runs, ran.Load())
}

func TestConnectionClosedUnanswered(t *testing.T) {
	t.Run("a call with side effects is not repeated", func(t *testing.T) { expectRuns(t, true, 2) })
	t.Run("an idempotent one is repeated by the transport", func(t *testing.T) { expectRuns(t, false, 3) })
}
