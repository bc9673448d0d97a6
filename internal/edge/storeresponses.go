package edge

import (
	"sync/atomic"

	"sapphirehead/internal/clock"
)

// storeResponses holds the time of the store's latest response, by kind of
// object.
type storeResponses struct {
	configuration atomic.Int64
	servers       atomic.Int64
}

// wakeUps holds the wake-up of the watch of each kind of object.
type wakeUps struct {
	configuration wakeUp
	servers       wakeUp
	rollouts      wakeUp
}

func setTime(at *atomic.Int64, now clock.Millis) { at.Store(int64(now)) }

func ageOf(at *atomic.Int64, now clock.Millis) clock.Millis { return now - clock.Millis(at.Load()) }
