// Package servicehttp speaks HTTP to application services.
//
// A call that may not be repeated goes over a connection of its own: the
// standard transport repeats a request by itself when a kept connection turns
// out to be closed, and does so even for a POST if the request carries an
// Idempotency-Key. On a fresh connection it never does. Without a connection
// no byte can have left; every other failure leaves it open.
package servicehttp

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/pkg/errors"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/request"
	"sapphirehead/internal/service"
)

// MaxResponseBytes is the largest answer that is passed on.
const MaxResponseBytes = 8 << 20

// Header names that go to services.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderAccount   = "X-Client-Account"
	HeaderKey       = "Idempotency-Key"
	// HeaderFingerprint is a digest of method, path and body, by which a
	// service that refuses repeated keys tells a repeat from another call.
	HeaderFingerprint = "X-Call-Fingerprint"
)

// Client calls application services.
type Client struct {
	kept  *http.Client
	fresh *http.Client
}

// New returns a client whose connections are opened within the timeout.
func New(connectTimeout clock.Millis) *Client {
	dialer := &net.Dialer{Timeout: connectTimeout.Duration()}
	return &Client{
		kept:  newClient(&http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 64}),
		fresh: newClient(&http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}),
	}
}

// newClient returns a client that passes redirects on: following one would
// send the call again.
func newClient(transport *http.Transport) *http.Client {
	refuse := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &http.Client{Transport: transport, CheckRedirect: refuse}
}

// Call sends the call to the server. The cause tells what is known about the
// attempt when err is not nil.
func (client *Client) Call(ctx context.Context, server *backend.Server, from *request.Request, call service.Call) (answer service.Answer, cause request.Cause, err error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	message, err := newMessage(httptrace.WithClientTrace(ctx, trace), server, from, call)
	if err != nil {
		return service.Answer{}, request.CauseNotSent, err
	}
	reply, err := client.transport(from).Do(message)
	if err != nil && !connected.Load() {
		return service.Answer{}, request.CauseNotSent, err
	}
	if err != nil {
		return service.Answer{}, request.CauseCut, err
	}
	defer reply.Body.Close()
	body, err := io.ReadAll(io.LimitReader(reply.Body, MaxResponseBytes+1))
	if err != nil {
		return service.Answer{}, request.CauseCut, err
	}
	if len(body) > MaxResponseBytes {
		return service.Answer{}, request.CauseCut, errors.Errorf("answer has more than %d bytes", MaxResponseBytes)
	}
	if reply.Header.Get("X-Leaving") == "true" {
		server.MarkLeaving()
	}
	if reply.StatusCode == http.StatusServiceUnavailable && reply.Header.Get("X-Not-Run") == "true" {
		return service.Answer{}, request.CauseRefused, errors.New("the service did not run the call")
	}
	return service.NewAnswer(reply.StatusCode, reply.Header.Get("Content-Type"), body), 0, nil
}

func (client *Client) transport(from *request.Request) *http.Client {
	if from.Route().NonIdempotent() {
		return client.fresh
	}
	return client.kept
}

func newMessage(ctx context.Context, server *backend.Server, from *request.Request, call service.Call) (*http.Request, error) {
	message, err := http.NewRequestWithContext(ctx, call.Method(), "http://"+server.Address()+call.Path(), bytes.NewReader(call.Body()))
	if err != nil {
		return nil, err
	}
	message.Header.Set(HeaderRequestID, from.ID())
	message.Header.Set(HeaderAccount, from.Account())
	if call.ContentType() != "" {
		message.Header.Set("Content-Type", call.ContentType())
	}
	if from.Key() != "" {
		message.Header.Set(HeaderKey, from.Key())
		message.Header.Set(HeaderFingerprint, from.Fingerprint())
	}
	return message, nil
}
