// Package platformhttp speaks HTTP to the platform: the object API and the
// lagging list of hosts.
//
// The object API in short; docs/PROTOCOLS.md has all of it:
//
//	GET /objects/tables/current                     200, ETag: "7", body
//	PUT /objects/tables/current  If-Match: "7"      200, ETag: "8" | 412
//	GET /objects/tables/current?watch=true&after=8  200 once it differs | 304
package platformhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/platform"
)

const (
	// maxObjectBytes is the largest object of the platform.
	maxObjectBytes = 1 << 20
	// maxHostsBytes bounds the list of hosts.
	maxHostsBytes = 16 << 20
	// watchWait is how long the platform holds a watch.
	watchWait = 20 * clock.Second
)

// Client calls the platform at one address.
type Client struct {
	base    string
	clock   *clock.Clock
	timeout clock.Millis
	http    *http.Client
}

// New returns a client for the platform at the host and port. Each call but a
// watch ends after the timeout.
func New(address string, clock *clock.Clock, timeout clock.Millis) *Client {
	return &Client{base: "http://" + address, clock: clock, timeout: timeout, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}}
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
	answer, err := client.do(ctx, http.MethodGet, path, nil, nil)
	if err != nil {
		return platform.Object{}, platform.NewUnavailableError(false, err)
	}
	defer answer.Body.Close()
	switch answer.StatusCode {
	case http.StatusOK, http.StatusNotModified:
	case http.StatusNotFound:
		return platform.Object{}, platform.NewNotFoundError(kind, name)
	default:
		return platform.Object{}, platform.NewUnavailableError(false, errors.Errorf("status %s", answer.Status))
	}
	version, err := parseETag(answer.Header.Get("ETag"))
	if err != nil {
		return platform.Object{}, platform.NewUnavailableError(false, err)
	}
	body, err := readLimited(answer.Body, maxObjectBytes)
	if err != nil {
		return platform.Object{}, platform.NewUnavailableError(false, err)
	}
	return platform.NewObject(version, body), nil
}

func (client *Client) put(ctx context.Context, kind, name string, body []byte, condition int64) (int64, error) {
	ctx, cancel := client.clock.WithTimeout(ctx, client.timeout)
	defer cancel()
	header := http.Header{}
	if condition == platform.VersionNone {
		header.Set("If-None-Match", "*")
	} else {
		header.Set("If-Match", formatETag(condition))
	}
	answer, err := client.do(ctx, http.MethodPut, objectPath(kind, name), header, body)
	if err != nil {
		return 0, platform.NewUnavailableError(!isDialError(err), err)
	}
	defer answer.Body.Close()
	switch answer.StatusCode {
	case http.StatusOK, http.StatusCreated:
		version, err := parseETag(answer.Header.Get("ETag"))
		if err != nil {
			return 0, platform.NewUnavailableError(true, err)
		}
		return version, nil
	case http.StatusPreconditionFailed:
		return 0, platform.NewConflictError(kind, name, condition)
	default:
		return 0, platform.NewUnavailableError(true, errors.Errorf("status %s", answer.Status))
	}
}

func (client *Client) do(ctx context.Context, method, path string, header http.Header, body []byte) (*http.Response, error) {
	message, err := http.NewRequestWithContext(ctx, method, client.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	for name, values := range header {
		message.Header[name] = values
	}
	return client.http.Do(message)
}

type hostForm struct {
	ID         string `json:"id"`
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre"`
	HostClass  string `json:"hostClass"`
	Pool       string `json:"pool"`
	State      string `json:"state"`
}

type hostsForm struct {
	Hosts []hostForm `json:"hosts"`
}

const hostStateLeaving = "leaving"

// Hosts returns the lagging list of live and leaving hosts.
func (client *Client) Hosts(ctx context.Context) ([]backend.Listed, error) {
	ctx, cancel := client.clock.WithTimeout(ctx, client.timeout)
	defer cancel()
	answer, err := client.do(ctx, http.MethodGet, "/hosts", nil, nil)
	if err != nil {
		return nil, platform.NewUnavailableError(false, err)
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return nil, platform.NewUnavailableError(false, errors.Errorf("status %s", answer.Status))
	}
	body, err := readLimited(answer.Body, maxHostsBytes)
	if err != nil {
		return nil, platform.NewUnavailableError(false, err)
	}
	return DecodeHosts(body)
}

// DecodeHosts reads the list of hosts.
func DecodeHosts(body []byte) ([]backend.Listed, error) {
	var form hostsForm
	if err := json.Unmarshal(body, &form); err != nil {
		return nil, errors.Wrap(err, "decode list of hosts")
	}
	list := make([]backend.Listed, 0, len(form.Hosts))
	for _, host := range form.Hosts {
		if host.ID == "" || host.Address == "" {
			return nil, errors.New("list of hosts: a host has no id or no address")
		}
		server := backend.NewServer(host.ID, host.Address, host.DataCentre, host.HostClass, host.Pool)
		list = append(list, backend.NewListed(server, host.State == hostStateLeaving))
	}
	return list, nil
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

// isDialError reports whether the call failed before a connection existed.
func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}
