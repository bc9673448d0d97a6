package callerlink

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/pkg/errors"

	"sapphirehead/internal/caller"
	"sapphirehead/internal/clock"
)

const (
	// headByteCost and headLineCost are the bytes of memory that a byte and a line of a head
	// may take in net/http: its buffers, and the entry in the map of fields with its strings.
	// A head of 60 KB in fields of seven bytes was measured to take 0.9 MB.
	headByteCost = 2
	headLineCost = 256
	// secretByteCost is the cost of a byte whose lines are not visible, as they are
	// encrypted: a line has at least seven bytes if the names of the fields differ.
	secretByteCost = 40
	// handshakeBytes are the first bytes of a connection with TLS, which are no head. A client
	// sends about 1.6 KB in its handshake, and its certificate if it has one.
	handshakeBytes = 2 << 10
	// ownHeadBytes is the memory that each head may take without a share in the limit, so
	// that ordinary heads, of about 20 fields, arrive while large ones use it up. With TLS,
	// it is a head of 1.6 KB.
	ownHeadBytes       = 16 << 10
	ownSecretHeadBytes = 64 << 10
	// roomShare is the share of the connections that are closed at once, so that a crowd of
	// new ones does not need a search for each.
	roomShare = 1.0 / 64
	// writePart is the size of the parts in which progress of a write is seen.
	writePart = 32 << 10
	// stallTime is how long a caller may read nothing of a response while others need its
	// connection, and leftoverTime how long it may leave a body unfinished after it got one.
	stallTime    = 1 * clock.Second
	leftoverTime = 500 * clock.Millisecond
)

// Kind is a kind of traffic that a Guard has ended.
type Kind string

// The kinds, which are also the names of the metrics.
const (
	KindIdle       Kind = "idleClosed"
	KindSlowHead   Kind = "slowHeadClosed"
	KindLargeHead  Kind = "largeHeadClosed"
	KindUnread     Kind = "unreadClosed"
	KindLeftover   Kind = "unfinishedBodyClosed"
	KindRefused    Kind = "connectionRefused"
	KindHeadDenied Kind = "largeHeadRefused"
	// KindSlowBody is a body that yielded its memory.
	KindSlowBody Kind = "slowBodyRefused"
)

// Limits bound what the connections of a listener hold.
type Limits struct {
	connections  int64
	headBytes    int64
	writeTimeout clock.Millis
}

// NewLimits returns the limits on the number of connections, on the memory of their heads,
// and on the time for which a caller may leave a part of a response unread.
func NewLimits(connections int, headBytes int64, writeTimeout clock.Millis) Limits {
	return Limits{connections: int64(connections), headBytes: headBytes, writeTimeout: writeTimeout}
}

// Guard bounds the connections of one HTTP server. At a limit it closes the least useful
// connections (caller.ConnectionUse), and never one with a request in progress that its
// caller waits for. It must be made by NewGuard.
type Guard struct {
	clock  *clock.Clock
	limits func() Limits
	report func(kind Kind, remote string)
	// secret is set if the connections carry TLS.
	secret    bool
	conns     sync.Map // *guardedConn to nothing.
	open      atomic.Int64
	headBytes atomic.Int64
	// searching is set while one goroutine makes room.
	searching atomic.Bool
}

// NewGuard returns a guard without connections. It calls report for each connection that it
// ends.
func NewGuard(clock *clock.Clock, limits func() Limits, report func(kind Kind, remote string)) *Guard {
	return &Guard{clock: clock, limits: limits, report: report}
}

// WithTLS makes the guard one of a listener below TLS.
func (guard *Guard) WithTLS() *Guard {
	guard.secret = true
	return guard
}

// ownHead returns the memory that each head may take without a share in the limit.
func (guard *Guard) ownHead() int64 {
	if guard.secret {
		return ownSecretHeadBytes
	}
	return ownHeadBytes
}

