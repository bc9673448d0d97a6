package edge

import (
	"sync/atomic"

	"sapphirehead/internal/clock"
)

// contact is when the store last answered, by what was asked.
type contact struct {
	configuration atomic.Int64
	servers       atomic.Int64
}

// nudges ends watches early, one for each kind of objects that is followed.
type nudges struct {
	configuration nudge
	servers       nudge
}

func note(at *atomic.Int64, now clock.Millis) { at.Store(int64(now)) }

func age(at *atomic.Int64, now clock.Millis) clock.Millis { return now - clock.Millis(at.Load()) }
