// Package weightstorehttp is an HTTP client of the weight store.
package weightstorehttp

import (
	"context"
	"net/http"
	"net/url"
	"strconv"

	"github.com/pkg/errors"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/response"
	"sapphirehead/internal/weightstore"
)

// Client calls the weight store at one address.
type Client struct {
	base    string
	clock   *clock.Clock
	timeout clock.Millis
	http    *http.Client
}

// New returns a client of the weight store at the host and port.
func New(address string, clock *clock.Clock, timeout clock.Millis) *Client {
	return &Client{base: "http://" + address, clock: clock, timeout: timeout, http: &http.Client{Transport: response.NewDefaultTransport()}}
}

// Reserve requests permission for one load of a model's weights. Errors:
// *weightstore.LimitError.
func (client *Client) Reserve(ctx context.Context, model, version string) error {
	ctx, cancel := client.clock.WithTimeout(ctx, client.timeout)
	defer cancel()
	path := client.base + "/v1/weights/" + url.PathEscape(model) + "/" + url.PathEscape(version)
	message, err := http.NewRequestWithContext(ctx, http.MethodPost, path, nil)
	if err != nil {
		return err
	}
	response, err := client.http.Do(message)
	if err != nil {
		return errors.Wrap(err, "call the weight store")
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusTooManyRequests:
		seconds, _ := strconv.Atoi(response.Header.Get("Retry-After"))
		return weightstore.NewLimitError(clock.Millis(max(seconds, 1)) * clock.Second)
	default:
		return errors.Errorf("weight store: status %s", response.Status)
	}
}
