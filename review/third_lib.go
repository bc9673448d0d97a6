//go:build ignore

// Command review-3 plays the scripts of the third review: sapphire-edge as separate
// processes on loopback and the real clock, with small stand-ins around them.
package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"sapphirehead/internal/standin/dutystandin"
	"sapphirehead/internal/standin/storestandin"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitUnable = 2
)

// unable ends the case because it can't run.
func unable(format string, arguments ...any) { panic(unableError(fmt.Sprintf(format, arguments...))) }

type unableError string

// record is record.txt: what was sent, answered and run.
type record struct {
	mutex sync.Mutex
	file  *os.File
	start time.Time
}

func (record *record) line(format string, arguments ...any) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	fmt.Fprintf(record.file, "%8.3f s  %s\n", time.Since(record.start).Seconds(), fmt.Sprintf(format, arguments...))
}

// world is the deployment of one case.
type world struct {
	*record
	folder  string
	trouble bool
	store   *storestandin.Store
	duty    *dutystandin.API
	cloud   string
	edges   []*edge
	runners []*runner
	serial  atomic.Int64
	host    string
	// onCall is called for each call that the platform accepts, if it is set.
	onCall func(path, holder string, fence int64, body string)
	// startPause is the time between the first starts of two machines.
	startPause time.Duration
}

// lowestPort and highestPort bound the ports that cases use: below those that the kernel gives
// to connections, so that a port stays free until it is used.
const (
	lowestPort  = 20000
	highestPort = 32000
)

// freeAddress returns a loopback address that is free, for TCP and UDP.
func freeAddress() string {
	for range 200 {
		address := fmt.Sprintf("127.0.0.1:%d", lowestPort+rand.IntN(highestPort-lowestPort))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		packets, err := net.ListenPacket("udp4", address)
		listener.Close()
		if err == nil {
			packets.Close()
			return address
		}
	}
	unable("no free port")
	return ""
}

func portOf(address string) int {
	_, text, _ := net.SplitHostPort(address)
	port, _ := strconv.Atoi(text)
	return port
}

func serve(handler http.Handler) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		unable("listen: %v", err)
	}
	go func() { _ = (&http.Server{Handler: handler}).Serve(listener) }()
	return listener.Addr().String()
}

// newWorld starts the store and the platform's API.
func newWorld(record *record, folder string, trouble bool) *world {
	world := &world{record: record, folder: folder, trouble: trouble, store: storestandin.New(), duty: dutystandin.New(), host: "d.example"}
	world.cloud = serve(world.duty)
	go func() {
		for call := range world.duty.Accepted() {
			if world.onCall != nil {
				world.onCall(call.Path(), call.Holder(), call.Fence(), call.Body())
			}
			world.line("the platform takes %s of %s with generation %d: %s", call.Path(), call.Holder(), call.Fence(), strings.TrimSpace(call.Body()))
		}
	}()
	return world
}

// edge is one machine with sapphire-edge through the restarts of its process.
type edge struct {
	world    *world
	name     string
	caller   string
	ready    string
	portFrom int
	portTo   int
	endpoint *storestandin.Endpoint
	settings string
	mutex    sync.Mutex
	process  *os.Process
	ended    chan struct{}
	// killed is set while the case itself ends the process.
	killed atomic.Bool
}

// addEdges starts machines one after the other, within 0.3 s as the platform does.
func (world *world) addEdges(count int) {
	for range count {
		number := len(world.edges) + 1
		edge := &edge{world: world, name: fmt.Sprint("edge-", number), caller: freeAddress(), ready: freeAddress(), endpoint: world.store.NewEndpoint()}
		// The template names two ports of the range: for nodes and for metrics.
		edge.portFrom, edge.portTo = portOf(freeAddress()), portOf(freeAddress())
		edge.settings = filepath.Join(world.folder, edge.name+".toml")
		values := map[string]any{
			"nodeName": edge.name, "zone": "lhr-a", "ipAddress": "127.0.0.1",
			"listenAddrs":    map[string]any{"frontend": edge.caller, "readiness": edge.ready},
			"portRange":      []any{edge.portFrom, edge.portTo},
			"provider":       map[string]any{"address": serve(edge.endpoint)},
			"cloudApi":       map[string]any{"address": world.cloud},
			"limits":         map[string]any{"memoryMb": 284, "maxFds": 4100},
			"contractParams": map[string]any{"drainMs": 2000, "configApplyMs": 2000, "gracePeriodS": 8, "retryBudgetRatio": 0.2, "retryWindowS": 10, "budgetSlack": 52, "quotaOvershoot": 0.1, "quotaSlack": 110000, "leaseTtlMs": 3000, "usageWindowS": 5, "usageLateS": 10},
		}
		template, err := os.ReadFile("deploy/settings.toml.tmpl")
		if err != nil {
			unable("no template of the settings: %v", err)
		}
		if err := os.WriteFile(edge.settings, []byte(render(string(template), values)), 0o600); err != nil {
			unable("write settings: %v", err)
		}
		world.edges = append(world.edges, edge)
	}
	for _, edge := range world.edges[len(world.edges)-count:] {
		edge.start()
		time.Sleep(world.startPause)
	}
}

