package response_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"sapphirehead/internal/response"
	"sapphirehead/internal/standin/brokenstandin"
)

// parts is a connection from which each read returns the next part.
type parts struct {
	net.Conn
	left []string
}

// Read reads from the next part.
func (parts *parts) Read(into []byte) (int, error) {
	if len(parts.left) == 0 {
		return 0, io.EOF
	}
	count := copy(into, parts.left[0])
	if parts.left[0] = parts.left[0][count:]; parts.left[0] == "" {
		parts.left = parts.left[1:]
	}
	return count, nil
}

// readBody reads the response to a GET from a connection with the parts, and returns its body.
func readBody(left ...string) (string, error) {
	conn := response.NewConn(&parts{left: left})
	conn.Expect()
	reader := bufio.NewReader(conn)
	for {
		head, err := http.ReadResponse(reader, nil)
		if broken := conn.Broken(); broken != nil {
			return "", broken
		}
		if err != nil {
			return "", err
		}
		if head.StatusCode >= http.StatusOK {
			body, err := io.ReadAll(head.Body)
			return string(body), err
		}
	}
}

// inParts cuts the text into two parts at each place, and into single bytes.
func inParts(text string) [][]string {
	cuts := [][]string{{text}, strings.Split(text, "")}
	for i := 1; i < len(text); i++ {
		cuts = append(cuts, []string{text[:i], text[i:]})
	}
	return cuts
}

// expectBody checks that a response has the body, however its bytes arrive.
func expectBody(t *testing.T, text, body string) {
	t.Helper()
	for _, left := range inParts(text) {
		got, err := readBody(left...)
		require.NoError(t, err, "%q", left)
		require.Equal(t, body, got, "%q", left)
	}
}

// expectBroken checks that reading a response fails with an error of the type, however its
// bytes arrive.
func expectBroken[E error](t *testing.T, text string) {
	t.Helper()
	for _, left := range inParts(text) {
		_, err := readBody(left...)
		var broken E
		require.ErrorAs(t, err, &broken, "%q", left)
	}
}

func TestStatus(t *testing.T) {
	const rest = "\r\nContent-Length: 2\r\n\r\nok"
	for _, status := range []string{"100", "102", "103", "199"} {
		t.Run("interim "+status, func(t *testing.T) {
			expectBody(t, "HTTP/1.1 "+status+" Wait\r\nX-A: b\r\n\r\nHTTP/1.1 200 OK"+rest, "ok")
		})
	}
	for _, status := range []string{"200", "299 Odd", "404 Not Found", "599", "999"} {
		t.Run("final "+status, func(t *testing.T) { expectBody(t, "HTTP/1.1 "+status+rest, "ok") })
	}
	t.Run("several blanks", func(t *testing.T) { expectBody(t, "HTTP/1.1  200  OK"+rest, "ok") })
	t.Run("lines without a carriage return", func(t *testing.T) {
		expectBody(t, strings.ReplaceAll("HTTP/1.1 100\r\n\r\nHTTP/1.1 200 OK"+rest, "\r\n", "\n"), "ok")
	})
	t.Run("a body like a head", func(t *testing.T) {
		expectBody(t, "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nHTTP/1.1 000 Odd\r\n\r\n", "HTTP/1.1 000 Odd\r\n\r\n")
	})
	for _, status := range []string{"000", "001", "099", "101", "-01", "+20", "0", "1000", "2x0", "２00"} {
		t.Run("broken "+status, func(t *testing.T) {
			expectBroken[*response.StatusError](t, "HTTP/1.1 "+status+" Odd"+rest)
			expectBroken[*response.StatusError](t, "HTTP/1.1 "+status+rest)
			expectBroken[*response.StatusError](t, "HTTP/1.1 103 Wait\r\n\r\nHTTP/1.1 "+status+rest)
		})
	}
}

func TestFieldName(t *testing.T) {
	for _, line := range []string{"X Odd: a", "X-Odd : a", "X-Odd\t: a", " X-Odd: a", "\tX-Odd: a", " ", "\rX-Odd: a", "X\x00: a", "X\x1f: a", "X\x7f: a", "X\x80: a", "X(: a", ": a", "X-Odd", "\r"} {
		t.Run(line, func(t *testing.T) {
			for _, lines := range []string{line + "\r\n", "X-A: b\r\n" + line + "\r\n", line + "\r\nContent-Length: 2\r\n"} {
				expectBroken[*response.FieldNameError](t, "HTTP/1.1 200 OK\r\n"+lines+"\r\nok")
				expectBroken[*response.FieldNameError](t, "HTTP/1.1 103 Wait\r\n"+lines+"\r\nHTTP/1.1 200 OK\r\n\r\nok")
			}
		})
	}
	for _, lines := range []string{"", "X-A: b : c\r\n", "X-A:\t b\t \r\n", "X-A:\r\n", "X-A:\n", "!#$%&'*+-.^_`|~09azAZ: a\r\n", strings.Repeat("X", 2000) + ": a\r\n"} {
		t.Run(lines, func(t *testing.T) { expectBody(t, "HTTP/1.1 200 OK\r\n"+lines+"\r\nX Odd: a", "X Odd: a") })
	}
}

// get sends a GET through the client and returns the status and the body.
func get(client *http.Client, address string) (string, error) {
	got, err := client.Get("http://" + address)
	if err != nil {
		return "", err
	}
	defer got.Body.Close()
	body, err := io.ReadAll(got.Body)
	return got.Status + " " + string(body), err
}

// TestTransport checks that a response that follows another one on its connection is
// checked, too, and that its request is not repeated.
func TestTransport(t *testing.T) {
	const soundText = "HTTP/1.1 103 Wait\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	expectBrokenAfter := func(t *testing.T, sounds int, broken string) {
		t.Helper()
		server, err := brokenstandin.New(brokenstandin.NewAnswer(soundText, brokenstandin.EndingKeep))
		require.NoError(t, err)
		defer server.Close()
		client := &http.Client{Transport: response.NewDefaultTransport()}
		defer client.CloseIdleConnections()
		for range sounds {
			got, err := get(client, server.Address())
			require.NoError(t, err)
			require.Equal(t, "200 OK ok", got)
		}
		server.SetAnswer(brokenstandin.NewAnswer(broken, brokenstandin.EndingKeep))
		_, err = get(client, server.Address())
		var status *response.StatusError
		require.True(t, errors.As(err, &status), "%v", err)
		require.Equal(t, int64(sounds)+1, server.Requests())
	}
	const brokenText = "HTTP/1.1 000 Odd\r\nContent-Length: 2\r\n\r\nno"
	t.Run("a new connection", func(t *testing.T) { expectBrokenAfter(t, 0, brokenText) })
	t.Run("a kept connection", func(t *testing.T) { expectBrokenAfter(t, 3, brokenText) })
	t.Run("after an interim response", func(t *testing.T) { expectBrokenAfter(t, 1, "HTTP/1.1 103 Wait\r\n\r\n"+brokenText) })
	t.Run("two transports of one base", func(t *testing.T) {
		server, err := brokenstandin.New(brokenstandin.NewAnswer(brokenText, brokenstandin.EndingKeep))
		require.NoError(t, err)
		defer server.Close()
		base := &http.Transport{}
		defer base.CloseIdleConnections()
		for _, transport := range []*response.Transport{response.NewTransport(base), response.NewTransport(base)} {
			_, err := get(&http.Client{Transport: transport}, server.Address())
			var status *response.StatusError
			require.ErrorAs(t, err, &status)
		}
	})
}
