package entry

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/request"
	"sapphirehead/internal/route"
	"sapphirehead/internal/service"
	"sapphirehead/internal/settings"
	"sapphirehead/internal/standin/brokenstandin"
	"sapphirehead/internal/standin/platformstandin"
)

// brokenAnswers are responses that are none, with what the log says of them.
var brokenAnswers = []struct{ name, text, reason string }{
	{"status", "HTTP/1.1 000 Odd\r\nContent-Length: 2\r\n\r\nok", `has the status \"000\"`},
	{"another protocol", "HTTP/1.1 101 Odd\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", `has the status \"101\"`},
	{"name", "HTTP/1.1 200 OK\r\nX Odd: a\r\nContent-Length: 2\r\n\r\nok", `begins with \"X \"`},
	{"framing", "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", `begins with \"Transfer-Encoding \"`},
	{"folded line", "HTTP/1.1 500 Failed\r\nX-A: b\r\n X-Odd: a\r\nContent-Length: 2\r\n\r\nno", `begins with \" \"`},
	{"interim response", "HTTP/1.1 103 Wait\r\nX\x01: a\r\n\r\nHTTP/1.1 200 OK\r\n\r\ndata: [DONE]\n\n", `begins with \"X\\x01\"`},
}

// TestBrokenAnswer guards against an answer of a service that is none and that reaches the
// caller. The call is not sent again, as it may have run.
func TestBrokenAnswer(t *testing.T) {
	standin, err := brokenstandin.New(brokenstandin.NewAnswer("", brokenstandin.EndingKeep))
	require.NoError(t, err)
	defer standin.Close()
	bookingCluster := newBookingCluster(t)
	bookingCluster.platform.SetHost(platformstandin.Host{ID: "booking-1", Address: standin.Address(), DataCentre: "lj-a", HostClass: "plain", Pool: "booking", State: "live"})
	awaitServer(t, bookingCluster.entries[0], standin.Address())
	calls := int64(0)
	for _, broken := range brokenAnswers {
		t.Run(broken.name, func(t *testing.T) {
			standin.SetAnswer(brokenstandin.NewAnswer(broken.text, brokenstandin.EndingClose))
			calls++
			key := fmt.Sprint("renewal-", calls)
			for range 2 {
				require.Contains(t, bookingCluster.expectPost(0, "/bookings", key, "set", http.StatusBadGateway), `"outcomeUnknown"`)
				require.Equal(t, calls, standin.Requests())
			}
		})
	}
}

// awaitServer waits until the node uses a server at the address.
func awaitServer(t *testing.T, entry *Entry, address string) {
	t.Helper()
	for {
		for _, server := range entry.fleet.Current().Servers() {
			if server.Address() == address {
				return
			}
		}
		require.NoError(t, clock.System().Wait(t.Context(), clock.Millisecond))
	}
}

// TestBrokenAnswerLogged checks that the log says why an attempt of a call or a chat has no
// response.
func TestBrokenAnswerLogged(t *testing.T) {
	standin, err := brokenstandin.New(brokenstandin.NewAnswer("", brokenstandin.EndingKeep))
	require.NoError(t, err)
	defer standin.Close()
	loaded, err := settings.ParseEntry("test", fmt.Appendf(nil, testSettings, 1, "127.0.0.1:1", testAccount, otherKey))
	require.NoError(t, err)
	var lines bytes.Buffer
	entry, err := New(loaded, clock.System(), zerolog.New(&lines))
	require.NoError(t, err)
	server := backend.NewServer("server-1", standin.Address(), "lj-a", "plain", "booking")
	req := request.New("req-1", "garage-north", route.New("bookings", route.KindService, "booking"), "", request.Prompt{}, 0)
	flow := request.NewFlow(req, clock.NewManual(0).Clock(), func(*request.Request, []string) (*backend.Server, bool) { return server, true },
		func(*request.Request) bool { return true })
	attempt := flow.Start().Attempt()
	attempts := map[string]func(ctx context.Context) error{
		"call": func(ctx context.Context) error {
			_, cause, err := entry.driver.call(ctx, server, req, service.NewCall(http.MethodPost, "/bookings", "text/plain", []byte("set")))
			require.Equal(t, request.CauseCut, cause)
			return err
		},
		"chat": func(ctx context.Context) error { _, err := entry.driver.open(ctx, req, attempt); return err },
	}
	for name, send := range attempts {
		for _, broken := range brokenAnswers {
			t.Run(name+", "+broken.name, func(t *testing.T) {
				lines.Reset()
				standin.SetAnswer(brokenstandin.NewAnswer(broken.text, brokenstandin.EndingClose))
				require.Error(t, send(t.Context()))
				require.Contains(t, lines.String(), broken.reason)
				require.Contains(t, lines.String(), `"requestId":"req-1"`)
				require.Contains(t, lines.String(), `"message":"response is broken"`)
			})
		}
	}
}