// start starts the process with the command of deploy/system.toml.
func (edge *edge) start() {
	edge.mutex.Lock()
	defer edge.mutex.Unlock()
	command := exec.Command("target/sapphire-edge", "run")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SAPPHIREHEAD_CONFIG=" + edge.settings}
	log, err := os.OpenFile(filepath.Join(edge.world.folder, edge.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		unable("open a log: %v", err)
	}
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		unable("start %s: %v", edge.name, err)
	}
	edge.process, edge.ended = command.Process, make(chan struct{})
	edge.killed.Store(false)
	ended := edge.ended
	go func() {
		err := command.Wait()
		log.Close()
		if !edge.killed.Load() {
			edge.world.line("%s ended by itself: %v", edge.name, err)
		}
		close(ended)
	}()
}

func (edge *edge) signal(signal syscall.Signal) {
	edge.mutex.Lock()
	defer edge.mutex.Unlock()
	_ = edge.process.Signal(signal)
}

// kill ends the process at once.
func (edge *edge) kill() {
	edge.killed.Store(true)
	edge.signal(syscall.SIGKILL)
	<-edge.ended
}

// awaitReady waits until all machines say that they are ready.
func (world *world) awaitReady() {
	for _, edge := range world.edges {
		edge.awaitReady()
	}
}

func (edge *edge) awaitReady() {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(30 * time.Millisecond) {
		response, err := client.Get("http://" + edge.ready + "/api/readyz")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return
		}
	}
	unable("%s is not ready", edge.name)
}

// close ends all processes that the case started.
func (world *world) close() {
	for _, edge := range world.edges {
		if edge.process != nil {
			edge.signal(syscall.SIGCONT)
			edge.kill()
		}
	}
}

var (
	sectionPattern = regexp.MustCompile(`(?s)\{\{#([\w.]+)\}\}\n?(.*?)\{\{/([\w.]+)\}\}\n?`)
	valuePattern   = regexp.MustCompile(`\{\{([\w.]+)(\|json)?\}\}`)
)

// render fills the template in, as far as that of this project needs it.
func render(template string, values map[string]any) string {
	template = sectionPattern.ReplaceAllStringFunc(template, func(section string) string {
		parts := sectionPattern.FindStringSubmatch(section)
		if lookUp(values, parts[1]) == nil {
			return ""
		}
		return parts[2]
	})
	return valuePattern.ReplaceAllStringFunc(template, func(placeholder string) string {
		parts := valuePattern.FindStringSubmatch(placeholder)
		value := lookUp(values, parts[1])
		if parts[2] != "" {
			encoded, _ := json.Marshal(value)
			return string(encoded)
		}
		return fmt.Sprint(value)
	})
}

func lookUp(values any, path string) any {
	for part := range strings.SplitSeq(path, ".") {
		switch level := values.(type) {
		case map[string]any:
			values = level[part]
		case []any:
			index, err := strconv.Atoi(part)
			if err != nil || index >= len(level) {
				return nil
			}
			values = level[index]
		default:
			return nil
		}
	}
	return values
}

// runner is one server of a service. It follows PROTOCOL.md: it echoes X-Request-Id, signs
// its answers, and answers 421 to a request for another one.
type runner struct {
	world   *world
	service string
	id      string
	address string
	version string
	mutex   sync.Mutex
	born    int64
	starts  int
	server  *http.Server
	conns   map[net.Conn]bool
	// handle answers a request that the runner runs.
	handle func(runner *runner, writer http.ResponseWriter, request *http.Request)
}

type connKey struct{}

func (world *world) addRunner(service, id string, handle func(*runner, http.ResponseWriter, *http.Request)) *runner {
	runner := &runner{world: world, service: service, id: id, address: freeAddress(), version: "v1", handle: handle}
	world.runners = append(world.runners, runner)
	runner.start()
	return runner
}

// start starts the runner at its address and writes its entry.
func (runner *runner) start() {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	listener, err := net.Listen("tcp", runner.address)
	if err != nil {
		runner.world.line("%s can't start: %v", runner.id, err)
		return
	}
	runner.born, runner.conns = time.Now().UnixMilli(), map[net.Conn]bool{}
	runner.server = &http.Server{
		Handler: http.HandlerFunc(runner.serve),
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			runner.mutex.Lock()
			defer runner.mutex.Unlock()
			runner.conns[conn] = true
			return context.WithValue(ctx, connKey{}, conn)
		},
	}
	server := runner.server
	go func() { _ = server.Serve(listener) }()
	runner.world.store.Set("servers", runner.id, runner.entry("ready"))
}

// entry returns the runner's entry as it writes it.
func (runner *runner) entry(state string) string {
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":"lhr-a","version":%q,"batchSlots":64,"state":%q,"coldRemainingMs":0,"sequence":%d,"born":%d}`,
		runner.service, runner.address, runner.version, state, runner.world.serial.Add(1), runner.born)
}

// lapse is the time after which the entry of a silent runner is removed: three check-in
// intervals.
const lapse = 3600 * time.Millisecond

