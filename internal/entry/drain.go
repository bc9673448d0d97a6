package entry

import (
	"context"
	"net/http"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/request"
)

const (
	// handOverReserve is kept at the end of the grace to hand streams over, but
	// never more than half of the grace.
	handOverReserve = 2 * clock.Second
	// drainPollInterval is the time between two looks at what is in progress.
	drainPollInterval = 20 * clock.Millisecond
	// finalWriteTimeout is how long connections get their last bytes after the
	// grace.
	finalWriteTimeout = 500 * clock.Millisecond
)

// waitForStop waits until the node has to stop, and returns how long its host
// lasts, or 0 if that is not limited.
func (entry *Entry) waitForStop(stop, loops context.Context) clock.Millis {
	select {
	case <-stop.Done():
	case <-entry.stopRequested.Done():
	case <-loops.Done():
	case notice := <-entry.reclaimed:
		return notice
	}
	return 0
}

func newReclaimed() chan clock.Millis { return make(chan clock.Millis, 1) }

// recordReclaim hears that this node's own host is taken back.
func (entry *Entry) recordReclaim(notice clock.Millis) {
	select {
	case entry.reclaimed <- max(notice, 1):
	default:
	}
}

// drain ends the service of callers without cutting an answer:
//
//	readiness off    the balancer notices; requests are still taken
//	admission closed later requests are refused as not run
//	grace            what fits ends here
//	hand-over        the rest goes to fellow nodes; callers return there
//	end of the grace calls with side effects get outcomeUnknown
//
// On a reclaim all of it has to fit into the notice.
func (entry *Entry) drain(kill context.Context, callers *http.Server, notice clock.Millis) {
	readyOff, grace := stopTimes(entry.settings.ReadyOff(), entry.settings.Grace(), notice)
	entry.log.Info().Int64("inFlight", entry.admission.InFlight()).Int64("graceMillis", int64(grace)).Msg("stopping: no longer ready")
	entry.stopping.Store(true)
	entry.gossip.TriggerPush()
	entry.clock.Wait(kill, readyOff)
	entry.admission.Close()
	reserve := min(handOverReserve, grace/2)
	if !entry.awaitIdle(kill, grace-reserve) && kill.Err() == nil {
		ctx, cancel := entry.clock.WithTimeout(kill, reserve)
		entry.handOver(ctx)
		cancel()
		entry.awaitIdle(kill, reserve)
	}
	entry.responses.cancel(request.NewMovedError(""))
	ctx, cancel := entry.clock.WithTimeout(kill, finalWriteTimeout)
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		entry.log.Error().Err(err).Int64("inFlight", entry.admission.InFlight()).Msg("stopping: requests in progress were cut")
		callers.Close()
	}
}

// closeWhileStopping lets connections end with their next answer while the node
// stops. Closing idle connections at once would cut a request that is on its
// way.
func closeWhileStopping(isStopping func() bool, next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, call *http.Request) {
		if isStopping() {
			writer.Header().Set("Connection", "close")
		}
		next.ServeHTTP(writer, call)
	})
}

// stopTimes returns the times for the balancer and for requests in progress.
// Without notice of a reclaim they are as set; otherwise a quarter of the
// notice is left over for the end of the process.
func stopTimes(readyOff, grace, notice clock.Millis) (off, left clock.Millis) {
	if notice == 0 {
		return readyOff, grace
	}
	off = min(readyOff, notice/8)
	return off, min(grace, notice*3/4-off)
}

// awaitIdle waits until nothing is in progress, and reports whether that came
// in time.
func (entry *Entry) awaitIdle(kill context.Context, limit clock.Millis) bool {
	until := entry.clock.Now() + limit
	for entry.admission.InFlight() > 0 || entry.responses.active.Load() > 0 {
		if entry.clock.Now() >= until || entry.clock.Wait(kill, drainPollInterval) != nil {
			return false
		}
	}
	return true
}
