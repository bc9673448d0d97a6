package backendlink

import (
	"bufio"
	"context"
	"io"
	"mime"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"

	"github.com/pkg/errors"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/clock"
)

// maxInlineBytes is the size up to which a request is written before its response
// is read. A longer request is written by a separate goroutine, as a server may
// respond early and stop reading.
const maxInlineBytes = 4 << 10

// maxResponseHeads bounds the number of response heads that are read for one
// request: interim ones (1xx) and the final one.
const maxResponseHeads = 4

const (
	// maxDiscardedBytes and discardTimeout bound the rest of a response that is read
	// only to keep the connection. A new connection costs less than more of it.
	maxDiscardedBytes = 4 << 10
	discardTimeout    = 50 * clock.Millisecond
)

// Request is an encoded HTTP/1.1 request.
type Request struct {
	method        string
	head          []byte
	body          []byte
	nonIdempotent bool
}

// NewRequest returns a request with the encoded head and body. A non-idempotent
// one must not run more than once.
func NewRequest(method string, head, body []byte, nonIdempotent bool) Request {
	return Request{method: method, head: head, body: body, nonIdempotent: nonIdempotent}
}

// UnsentError reports that no byte of a request was sent.
type UnsentError struct{ cause error }

// Unwrap returns the cause.
func (err *UnsentError) Unwrap() error { return err.cause }

func (err *UnsentError) Error() string { return "no connection: " + err.cause.Error() }

// ResponseLostError reports that at least a part of a request was sent and no
// response head was received.
type ResponseLostError struct {
	cause  error
	reused bool
}

// Reused reports whether the connection had carried requests before.
func (err *ResponseLostError) Reused() bool { return err.reused }

// Unwrap returns the cause.
func (err *ResponseLostError) Unwrap() error { return err.cause }

func (err *ResponseLostError) Error() string { return "answer lost: " + err.cause.Error() }

// IsClosedByPeer reports whether an exchange failed because the server's host ended the
// connection.
func IsClosedByPeer(err error) bool {
	for _, closed := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, closed) {
			return true
		}
	}
	return false
}

// Response is a response whose head has been received and whose body can be
// read. It must be closed.
type Response struct {
	links      *Links
	server     *backend.Server
	connection *connection
	head       *http.Response
	written    chan error
	stop       func() bool
	closed     bool
	complete   bool
	// hasBody is set once a byte of the body was received.
	hasBody bool
}

// Send sends the request to the server and returns the response once its head
// has been received. When the context ends, the exchange is aborted, even while the
// body is read. Errors: *UnsentError, *ResponseLostError.
func (links *Links) Send(ctx context.Context, server *backend.Server, request Request) (*Response, error) {
	connection, err := links.acquire(ctx, server, request.nonIdempotent)
	if err != nil {
		return nil, &UnsentError{cause: err}
	}
	response := &Response{links: links, server: server, connection: connection}
	response.stop = context.AfterFunc(ctx, connection.abort)
	connection.conn.Expect()
	if err := response.write(request); err != nil {
		response.abandon()
		return nil, err
	}
	//nolint:bodyclose // The connection is kept or closed instead; closing the body would read the rest of a stream.
	head, err := connection.readHead(request.method)
	if err != nil {
		response.abandon()
		return nil, &ResponseLostError{cause: err, reused: connection.reused}
	}
	response.head = head
	return response, nil
}

func (response *Response) write(request Request) error {
	conn := response.connection.conn
	buffers := net.Buffers{request.head, request.body}
	if len(request.head)+len(request.body) > maxInlineBytes {
		response.written = make(chan error, 1)
		go func() {
			_, err := conn.WriteBuffers(buffers)
			response.written <- err
		}()
		return nil
	}
	count, err := conn.WriteBuffers(buffers)
	switch {
	case err == nil:
		return nil
	case count == 0:
		return &UnsentError{cause: err}
	default:
		return &ResponseLostError{cause: err, reused: response.connection.reused}
	}
}

func (connection *connection) readHead(method string) (*http.Response, error) {
	connection.limitReads()
	defer connection.unlimitReads()
	for range maxResponseHeads {
		head, err := http.ReadResponse(connection.reader, &http.Request{Method: method})
		if broken := connection.conn.Broken(); broken != nil {
			return nil, broken
		}
		if err != nil {
			return nil, err
		}
		if head.StatusCode >= http.StatusOK {
			return head, nil
		}
	}
	return nil, errors.New("no final response among the first 4")
}

// Status returns the status code.
func (response *Response) Status() int { return response.head.StatusCode }

// Header returns the header.
func (response *Response) Header() http.Header { return response.head.Header }

