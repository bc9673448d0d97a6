package backendlink_test

import (
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/backend/backendlink"
	"sapphirehead/internal/response"
	"sapphirehead/internal/standin/brokenstandin"
)

// expectBroken sends a request, over a connection that has carried another one if isKept is
// set, to a server with the answer. Its head or body must fail with an error of the type,
// and a later request use another connection.
func expectBroken[E error](t *testing.T, answer brokenstandin.Answer, body string, isKept bool) {
	t.Helper()
	sound := brokenstandin.NewAnswer(completeResponse, brokenstandin.EndingKeep)
	standin, err := brokenstandin.New(sound)
	require.NoError(t, err)
	defer standin.Close()
	opened := 0
	links, server := newLinks(&opened), backend.NewServer("i-1", standin.Address(), "lj-a", "", "app")
	defer links.Sweep(func(string) bool { return false })
	exchange := func(body string) (string, error) {
		response, err := links.Send(t.Context(), server, post(body, false))
		if err != nil {
			var lost *backendlink.ResponseLostError
			require.ErrorAs(t, err, &lost)
			return "", err
		}
		defer response.Close()
		got, err := io.ReadAll(response)
		return string(got), err
	}
	expectSound := func(connections int) {
		standin.SetAnswer(sound)
		got, err := exchange("x")
		require.NoError(t, err)
		require.Equal(t, "ok", got)
		require.Equal(t, connections, opened)
	}
	if isKept {
		expectSound(1)
	}
	standin.SetAnswer(answer)
	_, err = exchange(body)
	require.Equal(t, 1, opened)
	var broken E
	require.ErrorAs(t, err, &broken)
	expectSound(2)
}

// inlineBytes is the longest body of a POST that is written before its response is read.
const inlineBytes = 4<<10 - len("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4047\r\n\r\n")

// TestBrokenResponse guards against a response that is broken and counts as the answer of a
// server, on new and kept connections.
func TestBrokenResponse(t *testing.T) {
	for _, isKept := range []bool{false, true} {
		name := map[bool]string{false: "a new connection", true: "a kept connection"}[isKept]
		t.Run(name+", status", func(t *testing.T) {
			expectBroken[*response.StatusError](t, brokenstandin.NewAnswer("HTTP/1.1 000 Odd\r\n\r\n"+completeResponse, brokenstandin.EndingKeep), "x", isKept)
		})
		t.Run(name+", status of an interim response", func(t *testing.T) {
			expectBroken[*response.StatusError](t, brokenstandin.NewAnswer("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 Odd\r\n\r\n"+completeResponse, brokenstandin.EndingKeep), "x", isKept)
		})
		t.Run(name+", name of a field", func(t *testing.T) {
			expectBroken[*response.FieldNameError](t, brokenstandin.NewAnswer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX Odd: a\r\n\r\nok", brokenstandin.EndingKeep), "x", isKept)
		})
		for _, bodyBytes := range []int{1, inlineBytes, inlineBytes + 1, 200 << 10, 8 << 20} {
			t.Run(fmt.Sprint(name, ", reset during a request with a body of ", bodyBytes), func(t *testing.T) {
				expectBroken[error](t, brokenstandin.NewAnswer(unframedHead+"ok", brokenstandin.EndingReset), strings.Repeat("x", bodyBytes), isKept)
			})
		}
	}
}
