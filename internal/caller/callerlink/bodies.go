package callerlink

import (
	"context"
	"io"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"sapphirehead/internal/clock"
)

const (
	// ownBodyBytes are the bytes that each body may hold even if the memory is used up, so
	// that short bodies arrive while others hold it.
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
)

// BodyMemory counts the bytes that bodies hold, and those that are being read. It must be
// made by NewBodyMemory.
type BodyMemory struct {
	clock   *clock.Clock
	limit   func() int64
	rate    func() int64
	report  func(kind Kind, remote string)
	held    atomic.Int64
	reading sync.Map // *BodyHold to nothing.
	waiters atomic.Int64
	// searching is set while one goroutine looks for bodies that yield.
	searching atomic.Bool
}

// NewBodyMemory returns the memory for bodies, of at most limit bytes. While others need it,
// each caller must send rate bytes per second. It calls report for each body that yields.
func NewBodyMemory(clock *clock.Clock, limit, rate func() int64, report func(kind Kind, remote string)) *BodyMemory {
	return &BodyMemory{clock: clock, limit: limit, rate: rate, report: report}
}

// Held returns the bytes that bodies hold.
func (bodyMemory *BodyMemory) Held() int64 { return bodyMemory.held.Load() }

// The states of a body.
const (
	bodyReading int32 = iota
	bodyComplete
	bodyYielded
)

// BodyHold is what one body holds of a BodyMemory. It must be made by Begin.
type BodyHold struct {
	memory     *BodyMemory
	remote     string
	reserved   atomic.Int64
	state      atomic.Int32
	begun      atomic.Int64
	received   atomic.Int64
	progressAt atomic.Int64
	waiting    atomic.Bool
	// expire ends the reading of the body.
	expire func()
}

// Begin adds a body that is being read. It calls expire to end the reading.
func (bodyMemory *BodyMemory) Begin(remote string, expire func()) *BodyHold {
	bodyHold := &BodyHold{memory: bodyMemory, remote: remote, expire: expire}
	bodyHold.begun.Store(int64(bodyMemory.clock.Now()))
	bodyHold.progressAt.Store(bodyHold.begun.Load())
	bodyMemory.reading.Store(bodyHold, nil)
	return bodyHold
}

// End reports whether the body was received without having yielded.
func (bodyHold *BodyHold) End() bool {
	bodyHold.memory.reading.Delete(bodyHold)
	return bodyHold.state.CompareAndSwap(bodyReading, bodyComplete)
}

// Release gives the memory back.
func (bodyHold *BodyHold) Release() {
	bodyHold.memory.held.Add(-bodyHold.reserved.Swap(0))
}

// grow makes the hold one of so many bytes. If there is no memory, slow bodies yield
// theirs, for which it waits. Errors: *BodyMemoryError.
func (bodyHold *BodyHold) grow(bytes int) error {
	more := int64(bytes) - bodyHold.reserved.Load()
	if bodyHold.take(more) {
		return nil
	}
	memory, start := bodyHold.memory, bodyHold.memory.clock.Now()
	bodyHold.waiting.Store(true)
	defer func() {
		// The caller can't show progress while its body waits.
		now := memory.clock.Now()
		bodyHold.begun.Add(int64(now - start))
		bodyHold.progressAt.Store(int64(now))
		bodyHold.waiting.Store(false)
	}()
	defer memory.waiters.Add(-1)
	if memory.waiters.Add(1) > maxBodyWaiters {
		return &BodyMemoryError{bytes: bytes}
	}
	for until := start + bodyWait; memory.clock.Now() < until && bodyHold.state.Load() == bodyReading; {
		memory.makeRoom(more)
		// A background context: the wait is short, and a caller that leaves ends its read.
		if memory.clock.Wait(context.Background(), bodyPoll) != nil {
			break
		}
		if bodyHold.take(more) {
			return nil
		}
	}
	return &BodyMemoryError{bytes: bytes}
}

