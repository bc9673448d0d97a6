package operatorhttp_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"sapphirehead/internal/burn"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/operator"
	"sapphirehead/internal/operator/operatorhttp"
	"sapphirehead/internal/platform"
	"sapphirehead/internal/route"
	"sapphirehead/internal/table"
)

const writeToken, readToken = "token-of-writers", "token-of-readers"

// fakeNode is a node behind the handler that records its calls.
type fakeNode struct {
	refused []string
	commits []string
	drained []string
	err     error
}

func (node *fakeNode) token(given string) (operator.Token, bool) {
	switch given {
	case writeToken:
		return operator.NewToken("ana", true), true
	case readToken:
		return operator.NewToken("desk", false), true
	default:
		return operator.Token{}, false
	}
}

func (node *fakeNode) handler() http.Handler {
	return operatorhttp.New(node.token,
		func(_ context.Context, by string, edit *table.Edit) (*table.Tables, error) {
			node.commits = append(node.commits, by+" "+edit.ID())
			return table.Empty(), node.err
		},
		func(context.Context) (*table.Tables, error) { return table.Empty(), node.err },
		func(context.Context, string, int) ([]operator.Record, error) {
			return []operator.Record{operator.NewRecord(7, "edit-1", "ana", 1000, 2, table.Empty(), table.Empty())}, node.err
		},
		func() operator.Status { return operator.Status{} },
		func(context.Context) ([]operator.LeaseStatus, error) {
			return []operator.LeaseStatus{operator.NewLeaseStatus("orders.runners.lj-a", "entry-1", 0).WithFence(4)}, node.err
		},
		func(_ context.Context, by, host string) error {
			node.drained = append(node.drained, by+" "+host)
			return node.err
		},
		func(by, id string) error {
			node.drained = append(node.drained, by+" "+id)
			return node.err
		},
		func(context.Context) burn.Report { return burnOfNode() },
		func(_, name, reason string) { node.refused = append(node.refused, name+" "+reason) },
	).Router()
}

func call(node *fakeNode, method, path, token, body string) *httptest.ResponseRecorder {
	message := httptest.NewRequest(method, path, strings.NewReader(body))
	if token != "" {
		message.Header.Set("Authorization", "Bearer "+token)
	}
	recorder := httptest.NewRecorder()
	node.handler().ServeHTTP(recorder, message)
	return recorder
}

// expectError checks the status and type of an error.
func expectError(t *testing.T, recorder *httptest.ResponseRecorder, status int, kind string) {
	t.Helper()
	require.Equal(t, status, recorder.Code)
	require.Contains(t, recorder.Body.String(), `"type":"`+kind+`"`)
}

func TestTokens(t *testing.T) {
	expectRefused := func(t *testing.T, method, path, token string, status int, kind, wantRefusal string) {
		t.Helper()
		node := &fakeNode{}
		recorder := call(node, method, path, token, `{"id":"edit-1","node":"entry-1"}`)
		expectError(t, recorder, status, kind)
		require.Equal(t, []string{wantRefusal}, node.refused)
		require.Empty(t, node.commits)
		require.Empty(t, node.drained)
		if token != "" {
			require.NotContains(t, recorder.Body.String()+wantRefusal, token)
		}
	}
	for _, path := range []string{"/admin/v1/tables", "/admin/v1/history", "/admin/v1/status", "/admin/v1/leases", "/admin/v1/burn", "/debug/vars"} {
		t.Run("none "+path, func(t *testing.T) { expectRefused(t, http.MethodGet, path, "", 401, "unauthorized", " no token") })
		t.Run("wrong "+path, func(t *testing.T) {
			expectRefused(t, http.MethodGet, path, "token-of-nobody", 401, "unauthorized", " wrong token")
		})
		t.Run("reader "+path, func(t *testing.T) { require.Equal(t, 200, call(&fakeNode{}, http.MethodGet, path, readToken, "").Code) })
	}
	for _, path := range []string{"/admin/v1/edits", "/admin/v1/drains"} {
		t.Run("reader "+path, func(t *testing.T) {
			expectRefused(t, http.MethodPost, path, readToken, 403, "forbidden", "desk token may only read")
		})
	}
	t.Run("writer", func(t *testing.T) {
		node := &fakeNode{}
		require.Equal(t, 200, call(node, http.MethodPost, "/admin/v1/edits", writeToken, `{"id":"edit-1"}`).Code)
		require.Equal(t, []string{"ana edit-1"}, node.commits)
	})
}

func TestDrain(t *testing.T) {
	t.Run("node", func(t *testing.T) {
		node := &fakeNode{}
		require.Equal(t, 200, call(node, http.MethodPost, "/admin/v1/drains", writeToken, `{"node":"entry-1"}`).Code)
		require.Equal(t, []string{"ana entry-1"}, node.drained)
	})
	t.Run("unknown backend server", func(t *testing.T) {
		node := &fakeNode{err: operator.NewNotFoundError("backend server", "host-1")}
		expectError(t, call(node, http.MethodPost, "/admin/v1/drains", writeToken, `{"backendServer":"host-1"}`), 404, "notFound")
	})
	for name, body := range map[string]string{"both": `{"node":"a","backendServer":"b"}`, "neither": `{}`, "not JSON": `x`} {
		t.Run(name, func(t *testing.T) {
			node := &fakeNode{}
			expectError(t, call(node, http.MethodPost, "/admin/v1/drains", writeToken, body), 400, "badRequest")
			require.Empty(t, node.drained)
		})
	}
}

