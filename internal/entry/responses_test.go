package entry

import (
	"context"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/request"
)

var longChat = chat{content: "Summarise the renewal history of account 5", maxTokens: 12, stream: true}

// startRunners makes every runner but the given one generate until the test
// ends.
func (cluster *cluster) startRunners(except *testRunner) {
	for _, runner := range cluster.runners {
		if runner != except {
			go runner.stepClock.fireAll(cluster.t.Context())
		}
	}
}

// TestBrokenStreams checks that a response is complete although its runner dies or
// the connection to the runner goes silent mid-stream.
func TestBrokenStreams(t *testing.T) {
	setUp := func(t *testing.T) (*cluster, *clock.Manual, *stream, *testRunner) {
		manual := clock.NewManual(1000)
		cluster := newCluster(t, manual.Clock(), 2, 1)
		opened, runner := cluster.startChat(0, longChat)
		runner.stepClock.step(3)
		opened.read(4)
		return cluster, manual, opened, runner
	}
	t.Run("runner killed", func(t *testing.T) {
		cluster, _, opened, runner := setUp(t)
		runner.kill()
		cluster.startRunners(runner)
		expectComplete(t, longChat, opened)
	})
	t.Run("connections permanently silent, new ones work", func(t *testing.T) {
		cluster, manual, opened, runner := setUp(t)
		before := runner.listener.accepted.Load()
		runner.listener.silence()
		runner.stepClock.step(2)
		manual.Advance(silenceBetweenFloor)
		cluster.startRunners(nil)
		expectComplete(t, longChat, opened)
		require.Greater(t, runner.listener.accepted.Load(), before)
		require.Zero(t, runner.recomputed(t), "resumed, not run again")
	})
}

// TestReclaimedRunner checks that a stream moves off its runner before the
// runner ends, and how many tokens the move recomputes.
func TestReclaimedRunner(t *testing.T) {
	const notice = 400 * clock.Millisecond
	move := func(t *testing.T, chat chat) int64 {
		t.Helper()
		cluster := newCluster(t, clock.NewManual(1000).Clock(), 2, 1)
		opened, runner := cluster.startChat(0, chat)
		successor := cluster.otherRunner(runner)
		cluster.entries[0].addNotice(runner.id, notice)
		successor.stepClock.step(2)
		opened.read(2)
		runner.kill()
		cluster.startRunners(runner)
		expectComplete(t, chat, opened)
		return successor.recomputed(t)
	}
	t.Run("short context: continued elsewhere", func(t *testing.T) {
		require.Positive(t, move(t, longChat))
	})
	t.Run("long context: the KV cache moves, nothing is recomputed", func(t *testing.T) {
		long := longChat
		for range 10 {
			long.content += " and then the pressure drop before and after"
		}
		require.Zero(t, move(t, long))
	})
}

// TestReturn checks the response to a caller that reconnects with
// Last-Event-ID.
func TestReturn(t *testing.T) {
	setUp := func(t *testing.T) (*cluster, *stream, *testRunner) {
		cluster := newCluster(t, clock.NewManual(1000).Clock(), 2, 2)
		opened, runner := cluster.startChat(0, longChat)
		runner.stepClock.step(3)
		opened.read(4)
		opened.body.Close()
		return cluster, opened, runner
	}
	for i, name := range []string{"same entry host", "another entry host"} {
		t.Run("repeats the request at the "+name, func(t *testing.T) {
			cluster, opened, runner := setUp(t)
			cluster.startRunners(nil)
			expectComplete(t, longChat, opened, cluster.post(i, opened.lastID, longChat))
			require.Zero(t, runner.recomputed(t))
		})
		t.Run("asks for the stream at the "+name, func(t *testing.T) {
			cluster, opened, _ := setUp(t)
			cluster.startRunners(nil)
			expectComplete(t, longChat, opened, cluster.send(i, http.MethodGet, "/v1/streams/"+opened.id(), testAccount, opened.lastID, nil))
		})
		t.Run("repeats another request at the "+name+": not found", func(t *testing.T) {
			cluster, opened, _ := setUp(t)
			another := longChat
			another.content += "?"
			expectError(t, cluster.post(i, opened.lastID, another), http.StatusNotFound, "streamNotFound")
		})
		t.Run("another client account at the "+name+": not found", func(t *testing.T) {
			cluster, opened, _ := setUp(t)
			expectError(t, cluster.send(i, http.MethodGet, "/v1/streams/"+opened.id(), otherKey, opened.lastID, nil), http.StatusNotFound, "streamNotFound")
		})
	}
	t.Run("malformed id", func(t *testing.T) {
		cluster, _, _ := setUp(t)
		expectError(t, cluster.post(0, "req-1:2", longChat), http.StatusBadRequest, "badRequest")
	})
}

