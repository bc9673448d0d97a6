package edge

import (
	"sync/atomic"

	"sapphirehead/internal/clock"
)

// storeResponses is when the store last responded, by kind of object.
type storeResponses struct {
	configuration atomic.Int64
	servers       atomic.Int64
}

// wakeUps end watches early, one for each kind of object that is watched.
type wakeUps struct {
	configuration wakeUp
	servers       wakeUp
}

func setTime(at *atomic.Int64, now clock.Millis) { at.Store(int64(now)) }

func ageOf(at *atomic.Int64, now clock.Millis) clock.Millis { return now - clock.Millis(at.Load()) }
