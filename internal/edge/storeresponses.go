package edge

import (
	"sync/atomic"

	"sapphirehead/internal/clock"
)

// storeResponses is when the store last answered, by what was asked.
type storeResponses struct {
	configuration atomic.Int64
	servers       atomic.Int64
}

// wakeUps ends watches early, one for each kind of objects that is followed.
type wakeUps struct {
	configuration wakeUp
	servers       wakeUp
}

func setTime(at *atomic.Int64, now clock.Millis) { at.Store(int64(now)) }

func ageOf(at *atomic.Int64, now clock.Millis) clock.Millis { return now - clock.Millis(at.Load()) }
