package edge_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/standin/enginestandin"
	"sapphirehead/internal/standin/storestandin"
)

func TestServe(t *testing.T) {
	fixture := newFixture(t)
	expectStatus := func(t *testing.T, got response, status int) {
		t.Helper()
		require.NoError(t, got.err)
		require.Equal(t, status, got.status, got.body)
	}
	t.Run("a request is forwarded unchanged", func(t *testing.T) {
		got := fixture.call(http.MethodPost, "/look/a%2Fb/../c//d?x=1&x=%20", func(request *http.Request) {
			request.URL.Opaque = "/look/a%2Fb/../c//d"
			request.Header.Set("X-Tenant", "forged")
			request.Header.Set("X-Kv-Hold", "forged")
			request.Header.Set("X-Note", "kept")
		})
		expectStatus(t, got, http.StatusOK)
		require.Contains(t, got.body, "answer to r-")
		require.NotEmpty(t, got.header.Get("X-Response-Stamp"))
		all := append(fixture.apps[0].Executed(), fixture.apps[1].Executed()...)
		require.Len(t, all, 1)
		require.Equal(t, "/look/a%2Fb/../c//d?x=1&x=%20", all[0].Target())
		require.Equal(t, "garage", all[0].Account())
		require.Equal(t, "body of /look/a%2Fb/../c//d?x=1&x=%20", all[0].Body())
		require.Empty(t, all[0].Header().Get("X-Kv-Hold"))
		require.Empty(t, all[0].Header().Get("Authorization"))
		require.Empty(t, all[0].Header().Get("Accept-Encoding-Added"))
		require.Equal(t, "kept", all[0].Header().Get("X-Note"))
	})
	t.Run("a stream is relayed completely", func(t *testing.T) {
		got := fixture.call(http.MethodPost, "/chat/a")
		expectStatus(t, got, http.StatusOK)
		require.Equal(t, wholeStream(), got.body)
	})
	t.Run("a failed idempotent request is retried at the other server", func(t *testing.T) {
		before := countRuns(fixture.apps)
		setManners(fixture.apps, enginestandin.BehaviourFail)
		got := fixture.call(http.MethodGet, "/look/b")
		require.NoError(t, got.err)
		require.Equal(t, before+2, countRuns(fixture.apps))
		setManners(fixture.apps)
	})
	t.Run("a booking whose response is lost ends as unknown and runs once", func(t *testing.T) {
		before := countRuns(fixture.apps)
		setManners(fixture.apps, enginestandin.BehaviourCut)
		expectStatus(t, fixture.call(http.MethodPost, "/book/a"), http.StatusBadGateway)
		require.Equal(t, before+1, countRuns(fixture.apps))
		setManners(fixture.apps)
	})
	t.Run("a booking that was refused goes to the other server", func(t *testing.T) {
		before := countRuns(fixture.apps)
		fixture.apps[0].SetBehaviours(enginestandin.BehaviourRefuse)
		fixture.apps[1].SetBehaviours()
		for range 3 {
			expectStatus(t, fixture.call(http.MethodPost, "/book/b"), http.StatusOK)
		}
		require.Equal(t, before+3, countRuns(fixture.apps))
	})
	t.Run("a booking that no server ran is refused with Retry-After", func(t *testing.T) {
		before := countRuns(fixture.apps)
		setManners(fixture.apps, enginestandin.BehaviourRefuse)
		got := fixture.call(http.MethodPost, "/book/c")
		expectStatus(t, got, http.StatusServiceUnavailable)
		require.NotEmpty(t, got.header.Get("Retry-After"))
		require.Empty(t, got.header.Get("X-Response-Stamp"))
		require.Equal(t, before, countRuns(fixture.apps))
		setManners(fixture.apps)
	})
	t.Run("a plain 503 of a server does not prove that the request did not run", func(t *testing.T) {
		setManners(fixture.apps, enginestandin.BehaviourBusy)
		expectStatus(t, fixture.call(http.MethodPost, "/book/d"), http.StatusBadGateway)
		setManners(fixture.apps)
	})
	t.Run("a response to another request is not relayed", func(t *testing.T) {
		setManners(fixture.apps, enginestandin.BehaviourWrongRequest)
		expectStatus(t, fixture.call(http.MethodPost, "/book/e"), http.StatusBadGateway)
		setManners(fixture.apps)
	})
	t.Run("a truncated response is not relayed as complete", func(t *testing.T) {
		setManners(fixture.apps, enginestandin.BehaviourTruncate)
		expectStatus(t, fixture.call(http.MethodPost, "/book/f"), http.StatusBadGateway)
		setManners(fixture.apps)
	})
	t.Run("bytes that are not a response are not relayed", func(t *testing.T) {
		setManners(fixture.apps, enginestandin.BehaviourGarbage)
		expectStatus(t, fixture.call(http.MethodPost, "/book/g"), http.StatusBadGateway)
		setManners(fixture.apps)
		expectStatus(t, fixture.call(http.MethodPost, "/book/h"), http.StatusOK)
	})
	t.Run("a second response on a connection is discarded", func(t *testing.T) {
		setManners(fixture.apps, enginestandin.BehaviourExtra)
		for range 4 {
			got := fixture.call(http.MethodPost, "/book/i")
			expectStatus(t, got, http.StatusOK)
			require.Equal(t, fmt.Sprint("answer to r-", fixture.requestCount), got.body)
		}
		setManners(fixture.apps)
	})
	t.Run("a connection that its server closes is not reused", func(t *testing.T) {
		setManners(fixture.apps, enginestandin.BehaviourClose, enginestandin.BehaviourClose)
		for range 4 {
			expectStatus(t, fixture.call(http.MethodPost, "/book/j"), http.StatusOK)
		}
	})
	t.Run("a refusal before the body is read is accepted", func(t *testing.T) {
		before := countRuns(fixture.apps)
		setManners(fixture.apps, enginestandin.BehaviourRefuseEarly)
		got := fixture.call(http.MethodPost, "/book/k", func(request *http.Request) {
			request.Body = io.NopCloser(strings.NewReader(strings.Repeat("x", 60000)))
			request.ContentLength = 60000
		})
		expectStatus(t, got, http.StatusServiceUnavailable)
		require.Equal(t, before, countRuns(fixture.apps))
		setManners(fixture.apps)
		expectStatus(t, fixture.call(http.MethodPost, "/book/l"), http.StatusOK)
	})
	t.Run("a silent server ends at the caller's deadline", func(t *testing.T) {
		setManners(fixture.apps, enginestandin.BehaviourSilent)
		got := fixture.call(http.MethodPost, "/book/m", func(request *http.Request) { request.Header.Set("X-Deadline-Ms", "300") })
		expectStatus(t, got, http.StatusGatewayTimeout)
		setManners(fixture.apps)
	})
	t.Run("a stream that cannot be resumed is broken off between two events", func(t *testing.T) {
		setManners(fixture.chats, enginestandin.BehaviourBreakStream)
		got := fixture.call(http.MethodPost, "/chat/b")
		require.Error(t, got.err)
		require.Equal(t, "id: 0\ndata: piece 0\n\nid: 1\ndata: piece 1\n\n", got.body)
		setManners(fixture.chats)
	})
	t.Run("a stream without length ends with its connection", func(t *testing.T) {
		setManners(fixture.chats, enginestandin.BehaviourUnframed)
		got := fixture.call(http.MethodPost, "/chat/b")
		expectStatus(t, got, http.StatusOK)
		require.Equal(t, "id: 0\ndata: piece 0\n\nid: 1\ndata: piece 1\n\n", got.body)
		setManners(fixture.chats)
	})
	t.Run("a stream without length that ends within an event is broken off", func(t *testing.T) {
		setManners(fixture.chats, enginestandin.BehaviourUnframedCut)
		got := fixture.call(http.MethodPost, "/chat/b")
		require.Error(t, got.err)
		require.Equal(t, "id: 0\ndata: piece 0\n\n", got.body)
		setManners(fixture.chats)
	})
}

