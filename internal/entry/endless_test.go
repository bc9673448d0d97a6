package entry

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/standin/endlessstandin"
)

// TestStalledStream checks that a stream which stalls after its first token ends,
// although its runner goes on sending comments, and that the caller gets the whole
// response from another runner.
func TestStalledStream(t *testing.T) {
	const prefix = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n" +
		`data: {"choices":[{"delta":{"content":"x"}}],"sapphire":{"offset":0,"tokens":["x"]}}` + "\n\n"
	cluster := newCluster(t, clock.System(), 0, 0)
	stalled, err := endlessstandin.New(func(*http.Request) string { return prefix }, ": still here\n\n", 5)
	require.NoError(t, err)
	defer stalled.Close()
	cluster.register("stalled", stalled.Address())
	host := cluster.addEntry()
	cluster.preload()
	host.fleet.Update([]backend.Listing{backend.NewListing(backend.NewServer("stalled", stalled.Address(), "lj-a", "gpu-small", "runners"), false)})
	cluster.run(host)
	awaitReady(t, host)
	question := chat{content: "Is filter 12 ready?", maxTokens: 4, stream: true}
	started := clock.System().Now()
	response := cluster.post(0, "", question)
	for response.scanner.Scan() {
	}
	require.Less(t, clock.System().Now()-started, 30*clock.Second)
	<-stalled.Abandoned()
}
