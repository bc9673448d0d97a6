package edge_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/operator/operatorcli"
	"sapphirehead/internal/placement/placementhttp"
	"sapphirehead/internal/standin/enginestandin"
)

// whereRaw sends a query and returns the status and the body of the response.
func (fixture *fixture) whereRaw(query string) (int, []byte) {
	fixture.t.Helper()
	httpResponse, err := fixture.client.Get("http://" + fixture.node.Addresses()["metrics"] + placementhttp.Path + "?" + query)
	require.NoError(fixture.t, err)
	defer httpResponse.Body.Close()
	body, err := io.ReadAll(httpResponse.Body)
	require.NoError(fixture.t, err)
	return httpResponse.StatusCode, body
}

func (fixture *fixture) where(query placementhttp.Query) placementhttp.Answer {
	fixture.t.Helper()
	status, body := fixture.whereRaw(query.Encode())
	require.Equal(fixture.t, http.StatusOK, status, string(body))
	var answer placementhttp.Answer
	require.NoError(fixture.t, json.Unmarshal(body, &answer))
	return answer
}

// ranAt returns the id of the server that ran a request of the path.
func (fixture *fixture) ranAt(path string) string {
	fixture.t.Helper()
	for name, servers := range map[string][]*enginestandin.Engine{"chat-": fixture.chats, "app-": fixture.apps} {
		for i, server := range servers {
			for _, executed := range server.Executed() {
				if executed.Target() == path {
					return fmt.Sprint(name, i)
				}
			}
		}
	}
	return ""
}

// TestWhereNamesTheServer guards against an explanation that names another server than the
// one to which the node then sends the request.
func TestWhereNamesTheServer(t *testing.T) {
	fixture := newFixture(t)
	t.Run("engines", func(t *testing.T) {
		seen := map[string]bool{}
		// Twenty such requests stay within the allotment.
		for i := 0; i < 4 || (i < 20 && len(seen) < 2); i++ {
			parts, path := fmt.Sprintf("first:800,session-%d:3000,last:250", i), fmt.Sprint("/chat/", i)
			answer := fixture.where(placementhttp.Query{Route: "chat", Account: "garage", Parts: parts, Tokens: "4050,80"})
			require.True(t, answer.Admitted, answer)
			require.Len(t, answer.Candidates, 2)
			require.True(t, answer.Candidates[0].Estimate.Preferred)
			require.InDelta(t, 1.0, answer.Candidates[0].Estimate.CachedShare, 0)
			require.Equal(t, 250, answer.Candidates[0].Estimate.UncachedTokens)
			require.Equal(t, 3250, answer.Candidates[1].Estimate.UncachedTokens)
			require.Equal(t, http.StatusOK, fixture.call(http.MethodPost, path, func(request *http.Request) {
				request.Header.Set("X-Prompt-Prefix", parts)
				request.Header.Set("X-Token-Counts", "4050,80")
			}).status)
			require.Equal(t, fixture.ranAt(path), answer.Candidates[0].ID)
			seen[answer.Candidates[0].ID] = true
		}
		require.Len(t, seen, 2)
	})
	t.Run("application servers", func(t *testing.T) {
		// The differences are so large that the random part of the order doesn't matter.
		requests := 6
		for i, busy := range []string{"app-0", "app-1", "app-0"} {
			for range requests {
				defer fixture.node.Server(busy).Begin()()
			}
			requests *= 3
			path := fmt.Sprint("/look/", i)
			answer := fixture.where(placementhttp.Query{Host: "desk.example", Path: path, Account: "garage"})
			require.True(t, answer.Admitted, answer)
			require.Equal(t, "look", answer.Route)
			require.Equal(t, busy, answer.Candidates[1].ID)
			require.Equal(t, http.StatusOK, fixture.call(http.MethodGet, path).status)
			require.Equal(t, fixture.ranAt(path), answer.Candidates[0].ID)
		}
	})
}

