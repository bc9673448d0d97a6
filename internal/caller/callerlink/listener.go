// Package callerlink accepts callers' connections, and ends them without losing a request
// that the process has read.
package callerlink

import (
	"net"
	"os"
	"sync"
	"syscall"

	"github.com/pkg/errors"
)

// Listener is a TCP listener that can be closed without a reset of the connections that
// wait in the kernel's queue. It must be made by New.
type Listener struct {
	tcp net.Listener
	// waiting holds the connections that Drain took from the kernel's queue.
	waiting chan net.Conn
	// drained is closed once waiting is complete.
	drained   chan struct{}
	drainOnce sync.Once
}

// New returns a listener that accepts from the TCP listener, and owns it.
func New(listener net.Listener) *Listener {
	return &Listener{tcp: listener, drained: make(chan struct{})}
}

// Addr returns the address on which the listener accepts.
func (listener *Listener) Addr() net.Addr { return listener.tcp.Addr() }

// Close closes the listener at once.
func (listener *Listener) Close() error { return listener.tcp.Close() }

// Accept returns the next connection. After Drain it returns those that waited in the
// queue, and net.ErrClosed after them.
func (listener *Listener) Accept() (net.Conn, error) {
	conn, err := listener.tcp.Accept()
	if !errors.Is(err, net.ErrClosed) {
		return conn, err
	}
	select {
	case <-listener.drained:
	default:
		return nil, err
	}
	if conn, ok := <-listener.waiting; ok {
		return conn, nil
	}
	return nil, err
}

// Drain closes the listener. Connections that callers have opened and that nobody has
// accepted are still returned by Accept. The error, if any, is that of the queue; the
// listener is closed in any case.
func (listener *Listener) Drain() error {
	var err error
	listener.drainOnce.Do(func() {
		var conns []net.Conn
		conns, err = acceptAll(listener.tcp)
		listener.waiting = make(chan net.Conn, len(conns))
		for _, conn := range conns {
			listener.waiting <- conn
		}
		close(listener.waiting)
		close(listener.drained)
		listener.tcp.Close()
	})
	return err
}

// acceptAll returns the connections in the kernel's queue, and doesn't wait for more.
func acceptAll(listener net.Listener) ([]net.Conn, error) {
	source, ok := listener.(syscall.Conn)
	if !ok {
		return nil, errors.Errorf("a %T has no queue in the kernel", listener)
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return nil, errors.Wrap(err, "open the queue")
	}
	var conns []net.Conn
	var acceptErr error
	err = raw.Control(func(descriptor uintptr) {
		for acceptErr == nil {
			var conn net.Conn
			if conn, acceptErr = acceptNow(int(descriptor)); acceptErr == nil {
				conns = append(conns, conn)
			}
		}
	})
	if err == nil && !errors.Is(acceptErr, syscall.EAGAIN) {
		err = acceptErr
	}
	return conns, errors.Wrap(err, "accept the connections in the queue")
}

// acceptNow returns the first connection in the queue of a listening socket that doesn't
// block, or syscall.EAGAIN.
func acceptNow(descriptor int) (net.Conn, error) {
	for {
		accepted, _, err := syscall.Accept4(descriptor, syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
		if errors.Is(err, syscall.EINTR) || errors.Is(err, syscall.ECONNABORTED) {
			continue
		}
		if err != nil {
			return nil, err
		}
		file := os.NewFile(uintptr(accepted), "")
		conn, err := net.FileConn(file)
		if closeErr := file.Close(); err == nil {
			err = closeErr
		}
		return conn, errors.Wrap(err, "use an accepted connection")
	}
}
