package edge_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/edge"
	"sapphirehead/internal/settings"
	"sapphirehead/internal/standin/dutystandin"
	"sapphirehead/internal/standin/enginestandin"
	"sapphirehead/internal/standin/storestandin"
)

// TestMain checks that no goroutines remain. The stand-ins' HTTP servers wait
// 0.5 s before they close a connection, which is no leak.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("net/http.(*conn).closeWriteAndWait"))
}

// testLog collects log lines, and lets tests wait for one instead of sleeping.
type testLog struct {
	mutex sync.Mutex
	all   []string
	added chan struct{}
}

func newTestLog() *testLog { return &testLog{added: make(chan struct{})} }

// Write appends one line.
func (testLog *testLog) Write(line []byte) (int, error) {
	testLog.mutex.Lock()
	defer testLog.mutex.Unlock()
	testLog.all = append(testLog.all, string(bytes.TrimSpace(line)))
	close(testLog.added)
	testLog.added = make(chan struct{})
	return len(line), nil
}

// await waits for a line with all of the texts and returns it.
func (testLog *testLog) await(texts ...string) string {
	for {
		testLog.mutex.Lock()
		added := testLog.added
		for _, line := range testLog.all {
			if containsAll(line, texts) {
				testLog.mutex.Unlock()
				return line
			}
		}
		testLog.mutex.Unlock()
		<-added
	}
}

// awaitCount waits until there are at least count lines with the text.
func (testLog *testLog) awaitCount(text string, count int) {
	for {
		testLog.mutex.Lock()
		added, found := testLog.added, 0
		for _, line := range testLog.all {
			if strings.Contains(line, text) {
				found++
			}
		}
		testLog.mutex.Unlock()
		if found >= count {
			return
		}
		<-added
	}
}

// reader returns the whole log so far.
func (testLog *testLog) reader() io.Reader {
	testLog.mutex.Lock()
	defer testLog.mutex.Unlock()
	return strings.NewReader(strings.Join(testLog.all, "\n"))
}

// contains reports whether there is a line with the text.
func (testLog *testLog) contains(text string) bool {
	testLog.mutex.Lock()
	defer testLog.mutex.Unlock()
	for _, line := range testLog.all {
		if strings.Contains(line, text) {
			return true
		}
	}
	return false
}

func containsAll(line string, texts []string) bool {
	for _, text := range texts {
		if !strings.Contains(line, text) {
			return false
		}
	}
	return true
}

// testNode is one node with its own connection to the store, at which a test
// can inject faults.
type testNode struct {
	host  string
	door  *storestandin.Endpoint
	log   *testLog
	node  *edge.Edge
	stop  context.CancelFunc
	kill  context.CancelFunc
	ended chan error
}

// fixture is one node, or several, between stand-ins.
type fixture struct {
	*testNode
	t            *testing.T
	store        *storestandin.Store
	duty         *dutystandin.API
	chats        []*enginestandin.Engine
	apps         []*enginestandin.Engine
	client       *http.Client
	requestCount int
}

const testConfiguration = `{"version":3,"routes":[
	{"name":"chat","host":"desk.example","pathPrefix":"/chat/","kind":"streaming","timeoutMs":4000,"targetLatencyMs":2000,"service":"engines","maxAttempts":1},
	{"name":"resume","host":"desk.example","pathPrefix":"/resume/","kind":"streaming","timeoutMs":4000,"targetLatencyMs":2000,"service":"engines","maxAttempts":2,"resumable":true},
	{"name":"book","host":"desk.example","pathPrefix":"/book/","kind":"non_idempotent","timeoutMs":4000,"targetLatencyMs":300,"service":"app","maxAttempts":1},
	{"name":"look","host":"desk.example","pathPrefix":"/look/","kind":"idempotent","timeoutMs":4000,"targetLatencyMs":300,"service":"app","maxAttempts":2},
	{"name":"open","host":"desk.example","pathPrefix":"/look/open/","kind":"idempotent","timeoutMs":4000,"targetLatencyMs":300,"service":"app","maxAttempts":2,"public":true}],
	"services":[{"name":"engines","engine":{"batchSlots":16,"kvCapacity":100000}},{"name":"app"}],
	"limits":{"maxBodyBytes":65536},
	"tenants":[{"name":"garage","apiKeys":["key-of-garage"],"unit":"tokens","plainTokens":10,"ratePerS":100000,"burst":100000},
		{"name":"small","apiKeys":["key-of-small"],"unit":"tokens","plainTokens":10,"ratePerS":1,"burst":15}]}`

// newFixture starts a node with two servers in each pool.
func newFixture(t *testing.T) *fixture {
	t.Helper()
	fixture := newEmptyFixture(t)
	fixture.testNode = fixture.startReady("edge-1")
	return fixture
}

