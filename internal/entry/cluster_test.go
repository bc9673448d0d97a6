package entry

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/node"
	"sapphirehead/internal/pool"
	"sapphirehead/internal/request"
	"sapphirehead/internal/route"
	"sapphirehead/internal/settings"
	"sapphirehead/internal/standin/platformstandin"
	"sapphirehead/internal/standin/runnerstandin"
	"sapphirehead/internal/table"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	testModel   = "desk-small"
	testAccount = "key-garage-north"
	otherKey    = "key-garage-south"
)

// stepClock is a clock whose timers fire only when the test steps it.
type stepClock struct{ timers chan func() }

func newStepClock() *stepClock { return &stepClock{timers: make(chan func(), 1024)} }

func (stepClock *stepClock) clock() *clock.Clock {
	now := func() clock.Millis { return 0 }
	return clock.New(now, now, func(_ clock.Millis, fire func()) func() bool {
		stepClock.timers <- fire
		return func() bool { return false }
	})
}

// step fires count timers, waiting for each to be set.
func (stepClock *stepClock) step(count int) {
	for range count {
		(<-stepClock.timers)()
	}
}

// fireAll fires all timers from now on.
func (stepClock *stepClock) fireAll(ctx context.Context) {
	for {
		select {
		case fire := <-stepClock.timers:
			fire()
		case <-ctx.Done():
			return
		}
	}
}

// silentListener accepts connections whose writes are discarded once silenced.
// Later connections work.
type silentListener struct {
	net.Listener
	silenced atomic.Int64
	accepted atomic.Int64
}

type silentConnection struct {
	net.Conn
	serial   int64
	listener *silentListener
}

func (listener *silentListener) Accept() (net.Conn, error) {
	connection, err := listener.Listener.Accept()
	return &silentConnection{Conn: connection, serial: listener.accepted.Add(1), listener: listener}, err
}

func (listener *silentListener) silence() { listener.silenced.Store(listener.accepted.Load()) }

func (connection *silentConnection) Write(data []byte) (int, error) {
	if connection.serial <= connection.listener.silenced.Load() {
		return len(data), nil
	}
	return connection.Conn.Write(data)
}

// testRunner is a stand-in runner that generates one token for each step.
type testRunner struct {
	id        string
	stepClock *stepClock
	standin   *runnerstandin.Runner
	listener  *silentListener
	server    *httptest.Server
	end       context.CancelFunc
}

func newTestRunner(t *testing.T, id string) *testRunner {
	ctx, end := context.WithCancel(context.Background())
	stepClock := newStepClock()
	standin := runnerstandin.New(ctx, stepClock.clock(), id, 8, 1, []string{testModel}, false)
	server := httptest.NewUnstartedServer(standin.Router())
	listener := &silentListener{Listener: server.Listener}
	server.Listener = listener
	server.Config.ErrorLog = nil
	server.Start()
	runner := &testRunner{id: id, stepClock: stepClock, standin: standin, listener: listener, server: server, end: end}
	t.Cleanup(runner.kill)
	return runner
}

func (runner *testRunner) address() string { return strings.TrimPrefix(runner.server.URL, "http://") }

// kill ends the runner without notice.
func (runner *testRunner) kill() {
	runner.end()
	runner.server.CloseClientConnections()
	runner.server.Close()
}

// recomputed returns the number of tokens that the runner prefilled again.
func (runner *testRunner) recomputed(t *testing.T) int64 {
	response, err := http.Get(runner.server.URL + "/v1/state")
	require.NoError(t, err)
	defer response.Body.Close()
	var form struct {
		Recomputed int64 `json:"recomputed"`
	}
	require.NoError(t, json.NewDecoder(response.Body).Decode(&form))
	return form.Recomputed
}

// immediateClock returns a clock on which no time passes. Timers without a
// delay fire at once, so that the platform's list of hosts is never stale; no
// other timer fires.
func immediateClock() *clock.Clock {
	now := func() clock.Millis { return 0 }
	return clock.New(now, now, func(delay clock.Millis, fire func()) func() bool {
		if delay <= 0 {
			fire()
		}
		return func() bool { return false }
	})
}

// withoutFlushDelay returns a clock that fires timers of up to a millisecond at
// once, even while time stands still. Links wait that long to batch writes.
func withoutFlushDelay(base *clock.Clock) *clock.Clock {
	return clock.New(base.Now, base.Wall, func(delay clock.Millis, fire func()) func() bool {
		if delay <= clock.Millisecond {
			go fire()
			return func() bool { return false }
		}
		return base.AfterFunc(delay, fire)
	})
}

