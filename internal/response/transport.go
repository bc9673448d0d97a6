package response

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
)

// Transport is an http.RoundTripper that checks responses as Conn does. It does not check
// those over TLS.
type Transport struct{ base *http.Transport }

// NewTransport returns a transport that sends requests through the base, and changes the
// base's way of opening connections. The base must not have been used before, except with
// another Transport.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if checked, ok := conn.(*Conn); ok {
			return checked, nil
		}
		return NewConn(conn), nil
	}
	return &Transport{base: base}
}

// NewDefaultTransport returns a transport with the settings of http.DefaultTransport and
// connections of its own.
func NewDefaultTransport() *Transport {
	return NewTransport(http.DefaultTransport.(*http.Transport).Clone())
}

// RoundTrip sends the request. Errors: those of Conn, and those of http.Transport.
func (transport *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	var conn *Conn
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, _ = info.Conn.(*Conn); conn != nil {
			conn.Expect()
		}
	}}
	received, err := transport.base.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil && conn != nil && conn.Broken() != nil {
		return nil, conn.Broken()
	}
	return received, err
}

// CloseIdleConnections closes the connections that no request uses.
func (transport *Transport) CloseIdleConnections() { transport.base.CloseIdleConnections() }
