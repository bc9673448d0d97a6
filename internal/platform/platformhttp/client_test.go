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

// fixture is a client of a platform stand-in that counts calls. A timeout fires
// when the test sends on expire.
type fixture struct {
	standin *platformstandin.Platform
	store   *platform.Store
	server  *httptest.Server
	calls   atomic.Int64
	arrived chan struct{}
	expire  chan struct{}
	manual  *clock.Manual
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	fixture := &fixture{arrived: make(chan struct{}, 1), expire: make(chan struct{}), manual: clock.NewManual(1000)}
	fixture.standin = platformstandin.New(clock.System(), 0)
	router := fixture.standin.Router()
	fixture.server = httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, message *http.Request) {
		fixture.calls.Add(1)
		// A server detects a disconnected client only after it has read the body.
		body, _ := io.ReadAll(message.Body)
		message.Body = io.NopCloser(bytes.NewReader(body))
		select {
		case fixture.arrived <- struct{}{}:
		default:
		}
		router.ServeHTTP(writer, message)
	}))
	t.Cleanup(fixture.server.Close)
	fixture.store = fixture.client(fixture.server.Listener.Addr().String())
	return fixture
}

func (fixture *fixture) client(address string) *platform.Store {
	after := func(_ clock.Millis, fire func()) func() bool {
		stop := make(chan struct{})
		go func() {
			select {
			case <-fixture.expire:
				fire()
			case <-stop:
			}
		}()
		return func() bool {
			close(stop)
			return true
		}
	}
	return platformhttp.New(address, clock.New(fixture.manual.Now, fixture.manual.Now, after), clock.Second).Store()
}

func (fixture *fixture) put(store *platform.Store, body string, condition int64) error {
	_, err := store.Put(context.Background(), platform.KindClaims, "object", []byte(body), condition)
	return err
}

func expectUnavailable(t *testing.T, err error, unknown bool) {
	t.Helper()
	var failed *platform.UnavailableError
	require.ErrorAs(t, err, &failed)
	require.Equal(t, unknown, failed.OutcomeUnknown(), "error: %v", err)
}

func expectStored(t *testing.T, fixture *fixture, version int64, body string) {
	t.Helper()
	fixture.standin.SetFault(platformstandin.FaultNone, 0)
	object, err := fixture.store.Get(t.Context(), platform.KindClaims, "object")
	require.NoError(t, err)
	require.Equal(t, version, object.Version())
	require.Equal(t, body, string(object.Body()))
}

// TestWrite checks whether the outcome of a write is known after each kind of
// response.
func TestWrite(t *testing.T) {
	t.Run("committed under its condition", func(t *testing.T) {
		fixture := newFixture(t)
		require.NoError(t, fixture.put(fixture.store, "a", platform.VersionNone))
		require.NoError(t, fixture.put(fixture.store, "b", 1))
		expectStored(t, fixture, 2, "b")
	})
	t.Run("conflict", func(t *testing.T) {
		fixture := newFixture(t)
		require.NoError(t, fixture.put(fixture.store, "a", platform.VersionNone))
		var conflict *platform.ConflictError
		require.ErrorAs(t, fixture.put(fixture.store, "b", 7), &conflict)
		expectStored(t, fixture, 1, "a")
	})
	t.Run("lost response on a reused connection: unknown, and sent once", func(t *testing.T) {
		fixture := newFixture(t)
		require.NoError(t, fixture.put(fixture.store, "a", platform.VersionNone))
		before := fixture.calls.Load()
		fixture.standin.SetFault(platformstandin.FaultLoseResponse, 0)
		expectUnavailable(t, fixture.put(fixture.store, "b", 1), true)
		require.Equal(t, int64(1), fixture.calls.Load()-before)
		expectStored(t, fixture, 2, "b")
	})
	t.Run("server error: unknown", func(t *testing.T) {
		fixture := newFixture(t)
		fixture.standin.SetFault(platformstandin.FaultDown, 0)
		expectUnavailable(t, fixture.put(fixture.store, "a", platform.VersionNone), true)
	})
	t.Run("slow beyond the timeout: unknown", func(t *testing.T) {
		fixture := newFixture(t)
		fixture.standin.SetFault(platformstandin.FaultSlow, clock.Hour)
		done := make(chan error)
		go func() { done <- fixture.put(fixture.store, "a", platform.VersionNone) }()
		<-fixture.arrived
		fixture.expire <- struct{}{}
		expectUnavailable(t, <-done, true)
	})
	t.Run("no connection: no effect", func(t *testing.T) {
		fixture := newFixture(t)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		require.NoError(t, listener.Close())
		expectUnavailable(t, fixture.put(fixture.client(listener.Addr().String()), "a", platform.VersionNone), false)
	})
	t.Run("cancelled before the call: no effect", func(t *testing.T) {
		fixture := newFixture(t)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, err := fixture.store.Put(ctx, platform.KindClaims, "object", nil, platform.VersionNone)
		expectUnavailable(t, err, false)
		require.Zero(t, fixture.calls.Load())
	})
	t.Run("too large: no effect, and not sent", func(t *testing.T) {
		fixture := newFixture(t)
		expectUnavailable(t, fixture.put(fixture.store, string(make([]byte, 1<<20+1)), platform.VersionNone), false)
		require.Zero(t, fixture.calls.Load())
	})
	for status, unknown := range map[int]bool{400: false, 403: false, 408: true, 413: false, 429: false, 500: true, 502: true, 307: true} {
		t.Run(http.StatusText(status), func(t *testing.T) {
			fixture := newFixture(t)
			server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, message *http.Request) {
				_, _ = io.Copy(io.Discard, message.Body)
				writer.Header().Set("Location", fixture.server.URL)
				writer.WriteHeader(status)
			}))
			defer server.Close()
			expectUnavailable(t, fixture.put(fixture.client(server.Listener.Addr().String()), "a", platform.VersionNone), unknown)
			require.Zero(t, fixture.calls.Load(), "a redirected write was sent again")
		})
	}
}

// TestOutage checks that few calls are sent during an outage and that they succeed
// after its end.
func TestOutage(t *testing.T) {
	fixture := newFixture(t)
	fixture.standin.SetFault(platformstandin.FaultDown, 0)
	read := func() error {
		_, err := fixture.store.Get(t.Context(), platform.KindClaims, "object")
		return err
	}
	for range 1000 {
		expectUnavailable(t, read(), false)
	}
	require.LessOrEqual(t, fixture.calls.Load(), int64(5))
	for range 60 {
		fixture.manual.Advance(clock.Second)
		for range 100 {
			expectUnavailable(t, read(), false)
		}
	}
	require.LessOrEqual(t, fixture.calls.Load(), int64(5+60))
	fixture.standin.SetFault(platformstandin.FaultNone, 0)
	fixture.manual.Advance(clock.Second)
	var missing *platform.NotFoundError
	require.True(t, errors.As(read(), &missing))
	require.NoError(t, fixture.put(fixture.store, "a", platform.VersionNone))
}