// Open returns the number of open connections.
func (guard *Guard) Open() int64 { return guard.open.Load() }

// HeadBytes returns the memory that heads hold.
func (guard *Guard) HeadBytes() int64 { return guard.headBytes.Load() }

// Serve makes the server report the states of its connections to the guard, and refuse
// requests whose heads don't fit into the limits.
func (guard *Guard) Serve(server *http.Server, listener net.Listener) error {
	handler := server.Handler
	server.Handler = http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if guard.admits(writer, request) {
			handler.ServeHTTP(writer, request)
			markAnswered(request)
		}
	})
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if guarded := guardedOf(conn); guarded != nil {
			guarded.setState(state)
		}
	}
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, guardedOf(conn))
	}
	return server.Serve(listener)
}

// Listener returns a listener whose connections the guard bounds.
func (guard *Guard) Listener(listener net.Listener) net.Listener {
	return &guardedListener{Listener: listener, guard: guard}
}

type connKey struct{}

// guardedOf returns the guarded connection below the connection of an HTTP server, or nil.
func guardedOf(conn net.Conn) *guardedConn {
	for {
		if guarded, ok := conn.(*guardedConn); ok {
			return guarded
		}
		upper, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		conn = upper.NetConn()
	}
}

// Prove records that the request's connection carried a request with a known key.
func Prove(request *http.Request) {
	if guarded, ok := request.Context().Value(connKey{}).(*guardedConn); ok && guarded != nil {
		guarded.proved.Store(true)
	}
}

// markAnswered records that the handler of the request has returned. Until net/http
// reports the connection as idle or closed, it writes the rest of the response, or waits for
// the rest of the body.
func markAnswered(request *http.Request) {
	if guarded, ok := request.Context().Value(connKey{}).(*guardedConn); ok && guarded != nil {
		guarded.answeredAt.Store(int64(guarded.guard.clock.Now()))
	}
}

// admits reports whether the request may be handled.
func (guard *Guard) admits(writer http.ResponseWriter, request *http.Request) bool {
	guarded, ok := request.Context().Value(connKey{}).(*guardedConn)
	if !ok || guarded == nil {
		return true
	}
	if guarded.phase.Load() == phaseClosed {
		// The connection was closed while its request was decoded.
		panic(http.ErrAbortHandler)
	}
	if guard.headBytes.Load() <= guard.limits().headBytes || guarded.head.Load() <= guard.ownHead() {
		return true
	}
	guard.report(KindHeadDenied, guarded.host)
	writer.Header().Set("Connection", "close")
	writer.WriteHeader(http.StatusRequestHeaderFieldsTooLarge)
	return false
}

// guardedListener accepts guarded connections.
type guardedListener struct {
	net.Listener
	guard *Guard
}

// Accept returns the next connection that there is room for.
func (listener *guardedListener) Accept() (net.Conn, error) {
	for {
		conn, err := listener.Listener.Accept()
		if err != nil {
			if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
				listener.guard.makeRoom(0)
			}
			return nil, err
		}
		if guarded := listener.guard.accept(conn); guarded != nil {
			return guarded, nil
		}
	}
}

// accept returns the guarded connection, or nil if there is no room for it.
func (guard *Guard) accept(conn net.Conn) *guardedConn {
	host, _, err := net.SplitHostPort(conn.RemoteAddr().String())
	if err != nil {
		host = conn.RemoteAddr().String()
	}
	if limit := guard.limits().connections; guard.open.Add(1) > limit {
		guard.makeRoom(0)
		if guard.open.Load() > limit {
			guard.open.Add(-1)
			guard.report(KindRefused, host)
			conn.Close()
			return nil
		}
	}
	guarded := &guardedConn{Conn: conn, guard: guard, host: host}
	guarded.since.Store(int64(guard.clock.Now()))
	guard.conns.Store(guarded, nil)
	return guarded
}

// candidate is a connection that may be closed.
type candidate struct {
	guarded *guardedConn
	use     caller.ConnectionUse
}

