package edge

import (
	"context"
	"sync/atomic"
)

// wakeUp ends a watch at the store early if a peer or another watch shows that it
// may have missed a change, as a watch can go silent without an error.
type wakeUp struct {
	pending atomic.Bool
	cancel  atomic.Pointer[context.CancelFunc]
}

// Trigger causes a read of the store at once.
func (wakeUp *wakeUp) Trigger() {
	wakeUp.pending.Store(true)
	if cancel := wakeUp.cancel.Load(); cancel != nil {
		(*cancel)()
	}
}

// watchContext returns a context that the next wake-up cancels, or one that is pending.
func (wakeUp *wakeUp) watchContext(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	wakeUp.cancel.Store(&cancel)
	if wakeUp.pending.Load() {
		// It came before the context was there to be cancelled.
		cancel()
	}
	return ctx, cancel
}

// consume reports whether there was a wake-up since the last call.
func (wakeUp *wakeUp) consume() bool { return wakeUp.pending.Swap(false) }
