package entry

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/node"
	"sapphirehead/internal/pool"
	"sapphirehead/internal/request"
	"sapphirehead/internal/route"
	"sapphirehead/internal/service"
	"sapphirehead/internal/settings"
	"sapphirehead/internal/standin/platformstandin"
	"sapphirehead/internal/standin/servicestandin"
	"sapphirehead/internal/table"
)

// bookings is three entry hosts before one application service.
type bookings struct {
	cluster
	platform *platformstandin.Platform
	calls    chan string
}

func newBookings(t *testing.T) *bookings {
	t.Helper()
	const maxCalls = 100
	bookings := &bookings{
		cluster:  cluster{t: t, clock: clock.System()},
		platform: platformstandin.New(atOnce(), 0), calls: make(chan string, maxCalls),
	}
	platform := httptest.NewServer(bookings.platform.Router())
	t.Cleanup(platform.Close)
	router := servicestandin.New(atOnce(), "booking-1", 0).Router()
	booking := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, message *http.Request) {
		bookings.calls <- message.Header.Get("Idempotency-Key")
		router.ServeHTTP(writer, message)
	}))
	t.Cleanup(booking.Close)
	address := func(server *httptest.Server) string { return strings.TrimPrefix(server.URL, "http://") }
	var servers []backend.Listing
	for _, row := range []string{"booking", "careful"} {
		id := row + "-1"
		bookings.platform.SetHost(platformstandin.Host{ID: id, Address: address(booking), DataCentre: "lj-a", HostClass: "plain", Pool: row, State: "live"})
		servers = append(servers, backend.NewListing(backend.NewServer(id, address(booking), "lj-a", "plain", row), false))
	}
	for i := range 3 {
		loaded, err := settings.ParseEntry("test", fmt.Appendf(nil, testSettings, i+1, address(platform), testAccount, otherKey))
		require.NoError(t, err)
		entry, err := New(loaded, bookings.clock, zerolog.Nop())
		require.NoError(t, err)
		bookings.entries = append(bookings.entries, entry)
	}
	bookings.introduceServices(servers)
	for _, entry := range bookings.entries {
		bookings.run(entry)
	}
	return bookings
}

func (bookings *bookings) introduceServices(servers []backend.Listing) {
	charge := func(name, on string) route.Route {
		return route.New(name, route.KindService, on).WithPath("/" + name).WithNonIdempotent(true)
	}
	tables := table.New(1, []route.Route{charge("bookings", "booking"), charge("invoices", "careful"), charge("nowhere", "empty")}, []pool.Pool{
		pool.New("booking", pool.KindService), pool.New("careful", pool.KindService).WithRefusesRepeat(true), pool.New("empty", pool.KindService),
	}, nil)
	var members []node.Member
	for _, entry := range bookings.entries {
		members = append(members, entry.members.Self())
	}
	for _, entry := range bookings.entries {
		entry.fleet.Update(servers)
		entry.active.Offer(tables)
		entry.connectivity.RecordStoreResponse()
		entry.connectivity.MarkStarted()
		entry.members.Apply(node.NewDigest(members[0], members[1:], nil, node.Sums{}), true)
	}
}

// expectPost sends a call to an entry host and returns the body of its answer.
func (bookings *bookings) expectPost(i int, path, key, body string, status int) string {
	bookings.t.Helper()
	message, err := http.NewRequestWithContext(bookings.t.Context(), http.MethodPost, "http://"+bookings.entries[i].CallerAddress()+path, bytes.NewReader([]byte(body)))
	require.NoError(bookings.t, err)
	message.Header.Set("Authorization", "Bearer "+testAccount)
	message.Header.Set("Idempotency-Key", key)
	answer, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(message)
	require.NoError(bookings.t, err)
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	require.NoError(bookings.t, err)
	require.Equal(bookings.t, status, answer.StatusCode, "%s", text)
	return string(text)
}

func (bookings *bookings) expectCalls(count int) {
	bookings.t.Helper()
	require.Len(bookings.t, bookings.calls, count)
}

// TestClaims checks claims across entry hosts, their links and the platform.
func TestClaims(t *testing.T) {
	t.Run("one key at three entry hosts runs once", func(t *testing.T) {
		bookings := newBookings(t)
		first := bookings.expectPost(0, "/bookings", "renewal-17", "set", http.StatusCreated)
		for i := range bookings.entries {
			require.Equal(t, first, bookings.expectPost(i, "/bookings", "renewal-17", "set", http.StatusCreated))
		}
		bookings.expectCalls(1)
	})
	t.Run("owners commit what one entry host forwards", func(t *testing.T) {
		const keys = 32
		bookings := newBookings(t)
		for i := range keys {
			bookings.expectPost(0, "/bookings", fmt.Sprintf("renewal-%d", i), "set", http.StatusCreated)
		}
		bookings.expectCalls(keys)
		for _, entry := range bookings.entries {
			writes, _ := entry.ledger.Writes()
			require.Positive(t, writes, entry.settings.Host())
		}
	})
	t.Run("a key used for a different call is refused", func(t *testing.T) {
		bookings := newBookings(t)
		bookings.expectPost(0, "/bookings", "renewal-17", "set", http.StatusCreated)
		require.Contains(t, bookings.expectPost(1, "/bookings", "renewal-17", "two sets", http.StatusUnprocessableEntity), `"keyReused"`)
		bookings.expectCalls(1)
	})
	t.Run("platform down: not run, unless the service refuses repeats itself", func(t *testing.T) {
		bookings := newBookings(t)
		bookings.platform.SetFault(platformstandin.FaultDown, 0)
		require.Contains(t, bookings.expectPost(0, "/bookings", "renewal-17", "set", http.StatusServiceUnavailable), `"notRun"`)
		bookings.expectCalls(0)
		bookings.expectPost(1, "/invoices", "renewal-18", "set", http.StatusCreated)
		bookings.expectCalls(1)
	})
	t.Run("ended without a run: another entry host gets the right to run", func(t *testing.T) {
		bookings := newBookings(t)
		require.Contains(t, bookings.expectPost(0, "/nowhere", "renewal-17", "set", http.StatusServiceUnavailable), `"notRun"`)
		on, _ := bookings.entries[1].active.Current().Route("nowhere")
		repeat := request.New("req-2", "garage-north", on, "renewal-17", request.Prompt{}, bookings.clock.Now())
		claim, _ := bookings.entries[1].claim(t.Context(), repeat)
		require.Equal(t, request.ClaimGranted, claim)
	})
}

// TestClaimMessages checks that a forwarded operation and its verdict arrive as
// they were sent.
func TestClaimMessages(t *testing.T) {
	expectOperation := func(operation service.Operation) {
		require.Equal(t, operation, operationOf(claimMessage(operation)))
	}
	answer := service.NewAnswer(http.StatusCreated, "text/plain", []byte("booked"))
	operation := service.NewOperation(service.OperationRecord, service.NewPlace("dated-7-1", 7), "id", "req-1", "entry-a/1", "f")
	expectOperation(operation.WithAnswer(answer, true))
	expectOperation(operation.WithSupersedes("req-0"))
	expectOperation(operation.WithOversize())
	verdict := service.NewVerdict(request.ClaimTaken, answer, "req-0", "entry-b/1")
	require.Equal(t, verdict, verdictOf(verdictMessage(verdict)))
}
