package request

import (
	"fmt"

	"sapphirehead/internal/clock"
)

// NotRunError reports that the request was not run: no byte of it can have
// reached a backend server, or the server itself reported that it did not run it.
type NotRunError struct {
	reason     string
	retryAfter clock.Millis
	overLimit  bool
}

// NewNotRunError returns an error for a lack of capacity.
func NewNotRunError(reason string, retryAfter clock.Millis) *NotRunError {
	return &NotRunError{reason: reason, retryAfter: retryAfter}
}

// NewOverLimitError returns an error for a client account over its limit.
func NewOverLimitError(reason string, retryAfter clock.Millis) *NotRunError {
	return &NotRunError{reason: reason, retryAfter: retryAfter, overLimit: true}
}

// Reason returns why the request was refused.
func (err *NotRunError) Reason() string { return err.reason }

// RetryAfter returns the time after which a repeat may be accepted.
func (err *NotRunError) RetryAfter() clock.Millis { return err.retryAfter }

// OverLimit reports whether the client account's own limit was the reason.
func (err *NotRunError) OverLimit() bool { return err.overLimit }

func (err *NotRunError) Error() string { return "request was not run: " + err.reason }

// OutcomeUnknownError reports that the request may have run and must not be sent
// again under another key.
type OutcomeUnknownError struct {
	id     string
	reason string
}

// NewOutcomeUnknownError returns an error for the request.
func NewOutcomeUnknownError(id, reason string) *OutcomeUnknownError {
	return &OutcomeUnknownError{id: id, reason: reason}
}

// ID returns the id of the request.
func (err *OutcomeUnknownError) ID() string { return err.id }

func (err *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("outcome of request %s is unknown: %s", err.id, err.reason)
}

// IncompleteError reports that an idempotent request got no complete response in
// time. It may be repeated.
type IncompleteError struct {
	id     string
	reason string
}

// NewIncompleteError returns an error for the request.
func NewIncompleteError(id, reason string) *IncompleteError {
	return &IncompleteError{id: id, reason: reason}
}

// ID returns the id of the request.
func (err *IncompleteError) ID() string { return err.id }

func (err *IncompleteError) Error() string {
	return fmt.Sprintf("request %s got no whole answer: %s", err.id, err.reason)
}

// KeyProblem is the reason why an idempotency key is not accepted.
type KeyProblem int

// The problems of a key.
const (
	// KeyExpired means that the key is older than the retention window of claims.
	KeyExpired KeyProblem = iota + 1
	// KeyAhead means that the key's creation time lies in the future.
	KeyAhead
	// KeyReused means that the key was used for a different call.
	KeyReused
)

// KeyError reports that the request was refused because of its idempotency key.
// It was not run; an earlier request with the key may have been.
type KeyError struct {
	problem KeyProblem
	reason  string
}

// NewKeyError returns an error for the problem.
func NewKeyError(problem KeyProblem, reason string) *KeyError {
	return &KeyError{problem: problem, reason: reason}
}

// Problem returns the reason why the key is not accepted.
func (err *KeyError) Problem() KeyProblem { return err.problem }

func (err *KeyError) Error() string { return err.reason }

// MovedError reports that another entry host continues the response. The caller
// gets the rest there by the request's id.
type MovedError struct {
	id string
}

// NewMovedError returns an error for the request.
func NewMovedError(id string) *MovedError { return &MovedError{id: id} }

// ID returns the id of the request.
func (err *MovedError) ID() string { return err.id }

func (err *MovedError) Error() string {
	return fmt.Sprintf("request %s goes on at another entry host", err.id)
}

// UnattendedError reports that a generation was stopped because its caller
// disconnected and did not reconnect in time.
type UnattendedError struct {
	id string
}

// NewUnattendedError returns an error for the request.
func NewUnattendedError(id string) *UnattendedError { return &UnattendedError{id: id} }

// ID returns the id of the request.
func (err *UnattendedError) ID() string { return err.id }

func (err *UnattendedError) Error() string {
	return fmt.Sprintf("the caller of request %s left and did not return in time", err.id)
}

// StreamNotFoundError reports that the client account has no known response with
// the id.
type StreamNotFoundError struct {
	id string
}

// NewStreamNotFoundError returns an error for the id that a caller gave.
func NewStreamNotFoundError(id string) *StreamNotFoundError { return &StreamNotFoundError{id: id} }

// ID returns the id of the request.
func (err *StreamNotFoundError) ID() string { return err.id }

func (err *StreamNotFoundError) Error() string {
	return fmt.Sprintf("no answer to request %s is known for this client account", err.id)
}
