// Package servicehttp is an HTTP client of application services.
//
// A non-idempotent call uses a new connection, because the standard transport
// repeats a request by itself when a reused connection turns out to be closed,
// even a POST if the request has an Idempotency-Key header. On a new connection it
// never does. If no connection was established, no byte of the call was sent;
// after any other failure the call may have run.
package servicehttp

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/request"
	"sapphirehead/internal/response"
	"sapphirehead/internal/service"
)

// MaxResponseBytes bounds the body of a response.
const MaxResponseBytes = 8 << 20

// Names of headers sent to services.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderAccount   = "X-Client-Account"
	HeaderKey       = "Idempotency-Key"
	// HeaderFingerprint is a digest of method, path and body, by which a service
	// that refuses repeated keys distinguishes a repeat from a different call.
	HeaderFingerprint = "X-Call-Fingerprint"
)

// Client calls application services.
type Client struct {
	keepAlive *http.Client
	singleUse *http.Client
	// echoing holds the addresses of servers that echo the id of a request. Only their
	// connections are used again: a late second copy of an answer would look like the
	// answer to the next call.
	echoing sync.Map
}

// maxHeadBytes bounds the head of a response.
const maxHeadBytes = 64 << 10

// New returns a client with the timeout for opening connections.
func New(connectTimeout clock.Millis) *Client {
	dialer := &net.Dialer{Timeout: connectTimeout.Duration()}
	return &Client{
		keepAlive: newClient(&http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 64, MaxResponseHeaderBytes: maxHeadBytes}),
		singleUse: newClient(&http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeadBytes}),
	}
}

// newClient returns a client that returns redirects instead of following them, as
// following one would send the call again.
func newClient(transport *http.Transport) *http.Client {
	refuse := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &http.Client{Transport: response.NewTransport(transport), CheckRedirect: refuse}
}

// Call sends the call to the server. If err is not nil, the cause shows whether the
// call may have run.
func (client *Client) Call(ctx context.Context, server *backend.Server, req *request.Request, call service.Call) (answer service.Answer, cause request.Cause, err error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	httpRequest, err := newMessage(httptrace.WithClientTrace(ctx, trace), server, req, call)
	if err != nil {
		return service.Answer{}, request.CauseNotSent, err
	}
	response, err := client.transport(server, req).Do(httpRequest)
	if err != nil && !connected.Load() {
		return service.Answer{}, request.CauseNotSent, err
	}
	if err != nil {
		return service.Answer{}, request.CauseCut, err
	}
	defer response.Body.Close()
	switch echoed := response.Header.Get(HeaderRequestID); echoed {
	case "":
		client.echoing.Delete(server.Address())
	case req.ID():
		client.echoing.Store(server.Address(), true)
	default:
		return service.Answer{}, request.CauseCut, &OtherAnswerError{id: echoed}
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, MaxResponseBytes+1))
	if err != nil {
		return service.Answer{}, request.CauseCut, err
	}
	if len(body) > MaxResponseBytes {
		return service.Answer{}, request.CauseCut, errors.Errorf("answer has more than %d bytes", MaxResponseBytes)
	}
	if len(body) == 0 && response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		// Only the end of the connection ends such a body, so it may never have begun.
		return service.Answer{}, request.CauseCut, io.ErrUnexpectedEOF
	}
	if response.Header.Get("X-Leaving") == "true" {
		server.MarkLeaving()
	}
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("X-Not-Run") == "true" {
		return service.Answer{}, request.CauseRefused, errors.New("the service did not run the call")
	}
	return service.NewAnswer(response.StatusCode, response.Header.Get("Content-Type"), body), 0, nil
}

// OtherAnswerError reports an answer to another request.
type OtherAnswerError struct{ id string }

// ID returns the id of the other request.
func (err *OtherAnswerError) ID() string { return err.id }

func (err *OtherAnswerError) Error() string { return "the answer belongs to request " + err.id }

func (client *Client) transport(server *backend.Server, req *request.Request) *http.Client {
	if _, echoes := client.echoing.Load(server.Address()); !echoes || req.Route().NonIdempotent() {
		return client.singleUse
	}
	return client.keepAlive
}

// Close closes the idle connections.
func (client *Client) Close() { client.keepAlive.CloseIdleConnections() }

func newMessage(ctx context.Context, server *backend.Server, req *request.Request, call service.Call) (*http.Request, error) {
	httpRequest, err := http.NewRequestWithContext(ctx, call.Method(), "http://"+server.Address()+call.Path(), bytes.NewReader(call.Body()))
	if err != nil {
		return nil, err
	}
	httpRequest.Header.Set(HeaderRequestID, req.ID())
	httpRequest.Header.Set(HeaderAccount, req.Account())
	if call.ContentType() != "" {
		httpRequest.Header.Set("Content-Type", call.ContentType())
	}
	if req.Key() != "" {
		httpRequest.Header.Set(HeaderKey, req.Key())
		httpRequest.Header.Set(HeaderFingerprint, req.Fingerprint())
	}
	return httpRequest, nil
}
