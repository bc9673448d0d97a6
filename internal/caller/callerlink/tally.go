package callerlink

import (
	"expvar"
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"

	"sapphirehead/internal/clock"
)

// tallyInterval is the minimum time between two log lines of one kind at one listener.
const tallyInterval = 10 * clock.Second

// Tally counts the traffic that a listener ended, and logs it at a bounded rate. It must be
// made by NewTally.
type Tally struct {
	clock    *clock.Clock
	log      zerolog.Logger
	purpose  string
	counters *expvar.Map
	kinds    sync.Map // Kind to *tallied.
}

// tallied is what was counted of one kind since its last log line.
type tallied struct {
	count    atomic.Int64
	loggedAt atomic.Int64
}

// NewTally returns a tally that adds to the counters and logs the purpose of the listener.
func NewTally(clock *clock.Clock, log zerolog.Logger, purpose string, counters *expvar.Map) *Tally {
	return &Tally{clock: clock, log: log, purpose: purpose, counters: counters}
}

// Record counts one connection or request from the remote address that was ended.
func (tally *Tally) Record(kind Kind, remote string) {
	tally.counters.Add(string(kind), 1)
	found, ok := tally.kinds.Load(kind)
	if !ok {
		found, _ = tally.kinds.LoadOrStore(kind, &tallied{})
	}
	counted := found.(*tallied)
	counted.count.Add(1)
	now, last := int64(tally.clock.Now()), counted.loggedAt.Load()
	if (last != 0 && now-last < int64(tallyInterval)) || !counted.loggedAt.CompareAndSwap(last, now) {
		return
	}
	tally.log.Warn().Str("purpose", tally.purpose).Str("kind", string(kind)).Str("remote", remote).
		Int64("count", counted.count.Swap(0)).Msg("uncontrolled clients: ended to make room")
}
