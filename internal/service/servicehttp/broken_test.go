package servicehttp_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/request"
	"sapphirehead/internal/response"
	"sapphirehead/internal/service"
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

// TestResetDuringUpload guards against a part of a response that is recorded as the answer of
// a call, as the connection was reset while the call was still being written.
func TestResetDuringUpload(t *testing.T) {
	const rounds, uploadBytes = 40, 8 << 20
	upload := service.NewCall(http.MethodPost, "/charges", "text/plain", make([]byte, uploadBytes))
	// countAnswers makes calls that get a response without a length, and returns how many
	// have an answer.
	countAnswers := func(t *testing.T, status string, ending brokenstandin.Ending) int {
		t.Helper()
		standin, err := brokenstandin.New(brokenstandin.NewAnswer("HTTP/1.1 "+status+"\r\n\r\nbooked", ending))
		require.NoError(t, err)
		defer standin.Close()
		client := servicehttp.New(clock.Second)
		defer client.Close()
		server := backend.NewServer("booking-1", standin.Address(), "lj-a", "plain", "booking")
		answers := 0
		for range rounds {
			_, cause, err := client.Call(t.Context(), server, request.New("req-1", "garage", charge, "", request.Prompt{}, 0), upload)
			if err == nil {
				answers++
				continue
			}
			require.Equal(t, request.CauseCut, cause)
		}
		require.Equal(t, int64(rounds), standin.Requests())
		return answers
	}
	for _, status := range []string{"200 OK", "500 Failed"} {
		t.Run("reset, "+status, func(t *testing.T) { require.Zero(t, countAnswers(t, status, brokenstandin.EndingReset)) })
		t.Run("closed, "+status, func(t *testing.T) { require.Equal(t, rounds, countAnswers(t, status, brokenstandin.EndingHalfClose)) })
	}
}

// TestBrokenStatus guards against a response without a final status that is recorded as the
// answer of a call.
func TestBrokenStatus(t *testing.T) {
	for name, answer := range brokenstandin.BrokenStatuses("", "ok") {
		t.Run(name, func(t *testing.T) { expectBroken[*response.StatusError](t, answer) })
	}
}

// TestBrokenFieldName guards against a response in whose head the name of a field is none.
func TestBrokenFieldName(t *testing.T) {
	for name, answer := range brokenstandin.BrokenNames("", "ok") {
		t.Run(name, func(t *testing.T) { expectBroken[*response.FieldNameError](t, answer) })
	}
}