// crash resets all channels and closes the address. The runner's entry lapses, and it is back
// after the time, as a new incarnation with another id and address.
func (runner *runner) crash(back time.Duration) {
	runner.mutex.Lock()
	server, conns, id := runner.server, runner.conns, runner.id
	runner.conns = nil
	runner.mutex.Unlock()
	if conns == nil {
		return
	}
	for conn := range conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	server.Close()
	time.AfterFunc(lapse, func() { runner.world.store.Remove("servers", id) })
	time.AfterFunc(back, func() {
		runner.mutex.Lock()
		runner.starts++
		runner.id, runner.address = fmt.Sprintf("%s-%d", strings.TrimSuffix(runner.id, fmt.Sprint("-", runner.starts)), runner.starts+1), freeAddress()
		runner.mutex.Unlock()
		runner.start()
	})
}

func (runner *runner) serve(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	id := request.Header.Get("X-Request-Id")
	writer.Header().Set("X-Request-Id", id)
	writer.Header().Set("X-Server-Load", "1,0,64")
	if expected := request.Header.Get("X-Expect-Instance"); expected != "" && expected != runner.id {
		runner.world.line("%s (%s) answers 421 to request %s for %s", runner.id, runner.service, id, expected)
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		writer.Header().Set("X-Not-Executed", "1")
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	writer.Header().Set("X-Response-Stamp", fmt.Sprintf("%s.%s.%d", runner.id, id, len(body)))
	runner.handle(runner, writer, request)
}

// channel is a client's channel to a machine.
type channel struct {
	edge   *edge
	conn   net.Conn
	reader *bufio.Reader
}

func (edge *edge) open() (*channel, error) {
	conn, err := net.DialTimeout("tcp", edge.caller, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{edge: edge, conn: conn, reader: bufio.NewReader(conn)}, nil
}

func (channel *channel) close() { channel.conn.Close() }

// answer is what a client got for one attempt.
type answer struct {
	status int
	header http.Header
	body   []byte
	// length is the announced length of the body, -1 for none.
	length int64
	// closed is set if the server has said that it closes the channel.
	closed bool
	// err is why there is no complete answer, or nil.
	err error
}

func (answer answer) String() string {
	switch {
	case answer.err != nil && answer.status == 0:
		return fmt.Sprintf("no answer (%v)", answer.err)
	case answer.err != nil:
		return fmt.Sprintf("status %d, signature %q, %d bytes of a body of %d, then: %v", answer.status, answer.header.Get("X-Response-Stamp"), len(answer.body), answer.length, answer.err)
	default:
		return fmt.Sprintf("status %d, signature %q, a whole body of %d bytes", answer.status, answer.header.Get("X-Response-Stamp"), len(answer.body))
	}
}

// send sends a request and waits for its answer until the deadline.
func (channel *channel) send(method, path, id string, deadline time.Duration, body string, fields ...string) answer {
	head := method + " " + path + " HTTP/1.1\r\nHost: " + channel.edge.world.host + "\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: " + strconv.Itoa(int(deadline.Milliseconds())) + "\r\nAuthorization: Token k\r\n"
	for _, field := range fields {
		head += field + "\r\n"
	}
	if body != "" || method == http.MethodPost {
		head += "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
	}
	_ = channel.conn.SetDeadline(time.Now().Add(deadline + 300*time.Millisecond))
	if _, err := io.WriteString(channel.conn, head+"\r\n"+body); err != nil {
		return answer{err: err}
	}
	response, err := http.ReadResponse(channel.reader, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	data, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: data, length: response.ContentLength, closed: response.Close, err: err}
}

// configure writes the manifest.
func (world *world) configure(version int, routes, services string) {
	world.store.Set("config", "main", fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[%s],`+
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},`+
		`"tenants":[{"name":"garage","apiKeys":["k"],"unit":"tokens","plainTokens":200,"ratePerS":234901,"burst":234901}]}`, version, routes, services))
}

// cases are the cases of the review, by the name of their folder.
var cases = map[string]func(world *world) (broken string){}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: review-3 CASE FOLDER")
		os.Exit(exitUnable)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, folder string) (status int) {
	play, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return exitUnable
	}
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnable
	}
	defer file.Close()
	temporary, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnable
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(temporary)
	} else {
		fmt.Println(temporary)
	}
	record := &record{file: file, start: time.Now()}
	world := newWorld(record, temporary, os.Getenv("TROUBLE") != "0")
	defer func() {
		world.close()
		if failure := recover(); failure != nil {
			record.line("the case can't run: %v", failure)
			fmt.Fprintln(os.Stderr, failure)
			status = exitUnable
		}
	}()
	time.AfterFunc(110*time.Second, func() {
		record.line("the case can't run: it takes too long")
		for _, edge := range world.edges {
			_ = edge.process.Kill()
		}
		os.Exit(exitUnable)
	})
	if broken := play(world); broken != "" {
		record.line("BROKEN: %s", broken)
		fmt.Println("broken:", broken)
		return exitBroken
	}
	record.line("the rule held")
	fmt.Println("held")
	return exitHeld
}
