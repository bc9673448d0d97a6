package entry

import (
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"sapphirehead/internal/burn"
	"sapphirehead/internal/caller"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/request"
	"sapphirehead/internal/route"
	"sapphirehead/internal/settings"
)

const plainSettings = `host = "entry-1"
dataCentre = "lj-a"
[caller]
listen = "127.0.0.1:0"
[operator]
listen = "127.0.0.1:0"
token = "token-of-operators"
[node]
listen = "127.0.0.1:0"
[platform]
address = "127.0.0.1:1"
`

// TestRefusedRequestsBurn checks that a refused request counts in the burn, and
// that a refused resumption of a response does not.
func TestRefusedRequestsBurn(t *testing.T) {
	loaded, err := settings.ParseEntry("entry.toml", []byte(plainSettings))
	require.NoError(t, err)
	host, err := New(loaded, clock.System(), zerolog.Nop())
	require.NoError(t, err)
	defer host.listeners.caller.Close()
	defer host.listeners.operator.Close()
	defer host.listeners.node.Close()
	host.admission.Close()
	account := caller.NewAccount("garage-north", 0)
	expectRefused := func(t *testing.T, req *request.Request, want int64) {
		t.Helper()
		_, err := host.trackedAdmit(account, req)
		require.Error(t, err)
		refused := int64(0)
		for _, row := range host.meter.Report().Rows() {
			require.Equal(t, "desk", row.Route())
			require.Equal(t, "garage-north", row.Account())
			refused += row.Counts(burn.Window5Minutes).Count(burn.Refused)
		}
		require.Equal(t, want, refused)
	}
	desk := route.New("desk", route.KindChat, "runners")
	t.Run("a request", func(t *testing.T) {
		expectRefused(t, request.New("req-1", "garage-north", desk, "", request.Prompt{}, host.clock.Now()), 1)
	})
	t.Run("a caller that resumes a response", func(t *testing.T) { expectRefused(t, nil, 1) })
}
