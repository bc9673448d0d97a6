package operatorhttp

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/pkg/errors"

	"sapphirehead/internal/burn"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/operator"
	"sapphirehead/internal/response"
	"sapphirehead/internal/table"
	"sapphirehead/internal/table/tablecodec"
)

// maxResponseBytes limits how much of a response of the operators' API is read.
const maxResponseBytes = 16 << 20

// Client calls the operators' API of one entry host.
type Client struct {
	base    string
	token   string
	clock   *clock.Clock
	timeout clock.Millis
	http    *http.Client
}

// NewClient returns a client of the entry host at the host and port. The certificates
// are nil for plain HTTP.
func NewClient(address, token string, certificates *tls.Config, clock *clock.Clock, timeout clock.Millis) *Client {
	scheme := "http://"
	if certificates != nil {
		scheme = "https://"
	}
	transport := response.NewTransport(&http.Transport{TLSClientConfig: certificates})
	return &Client{base: scheme + address + "/admin/v1", token: token, clock: clock, timeout: timeout, http: &http.Client{Transport: transport}}
}

// roundTrip is an http.RoundTripper that calls a function instead of using
// connections.
type roundTrip func(message *http.Request) (*http.Response, error)

// RoundTrip calls the function.
func (send roundTrip) RoundTrip(message *http.Request) (*http.Response, error) { return send(message) }

// WithTransport returns a client that sends its requests through the function instead
// of connections.
func (client *Client) WithTransport(send func(message *http.Request) (*http.Response, error)) *Client {
	changed := *client
	changed.http = &http.Client{Transport: roundTrip(send)}
	return &changed
}

// UnreachableError says that the entry host returned no usable response. A call that
// changes something may have taken effect.
type UnreachableError struct {
	address string
	cause   error
}

// Unwrap returns the cause.
func (err *UnreachableError) Unwrap() error { return err.cause }

func (err *UnreachableError) Error() string {
	return fmt.Sprintf("no answer from %s: %v", err.address, err.cause)
}

// RefusedError is an error returned by the operators' API.
type RefusedError struct {
	status  int
	kind    string
	message string
}

// Kind returns the type of the error, as in "conflict".
func (err *RefusedError) Kind() string { return err.kind }

// Status returns the HTTP status.
func (err *RefusedError) Status() int { return err.status }

func (err *RefusedError) Error() string { return fmt.Sprintf("%s: %s", err.kind, err.message) }

// Tables returns the tables as the platform stores them.
func (client *Client) Tables(ctx context.Context) (*table.Tables, error) {
	body, err := client.call(ctx, http.MethodGet, "/tables", nil)
	if err != nil {
		return nil, err
	}
	return tablecodec.DecodeJSON(body)
}

// Commit sends an edit and returns the version that it committed. An edit whose
// outcome is unknown may be sent again, as its ID makes it idempotent.
func (client *Client) Commit(ctx context.Context, edit *table.Edit) (int64, error) {
	message, err := tablecodec.EncodeEditJSON(edit)
	if err != nil {
		return 0, err
	}
	body, err := client.call(ctx, http.MethodPost, "/edits", message)
	if err != nil {
		return 0, err
	}
	var form committedForm
	err = json.Unmarshal(body, &form)
	return form.Version, errors.Wrap(err, "decode answer")
}

// Status returns the report of the entry host.
func (client *Client) Status(ctx context.Context) (operator.Status, error) {
	var form statusForm
	err := client.read(ctx, "/status", &form)
	return form.status(), err
}

// History returns the latest edits, newest first. The row is as in
// "route/desk", or empty for all.
func (client *Client) History(ctx context.Context, row string, limit int) ([]operator.Record, error) {
	query := url.Values{"limit": {strconv.Itoa(limit)}}
	if row != "" {
		query.Set("row", row)
	}
	body, err := client.call(ctx, http.MethodGet, "/history?"+query.Encode(), nil)
	if err != nil {
		return nil, err
	}
	return DecodeHistory(body)
}

// Burn returns the service-level burn over all live nodes.
func (client *Client) Burn(ctx context.Context) (burn.Report, error) {
	var form burnForm
	if err := client.read(ctx, "/burn", &form); err != nil {
		return burn.Report{}, err
	}
	return form.report(), nil
}

// DrainNode requests the entry host with the name to stop gracefully.
func (client *Client) DrainNode(ctx context.Context, host string) error {
	return client.drain(ctx, drainForm{Node: host})
}

// DrainServer marks a backend server as leaving.
func (client *Client) DrainServer(ctx context.Context, id string) error {
	return client.drain(ctx, drainForm{Server: id})
}

func (client *Client) drain(ctx context.Context, form drainForm) error {
	body, err := json.Marshal(form)
	if err != nil {
		return err
	}
	_, err = client.call(ctx, http.MethodPost, "/drains", body)
	return err
}

func (client *Client) read(ctx context.Context, path string, form any) error {
	body, err := client.call(ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	return errors.Wrap(json.Unmarshal(body, form), "decode answer")
}

func (client *Client) call(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	ctx, cancel := client.clock.WithTimeout(ctx, client.timeout)
	defer cancel()
	message, err := http.NewRequestWithContext(ctx, method, client.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	message.Header.Set("Authorization", "Bearer "+client.token)
	response, err := client.http.Do(message)
	if err != nil {
		return nil, &UnreachableError{address: client.base, cause: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, &UnreachableError{address: client.base, cause: err}
	}
	if response.StatusCode != http.StatusOK {
		return nil, responseError(response.StatusCode, data)
	}
	return data, nil
}

func responseError(status int, data []byte) error {
	var form errorsForm
	if err := json.Unmarshal(data, &form); err != nil || form.Error.Type == "" {
		return &RefusedError{status: status, kind: http.StatusText(status), message: string(data)}
	}
	return &RefusedError{status: status, kind: form.Error.Type, message: form.Error.Message}
}
