//go:build review

// Command cases runs the scripted cases of the review: it starts sapphire-edge as the
// deploy file does, on loopback, between stand-ins for the platform, the runners and the
// clients, and checks what these have seen.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"sapphirehead/internal/standin/storestandin"
)

// Bounds of a small deployment, as in the site file tarbela-sub.toml.
const (
	gracePeriod = 8 * time.Second
	drainTime   = 2 * time.Second
	contactTime = 3 * time.Second
	leaseTTL    = 3 * time.Second
	restartTime = 500 * time.Millisecond
	probePause  = 1 * time.Second
	probesToGo  = 2
)

// settingsText is deploy/settings.toml.tmpl with the figures of tarbela-sub.toml.
const settingsText = `host = %q
dataCentre = %q

[caller]
listen = "127.0.0.1:0"
readyListen = "127.0.0.1:0"

[node]
listen = "127.0.0.1:0"

[metrics]
listen = "127.0.0.1:0"

[platform]
address = %q
timeoutMillis = 600

[cloud]
address = %q
timeoutMillis = 1500

[limits]
memoryMegabytes = 284
descriptors = 4100

[bounds]
drainMillis = 2000
configurationMillis = 2000
graceSeconds = 8
retryShare = 0.2
retryWindowSeconds = 10
retrySlack = 52
quotaOvershoot = 0.1
quotaSlack = 110000
leaseMillis = 3000
usageWindowSeconds = 5
usageLateSeconds = 10
`

// exit statuses of a case.
const (
	statusHeld   = 0
	statusBroken = 1
	statusNotRun = 2
)

// env is the system under test and the stand-ins around it.
type env struct {
	start  time.Time
	folder string
	store  *storestandin.Store
	cloud  *cloud
	nodes  []*node
	record *os.File
	mutex  sync.Mutex
	ids    atomic.Int64
}

func newEnv(recordPath string) *env {
	folder, err := os.MkdirTemp("", "sapphire-review-")
	check(err)
	record, err := os.Create(recordPath)
	check(err)
	return &env{start: time.Now(), folder: folder, store: storestandin.New(), cloud: newCloud(), record: record}
}

// check ends the process with the status of a case that could not run.
func check(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case can't run:", err)
		os.Exit(statusNotRun)
	}
}

// note writes one line to the record.
func (env *env) note(format string, values ...any) {
	env.mutex.Lock()
	defer env.mutex.Unlock()
	fmt.Fprintf(env.record, "%8.3f  %s\n", time.Since(env.start).Seconds(), fmt.Sprintf(format, values...))
}

func (env *env) at(when time.Time) float64 { return when.Sub(env.start).Seconds() }

// serve serves a stand-in on a free port of loopback.
func serve(handler http.Handler) string {
	address, _ := serveClosable(handler)
	return address
}

func serveClosable(handler http.Handler) (string, *http.Server) {
	return serveAt("127.0.0.1:0", handler)
}

func serveAt(address string, handler http.Handler) (string, *http.Server) {
	listener, err := net.Listen("tcp", address)
	check(err)
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), server
}

// node is one machine of the system through the restarts of its process.
type node struct {
	env      *env
	name     string
	zone     string
	settings string
	endpoint *storestandin.Endpoint
	mutex    sync.Mutex
	command  *exec.Cmd
	exited   chan struct{}
	// stopping is set from a SIGTERM until the process starts again.
	stopping bool
	terms    []time.Time
	// caller and ready are the addresses of the current process.
	caller atomic.Value
	ready  atomic.Value
	// misses and inRotation belong to the balancer.
	misses     int
	inRotation atomic.Bool
}

func (env *env) addNode(name, zone string) *node {
	node := &node{env: env, name: name, zone: zone, settings: filepath.Join(env.folder, name+".toml")}
	node.endpoint = env.store.NewEndpoint()
	text := fmt.Sprintf(settingsText, name, zone, serve(node.endpoint), serve(env.cloud))
	check(os.WriteFile(node.settings, []byte(text), 0o600))
	env.nodes = append(env.nodes, node)
	return node
}

