package request_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/request"
	"sapphirehead/internal/route"
)

// fixture is a flow whose servers are chosen in order, runner-1 first.
type fixture struct {
	manual  *clock.Manual
	servers []*backend.Server
	allowed bool
	flow    *request.Flow
}

var chatRoute = route.New("reports", route.KindChat, "runners").WithModel("desk-small")

func newFixture(req *request.Request) *fixture {
	fixture := &fixture{manual: clock.NewManual(1000), allowed: true}
	for i := range 3 {
		id := fmt.Sprintf("runner-%d", i+1)
		fixture.servers = append(fixture.servers, backend.NewServer(id, id+":1", "lj-a", "gpu-small", "runners"))
	}
	fixture.flow = request.NewFlow(req, fixture.manual.Clock(), fixture.choose, func(*request.Request) bool { return fixture.allowed })
	return fixture
}

func (fixture *fixture) choose(_ *request.Request, exclude []string) (*backend.Server, bool) {
	for _, server := range fixture.servers {
		excluded := server.Leaving()
		for _, id := range exclude {
			excluded = excluded || id == server.ID()
		}
		if !excluded {
			return server, true
		}
	}
	return nil, false
}

func chatRequest() *request.Request {
	return request.New("req-1", "garage-north", chatRoute, "", request.Prompt{}, 1000)
}

// newStartedFixture returns a fixture whose first attempt runs with the stream id
// stream-1.
func newStartedFixture(t *testing.T, req *request.Request) *fixture {
	t.Helper()
	fixture := newFixture(req)
	expectAttempt(t, fixture.flow.Start(), request.AttemptFresh, "runner-1", 0)
	fixture.flow.Sent(1)
	fixture.flow.Stream(1, "stream-1")
	return fixture
}

func expectChunk(t *testing.T, fixture *fixture, attempt, offset int, tokens, delivered string) {
	t.Helper()
	ready, action := fixture.flow.Chunk(attempt, offset, letters(tokens))
	require.Equal(t, request.ActionRead, action.Kind(), "error: %v", action.Err())
	require.Equal(t, letters(delivered), append([]string{}, ready...))
}

func letters(text string) []string {
	tokens := []string{}
	for _, letter := range text {
		tokens = append(tokens, string(letter))
	}
	return tokens
}

func TestChunks(t *testing.T) {
	begin := func(t *testing.T) *fixture { return newStartedFixture(t, chatRequest()) }
	t.Run("out of order: the chunk after the gap waits", func(t *testing.T) {
		fixture := begin(t)
		expectChunk(t, fixture, 1, 2, "cd", "")
		expectChunk(t, fixture, 1, 0, "ab", "abcd")
	})
	t.Run("duplicated and overlapping: only new tokens are delivered", func(t *testing.T) {
		fixture := begin(t)
		expectChunk(t, fixture, 1, 0, "abc", "abc")
		expectChunk(t, fixture, 1, 0, "abc", "")
		expectChunk(t, fixture, 1, 1, "bcd", "d")
	})
	t.Run("end mark before the chunks: waits for them", func(t *testing.T) {
		fixture := begin(t)
		require.Equal(t, request.ActionRead, fixture.flow.Ended(1, 2).Kind())
		expectChunk(t, fixture, 1, 1, "b", "")
		_, action := fixture.flow.Chunk(1, 0, letters("a"))
		require.Equal(t, request.ActionFinish, action.Kind())
	})
	t.Run("late chunks of an abandoned attempt are dropped", func(t *testing.T) {
		fixture := begin(t)
		expectChunk(t, fixture, 1, 0, "ab", "ab")
		expectAttempt(t, fixture.flow.Broken(1, request.CauseGone), request.AttemptContinue, "runner-2", 2)
		expectChunk(t, fixture, 1, 2, "x", "")
		require.Equal(t, request.ActionRead, fixture.flow.Ended(1, 2).Kind())
		expectChunk(t, fixture, 2, 2, "c", "c")
	})
}

