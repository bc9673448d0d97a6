package edge_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"regexp"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"sapphirehead/internal/incident"
	"sapphirehead/internal/standin/enginestandin"
)

// TestExplain makes requests fail and checks that the cause is found from the
// request id and the log alone.
func TestExplain(t *testing.T) {
	fixture := newFixture(t)
	expectCause := func(t *testing.T, cause incident.Cause, reason string) {
		t.Helper()
		id := fmt.Sprint("r-", fixture.requestCount)
		fixture.log.await(`"message":"request"`, `"requestId":"`+id+`"`)
		explanation, err := incident.Explain(id, fixture.log.reader())
		require.NoError(t, err)
		require.Equal(t, cause, explanation.Cause(), "%s: %s", explanation.Cause(), explanation.Reason())
		require.Regexp(t, reason, explanation.Reason())
		require.NotEmpty(t, explanation.Evidence())
	}
	t.Run("served", func(t *testing.T) {
		fixture.call(http.MethodPost, "/book/a")
		expectCause(t, incident.CauseNone, "passed on")
	})
	t.Run("refused by every server", func(t *testing.T) {
		setManners(fixture.apps, enginestandin.BehaviourRefuse)
		fixture.call(http.MethodPost, "/book/b")
		expectCause(t, incident.CauseFull, "app-[01], did not run it: refused")
		setManners(fixture.apps)
	})
	t.Run("a stream broke off", func(t *testing.T) {
		setManners(fixture.chats, enginestandin.BehaviourBreakStream)
		fixture.call(http.MethodPost, "/chat/b")
		expectCause(t, incident.CauseServerBroke, "chat-[01]: unexpected EOF")
		setManners(fixture.chats)
	})
	t.Run("bytes that are not a response", func(t *testing.T) {
		setManners(fixture.apps, enginestandin.BehaviourGarbage)
		fixture.call(http.MethodPost, "/book/c")
		expectCause(t, incident.CauseServerBroke, "app-[01]: answer lost")
		setManners(fixture.apps)
	})
	t.Run("deadline exceeded", func(t *testing.T) {
		setManners(fixture.apps, enginestandin.BehaviourSilent)
		fixture.call(http.MethodPost, "/book/d", func(request *http.Request) { request.Header.Set("X-Deadline-Ms", "300") })
		expectCause(t, incident.CauseTimeUp, "while server app-[01] worked on it")
		setManners(fixture.apps)
	})
	t.Run("an error of the server", func(t *testing.T) {
		setManners(fixture.apps, enginestandin.BehaviourFail)
		fixture.call(http.MethodPost, "/book/e")
		expectCause(t, incident.CauseServerFailed, "app-[01]")
		setManners(fixture.apps)
	})
	t.Run("denied", func(t *testing.T) {
		fixture.call(http.MethodGet, "/nothing/a")
		expectCause(t, incident.CauseDenied, "no such route")
	})
	t.Run("over the allotment", func(t *testing.T) {
		small := func(request *http.Request) { request.Header.Set("Authorization", "Token key-of-small") }
		for range 3 {
			fixture.call(http.MethodGet, "/look/a", small)
		}
		expectCause(t, incident.CauseOverLimit, "allotment")
	})
	t.Run("no server", func(t *testing.T) {
		fixture.store.Remove("servers", "chat-0")
		fixture.store.Remove("servers", "chat-1")
		fixture.log.await("backend server gone", "chat-0")
		fixture.log.await("backend server gone", "chat-1")
		fixture.call(http.MethodPost, "/chat/c")
		expectCause(t, incident.CauseNoServer, "no server")
	})
	t.Run("the response of a server that died is lost", func(t *testing.T) {
		setManners(fixture.apps, enginestandin.BehaviourCut)
		fixture.call(http.MethodPost, "/book/f")
		expectCause(t, incident.CauseServerBroke, "app-[01]: ")
		setManners(fixture.apps)
	})
	t.Run("unknown", func(t *testing.T) {
		_, err := incident.Explain("nobody", fixture.log.reader())
		var missing *incident.NotFoundError
		require.True(t, errors.As(err, &missing))
		require.Equal(t, "nobody", missing.ID())
	})
}

// TestMetricsPage compares the metrics that a node serves with those listed in
// docs/METRICS.md.
func TestMetricsPage(t *testing.T) {
	fixture := newFixture(t)
	require.Equal(t, http.StatusOK, fixture.call(http.MethodPost, "/book/a").status)
	fixture.node.PublishDroppedLines(func() int64 { return 0 })
	httpResponse, err := fixture.client.Get("http://" + fixture.node.Addresses()["metrics"] + "/metrics")
	require.NoError(t, err)
	defer httpResponse.Body.Close()
	served := map[string]any{}
	require.NoError(t, json.NewDecoder(httpResponse.Body).Decode(&served))
	page, err := os.ReadFile("../../docs/METRICS.md")
	require.NoError(t, err)
	section := regexp.MustCompile(`(?s)### sapphire-edge\n.*?\n## `).Find(page)
	require.NotNil(t, section)
	var named, names []string
	for _, match := range regexp.MustCompile("(?m)^\\| `([a-zA-Z]+)` \\|").FindAllSubmatch(section, -1) {
		named = append(named, string(match[1]))
	}
	for name := range served {
		names = append(names, name)
	}
	require.ElementsMatch(t, named, names)
}
