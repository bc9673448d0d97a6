package platformhttp_test

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/platform/platformhttp"
	"sapphirehead/internal/standin/platformstandin"
)

// expectHosts reads the list and checks its hosts and the number of lists that the
// platform has sent.
func expectHosts(t *testing.T, client *platformhttp.Client, sent *int, wantSent int, ids ...string) {
	t.Helper()
	list, err := client.Hosts(t.Context())
	require.NoError(t, err)
	got := []string{}
	for _, listed := range list {
		got = append(got, listed.Server().ID())
	}
	require.Equal(t, append([]string{}, ids...), got)
	require.Equal(t, wantSent, *sent)
}

func TestHosts(t *testing.T) {
	manual := clock.NewManual(1000)
	standin := platformstandin.New(manual.Clock(), 300)
	sent := 0
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, message *http.Request) {
		recorder := httptest.NewRecorder()
		standin.Router().ServeHTTP(recorder, message)
		if recorder.Code == http.StatusOK {
			sent++
		}
		writer.Header().Set("ETag", recorder.Header().Get("ETag"))
		writer.WriteHeader(recorder.Code)
		writer.Write(recorder.Body.Bytes())
	}))
	defer server.Close()
	client := platformhttp.New(server.Listener.Addr().String(), clock.System(), 10*clock.Second)
	add := func(number int) {
		standin.SetHost(platformstandin.Host{ID: "host-" + strconv.Itoa(number), Address: "127.0.0.1:1", State: "live"})
		manual.Advance(300)
	}
	t.Run("an empty list", func(t *testing.T) { expectHosts(t, client, &sent, 1) })
	t.Run("a changed list is sent", func(t *testing.T) {
		add(1)
		expectHosts(t, client, &sent, 2, "host-1")
	})
	t.Run("an unchanged list is not sent again", func(t *testing.T) { expectHosts(t, client, &sent, 2, "host-1") })
	t.Run("a removed host", func(t *testing.T) {
		standin.RemoveHost("host-1")
		manual.Advance(300)
		expectHosts(t, client, &sent, 3)
	})
}
