package backendlink

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/clock"
)

// inlineBytes is the size up to which a request is written before its answer
// is read. A server may answer a longer one early and stop reading, so the rest
// of that is written beside the read.
const inlineBytes = 4 << 10

// maxInterim bounds the interim (1xx) answers before the answer itself.
const maxInterim = 4

// Request is one request as it goes over the wire.
type Request struct {
	method string
	head   []byte
	body   []byte
	once   bool
}

// NewRequest returns a request from its encoded head and body. Once says that
// it may run only once.
func NewRequest(method string, head, body []byte, once bool) Request {
	return Request{method: method, head: head, body: body, once: once}
}

// UnsentError says that no byte of a request has left.
type UnsentError struct{ cause error }

// Unwrap returns the cause.
func (err *UnsentError) Unwrap() error { return err.cause }

func (err *UnsentError) Error() string { return "no connection: " + err.cause.Error() }

// LostError says that a request was sent, at least in part, and that no whole
// answer came.
type LostError struct {
	cause  error
	reused bool
}

// Reused reports whether the connection had carried requests before.
func (err *LostError) Reused() bool { return err.reused }

// Unwrap returns the cause.
func (err *LostError) Unwrap() error { return err.cause }

func (err *LostError) Error() string { return "answer lost: " + err.cause.Error() }

// Reply is the head of an answer and the way to its body.
type Reply struct {
	links      *Links
	server     *backend.Server
	connection *connection
	response   *http.Response
	written    chan error
	stop       func() bool
	ended      bool
	complete   bool
}

// Send sends the request to the server and returns its answer once the head has
// come. The context ends the whole exchange, the body included. Errors:
// *UnsentError, *LostError.
func (links *Links) Send(ctx context.Context, server *backend.Server, request Request) (*Reply, error) {
	connection, err := links.take(ctx, server, request.once)
	if err != nil {
		return nil, &UnsentError{cause: err}
	}
	reply := &Reply{links: links, server: server, connection: connection}
	reply.stop = context.AfterFunc(ctx, connection.interrupt)
	if err := reply.write(request); err != nil {
		reply.abandon()
		return nil, err
	}
	//nolint:bodyclose // A connection is kept or closed as a whole; closing the body would read the rest of a stream.
	response, err := connection.readHead(request.method)
	if err != nil {
		reply.abandon()
		return nil, &LostError{cause: err, reused: connection.reused}
	}
	reply.response = response
	return reply, nil
}

func (reply *Reply) write(request Request) error {
	conn := reply.connection.conn
	buffers := net.Buffers{request.head, request.body}
	if len(request.head)+len(request.body) > inlineBytes {
		reply.written = make(chan error, 1)
		go func() {
			_, err := buffers.WriteTo(conn)
			reply.written <- err
		}()
		return nil
	}
	count, err := buffers.WriteTo(conn)
	switch {
	case err == nil:
		return nil
	case count == 0:
		return &UnsentError{cause: err}
	default:
		return &LostError{cause: err, reused: reply.connection.reused}
	}
}

func (connection *connection) readHead(method string) (*http.Response, error) {
	connection.limitHead()
	defer connection.liftLimit()
	for range maxInterim {
		response, err := http.ReadResponse(connection.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
	return nil, errors.New("too many interim answers")
}

// Status returns the answer's status code.
func (reply *Reply) Status() int { return reply.response.StatusCode }

// Header returns the answer's header.
func (reply *Reply) Header() http.Header { return reply.response.Header }

// Length returns the length of the body, or -1 if the answer does not tell.
func (reply *Reply) Length() int64 { return reply.response.ContentLength }

// Read reads the body. It returns io.EOF only at the end of a whole body.
func (reply *Reply) Read(into []byte) (int, error) {
	count, err := reply.response.Body.Read(into)
	if errors.Is(err, io.EOF) {
		reply.complete = true
	}
	return count, err
}

// Close ends the exchange. The connection is kept if the whole answer was read,
// nothing came after it, and both sides want to go on.
func (reply *Reply) Close() {
	if reply.ended {
		return
	}
	if !reply.complete || reply.response.Close || reply.connection.reader.Buffered() > 0 || !reply.sent() || !reply.stop() {
		reply.abandon()
		return
	}
	reply.ended = true
	reply.connection.idleMost = idleTime(reply.response.Header)
	reply.links.keep(reply.server, reply.connection)
}

// sent reports whether the whole request has left.
func (reply *Reply) sent() bool {
	if reply.written == nil {
		return true
	}
	select {
	case err := <-reply.written:
		return err == nil
	default:
		return false
	}
}

func (reply *Reply) abandon() {
	reply.ended = true
	reply.stop()
	reply.connection.close()
}

// idleTime returns how long the connection may be kept, from the time that the
// server names in "Keep-Alive: timeout=5".
func idleTime(header http.Header) clock.Millis {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && seconds >= 0 {
			return max(0, clock.Millis(seconds)*clock.Second-idleMargin)
		}
	}
	return idleMost
}

// ReadEvent returns the next whole event of a stream of server-sent events,
// with its end, or an error if the stream ends within an event.
func ReadEvent(reader *bufio.Reader) ([]byte, error) {
	var event []byte
	for {
		line, err := reader.ReadSlice('\n')
		event = append(event, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull) && len(event) <= maxEventBytes:
			continue
		case errors.Is(err, bufio.ErrBufferFull):
			return event, errors.New("an event is too long")
		case errors.Is(err, io.EOF) && len(event) > 0:
			return event, io.ErrUnexpectedEOF
		case err != nil:
			return event, err
		}
		if isBlank(line) && len(event) > len(line) {
			return event, nil
		}
	}
}

// maxEventBytes bounds one event.
const maxEventBytes = 1 << 20

func isBlank(line []byte) bool {
	return len(line) == 1 || (len(line) == 2 && line[0] == '\r')
}

// EventID returns the id of an event, and false if it has none.
func EventID(event []byte) (string, bool) {
	for line := range strings.Lines(string(event)) {
		if value, ok := strings.CutPrefix(line, "id:"); ok {
			return strings.TrimSpace(value), true
		}
	}
	return "", false
}
