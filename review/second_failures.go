//go:build review2

package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/standin/storestandin"
)

const (
	failureRoutes = `{"version":1,"routes":[
	{"name":"status","host":"desk.example","pathPrefix":"/status/","kind":"idempotent","timeoutMs":1500,"targetLatencyMs":300,"priority":2,"service":"app","maxAttempts":2},
	{"name":"report","host":"desk.example","pathPrefix":"/report/","kind":"streaming","timeoutMs":6000,"targetLatencyMs":800,"targetGapMs":300,"priority":1,"service":"app","maxAttempts":2,"resumable":true}],
	"services":[{"name":"app"}],
	"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
	"tenants":[{"name":"garage","apiKeys":["key-of-garage"],"unit":"tokens","plainTokens":200,"ratePerS":125766,"burst":125766}]}`
	// longAnswer is the size of the failures' bodies, as of a report with a dump.
	longAnswer = 300_000
	// errorEach makes a runner answer one of so many requests with a failure of its own, and
	// breakEach makes it break off one of so many answers.
	errorEach, breakEach = 8, 20
	// errorRequests and breakRequests are the numbers of requests, one after the other.
	errorRequests, breakRequests = 120, 400
	// errorRunners is the number of runners of workshop-app on the site.
	errorRunners = 3
	// lostAllowed is the number of kept channels that the rule allows to close without an answer.
	lostAllowed  = 3
	streamEvents = 5
	// contactTime is more than contactMs, after which a started machine is in touch.
	contactTime = 3500 * clock.Millisecond
)

// failingRunner is a runner that fails one of failEach requests that it runs, or none if that
// is 0, with a long answer in chunks. If breaksOff is set, it breaks these answers off.
type failingRunner struct {
	play      *play
	id        string
	failEach  int64
	breaksOff bool
	runs      atomic.Int64
	// answers holds the body that the runner gave to each request, and whether it was whole.
	answers sync.Map
}

type givenAnswer struct {
	body  string
	whole bool
}

// ServeHTTP handles one request.
func (runner *failingRunner) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	id, header := request.Header.Get("X-Request-Id"), writer.Header()
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	header.Set("X-Request-Id", id)
	if request.Header.Get("X-Expect-Instance") != runner.id {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	header.Set("X-Response-Stamp", "stamp-"+runner.id)
	if runs := runner.runs.Add(1); runner.failEach > 0 && runs%runner.failEach == 0 {
		runner.fail(writer, id)
		return
	}
	runner.play.record("runner %s runs %s: success", runner.id, id)
	if !strings.HasPrefix(request.URL.Path, "/report/") {
		body := strings.Repeat("s", longAnswer)
		runner.answers.Store(id, givenAnswer{body: body, whole: true})
		writer.Write([]byte(body))
		return
	}
	header.Set("Content-Type", "text/event-stream")
	for event := range streamEvents {
		fmt.Fprintf(writer, "id: %d\ndata: piece %d of %s\n\n", event, event, id)
		_ = http.NewResponseController(writer).Flush()
	}
}

// fail answers with status 500 and a long body in chunks.
func (runner *failingRunner) fail(writer http.ResponseWriter, id string) {
	body := strings.Repeat("f", longAnswer)
	runner.answers.Store(id, givenAnswer{body: body, whole: !runner.breaksOff})
	writer.WriteHeader(http.StatusInternalServerError)
	writer.Write([]byte(body))
	if !runner.breaksOff {
		runner.play.record("runner %s runs %s: status 500 with %d bytes", runner.id, id, len(body))
		return
	}
	_ = http.NewResponseController(writer).Flush()
	runner.play.record("runner %s runs %s: status 500, breaks off after %d bytes", runner.id, id, len(body))
	panic(http.ErrAbortHandler)
}

