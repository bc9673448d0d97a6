package callerlink_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/caller/callerlink"
	"sapphirehead/internal/clock"
)

// guarded is a server behind a guard, with a clock that the test moves.
type guarded struct {
	t      *testing.T
	manual *clock.Manual
	guard  *callerlink.Guard
	server *http.Server
	addr   string
	ended  chan callerlink.Kind
	// arrived is sent a value for each request at /hold, and hold ends its wait.
	arrived chan struct{}
	hold    chan struct{}
}

// newGuarded starts a server that answers a request at the path /hold once hold is closed.
// A request at the path /proved proves its connection.
func newGuarded(t *testing.T, connections int, headBytes int64) *guarded {
	t.Helper()
	guarded := &guarded{t: t, manual: clock.NewManual(1000), ended: make(chan callerlink.Kind, 1000), arrived: make(chan struct{}, 1), hold: make(chan struct{})}
	limits := callerlink.NewLimits(connections, headBytes, clock.Minute)
	guarded.guard = callerlink.NewGuard(guarded.manual.Clock(), func() callerlink.Limits { return limits },
		func(kind callerlink.Kind, _ string) { guarded.ended <- kind })
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	guarded.addr = listener.Addr().String()
	guarded.server = &http.Server{MaxHeaderBytes: 64 << 10, Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		switch request.URL.Path {
		case "/proved":
			callerlink.Prove(request)
		case "/hold":
			guarded.arrived <- struct{}{}
			<-guarded.hold
		}
		writer.WriteHeader(http.StatusNoContent)
	})}
	var served sync.WaitGroup
	served.Go(func() { _ = guarded.guard.Serve(guarded.server, guarded.guard.Listener(listener)) })
	t.Cleanup(func() {
		guarded.server.Close()
		served.Wait()
	})
	return guarded
}

// client is a caller's connection.
type client struct {
	t *testing.T
	net.Conn
	reader *bufio.Reader
}

// connect opens a connection and waits until the guard counts it.
func (guarded *guarded) connect(open int64) *client {
	guarded.t.Helper()
	conn, err := net.Dial("tcp", guarded.addr)
	require.NoError(guarded.t, err)
	guarded.t.Cleanup(func() { conn.Close() })
	guarded.eventually("connection", func() bool { return guarded.guard.Open() == open })
	return &client{t: guarded.t, Conn: conn, reader: bufio.NewReader(conn)}
}

func (guarded *guarded) eventually(name string, holds func() bool) {
	guarded.t.Helper()
	ctx, cancel := clock.System().WithTimeout(context.Background(), clock.Minute)
	defer cancel()
	for !holds() {
		require.NoError(guarded.t, clock.System().Wait(ctx, clock.Millisecond), name)
	}
}

func (client *client) write(text string) {
	client.t.Helper()
	_, err := io.WriteString(client, text)
	require.NoError(client.t, err)
}

func (client *client) expectStatus(status int) {
	client.t.Helper()
	response, err := http.ReadResponse(client.reader, nil)
	require.NoError(client.t, err)
	defer response.Body.Close()
	require.Equal(client.t, status, response.StatusCode)
}

func (client *client) get(path string) {
	client.t.Helper()
	client.write("GET " + path + " HTTP/1.1\r\nHost: desk.example\r\n\r\n")
	client.expectStatus(http.StatusNoContent)
}

func (client *client) expectClosed() {
	client.t.Helper()
	_, err := client.reader.ReadByte()
	require.Error(client.t, err)
}

func (guarded *guarded) expectEnded(kind callerlink.Kind) {
	guarded.t.Helper()
	require.Equal(guarded.t, kind, <-guarded.ended)
}

