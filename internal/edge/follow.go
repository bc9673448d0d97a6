package edge

import (
	"context"

	"github.com/pkg/errors"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/platform"
	"sapphirehead/platform/store"
)

const (
	// minRetryWait and maxRetryWait bound the wait between calls to a store that
	// does not respond. retryWaitPerNode for each node is added to maxRetryWait, as
	// all nodes call the store.
	minRetryWait     = 50 * clock.Millisecond
	maxRetryWait     = 400 * clock.Millisecond
	retryWaitPerNode = 10 * clock.Millisecond
)

// watchHandler defines how objects of one kind are listed and watched.
type watchHandler struct {
	kind      string
	onList    func(store.Listing)
	onChange  func(store.Change)
	onSynced  func()
	watchWait func() clock.Millis
	// batchDelay returns the wait after changes; nil means no wait.
	batchDelay func() clock.Millis
	onFailure  func(error)
	onSuccess  func()
	// onRead is called with the time at which a successful call was sent, once its
	// result is in use; nil if nobody needs it.
	onRead func(began clock.Millis)
	// wakeUp ends a watch of this kind early, and otherWakeUps those of the other
	// kinds.
	wakeUp       *wakeUp
	otherWakeUps []*wakeUp
}

// synced records that the result of a call that was sent at the time has been applied.
func (handler watchHandler) synced(began clock.Millis) {
	handler.onSynced()
	if handler.onRead != nil {
		handler.onRead(began)
	}
}

// follow lists and watches objects of one kind until the context ends.
func (edge *Edge) follow(ctx context.Context, handler watchHandler) {
	wait := minRetryWait
	version, listed := int64(0), false
	failing, relists := false, relistBackoff{}
	for ctx.Err() == nil {
		wokenUp := handler.wakeUp.consume()
		next, err := edge.followOnce(ctx, handler, version, listed, failing || wokenUp)
		var gone *store.HistoryGoneError
		var tooLarge *store.TooLargeError
		if errors.As(err, &tooLarge) {
			// The same watch would return as much again; a listing comes in pages.
			listed = false
		}
		switch {
		case ctx.Err() != nil:
			return
		case err == nil:
			if listed {
				relists.reset()
			}
			if failing {
				edge.log.Info().Str("kind", handler.kind).Str("version", platform.FormatVersion(next)).Msg("regained the platform store")
			}
			version, listed, failing, wait = next, true, false, minRetryWait
			continue
		case errors.As(err, &gone):
			edge.log.Info().Str("kind", handler.kind).Str("version", platform.FormatVersion(version)).Msg("history of the watch is gone; listing again")
			listed = false
			// The history of the other watches is gone too, but their connections may be
			// silent and not deliver the error.
			for _, other := range handler.otherWakeUps {
				other.Trigger()
			}
			if edge.clock.Wait(ctx, relists.next()) != nil {
				return
			}
			continue
		case !failing && !wokenUp && handler.wakeUp.pending.Load():
			// The wake-up ended the watch, which is no failure of the store.
			continue
		}
		if !failing {
			failing = true
			edge.log.Warn().Err(err).Str("kind", handler.kind).Str("version", platform.FormatVersion(version)).Msg("lost the platform store")
		}
		handler.onFailure(err)
		edge.transport.CloseIdleConnections()
		if edge.clock.Wait(ctx, wait) != nil {
			return
		}
		wait = min(2*wait, maxRetryWait+retryWaitPerNode*clock.Millis(edge.nodes()))
	}
}

// relistBackoff is the wait before a kind is listed again because its history is gone.
// There is none the first time; a store that refuses each watch from its own listing
// must not be called in a loop.
type relistBackoff struct{ wait clock.Millis }

// next returns the wait, which grows until reset.
func (backoff *relistBackoff) next() clock.Millis {
	wait := backoff.wait
	backoff.wait = min(max(2*wait, minRetryWait), maxRetryWait)
	return wait
}

// reset records that a watch succeeded.
func (backoff *relistBackoff) reset() { backoff.wait = 0 }