// TestRefusalOfAnotherRequest guards against a refusal that a server repeats on a kept
// connection and that counts for the next request there, which runs.
func TestRefusalOfAnotherRequest(t *testing.T) {
	expectRuns := func(t *testing.T, path string, status, runs int) {
		t.Helper()
		fixture := newFixture(t)
		for _, server := range fixture.apps {
			server.SetBehaviours(enginestandin.BehaviourRefuse, enginestandin.BehaviourRepeatRefusal)
		}
		require.Equal(t, http.StatusServiceUnavailable, fixture.call(http.MethodPost, "/book/a").status)
		require.Equal(t, status, fixture.call(http.MethodPost, path).status)
		require.Equal(t, runs, countRuns(fixture.apps))
	}
	t.Run("a request that may run once", func(t *testing.T) { expectRuns(t, "/book/a", http.StatusBadGateway, 1) })
	t.Run("a request that may run again", func(t *testing.T) { expectRuns(t, "/look/a", http.StatusBadGateway, 2) })
}

// TestResume checks that a caller gets a complete stream without an interruption
// if the stream breaks off at one server and resumes at the other.
func TestResume(t *testing.T) {
	fixture := newFixture(t)
	for i, server := range fixture.chats {
		server.SetBehaviours(enginestandin.BehaviourBreakStream)
		fixture.chats[1-i].SetBehaviours()
		got := fixture.call(http.MethodPost, "/resume/a")
		require.NoError(t, got.err)
		require.Equal(t, wholeStream(), got.body)
	}
}

