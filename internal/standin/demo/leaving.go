package demo

import (
	"context"
	"fmt"
	"net/http"
	"syscall"

	"github.com/pkg/errors"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/standin/callerstandin"
)

// reclaimedHost is the id of the reclaimable runner that a steward started.
const reclaimedHost = "host-1"

// reclaimRunner makes the cloud announce the reclaim of a runner while streams are
// in progress that last longer than the notice.
func (session *session) reclaimRunner(ctx context.Context) error {
	const streams, tokens, noticeMillis = 12, 150, 1000
	results := make(chan error, streams)
	started := make(chan struct{}, streams*tokens)
	for i := range streams {
		go func() {
			content := fmt.Sprintf("Draft the cleaning report of the long filter %d", i)
			response, err := session.caller.StreamChat(ctx, session.entryA(), model, content, tokens, func(int) { started <- struct{}{} })
			if err == nil {
				err = callerstandin.CheckText(response, callerstandin.Expected(model, content, tokens))
			}
			results <- err
		}()
	}
	for range streams {
		select {
		case <-started:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	body := fmt.Sprintf(`{"hostId": %q, "noticeMillis": %d}`, reclaimedHost, noticeMillis)
	response, err := session.caller.Call(ctx, http.MethodPost, session.system.cloud.Address("api"), "/control/reclaim", "", []byte(body))
	if err != nil || response.Status() != http.StatusOK {
		return errors.Errorf("reclaim: status %d: %v", response.Status(), err)
	}
	for range streams {
		if err := <-results; err != nil {
			return err
		}
	}
	return nil
}

// handOver stops an entry host whose grace period is shorter than the stream that it
// serves. The caller requests the rest from another entry host.
func (session *session) handOver(ctx context.Context) error {
	const content, tokens = "Summarise the renewal history of account 9", 250
	entryC, err := session.system.startEntry("entry-c", "lj-a", 1*clock.Second, session.system.entryB.Address("node"))
	if err != nil {
		return err
	}
	if err := session.awaitReady(ctx, entryC.Address("caller")); err != nil {
		return err
	}
	var signalled error
	partial, err := session.caller.StreamChat(ctx, entryC.Address("caller"), model, content, tokens, func(events int) {
		if events == 5 {
			signalled = entryC.Signal(syscall.SIGTERM)
		}
	})
	if err == nil || signalled != nil {
		return errors.Errorf("the stream was not cut: %v", signalled)
	}
	if partial.Tokens() == 0 || partial.Tokens() >= tokens {
		return errors.Errorf("%d tokens before the hand-over", partial.Tokens())
	}
	if err := entryC.Wait(); err != nil {
		return errors.Wrap(err, "entry-c did not stop cleanly")
	}
	resumed, err := session.caller.ResumeChat(ctx, session.entryB(), model, content, tokens, partial)
	if err != nil {
		return err
	}
	return callerstandin.CheckText(resumed, callerstandin.Expected(model, content, tokens))
}

// awaitReady waits until the entry host's readiness probe succeeds.
func (session *session) awaitReady(ctx context.Context, address string) error {
	system := clock.System()
	for {
		response, err := session.caller.Call(ctx, http.MethodGet, address, "/readyz", "", nil)
		if err == nil && response.Status() == http.StatusOK {
			return nil
		}
		if err := system.Wait(ctx, pollInterval); err != nil {
			return errors.Wrap(err, "entry host is not ready")
		}
	}
}
