package runner

import "sapphirehead/internal/request"

// AttemptError reports the cause that ended an attempt.
type AttemptError struct {
	cause request.Cause
	inner error
}

// NewAttemptError returns an error with the cause.
func NewAttemptError(cause request.Cause, inner error) *AttemptError {
	return &AttemptError{cause: cause, inner: inner}
}

// Cause returns the cause for the request's flow.
func (err *AttemptError) Cause() request.Cause { return err.cause }

// Unwrap returns the underlying error.
func (err *AttemptError) Unwrap() error { return err.inner }

func (err *AttemptError) Error() string {
	return "attempt failed (" + err.cause.String() + "): " + err.inner.Error()
}

// Stream is the response of one attempt at a model runner, while it is received.
type Stream struct {
	id    string
	next  func() (Event, error)
	close func()
}

// NewStream returns a stream with the id that the server assigned, by which it can
// be resumed. The function next waits for an event; its errors are *AttemptError.
func NewStream(id string, next func() (Event, error), closeStream func()) *Stream {
	return &Stream{id: id, next: next, close: closeStream}
}

// ID returns the id that the server assigned to the stream.
func (stream *Stream) ID() string { return stream.id }

// Next returns the next event. Errors are *AttemptError; a stream that ends without
// an end mark has the cause request.CauseCut.
func (stream *Stream) Next() (Event, error) { return stream.next() }

// Close ends the attempt's connection.
func (stream *Stream) Close() { stream.close() }

// Event is one event of a stream.
type Event struct {
	offset  int
	tokens  []string
	ended   bool
	total   int
	leaving bool
}

// NewEvent returns an event whose tokens begin at the offset.
func NewEvent(offset int, tokens []string) Event { return Event{offset: offset, tokens: tokens} }

// WithEnd returns a copy that is the end mark of a response with total tokens.
func (event Event) WithEnd(total int) Event {
	event.ended = true
	event.total = total
	return event
}

// WithLeaving returns a copy that states whether the server is leaving.
func (event Event) WithLeaving(leaving bool) Event {
	event.leaving = leaving
	return event
}

// Offset returns the number of tokens before those of the event.
func (event Event) Offset() int { return event.offset }

// Tokens returns the event's tokens.
func (event Event) Tokens() []string { return event.tokens }

// Ended returns the total number of tokens and true if the event is the end mark.
func (event Event) Ended() (total int, ended bool) { return event.total, event.ended }

// Leaving reports whether the server announced that it is leaving.
func (event Event) Leaving() bool { return event.leaving }