// TestEndedHead guards against a response whose server ended within its head and that the
// caller gets as a whole one.
func TestEndedHead(t *testing.T) {
	fixture := newFixture(t)
	expectNoAnswer := func(t *testing.T, method, path string, status int) {
		t.Helper()
		for _, servers := range [][]*enginestandin.Engine{fixture.chats, fixture.apps} {
			setManners(servers, enginestandin.BehaviourEndedHead, enginestandin.BehaviourEndedHead)
		}
		got := fixture.call(method, path)
		require.NoError(t, got.err)
		require.Equal(t, status, got.status, got.body)
	}
	t.Run("a stream", func(t *testing.T) { expectNoAnswer(t, http.MethodPost, "/chat/a", http.StatusBadGateway) })
	t.Run("a stream that may be resumed", func(t *testing.T) { expectNoAnswer(t, http.MethodPost, "/resume/a", http.StatusBadGateway) })
	t.Run("a request that may be repeated", func(t *testing.T) { expectNoAnswer(t, http.MethodGet, "/look/a", http.StatusBadGateway) })
	t.Run("a request that must not be repeated", func(t *testing.T) { expectNoAnswer(t, http.MethodPost, "/book/a", http.StatusBadGateway) })
}

// TestErrorWithinStream guards against a stream that broke off and that the next server's
// error, or its lack of events, is taken for the rest of.
func TestErrorWithinStream(t *testing.T) {
	expectBroken := func(t *testing.T, next enginestandin.Behaviour) {
		t.Helper()
		fixture := newFixture(t)
		broken := false
		for _, server := range fixture.chats {
			server.SetBehaviourFunc(func() enginestandin.Behaviour {
				if broken {
					return next
				}
				broken = true
				return enginestandin.BehaviourBreakStream
			})
		}
		got := fixture.call(http.MethodPost, "/resume/a")
		require.Error(t, got.err)
		require.NotEmpty(t, got.body)
		require.True(t, strings.HasPrefix(wholeStream(), got.body), got.body)
		require.True(t, strings.HasSuffix(got.body, "\n\n"), got.body)
	}
	for name, behaviour := range map[string]enginestandin.Behaviour{
		"a rejection": enginestandin.BehaviourReject, "a failure": enginestandin.BehaviourFail,
		"a text": enginestandin.BehaviourPlain, "no event": enginestandin.BehaviourEmpty,
	} {
		t.Run(name, func(t *testing.T) { expectBroken(t, behaviour) })
	}
}

