package request_test

import (
	"context"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/caller"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/platform"
	"sapphirehead/internal/request"
	"sapphirehead/internal/route"
	"sapphirehead/internal/runner"
	"sapphirehead/internal/service"
)

// decisionLogic is the decision logic of a node without sockets. Its platform
// store is a map.
type decisionLogic struct {
	manual    *clock.Manual
	fleet     *backend.Fleet
	admission *caller.Admission
	ledger    *service.Ledger
	chooser   *runner.Chooser
}

func newDecisionLogic() *decisionLogic {
	manual := clock.NewManual(1000)
	fleet := backend.NewFleet()
	shards := map[string]service.Shard{}
	versions := map[string]int64{}
	load := func(_ context.Context, object string) (service.Shard, int64, error) {
		return shards[object], versions[object], nil
	}
	commit := func(_ context.Context, object string, claims service.Shard, condition int64) (int64, error) {
		if versions[object] != condition {
			return 0, platform.NewConflictError(platform.KindClaims, object, condition)
		}
		shards[object], versions[object] = claims, condition+1
		return condition + 1, nil
	}
	return &decisionLogic{
		manual:    manual,
		fleet:     fleet,
		admission: caller.NewAdmission(10),
		ledger:    service.NewLedger(manual.Clock(), service.DefaultWindow, "entry-a/1", load, commit),
		chooser:   runner.NewChooser(fleet, "lj-a", func(int) int { return 0 }),
	}
}

func (logic *decisionLogic) list(ids ...string) {
	var list []backend.Listing
	for _, id := range ids {
		list = append(list, backend.NewListing(backend.NewServer(id, id+":1", "lj-a", "gpu-small", "runners"), false))
	}
	logic.fleet.Update(list)
}

func (logic *decisionLogic) flow(req *request.Request) *request.Flow {
	choose := func(req *request.Request, exclude []string) (*backend.Server, bool) {
		return logic.chooser.Choose(req.Route().Pool(), exclude)
	}
	return request.NewFlow(req, logic.manual.Clock(), choose, func(*request.Request) bool { return true })
}

func expectAttempt(t *testing.T, action request.Action, mode request.AttemptMode, server string, offset int) request.Attempt {
	t.Helper()
	require.Equal(t, request.ActionAttempt, action.Kind(), "error: %v", action.Err())
	attempt := action.Attempt()
	require.Equal(t, mode, attempt.Mode())
	require.Equal(t, server, attempt.Server().ID())
	require.Equal(t, offset, attempt.Offset())
	return attempt
}

