package edge_test

import (
	"fmt"
	"io"
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

// answerHeader are the header lines of each answer, without those of its framing.
const answerHeader = "X-Request-Id: $ID\r\nX-Response-Stamp: s\r\nContent-Type: text/event-stream\r\n"

// expectAnswers sends requests of each kind, each answered with the status line and the
// additional header lines, in each framing. The caller must get the whole answer if isSound
// is set, and 502 otherwise.
func expectAnswers(t *testing.T, fixture *fixture, server *brokenstandin.Server, statusLine, lines string, isSound bool) {
	t.Helper()
	for _, kind := range routeKinds {
		for _, framing := range framings {
			t.Run(kind.name+", "+framing.name, func(t *testing.T) {
				header, framed, ending := framing.frame(kind.body)
				server.SetAnswer(brokenstandin.NewAnswer("HTTP/1.1 200 OK\r\n"+answerHeader+header+"\r\n"+framed, ending))
				require.Equal(t, http.StatusOK, fixture.call(kind.method, kind.path+"sound").status)
				server.SetAnswer(brokenstandin.NewAnswer(statusLine+"\r\n"+lines+answerHeader+header+"\r\n"+framed, ending))
				expectAnswer(t, fixture, server, kind, isSound)
			})
		}
	}
}

// expectAnswer sends a request of the kind. The caller must get the whole answer if isSound
// is set, and 502 otherwise, with the reason in the log. The request may not be sent more
// often than its route allows.
func expectAnswer(t *testing.T, fixture *fixture, server *brokenstandin.Server, kind routeKind, isSound bool) {
	t.Helper()
	before := server.Requests()
	got := fixture.call(kind.method, kind.path+"broken")
	require.NoError(t, got.err)
	require.Positive(t, server.Requests()-before)
	require.LessOrEqual(t, server.Requests()-before, kind.maxSends)
	if isSound {
		require.Equal(t, http.StatusOK, got.status)
		require.Equal(t, kind.body, got.body)
		return
	}
	require.Equal(t, http.StatusBadGateway, got.status, "%v %q", got.header, got.body)
	require.True(t, fixture.log.containsLine(`"message":"attempt failed"`, `"requestId":"`+got.header.Get("X-Request-Id")+`"`, `"error":"answer lost: `))
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

// TestBrokenFieldName guards against a response in whose head the name of a field is none,
// and that reaches the caller, or with a body framed in another way than the server's.
func TestBrokenFieldName(t *testing.T) {
	fixture, server := withBrokenServer(t)
	for name, lines := range map[string]string{
		"a blank in the name":           "X Odd: a\r\n",
		"a blank before the colon":      "X-Odd : a\r\n",
		"a tab before the colon":        "X-Odd\t: a\r\n",
		"a blank before the name":       "X-A: b\r\n X-Odd: a\r\n",
		"a tab before the name":         "X-A: b\r\n\tX-Odd: a\r\n",
		"a blank before the first name": " X-Odd: a\r\n",
		"a tab in the name":             "X\tOdd: a\r\n",
		"NUL":                           "X\x00Odd: a\r\n",
		"DEL":                           "X\x7fOdd: a\r\n",
		"a carriage return":             "X\rOdd: a\r\n",
		"above 127":                     "X\xe9Odd: a\r\n",
		"no name":                       ": a\r\n",
		"no colon":                      "X-Odd\r\n",
	} {
		for _, status := range []string{"200 OK", "500 Failed"} {
			t.Run(name+", "+status, func(t *testing.T) { expectAnswers(t, fixture, server, "HTTP/1.1 "+status, lines, false) })
		}
		t.Run(name+", interim", func(t *testing.T) {
			expectAnswers(t, fixture, server, "HTTP/1.1 103 Early Hints", lines+"\r\nHTTP/1.1 200 OK\r\n", false)
		})
	}
	for name, text := range map[string]string{
		"chunks":             "Transfer-Encoding : chunked\r\n\r\n5\r\nfound\r\n0\r\n\r\n",
		"chunks, folded":     "X-A: b\r\n Transfer-Encoding: chunked\r\n\r\n5\r\nfound\r\n0\r\n\r\n",
		"a length":           "Content-Length : 5\r\n\r\nfoundHTTP/1.1 200 OK",
		"a length after one": "Content-Length: 7\r\nContent-Length : 5\r\n\r\nfoundno",
	} {
		t.Run("a blank in the name that frames the body, "+name, func(t *testing.T) {
			server.SetAnswer(brokenstandin.NewAnswer("HTTP/1.1 200 OK\r\n"+answerHeader+text, brokenstandin.EndingClose))
			expectAnswer(t, fixture, server, routeKinds[0], false)
			expectAnswer(t, fixture, server, routeKinds[1], false)
		})
	}
	for name, lines := range map[string]string{
		"all characters of a name":   "!#$%&'*+-.^_`|~09azAZ: a\r\n",
		"blanks around a value":      "X-A:\t a b \t\r\n",
		"an empty value":             "X-A:\r\n",
		"colons in a value":          "X-A: b : c\r\n",
		"bytes above 127 in a value": "X-A: \xe9\r\n",
		"names in lower case":        "x-a: b\r\nx-a: c\r\n",
	} {
		t.Run(name, func(t *testing.T) { expectAnswers(t, fixture, server, "HTTP/1.1 200 OK", lines, true) })
	}
}

const (
	// uploadBytes is the size of a request that doesn't fit into the buffers of a connection.
	uploadBytes = 8 << 20
	// resetRounds is the number of requests of each kind. Which goroutine of the node gets the
	// error of a reset differs from one to the next.
	resetRounds = 15
	// longBytes is the size of a response that is passed on as it arrives.
	longBytes = 300 << 10
	// earlyRounds is the number of requests that get a whole response early, of each kind.
	earlyRounds = 3
)

// upload sends a request of the kind with a long body. No two are alike, as one that is
// repeated after resets is quarantined.
func (fixture *fixture) upload(kind routeKind) response {
	fixture.t.Helper()
	return fixture.call(http.MethodPost, fmt.Sprint(kind.path, "upload/", fixture.requestCount), func(request *http.Request) {
		request.Body = io.NopCloser(strings.NewReader(strings.Repeat("x", uploadBytes)))
		request.ContentLength = uploadBytes
	})
}

// TestResetDuringUpload guards against a part of a response that reaches the caller as a
// whole one, as the connection was reset while the request was still being written.
func TestResetDuringUpload(t *testing.T) {
	fixture, server := withBrokenServer(t)
	long := routeKind{name: "long lookup", path: "/look/", body: strings.Repeat("x", longBytes), maxSends: 2}
	for _, kind := range append([]routeKind{long}, routeKinds...) {
		for _, status := range []string{"200 OK", "500 Failed"} {
			t.Run(kind.name+", "+status, func(t *testing.T) {
				server.SetAnswer(brokenstandin.NewAnswer("HTTP/1.1 "+status+"\r\n"+answerHeader+"\r\n"+kind.body, brokenstandin.EndingReset))
				whole := 0
				for range resetRounds {
					before := server.Requests()
					got := fixture.upload(kind)
					require.Positive(t, server.Requests()-before)
					require.LessOrEqual(t, server.Requests()-before, kind.maxSends)
					if got.err == nil && strings.HasPrefix(status, fmt.Sprint(got.status)) {
						whole++
					}
				}
				require.Zero(t, whole, "of %d requests", resetRounds)
				require.True(t, fixture.log.containsLine(`"level":"warn"`, `"requestId":"r-`+fmt.Sprint(fixture.requestCount)+`"`, `"error":"`), fixture.log.tail())
			})
		}
	}
}

// TestEarlyResponse checks that a whole response is served that comes before the end of a
// long upload.
func TestEarlyResponse(t *testing.T) {
	fixture, server := withBrokenServer(t)
	for _, kind := range routeKinds {
		for _, framing := range framings {
			for ending, name := range map[brokenstandin.Ending]string{
				brokenstandin.EndingHalfClose: "the rest is read", brokenstandin.EndingClose: "after all of it",
				brokenstandin.EndingHalfCloseUnread: "the rest is not read", brokenstandin.EndingReset: "a reset behind it",
			} {
				if ending == brokenstandin.EndingReset && framing.name == "neither" {
					// Nothing tells such a response from a part of one.
					continue
				}
				t.Run(kind.name+", "+framing.name+", "+name, func(t *testing.T) {
					header, framed, _ := framing.frame(kind.body)
					server.SetAnswer(brokenstandin.NewAnswer("HTTP/1.1 200 OK\r\n"+answerHeader+header+"\r\n"+framed, ending))
					for range earlyRounds {
						got := fixture.upload(kind)
						require.NoError(t, got.err)
						require.Equal(t, http.StatusOK, got.status, got.body)
						require.Equal(t, kind.body, got.body)
					}
				})
			}
		}
	}
}
