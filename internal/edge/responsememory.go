package edge

import (
	"io"
	"strconv"
	"sync/atomic"

	"github.com/pkg/errors"
)

const (
	// ownResponseBytes are the bytes that each response may hold without a share in it, so
	// that short responses arrive while others use it up.
	ownResponseBytes = 16 << 10
	// firstResponseBytes is the first size of the buffer for a response.
	firstResponseBytes = 4 << 10
)

// responseMemory counts the bytes that responses hold, at most limit.
type responseMemory struct {
	held  atomic.Int64
	limit func() int64
}

func newResponseMemory(limit func() int64) *responseMemory { return &responseMemory{limit: limit} }

// reserve takes the bytes, or reports that there are too few.
func (responseMemory *responseMemory) reserve(bytes int64) bool {
	if responseMemory.held.Add(bytes) <= responseMemory.limit() {
		return true
	}
	responseMemory.release(bytes)
	return false
}

func (responseMemory *responseMemory) release(bytes int64) { responseMemory.held.Add(-bytes) }

// responseHold is what one response holds of a responseMemory. It must be used by one
// goroutine.
type responseHold struct {
	memory   *responseMemory
	reserved int64
}

// newResponseHold returns the hold of a response that has nothing yet.
func newResponseHold(memory *responseMemory) *responseHold { return &responseHold{memory: memory} }

// grow makes the hold one of so many bytes, or returns a *responseMemoryError.
func (responseHold *responseHold) grow(bytes int) error {
	more := int64(bytes) - ownResponseBytes - responseHold.reserved
	if more > 0 {
		if !responseHold.memory.reserve(more) {
			return &responseMemoryError{bytes: bytes}
		}
		responseHold.reserved += more
	}
	return nil
}

// release gives everything back.
func (responseHold *responseHold) release() {
	responseHold.memory.release(responseHold.reserved)
	responseHold.reserved = 0
}

// readAll reads at most limit bytes. Errors: *responseMemoryError, and those of the reader.
func (responseHold *responseHold) readAll(reader io.Reader, limit int) ([]byte, error) {
	var body []byte
	for len(body) < limit {
		if len(body) == cap(body) {
			size := min(limit, max(firstResponseBytes, 2*cap(body)))
			if err := responseHold.grow(size); err != nil {
				return body, err
			}
			body = append(make([]byte, 0, size), body...)
		}
		count, err := reader.Read(body[len(body):cap(body)])
		body = body[:len(body)+count]
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return body, err
		}
	}
	return body, nil
}

// responseMemoryError reports that the node has no memory for the rest of a response.
type responseMemoryError struct{ bytes int }

// Bytes returns the size of the buffer that there is no memory for.
func (err *responseMemoryError) Bytes() int { return err.bytes }

func (err *responseMemoryError) Error() string {
	return "no memory for a response of " + strconv.Itoa(err.bytes) + " bytes"
}
