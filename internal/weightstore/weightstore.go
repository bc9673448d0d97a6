// Package weightstore limits the rate of loads of model weights from the weight
// store, which refuses loads above its limit.
package weightstore

import (
	"fmt"

	"sapphirehead/internal/clock"
)

// LimitError says that the store refused a load because of its limit.
type LimitError struct {
	retryAfter clock.Millis
}

// NewLimitError returns an error with the wait that the store requested.
func NewLimitError(retryAfter clock.Millis) *LimitError { return &LimitError{retryAfter: retryAfter} }

// RetryAfter returns the wait that the store requested.
func (err *LimitError) RetryAfter() clock.Millis { return err.retryAfter }

func (err *LimitError) Error() string {
	return fmt.Sprintf("the weight store refused a load: retry after %d ms", err.retryAfter)
}
