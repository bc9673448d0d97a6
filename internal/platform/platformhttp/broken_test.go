package platformhttp_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/platform"
	"sapphirehead/internal/platform/platformhttp"
	"sapphirehead/internal/response"
	"sapphirehead/internal/standin/brokenstandin"
)

// expectBroken makes each call of the platform's API with the answer, and checks that it
// fails with an error of the type. A write may have been carried out.
func expectBroken[E error](t *testing.T, answer brokenstandin.Answer) {
	t.Helper()
	server, err := brokenstandin.New(answer)
	require.NoError(t, err)
	defer server.Close()
	client := platformhttp.New(server.Address(), clock.System(), clock.Second)
	var broken E
	t.Run("get", func(t *testing.T) {
		_, err := client.Store().Get(t.Context(), platform.KindTables, platform.TablesName)
		require.ErrorAs(t, err, &broken)
	})
	t.Run("put", func(t *testing.T) {
		_, err := client.Store().Put(t.Context(), platform.KindTables, platform.TablesName, []byte("{}"), 1)
		require.ErrorAs(t, err, &broken)
		expectUnavailable(t, err, true)
	})
	t.Run("hosts", func(t *testing.T) {
		_, err := client.Hosts(t.Context())
		require.ErrorAs(t, err, &broken)
	})
}

// TestBrokenStatus guards against a response without a final status that is taken for one.
func TestBrokenStatus(t *testing.T) {
	for name, answer := range brokenstandin.BrokenStatuses("ETag: \"7\"\r\n", "{}") {
		t.Run(name, func(t *testing.T) { expectBroken[*response.StatusError](t, answer) })
	}
}

// TestBrokenFieldName guards against a response in whose head the name of a field is none.
func TestBrokenFieldName(t *testing.T) {
	for name, answer := range brokenstandin.BrokenNames("ETag: \"7\"\r\n", "{}") {
		t.Run(name, func(t *testing.T) { expectBroken[*response.FieldNameError](t, answer) })
	}
}