func TestDeny(t *testing.T) {
	fixture := newFixture(t)
	expectStatus := func(t *testing.T, path string, status int, edit ...func(*http.Request)) {
		t.Helper()
		before := countRuns(fixture.apps)
		got := fixture.call(http.MethodGet, path, edit...)
		require.NoError(t, got.err)
		require.Equal(t, status, got.status, got.body)
		if status != http.StatusOK {
			require.Equal(t, before, countRuns(fixture.apps))
		}
	}
	t.Run("no route", func(t *testing.T) { expectStatus(t, "/nothing/a", http.StatusNotFound) })
	t.Run("unknown key", func(t *testing.T) {
		expectStatus(t, "/look/a", http.StatusUnauthorized, func(request *http.Request) { request.Header.Set("Authorization", "Token nobody") })
	})
	t.Run("a public route needs no key", func(t *testing.T) {
		expectStatus(t, "/look/open/a", http.StatusOK, func(request *http.Request) { request.Header.Del("Authorization") })
	})
	t.Run("no id", func(t *testing.T) {
		expectStatus(t, "/look/a", http.StatusBadRequest, func(request *http.Request) { request.Header.Del("X-Request-Id") })
	})
	t.Run("two ids", func(t *testing.T) {
		expectStatus(t, "/look/a", http.StatusBadRequest, func(request *http.Request) { request.Header.Add("X-Request-Id", "second") })
	})
	t.Run("an account over its allotment", func(t *testing.T) {
		small := func(request *http.Request) { request.Header.Set("Authorization", "Token key-of-small") }
		expectStatus(t, "/look/a", http.StatusOK, small)
		expectStatus(t, "/look/a", http.StatusOK, small)
		expectStatus(t, "/look/a", http.StatusTooManyRequests, small)
	})
	t.Run("a body that is too large", func(t *testing.T) {
		expectStatus(t, "/look/a", http.StatusRequestEntityTooLarge, func(request *http.Request) {
			request.Body = io.NopCloser(strings.NewReader(strings.Repeat("x", 70000)))
			request.ContentLength = 70000
		})
	})
}

