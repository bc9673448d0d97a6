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

// TestMain looks for goroutines that are left. Servers of the stand-ins linger
// for 0.5 s on a connection that they close, which is no leak.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("net/http.(*conn).closeWriteAndWait"))
}

// lines is a log that tests wait on in place of time.
type lines struct {
	mutex sync.Mutex
	all   []string
	added chan struct{}
}

func newLines() *lines { return &lines{added: make(chan struct{})} }

// Write takes one line.
func (lines *lines) Write(line []byte) (int, error) {
	lines.mutex.Lock()
	defer lines.mutex.Unlock()
	lines.all = append(lines.all, string(bytes.TrimSpace(line)))
	close(lines.added)
	lines.added = make(chan struct{})
	return len(line), nil
}

// await waits for a line with all of the texts and returns it.
func (lines *lines) await(texts ...string) string {
	for {
		lines.mutex.Lock()
		added := lines.added
		for _, line := range lines.all {
			if containsAll(line, texts) {
				lines.mutex.Unlock()
				return line
			}
		}
		lines.mutex.Unlock()
		<-added
	}
}

// awaitCount waits until there are so many lines with the text.
func (lines *lines) awaitCount(text string, count int) {
	for {
		lines.mutex.Lock()
		added, found := lines.added, 0
		for _, line := range lines.all {
			if strings.Contains(line, text) {
				found++
			}
		}
		lines.mutex.Unlock()
		if found >= count {
			return
		}
		<-added
	}
}

// reader returns the whole log so far.
func (lines *lines) reader() io.Reader {
	lines.mutex.Lock()
	defer lines.mutex.Unlock()
	return strings.NewReader(strings.Join(lines.all, "\n"))
}

// has reports whether there is a line with the text.
func (lines *lines) has(text string) bool {
	lines.mutex.Lock()
	defer lines.mutex.Unlock()
	for _, line := range lines.all {
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

// member is one node and its own door to the store.
type member struct {
	host  string
	door  *storestandin.Door
	log   *lines
	node  *edge.Edge
	stop  context.CancelFunc
	kill  context.CancelFunc
	ended chan error
}

// world is one node, or several, between stand-ins.
type world struct {
	*member
	t       *testing.T
	store   *storestandin.Store
	duty    *dutystandin.Duty
	chats   []*enginestandin.Engine
	apps    []*enginestandin.Engine
	client  *http.Client
	serials int
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

// newWorld starts a node with two servers in each pool.
func newWorld(t *testing.T) *world {
	t.Helper()
	world := newEmptyWorld(t)
	world.member = world.join("edge-1")
	return world
}

// newEmptyWorld sets up the stand-ins without a node.
func newEmptyWorld(t *testing.T) *world {
	t.Helper()
	world := &world{t: t, store: storestandin.New(), duty: dutystandin.New()}
	world.client = &http.Client{Transport: &http.Transport{}, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	world.store.Set("config", "main", testConfiguration)
	for i := range 2 {
		world.chats = append(world.chats, world.addServer(fmt.Sprint("chat-", i), "engines", true))
		world.apps = append(world.apps, world.addServer(fmt.Sprint("app-", i), "app", false))
	}
	t.Cleanup(world.client.CloseIdleConnections)
	return world
}

// join starts a node and waits until it can serve.
func (world *world) join(host string) *member {
	world.t.Helper()
	member := world.start(host, world.store)
	for _, id := range []string{"chat-0", "chat-1", "app-0", "app-1"} {
		member.log.await("backend server listed", id)
	}
	member.log.await("configuration in force", `"version":3`)
	member.log.await("object of this node written")
	return member
}

// start starts a node that follows the store.
func (world *world) start(host string, store *storestandin.Store) *member {
	world.t.Helper()
	member := &member{host: host, door: store.Door(), log: newLines(), ended: make(chan error, 1)}
	loaded := world.settings(member)
	var err error
	member.node, err = edge.New(loaded, clock.System(), zerolog.New(member.log))
	require.NoError(world.t, err)
	stop, cancel := context.WithCancel(context.Background())
	kill, end := context.WithCancel(context.Background())
	member.stop, member.kill = cancel, end
	go func() {
		member.ended <- member.node.Run(stop, kill, nil, func() (*settings.Edge, error) { return loaded, nil })
		close(member.ended)
	}()
	world.t.Cleanup(func() {
		end()
		require.NoError(world.t, <-member.ended)
		cancel()
	})
	return member
}

func (world *world) settings(member *member) *settings.Edge {
	world.t.Helper()
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
`, member.host, world.serve(member.door), world.serve(world.duty))))
	require.NoError(world.t, err)
	return loaded
}

// serve serves a stand-in and returns its address.
func (world *world) serve(handler http.Handler) string {
	world.t.Helper()
	server := httptest.NewServer(handler)
	world.t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func (world *world) addServer(id, pool string, streams bool) *enginestandin.Engine {
	world.t.Helper()
	engine := enginestandin.New(id, streams)
	world.list(id, pool, world.serve(engine), "ready")
	return engine
}

func (world *world) list(id, pool, address, state string) {
	world.store.Set("servers", id, fmt.Sprintf(
		`{"service":%q,"address":%q,"zone":"lj-a","version":"v1","batchSlots":6,"state":%q,"coldRemainingMs":0,"sequence":1}`, pool, address, state))
}

// reply is what a caller got.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

// call sends a request as the client account garage.
func (world *world) call(method, path string, edit ...func(*http.Request)) reply {
	world.t.Helper()
	return world.callAt(world.member, method, path, edit...)
}

// callAt sends a request to a node.
func (world *world) callAt(member *member, method, path string, edit ...func(*http.Request)) reply {
	world.t.Helper()
	world.serials++
	request, err := http.NewRequest(method, "http://"+member.node.Addresses()["caller"]+path, strings.NewReader("body of "+path))
	require.NoError(world.t, err)
	request.Host = "desk.example"
	request.Header.Set("X-Request-Id", fmt.Sprint("r-", world.serials))
	request.Header.Set("X-Deadline-Ms", "3000")
	request.Header.Set("Authorization", "Token key-of-garage")
	for _, each := range edit {
		each(request)
	}
	answer, err := world.client.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	return reply{status: answer.StatusCode, header: answer.Header, body: string(body), err: err}
}

// ran returns how many requests the servers ran.
func ran(servers []*enginestandin.Engine) int {
	count := 0
	for _, server := range servers {
		count += len(server.Ran())
	}
	return count
}

// next sets the manners of both servers of a pool.
func next(servers []*enginestandin.Engine, manners ...enginestandin.Manner) {
	for _, server := range servers {
		server.Next(manners...)
	}
}

func wholeStream() string {
	var events strings.Builder
	for id := range enginestandin.StreamEvents {
		fmt.Fprintf(&events, "id: %d\ndata: piece %d\n\n", id, id)
	}
	return events.String()
}
