package nodelink

import (
	"net"
	"sync/atomic"

	"sapphirehead/internal/clock"
)

// Traffic counts bytes and writes on the connections of a node. Encryption and
// the headers of TCP and IP come on top.
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

// connection is a connection that knows when it last delivered bytes.
type connection struct {
	net.Conn
	clock   *clock.Clock
	traffic *Traffic
	read    atomic.Int64
}

func newConnection(raw net.Conn, clock *clock.Clock, traffic *Traffic) *connection {
	return &connection{Conn: raw, clock: clock, traffic: traffic}
}

// lastRead returns when the connection last delivered bytes, or 0.
func (connection *connection) lastRead() clock.Millis { return clock.Millis(connection.read.Load()) }

// Read reads and notes the time.
func (connection *connection) Read(data []byte) (int, error) {
	n, err := connection.Conn.Read(data)
	if n > 0 {
		connection.read.Store(int64(connection.clock.Now()))
		connection.traffic.received.Add(int64(n))
	}
	return n, err
}

// Write writes and counts.
func (connection *connection) Write(data []byte) (int, error) {
	n, err := connection.Conn.Write(data)
	connection.traffic.sent.Add(int64(n))
	connection.traffic.writes.Add(1)
	return n, err
}
