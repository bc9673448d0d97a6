package entry

import (
	mathrand "math/rand/v2"

	"sapphirehead/internal/clock"
)

// retryInterval is the wait after a failed call of a loop.
const retryInterval = 500 * clock.Millisecond

// jittered returns a random time from half the interval to the whole interval.
func jittered(interval clock.Millis) clock.Millis {
	return interval/2 + clock.Millis(mathrand.Int64N(int64(interval/2)+1))
}