// TestInvalid checks that a server whose messages contradict each other is
// abandoned, and that another one continues from the accepted tokens.
func TestInvalid(t *testing.T) {
	expectAbandoned := func(t *testing.T, action request.Action, offset int) {
		t.Helper()
		expectAttempt(t, action, request.AttemptContinue, "runner-2", offset)
	}
	begin := func(t *testing.T) *request.Flow {
		fixture := newStartedFixture(t, chatRequest())
		expectChunk(t, fixture, 1, 0, "abc", "abc")
		return fixture.flow
	}
	chunk := func(flow *request.Flow, offset int, tokens string) request.Action {
		_, action := flow.Chunk(1, offset, letters(tokens))
		return action
	}
	t.Run("a different token at an accepted offset", func(t *testing.T) {
		expectAbandoned(t, chunk(begin(t), 1, "bX"), 3)
	})
	t.Run("negative offset", func(t *testing.T) {
		expectAbandoned(t, chunk(begin(t), -1, "a"), 3)
	})
	t.Run("end before the accepted tokens", func(t *testing.T) {
		expectAbandoned(t, begin(t).Ended(1, 2), 3)
	})
	t.Run("end before a waiting chunk", func(t *testing.T) {
		flow := begin(t)
		require.Equal(t, request.ActionRead, chunk(flow, 5, "f").Kind())
		expectAbandoned(t, flow.Ended(1, 4), 3)
	})
	t.Run("chunk after the end", func(t *testing.T) {
		flow := begin(t)
		require.Equal(t, request.ActionRead, flow.Ended(1, 5).Kind())
		expectAbandoned(t, chunk(flow, 4, "ef"), 3)
	})
	t.Run("two ends", func(t *testing.T) {
		flow := begin(t)
		require.Equal(t, request.ActionRead, flow.Ended(1, 5).Kind())
		expectAbandoned(t, flow.Ended(1, 6), 3)
	})
	t.Run("chunks after a gap that is never filled: bounded", func(t *testing.T) {
		flow := begin(t)
		action := request.Action{}
		for i := 0; i < 1000 && action.Kind() != request.ActionAttempt; i++ {
			action = chunk(flow, 10+i, "x")
		}
		expectAbandoned(t, action, 3)
	})
}

// TestDeadline checks that the deadline is checked before each action. Otherwise a
// process that was paused would continue with an expired request.
func TestDeadline(t *testing.T) {
	expectIncomplete := func(t *testing.T, event func(flow *request.Flow) request.Action) {
		t.Helper()
		fixture := newStartedFixture(t, chatRequest())
		fixture.manual.Advance(chatRoute.Deadline())
		expectFailure[*request.IncompleteError](t, event(fixture.flow))
	}
	t.Run("chunk", func(t *testing.T) {
		expectIncomplete(t, func(flow *request.Flow) request.Action {
			_, action := flow.Chunk(1, 0, letters("a"))
			return action
		})
	})
	t.Run("end", func(t *testing.T) {
		expectIncomplete(t, func(flow *request.Flow) request.Action { return flow.Ended(1, 0) })
	})
	t.Run("resume", func(t *testing.T) {
		expectIncomplete(t, func(flow *request.Flow) request.Action { return flow.Broken(1, request.CauseCut) })
	})
	t.Run("timer", func(t *testing.T) {
		expectIncomplete(t, (*request.Flow).Expire)
	})
	t.Run("before anything was sent: not run", func(t *testing.T) {
		fixture := newFixture(chatRequest())
		fixture.flow.Start()
		fixture.manual.Advance(chatRoute.Deadline())
		expectFailure[*request.NotRunError](t, fixture.flow.Expire())
	})
}

// TestNotRunAfterPossibleRun checks that a request is never reported as not run
// after an attempt that may have run, even if a later one was refused.
func TestNotRunAfterPossibleRun(t *testing.T) {
	fixture := newStartedFixture(t, chatRequest())
	expectAttempt(t, fixture.flow.Broken(1, request.CauseGone), request.AttemptFresh, "runner-2", 0)
	expectAttempt(t, fixture.flow.Broken(2, request.CauseRefused), request.AttemptFresh, "runner-3", 0)
	expectFailure[*request.IncompleteError](t, fixture.flow.Broken(3, request.CauseNotSent))
}

