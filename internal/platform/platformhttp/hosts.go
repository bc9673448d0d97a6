package platformhttp

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/platform"
)

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

// cachedHosts is a list of hosts with its ETag.
type cachedHosts struct {
	tag  string
	list []backend.Listing
}

// Hosts returns the list of live and leaving hosts, which the platform updates
// with a delay. A list that has not changed since the last call is not sent
// again. Callers must not change the slice.
func (client *Client) Hosts(ctx context.Context) ([]backend.Listing, error) {
	ctx, cancel := client.clock.WithTimeout(ctx, client.timeout)
	defer cancel()
	cached := client.cached.Load()
	header := http.Header{}
	if cached != nil && cached.tag != "" {
		header.Set("If-None-Match", cached.tag)
	}
	response, _, err := client.do(ctx, http.MethodGet, "/hosts", header, nil, maxHostsBytes)
	if err == nil {
		err = response.bodyErr
	}
	if err != nil {
		return nil, platform.NewUnavailableError(false, err)
	}
	switch {
	case response.status == http.StatusNotModified && cached != nil:
		return cached.list, nil
	case response.status != http.StatusOK:
		return nil, platform.NewUnavailableError(false, errors.Errorf("status %d", response.status))
	}
	list, err := DecodeHosts(response.body)
	if err != nil {
		return nil, err
	}
	client.cached.Store(&cachedHosts{tag: response.tag, list: list})
	return list, nil
}

// DecodeHosts decodes the list of hosts.
func DecodeHosts(body []byte) ([]backend.Listing, error) {
	var form hostsForm
	if err := json.Unmarshal(body, &form); err != nil {
		return nil, errors.Wrap(err, "decode list of hosts")
	}
	list := make([]backend.Listing, 0, len(form.Hosts))
	for _, host := range form.Hosts {
		if host.ID == "" || host.Address == "" {
			return nil, errors.New("list of hosts: a host has no id or no address")
		}
		server := backend.NewServer(host.ID, host.Address, host.DataCentre, host.HostClass, host.Pool)
		list = append(list, backend.NewListing(server, host.State == hostStateLeaving))
	}
	return list, nil
}
