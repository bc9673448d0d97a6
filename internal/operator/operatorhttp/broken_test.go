package operatorhttp_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/operator/operatorhttp"
	"sapphirehead/internal/placement/placementhttp"
	"sapphirehead/internal/response"
	"sapphirehead/internal/standin/brokenstandin"
)

// TestBrokenResponse guards against a response that is broken and that sapphirectl takes for
// a refusal or an answer.
func TestBrokenResponse(t *testing.T) {
	// expectBroken makes each kind of call with the answer, and checks that it fails with an
	// error of the type, as one that may have taken effect.
	expectBroken := func(t *testing.T, text string) {
		t.Helper()
		server, err := brokenstandin.New(brokenstandin.NewAnswer(text, brokenstandin.EndingKeep))
		require.NoError(t, err)
		defer server.Close()
		client := operatorhttp.NewClient(server.Address(), "token", nil, clock.System(), clock.Second)
		calls := map[string]func() error{
			"drain":  func() error { return client.DrainNode(t.Context(), "entry-1") },
			"status": func() error { _, err := client.Status(t.Context()); return err },
			"rollouts": func() error {
				_, err := operatorhttp.Rollouts(t.Context(), clock.System(), server.Address(), clock.Second)
				return err
			},
			"where": func() error {
				_, err := operatorhttp.Where(t.Context(), server.Address(), placementhttp.Query{}, clock.System(), clock.Second)
				return err
			},
		}
		for name, call := range calls {
			t.Run(name, func(t *testing.T) {
				err := call()
				var unreachable *operatorhttp.UnreachableError
				require.ErrorAs(t, err, &unreachable)
				require.True(t, response.IsBroken(err), "%v", err)
			})
		}
	}
	t.Run("status", func(t *testing.T) { expectBroken(t, "HTTP/1.1 000 Odd\r\nContent-Length: 2\r\n\r\n{}") })
	t.Run("name of a field", func(t *testing.T) { expectBroken(t, "HTTP/1.1 200 OK\r\nX Odd: a\r\nContent-Length: 2\r\n\r\n{}") })
}
