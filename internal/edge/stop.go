package edge

import (
	"context"

	"sapphirehead/internal/caller"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/settings"
)

const (
	// stopPollInterval is the time between two checks for requests in progress.
	stopPollInterval = 50 * clock.Millisecond
	// stopMargin is the part of the grace period that is reserved for the end of
	// the process.
	stopMargin = 700 * clock.Millisecond
	// balancerDelay is the time for which the load balancer may send new
	// connections after readiness went off: two probes a second apart, and a third
	// one as a margin.
	balancerDelay = 3 * clock.Second
	// finalWriteTimeout bounds the last writes to callers.
	finalWriteTimeout = 100 * clock.Millisecond
	// settingsInterval is the time between two reads of the settings file.
	settingsInterval = 1 * clock.Second
)

// stop ends the service of callers, and cuts off no response that can be complete before
// the grace period is over:
//
//  1. Readiness goes off. Requests are still served, each connection closes after its
//     response, and ShutdownPolicy refuses a request that may outlast the grace period.
//  2. Once the load balancer sends no more connections and none is open, or when the
//     grace period is over, the listener closes. Only its closing ends the arrivals:
//     that no connection is open says nothing about the next moment.
//  3. The connections that were accepted until then are served like the others.
//
// A request that arrives after the grace period is refused as not run; endCallers closes
// its connection.
func (edge *Edge) stop(kill context.Context, callers *callerServer) {
	start := edge.clock.Now()
	end := start + edge.settings.Load().Bounds().Grace() - stopMargin
	edge.shutdownPolicy.Store(caller.NewShutdownPolicy(start, end))
	edge.stopping.Store(true)
	edge.log.Info().Int64("inFlight", edge.inFlight.Load()).Int64("graceMillis", int64(end-start)).Msg("stopping")
	edge.awaitNoCallers(kill, callers, start+balancerDelay, end)
	edge.log.Info().Int64("connections", callers.guard.Open()).Int64("inFlight", edge.inFlight.Load()).
		Int64("stoppingMillis", int64(edge.clock.Now()-start)).Msg("ending")
	if err := callers.closeListener(); err != nil {
		edge.log.Warn().Err(err).Msg("cannot accept the connections that wait at the closing listener")
	}
	edge.awaitNoCallers(kill, callers, start, end)
	if remaining := edge.inFlight.Load(); remaining > 0 {
		edge.log.Warn().Int64("inFlight", remaining).Msg("grace period is over; cutting off requests in progress")
	}
}

// awaitNoCallers waits until no connection is open and no request is in progress, but not
// less than until earliest nor longer than until end.
func (edge *Edge) awaitNoCallers(kill context.Context, callers *callerServer, earliest, end clock.Millis) {
	for {
		now := edge.clock.Now()
		quiet := callers.guard.Open() == 0 && edge.inFlight.Load() == 0
		if now >= end || (quiet && now >= earliest) || edge.clock.Wait(kill, stopPollInterval) != nil {
			return
		}
	}
}

// endCallers closes the connections that are still open. A refusal that is being written
// gets finalWriteTimeout.
func (edge *Edge) endCallers(kill context.Context, callers *callerServer) {
	ctx, cancel := edge.clock.WithTimeout(kill, finalWriteTimeout)
	defer cancel()
	if err := callers.server.Shutdown(ctx); err != nil {
		edge.log.Warn().Err(err).Int64("inFlight", edge.inFlight.Load()).Msg("closing connections with requests in progress")
		callers.server.Close()
	}
}

// followSettings activates new settings on a reload request or when the file
// changes.
func (edge *Edge) followSettings(ctx context.Context, reload <-chan struct{}, load func() (*settings.Edge, error)) {
	for {
		wake := make(chan struct{})
		stop := edge.clock.AfterFunc(settingsInterval, func() { close(wake) })
		requested := false
		select {
		case <-ctx.Done():
			stop()
			return
		case <-reload:
			stop()
			requested = true
		case <-wake:
		}
		edge.reload(load, requested)
	}
}

func (edge *Edge) reload(load func() (*settings.Edge, error), requested bool) {
	loaded, err := load()
	if err != nil {
		edge.log.Error().Err(err).Msg("settings refused; keeping the active ones")
		return
	}
	if current := edge.settings.Load(); *current != *loaded {
		edge.settings.Store(loaded)
		edge.rollouts.tracker.SetExposureShare(loaded.Bounds().ExposureShare(), edge.clock.Now())
		edge.updateLongPrompts()
		edge.log.Info().Str("platform", loaded.Platform().Address()).Msg("new settings are active")
	} else if requested {
		edge.log.Info().Msg("settings reloaded without changes")
	}
}
