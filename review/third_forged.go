//go:build ignore

package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeat is how often a runner writes its entry, heartbeatMs of the small deployments.
const heartbeat = 1200 * time.Millisecond

// forged plays another writer, whose entry lacks fields, and counts the requests that run
// at a service to which the manifest doesn't allow them to go.
func forged(world *world) string {
	world.configure(1, `{"name":"book","host":"d.example","pathPrefix":"/book/","kind":"non_idempotent","timeoutMs":1500,"targetLatencyMs":300,"service":"app","maxAttempts":1},`+
		`{"name":"stock","host":"d.example","pathPrefix":"/stock/","kind":"idempotent","timeoutMs":1500,"targetLatencyMs":300,"service":"store","maxAttempts":2}`, `{"name":"app"},{"name":"store"}`)
	var wrong, answered atomic.Int64
	handle := func(runner *runner, writer http.ResponseWriter, request *http.Request) {
		wanted := map[string]string{"book": "app", "stock": "store"}[strings.Split(request.URL.Path, "/")[1]]
		world.line("%s of service %s runs request %s: %s %s", runner.id, runner.service, request.Header.Get("X-Request-Id"), request.Method, request.URL.Path)
		if wanted != runner.service {
			wrong.Add(1)
			world.line("the manifest allows it to go to service %s only", wanted)
		}
		time.Sleep(60 * time.Millisecond)
		_, _ = io.WriteString(writer, "fine")
	}
	for i := range 3 {
		world.addRunner("app", fmt.Sprint("i-app-", i), handle)
		world.addRunner("store", fmt.Sprint("i-store-", i), handle)
	}
	world.addEdges(3)
	world.awaitReady()
	time.Sleep(6 * time.Second)
	end := time.Now().Add(10 * time.Second)
	var clients sync.WaitGroup
	for number := range 24 {
		clients.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				path := "/book/x"
				if number%4 == 0 {
					path = "/stock/x"
				}
				edge, id := world.edges[number%len(world.edges)], fmt.Sprintf("r-%d-%d", number, i)
				channel, err := edge.open()
				if err != nil {
					continue
				}
				answer := channel.send(http.MethodPost, path, id, 1500*time.Millisecond, "hello")
				channel.close()
				world.line("the client gets for request %s (%s) from %s: %v", id, path, edge.name, answer)
				if answer.err == nil {
					answered.Add(1)
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	victim := world.runners[1]
	time.Sleep(3 * time.Second)
	if world.trouble {
		entry := fmt.Sprintf(`{"service":"app","address":%q,"zone":"lhr-a","state":"ready"}`, victim.address)
		world.store.Set("servers", victim.id, entry)
		world.line("another writer writes the entry %s: %s", victim.id, entry)
	}
	time.Sleep(heartbeat)
	world.store.Set("servers", victim.id, victim.entry("ready"))
	world.line("%s writes its entry again", victim.id)
	clients.Wait()
	world.line("%d requests were answered, %d ran at a service to which no manifest allows them to go", answered.Load(), wrong.Load())
	if answered.Load() < 100 {
		unable("too few requests were answered")
	}
	if wrong.Load() > 0 {
		return fmt.Sprint(wrong.Load(), " requests ran at a service to which no manifest allows them to go")
	}
	return ""
}

func init() { cases["13"] = forged }
