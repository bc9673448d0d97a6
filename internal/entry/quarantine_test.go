package entry

import (
	"context"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/request"
	"sapphirehead/internal/route"
)

// TestPromptCrashesRunners guards against a prompt that crashes one runner after the
// other, here by the attempts of single requests (incident BUDGET, entry hosts).
func TestPromptCrashesRunners(t *testing.T) {
	// maxCrashes is the number of crashes after which the prompt must be known, at the
	// node that saw them.
	const maxCrashes = 3
	newRequest := func(messages ...string) *request.Request {
		var turns []request.Message
		for _, content := range messages {
			turns = append(turns, request.NewMessage("user", content))
		}
		chat := route.New("desk", route.KindChat, "runners").WithModel(testModel).WithTargets(clock.Second, clock.Second, clock.Minute)
		return request.New("r", "garage-north", chat, "", request.NewPrompt(testModel, turns, 10, 0), 0)
	}
	// crashAll runs the attempts of a request that crashes each runner, and returns the
	// number of crashes.
	crashAll := func(manual *clock.Manual, entry *Entry, req *request.Request) (crashes int) {
		flow := request.NewFlow(req, entry.clock, entry.dispatcher.choose, func(*request.Request) bool { return true })
		for action := flow.Start(); action.Kind() == request.ActionAttempt; crashes++ {
			attempt := action.Attempt()
			flow.Sent(attempt.Number())
			manual.Advance(500 * clock.Millisecond)
			entry.countAttempt(req, attempt.Server(), request.CauseCut, 0)
			action = flow.Broken(attempt.Number(), request.CauseCut)
		}
		return crashes
	}
	manual := clock.NewManual(0)
	cluster := newCluster(t, manual.Clock(), 9, 2)
	first, second := cluster.entries[0], cluster.entries[1]
	sound := newRequest("you answer garages", "which oil")
	first.countAttempt(sound, first.fleet.Current().Servers()[0], 0, 10)
	require.LessOrEqual(t, crashAll(manual, first, newRequest("you answer garages", "fatal", "one")), maxCrashes)
	expectRefused := func(t *testing.T, entry *Entry, req *request.Request, refused bool) {
		t.Helper()
		var notRun *request.NotRunError
		err := entry.dispatcher.gate(entry.accounts.All()[0], req)
		require.Equal(t, refused, errors.As(err, &notRun), "%v", err)
	}
	t.Run("the prompt is refused at the node", func(t *testing.T) {
		expectRefused(t, first, newRequest("you answer garages", "fatal", "one"), true)
	})
	t.Run("and at its peer", func(t *testing.T) {
		require.True(t, first.gossip.exchange(context.Background(), second.NodeAddress(), first.members.SelfDigest(), true))
		expectRefused(t, second, newRequest("you answer garages", "fatal", "one"), true)
	})
	t.Run("another prompt with the same first message is served", func(t *testing.T) {
		expectRefused(t, first, sound, false)
	})
}

// TestCallCrashesServices guards against a call that comes again and crashes one service
// after the other (incident BUDGET, entry hosts).
func TestCallCrashesServices(t *testing.T) {
	newRequest := func(id, content string) *request.Request {
		booking := route.New("book", route.KindService, "services").WithTargets(clock.Second, clock.Second, clock.Minute)
		return request.New(id, "garage-north", booking, "", request.Prompt{}, 0).WithFingerprint(content)
	}
	manual := clock.NewManual(0)
	cluster := newCluster(t, manual.Clock(), 9, 2)
	first, second := cluster.entries[0], cluster.entries[1]
	expectRefused := func(t *testing.T, entry *Entry, req *request.Request, refused bool) {
		t.Helper()
		var notRun *request.NotRunError
		err := entry.dispatcher.gate(entry.accounts.All()[0], req)
		require.Equal(t, refused, errors.As(err, &notRun), "%v", err)
	}
	for i, server := range first.fleet.Current().Servers()[:3] {
		expectRefused(t, first, newRequest("again", "fatal"), false)
		manual.Advance(2 * clock.Second)
		first.countAttempt(newRequest("again", "fatal"), server, request.CauseCut, 0)
		first.countAttempt(newRequest("beside", string(rune('a'+i))), server, request.CauseCut, 0)
	}
	t.Run("the call is refused at the node", func(t *testing.T) { expectRefused(t, first, newRequest("later", "fatal"), true) })
	t.Run("and at its peer", func(t *testing.T) {
		require.True(t, first.gossip.exchange(context.Background(), second.NodeAddress(), first.members.SelfDigest(), true))
		expectRefused(t, second, newRequest("later", "fatal"), true)
	})
	t.Run("a call that was lost beside it isn't", func(t *testing.T) { expectRefused(t, first, newRequest("beside", "a"), false) })
	t.Run("calls that end too late crash nothing", func(t *testing.T) {
		for _, server := range first.fleet.Current().Servers()[3:6] {
			manual.Advance(2 * clock.Second)
			first.countAttempt(newRequest("slow", "slow"), server, request.CauseSilent, 0)
		}
		expectRefused(t, first, newRequest("slow", "slow"), false)
	})
}