// cluster is a set of entry hosts in front of the same runners, in one process.
type cluster struct {
	t     *testing.T
	clock *clock.Clock
	// platform is the address of the platform's stand-in.
	platform string
	runners  map[string]*testRunner
	entries  []*Entry
	stops    []context.CancelFunc
	kills    []context.CancelFunc
	done     []chan struct{}
}

const testSettings = `host = "entry-%d"
dataCentre = "lj-a"
[caller]
listen = "127.0.0.1:0"
[operator]
listen = "127.0.0.1:0"
token = "token-of-operators"
[node]
listen = "127.0.0.1:0"
[platform]
address = %q
[stop]
readyOffMillis = 1
graceMillis = 1000
[[clientAccounts]]
name = "garage-north"
key = %q
[[clientAccounts]]
name = "garage-south"
key = %q
`

// newCluster starts runners, and entry hosts that have each other as members and
// the same active tables. All entry hosts use the same clock.
func newCluster(t *testing.T, clock *clock.Clock, runners, entries int) *cluster {
	cluster := &cluster{t: t, clock: clock, runners: map[string]*testRunner{}}
	platform := httptest.NewServer(platformstandin.New(immediateClock(), 0).Router())
	t.Cleanup(platform.Close)
	t.Cleanup(func() { http.DefaultTransport.(*http.Transport).CloseIdleConnections() })
	cluster.platform = strings.TrimPrefix(platform.URL, "http://")
	for i := range runners {
		runner := newTestRunner(t, fmt.Sprintf("runner-%d", i+1))
		cluster.runners[runner.id] = runner
		cluster.register(runner.id, runner.address())
	}
	for range entries {
		cluster.addEntry()
	}
	cluster.preload()
	for _, entry := range cluster.entries {
		cluster.run(entry)
	}
	return cluster
}

// register adds a runner to the platform's list.
func (cluster *cluster) register(id, address string) {
	cluster.t.Helper()
	host := platformstandin.Host{ID: id, Address: address, DataCentre: "lj-a", HostClass: "gpu-small", Pool: "runners", State: "live"}
	require.NoError(cluster.t, platformstandin.Register(cluster.t.Context(), cluster.platform, host))
}

// addEntry adds an entry host that does not run yet.
func (cluster *cluster) addEntry() *Entry {
	cluster.t.Helper()
	loaded, err := settings.ParseEntry("test", fmt.Appendf(nil, testSettings, len(cluster.entries)+1, cluster.platform, testAccount, otherKey))
	require.NoError(cluster.t, err)
	entry, err := New(loaded, withoutFlushDelay(cluster.clock), zerolog.Nop())
	require.NoError(cluster.t, err)
	cluster.entries = append(cluster.entries, entry)
	return entry
}

// preload sets runners, tables and peers before any loop runs.
func (cluster *cluster) preload() {
	var listed []backend.Listing
	for _, runner := range cluster.runners {
		listed = append(listed, backend.NewListing(backend.NewServer(runner.id, runner.address(), "lj-a", "gpu-small", "runners"), false))
	}
	tables := table.New(1, []route.Route{route.New("desk", route.KindChat, "runners").WithModel(testModel)},
		[]pool.Pool{pool.New("runners", pool.KindRunner).WithModels(pool.NewModel(testModel, "v1")).WithHosts("gpu-small", 1, 9)}, nil)
	var members []node.Member
	for _, entry := range cluster.entries {
		members = append(members, entry.members.Self())
	}
	for _, entry := range cluster.entries {
		entry.fleet.Update(listed)
		entry.active.Offer(tables)
		entry.connectivity.RecordStoreResponse()
		entry.connectivity.MarkStarted()
		entry.members.Apply(node.NewDigest(members[0], members[1:], nil, node.Sums{}), true)
	}
}

func (cluster *cluster) run(entry *Entry) {
	stop, cancelStop := context.WithCancel(context.Background())
	kill, cancelKill := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = entry.Run(stop, kill)
	}()
	cluster.stops = append(cluster.stops, cancelStop)
	cluster.kills = append(cluster.kills, cancelKill)
	cluster.done = append(cluster.done, done)
	cluster.t.Cleanup(func() {
		cancelKill()
		cancelStop()
		<-done
	})
}

// kill ends an entry host without notice.
func (cluster *cluster) kill(i int) {
	cluster.kills[i]()
	<-cluster.done[i]
}

// otherRunner returns another runner than the given one.
func (cluster *cluster) otherRunner(excluded *testRunner) *testRunner {
	for _, runner := range cluster.runners {
		if runner != excluded {
			return runner
		}
	}
	return nil
}

// chat is a chat request of a test caller.
type chat struct {
	content   string
	maxTokens int
	seed      int64
	stream    bool
}

