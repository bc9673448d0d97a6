package measure

import (
	"container/heap"

	"sapphirehead/internal/clock"
)

// micros is an instant or a duration of virtual time in microseconds, as the
// latency between data centres is not a whole number of milliseconds.
type micros int64

const (
	microsPerMilli micros = 1000
	microsPerSec   micros = 1000 * microsPerMilli
)

func (duration micros) millis() float64 { return float64(duration) / float64(microsPerMilli) }

func microsOf(millis clock.Millis) micros { return micros(millis) * microsPerMilli }

type timelineEvent struct {
	at     micros
	serial int64
	fire   func()
}

type timelineHeap []timelineEvent

// Len returns the number of events.
func (events timelineHeap) Len() int { return len(events) }

// Less orders events by time and then by registration.
func (events timelineHeap) Less(i, j int) bool {
	if events[i].at != events[j].at {
		return events[i].at < events[j].at
	}
	return events[i].serial < events[j].serial
}

// Swap exchanges two events.
func (events timelineHeap) Swap(i, j int) { events[i], events[j] = events[j], events[i] }

// Push adds an event.
func (events *timelineHeap) Push(event any) { *events = append(*events, event.(timelineEvent)) }

// Pop removes the last event.
func (events *timelineHeap) Pop() any {
	last := len(*events) - 1
	event := (*events)[last]
	*events = (*events)[:last]
	return event
}

// timeline is an event queue in virtual time. Events fire in order on one
// goroutine.
type timeline struct {
	now    micros
	serial int64
	events timelineHeap
}

func newTimeline() *timeline { return &timeline{} }

// clock returns the clock for the decisions.
func (timeline *timeline) clock() *clock.Clock {
	now := func() clock.Millis { return clock.Millis(timeline.now / microsPerMilli) }
	after := func(delay clock.Millis, fire func()) func() bool {
		stopped := false
		timeline.after(microsOf(delay), func() {
			if !stopped {
				fire()
			}
		})
		return func() bool {
			stopped = true
			return true
		}
	}
	return clock.New(now, now, after)
}

func (timeline *timeline) after(delay micros, fire func()) {
	timeline.serial++
	heap.Push(&timeline.events, timelineEvent{at: timeline.now + max(delay, 0), serial: timeline.serial, fire: fire})
}

// run fires every event up to the end.
func (timeline *timeline) run(end micros) {
	for len(timeline.events) > 0 && timeline.events[0].at <= end {
		event := heap.Pop(&timeline.events).(timelineEvent)
		timeline.now = event.at
		event.fire()
	}
}
