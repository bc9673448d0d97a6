//go:build ignore

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// crowdSize is the number of clients that leave their requests unfinished.
	crowdSize = 3200
	// ordinaryCallers is the number of ordinary requests, five in a second.
	ordinaryCallers = 100
	ordinaryPause   = 200 * time.Millisecond
)

// starve plays clients that leave the bodies of short requests unfinished, and counts the
// ordinary requests that are served meanwhile.
func starve(world *world) string {
	world.configure(1, `{"name":"look","host":"d.example","pathPrefix":"/look/","kind":"idempotent","timeoutMs":1500,"targetLatencyMs":300,"service":"app","maxAttempts":2}`, `{"name":"app"}`)
	for i := range 3 {
		world.addRunner("app", fmt.Sprint("i-app-", i), func(_ *runner, writer http.ResponseWriter, _ *http.Request) {
			time.Sleep(60 * time.Millisecond)
			_, _ = io.WriteString(writer, "fine")
		})
	}
	world.addEdges(1)
	world.awaitReady()
	time.Sleep(4 * time.Second)
	edge := world.edges[0]
	var sent, turnedAway atomic.Int64
	stop := make(chan struct{})
	if world.trouble {
		for i := range crowdSize {
			go leaveUnfinished(edge, i, stop, &sent, &turnedAway)
			time.Sleep(time.Millisecond)
		}
		time.Sleep(time.Second)
	}
	world.line("the crowd has sent %d requests without the end of their bodies; %d of its channels ended without an answer", sent.Load(), turnedAway.Load())
	var served atomic.Int64
	var callers sync.WaitGroup
	for i := range ordinaryCallers {
		callers.Go(func() {
			if callTwice(world, edge, i) {
				served.Add(1)
			}
		})
		time.Sleep(ordinaryPause)
	}
	callers.Wait()
	close(stop)
	world.line("%d of %d ordinary requests were served; the crowd has sent %d requests, %d of its channels ended without an answer", served.Load(), ordinaryCallers, sent.Load(), turnedAway.Load())
	if served.Load() < ordinaryCallers/2 {
		return fmt.Sprintf("%d of %d ordinary requests were served", served.Load(), ordinaryCallers)
	}
	return ""
}

// leaveUnfinished sends requests that stop one byte before the end of their bodies. When its
// channel ends it waits a second and opens another one.
func leaveUnfinished(edge *edge, number int, stop <-chan struct{}, sent, turnedAway *atomic.Int64) {
	for i := 0; ; i++ {
		conn, err := net.DialTimeout("tcp", edge.caller, time.Second)
		if err == nil {
			_, err = fmt.Fprintf(conn, "POST /look/x HTTP/1.1\r\nHost: d.example\r\nX-Request-Id: c-%d-%d\r\nAuthorization: Token k\r\nContent-Length: 600\r\n\r\n%0599d", number, i, 0)
			if err == nil {
				sent.Add(1)
			}
			if count, _ := io.Copy(io.Discard, conn); count == 0 {
				turnedAway.Add(1)
			}
			conn.Close()
		}
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
	}
}

// callTwice sends an ordinary request, and once more on a new channel if it fails. It reports
// whether it was served.
func callTwice(world *world, edge *edge, number int) bool {
	for try := range 2 {
		channel, err := edge.open()
		if err != nil {
			world.line("ordinary request %d, try %d: no channel (%v)", number, try, err)
			continue
		}
		answer := channel.send(http.MethodPost, "/look/x", fmt.Sprintf("o-%d-%d", number, try), 1500*time.Millisecond, "hello")
		channel.close()
		world.line("ordinary request %d, try %d: %v", number, try, answer)
		if answer.err == nil && answer.status == http.StatusOK {
			return true
		}
	}
	return false
}

func init() { cases["14"] = starve }
