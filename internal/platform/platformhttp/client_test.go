package platformhttp_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/platform"
	"sapphirehead/internal/platform/platformhttp"
	"sapphirehead/internal/standin/platformstandin"
)

// bench is a client of a platform stand-in whose calls are counted. A timeout
// passes when the test says so.
type bench struct {
	standin *platformstandin.Platform
	store   *platform.Store
	server  *httptest.Server
	calls   atomic.Int64
	arrived chan struct{}
	expire  chan struct{}
	manual  *clock.Manual
}

func newBench(t *testing.T) *bench {
	t.Helper()
	bench := &bench{arrived: make(chan struct{}, 1), expire: make(chan struct{}), manual: clock.NewManual(1000)}
	bench.standin = platformstandin.New(clock.System(), 0)
	router := bench.standin.Router()
	bench.server = httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, message *http.Request) {
		bench.calls.Add(1)
		// A server sees that its client is gone only once it has read the body.
		body, _ := io.ReadAll(message.Body)
		message.Body = io.NopCloser(bytes.NewReader(body))
		select {
		case bench.arrived <- struct{}{}:
		default:
		}
		router.ServeHTTP(writer, message)
	}))
	t.Cleanup(bench.server.Close)
	bench.store = bench.client(bench.server.Listener.Addr().String())
	return bench
}

func (bench *bench) client(address string) *platform.Store {
	after := func(_ clock.Millis, fire func()) func() bool {
		stop := make(chan struct{})
		go func() {
			select {
			case <-bench.expire:
				fire()
			case <-stop:
			}
		}()
		return func() bool {
			close(stop)
			return true
		}
	}
	return platformhttp.New(address, clock.New(bench.manual.Now, bench.manual.Now, after), clock.Second).Store()
}

func (bench *bench) put(store *platform.Store, body string, condition int64) error {
	_, err := store.Put(context.Background(), platform.KindClaims, "object", []byte(body), condition)
	return err
}

func expectUnavailable(t *testing.T, err error, unknown bool) {
	t.Helper()
	var failed *platform.UnavailableError
	require.ErrorAs(t, err, &failed)
	require.Equal(t, unknown, failed.OutcomeUnknown(), "error: %v", err)
}

func expectStored(t *testing.T, bench *bench, version int64, body string) {
	t.Helper()
	bench.standin.SetFault(platformstandin.FaultNone, 0)
	object, err := bench.store.Get(t.Context(), platform.KindClaims, "object")
	require.NoError(t, err)
	require.Equal(t, version, object.Version())
	require.Equal(t, body, string(object.Body()))
}

// TestWrite checks what is known of a write after each kind of answer.
func TestWrite(t *testing.T) {
	t.Run("committed under its condition", func(t *testing.T) {
		bench := newBench(t)
		require.NoError(t, bench.put(bench.store, "a", platform.VersionNone))
		require.NoError(t, bench.put(bench.store, "b", 1))
		expectStored(t, bench, 2, "b")
	})
	t.Run("conflict", func(t *testing.T) {
		bench := newBench(t)
		require.NoError(t, bench.put(bench.store, "a", platform.VersionNone))
		var conflict *platform.ConflictError
		require.ErrorAs(t, bench.put(bench.store, "b", 7), &conflict)
		expectStored(t, bench, 1, "a")
	})
	t.Run("lost answer on a kept connection: unknown, and sent once", func(t *testing.T) {
		bench := newBench(t)
		require.NoError(t, bench.put(bench.store, "a", platform.VersionNone))
		before := bench.calls.Load()
		bench.standin.SetFault(platformstandin.FaultLoseAnswer, 0)
		expectUnavailable(t, bench.put(bench.store, "b", 1), true)
		require.Equal(t, int64(1), bench.calls.Load()-before)
		expectStored(t, bench, 2, "b")
	})
	t.Run("server error: unknown", func(t *testing.T) {
		bench := newBench(t)
		bench.standin.SetFault(platformstandin.FaultDown, 0)
		expectUnavailable(t, bench.put(bench.store, "a", platform.VersionNone), true)
	})
	t.Run("slow beyond the timeout: unknown", func(t *testing.T) {
		bench := newBench(t)
		bench.standin.SetFault(platformstandin.FaultSlow, clock.Hour)
		done := make(chan error)
		go func() { done <- bench.put(bench.store, "a", platform.VersionNone) }()
		<-bench.arrived
		bench.expire <- struct{}{}
		expectUnavailable(t, <-done, true)
	})
	t.Run("no connection: no effect", func(t *testing.T) {
		bench := newBench(t)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		require.NoError(t, listener.Close())
		expectUnavailable(t, bench.put(bench.client(listener.Addr().String()), "a", platform.VersionNone), false)
	})
	t.Run("cancelled before the call: no effect", func(t *testing.T) {
		bench := newBench(t)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, err := bench.store.Put(ctx, platform.KindClaims, "object", nil, platform.VersionNone)
		expectUnavailable(t, err, false)
		require.Zero(t, bench.calls.Load())
	})
	t.Run("too large: no effect, and not sent", func(t *testing.T) {
		bench := newBench(t)
		expectUnavailable(t, bench.put(bench.store, string(make([]byte, 1<<20+1)), platform.VersionNone), false)
		require.Zero(t, bench.calls.Load())
	})
	for status, unknown := range map[int]bool{400: false, 403: false, 408: true, 413: false, 429: false, 500: true, 502: true, 307: true} {
		t.Run(http.StatusText(status), func(t *testing.T) {
			bench := newBench(t)
			server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, message *http.Request) {
				_, _ = io.Copy(io.Discard, message.Body)
				writer.Header().Set("Location", bench.server.URL)
				writer.WriteHeader(status)
			}))
			defer server.Close()
			expectUnavailable(t, bench.put(bench.client(server.Listener.Addr().String()), "a", platform.VersionNone), unknown)
			require.Zero(t, bench.calls.Load(), "a redirected write was sent again")
		})
	}
}

// TestOutage checks that an outage is not hammered and that its end is seen.
func TestOutage(t *testing.T) {
	bench := newBench(t)
	bench.standin.SetFault(platformstandin.FaultDown, 0)
	read := func() error {
		_, err := bench.store.Get(t.Context(), platform.KindClaims, "object")
		return err
	}
	for range 1000 {
		expectUnavailable(t, read(), false)
	}
	require.LessOrEqual(t, bench.calls.Load(), int64(5))
	for range 60 {
		bench.manual.Advance(clock.Second)
		for range 100 {
			expectUnavailable(t, read(), false)
		}
	}
	require.LessOrEqual(t, bench.calls.Load(), int64(5+60))
	bench.standin.SetFault(platformstandin.FaultNone, 0)
	bench.manual.Advance(clock.Second)
	var missing *platform.NotFoundError
	require.True(t, errors.As(read(), &missing))
	require.NoError(t, bench.put(bench.store, "a", platform.VersionNone))
}
