// Package platform is the object API of the platform as the system uses it:
// versioned objects, conditional writes and watches.
//
// A conditional write has three results: it was committed, it was refused because
// the version had changed (ConflictError), or its outcome is unknown because the
// response was lost (UnavailableError with OutcomeUnknown set). The third must
// not be treated as a failure, as the write may have taken effect: callers read
// the object back before they act.
package platform

import (
	"context"
	"fmt"
)

// Kinds of objects that the system keeps.
const (
	KindTables = "tables"
	KindClaims = "claims"
	KindLeases = "leases"
	KindDrains = "drains"
	// KindHistory objects are pages of the history of edits.
	KindHistory = "history"
)

// TablesName is the name of the one object that holds both tables.
const TablesName = "current"

// VersionNone is the condition that an object must not exist yet, in any era.
const VersionNone int64 = 0

// Object is one stored object at one version.
type Object struct {
	version int64
	body    []byte
}

// NewObject returns an object with the body at the version.
func NewObject(version int64, body []byte) Object { return Object{version: version, body: body} }

// Version returns the version, which increases with each write of the object.
func (object Object) Version() int64 { return object.version }

// Body returns the stored bytes.
func (object Object) Body() []byte { return object.body }

// Store provides the object API through function fields.
type Store struct {
	get   func(ctx context.Context, kind, name string) (Object, error)
	put   func(ctx context.Context, kind, name string, body []byte, condition int64) (int64, error)
	watch func(ctx context.Context, kind, name string, after int64) (Object, error)
}

// NewStore returns a store over the given functions, which must work as described
// at Get, Put and Watch.
func NewStore(
	get func(ctx context.Context, kind, name string) (Object, error),
	put func(ctx context.Context, kind, name string, body []byte, condition int64) (int64, error),
	watch func(ctx context.Context, kind, name string, after int64) (Object, error),
) *Store {
	return &Store{get: get, put: put, watch: watch}
}

// Get reads an object. Errors: *NotFoundError, *UnavailableError.
func (store *Store) Get(ctx context.Context, kind, name string) (Object, error) {
	return store.get(ctx, kind, name)
}

// Put writes an object if its version equals the condition, and returns the new
// version. Errors: *ConflictError, *UnavailableError.
func (store *Store) Put(ctx context.Context, kind, name string, body []byte, condition int64) (int64, error) {
	return store.put(ctx, kind, name, body, condition)
}

// Watch waits until the object's version differs from after and returns the
// object. It may return the unchanged object when the platform ends the wait.
func (store *Store) Watch(ctx context.Context, kind, name string, after int64) (Object, error) {
	return store.watch(ctx, kind, name, after)
}

// NotFoundError says that an object does not exist.
type NotFoundError struct {
	kind string
	name string
	era  int64
}

// NewNotFoundError returns an error for the object.
func NewNotFoundError(kind, name string) *NotFoundError {
	return &NotFoundError{kind: kind, name: name}
}

// InEra returns a copy for a store that is in the era.
func (err *NotFoundError) InEra(era int64) *NotFoundError {
	return &NotFoundError{kind: err.kind, name: err.name, era: era}
}

// Version returns the condition under which the object can be created.
func (err *NotFoundError) Version() int64 { return NewVersion(err.era, VersionNone) }

func (err *NotFoundError) Error() string {
	return fmt.Sprintf("object %s/%s does not exist", err.kind, err.name)
}

// ConflictError says that a conditional write was refused.
type ConflictError struct {
	kind      string
	name      string
	condition int64
}

// NewConflictError returns an error for the write under the condition.
func NewConflictError(kind, name string, condition int64) *ConflictError {
	return &ConflictError{kind: kind, name: name, condition: condition}
}

func (err *ConflictError) Error() string {
	return fmt.Sprintf("object %s/%s is no longer at version %d", err.kind, err.name, err.condition)
}

// UnavailableError says that the platform returned no usable response.
type UnavailableError struct {
	outcomeUnknown bool
	cause          error
}

// NewUnavailableError returns an error with its cause. The flag outcomeUnknown is
// set if a write may have taken effect.
func NewUnavailableError(outcomeUnknown bool, cause error) *UnavailableError {
	return &UnavailableError{outcomeUnknown: outcomeUnknown, cause: cause}
}

// OutcomeUnknown reports whether a write may have taken effect.
func (err *UnavailableError) OutcomeUnknown() bool { return err.outcomeUnknown }

// Unwrap returns the cause.
func (err *UnavailableError) Unwrap() error { return err.cause }

func (err *UnavailableError) Error() string {
	if err.outcomeUnknown {
		return fmt.Sprintf("platform gave no answer, the write may have taken effect: %v", err.cause)
	}
	return fmt.Sprintf("platform is unavailable: %v", err.cause)
}
