package backendlink

import (
	"context"
	"net"
	"sync"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/clock"
)

const (
	// idleMost is how long a connection is kept idle if its server names no time.
	idleMost = 4 * clock.Second
	// idleMargin is taken off the time that a server names, for the way there.
	idleMargin = 500 * clock.Millisecond
	// justUsed is the age up to which a kept connection may carry a request that
	// may run only once: the server is most unlikely to have closed it since.
	justUsed = 300 * clock.Millisecond
)

// Links holds the connections of a node to backend servers. It may be used
// from any goroutine.
type Links struct {
	clock  *clock.Clock
	dial   func(ctx context.Context, address string) (net.Conn, error)
	opened func()
	idle   sync.Map // Key of a server to *idle.
}

// New returns links without connections. Opened is called for each new
// connection.
func New(clock *clock.Clock, opened func()) *Links {
	return &Links{clock: clock, dial: dial, opened: opened}
}

// take returns a kept connection to the server, or a new one.
func (links *Links) take(ctx context.Context, server *backend.Server, once bool) (*connection, error) {
	if kept, ok := links.idle.Load(server.Key()); ok {
		if connection := links.takeKept(kept.(*idle), once); connection != nil {
			return connection, nil
		}
	}
	conn, err := links.dial(ctx, server.Address())
	if err != nil {
		return nil, err
	}
	links.opened()
	return newConnection(conn), nil
}

func (links *Links) takeKept(kept *idle, once bool) *connection {
	for {
		connection := kept.pop()
		if connection == nil {
			return nil
		}
		age := links.clock.Now() - connection.usedAt
		if once && age > justUsed {
			kept.push(connection)
			return nil
		}
		if age < connection.idleMost && connection.isQuiet() {
			connection.reused = true
			return connection
		}
		connection.close()
	}
}

// keep makes the connection free for another request.
func (links *Links) keep(server *backend.Server, connection *connection) {
	connection.usedAt = links.clock.Now()
	kept, ok := links.idle.Load(server.Key())
	if !ok {
		kept, _ = links.idle.LoadOrStore(server.Key(), &idle{})
	}
	kept.(*idle).push(connection)
}

// Sweep closes idle connections that are too old and those to servers that are
// not live.
func (links *Links) Sweep(live func(key string) bool) {
	now := links.clock.Now()
	links.idle.Range(func(key, kept any) bool {
		connections := kept.(*idle).takeAll()
		keep := live(key.(string))
		if !keep {
			links.idle.Delete(key)
		}
		for i := len(connections) - 1; i >= 0; i-- {
			if keep && now-connections[i].usedAt < connections[i].idleMost {
				kept.(*idle).push(connections[i])
				continue
			}
			connections[i].close()
		}
		return true
	})
}
