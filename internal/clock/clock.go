// Package clock provides time in whole milliseconds, the unit of the whole system.
//
// A Clock reads two times. Now is monotonic and keeps counting while the host
// is suspended, so that the first check after a pause sees a deadline that passed
// during it. Wall is the time of day and is used only for values that outlive a
// process, such as the expiry of a claim.
//
// Example: a deadline is a sum, checked again immediately before acting.
//
//	deadline := clock.Now() + 1900*clock.Millisecond
//	if clock.Now() >= deadline { ... }
package clock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Millis is an instant or a duration in milliseconds.
type Millis int64

// Common durations in milliseconds.
const (
	Millisecond Millis = 1
	Second             = 1000 * Millisecond
	Minute             = 60 * Second
	Hour               = 60 * Minute
)

// Duration converts the value to a standard library duration.
func (millis Millis) Duration() time.Duration {
	return time.Duration(millis) * time.Millisecond
}

// FromDuration converts a standard library duration, rounding towards zero.
func FromDuration(duration time.Duration) Millis {
	return Millis(duration / time.Millisecond)
}

// Clock reads time and sets timers through function fields.
type Clock struct {
	now   func() Millis
	wall  func() Millis
	after func(delay Millis, fire func()) (stop func() bool)
}

// New returns a clock over the given functions. The function now is monotonic,
// wall is the time of day, and after calls fire once the delay has passed
// unless the returned stop function is called first.
func New(now, wall func() Millis, after func(Millis, func()) func() bool) *Clock {
	return &Clock{now: now, wall: wall, after: after}
}

// System returns the clock of the operating system.
func System() *Clock {
	return New(bootTime, wallTime, afterFunc)
}

// Runtime returns a clock over the time of the Go runtime, which testing/synctest
// replaces by virtual time. Its Now is the time of day, too, and so not monotonic.
func Runtime() *Clock {
	return New(wallTime, wallTime, afterFunc)
}

// Now returns the monotonic time, which includes suspended time.
func (clock *Clock) Now() Millis {
	return clock.now()
}

// Wall returns the time of day since the Unix epoch.
func (clock *Clock) Wall() Millis {
	return clock.wall()
}

// AfterFunc calls fire after the delay. The returned function stop reports whether it
// prevented the call.
func (clock *Clock) AfterFunc(delay Millis, fire func()) (stop func() bool) {
	return clock.after(delay, fire)
}

// Wait blocks until the delay has passed or the context ends, and returns the
// context's error in the second case.
func (clock *Clock) Wait(ctx context.Context, delay Millis) error {
	done := make(chan struct{})
	stop := clock.after(delay, func() { close(done) })
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		stop()
		return ctx.Err()
	}
}

// WithTimeout returns a context that is cancelled after the delay.
func (clock *Clock) WithTimeout(ctx context.Context, delay Millis) (context.Context, context.CancelFunc) {
	timed, cancel := context.WithCancelCause(ctx)
	stop := clock.after(delay, func() { cancel(context.DeadlineExceeded) })
	return timed, func() {
		stop()
		cancel(context.Canceled)
	}
}

// RuntimeDeadline returns the time after the delay on the clock of the Go
// runtime, for the deadlines of net's connections.
func RuntimeDeadline(delay Millis) time.Time { return time.Now().Add(delay.Duration()) }

// Stopwatch returns a function that returns the time elapsed since this call. Its
// resolution is finer than milliseconds, and it is for measurements only.
func Stopwatch() (elapsed func() time.Duration) {
	start := time.Now()
	return func() time.Duration { return time.Since(start) }
}

func bootTime() Millis {
	var spec unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &spec); err != nil {
		return wallTime()
	}
	return Millis(spec.Nano() / int64(time.Millisecond))
}

func wallTime() Millis {
	return Millis(time.Now().UnixMilli())
}

// afterFunc calls fire in a new goroutine at once if there is no delay: a timer
// with a delay of 0 in a bubble of testing/synctest crashes the race detector's
// runtime.
func afterFunc(delay Millis, fire func()) func() bool {
	if delay <= 0 {
		go fire()
		return func() bool { return false }
	}
	return time.AfterFunc(delay.Duration(), fire).Stop
}
