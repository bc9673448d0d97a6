package response

import (
	"net"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// A socket reports an error once. If the goroutine that writes a request gets that of a
// reset, the one that reads the response sees the end of the stream next, as if the server
// had closed it. The two are told apart by what the kernel keeps:
//
//	state not closed             the server has closed its direction: an end
//	closed, no write failed      nobody got an error in place of the reader: an end
//	closed, a write got EPIPE    the reset came after the server had closed: an end
//	closed, another write error  no end

// stateClosed is the state of a socket in tcp_info after a reset or a timeout, TCP_CLOSE.
const stateClosed = 7

// write is one write to a Conn.
type write struct {
	ended chan struct{}
	// err is the first error of this write and those before it. It is set once the write has
	// ended.
	err error
}

// end records the result of the write.
func (write *write) end(err error) {
	if write.err == nil {
		write.err = err
	}
	close(write.ended)
}

// beginWrite records that a write begins, when the one before has ended.
func (conn *Conn) beginWrite() *write {
	current := &write{ended: make(chan struct{})}
	if before := conn.lastWrite.Swap(current); before != nil {
		current.err = before.err
	}
	return current
}

// Write writes to the connection. Only one goroutine may write at a time.
func (conn *Conn) Write(data []byte) (int, error) {
	current := conn.beginWrite()
	count, err := conn.Conn.Write(data)
	current.end(err)
	return count, err
}

// WriteBuffers writes the buffers, at once if the system can. Only one goroutine may write
// at a time.
func (conn *Conn) WriteBuffers(buffers net.Buffers) (int64, error) {
	current := conn.beginWrite()
	count, err := buffers.WriteTo(conn.Conn)
	current.end(err)
	return count, err
}

// lostError returns the error by which the connection ended if a write got it in place of a
// read, or nil if the server has closed its direction.
func (conn *Conn) lostError() error {
	last := conn.lastWrite.Load()
	if last == nil || !conn.isClosed() {
		return nil
	}
	// A write to a closed socket doesn't block.
	<-last.ended
	var errno syscall.Errno
	if errors.As(last.err, &errno) && errno != syscall.EPIPE {
		return &ResetError{cause: last.err}
	}
	return nil
}

// isClosed reports whether both directions of the socket have ended, or this side has closed
// it.
func (conn *Conn) isClosed() bool {
	control, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	err = control.Control(func(descriptor uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err == nil && info.State == stateClosed
	})
	return err != nil || closed
}

// ResetError reports a connection that ended in a way other than by the server's closing it.
// Its cause is the error that a write got.
type ResetError struct{ cause error }

// Unwrap returns the cause.
func (err *ResetError) Unwrap() error { return err.cause }

func (err *ResetError) Error() string {
	return "the connection ended within the response: " + err.cause.Error()
}
