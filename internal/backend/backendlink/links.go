package backendlink

import (
	"context"
	"net"
	"sync"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/clock"
)

const (
	// maxIdle is how long a connection is kept idle if its server names no time.
	maxIdle = 4 * clock.Second
	// idleMargin is taken off the time that a server names, for the way there.
	idleMargin = 500 * clock.Millisecond
	// recentUse is the age up to which a kept connection may carry a request that
	// may run only once: the server is most unlikely to have closed it since.
	recentUse = 300 * clock.Millisecond
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

// acquire returns a kept connection to the server, or a new one.
func (links *Links) acquire(ctx context.Context, server *backend.Server, nonIdempotent bool) (*connection, error) {
	if idle, ok := links.idle.Load(server.Key()); ok {
		if connection := links.acquireIdle(idle.(*idleStack), nonIdempotent); connection != nil {
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

func (links *Links) acquireIdle(idle *idleStack, nonIdempotent bool) *connection {
	for {
		connection := idle.pop()
		if connection == nil {
			return nil
		}
		age := links.clock.Now() - connection.usedAt
		if nonIdempotent && age > recentUse {
			idle.push(connection)
			return nil
		}
		if age < connection.maxIdle && connection.isReusable() {
			connection.reused = true
			return connection
		}
		connection.close()
	}
}

// release makes the connection free for another request.
func (links *Links) release(server *backend.Server, connection *connection) {
	connection.usedAt = links.clock.Now()
	idle, ok := links.idle.Load(server.Key())
	if !ok {
		idle, _ = links.idle.LoadOrStore(server.Key(), &idleStack{})
	}
	idle.(*idleStack).push(connection)
}

// Sweep closes idle connections that are too old and those to servers that are
// not live.
func (links *Links) Sweep(live func(key string) bool) {
	now := links.clock.Now()
	links.idle.Range(func(key, idle any) bool {
		connections := idle.(*idleStack).takeAll()
		keep := live(key.(string))
		if !keep {
			links.idle.Delete(key)
		}
		for i := len(connections) - 1; i >= 0; i-- {
			if keep && now-connections[i].usedAt < connections[i].maxIdle {
				idle.(*idleStack).push(connections[i])
				continue
			}
			connections[i].close()
		}
		return true
	})
}