func TestMove(t *testing.T) {
	begin := func(t *testing.T) *fixture {
		fixture := newStartedFixture(t, chatRequest())
		expectChunk(t, fixture, 1, 0, "ab", "ab")
		fixture.servers[0].MarkLeaving()
		expectAttempt(t, fixture.flow.Move(false), request.AttemptContinue, "runner-2", 2)
		expectChunk(t, fixture, 1, 2, "c", "")
		return fixture
	}
	t.Run("the new attempt delivers: the old one is abandoned", func(t *testing.T) {
		fixture := begin(t)
		expectChunk(t, fixture, 2, 2, "XY", "XY")
		require.False(t, fixture.flow.InProgress(1))
		expectChunk(t, fixture, 1, 3, "d", "")
	})
	t.Run("an early chunk of the new attempt: does not take over yet", func(t *testing.T) {
		fixture := begin(t)
		expectChunk(t, fixture, 2, 3, "Y", "")
		require.Equal(t, request.ActionFinish, fixture.flow.Ended(1, 3).Kind())
	})
	t.Run("the new attempt breaks: the old one continues", func(t *testing.T) {
		fixture := begin(t)
		require.Equal(t, request.ActionRead, fixture.flow.Broken(2, request.CauseCut).Kind())
		require.Equal(t, letters("abc"), fixture.flow.Tokens())
		expectChunk(t, fixture, 1, 3, "d", "d")
	})
	t.Run("the old attempt breaks: the new one continues", func(t *testing.T) {
		fixture := begin(t)
		require.Equal(t, request.ActionRead, fixture.flow.Broken(1, request.CauseCut).Kind())
		expectChunk(t, fixture, 2, 2, "X", "X")
	})
	t.Run("the old attempt ends first: it is the response", func(t *testing.T) {
		fixture := begin(t)
		require.Equal(t, request.ActionFinish, fixture.flow.Ended(1, 3).Kind())
		require.Equal(t, letters("abc"), fixture.flow.Tokens())
	})
	t.Run("with side effects: stays, unless the KV cache moves", func(t *testing.T) {
		routeConfig := chatRoute.WithNonIdempotent(true)
		fixture := newStartedFixture(t, request.New("req-1", "garage-north", routeConfig, "", request.Prompt{}, 1000))
		fixture.servers[0].MarkLeaving()
		require.Equal(t, request.ActionRead, fixture.flow.Move(false).Kind())
		transfer := expectAttempt(t, fixture.flow.Move(true), request.AttemptTransfer, "runner-2", 0)
		require.Equal(t, "stream-1", transfer.StreamID())
		require.Equal(t, "runner-1", transfer.From().ID())
	})
}

// TestAdopt checks a stream that another node began and whose caller has tokens
// that this node lacks.
func TestAdopt(t *testing.T) {
	begin := func(t *testing.T, req *request.Request) *fixture {
		fixture := newFixture(req.WithDelivered(2))
		expectAttempt(t, fixture.flow.Adopt(fixture.servers[0], "stream-1", nil), request.AttemptResume, "runner-1", 0)
		return fixture
	}
	seeded := request.New("req-1", "garage-north", chatRoute, "", request.NewPrompt("m", nil, 0, 7), 1000)
	t.Run("the stream exists: read from its beginning", func(t *testing.T) {
		expectChunk(t, begin(t, chatRequest()), 1, 0, "abc", "abc")
	})
	t.Run("the stream is lost and was sampled: incomplete", func(t *testing.T) {
		expectFailure[*request.IncompleteError](t, begin(t, chatRequest()).flow.Broken(1, request.CauseGone))
	})
	t.Run("the stream is lost and is deterministic: run again", func(t *testing.T) {
		expectAttempt(t, begin(t, seeded).flow.Broken(1, request.CauseGone), request.AttemptFresh, "runner-2", 0)
	})
	t.Run("lost after the caller's tokens were read: continued", func(t *testing.T) {
		fixture := begin(t, chatRequest())
		expectChunk(t, fixture, 1, 0, "ab", "ab")
		expectAttempt(t, fixture.flow.Broken(1, request.CauseGone), request.AttemptContinue, "runner-2", 2)
	})
	t.Run("lost and the prompt is unknown: incomplete", func(t *testing.T) {
		fixture := begin(t, chatRequest().WithoutPrompt())
		expectChunk(t, fixture, 1, 0, "abc", "abc")
		expectFailure[*request.IncompleteError](t, fixture.flow.Broken(1, request.CauseGone))
	})
	t.Run("shorter than the caller's tokens: incomplete", func(t *testing.T) {
		fixture := begin(t, seeded)
		expectChunk(t, fixture, 1, 0, "a", "a")
		expectFailure[*request.IncompleteError](t, fixture.flow.Ended(1, 1))
	})
	t.Run("with side effects and no stream: outcome unknown", func(t *testing.T) {
		routeConfig := chatRoute.WithNonIdempotent(true)
		fixture := newFixture(request.New("req-1", "garage-north", routeConfig, "", request.Prompt{}, 1000))
		expectFailure[*request.OutcomeUnknownError](t, fixture.flow.Adopt(nil, "", nil))
	})
}