// TestWhereLeavesServersOut guards against an explanation that doesn't name the servers
// which get no requests, or another reason.
func TestWhereLeavesServersOut(t *testing.T) {
	fixture := newFixture(t)
	expectLeftOut := func(t *testing.T, id, reason string, query placementhttp.Query, send func() response) placementhttp.Server {
		t.Helper()
		answer := fixture.where(query)
		require.True(t, answer.Admitted, answer)
		require.Len(t, answer.LeftOut, 1)
		require.Equal(t, id, answer.LeftOut[0].ID)
		require.Equal(t, reason, answer.LeftOut[0].LeftOut)
		require.Len(t, answer.Candidates, 1)
		for range 5 {
			require.Equal(t, http.StatusOK, send().status)
		}
		return answer.LeftOut[0]
	}
	look := func() response { return fixture.call(http.MethodGet, "/look/a") }
	t.Run("a limit", func(t *testing.T) {
		fixture.node.Server("app-0").RateLimit().Pause(clock.Minute, clock.System().Now())
		server := expectLeftOut(t, "app-0", "limit", placementhttp.Query{Route: "look", Account: "garage"}, look)
		require.Positive(t, server.LimitWait)
	})
	t.Run("an open circuit", func(t *testing.T) {
		for range 10 {
			// Each failure leaves the circuit open for longer.
			fixture.node.Server("chat-0").Circuit().Trip(clock.System().Now())
		}
		expectLeftOut(t, "chat-0", "circuitOpen", placementhttp.Query{Route: "chat", Account: "garage"}, func() response { return fixture.call(http.MethodPost, "/chat/a") })
		require.Empty(t, fixture.chats[0].Executed())
	})
	t.Run("leaving", func(t *testing.T) {
		fixture.node.Server("app-0").MarkLeaving()
		expectLeftOut(t, "app-0", "leaving", placementhttp.Query{Route: "look", Account: "garage"}, look)
		require.Empty(t, fixture.apps[0].Executed())
	})
	t.Run("another release", func(t *testing.T) {
		answer := fixture.where(placementhttp.Query{Route: "resume", Account: "garage", SoftwareVersion: "v2"})
		require.Equal(t, placementhttp.BoundNoServer, answer.Bound)
		for _, server := range answer.LeftOut {
			require.Equal(t, "otherRelease", server.LeftOut)
		}
		require.Len(t, answer.LeftOut, 2)
	})
}

// TestWhereRefused guards against an explanation that admits what the node refuses, or names
// another bound.
func TestWhereRefused(t *testing.T) {
	fixture := newFixture(t)
	expectRefused := func(t *testing.T, bound string, query placementhttp.Query) placementhttp.Answer {
		t.Helper()
		answer := fixture.where(query)
		require.False(t, answer.Admitted)
		require.Equal(t, bound, answer.Bound)
		require.NotEmpty(t, answer.Reason)
		return answer
	}
	t.Run("unknown route", func(t *testing.T) {
		expectRefused(t, placementhttp.BoundRoute, placementhttp.Query{Route: "nothing"})
		expectRefused(t, placementhttp.BoundRoute, placementhttp.Query{Host: "desk.example", Path: "/nothing/a"})
	})
	t.Run("unknown account", func(t *testing.T) {
		expectRefused(t, placementhttp.BoundAccount, placementhttp.Query{Route: "look", Account: "nobody"})
		require.True(t, fixture.where(placementhttp.Query{Route: "open"}).Admitted)
	})
	t.Run("allotment", func(t *testing.T) {
		small := func(request *http.Request) { request.Header.Set("Authorization", "Token key-of-small") }
		for range maxTries {
			if fixture.call(http.MethodGet, "/look/a", small).status != http.StatusOK {
				break
			}
		}
		answer := expectRefused(t, placementhttp.BoundAllotment, placementhttp.Query{Route: "look", Account: "small"})
		require.Positive(t, answer.RetryMillis)
		require.Equal(t, 10, answer.Allotment.Cost)
		require.Len(t, answer.Candidates, 2)
	})
	t.Run("lateness", func(t *testing.T) {
		for _, id := range []string{"chat-0", "chat-1"} {
			defer fixture.node.Server(id).Work().Queue(10_000_000)()
		}
		answer := expectRefused(t, placementhttp.BoundLateness, placementhttp.Query{Route: "chat", Account: "garage", Tokens: "100,10"})
		require.Greater(t, answer.Lateness.Expected, answer.Lateness.Deadline)
		require.Greater(t, answer.Lateness.Queue, answer.Lateness.MinQueue)
		require.Equal(t, http.StatusServiceUnavailable, fixture.call(http.MethodPost, "/chat/a").status)
	})
	for name, query := range map[string]string{
		"no route": "account=garage", "host without path": "host=desk.example", "route and path": "route=chat&host=h&path=/", "an unknown parameter": "route=chat&colour=red",
		"bad parts": "route=chat&parts=a", "bad tokens": "route=chat&tokens=many", "twice": "route=chat&route=look", "not decodable": "route=%zz",
	} {
		t.Run("bad query: "+name, func(t *testing.T) {
			status, body := fixture.whereRaw(query)
			require.Equal(t, http.StatusBadRequest, status)
			var problem placementhttp.Problem
			require.NoError(t, json.Unmarshal(body, &problem))
			require.NotEmpty(t, problem.Reason)
		})
	}
}

