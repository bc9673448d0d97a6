package edge

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"sapphirehead/internal/caller/callerlink"
	"sapphirehead/internal/clock"
)

const (
	// bodyTimeout is how long a caller may take to send a body.
	bodyTimeout = 10 * clock.Second
	// ownBodyBytes are the bytes that each body may hold even if the memory is used up, so
	// that short bodies arrive while others hold it. connectionBytes includes them.
	ownBodyBytes = 4 << 10
	// firstBodyBytes is the first size of the buffer for a body of known length. A longer
	// one gets more memory as it arrives: an announced length costs its sender nothing.
	firstBodyBytes = 64 << 10
	// minBodyBuffer is the first size of the buffer for a body of unknown length.
	minBodyBuffer = 4 << 10
	// bodyStallTime is how long a caller may send nothing of a body while others need its
	// memory.
	bodyStallTime = 500 * clock.Millisecond
	// bodyWait is how long a request waits for the memory of such bodies, bodyPoll the time
	// between two tries, and maxBodyWaiters the number of requests that wait at once.
	bodyWait       = 1 * clock.Second
	bodyPoll       = 20 * clock.Millisecond
	maxBodyWaiters = 64
	// yieldShare is the share of the memory that is freed at once.
	yieldShare = 1.0 / 8
	// refusedBodyTimeout is how long a refused caller may take to send the rest of its
	// body, after which its connection is closed, and maxRefusedBody the longest body that is
	// read at all.
	refusedBodyTimeout = 500 * clock.Millisecond
	maxRefusedBody     = 64 << 10
)

// kindSlowBody is the kind of a body that yielded its memory.
const kindSlowBody callerlink.Kind = "slowBodyRefused"

// bodyMemory counts the bytes that bodies hold, and those that are being read.
type bodyMemory struct {
	clock   *clock.Clock
	limit   func() int64
	rate    func() int64
	report  func(kind callerlink.Kind, remote string)
	held    atomic.Int64
	reading sync.Map // *bodyHold to nothing.
	waiters atomic.Int64
	// searching is set while one goroutine looks for bodies that yield.
	searching atomic.Bool
}

func newBodyMemory(edge *Edge) *bodyMemory {
	return &bodyMemory{
		clock: edge.clock, report: edge.reportUncontrolled("caller"),
		limit: func() int64 { return int64(bodyMemoryShare * float64(edge.settings.Load().MemoryBytes())) },
		rate:  func() int64 { return edge.settings.Load().BodyRate() },
	}
}

// The states of a body.
const (
	bodyReading int32 = iota
	bodyComplete
	bodyYielded
)

// bodyHold is what one body holds of a bodyMemory.
type bodyHold struct {
	memory     *bodyMemory
	remote     string
	reserved   int64
	state      atomic.Int32
	begun      clock.Millis
	received   atomic.Int64
	progressAt atomic.Int64
	// expire ends the reading of the body.
	expire func()
}

// begin adds a body that is being read.
func (bodyMemory *bodyMemory) begin(remote string, expire func()) *bodyHold {
	bodyHold := &bodyHold{memory: bodyMemory, remote: remote, begun: bodyMemory.clock.Now(), expire: expire}
	bodyHold.progressAt.Store(int64(bodyHold.begun))
	bodyMemory.reading.Store(bodyHold, nil)
	return bodyHold
}

// end reports whether the body was received without having yielded.
func (bodyHold *bodyHold) end() bool {
	bodyHold.memory.reading.Delete(bodyHold)
	return bodyHold.state.CompareAndSwap(bodyReading, bodyComplete)
}

// release gives the memory back.
func (bodyHold *bodyHold) release() {
	bodyHold.memory.held.Add(-bodyHold.reserved)
	bodyHold.reserved = 0
}

// grow makes the hold one of so many bytes. If there is no memory, slow bodies yield
// theirs, for which it waits. Errors: *bodyMemoryError.
func (bodyHold *bodyHold) grow(bytes int) error {
	more := int64(bytes) - bodyHold.reserved
	if bodyHold.take(more) {
		return nil
	}
	memory := bodyHold.memory
	defer memory.waiters.Add(-1)
	if memory.waiters.Add(1) > maxBodyWaiters {
		return &bodyMemoryError{bytes: bytes}
	}
	for until := memory.clock.Now() + bodyWait; memory.clock.Now() < until && bodyHold.state.Load() == bodyReading; {
		memory.makeRoom(more)
		// A background context: the wait is short, and a caller that leaves ends its read.
		if memory.clock.Wait(context.Background(), bodyPoll) != nil {
			break
		}
		// The caller can't show progress while its body waits.
		bodyHold.progressAt.Store(int64(memory.clock.Now()))
		if bodyHold.take(more) {
			return nil
		}
	}
	return &bodyMemoryError{bytes: bytes}
}

// take reserves more bytes if there is memory for them, or if the body is a short one.
func (bodyHold *bodyHold) take(more int64) bool {
	if bodyHold.memory.held.Add(more) > bodyHold.memory.limit() && bodyHold.reserved+more > ownBodyBytes {
		bodyHold.memory.held.Add(-more)
		return false
	}
	bodyHold.reserved += more
	return true
}

// isSlow reports whether the caller sends less than it must while others need its memory.
func (bodyHold *bodyHold) isSlow(now clock.Millis, rate int64) bool {
	taken := now - bodyHold.begun
	if taken < bodyStallTime {
		return false
	}
	return now-clock.Millis(bodyHold.progressAt.Load()) >= bodyStallTime || bodyHold.received.Load() < rate*int64(taken)/int64(clock.Second)
}

