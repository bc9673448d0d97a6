package weightstorehttp_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/response"
	"sapphirehead/internal/standin/brokenstandin"
	"sapphirehead/internal/weightstore/weightstorehttp"
)

// expectBroken requests a permission, and checks that it fails with an error of the type
// after the answer.
func expectBroken[E error](t *testing.T, answer brokenstandin.Answer) {
	t.Helper()
	server, err := brokenstandin.New(answer)
	require.NoError(t, err)
	defer server.Close()
	var broken E
	require.ErrorAs(t, weightstorehttp.New(server.Address(), clock.System(), clock.Second).Reserve(t.Context(), "m", "1"), &broken)
}

// TestBrokenStatus guards against a response without a final status that is taken for one.
func TestBrokenStatus(t *testing.T) {
	for _, status := range []string{"000", "099", "101"} {
		t.Run(status, func(t *testing.T) {
			expectBroken[*response.StatusError](t, brokenstandin.NewAnswer("HTTP/1.1 "+status+" Odd\r\nContent-Length: 0\r\n\r\n", brokenstandin.EndingKeep))
		})
	}
}

// TestBrokenFieldName guards against a response in whose head the name of a field is none.
func TestBrokenFieldName(t *testing.T) {
	for _, line := range []string{"X Odd: a", "X-Odd : a", "X-A: b\r\n X-Odd: a", "X\tOdd: a", "X\x00Odd: a"} {
		t.Run(line, func(t *testing.T) {
			expectBroken[*response.FieldNameError](t, brokenstandin.NewAnswer("HTTP/1.1 200 OK\r\n"+line+"\r\nContent-Length: 2\r\n\r\n{}", brokenstandin.EndingKeep))
		})
	}
}
