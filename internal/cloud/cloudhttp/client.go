// Package cloudhttp is an HTTP client of the cloud API.
package cloudhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/pkg/errors"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/cloud"
	"sapphirehead/internal/response"
)

const (
	// maxResponseBytes bounds a response of the cloud API.
	maxResponseBytes = 16 << 20
	// noticeWait is the longest wait of a long poll for notices.
	noticeWait   = 10 * clock.Second
	stateLeaving = "leaving"
	stateGone    = "gone"
)

// Client calls the cloud API at one address.
type Client struct {
	base    string
	clock   *clock.Clock
	timeout clock.Millis
	http    *http.Client
}

// New returns a client for the host and port.
func New(address string, clock *clock.Clock, timeout clock.Millis) *Client {
	return &Client{base: "http://" + address, clock: clock, timeout: timeout, http: &http.Client{Transport: response.NewDefaultTransport()}}
}

type offerForm struct {
	DataCentre   string  `json:"dataCentre"`
	HostClass    string  `json:"hostClass"`
	Reclaimable  bool    `json:"reclaimable"`
	PricePerHour float64 `json:"pricePerHour"`
}

type offersForm struct {
	Offers []offerForm `json:"offers"`
}

type hostForm struct {
	ID          string `json:"id,omitempty"`
	DataCentre  string `json:"dataCentre"`
	HostClass   string `json:"hostClass"`
	Pool        string `json:"pool"`
	Reclaimable bool   `json:"reclaimable"`
	State       string `json:"state,omitempty"`
	RequestID   string `json:"requestId,omitempty"`
}

type hostsForm struct {
	Hosts []hostForm `json:"hosts"`
}

type noticeForm struct {
	Sequence     int64  `json:"sequence"`
	HostID       string `json:"hostId"`
	NoticeMillis int64  `json:"noticeMillis"`
}

type noticesForm struct {
	Notices []noticeForm `json:"notices"`
}

// Offers returns the available offers.
func (client *Client) Offers(ctx context.Context) ([]cloud.Offer, error) {
	var form offersForm
	if _, err := client.call(ctx, http.MethodGet, "/v1/offers", nil, &form, client.timeout); err != nil {
		return nil, err
	}
	offers := make([]cloud.Offer, 0, len(form.Offers))
	for _, offer := range form.Offers {
		offers = append(offers, cloud.NewOffer(offer.DataCentre, offer.HostClass, offer.Reclaimable, offer.PricePerHour))
	}
	return offers, nil
}

// Hosts returns the rented hosts.
func (client *Client) Hosts(ctx context.Context) ([]cloud.Host, error) {
	var form hostsForm
	if _, err := client.call(ctx, http.MethodGet, "/v1/hosts", nil, &form, client.timeout); err != nil {
		return nil, err
	}
	var hosts []cloud.Host
	for _, host := range form.Hosts {
		if host.State != stateGone {
			hosts = append(hosts, host.host())
		}
	}
	return hosts, nil
}

func (form hostForm) host() cloud.Host {
	offer := cloud.NewOffer(form.DataCentre, form.HostClass, form.Reclaimable, 0)
	return cloud.NewHost(form.ID, form.Pool, offer, form.State == stateLeaving).WithRequestID(form.RequestID)
}

// Start rents a host for the pool. The request id makes the call idempotent.
// Errors: *cloud.NoCapacityError.
func (client *Client) Start(ctx context.Context, offer cloud.Offer, pool, requestID string) (cloud.Host, error) {
	wanted := hostForm{DataCentre: offer.DataCentre(), HostClass: offer.HostClass(), Reclaimable: offer.Reclaimable(), Pool: pool, RequestID: requestID}
	var form hostForm
	status, err := client.call(ctx, http.MethodPost, "/v1/hosts", wanted, &form, client.timeout)
	if status == http.StatusConflict {
		return cloud.Host{}, cloud.NewNoCapacityError(offer.DataCentre(), offer.HostClass())
	}
	if err != nil {
		return cloud.Host{}, err
	}
	return form.host(), nil
}

// Stop returns a host to the cloud.
func (client *Client) Stop(ctx context.Context, id string) error {
	_, err := client.call(ctx, http.MethodDelete, "/v1/hosts/"+url.PathEscape(id), nil, nil, client.timeout)
	return err
}

// Notices waits for reclaim notices after the sequence number. It returns none if
// there are none within noticeWait.
func (client *Client) Notices(ctx context.Context, after int64) ([]cloud.Notice, error) {
	path := "/v1/notices?after=" + strconv.FormatInt(after, 10) + "&waitMillis=" + strconv.FormatInt(int64(noticeWait), 10)
	var form noticesForm
	if _, err := client.call(ctx, http.MethodGet, path, nil, &form, noticeWait+client.timeout); err != nil {
		return nil, err
	}
	notices := make([]cloud.Notice, 0, len(form.Notices))
	for _, notice := range form.Notices {
		notices = append(notices, cloud.NewNotice(notice.Sequence, notice.HostID, clock.Millis(notice.NoticeMillis)))
	}
	return notices, nil
}

func (client *Client) call(ctx context.Context, method, path string, body, form any, timeout clock.Millis) (int, error) {
	ctx, cancel := client.clock.WithTimeout(ctx, timeout)
	defer cancel()
	encoded, err := json.Marshal(body)
	if err != nil {
		return 0, err
	}
	httpRequest, err := http.NewRequestWithContext(ctx, method, client.base+path, bytes.NewReader(encoded))
	if err != nil {
		return 0, err
	}
	response, err := client.http.Do(httpRequest)
	if err != nil {
		return 0, errors.Wrap(err, "call the cloud API")
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return 0, errors.Wrap(err, "read the response of the cloud API")
	}
	if response.StatusCode >= http.StatusBadRequest {
		return response.StatusCode, errors.Errorf("cloud API: status %s: %s", response.Status, data)
	}
	if form == nil {
		return response.StatusCode, nil
	}
	return response.StatusCode, errors.Wrap(json.Unmarshal(data, form), "decode the response of the cloud API")
}
