package runnerhttp_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/pool"
	"sapphirehead/internal/runner"
	"sapphirehead/internal/runner/runnerhttp"
)

// expectOrder sends an order to a runner that responds with the status, and checks
// the number of complete orders that arrived.
func expectOrder(t *testing.T, permit bool, status, arrived int) error {
	t.Helper()
	received := make(chan struct{}, 2)
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, httpRequest *http.Request) {
		var form map[string]any
		if json.NewDecoder(httpRequest.Body).Decode(&form) == nil {
			received <- struct{}{}
		}
		writer.WriteHeader(status)
	}))
	client := runnerhttp.New(clock.System(), clock.Second)
	target := backend.NewServer("host-1", strings.TrimPrefix(server.URL, "http://"), "lj-a", "gpu", "runners")
	order := runner.NewOrder(41, []pool.Model{pool.NewModel("desk", "v1")}, runner.RoleServe)
	err := client.Order(context.Background(), target, order, func() bool { return permit })
	server.Close()
	require.Len(t, received, arrived)
	return err
}

func TestOrder(t *testing.T) {
	t.Run("permitted", func(t *testing.T) {
		require.NoError(t, expectOrder(t, true, http.StatusNoContent, 1))
	})
	t.Run("nothing arrives if not permitted at the time of sending", func(t *testing.T) {
		var refused *runner.NotPermittedError
		require.ErrorAs(t, expectOrder(t, false, http.StatusNoContent, 0), &refused)
	})
	t.Run("old fencing token", func(t *testing.T) {
		var old *runner.StaleFenceError
		require.ErrorAs(t, expectOrder(t, true, http.StatusConflict, 1), &old)
		require.Equal(t, int64(41), old.Fence())
	})
}
