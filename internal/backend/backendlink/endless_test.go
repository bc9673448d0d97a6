package backendlink_test

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/backend/backendlink"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/standin/endlessstandin"
)

const (
	// smallMemory is the memory that one exchange may allocate in all: what a node on a
	// small host has for everything.
	smallMemory = 64 << 20
	// endlessDeadline is the deadline of a request whose response trickles in.
	endlessDeadline = 300 * clock.Millisecond
	// noPause and trickle are the pauses between the bytes of an endless response.
	noPause = clock.Millis(0)
	trickle = 2 * clock.Millisecond
)

// expectEnds sends a request to a server that responds with the prefix and the pattern
// without end, and reads the response with the function, or only its head if it is nil.
// The exchange must end with an error, within the request's deadline, the memory of a
// small host, and with a closed connection.
func expectEnds(t *testing.T, prefix, pattern string, pause clock.Millis, read func(*backendlink.Response) error) {
	t.Helper()
	server, err := endlessstandin.New(func(*http.Request) string { return prefix }, pattern, pause)
	require.NoError(t, err)
	defer server.Close()
	opened := 0
	links := newLinks(&opened)
	ctx, cancel := context.WithCancel(t.Context())
	if pause > 0 {
		ctx, cancel = clock.System().WithTimeout(t.Context(), endlessDeadline)
	}
	defer cancel()
	before := allocatedBytes()
	response, err := links.Send(ctx, backend.NewServer("i-1", server.Address(), "lj-a", "", "app"), post("x", true))
	if err == nil {
		require.NotNil(t, read, "the head has an end")
		err = read(response)
		response.Close()
	}
	require.Error(t, err)
	require.Less(t, allocatedBytes()-before, int64(smallMemory))
	<-server.Abandoned()
}

func allocatedBytes() int64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.TotalAlloc)
}

// readEvents reads events until there is an error.
func readEvents(response *backendlink.Response) error {
	reader := bufio.NewReader(response)
	for {
		if _, err := backendlink.ReadEvent(reader, unlimited); err != nil {
			return err
		}
	}
}

func discard(response *backendlink.Response) error {
	_, err := io.Copy(io.Discard, response)
	return err
}

// TestEndless checks that no part of a response can go on without end, be it fast or
// a byte now and then.
func TestEndless(t *testing.T) {
	const head, chunked = "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, endless := range []struct {
		name    string
		prefix  string
		pattern string
		read    func(*backendlink.Response) error
	}{
		{"status line", "HTTP/1.1 200 ", "O", nil},
		{"not HTTP", "", "\x00", nil},
		{"headers", head, "X-A: b\r\n", nil},
		{"a header", head + "X-A: ", "b", nil},
		{"interim responses", "", "HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n", nil},
		{"chunk size", chunked, "0", discard},
		{"chunk extension", chunked + "5;", "a=b;", discard},
		{"trailers", chunked + "2\r\nok\r\n0\r\n", "X-A: b\r\n", discard},
		{"event of short lines", head + "\r\n", "data: 0123456789\n", readEvents},
		{"event of one line", head + "\r\n", "d", readEvents},
		{"comments", head + "\r\n", ":\n", readEvents},
	} {
		t.Run(endless.name, func(t *testing.T) {
			t.Run("fast", func(t *testing.T) {
				expectEnds(t, endless.prefix, endless.pattern, noPause, endless.read)
			})
			t.Run("a byte now and then", func(t *testing.T) {
				expectEnds(t, endless.prefix, endless.pattern, trickle, endless.read)
			})
		})
	}
}
