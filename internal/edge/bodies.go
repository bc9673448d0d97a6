package edge

import (
	"net/http"

	"github.com/pkg/errors"

	"sapphirehead/internal/caller/callerlink"
	"sapphirehead/internal/clock"
)

const (
	// bodyTimeout is how long a caller may take to send a body.
	bodyTimeout = 10 * clock.Second
	// refusedBodyTimeout is how long a refused caller may take to send the rest of its
	// body, after which its connection is closed, and maxRefusedBody the longest body that is
	// read at all, which is net/http's limit too.
	refusedBodyTimeout = 500 * clock.Millisecond
	maxRefusedBody     = 256 << 10
)

func newBodyMemory(edge *Edge) *callerlink.BodyMemory {
	return callerlink.NewBodyMemory(edge.clock,
		func() int64 { return int64(bodyMemoryShare * float64(edge.settings.Load().MemoryBytes())) },
		func() int64 { return edge.settings.Load().BodyRate() }, edge.reportUncontrolled("caller"))
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
	hold := requestContext.edge.bodyMemory.Begin(requestContext.request.RemoteAddr, func() {
		// It fails only if the connection is closed.
		_ = control.SetReadDeadline(deadlineIn(-clock.Second))
	})
	requestContext.bodyHold = hold
	body, err := hold.ReadAll(http.MaxBytesReader(requestContext.writer, requestContext.request.Body, int64(limit)), int(requestContext.request.ContentLength))
	complete := hold.End()
	var tooLarge *http.MaxBytesError
	var noMemory *callerlink.BodyMemoryError
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
		requestContext.bodyHold.Release()
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
