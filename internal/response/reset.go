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
	// err is the error of this write or of one before. It is set when the write has ended.
	err error
}

// Write writes to the connection. Only one goroutine may write at a time.
func (conn *Conn) Write(data []byte) (count int, err error) {
	err = conn.recordWrite(func() (err error) {
		count, err = conn.Conn.Write(data)
		return err
	})
	return count, err
}

// WriteBuffers writes the buffers, at once if the system can. Only one goroutine may write
// at a time.
func (conn *Conn) WriteBuffers(buffers net.Buffers) (count int64, err error) {
	err = conn.recordWrite(func() (err error) {
		count, err = buffers.WriteTo(conn.Conn)
		return err
	})
	return count, err
}

func (conn *Conn) recordWrite(send func() error) error {
	current := &write{ended: make(chan struct{})}
	before := conn.lastWrite.Swap(current)
	err := send()
	current.err = err
	if before != nil && before.err != nil {
		current.err = before.err
	}
	close(current.ended)
	return err
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
