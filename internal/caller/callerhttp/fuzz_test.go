package callerhttp_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/caller"
	"sapphirehead/internal/caller/callerhttp"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/pool"
	"sapphirehead/internal/request"
	"sapphirehead/internal/route"
	"sapphirehead/internal/service"
	"sapphirehead/internal/table"
)

const key = "key-garage-north"

// fakeNode is a node behind the handler that counts admissions and releases.
type fakeNode struct {
	admitted int
	released int
}

func (node *fakeNode) handler() http.Handler {
	tables := table.New(1, []route.Route{
		route.New("desk", route.KindChat, "runners").WithModel("desk-small"),
		route.New("booking", route.KindService, "booking").WithPath("/bookings"),
	}, []pool.Pool{pool.New("runners", pool.KindRunner), pool.New("booking", pool.KindService)}, nil)
	accounts := caller.NewAccounts(map[string]*caller.Account{caller.HashKey(key): caller.NewAccount("garage-north", 0)})
	return callerhttp.New(clock.NewManual(0).Clock(),
		func() *table.Tables { return tables },
		func() *caller.Accounts { return accounts },
		func(*caller.Account, *request.Request) (func(), error) {
			node.admitted++
			return func() { node.released++ }, nil
		},
		func() bool { return true },
		func() string { return "req-1" },
		func(_ context.Context, _ *request.Request, deliver func(int, []string) error) error {
			return deliver(0, []string{"a", "b"})
		},
		func(context.Context, *request.Request, service.Call) (service.Answer, error) {
			return service.NewAnswer(http.StatusOK, "text/plain", []byte("done")), nil
		},
		func(context.Context, request.Resumption) (*request.Request, callerhttp.Follow, error) {
			return nil, nil, request.NewStreamNotFoundError("req-1")
		},
	).Router()
}

func post(node *fakeNode, path string, body []byte) *httptest.ResponseRecorder {
	message := httptest.NewRequest(http.MethodPost, path, bytes.NewReader(body))
	message.Header.Set("Authorization", "Bearer "+key)
	recorder := httptest.NewRecorder()
	node.handler().ServeHTTP(recorder, message)
	return recorder
}

func FuzzChat(f *testing.F) {
	f.Add([]byte(`{"model":"desk-small","messages":[{"role":"user","content":"When is it ready?"}],"max_tokens":4}`))
	f.Add([]byte(`{"model":"desk-small","stream":true,"stream_options":{"include_usage":true},"messages":[{"role":"user","content":[{"type":"text","text":"x"}]}]}`))
	f.Add([]byte(`{"model":"other","messages":[{"role":"user","content":{"a":1}}],"n":2}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		node := &fakeNode{}
		recorder := post(node, "/v1/chat/completions", body)
		require.Contains(t, []int{http.StatusOK, http.StatusBadRequest, http.StatusNotFound, http.StatusRequestEntityTooLarge}, recorder.Code)
		require.Equal(t, node.admitted, node.released)
		if recorder.Code != http.StatusOK {
			require.Zero(t, node.admitted, "state changed")
			require.Contains(t, recorder.Body.String(), `"message":`)
		}
	})
}
