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
	// settingsInterval is the time between two reads of the settings file.
	settingsInterval = 1 * clock.Second
)

// stop ends the service of callers without cutting off a response. Readiness
// goes off; requests are still served, on connections that close after their
// response; stop returns once the load balancer has stopped sending connections
// and none is open, or when the grace period is over.
func (edge *Edge) stop(kill context.Context, callers *callerServer) {
	start := edge.clock.Now()
	end := start + edge.settings.Load().Bounds().Grace() - stopMargin
	edge.shutdownPolicy.Store(caller.NewShutdownPolicy(start, end))
	edge.stopping.Store(true)
	edge.log.Info().Int64("inFlight", edge.inFlight.Load()).Int64("graceMillis", int64(end-start)).Msg("stopping")
	for edge.clock.Wait(kill, stopPollInterval) == nil {
		now := edge.clock.Now()
		quiet := callers.open.Load() == 0 && edge.inFlight.Load() == 0
		if now >= end || (quiet && now >= start+balancerDelay) {
			break
		}
	}
	edge.log.Info().Int64("connections", callers.open.Load()).Int64("inFlight", edge.inFlight.Load()).
		Int64("stoppingMillis", int64(edge.clock.Now()-start)).Msg("ending")
	if remaining := edge.inFlight.Load(); remaining > 0 {
		edge.log.Warn().Int64("inFlight", remaining).Msg("grace period is over; cutting off requests in progress")
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
		edge.log.Info().Str("platform", loaded.Platform().Address()).Msg("new settings are active")
	} else if requested {
		edge.log.Info().Msg("settings reloaded without changes")
	}
}