func TestFollow(t *testing.T) {
	t.Run("a new configuration becomes active", func(t *testing.T) {
		fixture := newFixture(t)
		fixture.store.Set("config", "main", strings.Replace(testConfiguration, `"version":3`, `"version":8`, 1))
		fixture.log.await("configuration active", `"version":8`)
		require.Equal(t, http.StatusOK, fixture.call(http.MethodGet, "/look/a").status)
	})
	t.Run("an invalid configuration leaves the old one active", func(t *testing.T) {
		fixture := newFixture(t)
		fixture.store.Set("config", "main", `{"version":9,"routes":[{"name":"x","pathPrefix":"no-slash"}]}`)
		fixture.log.await("configuration refused")
		require.Equal(t, http.StatusOK, fixture.call(http.MethodGet, "/look/a").status)
	})
	t.Run("a leaving server gets no more requests", func(t *testing.T) {
		fixture := newFixture(t)
		fixture.listServer("app-0", "app", "127.0.0.1:1", "draining")
		fixture.log.await("backend server leaves", "app-0")
		for range 5 {
			require.Equal(t, http.StatusOK, fixture.call(http.MethodPost, "/book/a").status)
		}
		require.Len(t, fixture.apps[1].Executed(), 5)
	})
	t.Run("an invalid entry does not affect others", func(t *testing.T) {
		fixture := newFixture(t)
		fixture.store.Set("servers", "forged", `{"service":5,"address":["x"]}`)
		fixture.log.await("entry ignored", "forged")
		require.Equal(t, http.StatusOK, fixture.call(http.MethodPost, "/book/a").status)
	})
	t.Run("servers are kept while the store is unavailable", func(t *testing.T) {
		fixture := newFixture(t)
		fixture.door.SetFault(storestandin.FaultBusy)
		fixture.log.await("lost the platform store", "servers")
		require.Equal(t, http.StatusOK, fixture.call(http.MethodPost, "/book/a").status)
		fixture.door.SetFault(storestandin.FaultNone)
		fixture.log.await("regained the platform store", "servers")
	})
	t.Run("a store over its rate limit is called again", func(t *testing.T) {
		fixture := newFixture(t)
		fixture.door.SetFault(storestandin.FaultRateLimited)
		fixture.log.await("lost the platform store", "servers")
		fixture.door.SetFault(storestandin.FaultNone)
		fixture.log.await("regained the platform store", "servers")
	})
	t.Run("an interrupted watch misses no change", func(t *testing.T) {
		fixture := newFixture(t)
		fixture.store.CutWatches()
		fixture.store.Remove("servers", "app-0")
		fixture.log.await("backend server gone", "app-0")
	})
	t.Run("a listing in pages is read completely", func(t *testing.T) {
		fixture := newEmptyFixture(t)
		fixture.store.SetPageSize(1)
		fixture.testNode = fixture.startReady("edge-1")
		require.Equal(t, http.StatusOK, fixture.call(http.MethodPost, "/book/a").status)
	})
	t.Run("the list is read again after compaction", func(t *testing.T) {
		fixture := newFixture(t)
		fixture.store.Compact()
		fixture.store.Remove("servers", "app-0")
		fixture.log.await("backend server gone", "app-0")
		require.Equal(t, http.StatusOK, fixture.call(http.MethodPost, "/book/a").status)
	})
	t.Run("a node without a configuration refuses and is not ready", func(t *testing.T) {
		fixture := newFixture(t)
		unconfigured := *fixture
		unconfigured.testNode = fixture.start("edge-2", storestandin.New())
		got := unconfigured.call(http.MethodGet, "/look/a")
		require.Equal(t, http.StatusServiceUnavailable, got.status)
		require.Equal(t, http.StatusServiceUnavailable, unconfigured.readiness())
		require.Equal(t, http.StatusOK, fixture.readiness())
	})
}

func (fixture *fixture) readiness() int {
	fixture.t.Helper()
	httpResponse, err := fixture.client.Get("http://" + fixture.node.Addresses()["ready"] + "/api/readyz")
	require.NoError(fixture.t, err)
	defer httpResponse.Body.Close()
	return httpResponse.StatusCode
}

// TestStop checks that a stopping node is no longer ready, and still completes a
// request in progress, after which it closes the connection.
func TestStop(t *testing.T) {
	fixture := newFixture(t)
	release := fixture.apps[0].HoldRequests()
	releaseOther := fixture.apps[1].HoldRequests()
	connection, err := net.Dial("tcp", fixture.node.Addresses()["caller"])
	require.NoError(t, err)
	defer connection.Close()
	reader := bufio.NewReader(connection)
	send := func(id string) {
		_, err := fmt.Fprintf(connection, "GET /look/a HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: %s\r\nAuthorization: Token key-of-garage\r\n\r\n", id)
		require.NoError(t, err)
	}
	send("in-progress")
	fixture.awaitArrival()
	fixture.stop()
	fixture.log.await("stopping")
	require.Equal(t, http.StatusServiceUnavailable, fixture.readiness())
	release()
	releaseOther()
	httpResponse, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	defer httpResponse.Body.Close()
	body, err := io.ReadAll(httpResponse.Body)
	require.NoError(t, err)
	require.Equal(t, "answer to in-progress", string(body))
	require.True(t, httpResponse.Close, "a stopping node closes the connection with its response")
}