// makeRoom closes the least useful connections: a share of all, or so many that heads hold
// at most the bytes if they are not 0. One goroutine at a time does so.
func (guard *Guard) makeRoom(headBytes int64) {
	if !guard.searching.CompareAndSwap(false, true) {
		return
	}
	defer guard.searching.Store(false)
	count := max(1, int(roomShare*float64(guard.limits().connections)))
	for _, candidate := range guard.candidates(headBytes > 0) {
		if count == 0 || (headBytes > 0 && guard.headBytes.Load() <= headBytes) {
			return
		}
		if candidate.guarded.evict(headBytes > 0) && headBytes == 0 {
			count--
		}
	}
}

// candidates returns the connections that may be closed, the least useful one first. For
// the memory of large heads only those count that had time to send them: a burst of new ones
// would displace itself, and each of them would leave garbage.
func (guard *Guard) candidates(largeHeads bool) []candidate {
	now := guard.clock.Now()
	var candidates []candidate
	holdings := map[string]int{}
	guard.conns.Range(func(key, _ any) bool {
		guarded := key.(*guardedConn)
		holdings[guarded.host]++
		use := guarded.use(now)
		switch {
		case largeHeads:
			if guarded.phase.Load() == phaseWaiting && guarded.head.Load() > guard.ownHead() && !use.Fresh() {
				candidates = append(candidates, candidate{guarded: guarded, use: use})
			}
		case guarded.phase.Load() == phaseWaiting:
			candidates = append(candidates, candidate{guarded: guarded, use: use})
		case guarded.isLeftover(now):
			candidates = append(candidates, candidate{guarded: guarded, use: use})
		case guarded.isStalled(now):
			candidates = append(candidates, candidate{guarded: guarded, use: use.WithStalledResponse()})
		}
		return true
	})
	for i := range candidates {
		candidates[i].use = candidates[i].use.WithHoldings(holdings[candidates[i].guarded.host])
	}
	slices.SortFunc(candidates, func(first, second candidate) int { return first.use.Compare(second.use) })
	return candidates
}

// The phases of a connection.
const (
	// phaseWaiting is the time until a request is complete.
	phaseWaiting int32 = iota
	phaseServing
	phaseClosed
)

// guardedConn is a connection of a guard.
type guardedConn struct {
	net.Conn
	guard  *Guard
	host   string
	phase  atomic.Int32
	proved atomic.Bool
	// head is the memory of the head in progress, or of the request that is served.
	head atomic.Int64
	// since is when the connection was accepted, became idle, or got the first byte of a
	// head.
	since atomic.Int64
	// writes is when the write in progress last made progress, or 0.
	writes atomic.Int64
	// answeredAt is when the handler of the request returned, or 0.
	answeredAt atomic.Int64
	// read counts the bytes of a connection with TLS that are parts of heads.
	read      atomic.Int64
	forgotten atomic.Bool
}

func (guarded *guardedConn) use(now clock.Millis) caller.ConnectionUse {
	return caller.NewConnectionUse(guarded.proved.Load(), guarded.head.Load(), clock.Millis(guarded.since.Load()), now)
}

// isStalled reports whether the caller leaves a response unread.
func (guarded *guardedConn) isStalled(now clock.Millis) bool {
	writes := guarded.writes.Load()
	return writes > 0 && now-clock.Millis(writes) >= stallTime && guarded.phase.Load() == phaseServing
}

// isLeftover reports whether the caller has got its response and leaves its body unfinished.
func (guarded *guardedConn) isLeftover(now clock.Millis) bool {
	answered := guarded.answeredAt.Load()
	return answered > 0 && now-clock.Millis(answered) >= leftoverTime && guarded.writes.Load() == 0 && guarded.phase.Load() == phaseServing
}