// makeRoom makes slow bodies yield until the bytes and yieldShare of the memory are freed.
// One goroutine at a time does so.
func (bodyMemory *bodyMemory) makeRoom(bytes int64) {
	if !bodyMemory.searching.CompareAndSwap(false, true) {
		return
	}
	defer bodyMemory.searching.Store(false)
	now, rate := bodyMemory.clock.Now(), bodyMemory.rate()
	wanted := max(bytes, int64(yieldShare*float64(bodyMemory.limit())))
	bodyMemory.reading.Range(func(key, _ any) bool {
		bodyHold := key.(*bodyHold)
		if bodyHold.isSlow(now, rate) && bodyHold.state.CompareAndSwap(bodyReading, bodyYielded) {
			wanted -= firstBodyBytes
			bodyHold.expire()
			bodyMemory.report(kindSlowBody, bodyHold.remote)
		}
		return wanted > 0
	})
}

// receiveBody reads the body of an admitted request. It reports false after it has
// responded with an error.
func (requestContext *requestContext) receiveBody() bool {
	if requestContext.request.ContentLength == 0 {
		return true
	}
	limit := maxBodyBytes
	if requestContext.directory.Limits().BodyBytes() > 0 {
		limit = requestContext.directory.Limits().BodyBytes()
	}
	if requestContext.request.ContentLength > int64(limit) {
		return requestContext.failBody(http.StatusRequestEntityTooLarge, "tooLarge", "the body is too large")
	}
	control := http.NewResponseController(requestContext.writer)
	if err := control.SetReadDeadline(deadlineIn(bodyTimeout)); err != nil {
		requestContext.edge.log.Error().Err(err).Msg("cannot set the read deadline of a request body")
	}
	hold := requestContext.edge.bodyMemory.begin(requestContext.request.RemoteAddr, func() {
		// It fails only if the connection is closed.
		_ = control.SetReadDeadline(deadlineIn(-clock.Second))
	})
	requestContext.bodyHold = hold
	body, err := hold.readAll(http.MaxBytesReader(requestContext.writer, requestContext.request.Body, int64(limit)), int(requestContext.request.ContentLength))
	complete := hold.end()
	var tooLarge *http.MaxBytesError
	var noMemory *bodyMemoryError
	switch {
	case !complete:
		requestContext.refuse("the body arrives too slowly while others need its memory", shortRetryAfter)
		return false
	case errors.As(err, &noMemory):
		requestContext.refuse(noMemory.Error(), shortRetryAfter)
		return false
	case errors.As(err, &tooLarge):
		return requestContext.failBody(http.StatusRequestEntityTooLarge, "tooLarge", "the body is too large")
	case err != nil:
		return requestContext.failBody(http.StatusBadRequest, "badRequest", "the body can't be read")
	}
	if err := control.SetReadDeadline(noDeadline); err != nil {
		requestContext.edge.log.Error().Err(err).Msg("cannot clear the read deadline of a request body")
	}
	requestContext.body, requestContext.bodyReceived = body, true
	if !requestContext.edge.shutdownPolicy.Load().Admits(requestContext.route.Streaming(), requestContext.deadline(), requestContext.edge.clock.Now()) {
		requestContext.refuse("this node is stopping", shortRetryAfter)
		return false
	}
	return true
}

// failBody answers that the request did not run because of its body.
func (requestContext *requestContext) failBody(status int, kind, reason string) bool {
	if requestContext.cost > 0 {
		requestContext.edge.refund(requestContext.account, requestContext.cost)
	}
	requestContext.writeProblem(status, kind, reason, 0)
	return false
}

// releaseBody gives the body's memory back when the request has ended.
func (requestContext *requestContext) releaseBody() {
	if requestContext.bodyHold != nil {
		requestContext.bodyHold.release()
	}
}

// endUnreadBody bounds the time for which a refused caller may send its body: net/http
// reads it before it writes the response, unless the connection closes.
func (requestContext *requestContext) endUnreadBody() {
	length := requestContext.request.ContentLength
	if requestContext.bodyReceived || length == 0 {
		return
	}
	if err := http.NewResponseController(requestContext.writer).SetReadDeadline(deadlineIn(refusedBodyTimeout)); err != nil {
		requestContext.edge.log.Debug().Err(err).Msg("cannot set the read deadline of a refused body")
	}
	if requestContext.bodyHold != nil || length < 0 || length > maxRefusedBody {
		requestContext.writer.Header().Set("Connection", "close")
	}
}

// readAll reads a body of the announced length, or of unknown length if that is negative.
// Its buffer grows as bytes arrive. Errors: *bodyMemoryError, *http.MaxBytesError, and those
// of the connection.
func (bodyHold *bodyHold) readAll(reader io.Reader, announced int) ([]byte, error) {
	size, most := minBodyBuffer, announced
	if announced >= 0 {
		size = min(announced, firstBodyBytes)
	}
	if err := bodyHold.grow(size); err != nil {
		return nil, err
	}
	body := make([]byte, 0, size)
	for {
		if len(body) == most {
			return body, nil
		}
		if len(body) == cap(body) {
			grown := 2 * cap(body)
			if most >= 0 {
				grown = min(grown, most)
			}
			if err := bodyHold.grow(grown); err != nil {
				return nil, err
			}
			body = append(make([]byte, 0, grown), body...)
		}
		count, err := reader.Read(body[len(body):cap(body)])
		body = body[:len(body)+count]
		if count > 0 {
			bodyHold.received.Add(int64(count))
			bodyHold.progressAt.Store(int64(bodyHold.memory.clock.Now()))
		}
		if errors.Is(err, io.EOF) && (most < 0 || len(body) == most) {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// bodyMemoryError reports that the node has no memory for a body.
type bodyMemoryError struct{ bytes int }

func (err *bodyMemoryError) Error() string {
	return "no memory for a body of " + strconv.Itoa(err.bytes) + " bytes"
}
