package edge_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/standin/enginestandin"
	"sapphirehead/internal/standin/storestandin"
)

func TestServe(t *testing.T) {
	world := newWorld(t)
	expectStatus := func(t *testing.T, got reply, status int) {
		t.Helper()
		require.NoError(t, got.err)
		require.Equal(t, status, got.status, got.body)
	}
	t.Run("a request goes on as it came", func(t *testing.T) {
		got := world.call(http.MethodPost, "/look/a%2Fb/../c//d?x=1&x=%20", func(request *http.Request) {
			request.URL.Opaque = "/look/a%2Fb/../c//d"
			request.Header.Set("X-Tenant", "forged")
			request.Header.Set("X-Kv-Hold", "forged")
			request.Header.Set("X-Note", "kept")
		})
		expectStatus(t, got, http.StatusOK)
		require.Contains(t, got.body, "answer to r-")
		require.NotEmpty(t, got.header.Get("X-Response-Stamp"))
		all := append(world.apps[0].Ran(), world.apps[1].Ran()...)
		require.Len(t, all, 1)
		require.Equal(t, "/look/a%2Fb/../c//d?x=1&x=%20", all[0].Target())
		require.Equal(t, "garage", all[0].Account())
		require.Equal(t, "body of /look/a%2Fb/../c//d?x=1&x=%20", all[0].Body())
		require.Empty(t, all[0].Header().Get("X-Kv-Hold"))
		require.Empty(t, all[0].Header().Get("Authorization"))
		require.Empty(t, all[0].Header().Get("Accept-Encoding-Added"))
		require.Equal(t, "kept", all[0].Header().Get("X-Note"))
	})
	t.Run("a stream is passed on whole", func(t *testing.T) {
		got := world.call(http.MethodPost, "/chat/a")
		expectStatus(t, got, http.StatusOK)
		require.Equal(t, wholeStream(), got.body)
	})
	t.Run("a failure of an idempotent request is tried at the other server", func(t *testing.T) {
		before := ran(world.apps)
		next(world.apps, enginestandin.MannerFail)
		got := world.call(http.MethodGet, "/look/b")
		require.NoError(t, got.err)
		require.Equal(t, before+2, ran(world.apps))
		next(world.apps)
	})
	t.Run("a booking whose answer is lost ends as unknown and runs once", func(t *testing.T) {
		before := ran(world.apps)
		next(world.apps, enginestandin.MannerCut)
		expectStatus(t, world.call(http.MethodPost, "/book/a"), http.StatusBadGateway)
		require.Equal(t, before+1, ran(world.apps))
		next(world.apps)
	})
	t.Run("a booking that was refused goes to the other server", func(t *testing.T) {
		before := ran(world.apps)
		world.apps[0].Next(enginestandin.MannerRefuse)
		world.apps[1].Next()
		for range 3 {
			expectStatus(t, world.call(http.MethodPost, "/book/b"), http.StatusOK)
		}
		require.Equal(t, before+3, ran(world.apps))
	})
	t.Run("a booking that nobody ran is refused with a time to come back", func(t *testing.T) {
		before := ran(world.apps)
		next(world.apps, enginestandin.MannerRefuse)
		got := world.call(http.MethodPost, "/book/c")
		expectStatus(t, got, http.StatusServiceUnavailable)
		require.NotEmpty(t, got.header.Get("Retry-After"))
		require.Empty(t, got.header.Get("X-Response-Stamp"))
		require.Equal(t, before, ran(world.apps))
		next(world.apps)
	})
	t.Run("a server's 503 without a word is no promise", func(t *testing.T) {
		next(world.apps, enginestandin.MannerBusy)
		expectStatus(t, world.call(http.MethodPost, "/book/d"), http.StatusBadGateway)
		next(world.apps)
	})
	t.Run("an answer to another request is not passed on", func(t *testing.T) {
		next(world.apps, enginestandin.MannerForeign)
		expectStatus(t, world.call(http.MethodPost, "/book/e"), http.StatusBadGateway)
		next(world.apps)
	})
	t.Run("a broken answer is not passed off as whole", func(t *testing.T) {
		next(world.apps, enginestandin.MannerTruncate)
		expectStatus(t, world.call(http.MethodPost, "/book/f"), http.StatusBadGateway)
		next(world.apps)
	})
	t.Run("bytes that are no answer are not passed on", func(t *testing.T) {
		next(world.apps, enginestandin.MannerGarbage)
		expectStatus(t, world.call(http.MethodPost, "/book/g"), http.StatusBadGateway)
		next(world.apps)
		expectStatus(t, world.call(http.MethodPost, "/book/h"), http.StatusOK)
	})
	t.Run("a second answer is nobody's", func(t *testing.T) {
		next(world.apps, enginestandin.MannerExtra)
		for range 4 {
			got := world.call(http.MethodPost, "/book/i")
			expectStatus(t, got, http.StatusOK)
			require.Equal(t, fmt.Sprint("answer to r-", world.serials), got.body)
		}
		next(world.apps)
	})
	t.Run("a connection that its server ends is not used again", func(t *testing.T) {
		next(world.apps, enginestandin.MannerLeave, enginestandin.MannerLeave)
		for range 4 {
			expectStatus(t, world.call(http.MethodPost, "/book/j"), http.StatusOK)
		}
	})
	t.Run("a refusal that comes before the body is read is taken", func(t *testing.T) {
		before := ran(world.apps)
		next(world.apps, enginestandin.MannerEarly)
		got := world.call(http.MethodPost, "/book/k", func(request *http.Request) {
			request.Body = io.NopCloser(strings.NewReader(strings.Repeat("x", 60000)))
			request.ContentLength = 60000
		})
		expectStatus(t, got, http.StatusServiceUnavailable)
		require.Equal(t, before, ran(world.apps))
		next(world.apps)
		expectStatus(t, world.call(http.MethodPost, "/book/l"), http.StatusOK)
	})
	t.Run("a silent server ends at the caller's deadline", func(t *testing.T) {
		next(world.apps, enginestandin.MannerSilent)
		got := world.call(http.MethodPost, "/book/m", func(request *http.Request) { request.Header.Set("X-Deadline-Ms", "300") })
		expectStatus(t, got, http.StatusGatewayTimeout)
		next(world.apps)
	})
	t.Run("a stream that may not is broken off between two events", func(t *testing.T) {
		next(world.chats, enginestandin.MannerBreakStream)
		got := world.call(http.MethodPost, "/chat/b")
		require.Error(t, got.err)
		require.Equal(t, "id: 0\ndata: piece 0\n\nid: 1\ndata: piece 1\n\n", got.body)
		next(world.chats)
	})
}

