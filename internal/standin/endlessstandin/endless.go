// Package endlessstandin is a stand-in for a server in trouble: it responds to each
// request with a prefix, followed by a pattern without end, until its caller closes
// the connection.
//
//	prefix "HTTP/1.1 200 OK\r\n", pattern "X-A: b\r\n" -> a head without end
package endlessstandin

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"sync/atomic"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/standin/standinhttp"
)

// burstBytes is the least size of one write of a server without a pause.
const burstBytes = 64 << 10

// Server is the stand-in. It serves until Close.
type Server struct {
	*standinhttp.RawServer
	prefix  func(request *http.Request) string
	pattern []byte
	// burst is one write of a server without a pause.
	burst    []byte
	pause    clock.Millis
	stall    atomic.Int64
	sent     atomic.Int64
	abandons chan struct{}
}

// abandonsQueueLength is the number of closed connections that may be left unread.
const abandonsQueueLength = 1024

// New returns a server on loopback. The prefix may depend on the request. With a
// pause, the server sends one byte of the pattern after each pause; without one, it
// sends as fast as its caller reads.
func New(prefix func(request *http.Request) string, pattern string, pause clock.Millis) (*Server, error) {
	server := &Server{
		prefix: prefix, pattern: []byte(pattern), pause: pause,
		burst:    bytes.Repeat([]byte(pattern), burstBytes/len(pattern)+1),
		abandons: make(chan struct{}, abandonsQueueLength),
	}
	var err error
	server.RawServer, err = standinhttp.NewRawServer(server.serve)
	return server, err
}

// SetStall makes the server send nothing more on a connection after the number of bytes
// of the pattern, rounded up to a whole write, and keep the connection open.
func (server *Server) SetStall(bytes int64) { server.stall.Store(bytes) }

// Sent returns the number of bytes of patterns that were sent to all callers.
func (server *Server) Sent() int64 { return server.sent.Load() }

// Abandoned returns a channel that receives a value for each connection that its
// caller has closed after a response had begun.
func (server *Server) Abandoned() <-chan struct{} { return server.abandons }

func (server *Server) serve(conn *net.TCPConn) {
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	defer func() {
		select {
		case server.abandons <- struct{}{}:
		default:
		}
	}()
	if _, err := conn.Write([]byte(server.prefix(request))); err != nil {
		return
	}
	piece := server.burst
	total, stall := int64(0), server.stall.Load()
	for sent := 0; ; sent++ {
		if stall > 0 && total >= stall {
			// It ends when the caller closes the connection.
			_, _ = io.Copy(io.Discard, conn)
			return
		}
		if server.pause > 0 {
			paused := make(chan struct{})
			clock.System().AfterFunc(server.pause, func() { close(paused) })
			<-paused
			piece = server.pattern[sent%len(server.pattern) : sent%len(server.pattern)+1]
		}
		count, err := conn.Write(piece)
		total += int64(count)
		server.sent.Add(int64(count))
		if err != nil {
			return
		}
	}
}
