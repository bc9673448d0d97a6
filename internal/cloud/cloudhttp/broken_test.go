package cloudhttp

import (
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/cloud"
	"sapphirehead/internal/response"
	"sapphirehead/internal/standin/brokenstandin"
)

// expectBroken makes each call of the API with the answer, and checks that it fails with an
// error of the type.
func expectBroken[E error](t *testing.T, answer brokenstandin.Answer) {
	t.Helper()
	server, err := brokenstandin.New(answer)
	require.NoError(t, err)
	defer server.Close()
	client := New(server.Address(), clock.System(), clock.Second)
	defer client.http.CloseIdleConnections()
	calls := map[string]func() error{
		"offers":  func() error { _, err := client.Offers(t.Context()); return err },
		"hosts":   func() error { _, err := client.Hosts(t.Context()); return err },
		"notices": func() error { _, err := client.Notices(t.Context(), 0); return err },
		"start": func() error {
			_, err := client.Start(t.Context(), cloud.NewOffer("lj-a", "gpu-small", true, 0), "runners", "1")
			return err
		},
		"stop": func() error { return client.Stop(t.Context(), "host-1") },
	}
	for name, call := range calls {
		t.Run(name, func(t *testing.T) {
			var broken E
			require.ErrorAs(t, call(), &broken)
		})
	}
}

// TestBrokenStatus guards against a response without a final status that counts as success.
func TestBrokenStatus(t *testing.T) {
	for name, answer := range brokenstandin.BrokenStatuses("", "{}") {
		t.Run(name, func(t *testing.T) { expectBroken[*response.StatusError](t, answer) })
	}
}

// TestBrokenFieldName guards against a response in whose head the name of a field is none.
func TestBrokenFieldName(t *testing.T) {
	for name, answer := range brokenstandin.BrokenNames("", "{}") {
		t.Run(name, func(t *testing.T) { expectBroken[*response.FieldNameError](t, answer) })
	}
}