func TestResume(t *testing.T) {
	world := newWorld(t)
	for i, server := range world.chats {
		server.Next(enginestandin.MannerBreakStream)
		world.chats[1-i].Next()
		got := world.call(http.MethodPost, "/resume/a")
		require.NoError(t, got.err)
		require.Equal(t, wholeStream(), got.body)
	}
}

func TestDeny(t *testing.T) {
	world := newWorld(t)
	expectStatus := func(t *testing.T, path string, status int, edit ...func(*http.Request)) {
		t.Helper()
		before := ran(world.apps)
		got := world.call(http.MethodGet, path, edit...)
		require.NoError(t, got.err)
		require.Equal(t, status, got.status, got.body)
		if status != http.StatusOK {
			require.Equal(t, before, ran(world.apps))
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
	t.Run("a new configuration is in force, an older one is not", func(t *testing.T) {
		world := newWorld(t)
		world.store.Set("config", "main", strings.Replace(testConfiguration, `"version":3`, `"version":8`, 1))
		world.log.await("configuration in force", `"version":8`)
		require.Equal(t, http.StatusOK, world.call(http.MethodGet, "/look/a").status)
	})
	t.Run("a configuration that can't be read leaves the old one in force", func(t *testing.T) {
		world := newWorld(t)
		world.store.Set("config", "main", `{"version":9,"routes":[{"name":"x","pathPrefix":"no-slash"}]}`)
		world.log.await("configuration refused")
		require.Equal(t, http.StatusOK, world.call(http.MethodGet, "/look/a").status)
	})
	t.Run("a leaving server gets nothing more", func(t *testing.T) {
		world := newWorld(t)
		world.list("app-0", "app", "127.0.0.1:1", "draining")
		world.log.await("backend server leaves", "app-0")
		for range 5 {
			require.Equal(t, http.StatusOK, world.call(http.MethodPost, "/book/a").status)
		}
		require.Len(t, world.apps[1].Ran(), 5)
	})
	t.Run("a false entry harms no other", func(t *testing.T) {
		world := newWorld(t)
		world.store.Set("servers", "forged", `{"service":5,"address":["x"]}`)
		world.log.await("entry ignored", "forged")
		require.Equal(t, http.StatusOK, world.call(http.MethodPost, "/book/a").status)
	})
	t.Run("servers are kept while the store is away", func(t *testing.T) {
		world := newWorld(t)
		world.door.Break(storestandin.FaultBusy)
		world.log.await("platform's store lost", "servers")
		require.Equal(t, http.StatusOK, world.call(http.MethodPost, "/book/a").status)
		world.door.Break(storestandin.FaultNone)
		world.log.await("platform's store regained", "servers")
	})
	t.Run("a store over its rate is asked again", func(t *testing.T) {
		world := newWorld(t)
		world.door.Break(storestandin.FaultRate)
		world.log.await("platform's store lost", "servers")
		world.door.Break(storestandin.FaultNone)
		world.log.await("platform's store regained", "servers")
	})
	t.Run("a watch that is cut misses nothing", func(t *testing.T) {
		world := newWorld(t)
		world.store.CutWatches()
		world.store.Remove("servers", "app-0")
		world.log.await("backend server gone", "app-0")
	})
	t.Run("a listing in pages is read whole", func(t *testing.T) {
		world := newEmptyWorld(t)
		world.store.SetPageSize(1)
		world.member = world.join("edge-1")
		require.Equal(t, http.StatusOK, world.call(http.MethodPost, "/book/a").status)
	})
	t.Run("a dropped history is listed anew", func(t *testing.T) {
		world := newWorld(t)
		world.store.Compact()
		world.store.Remove("servers", "app-0")
		world.log.await("backend server gone", "app-0")
		require.Equal(t, http.StatusOK, world.call(http.MethodPost, "/book/a").status)
	})
	t.Run("a node without a configuration refuses and is not ready", func(t *testing.T) {
		world := newWorld(t)
		lonely := *world
		lonely.member = world.start("edge-2", storestandin.New())
		got := lonely.call(http.MethodGet, "/look/a")
		require.Equal(t, http.StatusServiceUnavailable, got.status)
		require.Equal(t, http.StatusServiceUnavailable, lonely.readiness())
		require.Equal(t, http.StatusOK, world.readiness())
	})
}

func (world *world) readiness() int {
	world.t.Helper()
	answer, err := world.client.Get("http://" + world.node.Addresses()["ready"] + "/api/readyz")
	require.NoError(world.t, err)
	defer answer.Body.Close()
	return answer.StatusCode
}

func TestStop(t *testing.T) {
	world := newWorld(t)
	release := world.apps[0].Hold()
	other := world.apps[1].Hold()
	connection, err := net.Dial("tcp", world.node.Addresses()["caller"])
	require.NoError(t, err)
	defer connection.Close()
	reader := bufio.NewReader(connection)
	send := func(id string) {
		_, err := fmt.Fprintf(connection, "GET /look/a HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: %s\r\nAuthorization: Token key-of-garage\r\n\r\n", id)
		require.NoError(t, err)
	}
	send("in-progress")
	select {
	case <-world.apps[0].Arrived():
	case <-world.apps[1].Arrived():
	}
	world.stop()
	world.log.await("stopping")
	require.Equal(t, http.StatusServiceUnavailable, world.readiness())
	release()
	other()
	answer, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	require.NoError(t, err)
	require.Equal(t, "answer to in-progress", string(body))
	require.True(t, answer.Close, "a stopping node ends the connection with its answer")
}

func TestCallerLeaves(t *testing.T) {
	world := newWorld(t)
	defer world.apps[0].Hold()()
	defer world.apps[1].Hold()()
	connection, err := net.Dial("tcp", world.node.Addresses()["caller"])
	require.NoError(t, err)
	_, err = fmt.Fprint(connection, "GET /look/a HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: leaves\r\nAuthorization: Token key-of-garage\r\n\r\n")
	require.NoError(t, err)
	select {
	case <-world.apps[0].Arrived():
	case <-world.apps[1].Arrived():
	}
	require.NoError(t, connection.Close())
	require.Contains(t, world.log.await(`"message":"request"`, "leaves"), "the caller left")
}

// TestSilentWatches checks that a change is found though the watches say nothing.
func TestSilentWatches(t *testing.T) {
	newer := strings.Replace(testConfiguration, `"version":3`, `"version":8`, 1)
	t.Run("a fellow node has a newer configuration", func(t *testing.T) {
		t.Parallel()
		world := newWorld(t)
		fellow := world.join("edge-2")
		world.door.Mute(true)
		world.store.Set("config", "main", newer)
		fellow.log.await("configuration in force", `"version":8`)
		world.log.await("a fellow node has a newer configuration")
		world.door.Mute(false)
		world.log.await("configuration in force", `"version":8`)
		require.False(t, world.log.has("platform's store lost"), "the watch ran into its timeout")
	})
	t.Run("the other watch learns that history is gone", func(t *testing.T) {
		t.Parallel()
		world := newWorld(t)
		world.door.Mute(true, "config")
		world.store.Set("config", "main", newer)
		world.store.Compact()
		world.log.await("history of the watch is gone", `"kind":"servers"`)
		world.log.await("configuration in force", `"version":8`)
		require.False(t, world.log.has("platform's store lost"), "the watch ran into its timeout")
	})
}

// TestLeavingIsTold checks that a node learns from a fellow which server leaves.
func TestLeavingIsTold(t *testing.T) {
	world := newWorld(t)
	fellow := world.join("edge-2")
	world.door.Mute(true)
	world.list("app-0", "app", "127.0.0.1:1", "draining")
	fellow.log.await("backend server leaves", "app-0")
	world.log.await("backend server leaves, a fellow node says", "app-0")
	for range 5 {
		require.Equal(t, http.StatusOK, world.call(http.MethodPost, "/book/a").status)
	}
	require.Len(t, world.apps[1].Ran(), 5)
}

// TestNudgesOfALostStore checks that nudges don't make a node call a store that
// refuses it more often.
func TestNudgesOfALostStore(t *testing.T) {
	world := newWorld(t)
	fellow := world.join("edge-2")
	world.door.Break(storestandin.FaultRate)
	world.log.await("platform's store lost", `"kind":"config"`)
	world.store.Set("config", "main", strings.Replace(testConfiguration, `"version":3`, `"version":8`, 1))
	fellow.log.await("configuration in force", `"version":8`)
	world.log.await("a fellow node has a newer configuration")
	before := world.door.Refused()
	world.log.awaitCount("a fellow node has a newer configuration", 4)
	// Nudges are 0.3 s apart, and calls of two watches and the list of nodes wait at
	// least 50 ms after a failure, twice as long each time.
	require.Less(t, world.door.Refused()-before, 60)
}