// TestEntryHostDies checks that a caller can resume at another entry host after
// the one that served it died without notice.
func TestEntryHostDies(t *testing.T) {
	setUp := func(t *testing.T, chat chat, hinted bool) (*cluster, *stream, *testRunner) {
		cluster := newCluster(t, clock.System(), 2, 2)
		opened, runner := cluster.startChat(0, chat)
		first := cluster.entries[0]
		if hinted {
			require.NoError(t, first.pushHints(t.Context(), first.responses.Active()))
		}
		cluster.kill(0)
		return cluster, opened, runner
	}
	seeded := longChat
	seeded.seed = 7
	t.Run("the hint leads to the stream", func(t *testing.T) {
		cluster, opened, runner := setUp(t, longChat, true)
		cluster.startRunners(nil)
		expectComplete(t, longChat, opened, cluster.post(1, opened.lastID, longChat))
		require.Zero(t, runner.recomputed(t))
	})
	t.Run("the hint leads to the stream without the prompt", func(t *testing.T) {
		cluster, opened, _ := setUp(t, longChat, true)
		cluster.startRunners(nil)
		expectComplete(t, longChat, opened, cluster.send(1, http.MethodGet, "/v1/streams/"+opened.id(), testAccount, opened.lastID, nil))
	})
	t.Run("the hint is for another prompt: not found", func(t *testing.T) {
		cluster, opened, _ := setUp(t, longChat, true)
		expectError(t, cluster.post(1, opened.lastID, seeded), http.StatusNotFound, "streamNotFound")
	})
	t.Run("the runner dies too, sampled: incomplete", func(t *testing.T) {
		cluster, opened, runner := setUp(t, longChat, true)
		runner.kill()
		expectError(t, cluster.post(1, opened.lastID, longChat), http.StatusGatewayTimeout, "incomplete")
	})
	t.Run("the runner dies too, with a seed: run again", func(t *testing.T) {
		cluster, opened, runner := setUp(t, seeded, true)
		runner.kill()
		cluster.startRunners(runner)
		expectComplete(t, seeded, opened, cluster.post(1, opened.lastID, seeded))
	})
	t.Run("no node has the response, sampled: incomplete", func(t *testing.T) {
		cluster, _, _ := setUp(t, longChat, false)
		unknown := request.EventID(request.NewID(cluster.entries[0].tag(), [12]byte{1}), 1)
		expectError(t, cluster.post(1, unknown, longChat), http.StatusGatewayTimeout, "incomplete")
	})
}

