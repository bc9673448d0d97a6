package servicehttp_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/request"
	"sapphirehead/internal/response"
	"sapphirehead/internal/service/servicehttp"
	"sapphirehead/internal/standin/brokenstandin"
)

// expectBroken sends a charge to a service with the answer, and checks that it fails with
// an error of the type, as a call that may have run, and arrives once.
func expectBroken[E error](t *testing.T, answer brokenstandin.Answer) {
	t.Helper()
	server, err := brokenstandin.New(answer)
	require.NoError(t, err)
	defer server.Close()
	client := servicehttp.New(clock.Second)
	defer client.Close()
	_, cause, err := call(t.Context(), client, server.Address())
	var broken E
	require.ErrorAs(t, err, &broken)
	require.Equal(t, request.CauseCut, cause)
	require.Equal(t, int64(1), server.Requests())
}

// TestBrokenStatus guards against a response without a final status that is recorded as the
// answer of a call.
func TestBrokenStatus(t *testing.T) {
	for _, status := range []string{"000", "099", "101"} {
		t.Run(status, func(t *testing.T) {
			expectBroken[*response.StatusError](t, brokenstandin.NewAnswer("HTTP/1.1 "+status+" Odd\r\nContent-Length: 2\r\n\r\nok", brokenstandin.EndingKeep))
		})
	}
}

// TestBrokenFieldName guards against a response in whose head the name of a field is none.
func TestBrokenFieldName(t *testing.T) {
	for _, line := range []string{"X Odd: a", "X-Odd : a", "X-A: b\r\n X-Odd: a", "X\tOdd: a", "X\x00Odd: a"} {
		t.Run(line, func(t *testing.T) {
			expectBroken[*response.FieldNameError](t, brokenstandin.NewAnswer("HTTP/1.1 200 OK\r\n"+line+"\r\nContent-Length: 2\r\n\r\nok", brokenstandin.EndingKeep))
		})
	}
}
