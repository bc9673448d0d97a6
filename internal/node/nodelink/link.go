// Package nodelink carries calls between the system's own processes: yamux
// sessions over TCP, one stream for each call, protobuf messages prefixed with
// their length.
//
// A connection can go silent permanently while new ones to the same node work.
// A call that times out on a connection without any received byte since the
// call began closes the connection, and the next call opens a new one; if other
// calls got responses meanwhile, only the slow call ends. Sessions without calls
// for idleAge are closed.
package nodelink

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/node/nodepb"
)

// MaxMessageBytes is the maximum size of a message that a link reads.
const MaxMessageBytes = 2 << 20

const (
	// callTimeout bounds one call over a link.
	callTimeout = 2 * clock.Second
	// keepAliveInterval is the interval of keep-alives, which detect accepted
	// sessions whose other end vanished.
	keepAliveInterval = 30 * clock.Second
	// idleAge is the time without calls after which a session is closed.
	idleAge = clock.Minute
)

// Handler handles one call from a peer.
type Handler func(call *nodepb.Call) *nodepb.Reply

// Links opens and accepts sessions with peers.
type Links struct {
	clock    *clock.Clock
	dial     func(ctx context.Context, address string) (net.Conn, error)
	handler  Handler
	traffic  Traffic
	mutex    sync.Mutex
	sessions map[string]*outbound
	accepted map[*yamux.Session]struct{}
	closed   bool
}

// outbound is a session that this node opened.
type outbound struct {
	session    *yamux.Session
	connection *connection
	lastUsed   atomic.Int64
}

// New returns links that open connections with dial and handle calls with the
// handler.
func New(clock *clock.Clock, dial func(ctx context.Context, address string) (net.Conn, error), handler Handler) *Links {
	return &Links{clock: clock, dial: dial, handler: handler, sessions: map[string]*outbound{}, accepted: map[*yamux.Session]struct{}{}}
}

// DialTCP opens a plain TCP connection to the host and port.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: callTimeout.Duration()}
	return dialer.DialContext(ctx, "tcp", address)
}

// Traffic returns the counters of bytes on all connections.
func (links *Links) Traffic() *Traffic { return &links.traffic }

func sessionConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.LogOutput = io.Discard
	config.KeepAliveInterval = keepAliveInterval.Duration()
	config.ConnectionWriteTimeout = callTimeout.Duration()
	config.StreamCloseTimeout = (2 * callTimeout).Duration()
	config.StreamOpenTimeout = (2 * callTimeout).Duration()
	return config
}

// Serve accepts sessions until the listener is closed.
func (links *Links) Serve(listener net.Listener) error {
	for {
		connection, err := listener.Accept()
		if err != nil {
			return err
		}
		session, err := yamux.Server(newConnection(connection, links.clock, &links.traffic), sessionConfig())
		if err != nil {
			connection.Close()
			continue
		}
		if !links.track(session) {
			session.Close()
			return net.ErrClosed
		}
		go links.serveSession(session)
	}
}

func (links *Links) track(session *yamux.Session) bool {
	links.mutex.Lock()
	defer links.mutex.Unlock()
	if links.closed {
		return false
	}
	links.accepted[session] = struct{}{}
	return true
}

func (links *Links) serveSession(session *yamux.Session) {
	defer func() {
		session.Close()
		links.mutex.Lock()
		delete(links.accepted, session)
		links.mutex.Unlock()
	}()
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			return
		}
		go links.serveStream(stream)
	}
}

func (links *Links) serveStream(stream *yamux.Stream) {
	defer stream.Close()
	stop := links.clock.AfterFunc(callTimeout, func() { cancelRead(stream) })
	defer stop()
	var call nodepb.Call
	if err := readMessage(stream, &call); err != nil {
		return
	}
	protodelim.MarshalTo(stream, links.handler(&call))
}

// cancelRead ends a read that waits on the stream.
func cancelRead(stream *yamux.Stream) { _ = stream.SetReadDeadline(time.Unix(1, 0)) }