// TestPlannedStop checks that a stopping entry host hands over the streams that
// do not finish within its grace, and that callers get the rest from another
// one.
func TestPlannedStop(t *testing.T) {
	setUp := func(t *testing.T, entries int) (*cluster, *stream) {
		cluster := newCluster(t, clock.System(), 1, entries)
		opened, _ := cluster.startChat(0, longChat)
		return cluster, opened
	}
	stop := func(cluster *cluster, i int) {
		cluster.stops[i]()
		<-cluster.done[i]
	}
	t.Run("streaming caller: cut without an end mark, then reconnects", func(t *testing.T) {
		cluster, opened := setUp(t, 2)
		stop(cluster, 0)
		require.Error(t, opened.readRest())
		cluster.startRunners(nil)
		expectComplete(t, longChat, opened, cluster.post(1, opened.lastID, longChat))
	})
	t.Run("two entry hosts stop one after the other", func(t *testing.T) {
		cluster, opened := setUp(t, 3)
		stop(cluster, 0)
		require.Error(t, opened.readRest())
		stop(cluster, 1)
		cluster.startRunners(nil)
		expectComplete(t, longChat, opened, cluster.post(2, opened.lastID, longChat))
	})
	t.Run("two entry hosts stop at once", func(t *testing.T) {
		cluster, opened := setUp(t, 3)
		cluster.stops[1]()
		stop(cluster, 0)
		<-cluster.done[1]
		require.Error(t, opened.readRest())
		cluster.startRunners(nil)
		expectComplete(t, longChat, opened, cluster.post(2, opened.lastID, longChat))
	})
	t.Run("the peer that adopted the stream dies", func(t *testing.T) {
		cluster, opened := setUp(t, 3)
		stop(cluster, 0)
		require.Error(t, opened.readRest())
		holder := 1
		if _, ok := cluster.entries[2].responses.Find(opened.id()); ok {
			holder = 2
		}
		require.NoError(t, cluster.entries[holder].pushHints(t.Context(), cluster.entries[holder].responses.Active()))
		cluster.kill(holder)
		cluster.startRunners(nil)
		expectComplete(t, longChat, opened, cluster.post(3-holder, opened.lastID, longChat))
	})
	t.Run("a stream that fits into the grace is not cut", func(t *testing.T) {
		cluster, opened := setUp(t, 2)
		cluster.startRunners(nil)
		stop(cluster, 0)
		expectComplete(t, longChat, opened)
	})
	t.Run("caller without streaming: redirected to another entry host", func(t *testing.T) {
		cluster := newCluster(t, clock.System(), 1, 2)
		unstreamed := longChat
		unstreamed.stream = false
		responses := make(chan *stream, 1)
		go func() { responses <- cluster.post(0, "", unstreamed) }()
		cluster.firstTimer().stepClock.step(2)
		stop(cluster, 0)
		response := <-responses
		require.Equal(t, http.StatusSeeOther, response.status)
		cluster.startRunners(nil)
		result := cluster.send(1, http.MethodGet, response.header.Get("Location"), testAccount, "", nil)
		require.Equal(t, http.StatusOK, result.status)
		expectCompletion(t, unstreamed, result)
	})
	t.Run("reclaimed by the cloud: within the notice", func(t *testing.T) {
		cluster, opened := setUp(t, 2)
		cluster.entries[0].recordReclaim(2 * clock.Second)
		<-cluster.done[0]
		require.Error(t, opened.readRest())
		cluster.startRunners(nil)
		expectComplete(t, longChat, opened, cluster.post(1, opened.lastID, longChat))
	})
	t.Run("second signal: stops at once", func(t *testing.T) {
		cluster := newCluster(t, clock.NewManual(1000).Clock(), 1, 1)
		cluster.startChat(0, longChat)
		cluster.stops[0]()
		cluster.kill(0)
	})
}

// TestCallerLeaves checks that a generation continues for exactly the grace
// after its caller disconnected.
func TestCallerLeaves(t *testing.T) {
	manual := clock.NewManual(1000)
	cluster := newCluster(t, manual.Clock(), 1, 1)
	opened, _ := cluster.startChat(0, longChat)
	response, ok := cluster.entries[0].responses.Find(opened.id())
	require.True(t, ok)
	opened.body.Close()
	for response.readers.Load() > 0 {
		require.NoError(t, clock.System().Wait(context.Background(), 1))
	}
	manual.Advance(disconnectGrace - 1)
	require.NoError(t, response.ctx.Err())
	manual.Advance(1)
	<-response.finished
	_, err := response.journal.State().Finished()
	require.True(t, isUnattended(err), "%v", err)
}
