package backendlink_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/backend/backendlink"
	"sapphirehead/internal/clock"
)

// scriptedServer responds to the requests of each connection with given bytes,
// one text per request, and closes the connection after the last.
type scriptedServer struct {
	listener net.Listener
	requests atomic.Int64
	done     chan struct{}
}

func newScriptedServer(t *testing.T, connections ...[]string) *scriptedServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	scripted := &scriptedServer{listener: listener, done: make(chan struct{})}
	go func() {
		defer close(scripted.done)
		for _, responses := range connections {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			scripted.serve(conn, responses)
		}
	}()
	t.Cleanup(func() { listener.Close(); <-scripted.done })
	return scripted
}

func (scripted *scriptedServer) serve(conn net.Conn, responses []string) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for _, response := range responses {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if response != earlyResponse {
			if _, err := io.Copy(io.Discard, request.Body); err != nil {
				return
			}
		}
		scripted.requests.Add(1)
		if _, err := io.WriteString(conn, response); err != nil {
			return
		}
	}
}

func (scripted *scriptedServer) server() *backend.Server {
	return backend.NewServer("i-1", scripted.listener.Addr().String(), "lj-a", "", "app")
}

const (
	completeResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	extraResponse    = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n"
	cutResponse      = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"
	cutChunks        = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"
	unframedHead     = "HTTP/1.1 200 OK\r\nX-Response-Stamp: s\r\n\r\n"
	earlyResponse    = "HTTP/1.1 503 Busy\r\nContent-Length: 2\r\n\r\nno"
	notHTTP          = "nothing of the kind\r\n\r\n"
)

func newLinks(opened *int) *backendlink.Links {
	return backendlink.New(clock.System(), func() { *opened++ }, func(*backend.Server) {})
}

func post(body string, nonIdempotent bool) backendlink.Request {
	head := "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " + lengthOf(body) + "\r\n\r\n"
	return backendlink.NewRequest(http.MethodPost, []byte(head), []byte(body), nonIdempotent)
}

func lengthOf(body string) string {
	digits := ""
	for count := len(body); count > 0 || digits == ""; count /= 10 {
		digits = string(rune('0'+count%10)) + digits
	}
	return digits
}

func TestExchange(t *testing.T) {
	// expectBodies sends one request for each wanted body. The body "lost" stands
	// for a response that was not received completely.
	expectBodies := func(t *testing.T, scripted *scriptedServer, connections int, wanted ...string) {
		t.Helper()
		opened := 0
		links, server := newLinks(&opened), scripted.server()
		for i, want := range wanted {
			response, err := links.Send(context.Background(), server, post("x", false))
			var lost *backendlink.ResponseLostError
			if errors.As(err, &lost) {
				require.Equal(t, "lost", want, "request %d", i)
				continue
			}
			require.NoError(t, err)
			body, err := io.ReadAll(response)
			response.Close()
			if err != nil {
				body = []byte("lost")
			}
			require.Equal(t, want, string(body), "request %d", i)
		}
		require.Equal(t, connections, opened)
		links.Sweep(func(string) bool { return false })
	}
	t.Run("a connection is kept", func(t *testing.T) {
		expectBodies(t, newScriptedServer(t, []string{completeResponse, completeResponse}), 1, "ok", "ok")
	})
	t.Run("a connection with bytes after a response is not kept", func(t *testing.T) {
		expectBodies(t, newScriptedServer(t, []string{extraResponse}, []string{completeResponse}), 2, "ok", "ok")
	})
	t.Run("a body shorter than its length is incomplete", func(t *testing.T) {
		expectBodies(t, newScriptedServer(t, []string{cutResponse}), 1, "lost")
	})
	t.Run("a chunked body without the last chunk is incomplete", func(t *testing.T) {
		expectBodies(t, newScriptedServer(t, []string{cutChunks}), 1, "lost")
	})
	t.Run("a body without a length that ends before its first byte is incomplete", func(t *testing.T) {
		expectBodies(t, newScriptedServer(t, []string{unframedHead}), 1, "lost")
	})
	t.Run("a body without a length ends with its connection", func(t *testing.T) {
		expectBodies(t, newScriptedServer(t, []string{unframedHead + "ok"}), 1, "ok")
	})
	t.Run("a head that is cut at any byte", func(t *testing.T) {
		for _, whole := range []string{completeResponse, cutChunks, unframedHead, "HTTP/1.1 100 Continue\r\n\r\n" + completeResponse} {
			head := whole[:strings.LastIndex(whole, "\r\n\r\n")+len("\r\n\r\n")]
			for cut := range len(head) {
				expectBodies(t, newScriptedServer(t, []string{head[:cut]}), 1, "lost")
			}
		}
	})
	t.Run("noise", func(t *testing.T) { expectBodies(t, newScriptedServer(t, []string{notHTTP}), 1, "lost") })
	t.Run("no response", func(t *testing.T) { expectBodies(t, newScriptedServer(t, []string{""}), 1, "lost") })
}

