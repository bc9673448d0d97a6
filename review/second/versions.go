package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"github.com/pkg/errors"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/standin/enginestandin"
	"sapphirehead/internal/standin/storestandin"
)

const (
	versionRoutes = `{"version":1,"routes":[
	{"name":"report","host":"desk.example","pathPrefix":"/report/","kind":"streaming","timeoutMs":6000,"targetLatencyMs":800,"targetGapMs":300,"priority":1,"service":"engines","maxAttempts":2,"resumable":true}],
	"services":[{"name":"engines","engine":{"batchSlots":64,"kvCapacity":337483}}],
	"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
	"tenants":[{"name":"garage","apiKeys":["key-of-garage"],"unit":"tokens","plainTokens":200,"ratePerS":125766,"burst":125766}]}`
	// eventTime is the time between two events of a stream.
	eventTime = 200 * clock.Millisecond
	// streamClients is the number of streams that are begun at once.
	streamClients = 24
	// awayTime is how long the store has turned the second machine away when the streams
	// begin, and upTime the time after which the crashed runner is up again.
	awayTime = 1500 * clock.Millisecond
	upTime   = 1 * clock.Second
	// crashAfter is the time from the beginning of the streams to the crash.
	crashAfter = 500 * clock.Millisecond
	// tries is how often a client takes a stream up, and tryPause the time before it does.
	tries    = 3
	tryPause = 1500 * clock.Millisecond
	// mixedAllowed is the number of streams with events of two versions that the rule allows.
	mixedAllowed = 2
)

// versionedRunner is a runner that can crash and start again under its id and address.
type versionedRunner struct {
	play    *play
	store   *storestandin.Store
	id      string
	address string
	server  *http.Server
}

// start starts the runner's process with the software version. It registers itself before it
// serves.
func (runner *versionedRunner) start(version string) error {
	address := runner.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen for a runner")
	}
	runner.address = listener.Addr().String()
	engine := enginestandin.New(runner.id, true)
	engine.SetWorkTime(eventTime)
	engine.SetWord("v" + version)
	runner.store.Set("servers", runner.id, fmt.Sprintf(
		`{"service":"engines","address":%q,"zone":"lj-a","version":%q,"batchSlots":64,"state":"ready","coldRemainingMs":0,"sequence":1,"born":%d}`,
		runner.address, version, runner.play.clock.Wall()))
	runner.server = &http.Server{Handler: engine}
	// It serves until the crash.
	go func() { _ = runner.server.Serve(listener) }()
	runner.play.record("runner %s serves at %s with software version %s, and is registered so", runner.id, runner.address, version)
	return nil
}

// crash ends the runner's process: its listener and its connections close.
func (runner *versionedRunner) crash() {
	runner.server.Close()
	runner.play.record("runner %s crashes", runner.id)
}

// streamClient reads one stream, and takes it up where it broke off.
type streamClient struct {
	play     *play
	id       string
	events   []string
	lastID   string
	complete bool
}

// read sends the request to the machine, with the name of the attempt, and reads events until
// the stream ends. It returns the time after which to come again.
func (client *streamClient) read(ctx context.Context, machine *machine, attempt string) (pause clock.Millis) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+machine.address("caller")+"/report/a", strings.NewReader("report"))
	if err != nil {
		return tryPause
	}
	request.Host = "desk.example"
	for name, value := range map[string]string{
		"X-Request-Id": attempt, "X-Deadline-Ms": "6000", "Authorization": "Token key-of-garage", "X-Model": "m",
		"X-Token-Counts": "50,10", "X-Prompt-Prefix": "aa:30," + client.id + ":20",
	} {
		request.Header.Set(name, value)
	}
	if client.lastID != "" {
		request.Header.Set("Last-Event-Id", client.lastID)
		request.Header.Set("Resumes", client.id)
	}
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		client.play.record("client %s: attempt %s at %s: %v", client.id, attempt, machine.name, err)
		return tryPause
	}
	defer response.Body.Close()
	before := len(client.events)
	if response.StatusCode == http.StatusOK {
		client.readEvents(response.Body)
	}
	client.play.record("client %s: attempt %s at %s after event %q: status %d, events %q, complete %v", client.id, attempt, machine.name,
		request.Header.Get("Last-Event-Id"), response.StatusCode, client.events[before:], client.complete)
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		return max(tryPause, clock.Millis(seconds*float64(clock.Second)))
	}
	return tryPause
}

