package edge_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/standin/brokenstandin"
)

// brokenServers is the number of servers in each pool, so that the circuits of some are
// closed after many broken answers.
const brokenServers = 60

// withBrokenServer starts a node whose servers are all at the address of the stand-in.
func withBrokenServer(t *testing.T) (*fixture, *brokenstandin.Server) {
	t.Helper()
	server, err := brokenstandin.New(brokenstandin.NewAnswer("", brokenstandin.EndingClose))
	require.NoError(t, err)
	t.Cleanup(server.Close)
	fixture := newEmptyFixture(t)
	fixture.store.Set("config", "main", strings.Replace(testConfiguration, `"maxBodyBytes":65536`, `"maxBodyBytes":16777216`, 1))
	for i := range brokenServers {
		fixture.listServer(fmt.Sprint("app-", i), "app", server.Address(), "ready")
		fixture.listServer(fmt.Sprint("chat-", i), "engines", server.Address(), "ready")
	}
	fixture.testNode = fixture.startReady("edge-1")
	return fixture, server
}

// routeKind is a kind of route with the body that its answers have.
type routeKind struct {
	name, method, path, body string
	maxSends                 int64
}

var routeKinds = []routeKind{
	{name: "lookup", method: http.MethodGet, path: "/look/", body: "found", maxSends: 2},
	{name: "booking", method: http.MethodPost, path: "/book/", body: "booked", maxSends: 1},
	{name: "stream", method: http.MethodPost, path: "/chat/", body: "id: 0\ndata: a\n\n", maxSends: 1},
	{name: "resumable stream", method: http.MethodPost, path: "/resume/", body: "id: 0\ndata: a\n\n", maxSends: 2},
}

// framings are the ways in which a response shows where its body ends.
var framings = []struct {
	name  string
	frame func(body string) (header, framed string, ending brokenstandin.Ending)
}{
	{"length", func(body string) (string, string, brokenstandin.Ending) {
		return fmt.Sprintf("Content-Length: %d\r\n", len(body)), body, brokenstandin.EndingKeep
	}},
	{"chunks", func(body string) (string, string, brokenstandin.Ending) {
		return "Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body), brokenstandin.EndingKeep
	}},
	{"neither", func(body string) (string, string, brokenstandin.Ending) { return "", body, brokenstandin.EndingClose }},
}

// expectAnswers sends requests of each kind, each answered with the status line and the
// additional header lines, in each framing and on new and kept connections. The caller must
// get the whole answer if isSound is set, and 502 otherwise. No request may be sent more
// often than its route allows.
func expectAnswers(t *testing.T, fixture *fixture, server *brokenstandin.Server, statusLine, lines string, isSound bool) {
	t.Helper()
	for _, kind := range routeKinds {
		for _, framing := range framings {
			t.Run(kind.name+", "+framing.name, func(t *testing.T) {
				header, framed, ending := framing.frame(kind.body)
				header = "X-Request-Id: $ID\r\nX-Response-Stamp: s\r\nContent-Type: text/event-stream\r\n" + header
				// The first request leaves a connection that the second may use.
				sound := brokenstandin.NewAnswer("HTTP/1.1 200 OK\r\n"+header+"\r\n"+framed, ending)
				server.SetAnswer(sound)
				require.Equal(t, http.StatusOK, fixture.call(kind.method, kind.path+"sound").status)
				server.SetAnswer(brokenstandin.NewAnswer(statusLine+"\r\n"+lines+header+"\r\n"+framed, ending))
				before := server.Requests()
				got := fixture.call(kind.method, kind.path+"broken")
				require.NoError(t, got.err)
				require.LessOrEqual(t, server.Requests()-before, kind.maxSends)
				require.Positive(t, server.Requests()-before)
				if isSound {
					require.Equal(t, http.StatusOK, got.status)
					require.Equal(t, kind.body, got.body)
					return
				}
				require.Equal(t, http.StatusBadGateway, got.status, "%v %q", got.header, got.body)
				require.True(t, fixture.log.containsLine(`"message":"attempt failed"`, `"requestId":"`+got.header.Get("X-Request-Id")+`"`, `"error":"answer lost: `))
			})
		}
	}
}

// TestBrokenStatus guards against a response whose status is no final one and that reaches
// the caller, or that makes bytes after its head a response.
func TestBrokenStatus(t *testing.T) {
	fixture, server := withBrokenServer(t)
	for _, status := range []string{"000", "001", "099", "-01", "+20"} {
		t.Run(status, func(t *testing.T) {
			expectAnswers(t, fixture, server, "HTTP/1.1 "+status+" Odd", "", false)
		})
	}
	for _, status := range []string{"000 Odd", "099 Odd", "101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade"} {
		t.Run(status[:3]+" and a response behind it", func(t *testing.T) {
			expectAnswers(t, fixture, server, "HTTP/1.1 "+status+"\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK", "", false)
		})
	}
	for _, interim := range []string{"100 Continue", "102 Processing", "103 Early Hints\r\nLink: </a>", "199 Odd"} {
		t.Run("interim "+interim[:3], func(t *testing.T) {
			expectAnswers(t, fixture, server, "HTTP/1.1 "+interim+"\r\n\r\nHTTP/1.1 200 OK", "", true)
		})
	}
}
