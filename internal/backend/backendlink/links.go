package backendlink

import (
	"context"
	"math"
	"net"
	"sync"
	"sync/atomic"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/clock"
)

const (
	// maxIdle is the time for which an idle connection is kept if the server sends
	// no Keep-Alive timeout.
	maxIdle = 4 * clock.Second
	// idleMargin is subtracted from the server's Keep-Alive timeout, as a request
	// takes time to reach the server.
	idleMargin = 500 * clock.Millisecond
	// maxNonIdempotentIdle is the idle time up to which a connection may carry a
	// non-idempotent request: a server rarely closes a connection so soon.
	maxNonIdempotentIdle = 300 * clock.Millisecond
)

// Links holds a node's connections to backend servers. It may be used from any
// goroutine.
type Links struct {
	clock  *clock.Clock
	dial   func(ctx context.Context, address string) (net.Conn, error)
	opened func()
	ended  func(*backend.Server)
	idle   sync.Map // Key of a server to *idleStack.
	// open counts the connections, and limit bounds those that are idle beside others.
	open  atomic.Int64
	limit func() int64
}

// New returns links without connections. The function opened is called for each new
// connection, and ended if a server has closed an idle one before its time.
func New(clock *clock.Clock, opened func(), ended func(*backend.Server)) *Links {
	return &Links{clock: clock, dial: dial, opened: opened, ended: ended, limit: func() int64 { return math.MaxInt64 }}
}

// WithLimit makes the links close idle connections while more than so many are open.
func (links *Links) WithLimit(limit func() int64) *Links {
	links.limit = limit
	return links
}

// acquire returns an idle connection to the server, or a new one.
func (links *Links) acquire(ctx context.Context, server *backend.Server, nonIdempotent bool) (*connection, error) {
	if idle, ok := links.idle.Load(server.Key()); ok {
		if connection := links.acquireIdle(server, idle.(*idleStack), nonIdempotent); connection != nil {
			return connection, nil
		}
	}
	if links.open.Add(1) > links.limit() {
		links.closeIdle()
	}
	conn, err := links.dial(ctx, server.Address())
	if err != nil {
		links.open.Add(-1)
		return nil, err
	}
	links.opened()
	return newConnection(conn, func() { links.open.Add(-1) }), nil
}

// closeIdle closes idle connections until the limit holds.
func (links *Links) closeIdle() {
	links.idle.Range(func(_, idle any) bool {
		for links.open.Load() > links.limit() {
			connection := idle.(*idleStack).pop()
			if connection == nil {
				return true
			}
			connection.close()
		}
		return false
	})
}

func (links *Links) acquireIdle(server *backend.Server, idle *idleStack, nonIdempotent bool) *connection {
	for {
		connection := idle.pop()
		if connection == nil {
			return nil
		}
		age := links.clock.Now() - connection.usedAt
		if nonIdempotent && age > maxNonIdempotentIdle {
			idle.push(connection)
			return nil
		}
		if age < connection.maxIdle {
			if connection.isReusable() {
				connection.reused = true
				return connection
			}
			links.ended(server)
		}
		connection.close()
	}
}

// release keeps the connection for later requests.
func (links *Links) release(server *backend.Server, connection *connection) {
	if links.open.Load() > links.limit() {
		connection.close()
		return
	}
	connection.usedAt = links.clock.Now()
	idle, ok := links.idle.Load(server.Key())
	if !ok {
		idle, _ = links.idle.LoadOrStore(server.Key(), &idleStack{})
	}
	idle.(*idleStack).push(connection)
}

// Sweep closes expired idle connections and all those to servers that are not
// live.
func (links *Links) Sweep(live func(key string) bool) {
	now := links.clock.Now()
	links.idle.Range(func(key, idle any) bool {
		connections := idle.(*idleStack).takeAll()
		isLive := live(key.(string))
		if !isLive {
			links.idle.Delete(key)
		}
		for i := len(connections) - 1; i >= 0; i-- {
			if isLive && now-connections[i].usedAt < connections[i].maxIdle {
				idle.(*idleStack).push(connections[i])
				continue
			}
			connections[i].close()
		}
		return true
	})
}
