//go:build review2

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
	// versionMachines is the number of machines, and streamClients the number of streams
	// that are begun at once.
	versionMachines = 3
	streamClients   = 1000
	// allRunners is the number of runners, and rackRunners that of those that crash, a quarter.
	// They are up again after upTime, one after the other with restartGap between them.
	allRunners  = 24
	rackRunners = 6
	upTime      = 1 * clock.Second
	restartGap  = 5 * clock.Millisecond
	// calmTime is the time without any trouble before the streams begin, and crashAfter the
	// time from then to the crash.
	calmTime   = 8 * clock.Second
	crashAfter = 500 * clock.Millisecond
	// tries is how often a client takes a stream up. The clients do so for the first time
	// within returnTime, and then after tryPause or the Retry-After.
	tries      = 3
	returnTime = 2500 * clock.Millisecond
	tryPause   = 500 * clock.Millisecond
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
	// pause is the time after which it takes the stream up for the first time.
	pause clock.Millis
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

// run begins the stream at the first machine and takes it up at the others in turn.
func (client *streamClient) run(ctx context.Context, machines []*machine) {
	for try := range 1 + tries {
		attempt := client.id
		if try > 0 {
			attempt = fmt.Sprintf("%s-try-%d", client.id, try)
		}
		pause := client.read(ctx, machines[try%len(machines)], attempt)
		if try == 0 {
			pause = client.pause
		}
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

// playVersions plays runners that crash and start again under their ids with newer software.
func playVersions(ctx context.Context, play *play) (broken bool, err error) {
	store := storestandin.New()
	runners, err := play.startRunners(store)
	if err != nil {
		return false, err
	}
	store.Set("config", "main", versionRoutes)
	address, err := play.serve(store)
	if err != nil {
		return false, err
	}
	var machines []*machine
	for number := range versionMachines {
		machine, err := play.startMachine(fmt.Sprint("edge-", number+1), address)
		if err != nil {
			return false, err
		}
		machines = append(machines, machine)
	}
	for _, machine := range machines {
		if err := machine.awaitReady(ctx); err != nil {
			return false, err
		}
	}
	if err := play.clock.Wait(ctx, calmTime); err != nil {
		return false, err
	}
	clients := make([]*streamClient, streamClients)
	var group sync.WaitGroup
	for number := range clients {
		clients[number] = &streamClient{play: play, id: fmt.Sprint("s", number), pause: clock.Millis(number) * returnTime / streamClients}
		order := make([]*machine, 0, versionMachines)
		for i := range versionMachines {
			order = append(order, machines[(number+i)%versionMachines])
		}
		group.Go(func() { clients[number].run(ctx, order) })
	}
	if err := play.clock.Wait(ctx, crashAfter); err != nil {
		return false, err
	}
	if play.trouble {
		if err := play.restartRunners(ctx, runners[:rackRunners]); err != nil {
			return false, err
		}
	}
	group.Wait()
	return play.countMixed(clients) > mixedAllowed, nil
}

// startRunners starts the runners, the first rackRunners with software version 1 and the others
// with version 2.
func (play *play) startRunners(store *storestandin.Store) ([]*versionedRunner, error) {
	var runners []*versionedRunner
	for number := range allRunners {
		runner := &versionedRunner{play: play, store: store, id: fmt.Sprint("i-", number)}
		version := "1"
		if number >= rackRunners {
			version = "2"
		}
		if err := runner.start(version); err != nil {
			return nil, err
		}
		runners = append(runners, runner)
	}
	return runners, nil
}

// restartRunners crashes the runners at once, and starts them one after the other with
// version 2.
func (play *play) restartRunners(ctx context.Context, runners []*versionedRunner) error {
	for _, runner := range runners {
		runner.crash()
	}
	if err := play.clock.Wait(ctx, upTime); err != nil {
		return err
	}
	for _, runner := range runners {
		if err := runner.start("2"); err != nil {
			return err
		}
		if err := play.clock.Wait(ctx, restartGap); err != nil {
			return err
		}
	}
	return nil
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