// followOnce lists the objects, or watches them once, and returns the version
// to continue from. An immediate watch does not wait: after a failure it shows
// whether the store is back, and after a wake-up it returns the missed changes.
func (edge *Edge) followOnce(ctx context.Context, handler watchHandler, version int64, listed, immediate bool) (int64, error) {
	began := edge.clock.Now()
	if !listed {
		listing, err := edge.store.List(ctx, handler.kind, store.FreshnessLatest)
		edge.counters.storeCalls.Add(1)
		if err != nil {
			return 0, err
		}
		handler.onSuccess()
		edge.logUnreadable(handler.kind, listing.Unreadable())
		handler.onList(listing)
		handler.synced(began)
		return listing.AsOf(), nil
	}
	wait := handler.watchWait()
	if immediate {
		wait = clock.Millisecond
	}
	watching, end := handler.wakeUp.watchContext(ctx)
	defer end()
	watchCtx := watching
	if immediate {
		// It is short, and a series of wake-ups must not keep it from its end.
		watchCtx = ctx
	}
	changes, err := edge.store.Watch(watchCtx, handler.kind, version, wait)
	edge.counters.storeCalls.Add(1)
	if err != nil {
		return 0, err
	}
	handler.onSuccess()
	edge.logUnreadable(handler.kind, changes.Unreadable())
	for _, change := range changes.All() {
		handler.onChange(change)
	}
	handler.synced(began)
	if handler.batchDelay != nil && len(changes.All()) > 0 {
		edge.clock.Wait(watching, handler.batchDelay())
	}
	if ctx.Err() != nil {
		return 0, ctx.Err()
	}
	return max(version, changes.AsOf()), nil
}

// logUnreadable logs the number of objects that could not be read, if there are any.
func (edge *Edge) logUnreadable(kind string, objects int) {
	if objects > 0 {
		edge.log.Warn().Str("kind", kind).Int("objects", objects).Msg("ignored unreadable objects of the store")
	}
}

// followConfiguration activates each new configuration.
func (edge *Edge) followConfiguration(ctx context.Context) {
	offer := func(object store.Object) {
		if object.Name() != store.ConfigurationName {
			return
		}
		offered, err := store.DecodeConfiguration(object)
		if err != nil {
			edge.log.Error().Err(err).Str("version", platform.FormatVersion(object.Version())).Msg("configuration refused")
			return
		}
		if edge.directory.Offer(offered) {
			edge.updateLongPrompts()
			edge.log.Info().Int64("version", offered.Version()).Int("routes", offered.Size()).Msg("configuration active")
		}
	}
	edge.follow(ctx, watchHandler{
		kind: store.KindConfiguration,
		onList: func(listing store.Listing) {
			for _, object := range listing.Objects() {
				offer(object)
			}
		},
		onChange: func(change store.Change) {
			if !change.Deleted() {
				offer(change.Object())
			}
		},
		onSynced:   func() { setTime(&edge.storeResponses.configuration, edge.clock.Now()) },
		batchDelay: edge.configurationDelay,
		wakeUp:     &edge.wakeUps.configuration, otherWakeUps: []*wakeUp{&edge.wakeUps.servers, &edge.wakeUps.rollouts},
		watchWait: func() clock.Millis {
			return platform.WatchWait(edge.settings.Load().Bounds().Configuration(), edge.isDesignatedWatcher(), edge.nodes())
		},
		onFailure: func(error) {},
		onSuccess: func() {},
	})
}

const (
	// configurationDelayPerNode times the number of nodes is the wait after a new
	// configuration before the next watch, so that several in quick succession cost one
	// call at most nodes. It is at most maxConfigurationDelayShare of the bound.
	configurationDelayPerNode  = 2 * clock.Millisecond
	maxConfigurationDelayShare = 0.2
)

// configurationDelay returns how long this node waits after a new configuration.
func (edge *Edge) configurationDelay() clock.Millis {
	if edge.isDesignatedWatcher() {
		return 0
	}
	longest := clock.Millis(maxConfigurationDelayShare * float64(edge.settings.Load().Bounds().Configuration()))
	return min(configurationDelayPerNode*clock.Millis(edge.nodes()), longest)
}
