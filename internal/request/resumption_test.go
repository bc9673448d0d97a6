package request_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/request"
)

func TestEventID(t *testing.T) {
	id := request.NewID(0xabc, [12]byte{1, 2, 3})
	expect := func(text string, count int, ok bool) {
		t.Helper()
		requestID, tokens, parsed := request.ParseEventID(text)
		require.Equal(t, ok, parsed, text)
		if ok {
			require.Equal(t, id, requestID)
			require.Equal(t, count, tokens)
		}
	}
	expect(request.EventID(id, 7), 7, true)
	expect(request.EventID(id, 0), 0, true)
	for _, text := range []string{"", id, id + ":", id + ":-1", id + ":x", "req-1:2", "x" + id + ":1", id + "00:1", id[:len(id)-1] + "G:1", id[:len(id)-1] + "A:1"} {
		expect(text, 0, false)
	}
	tag, ok := request.ParseID(id)
	require.True(t, ok)
	require.EqualValues(t, 0xabc, tag)
}

func TestMatches(t *testing.T) {
	prompt := request.NewPrompt("desk-small", []request.Message{request.NewMessage("user", "a")}, 5, 0)
	req := request.New("req-1", "garage-north", chatRoute, "", prompt, 0)
	expect := func(resumption request.Resumption, req *request.Request, matches bool) {
		t.Helper()
		require.Equal(t, matches, resumption.Matches(req))
	}
	withoutPrompt := request.NewResumption("req-1", "garage-north", 0)
	expect(withoutPrompt, req, true)
	expect(withoutPrompt.WithPrompt(prompt), req, true)
	expect(withoutPrompt.WithPrompt(request.NewPrompt("desk-small", nil, 5, 0)), req, false)
	expect(withoutPrompt.WithPrompt(request.NewPrompt("desk-small", nil, 5, 0)), req.WithoutPrompt(), true)
	expect(request.NewResumption("req-1", "garage-south", 0), req, false)
}

func TestDeterministic(t *testing.T) {
	zero, nonZero := 0.0, 0.7
	expect := func(seed int64, temperature *float64, deterministic bool) {
		t.Helper()
		prompt := request.NewPrompt("m", nil, 0, seed).WithSampling(request.NewSampling(temperature, nil))
		require.Equal(t, deterministic, prompt.Deterministic())
	}
	expect(0, nil, false)
	expect(0, &nonZero, false)
	expect(0, &zero, true)
	expect(7, &nonZero, true)
}

func TestPlanMove(t *testing.T) {
	expect := func(name string, move request.Move, prompt, tokens, maxTokens int, perToken, notice clock.Millis) {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, move, request.PlanMove(request.NewStreamState(prompt, tokens, maxTokens, perToken, notice)))
		})
	}
	expect("ends in time: stays", request.MoveStay, 4000, 100, 1000, 20, 30*clock.Second)
	expect("too long, long context: transfer", request.MoveTransfer, 3900, 100, 1000, 50, 30*clock.Second)
	expect("too long, no time to transfer: continues", request.MoveContinue, 3900, 100, 1000, 50, 400)
	expect("too long, context too short for a transfer: continues", request.MoveContinue, 5, 10, 1000, 50, 30*clock.Second)
	expect("length not known: typical length", request.MoveTransfer, 400, 10, 0, 50, 5*clock.Second)
	expect("length not known, almost done: stays", request.MoveStay, 400, 215, 0, 50, 5*clock.Second)
	expect("no time left: continues", request.MoveContinue, 3900, 100, 1000, 50, 0)
}
