package runnerhttp

import (
	"context"
	"net"
	"net/http"
	"sync"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/response"
)

// Bounds on idle connections.
const (
	maxIdlePerServer = 64
	idleTimeout      = 90 * clock.Second
)

// connections holds an HTTP client for each server, so that the idle connections
// to one server can be closed together. When one connection no longer responds, the
// idle ones may not respond either, as a device on the path may have lost the state
// of all. Later requests use new connections; streams in progress on the old ones
// continue or fail by themselves.
type connections struct {
	dial      func(ctx context.Context, network, address string) (net.Conn, error)
	byAddress sync.Map
}

// maxHeadBytes bounds the head of a response.
const maxHeadBytes = 64 << 10

func newConnections(connectTimeout clock.Millis) *connections {
	dialer := &net.Dialer{Timeout: connectTimeout.Duration()}
	return &connections{dial: dialer.DialContext}
}

func (connections *connections) newHTTPClient() *http.Client {
	return &http.Client{Transport: response.NewTransport(&http.Transport{
		DialContext: connections.dial, MaxIdleConnsPerHost: maxIdlePerServer, IdleConnTimeout: idleTimeout.Duration(),
		MaxResponseHeaderBytes: maxHeadBytes,
	})}
}

// client returns the client for the server at the address.
func (connections *connections) client(address string) *http.Client {
	if httpClient, ok := connections.byAddress.Load(address); ok {
		return httpClient.(*http.Client)
	}
	httpClient, _ := connections.byAddress.LoadOrStore(address, connections.newHTTPClient())
	return httpClient.(*http.Client)
}

// reset closes the idle connections to the address. Later requests use new ones.
func (connections *connections) reset(address string) {
	if httpClient, ok := connections.byAddress.LoadAndDelete(address); ok {
		httpClient.(*http.Client).CloseIdleConnections()
	}
}

// close closes all idle connections.
func (connections *connections) close() {
	connections.byAddress.Range(func(address, _ any) bool {
		connections.reset(address.(string))
		return true
	})
}
