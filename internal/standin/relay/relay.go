// Package relay is a small TCP relay that can inject faults into the connections
// that pass through it.
//
// Silence simulates a middlebox that has lost its state for a connection: bytes on
// the open connections are dropped although their senders get them acknowledged, a
// close by one end is not passed on to the other, and new connections work.
//
//	caller -- relay -- runner     Silence(Both): the open stream stalls for good
//	caller -- relay -- runner     a new connection works as before
package relay

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"sapphirehead/internal/clock"
)

// Direction is a bit set of the flows of bytes that a fault affects.
type Direction int

// The directions.
const (
	// ToTarget is the flow from the end that opened the connection to the target.
	ToTarget Direction = 1 << iota
	// FromTarget is the flow from the target to the other end.
	FromTarget
	// Both is both flows.
	Both = ToTarget | FromTarget
)

// bufferBytes is the maximum number of bytes copied at a time.
const bufferBytes = 16 << 10

// Relay forwards connections to one target.
type Relay struct {
	clock    *clock.Clock
	target   string
	listener net.Listener
	delay    atomic.Int64
	mutex    sync.Mutex
	links    map[*link]bool
}

// link is one connection through the relay.
type link struct {
	client net.Conn
	server net.Conn
	silent [2]atomic.Bool
}

// New returns a relay to the target that listens on loopback.
func New(clock *clock.Clock, target string) (*Relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	relay := &Relay{clock: clock, target: target, listener: listener, links: map[*link]bool{}}
	go relay.serve()
	return relay, nil
}

// Address returns the host and port on which the relay listens.
func (relay *Relay) Address() string { return relay.listener.Addr().String() }

// Delay sets the delay of each piece of data, 0 for none.
func (relay *Relay) Delay(delay clock.Millis) { relay.delay.Store(int64(delay)) }

// Cut closes every open connection and returns their number.
func (relay *Relay) Cut() int {
	links := relay.openLinks()
	for _, link := range links {
		link.close()
	}
	return len(links)
}

// Silence drops all further bytes of the open connections in the direction and
// returns the number of connections. Connections opened later are not affected.
func (relay *Relay) Silence(direction Direction) int {
	links := relay.openLinks()
	for _, link := range links {
		if direction&ToTarget != 0 {
			link.silent[0].Store(true)
		}
		if direction&FromTarget != 0 {
			link.silent[1].Store(true)
		}
	}
	return len(links)
}

// Close stops listening and closes every connection.
func (relay *Relay) Close() {
	relay.listener.Close()
	relay.Cut()
}

func (relay *Relay) openLinks() []*link {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	links := make([]*link, 0, len(relay.links))
	for link := range relay.links {
		links = append(links, link)
	}
	return links
}

func (relay *Relay) serve() {
	for {
		client, err := relay.listener.Accept()
		if err != nil {
			return
		}
		go relay.relayConnection(client)
	}
}

// relayConnection connects to the target and copies in both directions until both
// have ended.
func (relay *Relay) relayConnection(client net.Conn) {
	server, err := net.Dial("tcp", relay.target)
	if err != nil {
		client.Close()
		return
	}
	link := &link{client: client, server: server}
	relay.mutex.Lock()
	relay.links[link] = true
	relay.mutex.Unlock()
	var copiers sync.WaitGroup
	copiers.Go(func() { relay.copy(link, server, client, &link.silent[0]) })
	copiers.Go(func() { relay.copy(link, client, server, &link.silent[1]) })
	copiers.Wait()
	link.close()
	relay.mutex.Lock()
	delete(relay.links, link)
	relay.mutex.Unlock()
}

// copy forwards bytes until the source is closed. A silent direction drops the bytes
// and does not close the link.
func (relay *Relay) copy(link *link, target, source net.Conn, silent *atomic.Bool) {
	buffer := make([]byte, bufferBytes)
	for {
		count, err := source.Read(buffer)
		if err != nil {
			break
		}
		if delay := clock.Millis(relay.delay.Load()); delay > 0 {
			relay.clock.Wait(context.Background(), delay)
		}
		if silent.Load() {
			continue
		}
		if _, err := target.Write(buffer[:count]); err != nil {
			break
		}
	}
	if !silent.Load() {
		link.close()
	}
}

func (link *link) close() {
	link.client.Close()
	link.server.Close()
}
