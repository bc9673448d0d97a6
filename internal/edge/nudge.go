package edge

import (
	"context"
	"sync/atomic"
)

// nudge ends a watch at the store early, because something else shows that it may
// have missed a change: a watch can go silent without an error.
type nudge struct {
	due    atomic.Bool
	cancel atomic.Pointer[context.CancelFunc]
}

// Now asks for a look at the store at once.
func (nudge *nudge) Now() {
	nudge.due.Store(true)
	if cancel := nudge.cancel.Load(); cancel != nil {
		(*cancel)()
	}
}

// begin returns a context that a nudge ends.
func (nudge *nudge) begin(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	nudge.cancel.Store(&cancel)
	return ctx, cancel
}

// taken reports whether there was a nudge since the last call.
func (nudge *nudge) taken() bool { return nudge.due.Swap(false) }