// TestLateInGrace guards against a request that a stopping node admits although it may not
// end before the node does.
func TestLateInGrace(t *testing.T) {
	expectRefused := func(t *testing.T, configuration, method, path string) {
		t.Helper()
		fixture := newEmptyFixture(t)
		fixture.graceSeconds = 3
		fixture.store.Set("config", "main", configuration)
		fixture.testNode = fixture.startReady("edge-1")
		for _, servers := range [][]*enginestandin.Engine{fixture.chats, fixture.apps} {
			setManners(servers, enginestandin.BehaviourSilent)
		}
		fixture.stop()
		fixture.log.await("stopping")
		got := fixture.call(method, path, func(request *http.Request) { request.Header.Set("X-Deadline-Ms", "2900") })
		require.NoError(t, got.err)
		require.Equal(t, http.StatusServiceUnavailable, got.status, got.body)
		require.Contains(t, got.body, "this node is stopping")
	}
	withoutTimeouts := strings.ReplaceAll(testConfiguration, `"timeoutMs":4000,`, "")
	t.Run("its route has a timeout", func(t *testing.T) { expectRefused(t, testConfiguration, http.MethodPost, "/book/a") })
	t.Run("its route has none", func(t *testing.T) { expectRefused(t, withoutTimeouts, http.MethodPost, "/book/a") })
	t.Run("it may be repeated, its route has none", func(t *testing.T) { expectRefused(t, withoutTimeouts, http.MethodGet, "/look/a") })
}

// TestSlowBodyOutlivesDeadline guards against a request whose body takes up its time and
// which then gets that time once more at a server.
func TestSlowBodyOutlivesDeadline(t *testing.T) {
	fixture := newFixture(t)
	before := fixture.node.BodyBytes()
	reader, writer := io.Pipe()
	ended := make(chan response, 1)
	go func() {
		ended <- fixture.call(http.MethodPost, "/book/a", func(request *http.Request) {
			request.Body, request.ContentLength = reader, -1
			request.Header.Set("X-Deadline-Ms", "30")
		})
	}()
	_, err := writer.Write([]byte("body"))
	require.NoError(t, err)
	fixture.eventually("beginning of the body", func() bool { return fixture.node.BodyBytes() > before })
	require.NoError(t, clock.System().Wait(t.Context(), 40*clock.Millisecond))
	require.NoError(t, writer.Close())
	got := awaitValue(fixture.testNode, "response", ended)
	require.NoError(t, got.err)
	require.Equal(t, http.StatusServiceUnavailable, got.status, got.body)
	require.Zero(t, countRuns(fixture.apps))
}

// TestCallerDisconnects checks that a request ends when its caller disconnects
// while no server has responded.
func TestCallerDisconnects(t *testing.T) {
	fixture := newFixture(t)
	defer fixture.apps[0].HoldRequests()()
	defer fixture.apps[1].HoldRequests()()
	connection, err := net.Dial("tcp", fixture.node.Addresses()["caller"])
	require.NoError(t, err)
	_, err = fmt.Fprint(connection, "GET /look/a HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: leaves\r\nAuthorization: Token key-of-garage\r\n\r\n")
	require.NoError(t, err)
	fixture.awaitArrival()
	require.NoError(t, connection.Close())
	require.Contains(t, fixture.log.await(`"message":"request"`, "leaves"), "the caller left")
}

// TestSilentWatches checks that a node receives a change although its watches are
// silent: their connections are open, but deliver nothing.
func TestSilentWatches(t *testing.T) {
	newConfiguration := strings.Replace(testConfiguration, `"version":3`, `"version":8`, 1)
	t.Run("a peer node has a newer configuration", func(t *testing.T) {
		t.Parallel()
		fixture := newFixture(t)
		peer := fixture.startReady("edge-2")
		fixture.door.MuteWatches(true)
		fixture.store.Set("config", "main", newConfiguration)
		peer.log.await("configuration active", `"version":8`)
		fixture.log.await("a peer node has a newer configuration")
		fixture.door.MuteWatches(false)
		fixture.log.await("configuration active", `"version":8`)
		require.False(t, fixture.log.contains("lost the platform store"), "the watch ran into its timeout")
	})
	t.Run("the watches of all nodes are silent", func(t *testing.T) {
		t.Parallel()
		fixture := newFixture(t)
		peer := fixture.startReady("edge-2")
		fixture.door.MuteWatches(true)
		peer.door.MuteWatches(true)
		fixture.store.Set("config", "main", newConfiguration)
		fixture.listServer("app-0", "app", "127.0.0.1:1", "draining")
		for _, testNode := range []*testNode{fixture.testNode, peer} {
			testNode.log.await("configuration active", `"version":8`)
			testNode.log.await("backend server leaves", "app-0")
			// Half of the default bound of 2 s leaves the other half for the timeout that
			// shows the silence and for the reads after it.
			require.LessOrEqual(t, testNode.door.LongestWatch("config"), 1*clock.Second)
			require.LessOrEqual(t, testNode.door.LongestWatch("servers"), 1*clock.Second)
		}
	})
	t.Run("the other watch reports that history is gone", func(t *testing.T) {
		t.Parallel()
		fixture := newFixture(t)
		fixture.door.MuteWatches(true, "config")
		fixture.store.Set("config", "main", newConfiguration)
		fixture.store.Compact()
		fixture.log.await("history of the watch is gone", `"kind":"servers"`)
		fixture.log.await("configuration active", `"version":8`)
		require.False(t, fixture.log.contains("lost the platform store"), "the watch ran into its timeout")
	})
}

