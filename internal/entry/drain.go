package entry

import (
	"context"
	"net/http"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/request"
)

const (
	// handOverReserve is the part of the grace that is reserved for handing
	// over streams, at most half of the grace.
	handOverReserve = 2 * clock.Second
	// drainPollInterval is the time between two checks for work in progress.
	drainPollInterval = 20 * clock.Millisecond
	// finalWriteTimeout bounds the last writes to callers after the grace.
	finalWriteTimeout = 500 * clock.Millisecond
)

// waitForStop waits until the node has to stop, and returns the notice of a
// reclaim of its host, or 0 if there is none.
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

// recordReclaim makes the node stop within the notice of its own host's
// reclaim.
func (entry *Entry) recordReclaim(notice clock.Millis) {
	select {
	case entry.reclaimed <- max(notice, 1):
	default:
	}
}

// drain stops serving callers gracefully, in these steps:
//
//	readiness off    the load balancer notices; requests are still admitted
//	admission closed later requests are refused as not run
//	grace            requests in progress finish at this node
//	handover         remaining streams move to peers; their callers reconnect there
//	end of the grace unfinished calls with side effects end as outcomeUnknown
//
// On a reclaim all steps are shortened to fit into the notice.
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

// closeWhileStopping closes each connection after its next response while the
// node stops. Closing idle connections at once would lose a request that the
// caller has already sent.
func closeWhileStopping(isStopping func() bool, next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, call *http.Request) {
		if isStopping() {
			writer.Header().Set("Connection", "close")
		}
		next.ServeHTTP(writer, call)
	})
}

// stopTimes returns the time for the load balancer to notice the stop and the
// grace for requests in progress. Without notice of a reclaim they are as
// configured; otherwise a quarter of the notice remains for the process to end.
func stopTimes(readyOff, grace, notice clock.Millis) (notReady, remaining clock.Millis) {
	if notice == 0 {
		return readyOff, grace
	}
	notReady = min(readyOff, notice/8)
	return notReady, min(grace, notice*3/4-notReady)
}

// awaitIdle waits until no request is in progress, and reports whether that
// happened within the limit.
func (entry *Entry) awaitIdle(kill context.Context, limit clock.Millis) bool {
	until := entry.clock.Now() + limit
	for entry.admission.InFlight() > 0 || entry.responses.active.Load() > 0 {
		if entry.clock.Now() >= until || entry.clock.Wait(kill, drainPollInterval) != nil {
			return false
		}
	}
	return true
}
