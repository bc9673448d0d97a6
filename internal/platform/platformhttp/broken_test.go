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
	for _, status := range []string{"000", "099", "101"} {
		t.Run(status, func(t *testing.T) {
			expectBroken[*response.StatusError](t, brokenstandin.NewAnswer("HTTP/1.1 "+status+" Odd\r\nETag: \"7\"\r\nContent-Length: 2\r\n\r\n{}", brokenstandin.EndingKeep))
		})
	}
}

// TestBrokenFieldName guards against a response in whose head the name of a field is none.
func TestBrokenFieldName(t *testing.T) {
	for _, line := range []string{"X Odd: a", "X-Odd : a", "X-A: b\r\n X-Odd: a", "X\tOdd: a", "X\x00Odd: a"} {
		t.Run(line, func(t *testing.T) {
			expectBroken[*response.FieldNameError](t, brokenstandin.NewAnswer("HTTP/1.1 200 OK\r\nETag: \"7\"\r\n"+line+"\r\nContent-Length: 2\r\n\r\n{}", brokenstandin.EndingKeep))
		})
	}
}
