// Package backendlink sends requests to backend servers over HTTP/1.1. It manages
// its own connections instead of using net/http's transport, which repeats a
// request by itself if a kept connection was closed, and doesn't report whether
// any byte of a request was sent.
//
// An exchange has one of three results that its caller must distinguish: no byte
// was sent (UnsentError), the response is lost (ResponseLostError), or a response:
//
//	response, err := links.Send(ctx, server, request)
//	var unsent *UnsentError
//	if errors.As(err, &unsent) { ... another server may run it ... }
package backendlink

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/response"
)

const (
	// dialTimeout bounds the wait for a new connection. A round trip between data
	// centres takes about 3 ms. A server whose accept queue is full drops the
	// first SYN, and its retransmission after seconds would be too late.
	dialTimeout = 400 * clock.Millisecond
	// unacknowledgedTimeout is how long sent bytes may stay unacknowledged
	// before the connection counts as dead (TCP_USER_TIMEOUT).
	unacknowledgedTimeout = 1500 * clock.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount close an idle connection
	// after 3 s without a response from the other end.
	keepAliveIdle     = 1 * clock.Second
	keepAliveInterval = 1 * clock.Second
	keepAliveCount    = 2
	// maxHeadBytes bounds the head of a response.
	maxHeadBytes = 64 << 10
	readerBytes  = 4 << 10
)

// Dialer returns a dialer whose connections fail after the number of consecutive
// keep-alive probes, a second apart, without a response.
func Dialer(probes int) *net.Dialer {
	return &net.Dialer{
		Timeout: dialTimeout.Duration(),
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle.Duration(), Interval: keepAliveInterval.Duration(), Count: probes,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var socketErr error
			err := raw.Control(func(descriptor uintptr) {
				socketErr = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledgedTimeout))
			})
			if err != nil {
				return err
			}
			return socketErr
		},
	}
}

// connection is one connection to a backend server.
type connection struct {
	conn          *response.Conn
	limitedReader *io.LimitedReader
	reader        *bufio.Reader
	usedAt        clock.Millis
	maxIdle       clock.Millis
	reused        bool
	closed        func()
	closeOnce     sync.Once
}

// newConnection returns a connection that calls closed once it is closed.
func newConnection(dialled net.Conn, closed func()) *connection {
	conn := response.NewConn(dialled)
	limited := &io.LimitedReader{R: conn, N: maxHeadBytes}
	return &connection{conn: conn, closed: closed, limitedReader: limited, reader: bufio.NewReaderSize(limited, readerBytes)}
}

// limitReads bounds the bytes that are read until unlimitReads.
func (connection *connection) limitReads() { connection.limitedReader.N = maxHeadBytes }

func (connection *connection) unlimitReads() { connection.limitedReader.N = 1 << 62 }

// abort makes all current and later reads and writes fail.
func (connection *connection) abort() {
	_ = connection.conn.SetDeadline(time.Unix(1, 0))
}

func (connection *connection) close() {
	_ = connection.conn.Close()
	connection.closeOnce.Do(connection.closed)
}

// isReusable reports whether the idle connection is open and has no unread bytes.
// Such bytes would not belong to the next request's response.
func (connection *connection) isReusable() bool {
	if connection.reader.Buffered() > 0 {
		return false
	}
	control, err := connection.conn.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = control.Read(func(descriptor uintptr) bool {
		var buffer [1]byte
		_, _, socketErr := unix.Recvfrom(int(descriptor), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = socketErr == unix.EAGAIN
		return true
	})
	return err == nil && empty
}

// idleStack is a stack of idle connections to one server. The most recently used
// one is on top, so that connections that are not needed expire at the bottom.
type idleStack struct {
	top atomic.Pointer[idleEntry]
}

type idleEntry struct {
	connection *connection
	below      *idleEntry
}

func (stack *idleStack) push(connection *connection) {
	entry := &idleEntry{connection: connection}
	for {
		entry.below = stack.top.Load()
		if stack.top.CompareAndSwap(entry.below, entry) {
			return
		}
	}
}

func (stack *idleStack) pop() *connection {
	for {
		entry := stack.top.Load()
		if entry == nil {
			return nil
		}
		if stack.top.CompareAndSwap(entry, entry.below) {
			return entry.connection
		}
	}
}

// takeAll empties the stack and returns its connections, most recently used
// first.
func (stack *idleStack) takeAll() []*connection {
	var connections []*connection
	for entry := stack.top.Swap(nil); entry != nil; entry = entry.below {
		connections = append(connections, entry.connection)
	}
	return connections
}

// dial opens a connection within the deadline of the context and dialTimeout.
func dial(ctx context.Context, address string) (net.Conn, error) {
	return Dialer(keepAliveCount).DialContext(ctx, "tcp", address)
}
