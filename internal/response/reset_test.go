package response_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"sapphirehead/internal/response"
	"sapphirehead/internal/standin/brokenstandin"
)

// longWrite is more than the buffers of a connection hold.
var longWrite = make([]byte, 8<<20)

// part is what the server sends before the connection ends.
const part = "part"

// pair is a connection from a Conn to a server, over which a long write is in progress.
type pair struct {
	conn   *response.Conn
	server *net.TCPConn
	// written gets the error of the write.
	written chan error
}

func newPair(t *testing.T) *pair {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	dialled, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	accepted, err := listener.Accept()
	require.NoError(t, err)
	pair := &pair{conn: response.NewConn(dialled), server: accepted.(*net.TCPConn), written: make(chan error, 1)}
	go func() {
		_, err := pair.conn.Write(longWrite)
		pair.written <- err
	}()
	// The write has begun once the server has a byte of it.
	_, err = io.ReadFull(accepted, make([]byte, 1))
	require.NoError(t, err)
	_, err = io.WriteString(accepted, part)
	require.NoError(t, err)
	t.Cleanup(func() {
		accepted.Close()
		pair.conn.Close()
	})
	return pair
}

// reset ends the connection without closing the server's direction.
func (pair *pair) reset(t *testing.T) {
	t.Helper()
	require.NoError(t, pair.server.SetLinger(0))
	require.NoError(t, pair.server.Close())
}

// readPart reads what the server has sent.
func (pair *pair) readPart(t *testing.T) {
	t.Helper()
	_, err := io.ReadFull(pair.conn, make([]byte, len(part)))
	require.NoError(t, err)
}

// expectEnd reads the rest and checks that the server has closed its direction if isClosed
// is set, and that the read fails with a reset otherwise.
func (pair *pair) expectEnd(t *testing.T, isClosed bool) {
	t.Helper()
	_, err := io.ReadAll(pair.conn)
	if isClosed {
		require.NoError(t, err)
		return
	}
	require.ErrorIs(t, err, syscall.ECONNRESET)
}

// TestReset guards against the end of a connection that was reset, taken for the end of a
// response.
func TestReset(t *testing.T) {
	t.Run("the write gets the error", func(t *testing.T) {
		pair := newPair(t)
		pair.reset(t)
		require.ErrorIs(t, <-pair.written, syscall.ECONNRESET)
		pair.readPart(t)
		_, err := pair.conn.Read(make([]byte, 1))
		var reset *response.ResetError
		require.ErrorAs(t, err, &reset)
		pair.expectEnd(t, false)
	})
	t.Run("a write after the one that got the error", func(t *testing.T) {
		pair := newPair(t)
		pair.reset(t)
		require.ErrorIs(t, <-pair.written, syscall.ECONNRESET)
		_, err := pair.conn.WriteBuffers(net.Buffers{{0}, {0}})
		require.ErrorIs(t, err, syscall.EPIPE)
		pair.expectEnd(t, false)
	})
	t.Run("a read and a write wait", func(t *testing.T) {
		const rounds = 100
		for range rounds {
			pair := newPair(t)
			pair.readPart(t)
			go pair.reset(t)
			pair.expectEnd(t, false)
			require.Error(t, <-pair.written)
		}
	})
	t.Run("all is written", func(t *testing.T) {
		pair := newPair(t)
		_, err := io.ReadFull(pair.server, make([]byte, len(longWrite)-1))
		require.NoError(t, err)
		require.NoError(t, <-pair.written)
		pair.reset(t)
		pair.expectEnd(t, false)
	})
	t.Run("closed while the write goes on", func(t *testing.T) {
		pair := newPair(t)
		require.NoError(t, pair.server.CloseWrite())
		pair.expectEnd(t, true)
		require.Empty(t, pair.written)
	})
	t.Run("closed and then reset, the write first", func(t *testing.T) {
		pair := newPair(t)
		require.NoError(t, pair.server.CloseWrite())
		pair.reset(t)
		require.ErrorIs(t, <-pair.written, syscall.EPIPE)
		pair.expectEnd(t, true)
	})
	t.Run("closed and then reset, a read and a write wait", func(t *testing.T) {
		const rounds = 100
		for range rounds {
			pair := newPair(t)
			pair.readPart(t)
			go func() {
				// An error shows in what is read.
				_ = pair.server.CloseWrite()
				_ = pair.server.Close()
			}()
			pair.expectEnd(t, true)
		}
	})
	t.Run("closed after all is written", func(t *testing.T) {
		pair := newPair(t)
		_, err := io.ReadFull(pair.server, make([]byte, len(longWrite)-1))
		require.NoError(t, err)
		require.NoError(t, pair.server.Close())
		pair.expectEnd(t, true)
		require.NoError(t, <-pair.written)
	})
}

// TestTransportReset checks that no part of a response counts as whole that was reset
// during an upload, and that a whole one without a length does.
func TestTransportReset(t *testing.T) {
	const rounds = 40
	// countWhole sends uploads and returns how many get a response that seems whole.
	countWhole := func(t *testing.T, ending brokenstandin.Ending) int {
		t.Helper()
		server, err := brokenstandin.New(brokenstandin.NewAnswer("HTTP/1.1 200 OK\r\n\r\n"+part, ending))
		require.NoError(t, err)
		defer server.Close()
		client := &http.Client{Transport: response.NewDefaultTransport()}
		defer client.CloseIdleConnections()
		whole := 0
		for range rounds {
			got, err := client.Post("http://"+server.Address(), "text/plain", bytes.NewReader(longWrite))
			if err != nil {
				continue
			}
			if _, err := io.ReadAll(got.Body); err == nil {
				whole++
			}
			got.Body.Close()
		}
		require.Equal(t, int64(rounds), server.Requests())
		return whole
	}
	t.Run("reset", func(t *testing.T) { require.Zero(t, countWhole(t, brokenstandin.EndingReset)) })
	t.Run("closed", func(t *testing.T) { require.Equal(t, rounds, countWhole(t, brokenstandin.EndingHalfClose)) })
}

// TestResetError checks what the error says.
func TestResetError(t *testing.T) {
	pair := newPair(t)
	pair.reset(t)
	written := <-pair.written
	_, err := io.ReadAll(pair.conn)
	var reset *response.ResetError
	require.True(t, errors.As(err, &reset))
	require.Equal(t, written, reset.Unwrap())
	require.Equal(t, fmt.Sprint("the connection ended within the response: ", written), err.Error())
}