func (chat chat) body() []byte {
	body, _ := json.Marshal(map[string]any{
		"model": testModel, "messages": []map[string]string{{"role": "user", "content": chat.content}},
		"max_tokens": chat.maxTokens, "seed": chat.seed, "stream": chat.stream,
	})
	return body
}

func (chat chat) expected() []string {
	return runnerstandin.GenerateTokens(testModel, []string{chat.content}, chat.seed, chat.maxTokens)
}

// stream is a caller's view of a streamed response.
type stream struct {
	t       *testing.T
	status  int
	header  http.Header
	body    io.ReadCloser
	scanner *bufio.Scanner
	lastID  string
	text    string
}

func (cluster *cluster) send(i int, method, path, key, lastEventID string, body []byte) *stream {
	cluster.t.Helper()
	message, err := http.NewRequestWithContext(cluster.t.Context(), method, "http://"+cluster.entries[i].CallerAddress()+path, bytes.NewReader(body))
	require.NoError(cluster.t, err)
	message.Header.Set("Authorization", "Bearer "+key)
	if lastEventID != "" {
		message.Header.Set("Last-Event-ID", lastEventID)
	}
	client := &http.Client{
		Transport:     &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	response, err := client.Do(message)
	require.NoError(cluster.t, err)
	cluster.t.Cleanup(func() { response.Body.Close() })
	return &stream{t: cluster.t, status: response.StatusCode, header: response.Header, body: response.Body, scanner: bufio.NewScanner(response.Body)}
}

func (cluster *cluster) post(i int, lastEventID string, chat chat) *stream {
	cluster.t.Helper()
	return cluster.send(i, http.MethodPost, "/v1/chat/completions", testAccount, lastEventID, chat.body())
}

// startChat sends a chat to an entry host and steps the runner that receives it
// until the first token. It returns the response and the runner.
func (cluster *cluster) startChat(i int, chat chat) (*stream, *testRunner) {
	responses := make(chan *stream, 1)
	go func() { responses <- cluster.post(i, "", chat) }()
	runner := cluster.firstTimer()
	runner.stepClock.step(1)
	opened := <-responses
	opened.read(1)
	return opened, runner
}

// firstTimer waits for the next timer of any runner, fires it and returns the
// runner.
func (cluster *cluster) firstTimer() *testRunner {
	var runners []*testRunner
	var cases []reflect.SelectCase
	for _, runner := range cluster.runners {
		runners = append(runners, runner)
		cases = append(cases, reflect.SelectCase{Dir: reflect.SelectRecv, Chan: reflect.ValueOf(runner.stepClock.timers)})
	}
	chosen, fire, _ := reflect.Select(cases)
	fire.Interface().(func())()
	return runners[chosen]
}

func (stream *stream) id() string {
	id, _, _ := strings.Cut(stream.lastID, ":")
	return id
}

// next reads one event. It returns false at the end mark, and an error if the
// stream ended before it.
func (stream *stream) next() (bool, error) {
	for stream.scanner.Scan() {
		line := stream.scanner.Text()
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			stream.lastID = id
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return false, nil
		}
		var form struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		require.NoError(stream.t, json.Unmarshal([]byte(data), &form))
		for _, choice := range form.Choices {
			stream.text += choice.Delta.Content
		}
		return true, nil
	}
	return false, fmt.Errorf("cut after %q: %w", stream.text, io.ErrUnexpectedEOF)
}

// read reads until the caller has received the number of tokens.
func (stream *stream) read(tokens int) {
	stream.t.Helper()
	for {
		if _, received, _ := request.ParseEventID(stream.lastID); received >= tokens {
			return
		}
		more, err := stream.next()
		require.NoError(stream.t, err)
		require.True(stream.t, more)
	}
}

// readRest reads until the end mark and returns an error if there is none.
func (stream *stream) readRest() error {
	for {
		more, err := stream.next()
		if err != nil || !more {
			return err
		}
	}
}

func expectComplete(t *testing.T, chat chat, parts ...*stream) {
	t.Helper()
	require.NoError(t, parts[len(parts)-1].readRest())
	text := ""
	for _, part := range parts {
		text += part.text
	}
	require.Equal(t, strings.Join(chat.expected(), ""), text)
}

func expectError(t *testing.T, response *stream, status int, kind string) {
	t.Helper()
	body, err := io.ReadAll(response.body)
	require.NoError(t, err)
	require.Equal(t, status, response.status, "%s", body)
	require.Contains(t, string(body), fmt.Sprintf("%q:%q", "type", kind))
}

func expectCompletion(t *testing.T, chat chat, response *stream) {
	t.Helper()
	var form struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	require.NoError(t, json.NewDecoder(response.body).Decode(&form))
	require.Len(t, form.Choices, 1)
	require.Equal(t, strings.Join(chat.expected(), ""), form.Choices[0].Message.Content)
}
