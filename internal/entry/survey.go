package entry

import (
	"context"
	"slices"
	"sync"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/logging"
	"sapphirehead/internal/pool"
	"sapphirehead/internal/runner"
)

const (
	// surveyTimeout bounds the requests for the runners' states.
	surveyTimeout = 500 * clock.Millisecond
	// surveyPollInterval is the time between two checks whether the survey can begin.
	surveyPollInterval = 20 * clock.Millisecond
)

// surveyRunners requests the state of every listed runner once after the start, and
// opens the circuits of those that can't serve their pool. The list still contains
// runners that are dead, or that have not loaded a model yet. The peers know them from
// their own requests, but this host would send its first requests there: a chat is
// refused after request.MaxAttempts such runners.
//
// The host becomes ready after the survey. Without a list, there is nothing to wait
// for.
func (entry *Entry) surveyRunners(ctx context.Context) {
	defer entry.surveyed.Store(true)
	for !entry.connectivity.HasStarted() || !entry.hostsRequested.Load() {
		if entry.clock.Wait(ctx, surveyPollInterval) != nil {
			return
		}
	}
	ctx, cancel := entry.clock.WithTimeout(ctx, surveyTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, server := range entry.fleet.Current().Servers() {
		poolConfig, ok := entry.active.Current().Pool(server.Pool())
		if !ok || poolConfig.Kind() != pool.KindRunner || server.Leaving() {
			continue
		}
		group.Go(func() { entry.surveyRunner(ctx, server, poolConfig) })
	}
	group.Wait()
}

func (entry *Entry) surveyRunner(ctx context.Context, server *backend.Server, poolConfig pool.Pool) {
	state, err := entry.runners.State(ctx, server)
	if err == nil && servesAny(state, poolConfig.Models()) {
		return
	}
	server.Circuit().Trip(entry.clock.Now())
	entry.log.Info().Err(err).Str(logging.FieldServer, server.ID()).Int("models", len(state.Models())).
		Msg("runner can't serve its pool yet")
}

func servesAny(state runner.State, models []pool.Model) bool {
	return slices.ContainsFunc(models, func(model pool.Model) bool { return state.ServesName(model.Name()) })
}
