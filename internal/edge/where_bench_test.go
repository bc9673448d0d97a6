package edge

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/directory"
	"sapphirehead/internal/node"
	"sapphirehead/internal/pool"
	"sapphirehead/internal/route"
	"sapphirehead/internal/settings"
)

// BenchmarkWhere measures one query at a node with 294 peers and 240 engines.
func BenchmarkWhere(b *testing.B) {
	const peers, engines = 294, 240
	loaded, err := settings.ParseEdge("edge.toml", []byte(`
host = "edge-1"
dataCentre = "lj-a"
[caller]
listen = "127.0.0.1:0"
readyListen = "127.0.0.1:0"
[node]
listen = "127.0.0.1:0"
[metrics]
listen = "127.0.0.1:0"
[platform]
address = "127.0.0.1:1"
[cloud]
address = "127.0.0.1:1"
`))
	require.NoError(b, err)
	edge, err := New(loaded, clock.System(), zerolog.Nop())
	require.NoError(b, err)
	b.Cleanup(func() {
		edge.listeners.caller.Close()
		edge.listeners.ready.Close()
		edge.listeners.metrics.Close()
		require.NoError(b, edge.peers.socket.Close())
	})
	var list []backend.Listing
	for i := range engines {
		list = append(list, backend.NewListing(backend.NewServer(fmt.Sprint("e-", i), "10.0.0.1:80", "lj-a", "", "engines"), false))
	}
	edge.fleet.Update(list)
	for i := range peers {
		host, address := fmt.Sprint("peer-", i), fmt.Sprintf("10.0.1.%d:80", i)
		edge.peers.states.Add(host, address, clock.System().Now())
		edge.peers.states.Receive(node.NewBulletin(host, address, 1, 1, clock.System().Wall(), false), clock.System().Now())
	}
	edge.peers.states.Publish()
	routes := []route.Route{route.New("chat", route.KindChat, "engines")}
	edge.directory.Offer(directory.New(1, routes, []pool.Pool{pool.New("engines", pool.KindRunner)}, nil, directory.NewLimits(0)))
	handler := edge.metricsHandler()
	for b.Loop() {
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/where?route=chat&parts=a:800,b:410,c:250&tokens=1460,80", nil))
		require.Equal(b, http.StatusOK, recorder.Code)
	}
}
