package cloudhttp

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/cloud"
)

// fixedResponse is a transport that returns the same response to every call.
type fixedResponse struct {
	status int
	body   []byte
}

func (response fixedResponse) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: response.status, Body: io.NopCloser(bytes.NewReader(response.body))}, nil
}

func FuzzAnswers(f *testing.F) {
	f.Add(200, []byte(`{"offers":[{"dataCentre":"lj-a","hostClass":"gpu-small","reclaimable":true,"pricePerHour":0.4}],"hosts":[{"id":"host-1","state":"leaving"}],"notices":[{"sequence":1,"hostId":"host-1","noticeMillis":30000}]}`))
	f.Add(409, []byte(`no capacity`))
	f.Add(200, []byte(`{"offers":[{"pricePerHour":-1e308}],"notices":[{"sequence":-1}]}`))
	f.Fuzz(func(t *testing.T, status int, body []byte) {
		client := New("127.0.0.1:1", clock.NewManual(0).Clock(), clock.Second)
		client.http = &http.Client{Transport: fixedResponse{status: status, body: body}}
		ctx := context.Background()
		calls := []func() error{
			func() error { _, err := client.Offers(ctx); return err },
			func() error { _, err := client.Hosts(ctx); return err },
			func() error { _, err := client.Notices(ctx, 0); return err },
			func() error {
				_, err := client.Start(ctx, cloud.NewOffer("lj-a", "gpu-small", true, 0), "runners", "1")
				return err
			},
			func() error { return client.Stop(ctx, "host-1") },
		}
		for _, call := range calls {
			if err := call(); status >= http.StatusBadRequest {
				require.Error(t, err)
			}
		}
	})
}