// startFailures starts runners, of which the first ones, so many as failing, fail one of
// failEach requests unless the trouble is left out, and a machine.
func startFailures(ctx context.Context, play *play, count, failing int, failEach int64, breaksOff bool) ([]*failingRunner, *machine, error) {
	store := storestandin.New()
	var runners []*failingRunner
	for number := range count {
		runner := &failingRunner{play: play, id: fmt.Sprint("i-", number+1), breaksOff: breaksOff}
		if play.trouble && number < failing {
			runner.failEach = failEach
		}
		address, err := play.serve(runner)
		if err != nil {
			return nil, nil, err
		}
		store.Set("servers", runner.id, fmt.Sprintf(
			`{"service":"app","address":%q,"zone":"lj-a","version":"1","batchSlots":6,"state":"ready","coldRemainingMs":0,"sequence":1,"born":1}`, address))
		runners = append(runners, runner)
	}
	store.Set("config", "main", failureRoutes)
	storeAddress, err := play.serve(store)
	if err != nil {
		return nil, nil, err
	}
	machine, err := play.startMachine("edge-1", storeAddress)
	if err != nil {
		return nil, nil, err
	}
	if err := machine.awaitReady(ctx); err != nil {
		return nil, nil, err
	}
	return runners, machine, play.clock.Wait(ctx, contactTime)
}

// reply is what a client got.
type reply struct {
	status int
	stamp  string
	body   []byte
	// broken is why the answer ended before its end, or nil.
	broken error
}

// ask sends one request on a kept channel.
func ask(ctx context.Context, client *http.Client, machine *machine, method, path, id string) (reply, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+machine.address("caller")+path, strings.NewReader("body"))
	if err != nil {
		return reply{}, errors.Wrap(err, "create a request")
	}
	request.Host = "desk.example"
	for name, value := range map[string]string{"X-Request-Id": id, "X-Deadline-Ms": "6000", "Authorization": "Token key-of-garage"} {
		request.Header.Set(name, value)
	}
	// The client of net/http must not send a request twice.
	request.GetBody = nil
	response, err := client.Do(request)
	if err != nil {
		machine.play.record("client: %s %s: no answer: %v", id, path, err)
		return reply{broken: err}, nil
	}
	defer response.Body.Close()
	got := reply{status: response.StatusCode, stamp: response.Header.Get("X-Response-Stamp")}
	got.body, got.broken = io.ReadAll(response.Body)
	machine.play.record("client: %s %s: status %d, stamp %q, %d bytes, end: %v", id, path, got.status, got.stamp, len(got.body), got.broken)
	return got, nil
}

// playFailures plays a runner that answers some requests with a failure and a long body, and
// counts the kept channels that are closed without a whole answer.
func playFailures(ctx context.Context, play *play) (broken bool, err error) {
	_, machine, err := startFailures(ctx, play, errorRunners, errorRunners, errorEach, false)
	if err != nil {
		return false, err
	}
	client := &http.Client{Transport: &http.Transport{}, Timeout: (5 * clock.Second).Duration()}
	lost := 0
	for number := range errorRequests {
		got, err := ask(ctx, client, machine, http.MethodGet, "/status/a", fmt.Sprint("r", number))
		if err != nil {
			return false, err
		}
		if got.broken != nil {
			lost++
		}
	}
	play.record("%d requests, %d channels closed before the end of the runner's whole answer", errorRequests, lost)
	return lost > lostAllowed, nil
}

// playBreaks plays a runner that breaks off failures with a long body, and looks for those
// that look complete.
func playBreaks(ctx context.Context, play *play) (broken bool, err error) {
	runners, machine, err := startFailures(ctx, play, 2, 1, breakEach, true)
	if err != nil {
		return false, err
	}
	client := &http.Client{Transport: &http.Transport{}, Timeout: (8 * clock.Second).Duration()}
	mixed := 0
	for number := range breakRequests {
		id := fmt.Sprint("r", number)
		got, err := ask(ctx, client, machine, http.MethodPost, "/report/a", id)
		if err != nil {
			return false, err
		}
		given, ok := runners[0].answers.Load(id)
		if !ok || got.broken != nil || got.stamp != "stamp-"+runners[0].id || given.(givenAnswer).whole {
			continue
		}
		mixed++
		rest := bytes.TrimLeft(got.body, "f")
		play.record("%s looks complete: status %d and stamp of %s, which broke off, then %q", id, got.status, runners[0].id, rest)
	}
	play.record("%d requests, %d answers that ended early and look complete", breakRequests, mixed)
	return mixed > 0, nil
}
