// Package brokenstandin is a stand-in for a server in trouble: it sends the bytes of an
// answer, whatever they are, and ends the connection as the answer says.
//
//	NewAnswer("HTTP/1.1 000 Odd\r\nContent-Length: 2\r\n\r\nok", EndingKeep)
package brokenstandin

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"

	"sapphirehead/internal/standin/standinhttp"
)

// Ending is what follows the bytes of an answer.
type Ending int

// The endings. With EndingKeep and EndingClose, the answer follows the whole request, and
// with the others its head.
const (
	// EndingKeep: the connection serves further requests.
	EndingKeep Ending = iota + 1
	// EndingClose: the connection is closed.
	EndingClose
	// EndingReset: the connection is reset, within the body of a long request.
	EndingReset
	// EndingHalfClose: the server's direction is closed, and the rest of the request read.
	EndingHalfClose
	// EndingHalfCloseUnread: the server's direction is closed, and then the connection, with
	// the rest of the request unread.
	EndingHalfCloseUnread
)

// readBeforeReset is the number of bytes that are read between the answer and a reset.
const readBeforeReset = 1 << 20

// idMark is replaced by the ID of the request in the text of an answer.
const idMark = "$ID"

// Answer is the response to each request.
type Answer struct {
	text   string
	ending Ending
}

// NewAnswer returns an answer with the bytes of the text, in which $ID stands for the
// X-Request-Id of the request.
func NewAnswer(text string, ending Ending) Answer { return Answer{text: text, ending: ending} }

// isEarly reports whether the answer does not wait for the body of the request.
func (answer Answer) isEarly() bool {
	return answer.ending != EndingKeep && answer.ending != EndingClose
}

// Server is the stand-in. It serves until Close.
type Server struct {
	*standinhttp.RawServer
	answer   atomic.Pointer[Answer]
	requests atomic.Int64
}

// New returns a server on loopback that sends the answer.
func New(answer Answer) (*Server, error) {
	server := &Server{}
	server.SetAnswer(answer)
	var err error
	server.RawServer, err = standinhttp.NewRawServer(func(conn *net.TCPConn) {
		reader := bufio.NewReader(conn)
		for server.serve(conn, reader) {
		}
	})
	return server, err
}

// SetAnswer replaces the answer to later requests.
func (server *Server) SetAnswer(answer Answer) { server.answer.Store(&answer) }

// Requests returns the number of requests that arrived.
func (server *Server) Requests() int64 { return server.requests.Load() }

// serve answers one request, and reports whether the connection serves another.
func (server *Server) serve(conn *net.TCPConn, reader *bufio.Reader) bool {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return false
	}
	server.requests.Add(1)
	answer := *server.answer.Load()
	if !answer.isEarly() {
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return false
		}
	}
	text := strings.ReplaceAll(answer.text, idMark, request.Header.Get("X-Request-Id"))
	if _, err := io.WriteString(conn, text); err != nil {
		return false
	}
	switch answer.ending {
	case EndingKeep:
		return true
	case EndingReset:
		// An error means that the connection has ended already.
		_, _ = io.CopyN(io.Discard, request.Body, readBeforeReset)
		_ = conn.SetLinger(0)
	case EndingHalfClose:
		if conn.CloseWrite() == nil {
			// It ends when the caller closes the connection.
			_, _ = io.Copy(io.Discard, conn)
		}
	case EndingHalfCloseUnread:
		// An error means that the connection has ended already.
		_ = conn.CloseWrite()
	case EndingClose:
	}
	return false
}