// newEmptyFixture sets up the stand-ins without a node.
func newEmptyFixture(t *testing.T) *fixture {
	t.Helper()
	fixture := &fixture{t: t, store: storestandin.New(), duty: dutystandin.New()}
	fixture.client = &http.Client{Transport: &http.Transport{}, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	fixture.store.Set("config", "main", testConfiguration)
	for i := range 2 {
		fixture.chats = append(fixture.chats, fixture.addServer(fmt.Sprint("chat-", i), "engines", true))
		fixture.apps = append(fixture.apps, fixture.addServer(fmt.Sprint("app-", i), "app", false))
	}
	t.Cleanup(fixture.client.CloseIdleConnections)
	return fixture
}

// startReady starts a node and waits until it can serve.
func (fixture *fixture) startReady(host string) *testNode {
	fixture.t.Helper()
	testNode := fixture.start(host, fixture.store)
	for _, id := range []string{"chat-0", "chat-1", "app-0", "app-1"} {
		testNode.log.await("backend server listed", id)
	}
	testNode.log.await("configuration active", `"version":3`)
	testNode.log.await("object of this node written")
	return testNode
}

// start starts a node that follows the store.
func (fixture *fixture) start(host string, store *storestandin.Store) *testNode {
	fixture.t.Helper()
	testNode := &testNode{host: host, door: store.NewEndpoint(), log: newTestLog(), ended: make(chan error, 1)}
	loaded := fixture.settings(testNode)
	var err error
	testNode.node, err = edge.New(loaded, clock.System(), zerolog.New(testNode.log))
	require.NoError(fixture.t, err)
	stop, cancel := context.WithCancel(context.Background())
	kill, end := context.WithCancel(context.Background())
	testNode.stop, testNode.kill = cancel, end
	go func() {
		testNode.ended <- testNode.node.Run(stop, kill, nil, func() (*settings.Edge, error) { return loaded, nil })
		close(testNode.ended)
	}()
	fixture.t.Cleanup(func() {
		end()
		require.NoError(fixture.t, <-testNode.ended)
		cancel()
	})
	return testNode
}

func (fixture *fixture) settings(testNode *testNode) *settings.Edge {
	fixture.t.Helper()
	loaded, err := settings.ParseEdge("edge.toml", []byte(fmt.Sprintf(`
host = %q
dataCentre = "lj-a"
[caller]
listen = "127.0.0.1:0"
readyListen = "127.0.0.1:0"
[node]
listen = "127.0.0.1:0"
[metrics]
listen = "127.0.0.1:0"
[platform]
address = %q
[cloud]
address = %q
[bounds]
usageWindowSeconds = 0.5
usageLateSeconds = 8
leaseMillis = 500
`, testNode.host, fixture.serve(testNode.door), fixture.serve(fixture.duty))))
	require.NoError(fixture.t, err)
	return loaded
}

// serve serves a stand-in and returns its address.
func (fixture *fixture) serve(handler http.Handler) string {
	fixture.t.Helper()
	server := httptest.NewServer(handler)
	fixture.t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func (fixture *fixture) addServer(id, pool string, streams bool) *enginestandin.Engine {
	fixture.t.Helper()
	engine := enginestandin.New(id, streams)
	fixture.listServer(id, pool, fixture.serve(engine), "ready")
	return engine
}

func (fixture *fixture) listServer(id, pool, address, state string) {
	fixture.store.Set("servers", id, fmt.Sprintf(
		`{"service":%q,"address":%q,"zone":"lj-a","version":"v1","batchSlots":6,"state":%q,"coldRemainingMs":0,"sequence":1}`, pool, address, state))
}

// response is what a caller received.
type response struct {
	status int
	header http.Header
	body   string
	err    error
}

// call sends a request as the client account garage.
func (fixture *fixture) call(method, path string, edits ...func(*http.Request)) response {
	fixture.t.Helper()
	return fixture.callAt(fixture.testNode, method, path, edits...)
}

// callAt sends a request to a node.
func (fixture *fixture) callAt(testNode *testNode, method, path string, edits ...func(*http.Request)) response {
	fixture.t.Helper()
	fixture.requestCount++
	request, err := http.NewRequest(method, "http://"+testNode.node.Addresses()["caller"]+path, strings.NewReader("body of "+path))
	require.NoError(fixture.t, err)
	request.Host = "desk.example"
	request.Header.Set("X-Request-Id", fmt.Sprint("r-", fixture.requestCount))
	request.Header.Set("X-Deadline-Ms", "3000")
	request.Header.Set("Authorization", "Token key-of-garage")
	for _, edit := range edits {
		edit(request)
	}
	httpResponse, err := fixture.client.Do(request)
	if err != nil {
		return response{err: err}
	}
	defer httpResponse.Body.Close()
	body, err := io.ReadAll(httpResponse.Body)
	return response{status: httpResponse.StatusCode, header: httpResponse.Header, body: string(body), err: err}
}

// countRuns returns the number of requests that the servers ran.
func countRuns(servers []*enginestandin.Engine) int {
	total := 0
	for _, server := range servers {
		total += len(server.Executed())
	}
	return total
}

// setManners sets the manners of both servers of a pool.
func setManners(servers []*enginestandin.Engine, manners ...enginestandin.Behaviour) {
	for _, server := range servers {
		server.SetBehaviours(manners...)
	}
}

func wholeStream() string {
	var events strings.Builder
	for id := range enginestandin.StreamEvents {
		fmt.Fprintf(&events, "id: %d\ndata: piece %d\n\n", id, id)
	}
	return events.String()
}
