package entry

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/request"
)

// TestFirstChatOfFreshHost checks that an entry host which has just become ready serves
// a chat, although most listed runners are dead and only its peers know that.
func TestFirstChatOfFreshHost(t *testing.T) {
	cluster := newCluster(t, clock.System(), 1, 0)
	fresh := cluster.addEntry()
	cluster.preload()
	listed := []backend.Listing{backend.NewListing(fresh.fleet.Current().Server("runner-1"), false)}
	for i := range 3 * request.MaxAttempts {
		id, address := fmt.Sprintf("dead-%d", i), refusingAddress(t)
		cluster.register(id, address)
		listed = append(listed, backend.NewListing(backend.NewServer(id, address, "lj-a", "gpu-small", "runners"), false))
	}
	fresh.fleet.Update(listed)
	cluster.run(fresh)
	awaitReady(t, fresh)
	only := cluster.runners["runner-1"]
	go only.stepClock.fireAll(t.Context())
	question := chat{content: "Is filter 12 ready?", maxTokens: 4}
	response := cluster.post(0, "", question)
	require.Equal(t, http.StatusOK, response.status)
	expectCompletion(t, question, response)
}

// refusingAddress returns an address that refuses connections.
func refusingAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	return listener.Addr().String()
}

// awaitReady waits until the host's readiness probe succeeds.
func awaitReady(t *testing.T, entry *Entry) {
	t.Helper()
	ctx, cancel := clock.System().WithTimeout(t.Context(), 2*clock.Minute)
	defer cancel()
	for {
		response, err := http.Get("http://" + entry.CallerAddress() + "/readyz")
		require.NoError(t, err)
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return
		}
		require.NoError(t, clock.System().Wait(ctx, clock.Millisecond), "the host does not become ready")
	}
}
