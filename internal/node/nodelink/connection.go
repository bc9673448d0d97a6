package nodelink

import (
	"net"
	"sync"
	"sync/atomic"

	"sapphirehead/internal/clock"
)

// Traffic counts bytes and writes on the connections of a node, without the
// overhead of encryption and of TCP and IP headers.
type Traffic struct {
	sent     atomic.Int64
	received atomic.Int64
	writes   atomic.Int64
}

// Sent returns the number of bytes sent.
func (traffic *Traffic) Sent() int64 { return traffic.sent.Load() }

// Received returns the number of bytes received.
func (traffic *Traffic) Received() int64 { return traffic.received.Load() }

// Writes returns the number of writes, each of which is a packet or more.
func (traffic *Traffic) Writes() int64 { return traffic.writes.Load() }

const (
	// flushDelay is how long a write waits for others, so that the frames of a call
	// (opening, header and body) share a packet.
	flushDelay = clock.Millisecond
	// flushBytes is the number of pending bytes that are written at once.
	flushBytes = 16 << 10
	// closeDelay bounds the last write of a connection that is closed.
	closeDelay = 50 * clock.Millisecond
)

// connection is a connection that batches small writes and records when it last
// received bytes.
type connection struct {
	net.Conn
	clock          *clock.Clock
	traffic        *Traffic
	read           atomic.Int64
	mutex          sync.Mutex
	pending        []byte
	flushScheduled bool
	err            error
}

func newConnection(raw net.Conn, clock *clock.Clock, traffic *Traffic) *connection {
	return &connection{Conn: raw, clock: clock, traffic: traffic}
}

// lastRead returns when the connection last received bytes, or 0.
func (connection *connection) lastRead() clock.Millis { return clock.Millis(connection.read.Load()) }

// Read reads and records the time.
func (connection *connection) Read(data []byte) (int, error) {
	n, err := connection.Conn.Read(data)
	if n > 0 {
		connection.read.Store(int64(connection.clock.Now()))
		connection.traffic.received.Add(int64(n))
	}
	return n, err
}

// Write buffers the bytes, which are written within flushDelay. If that fails, the
// connection is closed and later calls of Write return the error.
func (connection *connection) Write(data []byte) (int, error) {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	if connection.err != nil {
		return 0, connection.err
	}
	connection.pending = append(connection.pending, data...)
	switch {
	case len(connection.pending) >= flushBytes:
		connection.flush()
	case !connection.flushScheduled:
		connection.flushScheduled = true
		connection.clock.AfterFunc(flushDelay, connection.flushDelayed)
	}
	return len(data), nil
}

func (connection *connection) flushDelayed() {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	connection.flushScheduled = false
	connection.flush()
}

func (connection *connection) flush() {
	if len(connection.pending) == 0 || connection.err != nil {
		return
	}
	n, err := connection.Conn.Write(connection.pending)
	connection.pending = connection.pending[:0]
	connection.traffic.sent.Add(int64(n))
	connection.traffic.writes.Add(1)
	if err != nil {
		connection.err = err
		connection.Conn.Close()
	}
}

// Close writes pending bytes, unless a write is stuck, and closes the
// connection.
func (connection *connection) Close() error {
	if connection.mutex.TryLock() {
		stop := connection.clock.AfterFunc(closeDelay, func() { connection.Conn.Close() })
		connection.flush()
		stop()
		connection.mutex.Unlock()
	}
	return connection.Conn.Close()
}