// TestGuardConnections guards against callers that find no room beside connections of less
// use, and against a connection that is closed although its request is served.
func TestGuardConnections(t *testing.T) {
	t.Run("a new connection displaces the one that waits longest", func(t *testing.T) {
		guarded := newGuarded(t, 2, 1<<20)
		first := guarded.connect(1)
		guarded.manual.Advance(clock.Second)
		second := guarded.connect(2)
		guarded.manual.Advance(clock.Second)
		third, err := net.Dial("tcp", guarded.addr)
		require.NoError(t, err)
		defer third.Close()
		first.expectClosed()
		guarded.expectEnded(callerlink.KindIdle)
		second.get("/")
		require.EqualValues(t, 2, guarded.guard.Open())
	})
	t.Run("an unknown slow one closes before a proved idle one", func(t *testing.T) {
		guarded := newGuarded(t, 2, 1<<20)
		proved := guarded.connect(1)
		proved.get("/proved")
		guarded.manual.Advance(clock.Second)
		slow := guarded.connect(2)
		slow.write("GET / HT")
		guarded.eventually("part of a head", func() bool { return guarded.guard.HeadBytes() > 0 })
		guarded.manual.Advance(clock.Second)
		third, err := net.Dial("tcp", guarded.addr)
		require.NoError(t, err)
		defer third.Close()
		slow.expectClosed()
		guarded.expectEnded(callerlink.KindSlowHead)
		proved.get("/")
		guarded.eventually("end of the heads", func() bool { return guarded.guard.HeadBytes() == 0 })
	})
	t.Run("a request in progress stays, and the new one is closed", func(t *testing.T) {
		guarded := newGuarded(t, 1, 1<<20)
		serving := guarded.connect(1)
		serving.write("GET /hold HTTP/1.1\r\nHost: desk.example\r\n\r\n")
		<-guarded.arrived
		guarded.manual.Advance(clock.Minute)
		refused, err := net.Dial("tcp", guarded.addr)
		require.NoError(t, err)
		defer refused.Close()
		_, err = refused.Read(make([]byte, 1))
		require.Error(t, err)
		close(guarded.hold)
		serving.expectStatus(http.StatusNoContent)
	})
	t.Run("an unfinished body that was answered closes", func(t *testing.T) {
		guarded := newGuarded(t, 1, 1<<20)
		unfinished := guarded.connect(1)
		unfinished.write("POST /hold HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 10\r\n\r\nbody")
		<-guarded.arrived
		close(guarded.hold)
		guarded.eventually("closing of the unfinished one", func() bool {
			guarded.manual.Advance(clock.Second)
			next, err := net.Dial("tcp", guarded.addr)
			require.NoError(t, err)
			defer next.Close()
			select {
			case kind := <-guarded.ended:
				return kind == callerlink.KindLeftover
			default:
				return false
			}
		})
		unfinished.expectClosed()
	})
}

// TestGuardHeads guards against heads that together take more memory than they may, and
// against one within the limits that is refused in calm load.
func TestGuardHeads(t *testing.T) {
	largeHead := "GET / HTTP/1.1\r\nHost: desk.example\r\n" + strings.Repeat("abc:d\r\n", 60<<10/7)
	t.Run("one large head is served", func(t *testing.T) {
		guarded := newGuarded(t, 10, 4<<20)
		caller := guarded.connect(1)
		for range 3 {
			caller.write(largeHead + "\r\n")
			caller.expectStatus(http.StatusNoContent)
		}
		require.Empty(t, guarded.ended)
		caller.get("/")
	})
	t.Run("an older unfinished one yields to a newer one", func(t *testing.T) {
		guarded := newGuarded(t, 10, 4<<20)
		unfinished := guarded.connect(1)
		unfinished.write(largeHead)
		guarded.eventually("unfinished head", func() bool { return guarded.guard.HeadBytes() > 2<<20 })
		guarded.manual.Advance(clock.Second)
		caller := guarded.connect(2)
		caller.write(largeHead + "\r\n")
		caller.expectStatus(http.StatusNoContent)
		unfinished.expectClosed()
		guarded.expectEnded(callerlink.KindLargeHead)
	})
	t.Run("a short one is served while large ones hold everything", func(t *testing.T) {
		guarded := newGuarded(t, 10, 2<<20)
		unfinished := guarded.connect(1)
		unfinished.write(largeHead[:50<<10])
		guarded.eventually("unfinished head", func() bool { return guarded.guard.HeadBytes() > 1<<20 })
		guarded.connect(2).get("/")
	})
}