// TestNeverSentTwice checks that a request is not repeated automatically when the
// server closes a kept connection after it read the request, as the request may
// have run.
func TestNeverSentTwice(t *testing.T) {
	scripted := newScriptedServer(t, []string{completeResponse, ""}, []string{completeResponse})
	opened := 0
	links, server := newLinks(&opened), scripted.server()
	response, err := links.Send(context.Background(), server, post("first", true))
	require.NoError(t, err)
	_, err = io.ReadAll(response)
	require.NoError(t, err)
	response.Close()
	_, err = links.Send(context.Background(), server, post("second", true))
	var lost *backendlink.ResponseLostError
	require.ErrorAs(t, err, &lost)
	require.True(t, lost.Reused())
	require.Equal(t, int64(2), scripted.requests.Load())
	require.Equal(t, 1, opened)
}

func TestUnsent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	opened := 0
	_, err = newLinks(&opened).Send(context.Background(), backend.NewServer("i-1", address, "lj-a", "", "app"), post("x", true))
	var unsent *backendlink.UnsentError
	require.ErrorAs(t, err, &unsent)
	require.Zero(t, opened)
}

// TestEarlyResponse checks that a connection is not kept while a long body is
// still being written, as the next request would follow within that body.
func TestEarlyResponse(t *testing.T) {
	scripted := newScriptedServer(t, []string{earlyResponse}, []string{completeResponse})
	opened := 0
	links, server := newLinks(&opened), scripted.server()
	response, err := links.Send(context.Background(), server, post(strings.Repeat("x", 8<<20), false))
	var lost *backendlink.ResponseLostError
	if !errors.As(err, &lost) {
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, response.Status())
		response.Close()
	}
	response, err = links.Send(context.Background(), server, post("x", false))
	require.NoError(t, err)
	body, err := io.ReadAll(response)
	require.NoError(t, err)
	require.Equal(t, "ok", string(body))
	response.Close()
	require.Equal(t, 2, opened)
	links.Sweep(func(string) bool { return false })
}

// unlimited lets an event's buffer grow.
func unlimited(int) error { return nil }

func TestReadEvent(t *testing.T) {
	expectEvents := func(t *testing.T, text string, complete bool, events ...string) {
		t.Helper()
		reader := bufio.NewReader(strings.NewReader(text))
		for _, want := range events {
			event, err := backendlink.ReadEvent(reader, unlimited)
			require.NoError(t, err)
			require.Equal(t, want, string(event))
		}
		_, err := backendlink.ReadEvent(reader, unlimited)
		require.Equal(t, complete, errors.Is(err, io.EOF))
	}
	t.Run("two events", func(t *testing.T) {
		expectEvents(t, "id: 1\ndata: a\n\nid: 2\n\n", true, "id: 1\ndata: a\n\n", "id: 2\n\n")
	})
	t.Run("carriage returns", func(t *testing.T) { expectEvents(t, "id: 1\r\n\r\n", true, "id: 1\r\n\r\n") })
	t.Run("end within an event", func(t *testing.T) { expectEvents(t, "id: 1\n\nid: 2\nda", false, "id: 1\n\n") })
	t.Run("no memory for the event", func(t *testing.T) {
		const limit = 1000
		refused := errors.New("no memory")
		_, err := backendlink.ReadEvent(bufio.NewReader(strings.NewReader(strings.Repeat("data: a\n", limit))), func(bytes int) error {
			if bytes > limit {
				return refused
			}
			return nil
		})
		require.ErrorIs(t, err, refused)
	})
	t.Run("id", func(t *testing.T) {
		id, ok := backendlink.EventID([]byte("x-weight-versions: 3\nid: 17\ndata: a\n\n"))
		require.True(t, ok)
		require.Equal(t, "17", id)
	})
}
