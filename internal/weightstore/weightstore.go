// Package weightstore holds what the system knows and decides about the weight
// store, whose loads are limited.
package weightstore

import (
	"fmt"

	"sapphirehead/internal/clock"
)

// LimitError says that the store refused a load for now.
type LimitError struct {
	retryAfter clock.Millis
}

// NewLimitError returns an error with the wait that the store asks for.
func NewLimitError(retryAfter clock.Millis) *LimitError { return &LimitError{retryAfter: retryAfter} }

// RetryAfter returns the wait that the store asks for.
func (err *LimitError) RetryAfter() clock.Millis { return err.retryAfter }

func (err *LimitError) Error() string {
	return fmt.Sprintf("the weight store asks to wait %d ms", err.retryAfter)
}
