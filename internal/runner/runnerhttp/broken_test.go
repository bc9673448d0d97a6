package runnerhttp_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/request"
	"sapphirehead/internal/response"
	"sapphirehead/internal/route"
	"sapphirehead/internal/runner"
	"sapphirehead/internal/runner/runnerhttp"
	"sapphirehead/internal/standin/brokenstandin"
)

// expectBroken makes each call of a runner with the answer, and checks that it fails with
// an error of the type.
func expectBroken[E error](t *testing.T, answer brokenstandin.Answer) {
	t.Helper()
	standin, err := brokenstandin.New(answer)
	require.NoError(t, err)
	defer standin.Close()
	server := backend.NewServer("runner-1", standin.Address(), "lj-a", "gpu-small", "runners")
	client := runnerhttp.New(clock.System(), clock.Second)
	defer client.Close()
	req := request.New("req-1", "garage-north", route.New("desk", route.KindChat, "runners"), "", request.Prompt{}, 0)
	flow := request.NewFlow(req, clock.NewManual(0).Clock(), func(*request.Request, []string) (*backend.Server, bool) { return server, true },
		func(*request.Request) bool { return true })
	attempt := flow.Start().Attempt()
	calls := map[string]func() error{
		"open":         func() error { _, err := client.Open(t.Context(), req, attempt); return err },
		"state":        func() error { _, err := client.State(t.Context(), server); return err },
		"cache events": func() error { _, err := client.CacheEvents(t.Context(), server, 0); return err },
		"cancel":       func() error { return client.Cancel(t.Context(), server, "stream-1") },
		"order": func() error {
			return client.Order(t.Context(), server, runner.NewOrder(1, nil, "both"), func() bool { return true })
		},
	}
	for name, call := range calls {
		t.Run(name, func(t *testing.T) {
			before := standin.Requests()
			var broken E
			require.ErrorAs(t, call(), &broken)
			require.Equal(t, before+1, standin.Requests())
		})
	}
}

// TestBrokenStatus guards against a response without a final status that is taken for one.
func TestBrokenStatus(t *testing.T) {
	for name, answer := range brokenstandin.BrokenStatuses("", "{}") {
		t.Run(name, func(t *testing.T) { expectBroken[*response.StatusError](t, answer) })
	}
}

// TestBrokenFieldName guards against a response in whose head the name of a field is none.
func TestBrokenFieldName(t *testing.T) {
	for name, answer := range brokenstandin.BrokenNames("", "{}") {
		t.Run(name, func(t *testing.T) { expectBroken[*response.FieldNameError](t, answer) })
	}
}
