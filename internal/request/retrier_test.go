package request_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/request"
	"sapphirehead/internal/route"
)

var (
	lookup   = route.New("lookup", route.KindService, "app").WithMaxAttempts(2)
	booking  = route.New("booking", route.KindService, "app").WithNonIdempotent(true).WithMaxAttempts(1)
	chat     = route.New("chat", route.KindChat, "runners").WithNonIdempotent(true)
	resuming = route.New("diagnosis", route.KindChat, "runners").WithNonIdempotent(true).WithResumable(true).WithMaxAttempts(2)
)

const retrierDeadline = 1500 * clock.Millisecond

func TestRetrier(t *testing.T) {
	always, never := func() bool { return true }, func() bool { return false }
	expectSteps := func(t *testing.T, routeConfig route.Route, budget func() bool, outcomes []request.Outcome, steps ...request.Step) {
		t.Helper()
		retrier := request.NewRetrier(routeConfig, retrierDeadline)
		for i, outcome := range outcomes {
			retrier.RecordSend()
			require.Equal(t, steps[i], retrier.Next(outcome, 100, budget), "outcome %d: %s", i, outcome)
		}
	}
	outcomeList := func(outcomes ...request.Outcome) []request.Outcome { return outcomes }
	t.Run("answer", func(t *testing.T) {
		expectSteps(t, booking, always, outcomeList(request.OutcomeAnswered), request.StepDeliver)
	})
	t.Run("idempotent request is retried", func(t *testing.T) {
		expectSteps(t, lookup, always, outcomeList(request.OutcomeLost, request.OutcomeAnswered), request.StepRetry, request.StepDeliver)
	})
	t.Run("idempotent request runs at two servers at most", func(t *testing.T) {
		expectSteps(t, lookup, always, outcomeList(request.OutcomeFailed, request.OutcomeFailed), request.StepRetry, request.StepDeliver)
	})
	t.Run("without a budget a failure is delivered", func(t *testing.T) {
		expectSteps(t, lookup, never, outcomeList(request.OutcomeFailed), request.StepDeliver)
	})
	t.Run("a booking that may have run is not sent again", func(t *testing.T) {
		expectSteps(t, booking, always, outcomeList(request.OutcomeLost), request.StepUnknown)
	})
	t.Run("a booking that was refused is sent again", func(t *testing.T) {
		expectSteps(t, booking, always, outcomeList(request.OutcomeRefused, request.OutcomeMisdirected, request.OutcomeLost),
			request.StepRetry, request.StepRetry, request.StepUnknown)
	})
	t.Run("a booking that was never sent is refused", func(t *testing.T) {
		expectSteps(t, booking, never, outcomeList(request.OutcomeUnsent), request.StepRefuse)
	})
	t.Run("no server", func(t *testing.T) {
		expectSteps(t, booking, always, outcomeList(request.OutcomeNoServer), request.StepRefuse)
	})
	t.Run("too late at every server", func(t *testing.T) {
		expectSteps(t, chat, always, outcomeList(request.OutcomeTooLate), request.StepRefuse)
	})
	t.Run("a started stream that can't be resumed is broken off", func(t *testing.T) {
		retrier := request.NewRetrier(chat, retrierDeadline)
		retrier.RecordSend()
		retrier.StartResponse()
		require.Equal(t, request.StepBreak, retrier.Next(request.OutcomeCut, 100, always))
	})
	t.Run("a stream that may be resumed is retried", func(t *testing.T) {
		retrier := request.NewRetrier(resuming, retrierDeadline)
		retrier.RecordSend()
		retrier.StartResponse()
		require.Equal(t, request.StepRetry, retrier.Next(request.OutcomeCut, 100, always))
		retrier.RecordSend()
		require.Equal(t, request.StepBreak, retrier.Next(request.OutcomeCut, 200, always))
	})
	t.Run("deadline passed", func(t *testing.T) {
		retrier := request.NewRetrier(booking, retrierDeadline)
		retrier.RecordSend()
		require.Equal(t, request.StepTimeout, retrier.Next(request.OutcomeLost, retrierDeadline, always))
	})
	t.Run("deadline passed before it was sent", func(t *testing.T) {
		retrier := request.NewRetrier(booking, retrierDeadline)
		retrier.RecordSend()
		require.Equal(t, request.StepRefuse, retrier.Next(request.OutcomeUnsent, retrierDeadline, always))
	})
}

// TestRetrierGuarantees checks, for any sequence of outcomes, that a request which
// may run only once is not sent again after it may have run, that a request is only
// reported as refused if it did not run, and that no second response follows a part
// of the first.
func TestRetrierGuarantees(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		routeConfig := rapid.SampledFrom([]route.Route{lookup, booking, chat, resuming}).Draw(t, "route")
		retrier := request.NewRetrier(routeConfig, retrierDeadline)
		mayHaveRun, runs := false, 0
		for now := clock.Millis(0); ; now += 100 {
			require.False(t, mayHaveRun && !routeConfig.Repeatable(), "sent again though it may have run")
			retrier.RecordSend()
			outcome := rapid.SampledFrom([]request.Outcome{
				request.OutcomeUnsent, request.OutcomeRefused, request.OutcomeMisdirected, request.OutcomeLost,
				request.OutcomeFailed, request.OutcomeAnswered, request.OutcomeCut, request.OutcomeNoServer,
			}).Draw(t, "outcome")
			if outcome == request.OutcomeCut {
				retrier.StartResponse()
			}
			if outcome == request.OutcomeLost || outcome == request.OutcomeFailed || outcome == request.OutcomeCut || outcome == request.OutcomeAnswered {
				mayHaveRun = true
				runs++
			}
			require.LessOrEqual(t, runs, routeConfig.MaxAttempts())
			step := retrier.Next(outcome, now, func() bool { return rapid.Bool().Draw(t, "budget") })
			switch step {
			case request.StepRetry:
				continue
			case request.StepRefuse:
				require.False(t, mayHaveRun, "refused though it may have run")
				require.False(t, retrier.ResponseStarted())
			case request.StepUnknown, request.StepTimeout:
				require.False(t, retrier.ResponseStarted())
			case request.StepDeliver:
				require.False(t, retrier.ResponseStarted() && outcome == request.OutcomeFailed, "a second response after a part of the first")
			}
			return
		}
	})
}