// take reserves more bytes if there is memory for them, or if the body is a short one.
func (bodyHold *BodyHold) take(more int64) bool {
	if bodyHold.memory.held.Add(more) > bodyHold.memory.limit() && bodyHold.reserved.Load()+more > ownBodyBytes {
		bodyHold.memory.held.Add(-more)
		return false
	}
	bodyHold.reserved.Add(more)
	return true
}

// isSlow reports whether the caller sends less than it must while others need its memory.
func (bodyHold *BodyHold) isSlow(now clock.Millis, rate int64) bool {
	taken := now - clock.Millis(bodyHold.begun.Load())
	if taken < bodyStallTime || bodyHold.waiting.Load() {
		return false
	}
	return now-clock.Millis(bodyHold.progressAt.Load()) >= bodyStallTime || bodyHold.received.Load() < rate*int64(taken)/int64(clock.Second)
}

// makeRoom makes slow bodies yield until the bytes and yieldShare of the memory are freed.
// One goroutine at a time does so.
func (bodyMemory *BodyMemory) makeRoom(bytes int64) {
	if !bodyMemory.searching.CompareAndSwap(false, true) {
		return
	}
	defer bodyMemory.searching.Store(false)
	now, rate := bodyMemory.clock.Now(), bodyMemory.rate()
	wanted := max(bytes, int64(yieldShare*float64(bodyMemory.limit())))
	bodyMemory.reading.Range(func(key, _ any) bool {
		bodyHold := key.(*BodyHold)
		if bodyHold.isSlow(now, rate) && bodyHold.state.CompareAndSwap(bodyReading, bodyYielded) {
			wanted -= bodyHold.reserved.Load()
			bodyHold.expire()
			bodyMemory.report(KindSlowBody, bodyHold.remote)
		}
		return wanted > 0
	})
}

// ReadAll reads a body of the announced length, or of unknown length if that is negative.
// Its buffer grows as bytes arrive. Errors: *BodyMemoryError, *http.MaxBytesError, and those
// of the connection.
func (bodyHold *BodyHold) ReadAll(reader io.Reader, announced int) ([]byte, error) {
	size, most := minBodyBuffer, announced
	if announced >= 0 {
		size = min(announced, firstBodyBytes)
	}
	if err := bodyHold.grow(size); err != nil {
		return nil, err
	}
	body := newBodyBuffer(size)
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
				reuseBodyBuffer(body)
				return nil, err
			}
			full := body
			body = append(newBodyBuffer(grown), full...)
			reuseBodyBuffer(full)
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
			reuseBodyBuffer(body)
			return nil, err
		}
	}
}

// bodyBuffers holds the buffers of bodies that grew or failed, by their size. A crowd of
// unfinished bodies would otherwise leave more garbage than the collector frees in time:
// 66 MB of 64 were measured with 4,608 chunked bodies.
var bodyBuffers sync.Map // Size in bytes to *sync.Pool.

// isReused reports whether buffers of the size are kept: those that bodies grow to.
func isReused(size int) bool { return size >= minBodyBuffer && size&(size-1) == 0 }

func newBodyBuffer(size int) []byte {
	if pool, ok := bodyBuffers.Load(size); ok {
		if buffer, ok := pool.(*sync.Pool).Get().(*[]byte); ok {
			return (*buffer)[:0]
		}
	}
	return make([]byte, 0, size)
}

// reuseBodyBuffer keeps a buffer that nothing refers to.
func reuseBodyBuffer(buffer []byte) {
	if !isReused(cap(buffer)) {
		return
	}
	pool, ok := bodyBuffers.Load(cap(buffer))
	if !ok {
		pool, _ = bodyBuffers.LoadOrStore(cap(buffer), &sync.Pool{})
	}
	pool.(*sync.Pool).Put(&buffer)
}

// BodyMemoryError reports that the node has no memory for a body.
type BodyMemoryError struct{ bytes int }

func (err *BodyMemoryError) Error() string {
	return "no memory for a body of " + strconv.Itoa(err.bytes) + " bytes"
}