// readEvents reads whole events.
func (client *streamClient) readEvents(body io.Reader) {
	reader := bufio.NewReader(body)
	id, data := "", ""
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			client.complete = errors.Is(err, io.EOF) && line == "" && len(client.events) == enginestandin.StreamEvents
			return
		}
		line = strings.TrimSpace(line)
		switch {
		case strings.HasPrefix(line, "id:"):
			id = strings.TrimSpace(line[len("id:"):])
		case strings.HasPrefix(line, "data:"):
			data = strings.TrimSpace(line[len("data:"):])
		case line == "" && data != "":
			client.events, client.lastID, data = append(client.events, data), id, ""
		}
	}
}

// run begins the stream at the first machine and takes it up at the others.
func (client *streamClient) run(ctx context.Context, machines []*machine) {
	for try := range 1 + tries {
		attempt := client.id
		if try > 0 {
			attempt = fmt.Sprintf("%s-try-%d", client.id, try)
		}
		pause := client.read(ctx, machines[min(try, len(machines)-1)], attempt)
		if client.complete || client.play.clock.Wait(ctx, pause) != nil {
			return
		}
	}
}

// versions returns the software versions whose events the stream holds.
func (client *streamClient) versions() map[string]bool {
	versions := map[string]bool{}
	for _, event := range client.events {
		version, _, _ := strings.Cut(event, " ")
		versions[version] = true
	}
	return versions
}

// playVersions plays a runner that crashes and starts again under its id with newer software,
// while the store turns one machine away.
func playVersions(ctx context.Context, play *play) (broken bool, err error) {
	store := storestandin.New()
	runners := []*versionedRunner{{play: play, store: store, id: "i-old"}, {play: play, store: store, id: "i-new"}}
	for number, runner := range runners {
		if err := runner.start(strconv.Itoa(number + 1)); err != nil {
			return false, err
		}
	}
	store.Set("config", "main", versionRoutes)
	var machines []*machine
	var endpoints []*storestandin.Endpoint
	for _, name := range []string{"edge-1", "edge-2"} {
		endpoint := store.NewEndpoint()
		address, err := play.serve(endpoint)
		if err != nil {
			return false, err
		}
		machine, err := play.startMachine(name, address)
		if err != nil {
			return false, err
		}
		machines, endpoints = append(machines, machine), append(endpoints, endpoint)
	}
	for _, machine := range machines {
		if err := machine.awaitReady(ctx); err != nil {
			return false, err
		}
	}
	if err := play.clock.Wait(ctx, 6*clock.Second); err != nil {
		return false, err
	}
	if play.trouble {
		endpoints[1].SetFault(storestandin.FaultBusy)
		play.record("the store answers edge-2 with 503, and serves all others")
	}
	if err := play.clock.Wait(ctx, awayTime); err != nil {
		return false, err
	}
	clients := make([]*streamClient, streamClients)
	var group sync.WaitGroup
	for number := range clients {
		clients[number] = &streamClient{play: play, id: fmt.Sprint("s", number)}
		group.Go(func() { clients[number].run(ctx, machines) })
	}
	if err := play.clock.Wait(ctx, crashAfter); err != nil {
		return false, err
	}
	if play.trouble {
		runners[0].crash()
		if err := play.clock.Wait(ctx, upTime); err != nil {
			return false, err
		}
		if err := runners[0].start("2"); err != nil {
			return false, err
		}
	}
	group.Wait()
	return play.countMixed(clients) > mixedAllowed, nil
}

// countMixed returns the number of streams that hold events of two software versions.
func (play *play) countMixed(clients []*streamClient) int {
	mixed, complete := 0, 0
	for _, client := range clients {
		if client.complete {
			complete++
		}
		if len(client.versions()) > 1 {
			mixed++
			play.record("stream %s holds events of two software versions: %q", client.id, client.events)
		}
	}
	play.record("%d streams, %d complete, %d with events of two software versions", len(clients), complete, mixed)
	return mixed
}
