// Package response reads HTTP/1.1 responses strictly. The reader of net/http accepts some
// that are none, and its callers can't tell all of them from sound ones: it returns a status
// of 000, it ignores a field that frames the body if its name has a blank, and a connection
// that is reset while a request is still being written may seem to end like a closed one.
//
// A Conn checks the bytes of each head before net/http parses them, and the end of the
// connection, and fails the read instead:
//
//	conn := response.NewConn(dialled)
//	conn.Expect()
//	... send a request ...
//	head, err := http.ReadResponse(bufio.NewReader(conn), request)
//	if broken := conn.Broken(); broken != nil { ... the server sent no response ... }
//
// Transport does the same for clients of net/http.
package response

import (
	"io"
	"net"
	"sync/atomic"
	"syscall"

	"github.com/pkg/errors"
)

// Conn is a connection to a server that sends HTTP/1.1 responses.
type Conn struct {
	net.Conn
	// expected is set when a request is about to be sent, until the first byte after it.
	expected atomic.Bool
	// head belongs to the goroutine that reads.
	head   headScanner
	broken atomic.Pointer[error]
	// lastWrite is the write that began last, or nil.
	lastWrite atomic.Pointer[write]
}

// NewConn returns a connection whose bytes are not checked until Expect.
func NewConn(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// Expect makes the next bytes those of a response's head. It must be called before a request
// is sent, when the response to the one before has been read.
func (conn *Conn) Expect() { conn.expected.Store(true) }

// Read reads from the connection, up to the first byte that can't be part of a response.
// Errors: *StatusError, *FieldNameError, *ResetError, and those of the connection.
func (conn *Conn) Read(into []byte) (int, error) {
	if broken := conn.Broken(); broken != nil {
		return 0, broken
	}
	count, err := conn.Conn.Read(into)
	if errors.Is(err, io.EOF) {
		if lost := conn.lostError(); lost != nil {
			return count, lost
		}
	}
	if count == 0 {
		return 0, err
	}
	if conn.expected.Swap(false) {
		conn.head.start()
	}
	sound, broken := conn.head.scan(into[:count])
	if broken != nil {
		conn.broken.Store(&broken)
		// Without the bytes before, http.Transport would take the connection for one that
		// was closed while it was idle, and repeat the request.
		return sound, broken
	}
	return count, err
}

// Broken returns the error of the first byte that can't be part of a response, or nil.
// net/http may report another error for the same response.
func (conn *Conn) Broken() error {
	if broken := conn.broken.Load(); broken != nil {
		return *broken
	}
	return nil
}

// IsBroken reports whether the error is one by which a Conn refuses a response: *StatusError,
// *FieldNameError or *ResetError.
func IsBroken(err error) bool {
	var status *StatusError
	var name *FieldNameError
	var reset *ResetError
	return errors.As(err, &status) || errors.As(err, &name) || errors.As(err, &reset)
}

// SyscallConn returns the connection's descriptor. Errors: syscall.EINVAL if it has none.
func (conn *Conn) SyscallConn() (syscall.RawConn, error) {
	if raw, ok := conn.Conn.(syscall.Conn); ok {
		return raw.SyscallConn()
	}
	return nil, syscall.EINVAL
}
