package clock

import (
	"sort"
	"sync"
)

// Manual is a virtual clock that moves only when Advance is called. Tests and the
// measurements of policies use it. Timers fire in order of time on the goroutine
// that advances the clock.
type Manual struct {
	mutex  sync.Mutex
	now    Millis
	serial int64
	timers []*manualTimer
}

type manualTimer struct {
	due    Millis
	serial int64
	fire   func()
}

// NewManual returns a manual clock that is set to start.
func NewManual(start Millis) *Manual {
	return &Manual{now: start}
}

// Clock returns the clock that reads this manual time, both as monotonic time
// and as time of day.
func (manual *Manual) Clock() *Clock {
	return New(manual.Now, manual.Now, manual.AfterFunc)
}

// Now returns the current manual time.
func (manual *Manual) Now() Millis {
	manual.mutex.Lock()
	defer manual.mutex.Unlock()
	return manual.now
}

// AfterFunc registers a timer that fires once the time has advanced by the delay.
func (manual *Manual) AfterFunc(delay Millis, fire func()) func() bool {
	manual.mutex.Lock()
	defer manual.mutex.Unlock()
	manual.serial++
	timer := &manualTimer{due: manual.now + max(delay, 0), serial: manual.serial, fire: fire}
	manual.timers = append(manual.timers, timer)
	return func() bool { return manual.remove(timer) }
}

// Advance moves the time forward and fires the timers that become due.
func (manual *Manual) Advance(delta Millis) {
	target := manual.Now() + delta
	for {
		timer := manual.popDue(target)
		if timer == nil {
			return
		}
		timer.fire()
	}
}

// Next returns the time of the earliest timer, and false if there is none.
func (manual *Manual) Next() (Millis, bool) {
	manual.mutex.Lock()
	defer manual.mutex.Unlock()
	manual.sort()
	if len(manual.timers) == 0 {
		return 0, false
	}
	return manual.timers[0].due, true
}

func (manual *Manual) popDue(target Millis) *manualTimer {
	manual.mutex.Lock()
	defer manual.mutex.Unlock()
	manual.sort()
	if len(manual.timers) == 0 || manual.timers[0].due > target {
		manual.now = max(manual.now, target)
		return nil
	}
	timer := manual.timers[0]
	manual.timers = manual.timers[1:]
	manual.now = max(manual.now, timer.due)
	return timer
}

func (manual *Manual) sort() {
	sort.Slice(manual.timers, func(i, j int) bool {
		if manual.timers[i].due != manual.timers[j].due {
			return manual.timers[i].due < manual.timers[j].due
		}
		return manual.timers[i].serial < manual.timers[j].serial
	})
}

func (manual *Manual) remove(timer *manualTimer) bool {
	manual.mutex.Lock()
	defer manual.mutex.Unlock()
	for i, candidate := range manual.timers {
		if candidate == timer {
			manual.timers = append(manual.timers[:i], manual.timers[i+1:]...)
			return true
		}
	}
	return false
}
