package runnerhttp

import (
	"context"
	"net"
	"net/http"
	"sync"

	"sapphirehead/internal/clock"
)

// Bounds on kept connections.
const (
	maxIdlePerServer = 64
	idleTimeout      = 90 * clock.Second
)

// connections keeps the connections to each server apart, so that those to one
// server can be given up together. When one of them has gone silent, others
// that lie idle may have too: something between the two ends has lost track of
// them. A renewed server gets new connections; streams in progress on the old
// ones go on or find out for themselves.
type connections struct {
	dial      func(ctx context.Context, network, address string) (net.Conn, error)
	byAddress sync.Map
}

func newConnections(connectTimeout clock.Millis) *connections {
	dialer := &net.Dialer{Timeout: connectTimeout.Duration()}
	return &connections{dial: dialer.DialContext}
}

func (connections *connections) transport() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: connections.dial, MaxIdleConnsPerHost: maxIdlePerServer, IdleConnTimeout: idleTimeout.Duration(),
	}}
}

// client returns the client for the server at the address.
func (connections *connections) client(address string) *http.Client {
	if known, ok := connections.byAddress.Load(address); ok {
		return known.(*http.Client)
	}
	known, _ := connections.byAddress.LoadOrStore(address, connections.transport())
	return known.(*http.Client)
}

// closeIdle gives up the idle connections to the address.
func (connections *connections) closeIdle(address string) {
	if known, ok := connections.byAddress.LoadAndDelete(address); ok {
		known.(*http.Client).CloseIdleConnections()
	}
}

// close gives up all idle connections.
func (connections *connections) close() {
	connections.byAddress.Range(func(address, _ any) bool {
		connections.closeIdle(address.(string))
		return true
	})
}
