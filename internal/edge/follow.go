package edge

import (
	"context"

	"github.com/pkg/errors"

	"sapphirehead/internal/clock"
	"sapphirehead/platform/store"
)

const (
	// watchWait is how long a watch waits at the store. A watch that hears nothing
	// proves little, as its connection may have gone silent: probes of the
	// connection find that sooner, and each watch is bounded besides.
	watchWait = 6 * clock.Second
	// retryLeast and retryMost are the waits between calls to a store that does
	// not answer. Each node adds retryPerNode to the longest, as they all call.
	retryLeast   = 50 * clock.Millisecond
	retryMost    = 400 * clock.Millisecond
	retryPerNode = 10 * clock.Millisecond
)

// followed is how one kind of objects is followed by a listing and watches.
type followed struct {
	kind string
	list func(store.Listing)
	set  func(store.Change)
	end  func()
	wait func() clock.Millis
	// gather is the wait after changes; nil is none.
	gather func() clock.Millis
	away   func(error)
	back   func()
	// nudge ends a watch of this kind, and other that of the other kind.
	nudge *nudge
	other *nudge
}

// follow keeps up with a kind of objects until the context ends.
func (edge *Edge) follow(ctx context.Context, followed followed) {
	wait := retryLeast
	revision, listed := int64(0), false
	failing := false
	for ctx.Err() == nil {
		nudged := followed.nudge.taken()
		next, err := edge.followOnce(ctx, followed, revision, listed, failing || nudged)
		var gone *store.HistoryGoneError
		switch {
		case ctx.Err() != nil:
			return
		case err == nil:
			if failing {
				edge.log.Info().Str("kind", followed.kind).Int64("revision", next).Msg("platform's store regained")
			}
			revision, listed, failing, wait = next, true, false, retryLeast
			continue
		case errors.As(err, &gone):
			edge.log.Info().Str("kind", followed.kind).Int64("revision", revision).Msg("history of the watch is gone, listing anew")
			listed = false
			// The other watch lost its history too, and may not be told.
			followed.other.Now()
			continue
		case !failing && !nudged && followed.nudge.due.Load():
			// The nudge ended the watch. One more that fails is a failure.
			continue
		}
		if !failing {
			failing = true
			edge.log.Warn().Err(err).Str("kind", followed.kind).Int64("revision", revision).Msg("platform's store lost")
		}
		followed.away(err)
		edge.transport.CloseIdleConnections()
		if edge.clock.Wait(ctx, wait) != nil {
			return
		}
		wait = min(2*wait, retryMost+retryPerNode*clock.Millis(edge.nodes()))
	}
}

// followOnce lists the kind, or watches it once, and returns the revision to go
// on from. A quick watch does not wait: after a failure, the node knows at once
// that the store is back, and after a nudge, what it missed.
func (edge *Edge) followOnce(ctx context.Context, followed followed, revision int64, listed, quick bool) (int64, error) {
	if !listed {
		listing, err := edge.store.List(ctx, followed.kind, store.FreshnessLatest)
		if err != nil {
			return 0, err
		}
		edge.counters.storeCalls.Add(1)
		followed.back()
		followed.list(listing)
		followed.end()
		return listing.AsOf(), nil
	}
	wait := min(watchWait, followed.wait())
	if quick {
		wait = clock.Millisecond
	}
	watching, end := followed.nudge.begin(ctx)
	defer end()
	changes, err := edge.store.Watch(watching, followed.kind, revision, wait)
	edge.counters.storeCalls.Add(1)
	if err != nil {
		return 0, err
	}
	followed.back()
	if changes.Unreadable() > 0 {
		edge.log.Warn().Str("kind", followed.kind).Int("objects", changes.Unreadable()).Msg("objects of the store can't be read")
	}
	for _, change := range changes.All() {
		followed.set(change)
	}
	followed.end()
	if followed.gather != nil && len(changes.All()) > 0 && edge.clock.Wait(ctx, followed.gather()) != nil {
		return 0, ctx.Err()
	}
	return max(revision, changes.AsOf()), nil
}

// followConfiguration puts each new configuration in force.
func (edge *Edge) followConfiguration(ctx context.Context) {
	offer := func(object store.Object) {
		if object.Name() != store.ConfigurationName {
			return
		}
		offered, err := store.DecodeConfiguration(object)
		if err != nil {
			edge.log.Error().Err(err).Int64("revision", object.Revision()).Msg("configuration refused")
			return
		}
		if edge.directory.Offer(offered) {
			edge.log.Info().Int64("version", offered.Version()).Int("routes", offered.Size()).Msg("configuration in force")
		}
	}
	edge.follow(ctx, followed{
		kind: store.KindConfiguration,
		list: func(listing store.Listing) {
			for _, object := range listing.Objects() {
				offer(object)
			}
		},
		set: func(change store.Change) {
			if !change.Deleted() {
				offer(change.Object())
			}
		},
		end:   func() { note(&edge.contact.configuration, edge.clock.Now()) },
		nudge: &edge.nudges.configuration, other: &edge.nudges.servers,
		wait: func() clock.Millis { return watchWait },
		away: func(error) {},
		back: func() {},
	})
}
