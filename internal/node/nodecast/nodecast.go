// Package nodecast carries bulletins between nodes, each in one datagram. Each
// bulletin supersedes the previous one, so lost datagrams are not retransmitted
// and, unlike lost segments of a TCP stream, delay no later ones.
package nodecast

import (
	"net"
	"net/netip"

	"github.com/pkg/errors"

	"sapphirehead/internal/node"
)

// maxDatagram is the size in bytes of the largest datagram over IPv4.
const maxDatagram = 65507

// Socket is a node's socket for bulletins.
type Socket struct {
	conn *net.UDPConn
}

// New listens on the address.
func New(address string) (*Socket, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, errors.Wrap(err, "parse the address for bulletins")
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(parsed))
	if err != nil {
		return nil, errors.Wrap(err, "listen for bulletins")
	}
	return &Socket{conn: conn}, nil
}

// Address returns the address at which the node receives bulletins.
func (socket *Socket) Address() string { return socket.conn.LocalAddr().String() }

// Close closes the socket.
func (socket *Socket) Close() error {
	return errors.Wrap(socket.conn.Close(), "close the socket for bulletins")
}

// Send sends the bulletin to each receiver. It returns the size of the datagram in bytes
// and the first error.
func (socket *Socket) Send(bulletin node.Bulletin, receivers []node.Receiver) (size int, err error) {
	data, err := Encode(bulletin)
	if err != nil {
		return 0, err
	}
	var first error
	for _, receiver := range receivers {
		parsed, err := netip.ParseAddrPort(receiver.Address())
		if err == nil {
			_, err = socket.conn.WriteToUDPAddrPort(data, parsed)
		}
		if err != nil && first == nil {
			first = errors.Wrap(err, "send a bulletin")
		}
	}
	return len(data), first
}

// Receive waits for the next bulletin. A datagram that is not a bulletin yields
// a *MalformedError, after which the socket can still be used.
func (socket *Socket) Receive(buffer []byte) (node.Bulletin, error) {
	count, from, err := socket.conn.ReadFromUDPAddrPort(buffer)
	if err != nil {
		return node.Bulletin{}, errors.Wrap(err, "receive a bulletin")
	}
	bulletin, err := Decode(buffer[:count])
	if err != nil {
		return node.Bulletin{}, &MalformedError{from: from.String(), cause: err}
	}
	return bulletin, nil
}

// NewBuffer returns a buffer for Receive.
func NewBuffer() []byte { return make([]byte, maxDatagram) }

// MalformedError is a datagram that is not a bulletin.
type MalformedError struct {
	from  string
	cause error
}

// Unwrap returns the cause.
func (err *MalformedError) Unwrap() error { return err.cause }

func (err *MalformedError) Error() string {
	return "datagram from " + err.from + " is not a bulletin: " + err.cause.Error()
}
