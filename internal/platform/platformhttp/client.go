// Package platformhttp is an HTTP client of the platform's object API and of its
// list of hosts, which the platform updates with a delay.
//
// The object API in short; docs/PROTOCOLS.md describes all of it:
//
//	GET /objects/tables/current                     200, ETag: "7", body
//	PUT /objects/tables/current  If-Match: "7"      200, ETag: "8" | 412
//	GET /objects/tables/current?watch=true&after=8  200 once it differs | 304
//
// A failed write may have taken effect unless there is proof that it did not: this
// client refused it, it got no connection, or the platform refused it with a 4xx
// status other than 408. A 5xx status proves nothing.
//
// http.Transport repeats calls by itself when a reused connection turns out to be
// closed: a GET always, a PUT only if none of its bytes was written. So a
// conditional write is sent once. A PUT must not have an Idempotency-Key header,
// as the transport would then repeat it after bytes were sent.
//
// The client does not retry. Callers wait between their calls, and the breaker
// suspends calls that an outage would cause to fail anyway.
package platformhttp

import (
	"bytes"
	"context"
	"io"
	mathrand "math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/pkg/errors"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/platform"
	"sapphirehead/internal/response"
)

const (
	// maxObjectBytes is the platform's limit on the size of an object.
	maxObjectBytes = 1 << 20
	// maxHostsBytes limits the size of the list of hosts.
	maxHostsBytes = 16 << 20
	// watchWait is how long the platform keeps a watch open.
	watchWait = 20 * clock.Second
)

const (
	// maxIdleConnections limits the idle connections kept for later calls.
	maxIdleConnections = 16
	// idleTimeout is how long an idle connection is kept.
	idleTimeout = 30 * clock.Second
	// maxWriteResponseBytes limits how much of the response to a write is read.
	// It is read so that its connection can be reused.
	maxWriteResponseBytes = 64 << 10
)

// refuseRedirect prevents a write from being repeated at another address.
func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Client calls the platform at one address.
type Client struct {
	base    string
	clock   *clock.Clock
	timeout clock.Millis
	http    *http.Client
	breaker *platform.Breaker
	// cached is the list of hosts that was read last, or nil.
	cached atomic.Pointer[cachedHosts]
}

// maxHeadBytes bounds the head of a response.
const maxHeadBytes = 64 << 10

// New returns a client of the platform at the host and port. The timeout limits
// each call; a watch has watchWait in addition.
func New(address string, clock *clock.Clock, timeout clock.Millis) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnections, IdleConnTimeout: idleTimeout.Duration(), MaxResponseHeaderBytes: maxHeadBytes}
	return &Client{
		base: "http://" + address, clock: clock, timeout: timeout,
		http:    &http.Client{Transport: response.NewTransport(transport), CheckRedirect: refuseRedirect},
		breaker: platform.NewBreaker(clock, mathrand.Int64N),
	}
}

// Store returns the object API.
func (client *Client) Store() *platform.Store {
	return platform.NewStore(client.get, client.put, client.watch)
}

