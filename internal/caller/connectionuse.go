package caller

import "sapphirehead/internal/clock"

// freshTime is how long a connection counts as fresh: an ordinary caller sends its request
// within it.
const freshTime = 500 * clock.Millisecond

// ConnectionUse is what a node knows of a caller's open connection when it must close one.
type ConnectionUse struct {
	proved    bool
	stalled   bool
	fresh     bool
	headBytes int64
	holdings  int
	since     clock.Millis
}

// NewConnectionUse returns the use of a connection at the time now that has waited for a
// complete request since then, and has sent so many bytes of its head. A proved connection
// has carried a request with a known key, or any complete one if the listener needs no key.
func NewConnectionUse(proved bool, headBytes int64, since, now clock.Millis) ConnectionUse {
	return ConnectionUse{proved: proved, fresh: now-since < freshTime, headBytes: headBytes, since: since}
}

// Fresh reports whether the connection began to wait a short time ago.
func (connectionUse ConnectionUse) Fresh() bool { return connectionUse.fresh }

// WithStalledResponse returns the use of a connection that carries a response which its
// caller does not read.
func (connectionUse ConnectionUse) WithStalledResponse() ConnectionUse {
	connectionUse.stalled = true
	return connectionUse
}

// WithHoldings returns the use with the number of connections from the same address.
func (connectionUse ConnectionUse) WithHoldings(holdings int) ConnectionUse {
	connectionUse.holdings = holdings
	return connectionUse
}

// Compare returns a negative number if the connection is less useful than the other one,
// and is closed before it. An unread response comes last, as it was promised. A connection
// that has proved something comes after each that has not, even if it is idle: callers keep
// connections open between requests. Among equals, idle ones come before slow ones, then
// the address that holds the most, then the one that waits longest.
func (connectionUse ConnectionUse) Compare(other ConnectionUse) int {
	for _, order := range [][2]bool{
		{connectionUse.stalled, other.stalled},
		{connectionUse.proved, other.proved},
		{connectionUse.fresh, other.fresh},
		{connectionUse.headBytes > 0, other.headBytes > 0},
	} {
		switch {
		case order[0] == order[1]:
		case order[1]:
			return -1
		default:
			return 1
		}
	}
	if connectionUse.holdings != other.holdings {
		return other.holdings - connectionUse.holdings
	}
	return int(connectionUse.since - other.since)
}
