package node

import "sapphirehead/internal/clock"

const (
	// maxBurstBytes bounds the datagrams that a node sends at once. A longer burst
	// overflows the queue of a slow link, which takes 26 ms for it at 10 Mbit/s.
	maxBurstBytes = 32 << 10
	// minDatagramBytes is assumed before the size of a bulletin is known.
	minDatagramBytes = 1 << 10
	// urgentPause is the time between two batches of an urgent bulletin.
	urgentPause = 20 * clock.Millisecond
)

// Receiver is a peer to which bulletins are sent.
type Receiver struct {
	host    string
	address string
}

// NewReceiver returns the peer on the host, which receives bulletins at the address.
func NewReceiver(host, address string) Receiver { return Receiver{host: host, address: address} }

// Host returns the name of the peer's host.
func (receiver Receiver) Host() string { return receiver.host }

// Address returns the address at which the peer receives bulletins.
func (receiver Receiver) Address() string { return receiver.address }

// Cast is the order in which a node sends bulletins to its peers: to a few of them at a
// time, spread over the interval, so that the link's queue doesn't drop the same ones in
// each round. With 295 nodes and bulletins of 2 KB:
//
//	every 64 ms to the next 16 peers, each peer every 1.18 s
//
// It must be used by one goroutine.
type Cast struct {
	next   int
	urgent int
}

// SetUrgent sends the next bulletin to all receivers with short pauses.
func (cast *Cast) SetUrgent(receivers int) { cast.urgent = receivers }

// Batch returns the next receivers of a bulletin of the size in bytes.
func (cast *Cast) Batch(receivers []Receiver, datagramBytes int) []Receiver {
	if len(receivers) == 0 {
		return nil
	}
	size := min(len(receivers), max(1, maxBurstBytes/max(datagramBytes, minDatagramBytes)))
	batch := make([]Receiver, 0, size)
	for range size {
		cast.next = (cast.next + 1) % len(receivers)
		batch = append(batch, receivers[cast.next])
	}
	cast.urgent = max(0, cast.urgent-size)
	return batch
}

// Pause returns the time after a batch until the next one of a node without requests
// and, at most as long, of one with requests.
func (cast *Cast) Pause(batch, receivers int) (busy, idle clock.Millis) {
	if cast.urgent > 0 {
		return urgentPause, urgentPause
	}
	busy, idle = BulletinInterval(receivers+1, false), BulletinInterval(receivers+1, true)
	if receivers == 0 {
		return busy, idle
	}
	part := func(interval clock.Millis) clock.Millis {
		return max(1, interval*clock.Millis(batch)/clock.Millis(receivers))
	}
	return part(busy), part(idle)
}