// setState follows the states of net/http. StateActive is reported once a request is
// complete, and StateIdle after its response.
func (guarded *guardedConn) setState(state http.ConnState) {
	switch state {
	case http.StateActive:
		guarded.answeredAt.Store(0)
		guarded.phase.CompareAndSwap(phaseWaiting, phaseServing)
	case http.StateIdle:
		guarded.releaseHead()
		guarded.since.Store(int64(guarded.guard.clock.Now()))
		guarded.phase.CompareAndSwap(phaseServing, phaseWaiting)
	default:
	}
}

func (guarded *guardedConn) releaseHead() { guarded.guard.headBytes.Add(-guarded.head.Swap(0)) }

// Read counts the bytes of heads, and ends a head for which there is no memory.
func (guarded *guardedConn) Read(buffer []byte) (int, error) {
	count, err := guarded.Conn.Read(buffer)
	if count == 0 || guarded.phase.Load() != phaseWaiting {
		return count, err
	}
	cost := guarded.costOf(buffer[:count])
	limit, held := guarded.guard.limits().headBytes, guarded.guard.headBytes.Add(cost)
	head := guarded.head.Add(cost)
	if head == cost {
		guarded.since.Store(int64(guarded.guard.clock.Now()))
	}
	if held > limit && head > guarded.guard.ownHead() {
		guarded.guard.makeRoom(limit)
		if guarded.guard.headBytes.Load() > limit {
			guarded.evict(true)
		}
	}
	if guarded.phase.Load() == phaseClosed {
		guarded.releaseHead()
		return 0, net.ErrClosed
	}
	return count, err
}

// costOf returns the memory of a part of a head.
func (guarded *guardedConn) costOf(part []byte) int64 {
	if !guarded.guard.secret {
		return int64(len(part)*headByteCost + bytes.Count(part, []byte{'\n'})*headLineCost)
	}
	read := guarded.read.Add(int64(len(part)))
	secret := min(int64(len(part)), max(0, read-handshakeBytes))
	return (int64(len(part))-secret)*headByteCost + secret*secretByteCost
}

// Write gives the caller a limited time to read.
func (guarded *guardedConn) Write(data []byte) (int, error) {
	timeout := guarded.guard.limits().writeTimeout
	if err := guarded.SetWriteDeadline(clock.RuntimeDeadline(timeout)); err != nil {
		return 0, err
	}
	defer guarded.writes.Store(0)
	written := 0
	for {
		guarded.writes.Store(int64(guarded.guard.clock.Now()))
		count, err := guarded.Conn.Write(data[written:min(len(data), written+writePart)])
		if written += count; err != nil || written == len(data) {
			return written, err
		}
	}
}

// CloseWrite closes the connection for writing, which net/http does before it closes one
// whose request it has not read completely.
func (guarded *guardedConn) CloseWrite() error {
	if half, ok := guarded.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close closes the connection.
func (guarded *guardedConn) Close() error {
	guarded.phase.Store(phaseClosed)
	err := guarded.Conn.Close()
	if !guarded.forgotten.Swap(true) {
		guarded.guard.conns.Delete(guarded)
		guarded.guard.open.Add(-1)
	}
	guarded.releaseHead()
	return err
}

// evict closes the connection unless a request is served on it whose caller waits. It
// reports whether it closed it.
func (guarded *guardedConn) evict(largeHead bool) bool {
	kind := KindIdle
	switch {
	case largeHead:
		kind = KindLargeHead
	case guarded.head.Load() > 0:
		kind = KindSlowHead
	}
	if !guarded.phase.CompareAndSwap(phaseWaiting, phaseClosed) {
		now := guarded.guard.clock.Now()
		switch {
		case guarded.isLeftover(now):
			kind = KindLeftover
		case guarded.isStalled(now):
			kind = KindUnread
		default:
			return false
		}
	}
	// The caller learns of it, and nobody else needs the error.
	_ = guarded.Close()
	guarded.guard.report(kind, guarded.host)
	return true
}
