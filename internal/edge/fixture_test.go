package edge_test

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
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

// waitLimit ends a wait that would never end. It is no bound on the speed of the
// code: a slow machine takes a small part of it.
const waitLimit = 2 * clock.Minute

// testLog collects log lines, and lets tests wait for one instead of sleeping.
type testLog struct {
	t     *testing.T
	mutex sync.Mutex
	all   []string
	added chan struct{}
	// hooks run once each, in the goroutine that writes the first line with their text.
	hooks map[string]func()
}

func newTestLog(t *testing.T) *testLog {
	return &testLog{t: t, added: make(chan struct{})}
}

// Write appends one line.
func (testLog *testLog) Write(line []byte) (int, error) {
	for _, hook := range testLog.appendLine(string(bytes.TrimSpace(line))) {
		hook()
	}
	return len(line), nil
}

// appendLine appends a line and returns the hooks that it runs.
func (testLog *testLog) appendLine(line string) []func() {
	testLog.mutex.Lock()
	defer testLog.mutex.Unlock()
	testLog.all = append(testLog.all, line)
	close(testLog.added)
	testLog.added = make(chan struct{})
	var due []func()
	for text, hook := range testLog.hooks {
		if strings.Contains(line, text) {
			due = append(due, hook)
			delete(testLog.hooks, text)
		}
	}
	return due
}

// onLine runs the hook when a line with the text is written, and holds up its writer
// until the hook returns.
func (testLog *testLog) onLine(text string, hook func()) {
	testLog.mutex.Lock()
	defer testLog.mutex.Unlock()
	if testLog.hooks == nil {
		testLog.hooks = make(map[string]func())
	}
	testLog.hooks[text] = hook
}

// await waits for a line with all of the texts and returns it.
func (testLog *testLog) await(texts ...string) string {
	testLog.t.Helper()
	found := ""
	testLog.awaitLines(fmt.Sprintf("a line with %q", texts), func(lines []string) bool {
		for _, line := range lines {
			if containsAll(line, texts) {
				found = line
				return true
			}
		}
		return false
	})
	return found
}

// awaitCount waits until there are at least count lines with the text.
func (testLog *testLog) awaitCount(text string, count int) {
	testLog.t.Helper()
	testLog.awaitLines(fmt.Sprintf("%d lines with %q", count, text), func(lines []string) bool {
		found := 0
		for _, line := range lines {
			if strings.Contains(line, text) {
				found++
			}
		}
		return found >= count
	})
}

// awaitLines waits until the lines satisfy the condition. After waitLimit it fails
// with the condition's name and the end of the log.
func (testLog *testLog) awaitLines(name string, satisfied func(lines []string) bool) {
	testLog.t.Helper()
	ctx, cancel := clock.System().WithTimeout(context.Background(), waitLimit)
	defer cancel()
	for {
		testLog.mutex.Lock()
		added, done := testLog.added, satisfied(testLog.all)
		testLog.mutex.Unlock()
		if done {
			return
		}
		select {
		case <-added:
		case <-ctx.Done():
			require.FailNow(testLog.t, "the log has not "+name, "%s", testLog.tail())
		}
	}
}

// tailLines is the number of lines of a log that a failed wait shows.
const tailLines = 40

// tail returns the last lines.
func (testLog *testLog) tail() string {
	testLog.mutex.Lock()
	defer testLog.mutex.Unlock()
	return strings.Join(testLog.all[max(0, len(testLog.all)-tailLines):], "\n")
}

// awaitValue returns the next value of the channel, or fails after waitLimit with the
// name of what was expected and the end of the log.
func awaitValue[T any](testNode *testNode, name string, values <-chan T) T {
	t := testNode.log.t
	t.Helper()
	ctx, cancel := clock.System().WithTimeout(context.Background(), waitLimit)
	defer cancel()
	select {
	case value := <-values:
		return value
	case <-ctx.Done():
		require.FailNow(t, "there is no "+name, "%s", testNode.log.tail())
		panic("unreachable")
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

// containsLine reports whether there is a line with all texts.
func (testLog *testLog) containsLine(texts ...string) bool {
	testLog.mutex.Lock()
	defer testLog.mutex.Unlock()
	return slices.ContainsFunc(testLog.all, func(line string) bool { return containsAll(line, texts) })
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

// awaitEnd waits until the node's process has ended and returns its error.
func (testNode *testNode) awaitEnd() error {
	return awaitValue(testNode, "end of "+testNode.host, testNode.ended)
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
	// graceSeconds is the grace period of nodes that are started, 8 if it is 0.
	graceSeconds float64
	// drainMillis is the drain bound of nodes that are started, 2000 if it is 0.
	drainMillis int
	// memoryMegabytes is the memory of nodes that are started, or 0 for the default.
	memoryMegabytes int
	// exposureShare turns rollouts on at nodes that are started.
	exposureShare float64
	// admissionByAccount turns admission by account on at nodes that are started.
	admissionByAccount bool
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
	testNode := &testNode{host: host, door: store.NewEndpoint(), log: newTestLog(fixture.t), ended: make(chan error, 1)}
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
		require.NoError(fixture.t, testNode.awaitEnd())
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
graceSeconds = %g
drainMillis = %d
exposureShare = %g
exposureSlack = 50
rollbackMillis = 5000
[limits]
memoryMegabytes = %d
[admission]
byAccount = %t
`, testNode.host, fixture.serve(testNode.door), fixture.serve(fixture.duty), cmp.Or(fixture.graceSeconds, 8), cmp.Or(fixture.drainMillis, 2000), fixture.exposureShare, cmp.Or(fixture.memoryMegabytes, 256), fixture.admissionByAccount)))
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

// nextCall returns the next accepted call of the leader tasks.
func (fixture *fixture) nextCall() dutystandin.Call {
	fixture.t.Helper()
	return awaitValue(fixture.testNode, "accepted call of the leader tasks", fixture.duty.Accepted())
}

// awaitArrival waits until a request has arrived at one of the application servers.
func (fixture *fixture) awaitArrival() {
	fixture.t.Helper()
	arrived := make(chan struct{}, 1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		select {
		case <-fixture.apps[0].Arrived():
		case <-fixture.apps[1].Arrived():
		case <-ctx.Done():
		}
		arrived <- struct{}{}
	}()
	awaitValue(fixture.testNode, "request at an application server", arrived)
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
