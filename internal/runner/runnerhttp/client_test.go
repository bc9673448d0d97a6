package runnerhttp_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/request"
	"sapphirehead/internal/route"
	"sapphirehead/internal/runner"
	"sapphirehead/internal/runner/runnerhttp"
)

// openStream opens the stream of request req-1 at a runner with the handler, by an
// attempt of the mode.
func openStream(t *testing.T, mode request.AttemptMode, handler http.HandlerFunc) (*runner.Stream, error) {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	client := runnerhttp.New(clock.System(), clock.Second)
	t.Cleanup(client.Close)
	backendServer := backend.NewServer("runner-1", strings.TrimPrefix(server.URL, "http://"), "lj-a", "gpu-small", "runners")
	req := request.New("req-1", "garage-north", route.New("desk", route.KindChat, "runners"), "", request.Prompt{}, 0)
	flow := request.NewFlow(req, clock.NewManual(0).Clock(), func(*request.Request, []string) (*backend.Server, bool) { return backendServer, true },
		func(*request.Request) bool { return true })
	action := flow.Start()
	if mode == request.AttemptResume {
		flow.Stream(1, "stream-1")
		action = flow.Broken(1, request.CauseCut)
	}
	stream, err := client.Open(t.Context(), req, action.Attempt())
	if err == nil {
		t.Cleanup(stream.Close)
	}
	return stream, err
}

func expectCause(t *testing.T, cause request.Cause, err error) {
	t.Helper()
	var broken *runner.AttemptError
	require.ErrorAs(t, err, &broken)
	require.Equal(t, cause, broken.Cause())
}

func respondWith(text string) http.HandlerFunc {
	return func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("X-Stream-Id", "stream-1")
		fmt.Fprint(writer, text)
	}
}

func TestEvents(t *testing.T) {
	firstEvent := func(t *testing.T, text string) (runner.Event, error) {
		t.Helper()
		stream, err := openStream(t, request.AttemptFresh, respondWith(text))
		require.NoError(t, err)
		return stream.Next()
	}
	t.Run("a comment is an event without tokens", func(t *testing.T) {
		event, err := firstEvent(t, ": queued\n\n")
		require.NoError(t, err)
		require.Empty(t, event.Tokens())
		_, ended := event.Ended()
		require.False(t, ended)
	})
	t.Run("tokens and the leaving mark", func(t *testing.T) {
		event, err := firstEvent(t, `data: {"sapphire":{"offset":3,"tokens":["a"],"leaving":true}}`+"\n\n")
		require.NoError(t, err)
		require.Equal(t, runner.NewEvent(3, []string{"a"}).WithLeaving(true), event)
	})
	t.Run("a missing end mark is cut", func(t *testing.T) {
		_, err := firstEvent(t, "")
		expectCause(t, request.CauseCut, err)
	})
	t.Run("an event that can't be decoded is invalid", func(t *testing.T) {
		_, err := firstEvent(t, "data: {\n\n")
		expectCause(t, request.CauseInvalid, err)
	})
	t.Run("a negative offset is invalid", func(t *testing.T) {
		_, err := firstEvent(t, `data: {"sapphire":{"offset":-1}}`+"\n\n")
		expectCause(t, request.CauseInvalid, err)
	})
}

func TestOpen(t *testing.T) {
	expect := func(name string, mode request.AttemptMode, cause request.Cause, header, value string, status int) {
		t.Run(name, func(t *testing.T) {
			_, err := openStream(t, mode, func(writer http.ResponseWriter, _ *http.Request) {
				writer.Header().Set(header, value)
				writer.WriteHeader(status)
			})
			if cause == 0 {
				require.NoError(t, err)
				return
			}
			expectCause(t, cause, err)
		})
	}
	const ok = http.StatusOK
	expect("echo of the request", request.AttemptFresh, 0, "X-Request-Id", "req-1", ok)
	expect("response to another request", request.AttemptFresh, request.CauseInvalid, "X-Request-Id", "req-2", ok)
	expect("resumed stream", request.AttemptResume, 0, "X-Stream-Id", "stream-1", ok)
	expect("response for another stream", request.AttemptResume, request.CauseInvalid, "X-Stream-Id", "stream-2", ok)
	expect("not run", request.AttemptFresh, request.CauseRefused, "X-Leaving", "true", http.StatusServiceUnavailable)
	expect("unknown stream", request.AttemptResume, request.CauseGone, "X-Leaving", "true", http.StatusNotFound)
}