// TestWholeRequest drives a request from admission to its complete response. It
// is claimed, runs at a runner whose connection breaks and which can't resume it,
// continues at another while chunks of the first still arrive, and is recorded. A
// repeat with the same key gets the recorded response.
func TestWholeRequest(t *testing.T) {
	logic := newDecisionLogic()
	logic.list("runner-1", "runner-2")
	ctx := context.Background()
	routeConfig := route.New("reports", route.KindChat, "runners").WithModel("desk-small").WithNonIdempotent(false)

	account := caller.NewAccount("garage-north", 1)
	release, err := logic.admission.Admit(account)
	require.NoError(t, err)
	_, err = logic.admission.Admit(account)
	var notRun *request.NotRunError
	require.ErrorAs(t, err, &notRun)
	require.True(t, notRun.OverLimit())

	req := request.New("req-1", account.Name(), routeConfig, "key-1", request.Prompt{}, logic.manual.Now())
	claim, _ := logic.ledger.Claim(ctx, req, false)
	require.Equal(t, request.ClaimGranted, claim)

	flow := logic.flow(req)
	first := expectAttempt(t, flow.Start(), request.AttemptFresh, "runner-1", 0)
	flow.Sent(first.Number())
	flow.Stream(first.Number(), "stream-1")
	ready, _ := flow.Chunk(first.Number(), 0, []string{"The", " log"})
	require.Equal(t, []string{"The", " log"}, ready)

	resume := expectAttempt(t, flow.Broken(first.Number(), request.CauseCut), request.AttemptResume, "runner-1", 2)
	require.Equal(t, "stream-1", resume.StreamID())
	logic.fleet.MarkLeaving("runner-1")
	second := expectAttempt(t, flow.Broken(resume.Number(), request.CauseGone), request.AttemptContinue, "runner-2", 2)
	require.Equal(t, []string{"The", " log"}, second.Tokens())

	flow.Sent(second.Number())
	ready, action := flow.Chunk(first.Number(), 2, []string{" lies"})
	require.Empty(t, ready)
	require.Equal(t, request.ActionRead, action.Kind())
	ready, _ = flow.Chunk(second.Number(), 3, []string{" clean"})
	require.Empty(t, ready)
	ready, _ = flow.Chunk(second.Number(), 2, []string{" is"})
	require.Equal(t, []string{" is", " clean"}, ready)
	require.Equal(t, request.ActionFinish, flow.Ended(second.Number(), 4).Kind())

	text := strings.Join(flow.Tokens(), "")
	require.Equal(t, "The log is clean", text)
	answer := service.NewAnswer(200, "text/plain", []byte(text))
	require.NoError(t, logic.ledger.Record(ctx, req, answer, false))
	logic.ledger.End(req, false)
	release()
	require.Zero(t, logic.admission.InFlight())

	repeat := request.New("req-2", account.Name(), routeConfig, "key-1", request.Prompt{}, logic.manual.Now())
	claim, recorded := logic.ledger.Claim(ctx, repeat, false)
	require.Equal(t, request.ClaimRecorded, claim)
	require.Equal(t, text, string(recorded.Body()))
}

func expectFailure[E error](t *testing.T, action request.Action) {
	t.Helper()
	require.Equal(t, request.ActionFail, action.Kind())
	var wanted E
	require.ErrorAs(t, action.Err(), &wanted)
}

// TestNonIdempotentBreak checks the result of a broken attempt of a call with side
// effects, depending on whether bytes of it may have reached the server.
func TestNonIdempotentBreak(t *testing.T) {
	booking := route.New("bookings", route.KindService, "runners").WithPath("/bookings").WithNonIdempotent(true)
	begin := func() (*request.Flow, request.Attempt) {
		logic := newDecisionLogic()
		logic.list("booking-1", "booking-2")
		flow := logic.flow(request.New("req-1", "garage-north", booking, "", request.Prompt{}, logic.manual.Now()))
		return flow, expectAttempt(t, flow.Start(), request.AttemptFresh, "booking-1", 0)
	}
	t.Run("not sent: sent to another server", func(t *testing.T) {
		flow, attempt := begin()
		expectAttempt(t, flow.Broken(attempt.Number(), request.CauseNotSent), request.AttemptFresh, "booking-2", 0)
	})
	t.Run("refused by the server: sent to another server", func(t *testing.T) {
		flow, attempt := begin()
		expectAttempt(t, flow.Broken(attempt.Number(), request.CauseRefused), request.AttemptFresh, "booking-2", 0)
	})
	t.Run("cut after sending: outcome unknown", func(t *testing.T) {
		flow, attempt := begin()
		flow.Sent(attempt.Number())
		expectFailure[*request.OutcomeUnknownError](t, flow.Broken(attempt.Number(), request.CauseCut))
	})
	t.Run("silent after sending: outcome unknown", func(t *testing.T) {
		flow, attempt := begin()
		flow.Sent(attempt.Number())
		expectFailure[*request.OutcomeUnknownError](t, flow.Broken(attempt.Number(), request.CauseSilent))
	})
	t.Run("no server left and nothing sent: not run", func(t *testing.T) {
		flow, attempt := begin()
		second := expectAttempt(t, flow.Broken(attempt.Number(), request.CauseNotSent), request.AttemptFresh, "booking-2", 0)
		expectFailure[*request.NotRunError](t, flow.Broken(second.Number(), request.CauseNotSent))
	})
}
