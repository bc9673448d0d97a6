//go:build review

package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is one request at a runner.
type run struct {
	id     string
	runner string
	from   string
	began  time.Time
	ended  time.Time
	// cut is set if the channel closed before the run ended.
	cut bool
}

// runner is a sound runner of an application service: slots for requests at once, a queue,
// and work of a mean of 60 ms. It drops a request when its channel closes.
type runner struct {
	id      string
	service string
	version string
	born    int64
	zone    string
	address string
	slots   int
	places  chan struct{}
	mutex   sync.Mutex
	waiting int
	runs    []*run
	// leaving is set once the runner says in all its answers that it leaves; gone ends it.
	leaving bool
	gone    chan struct{}
	server  *http.Server
}

const (
	runnerSlots = 6
	runnerQueue = 24
	meanWork    = 60 * time.Millisecond
	// A stream is like one of chat-reply: the first event after firstEventTime, 70 events.
	streamPath     = "/chat/"
	firstEventTime = 400 * time.Millisecond
	eventTime      = 50 * time.Millisecond
	streamEvents   = 70
)

func (env *env) addRunner(id, service, zone string, slots int) *runner {
	runner := &runner{id: id, service: service, version: "v1", born: time.Now().UnixMilli(), zone: zone, slots: slots, places: make(chan struct{}, slots), gone: make(chan struct{})}
	runner.address, runner.server = serveClosable(runner)
	env.publish(runner, "ready", 1)
	return runner
}

// workTime draws the time of a run: 60 ms on average with some spread.
func workTime() time.Duration {
	return time.Duration(float64(meanWork) * (0.6 + 0.8*rand.Float64()))
}

// ServeHTTP handles one request.
func (runner *runner) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("X-Request-Id")
	if _, err := io.ReadAll(request.Body); err != nil {
		return
	}
	header := writer.Header()
	header.Set("X-Request-Id", id)
	runner.stateLeaving(header)
	if expected := request.Header.Get("X-Expect-Instance"); expected != "" && expected != runner.id {
		header.Set("X-Instance-Id", runner.id)
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !runner.enter(request) {
		header.Set("X-Not-Executed", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-runner.places }()
	current := &run{id: id, runner: runner.id, from: request.RemoteAddr, began: time.Now()}
	runner.mutex.Lock()
	runner.runs = append(runner.runs, current)
	runner.mutex.Unlock()
	header.Set("X-Response-Stamp", "stamp."+id)
	var complete bool
	if strings.HasPrefix(request.URL.Path, streamPath) {
		complete = runner.stream(writer, request)
	} else if complete = runner.work(request, workTime()); complete {
		runner.stateLeaving(header)
		fmt.Fprintf(writer, "done %s by %s", id, runner.id)
	}
	runner.mutex.Lock()
	current.ended, current.cut = time.Now(), !complete
	runner.mutex.Unlock()
	if !complete {
		// What was written without an end closes the channel.
		panic(http.ErrAbortHandler)
	}
}

// work reports whether the runner could work for the time: whether the channel stays open
// and the runner doesn't end.
func (runner *runner) work(request *http.Request, wanted time.Duration) bool {
	select {
	case <-time.After(wanted):
		return true
	case <-request.Context().Done():
		return false
	case <-runner.currentGone():
		return false
	}
}

// stream writes the events of a stream and reports whether it is complete.
func (runner *runner) stream(writer http.ResponseWriter, request *http.Request) bool {
	if !runner.work(request, firstEventTime) {
		return false
	}
	runner.stateLeaving(writer.Header())
	writer.Header().Set("Content-Type", "text/event-stream")
	version, gone := runner.state()
	first := 1
	if last, err := strconv.Atoi(request.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	for number := first; number <= streamEvents; number++ {
		if number > first && !runner.work(request, eventTime) {
			return false
		}
		select {
		case <-gone:
			return false
		default:
		}
		fmt.Fprintf(writer, "id: %d\ndata: event %d of %d by %s\n\n", number, number, streamEvents, version)
		if http.NewResponseController(writer).Flush() != nil {
			return false
		}
	}
	return true
}

// stateLeaving says in the head of an answer that the runner leaves, if it does.
func (runner *runner) stateLeaving(header http.Header) {
	if runner.isLeaving() {
		header.Set("Server-Leaving", "1")
		header.Set("Connection", "close")
	}
}

// enter takes a slot, after a wait in the queue if there is room there.
func (runner *runner) enter(request *http.Request) bool {
	runner.mutex.Lock()
	if runner.waiting >= runnerQueue {
		runner.mutex.Unlock()
		return false
	}
	runner.waiting++
	runner.mutex.Unlock()
	defer func() {
		runner.mutex.Lock()
		runner.waiting--
		runner.mutex.Unlock()
	}()
	select {
	case runner.places <- struct{}{}:
		return true
	case <-request.Context().Done():
		return false
	}
}

// runsByID returns the runs of all runners by the id of the request.
func runsByID(runners []*runner) map[string][]*run {
	byID := map[string][]*run{}
	for _, runner := range runners {
		runner.mutex.Lock()
		for _, run := range runner.runs {
			copied := *run
			byID[run.id] = append(byID[run.id], &copied)
		}
		runner.mutex.Unlock()
	}
	return byID
}

func (runner *runner) isLeaving() bool {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	return runner.leaving
}

// leave makes the runner say in all its answers that it leaves.
func (runner *runner) leave() {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	runner.leaving = true
}

// end ends the runner's process: its channels close, and what it runs is lost.
func (runner *runner) end() {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	close(runner.gone)
	runner.server.Close()
}

// startAgain starts the runner again under its id and at its address, with another version
// of its software.
func (runner *runner) startAgain(version string) {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	runner.version, runner.born, runner.gone = version, time.Now().UnixMilli(), make(chan struct{})
	_, runner.server = serveAt(runner.address, runner)
}

// state returns the version of the runner's current start, and what its end closes.
func (runner *runner) state() (version string, gone <-chan struct{}) {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	return runner.version, runner.gone
}

func (runner *runner) currentGone() <-chan struct{} {
	_, gone := runner.state()
	return gone
}