func objectPath(kind, name string) string {
	return "/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

func (client *Client) get(ctx context.Context, kind, name string) (platform.Object, error) {
	ctx, cancel := client.clock.WithTimeout(ctx, client.timeout)
	defer cancel()
	return client.read(ctx, kind, name, objectPath(kind, name))
}

func (client *Client) watch(ctx context.Context, kind, name string, after int64) (platform.Object, error) {
	ctx, cancel := client.clock.WithTimeout(ctx, watchWait+client.timeout)
	defer cancel()
	query := "?watch=true&after=" + strconv.FormatInt(after, 10) + "&waitMillis=" + strconv.FormatInt(int64(watchWait), 10)
	return client.read(ctx, kind, name, objectPath(kind, name)+query)
}

func (client *Client) read(ctx context.Context, kind, name, path string) (platform.Object, error) {
	response, _, err := client.do(ctx, http.MethodGet, path, nil, nil, maxObjectBytes)
	if err == nil {
		err = response.bodyErr
	}
	if err != nil {
		return platform.Object{}, platform.NewUnavailableError(false, err)
	}
	switch response.status {
	case http.StatusOK, http.StatusNotModified:
	case http.StatusNotFound:
		return platform.Object{}, platform.NewNotFoundError(kind, name)
	default:
		return platform.Object{}, platform.NewUnavailableError(false, errors.Errorf("status %d", response.status))
	}
	version, err := parseETag(response.tag)
	if err != nil {
		return platform.Object{}, platform.NewUnavailableError(false, err)
	}
	return platform.NewObject(version, response.body), nil
}

func (client *Client) put(ctx context.Context, kind, name string, body []byte, condition int64) (int64, error) {
	if len(body) > maxObjectBytes {
		return 0, platform.NewUnavailableError(false, errors.Errorf("object %s/%s has %d bytes: allowed are %d", kind, name, len(body), maxObjectBytes))
	}
	ctx, cancel := client.clock.WithTimeout(ctx, client.timeout)
	defer cancel()
	header := http.Header{}
	if condition == platform.VersionNone {
		header.Set("If-None-Match", "*")
	} else {
		header.Set("If-Match", formatETag(condition))
	}
	response, sent, err := client.do(ctx, http.MethodPut, objectPath(kind, name), header, body, maxWriteResponseBytes)
	if err != nil {
		return 0, platform.NewUnavailableError(sent, err)
	}
	switch response.status {
	case http.StatusOK, http.StatusCreated:
		version, err := parseETag(response.tag)
		if err != nil {
			return 0, platform.NewUnavailableError(true, err)
		}
		return version, nil
	case http.StatusPreconditionFailed:
		return 0, platform.NewConflictError(kind, name, condition)
	default:
		return 0, platform.NewUnavailableError(!rejectsWrite(response.status), errors.Errorf("status %d", response.status))
	}
}

// rejectsWrite reports whether the status proves that a write had no effect.
func rejectsWrite(status int) bool {
	clientError := status >= http.StatusBadRequest && status < http.StatusInternalServerError
	return clientError && status != http.StatusRequestTimeout
}

// apiResponse is the response to one call. The field bodyErr is set if the body
// could not be read in full.
type apiResponse struct {
	status  int
	tag     string
	body    []byte
	bodyErr error
}

// do makes one call. The result sent reports whether the call got a connection, so
// that some of its bytes may have been sent.
func (client *Client) do(ctx context.Context, method, path string, header http.Header, body []byte, limit int64) (result apiResponse, sent bool, err error) {
	if !client.breaker.Allow() {
		return apiResponse{}, false, errors.New("held back after failures")
	}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	message, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, client.base+path, bytes.NewReader(body))
	if err != nil {
		return apiResponse{}, false, err
	}
	for name, values := range header {
		message.Header[name] = values
	}
	response, err := client.http.Do(message)
	if err != nil {
		client.reportFailure(ctx)
		return apiResponse{}, connected.Load(), err
	}
	defer response.Body.Close()
	result = apiResponse{status: response.StatusCode, tag: response.Header.Get("ETag")}
	result.body, result.bodyErr = readLimited(response.Body, limit)
	client.breaker.Report(response.StatusCode < http.StatusInternalServerError)
	return result, true, nil
}

// reportFailure reports a call without a response to the breaker, unless its caller
// cancelled it. After a timeout it closes the idle connections, as their other
// ends may have lost their state.
func (client *Client) reportFailure(ctx context.Context) {
	timedOut := errors.Is(context.Cause(ctx), context.DeadlineExceeded)
	if timedOut {
		client.http.CloseIdleConnections()
	}
	if timedOut || ctx.Err() == nil {
		client.breaker.Report(false)
	}
}

func readLimited(reader io.Reader, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(reader, limit+1))
	if err != nil {
		return nil, errors.Wrap(err, "read answer")
	}
	if int64(len(body)) > limit {
		return nil, errors.Errorf("answer has more than %d bytes", limit)
	}
	return body, nil
}

func formatETag(version int64) string { return `"` + strconv.FormatInt(version, 10) + `"` }

func parseETag(tag string) (int64, error) {
	version, err := strconv.ParseInt(strings.Trim(tag, `"`), 10, 64)
	return version, errors.Wrapf(err, "version %q", tag)
}