// TestAnswersMachine draws chunks that are delayed, duplicated, reordered and cut,
// early end marks, breaks, moves and late messages of abandoned attempts. Each
// generation samples tokens of its own after those passed to it. The oracle is the
// list of generations: delivered tokens never change, are always the beginning of
// one generation, and finally are all of one whose end mark arrived.
func TestAnswersMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machine := newAnswersMachine()
		machine.apply(t, machine.fixture.flow.Start())
		t.Repeat(map[string]func(*rapid.T){
			"": machine.check,
			"chunk": func(t *rapid.T) {
				attempt := machine.drawAttempt(t)
				generation := machine.generations[attempt]
				from := rapid.IntRange(0, len(generation)).Draw(t, "from")
				to := rapid.IntRange(from, len(generation)).Draw(t, "to")
				_, action := machine.fixture.flow.Chunk(attempt, from, generation[from:to])
				machine.apply(t, action)
			},
			"end": func(t *rapid.T) {
				attempt := machine.drawAttempt(t)
				machine.ended[attempt] = true
				machine.apply(t, machine.fixture.flow.Ended(attempt, len(machine.generations[attempt])))
			},
			"break": func(t *rapid.T) {
				cause := rapid.SampledFrom([]request.Cause{request.CauseCut, request.CauseSilent, request.CauseGone, request.CauseRefused}).Draw(t, "cause")
				machine.apply(t, machine.fixture.flow.Broken(machine.drawAttempt(t), cause))
			},
			"move": func(t *rapid.T) {
				machine.apply(t, machine.fixture.flow.Move(rapid.Bool().Draw(t, "transfer")))
			},
		})
	})
}

type answersMachine struct {
	fixture     *fixture
	generations map[int][]string
	ended       map[int]bool
	attempts    int
	delivered   []string
	finished    bool
}

func newAnswersMachine() *answersMachine {
	return &answersMachine{fixture: newFixture(chatRequest()), generations: map[int][]string{}, ended: map[int]bool{}}
}

func (machine *answersMachine) drawAttempt(t *rapid.T) int {
	return rapid.IntRange(1, machine.attempts).Draw(t, "attempt")
}

func (machine *answersMachine) apply(t *rapid.T, action request.Action) {
	machine.finished = machine.finished || action.Kind() == request.ActionFinish
	if action.Kind() != request.ActionAttempt {
		return
	}
	attempt := action.Attempt()
	machine.attempts = attempt.Number()
	machine.fixture.flow.Sent(attempt.Number())
	machine.fixture.flow.Stream(attempt.Number(), fmt.Sprint("stream-", attempt.Number()))
	if attempt.Mode() == request.AttemptResume || attempt.Mode() == request.AttemptTransfer {
		machine.generations[attempt.Number()] = machine.generationOf(attempt.StreamID())
		return
	}
	generation := attempt.Tokens()
	for i := range rapid.IntRange(0, 6).Draw(t, "more") {
		generation = append(generation, fmt.Sprintf("%d.%d", attempt.Number(), i))
	}
	machine.generations[attempt.Number()] = generation
}

func (machine *answersMachine) generationOf(streamID string) []string {
	var attempt int
	_, _ = fmt.Sscanf(streamID, "stream-%d", &attempt)
	return machine.generations[attempt]
}

func (machine *answersMachine) check(t *rapid.T) {
	tokens := machine.fixture.flow.Tokens()
	require.GreaterOrEqual(t, len(tokens), len(machine.delivered))
	require.Equal(t, machine.delivered, append([]string(nil), tokens[:len(machine.delivered)]...), "delivered tokens never change")
	machine.delivered = append([]string(nil), tokens...)
	isPrefix, complete := false, false
	for attempt, generation := range machine.generations {
		isBeginning := len(tokens) <= len(generation) && fmt.Sprint(tokens) == fmt.Sprint(generation[:len(tokens)])
		isPrefix = isPrefix || isBeginning
		complete = complete || (isBeginning && len(tokens) == len(generation) && machine.ended[attempt])
	}
	require.True(t, isPrefix, "delivered tokens are the beginning of one generation")
	require.True(t, complete || !machine.finished, "a response ends complete and with an end mark")
}
