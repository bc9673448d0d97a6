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

// bookingCluster is three entry hosts in front of one application service.
type bookingCluster struct {
	cluster
	platform *platformstandin.Platform
	calls    chan string
}

func newBookingCluster(t *testing.T) *bookingCluster {
	t.Helper()
	const maxCalls = 100
	bookingCluster := &bookingCluster{
		cluster:  cluster{t: t, clock: clock.System()},
		platform: platformstandin.New(immediateClock(), 0), calls: make(chan string, maxCalls),
	}
	platform := httptest.NewServer(bookingCluster.platform.Router())
	t.Cleanup(platform.Close)
	router := servicestandin.New(immediateClock(), "booking-1", 0).Router()
	booking := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, message *http.Request) {
		bookingCluster.calls <- message.Header.Get("Idempotency-Key")
		router.ServeHTTP(writer, message)
	}))
	t.Cleanup(booking.Close)
	address := func(server *httptest.Server) string { return strings.TrimPrefix(server.URL, "http://") }
	var servers []backend.Listing
	for _, poolName := range []string{"booking", "careful"} {
		id := poolName + "-1"
		bookingCluster.platform.SetHost(platformstandin.Host{ID: id, Address: address(booking), DataCentre: "lj-a", HostClass: "plain", Pool: poolName, State: "live"})
		servers = append(servers, backend.NewListing(backend.NewServer(id, address(booking), "lj-a", "plain", poolName), false))
	}
	for i := range 3 {
		loaded, err := settings.ParseEntry("test", fmt.Appendf(nil, testSettings, i+1, address(platform), testAccount, otherKey))
		require.NoError(t, err)
		entry, err := New(loaded, bookingCluster.clock, zerolog.Nop())
		require.NoError(t, err)
		bookingCluster.entries = append(bookingCluster.entries, entry)
	}
	bookingCluster.preloadServices(servers)
	for _, entry := range bookingCluster.entries {
		bookingCluster.run(entry)
	}
	return bookingCluster
}

func (bookingCluster *bookingCluster) preloadServices(servers []backend.Listing) {
	charge := func(name, poolName string) route.Route {
		return route.New(name, route.KindService, poolName).WithPath("/" + name).WithNonIdempotent(true)
	}
	tables := table.New(1, []route.Route{charge("bookings", "booking"), charge("invoices", "careful"), charge("nowhere", "empty")}, []pool.Pool{
		pool.New("booking", pool.KindService), pool.New("careful", pool.KindService).WithRefusesRepeat(true), pool.New("empty", pool.KindService),
	}, nil)
	var members []node.Member
	for _, entry := range bookingCluster.entries {
		members = append(members, entry.members.Self())
	}
	for _, entry := range bookingCluster.entries {
		entry.fleet.Update(servers)
		entry.active.Offer(tables)
		entry.connectivity.RecordStoreResponse()
		entry.connectivity.MarkStarted()
		entry.members.Apply(node.NewDigest(members[0], members[1:], nil, node.Sums{}), true)
	}
}

// expectPost sends a call to an entry host and returns the response body.
func (bookingCluster *bookingCluster) expectPost(i int, path, key, body string, status int) string {
	bookingCluster.t.Helper()
	message, err := http.NewRequestWithContext(bookingCluster.t.Context(), http.MethodPost, "http://"+bookingCluster.entries[i].CallerAddress()+path, bytes.NewReader([]byte(body)))
	require.NoError(bookingCluster.t, err)
	message.Header.Set("Authorization", "Bearer "+testAccount)
	message.Header.Set("Idempotency-Key", key)
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(message)
	require.NoError(bookingCluster.t, err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	require.NoError(bookingCluster.t, err)
	require.Equal(bookingCluster.t, status, response.StatusCode, "%s", text)
	return string(text)
}

func (bookingCluster *bookingCluster) expectCalls(count int) {
	bookingCluster.t.Helper()
	require.Len(bookingCluster.t, bookingCluster.calls, count)
}

// TestClaims checks claims across entry hosts, their links and the platform.
func TestClaims(t *testing.T) {
	t.Run("one key at three entry hosts runs once", func(t *testing.T) {
		bookingCluster := newBookingCluster(t)
		first := bookingCluster.expectPost(0, "/bookings", "renewal-17", "set", http.StatusCreated)
		for i := range bookingCluster.entries {
			require.Equal(t, first, bookingCluster.expectPost(i, "/bookings", "renewal-17", "set", http.StatusCreated))
		}
		bookingCluster.expectCalls(1)
	})
	t.Run("owners commit what one entry host forwards", func(t *testing.T) {
		const keys = 32
		bookingCluster := newBookingCluster(t)
		for i := range keys {
			bookingCluster.expectPost(0, "/bookings", fmt.Sprintf("renewal-%d", i), "set", http.StatusCreated)
		}
		bookingCluster.expectCalls(keys)
		for _, entry := range bookingCluster.entries {
			writes, _ := entry.ledger.Writes()
			require.Positive(t, writes, entry.settings.Host())
		}
	})
	t.Run("a key used for a different call is refused", func(t *testing.T) {
		bookingCluster := newBookingCluster(t)
		bookingCluster.expectPost(0, "/bookings", "renewal-17", "set", http.StatusCreated)
		require.Contains(t, bookingCluster.expectPost(1, "/bookings", "renewal-17", "two sets", http.StatusUnprocessableEntity), `"keyReused"`)
		bookingCluster.expectCalls(1)
	})
	t.Run("platform down: not run, unless the service refuses repeats itself", func(t *testing.T) {
		bookingCluster := newBookingCluster(t)
		bookingCluster.platform.SetFault(platformstandin.FaultDown, 0)
		require.Contains(t, bookingCluster.expectPost(0, "/bookings", "renewal-17", "set", http.StatusServiceUnavailable), `"notRun"`)
		bookingCluster.expectCalls(0)
		bookingCluster.expectPost(1, "/invoices", "renewal-18", "set", http.StatusCreated)
		bookingCluster.expectCalls(1)
	})
	t.Run("ended without a run: another entry host gets the right to run", func(t *testing.T) {
		bookingCluster := newBookingCluster(t)
		require.Contains(t, bookingCluster.expectPost(0, "/nowhere", "renewal-17", "set", http.StatusServiceUnavailable), `"notRun"`)
		claimRoute, _ := bookingCluster.entries[1].active.Current().Route("nowhere")
		repeat := request.New("req-2", "garage-north", claimRoute, "renewal-17", request.Prompt{}, bookingCluster.clock.Now())
		claim, _ := bookingCluster.entries[1].claim(t.Context(), repeat)
		require.Equal(t, request.ClaimGranted, claim)
	})
}

// TestClaimMessages checks that a forwarded operation and its verdict are
// unchanged by encoding and decoding.
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