// TestRepeatedRunIsCharged checks that a request whose first run may have ended well is
// charged for its second run, and one that was refused only once.
func TestRepeatedRunIsCharged(t *testing.T) {
	const cost = 10
	expectCharged := func(t *testing.T, first enginestandin.Behaviour, charged int64) {
		t.Helper()
		fixture := newFixture(t)
		var requests atomic.Int64
		for _, app := range fixture.apps {
			app.SetBehaviourFunc(func() enginestandin.Behaviour {
				if requests.Add(1) == 1 {
					return first
				}
				return enginestandin.BehaviourServe
			})
		}
		require.Equal(t, http.StatusOK, fixture.call(http.MethodGet, "/look/a").status)
		require.Equal(t, charged, fixture.node.UsedBy("garage"))
	}
	t.Run("served at once", func(t *testing.T) { expectCharged(t, enginestandin.BehaviourServe, cost) })
	t.Run("refused first", func(t *testing.T) { expectCharged(t, enginestandin.BehaviourRefuse, cost) })
	t.Run("run, and its answer lost", func(t *testing.T) { expectCharged(t, enginestandin.BehaviourCut, 2*cost) })
}

// TestLeavingIsGossiped checks that a node whose watches are silent sends no
// requests to a leaving server once a peer has reported it.
func TestLeavingIsGossiped(t *testing.T) {
	fixture := newFixture(t)
	peer := fixture.startReady("edge-2")
	fixture.door.MuteWatches(true)
	// The node can't read the list again by itself either.
	fixture.door.SetFault(storestandin.FaultSilent)
	fixture.listServer("app-0", "app", "127.0.0.1:1", "draining")
	peer.log.await("backend server leaves", "app-0")
	fixture.log.await("backend server leaves: reported by a peer node", "app-0")
	for range 5 {
		require.Equal(t, http.StatusOK, fixture.call(http.MethodPost, "/book/a").status)
	}
	require.Len(t, fixture.apps[1].Executed(), 5)
}

// TestWakeUpsDuringStoreOutage checks that wake-ups do not add calls to a store
// that refuses the node.
func TestWakeUpsDuringStoreOutage(t *testing.T) {
	fixture := newFixture(t)
	peer := fixture.startReady("edge-2")
	fixture.door.SetFault(storestandin.FaultRateLimited)
	fixture.log.await("lost the platform store", `"kind":"config"`)
	fixture.store.Set("config", "main", strings.Replace(testConfiguration, `"version":3`, `"version":8`, 1))
	peer.log.await("configuration active", `"version":8`)
	fixture.log.await("a peer node has a newer configuration")
	before := fixture.door.Refused()
	fixture.log.awaitCount("a peer node has a newer configuration", 4)
	// Wake-ups are 0.3 s apart. Two watches and the list of nodes call the store; a
	// watch waits 50 ms after its first failure, and twice as long after each
	// further one.
	require.Less(t, fixture.door.Refused()-before, 60)
}
