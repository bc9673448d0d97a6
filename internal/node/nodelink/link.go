// Package nodelink carries calls between the system's own processes: yamux
// sessions over TCP, one stream for each call, protobuf messages prefixed with
// their length.
//
// A session that goes silent is found by yamux keepalives and by the timeout
// of each call; either closes it, and the next call opens a new one.
package nodelink

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/node/nodepb"
)

// MaxMessageBytes is the largest message of a link.
const MaxMessageBytes = 2 << 20

// callTimeout bounds one call over a link.
const callTimeout = 2 * clock.Second

// Answer handles one call from a fellow node.
type Answer func(call *nodepb.Call) *nodepb.Reply

// Dial opens a connection to a fellow node, secured if the settings say so.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// Links opens and accepts sessions with fellow nodes.
type Links struct {
	clock    *clock.Clock
	dial     Dial
	answer   Answer
	mutex    sync.Mutex
	sessions map[string]*yamux.Session
	accepted map[*yamux.Session]struct{}
	closed   bool
}

// New returns links that open connections and answer calls by the functions.
func New(clock *clock.Clock, dial Dial, answer Answer) *Links {
	return &Links{clock: clock, dial: dial, answer: answer, sessions: map[string]*yamux.Session{}, accepted: map[*yamux.Session]struct{}{}}
}

func sessionConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.LogOutput = io.Discard
	config.KeepAliveInterval = (5 * clock.Second).Duration()
	config.ConnectionWriteTimeout = callTimeout.Duration()
	return config
}

// Serve accepts sessions until the listener is closed.
func (links *Links) Serve(listener net.Listener) error {
	for {
		connection, err := listener.Accept()
		if err != nil {
			return err
		}
		session, err := yamux.Server(connection, sessionConfig())
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
	stop := links.clock.AfterFunc(callTimeout, func() { stream.Close() })
	defer stop()
	var call nodepb.Call
	if err := readMessage(stream, &call); err != nil {
		return
	}
	protodelim.MarshalTo(stream, links.answer(&call))
}

// Call sends a call to the fellow node at the address and waits for its reply.
func (links *Links) Call(ctx context.Context, address string, call *nodepb.Call) (*nodepb.Reply, error) {
	session, err := links.session(ctx, address)
	if err != nil {
		return nil, err
	}
	stream, err := session.OpenStream()
	if err != nil {
		links.drop(address, session)
		return nil, errors.Wrap(err, "open stream")
	}
	defer stream.Close()
	reply, err := links.exchange(stream, call)
	if err != nil {
		links.drop(address, session)
		return nil, err
	}
	if reply.HasError() {
		return nil, errors.Errorf("node at %s: %s", address, reply.GetError())
	}
	return reply, nil
}

func (links *Links) exchange(stream *yamux.Stream, call *nodepb.Call) (*nodepb.Reply, error) {
	stop := links.clock.AfterFunc(callTimeout, func() { stream.Close() })
	defer stop()
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

func (links *Links) session(ctx context.Context, address string) (*yamux.Session, error) {
	links.mutex.Lock()
	session, ok := links.sessions[address]
	links.mutex.Unlock()
	if ok && !session.IsClosed() {
		return session, nil
	}
	ctx, cancel := links.clock.WithTimeout(ctx, callTimeout)
	defer cancel()
	connection, err := links.dial(ctx, address)
	if err != nil {
		return nil, errors.Wrap(err, "connect to fellow node")
	}
	session, err = yamux.Client(connection, sessionConfig())
	if err != nil {
		connection.Close()
		return nil, errors.Wrap(err, "open session")
	}
	return links.keep(address, session)
}

// keep stores a new session, unless another goroutine was faster.
func (links *Links) keep(address string, session *yamux.Session) (*yamux.Session, error) {
	links.mutex.Lock()
	defer links.mutex.Unlock()
	if links.closed {
		session.Close()
		return nil, net.ErrClosed
	}
	if other, ok := links.sessions[address]; ok && !other.IsClosed() {
		session.Close()
		return other, nil
	}
	links.sessions[address] = session
	return session, nil
}

func (links *Links) drop(address string, session *yamux.Session) {
	links.mutex.Lock()
	defer links.mutex.Unlock()
	if links.sessions[address] == session {
		delete(links.sessions, address)
	}
	session.Close()
}

// Close ends every session.
func (links *Links) Close() {
	links.mutex.Lock()
	defer links.mutex.Unlock()
	links.closed = true
	for _, session := range links.sessions {
		session.Close()
	}
	for session := range links.accepted {
		session.Close()
	}
}