// begin starts the node's process with the command of the deploy file.
func (node *node) begin() {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	command := exec.Command("target/sapphire-edge", "run")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SAPPHIREHEAD_CONFIG=" + node.settings}
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	output, err := command.StdoutPipe()
	check(err)
	log, err := os.OpenFile(filepath.Join(node.env.folder, node.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	command.Stderr = log
	check(command.Start())
	listening := make(chan map[string]string, 1)
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		reader := bufio.NewReader(output)
		for {
			line, err := reader.ReadString('\n')
			if err != nil {
				return
			}
			_, _ = io.WriteString(log, line)
			var form struct {
				Listening map[string]string `json:"listening"`
			}
			if json.Unmarshal([]byte(line), &form) == nil && form.Listening != nil {
				listening <- form.Listening
			}
		}
	}()
	select {
	case addresses := <-listening:
		node.caller.Store(addresses["caller"])
		node.ready.Store(addresses["ready"])
	case <-time.After(10 * time.Second):
		check(fmt.Errorf("%s doesn't listen", node.name))
	}
	exited := make(chan struct{})
	node.command, node.exited, node.stopping = command, exited, false
	go func() {
		<-drained
		_ = command.Wait()
		log.Close()
		close(exited)
	}()
	node.env.note("%s starts, process %d", node.name, command.Process.Pid)
}

// terminate sends SIGTERM, SIGKILL after the grace period, and starts the process again,
// as the platform does.
func (node *node) terminate() {
	node.mutex.Lock()
	command, exited := node.command, node.exited
	node.stopping = true
	node.terms = append(node.terms, time.Now())
	node.mutex.Unlock()
	node.env.note("%s gets SIGTERM", node.name)
	_ = command.Process.Signal(syscall.SIGTERM)
	select {
	case <-exited:
		node.env.note("%s has ended", node.name)
	case <-time.After(gracePeriod):
		node.env.note("%s gets SIGKILL", node.name)
		_ = command.Process.Kill()
		<-exited
	}
	time.Sleep(restartTime)
	node.begin()
}

// close ends the process.
func (node *node) close() {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	if node.command != nil {
		_ = node.command.Process.Kill()
		<-node.exited
	}
}

func (env *env) close() {
	for _, node := range env.nodes {
		node.close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(env.folder)
	} else {
		fmt.Println("logs:", env.folder)
	}
}

// awaitReady waits until all nodes answer that they are ready.
func (env *env) awaitReady() {
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, node := range env.nodes {
			if node.isReady() {
				ready++
			}
		}
		if ready == len(env.nodes) {
			return
		}
		if time.Now().After(deadline) {
			env.close()
			check(fmt.Errorf("the nodes don't become ready"))
		}
	}
}

var probeClient = &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}

func (node *node) isReady() bool {
	address, _ := node.ready.Load().(string)
	if address == "" {
		return false
	}
	response, err := probeClient.Get("http://" + address + "/api/readyz")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// balance is the platform's balancer: it asks each node once a second whether it is ready,
// and takes it out of the rotation after two misses.
func (env *env) balance(end <-chan struct{}) {
	for _, each := range env.nodes {
		each.inRotation.Store(true)
		go func(node *node) {
			for {
				select {
				case <-end:
					return
				case <-time.After(probePause):
				}
				if node.isReady() {
					node.misses = 0
				} else {
					node.misses++
				}
				in := node.misses < probesToGo
				if node.inRotation.Swap(in) != in {
					env.note("the balancer has %s in rotation: %t", node.name, in)
				}
			}
		}(each)
	}
}

// pick returns the node to which the balancer forwards a new channel of a client in the
// zone: one in rotation; if fewer than half of the zone's nodes are, any of the zone; if
// none is, one of the other zones.
func (env *env) pick(zone string, draw int) *node {
	var all, in, others []*node
	for _, node := range env.nodes {
		if node.zone != zone {
			if node.inRotation.Load() {
				others = append(others, node)
			}
			continue
		}
		all = append(all, node)
		if node.inRotation.Load() {
			in = append(in, node)
		}
	}
	switch {
	case len(in) == 0 && len(others) > 0:
		return others[draw%len(others)]
	case 2*len(in) < len(all):
		return all[draw%len(all)]
	default:
		return in[draw%len(in)]
	}
}

// publish writes the entry of a runner.
func (env *env) publish(runner *runner, state string, sequence int) {
	env.store.Set("servers", runner.id, fmt.Sprintf(
		`{"service":%q,"address":%q,"zone":%q,"version":%q,"batchSlots":%d,"state":%q,"coldRemainingMs":0,"sequence":%d,"born":%d}`,
		runner.service, runner.address, runner.zone, runner.version, runner.slots, state, sequence, runner.born))
}

// cloud is the platform's API for duties: it checks fences and keeps each accepted call.
type cloud struct {
	mutex sync.Mutex
	high  map[string]int64
	calls []cloudCall
}

type cloudCall struct {
	at     time.Time
	path   string
	holder string
	fence  int64
	body   string
}

func newCloud() *cloud { return &cloud{high: map[string]int64{}} }

// ServeHTTP handles one call.
func (cloud *cloud) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	fence, err := strconv.ParseInt(request.Header.Get("X-Fencing-Token"), 10, 64)
	var form struct{ Service, Zone string }
	if err != nil || json.Unmarshal(body, &form) != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	subject := strings.Join([]string{request.URL.Path, form.Service, form.Zone}, " ")
	cloud.mutex.Lock()
	defer cloud.mutex.Unlock()
	if fence < cloud.high[subject] {
		writer.WriteHeader(http.StatusConflict)
		return
	}
	cloud.high[subject] = fence
	cloud.calls = append(cloud.calls, cloudCall{at: time.Now(), path: request.URL.Path, holder: request.Header.Get("X-Duty-Holder"), fence: fence, body: string(body)})
	writer.WriteHeader(http.StatusOK)
}
