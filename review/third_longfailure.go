//go:build ignore

package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// longAnswer is the size of each answer, which has no announced length and comes in chunks.
const longAnswer = 300 << 10

// configApply is configApplyMs of the small deployments.
const configApply = 2000 * time.Millisecond

// reloads is the number of times that a machine gets SIGHUP.
const reloads = 2

// longFailure plays runners that answer one in eight of their requests with a whole answer of
// status 500, and counts the kept channels that end within such an answer.
func longFailure(world *world) string {
	world.configure(1, `{"name":"look","host":"d.example","pathPrefix":"/look/","kind":"idempotent","timeoutMs":1500,"targetLatencyMs":300,"service":"app","maxAttempts":2}`, `{"name":"app"}`)
	var runs, failures atomic.Int64
	for i := range 3 {
		world.addRunner("app", fmt.Sprint("i-app-", i), func(runner *runner, writer http.ResponseWriter, request *http.Request) {
			time.Sleep(20 * time.Millisecond)
			status := http.StatusOK
			if world.trouble && runs.Add(1)%8 == 0 {
				status = http.StatusInternalServerError
				failures.Add(1)
			}
			writer.WriteHeader(status)
			_, err := io.WriteString(writer, strings.Repeat("x", longAnswer))
			world.line("%s runs request %s and answers %d with %d bytes in chunks (error: %v)", runner.id, request.Header.Get("X-Request-Id"), status, longAnswer, err)
		})
	}
	world.addEdges(4)
	world.awaitReady()
	time.Sleep(4 * time.Second)
	tally := &longFailures{}
	var clients sync.WaitGroup
	for _, edge := range world.edges {
		clients.Go(func() { askOnKeptChannel(world, edge, tally) })
	}
	for range reloads {
		time.Sleep(time.Second)
		// One machine of four; its settings are the same as before.
		tally.reload(world.edges[0])
		world.edges[0].signal(syscall.SIGHUP)
		world.line("SIGHUP to %s", world.edges[0].name)
		time.Sleep(configApply)
	}
	clients.Wait()
	world.line("runners gave %d whole answers of status 500; %d kept channels ended within one; %d channels of %s did with a request sent in the %v after its SIGHUP",
		failures.Load(), tally.kept, tally.atReload, world.edges[0].name, configApply)
	if tally.atReload > 0 {
		return fmt.Sprintf("%d channels ended without the whole answer that the runner had given, with requests sent in the %v after SIGHUP; %d kept channels in all", tally.atReload, configApply, tally.kept)
	}
	return ""
}

// longFailures counts the channels that ended within an answer.
type longFailures struct {
	mutex      sync.Mutex
	reloaded   *edge
	reloadedAt time.Time
	kept       int
	atReload   int
}

func (tally *longFailures) reload(edge *edge) {
	tally.mutex.Lock()
	defer tally.mutex.Unlock()
	tally.reloaded, tally.reloadedAt = edge, time.Now()
}

// ended counts a channel to the machine that ended within the answer to a request sent at the
// time.
func (tally *longFailures) ended(edge *edge, sent time.Time, isKept bool) {
	tally.mutex.Lock()
	defer tally.mutex.Unlock()
	if isKept {
		tally.kept++
	}
	if edge == tally.reloaded && !sent.Before(tally.reloadedAt) && sent.Sub(tally.reloadedAt) < configApply {
		tally.atReload++
	}
}

// askOnKeptChannel sends requests to the machine, one after the other, on a channel that it
// keeps as long as it can.
func askOnKeptChannel(world *world, edge *edge, tally *longFailures) {
	var kept *channel
	for i := range 90 {
		isKept := kept != nil
		if !isKept {
			var err error
			if kept, err = edge.open(); err != nil {
				world.line("no channel to %s: %v", edge.name, err)
				return
			}
		}
		path, sent := "/look/x", time.Now()
		answer := kept.send(http.MethodPost, path, fmt.Sprintf("%s-%d", edge.name, i), 1500*time.Millisecond, "hello")
		world.line("the client gets for request %s-%d (%s), kept channel %t: %v", edge.name, i, path, isKept, answer)
		if answer.err != nil {
			tally.ended(edge, sent, isKept)
		}
		if answer.err != nil || answer.closed {
			kept.close()
			kept = nil
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func init() { cases["12"] = longFailure }