// TestWhereCommand guards against output of sapphirectl where that lacks the decision, the
// servers or their order, and against bad queries that are reported as something else.
func TestWhereCommand(t *testing.T) {
	fixture := newFixture(t)
	run := func(arguments ...string) (operatorcli.ExitStatus, string) {
		var output bytes.Buffer
		arguments = append([]string{"where", "--at", fixture.node.Addresses()["metrics"]}, arguments...)
		status := operatorcli.Main(arguments, clock.System(), strings.NewReader(""), &output, &output, nil, "v1")
		return operatorcli.ExitStatus(status), output.String()
	}
	request := []string{"--route", "chat", "--parts", "a:800,b:8410,c:250", "--tokens", "9460,80", "--account", "garage"}
	fixture.node.Server("app-0").RateLimit().Pause(clock.Minute, clock.System().Now())
	t.Run("table", func(t *testing.T) {
		status, output := run(request...)
		require.Equal(t, operatorcli.ExitOK, status, output)
		require.Regexp(t, `(?s)it would be sent to (chat-\d)\n.*allotment of garage: costs 9540 tokens.*lateness: .*\nCANDIDATE .*\n(chat-\d) .*100% .*preferred\nchat-\d`, output)
		t.Log(output)
		status, output = run("--route", "look", "--account", "garage")
		require.Equal(t, operatorcli.ExitOK, status, output)
		require.Regexp(t, `(?s)LEFT OUT .*\napp-0 .*limit, for \d+ ms`, output)
		t.Log(output)
	})
	t.Run("JSON", func(t *testing.T) {
		status, output := run(append(request, "-o", "json")...)
		require.Equal(t, operatorcli.ExitOK, status, output)
		var answer placementhttp.Answer
		require.NoError(t, json.Unmarshal([]byte(output), &answer))
		require.Len(t, answer.Candidates, 2)
	})
	t.Run("refused", func(t *testing.T) {
		status, output := run("--route", "nothing")
		require.Equal(t, operatorcli.ExitOK, status, output)
		require.Contains(t, output, "it would be refused by unknownRoute: no such route")
	})
	t.Run("bad query", func(t *testing.T) {
		for _, arguments := range [][]string{{"--route", "chat", "--tokens", "many"}, {"--host", "desk.example"}, {}} {
			status, output := run(arguments...)
			require.Equal(t, operatorcli.ExitUsage, status, output)
		}
	})
}

// TestWhereChangesNothing guards against queries that use up an allotment or a limit, or that
// count as requests.
func TestWhereChangesNothing(t *testing.T) {
	fixture := newFixture(t)
	now := clock.System().Now()
	limit := fixture.node.Server("app-0").RateLimit()
	limit.Observe(backend.NewStatement(1), now, now)
	counted := func() string {
		httpResponse, err := fixture.client.Get("http://" + fixture.node.Addresses()["metrics"] + "/metrics")
		require.NoError(t, err)
		defer httpResponse.Body.Close()
		metrics := map[string]json.RawMessage{}
		require.NoError(t, json.NewDecoder(httpResponse.Body).Decode(&metrics))
		var counts strings.Builder
		for _, name := range []string{"answers", "outcomes", "wholeAnswerMillis", "estimateGapMillis", "connectionsOpened", "retriesRefused"} {
			fmt.Fprintf(&counts, "%s %s\n", name, metrics[name])
		}
		return counts.String()
	}
	before, level := counted(), limit.Level(now+clock.Minute)
	for range 50 {
		fixture.where(placementhttp.Query{Route: "look", Account: "small"})
		fixture.where(placementhttp.Query{Route: "chat", Account: "garage", Parts: "a:800,b:410,c:250", Tokens: "1460,80"})
	}
	require.Equal(t, before, counted())
	require.InDelta(t, level, limit.Level(now+clock.Minute), 0)
	require.Zero(t, fixture.node.UsedBy("small"))
	require.Zero(t, countRuns(fixture.apps)+countRuns(fixture.chats))
	require.False(t, limit.Borrows(clock.System().Now()))
	require.Equal(t, http.StatusOK, fixture.call(http.MethodGet, "/look/a", func(request *http.Request) { request.Header.Set("Authorization", "Token key-of-small") }).status)
}
