//go:build ignore

package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// longAnswer is the size of each answer, which has no announced length and comes in chunks.
const longAnswer = 300 << 10

// longFailure plays runners that answer a third of their requests with a whole answer of
// status 500, and counts the kept channels that end within such an answer.
func longFailure(world *world) string {
	world.configure(1, `{"name":"book","host":"d.example","pathPrefix":"/book/","kind":"non_idempotent","timeoutMs":1500,"targetLatencyMs":300,"service":"app","maxAttempts":1},`+
		`{"name":"look","host":"d.example","pathPrefix":"/look/","kind":"idempotent","timeoutMs":1500,"targetLatencyMs":300,"service":"app","maxAttempts":2}`, `{"name":"app"}`)
	var runs, failures atomic.Int64
	for i := range 3 {
		world.addRunner("app", fmt.Sprint("i-app-", i), func(runner *runner, writer http.ResponseWriter, request *http.Request) {
			time.Sleep(20 * time.Millisecond)
			status := http.StatusOK
			if world.trouble && runs.Add(1)%3 == 0 {
				status = http.StatusInternalServerError
				failures.Add(1)
			}
			writer.WriteHeader(status)
			_, err := io.WriteString(writer, strings.Repeat("x", longAnswer))
			world.line("%s runs request %s and answers %d with %d bytes in chunks (error: %v)", runner.id, request.Header.Get("X-Request-Id"), status, longAnswer, err)
		})
	}
	world.addEdges(2)
	world.awaitReady()
	time.Sleep(4 * time.Second)
	lost, channels := 0, make([]*channel, len(world.edges))
	for i := range 60 {
		edge := world.edges[i%len(channels)]
		kept := channels[i%len(channels)]
		isKept := kept != nil
		if !isKept {
			var err error
			if kept, err = edge.open(); err != nil {
				unable("open a channel: %v", err)
			}
			channels[i%len(channels)] = kept
		}
		path := []string{"/book/x", "/look/x"}[i/2%2]
		answer := kept.send(http.MethodPost, path, fmt.Sprint("r-", i), 1500*time.Millisecond, "hello")
		world.line("the client gets for request r-%d (%s) from %s, kept channel %t: %v", i, path, edge.name, isKept, answer)
		if answer.err != nil && isKept {
			lost++
		}
		if answer.err != nil || answer.closed {
			kept.close()
			channels[i%len(channels)] = nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	world.line("runners gave %d answers of status 500; %d kept channels ended within one", failures.Load(), lost)
	if lost > 3 {
		return fmt.Sprint(lost, " kept channels ended without the whole answer that the runner had given")
	}
	return ""
}

func init() { cases["13"] = longFailure }