func TestFailures(t *testing.T) {
	lost := platform.NewUnavailableError(true, errors.New("lost"))
	for name, failure := range map[string]struct {
		err    error
		status int
	}{
		"outcomeUnknown":      {lost, 502},
		"platformUnavailable": {platform.NewUnavailableError(false, errors.New("down")), 503},
		"invalid":             {table.NewCheckError(nil), 422},
	} {
		t.Run(name, func(t *testing.T) {
			expectError(t, call(&fakeNode{err: failure.err}, http.MethodPost, "/admin/v1/edits", writeToken, `{"id":"edit-1"}`), failure.status, name)
		})
	}
	t.Run("conflict shows both rows", func(t *testing.T) {
		edit := table.NewEdit("edit-2")
		edit.SetRoute(route.New("desk", route.KindChat, "runners").WithWorth(7), 3)
		stored := table.New(5, []route.Route{route.New("desk", route.KindChat, "runners").WithWorth(6).WithRevision(5)}, nil, nil)
		_, err := stored.Apply(edit)
		recorder := call(&fakeNode{err: err}, http.MethodPost, "/admin/v1/edits", writeToken, `{"id":"edit-2"}`)
		expectError(t, recorder, 409, "conflict")
		require.Contains(t, recorder.Body.String(), `"conflict":{"row":"route/desk","have":5,"named":3,"differences":[{"field":"worth","stored":"6","wanted":"7"}]}`)
	})
	t.Run("limit out of range", func(t *testing.T) {
		expectError(t, call(&fakeNode{}, http.MethodGet, "/admin/v1/history?limit=0", readToken, ""), 400, "badRequest")
	})
	t.Run("body too large", func(t *testing.T) {
		expectError(t, call(&fakeNode{}, http.MethodPost, "/admin/v1/edits", writeToken, strings.Repeat(" ", 2<<20)), 413, "badRequest")
	})
}

func TestClient(t *testing.T) {
	server := httptest.NewServer((&fakeNode{}).handler())
	defer server.Close()
	client := operatorhttp.NewClient(strings.TrimPrefix(server.URL, "http://"), readToken, nil, clock.System(), 10*clock.Second)
	ctx := context.Background()
	t.Run("history", func(t *testing.T) {
		records, err := client.History(ctx, "", 1)
		require.NoError(t, err)
		require.Equal(t, "ana", records[0].By())
		require.Equal(t, 2, records[0].Omitted())
	})
	t.Run("leases", func(t *testing.T) {
		leases, err := client.Leases(ctx)
		require.NoError(t, err)
		require.Equal(t, []operator.LeaseStatus{operator.NewLeaseStatus("orders.runners.lj-a", "entry-1", 0).WithFence(4)}, leases)
	})
	t.Run("burn", func(t *testing.T) {
		report, err := client.Burn(ctx)
		require.NoError(t, err)
		require.Equal(t, burnOfNode(), report)
	})
	t.Run("refusal", func(t *testing.T) {
		var refused *operatorhttp.RefusedError
		require.ErrorAs(t, client.DrainNode(ctx, "entry-1"), &refused)
		require.Equal(t, "forbidden", refused.Kind())
	})
	t.Run("no listener", func(t *testing.T) {
		closedServer := httptest.NewServer(http.NotFoundHandler())
		closedServer.Close()
		_, err := operatorhttp.NewClient(strings.TrimPrefix(closedServer.URL, "http://"), readToken, nil, clock.System(), 10*clock.Second).Tables(ctx)
		var unreachable *operatorhttp.UnreachableError
		require.ErrorAs(t, err, &unreachable)
	})
}

func burnOfNode() burn.Report {
	meter := burn.New(clock.NewManual(100*clock.Hour).Clock(), 0.95, burn.DefaultSeries)
	meter.Count("desk", "garage-north", burn.Refused, 0)
	meter.Count("desk", "garage-north", burn.Good, 1.001)
	return meter.Report()
}

func FuzzEdit(f *testing.F) {
	f.Add([]byte(`{"id":"edit-1","routes":[{"name":"desk","kind":"chat","pool":"runners","model":"m","worth":1}],"removed":[{"row":"pool/x","revision":3}]}`))
	f.Add([]byte(`{"node":"entry-1"}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		for _, path := range []string{"/admin/v1/edits", "/admin/v1/drains"} {
			node := &fakeNode{}
			recorder := call(node, http.MethodPost, path, writeToken, string(body))
			require.Contains(t, []int{200, 400}, recorder.Code)
			if recorder.Code == 400 {
				require.Empty(t, node.commits, "state changed")
				require.Empty(t, node.drained, "state changed")
				require.Contains(t, recorder.Body.String(), `"message"`)
			}
		}
	})
}

func FuzzResponse(f *testing.F) {
	f.Add([]byte(`{"records":[{"version":1,"editId":"e","by":"a","atMillis":1,"before":{"routes":[],"pools":[]},"after":{"routes":[],"pools":[]}}]}`))
	f.Add([]byte(`{"rows":[{"route":"desk","windows":{"5m":{"outcomes":{"good":1},"worth":1e300}}}],"leases":[{"name":"x"}],"self":{"host":"a"}}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		ctx := context.Background()
		transport := func(*http.Request) (*http.Response, error) {
			return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(string(body)))}, nil
		}
		client := operatorhttp.NewClient("x", "x", nil, clock.NewManual(0).Clock(), clock.Second).WithTransport(transport)
		_, _ = client.Tables(ctx)
		_, _ = client.Status(ctx)
		_, _ = client.Leases(ctx)
		if records, err := client.History(ctx, "", 1); err == nil {
			_, err = operatorhttp.EncodeHistory(records)
			require.NoError(t, err)
		}
		if report, err := client.Burn(ctx); err == nil {
			burn.Merge(report, report)
		}
	})
}
