package runner

import "sapphirehead/internal/request"

// AttemptError says why an attempt could not go on.
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
	return "attempt broke off (" + err.cause.String() + "): " + err.inner.Error()
}

// Stream is the open answer of one attempt at a model runner.
type Stream struct {
	id    string
	next  func() (Event, error)
	close func()
}

// NewStream returns a stream with the server's id, by which it can be resumed.
// The function next waits for an event; its errors are *BrokenError.
func NewStream(id string, next func() (Event, error), closeStream func()) *Stream {
	return &Stream{id: id, next: next, close: closeStream}
}

// ID returns the server's id of the stream.
func (stream *Stream) ID() string { return stream.id }

// Next returns the next event. Errors are *BrokenError; a stream that ends
// without its end mark is one that was cut.
func (stream *Stream) Next() (Event, error) { return stream.next() }

// Close ends the attempt's connection.
func (stream *Stream) Close() { stream.close() }

// Event is one message of a stream.
type Event struct {
	offset  int
	tokens  []string
	ended   bool
	total   int
	leaving bool
}

// NewEvent returns an event whose tokens begin at the offset.
func NewEvent(offset int, tokens []string) Event { return Event{offset: offset, tokens: tokens} }

// WithEnd returns a copy that is the end mark of an answer with total tokens.
func (event Event) WithEnd(total int) Event {
	event.ended = true
	event.total = total
	return event
}

// WithLeaving returns a copy that says whether the server is leaving.
func (event Event) WithLeaving(leaving bool) Event {
	event.leaving = leaving
	return event
}

// Offset returns the number of tokens before the event's.
func (event Event) Offset() int { return event.offset }

// Tokens returns the event's tokens.
func (event Event) Tokens() []string { return event.tokens }

// Ended returns the total number of tokens, and true on the end mark.
func (event Event) Ended() (total int, ended bool) { return event.total, event.ended }

// Leaving reports whether the server says that it is leaving.
func (event Event) Leaving() bool { return event.leaving }