// Length returns the length of the body in bytes, or -1 if it is unknown.
func (response *Response) Length() int64 { return response.head.ContentLength }

// Read reads the body. It returns io.EOF only at the end of a complete body. A body that
// ends with the connection must have a byte: nothing else tells it from one that the
// server never began.
func (response *Response) Read(into []byte) (int, error) {
	count, err := response.head.Body.Read(into)
	response.hasBody = response.hasBody || count > 0
	if errors.Is(err, io.EOF) {
		if !response.hasBody && response.endsWithConnection() {
			return count, io.ErrUnexpectedEOF
		}
		response.complete = true
	}
	return count, err
}

// endsWithConnection reports whether the body has neither a length nor chunks.
func (response *Response) endsWithConnection() bool {
	return response.head.ContentLength < 0 && len(response.head.TransferEncoding) == 0 && response.head.Request.Method != http.MethodHead
}

// Discard reads the rest of a response whose body is not needed, so that Close can
// keep the connection. It gives up on a body that is longer than maxDiscardedBytes or
// takes longer than discardTimeout.
func (response *Response) Discard() error {
	stop := response.links.clock.AfterFunc(discardTimeout, response.connection.abort)
	defer stop()
	count, err := io.Copy(io.Discard, io.LimitReader(response, maxDiscardedBytes+1))
	if err == nil && count > maxDiscardedBytes {
		return errors.Errorf("the body has more than %d bytes", maxDiscardedBytes)
	}
	return err
}

// Close ends the exchange. The connection is kept if the response was read
// completely, nothing was received after it, the whole request was sent, and
// neither side closes or aborts the connection.
func (response *Response) Close() {
	if response.closed {
		return
	}
	if !response.complete || response.head.Close || response.connection.reader.Buffered() > 0 || !response.sent() || !response.stop() {
		response.abandon()
		return
	}
	response.closed = true
	response.connection.maxIdle = idleTimeout(response.head.Header)
	response.links.release(response.server, response.connection)
}

// sent reports whether the whole request was sent.
func (response *Response) sent() bool {
	if response.written == nil {
		return true
	}
	select {
	case err := <-response.written:
		return err == nil
	default:
		return false
	}
}

func (response *Response) abandon() {
	response.closed = true
	response.stop()
	response.connection.close()
}

// idleTimeout returns the time for which the connection may be kept idle, from a
// header such as "Keep-Alive: timeout=5".
func idleTimeout(header http.Header) clock.Millis {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && seconds >= 0 {
			return max(0, clock.Millis(seconds)*clock.Second-idleMargin)
		}
	}
	return maxIdle
}

// maxEventBytes bounds the size of an event, and of the comments before it.
const maxEventBytes = 256 << 10

// minEventBuffer is the first size of the buffer for an event.
const minEventBuffer = 128

// EventTooLongError reports that an event of a stream has no end within the bound.
type EventTooLongError struct{ bytes int }

// Bytes returns the number of bytes that were read.
func (err *EventTooLongError) Bytes() int { return err.bytes }

func (err *EventTooLongError) Error() string {
	return "an event of a stream has no end after " + strconv.Itoa(err.bytes) + " bytes"
}

// ReadEvent returns the next complete event of a stream of server-sent events,
// including its blank line. It returns io.EOF at the end of the stream, and
// another error if the stream ends within an event. reserve is called with the size of
// the event's buffer before the buffer grows, and may refuse it. Errors:
// *EventTooLongError, and those of reserve.
func ReadEvent(reader *bufio.Reader, reserve func(bytes int) error) ([]byte, error) {
	var event []byte
	for len(event) <= maxEventBytes {
		line, err := reader.ReadSlice('\n')
		if needed := len(event) + len(line); needed > cap(event) {
			size := max(needed, 2*cap(event), minEventBuffer)
			if err := reserve(size); err != nil {
				return event, err
			}
			event = append(make([]byte, 0, size), event...)
		}
		event = append(event, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(event) > 0:
			return event, io.ErrUnexpectedEOF
		case err != nil:
			return event, err
		}
		if isBlank(line) && len(event) > len(line) {
			return event, nil
		}
	}
	return event, &EventTooLongError{bytes: len(event)}
}

func isBlank(line []byte) bool {
	return len(line) == 1 || (len(line) == 2 && line[0] == '\r')
}

// IsEventStream reports whether a response with the header is a stream of events.
func IsEventStream(header http.Header) bool {
	mediaType, _, err := mime.ParseMediaType(header.Get("Content-Type"))
	return err == nil && mediaType == "text/event-stream"
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