// Call sends a call to the peer at the address and waits for its reply.
func (links *Links) Call(ctx context.Context, address string, call *nodepb.Call) (*nodepb.Reply, error) {
	outbound, err := links.session(ctx, address)
	if err != nil {
		return nil, err
	}
	outbound.lastUsed.Store(int64(links.clock.Now()))
	stream, err := outbound.session.OpenStream()
	if err != nil {
		links.drop(address, outbound)
		return nil, errors.Wrap(err, "open stream")
	}
	defer stream.Close()
	started := links.clock.Now()
	stop := links.clock.AfterFunc(callTimeout, func() { cancelRead(stream) })
	defer stop()
	defer context.AfterFunc(ctx, func() { cancelRead(stream) })()
	reply, err := roundTrip(stream, call)
	if err != nil {
		if ctx.Err() == nil && outbound.connection.lastRead() <= started {
			links.drop(address, outbound)
		}
		return nil, err
	}
	if reply.HasError() {
		return nil, errors.Errorf("node at %s: %s", address, reply.GetError())
	}
	return reply, nil
}

func roundTrip(stream *yamux.Stream, call *nodepb.Call) (*nodepb.Reply, error) {
	if _, err := protodelim.MarshalTo(stream, call); err != nil {
		return nil, errors.Wrap(err, "send call")
	}
	var reply nodepb.Reply
	if err := readMessage(stream, &reply); err != nil {
		return nil, errors.Wrap(err, "read reply")
	}
	return &reply, nil
}

func readMessage(stream io.Reader, message proto.Message) error {
	options := protodelim.UnmarshalOptions{MaxSize: MaxMessageBytes}
	return options.UnmarshalFrom(bufio.NewReader(stream), message)
}

func (links *Links) session(ctx context.Context, address string) (*outbound, error) {
	links.mutex.Lock()
	existing, ok := links.sessions[address]
	links.mutex.Unlock()
	if ok && !existing.session.IsClosed() {
		return existing, nil
	}
	ctx, cancel := links.clock.WithTimeout(ctx, callTimeout)
	defer cancel()
	raw, err := links.dial(ctx, address)
	if err != nil {
		return nil, errors.Wrap(err, "connect to peer node")
	}
	connection := newConnection(raw, links.clock, &links.traffic)
	session, err := yamux.Client(connection, sessionConfig())
	if err != nil {
		_ = connection.Close()
		return nil, errors.Wrap(err, "open session")
	}
	opened := &outbound{session: session, connection: connection}
	opened.lastUsed.Store(int64(links.clock.Now()))
	return links.store(address, opened)
}

// store stores the opened session and returns it. If another goroutine has opened
// one meanwhile, it closes the new session and returns the other one.
func (links *Links) store(address string, opened *outbound) (*outbound, error) {
	links.mutex.Lock()
	defer links.mutex.Unlock()
	if links.closed {
		opened.session.Close()
		return nil, net.ErrClosed
	}
	if existing, ok := links.sessions[address]; ok && !existing.session.IsClosed() {
		opened.session.Close()
		return existing, nil
	}
	links.sessions[address] = opened
	return opened, nil
}

func (links *Links) drop(address string, outbound *outbound) {
	links.mutex.Lock()
	if links.sessions[address] == outbound {
		delete(links.sessions, address)
	}
	links.mutex.Unlock()
	outbound.session.Close()
}

// CloseIdle closes the sessions without calls for idleAge.
func (links *Links) CloseIdle() {
	links.mutex.Lock()
	idle := map[string]*outbound{}
	for address, outbound := range links.sessions {
		if links.clock.Now()-clock.Millis(outbound.lastUsed.Load()) > idleAge {
			idle[address] = outbound
		}
	}
	links.mutex.Unlock()
	for address, outbound := range idle {
		links.drop(address, outbound)
	}
}

// Close ends every session.
func (links *Links) Close() {
	links.mutex.Lock()
	links.closed = true
	var sessions []*yamux.Session
	for _, outbound := range links.sessions {
		sessions = append(sessions, outbound.session)
	}
	for session := range links.accepted {
		sessions = append(sessions, session)
	}
	links.mutex.Unlock()
	for _, session := range sessions {
		session.Close()
	}
}
