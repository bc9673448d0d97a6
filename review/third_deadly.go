//go:build ignore

package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

func deadly(world *world) string {
	world.configure(1, `{"name":"look","host":"d.example","pathPrefix":"/look/","kind":"idempotent","timeoutMs":1500,"targetLatencyMs":300,"service":"app","maxAttempts":2}`, `{"name":"app"}`)
	var mutex sync.Mutex
	var reached []time.Time
	for i := range 8 {
		world.addRunner("app", fmt.Sprint("i-app-", i), func(runner *runner, writer http.ResponseWriter, request *http.Request) {
			id := request.Header.Get("X-Request-Id")
			if request.URL.Path == "/look/deadly" && world.trouble {
				mutex.Lock()
				reached = append(reached, time.Now())
				world.line("%s begins to run request %s and crashes", runner.id, id)
				mutex.Unlock()
				runner.crash(4 * time.Second)
				panic(http.ErrAbortHandler)
			}
			time.Sleep(20 * time.Millisecond)
			_, _ = io.WriteString(writer, "fine")
		})
	}
	world.addEdges(3)
	world.awaitReady()
	time.Sleep(5 * time.Second)
	end := time.Now().Add(45 * time.Second)
	go func() {
		for i := 0; time.Now().Before(end); i++ {
			edge := world.edges[i%3]
			go func() {
				if channel, err := edge.open(); err == nil {
					channel.send("POST", fmt.Sprint("/look/", i), fmt.Sprint("s-", i), 1500*time.Millisecond, fmt.Sprint("sound ", i))
					channel.close()
				}
			}()
			time.Sleep(100 * time.Millisecond)
		}
	}()
	for round := 0; time.Now().Before(end); round++ {
		for try := range 2 {
			edge, id := world.edges[(round+try)%3], fmt.Sprintf("d-%d-%d", round, try)
			channel, err := edge.open()
			if err != nil {
				unable("%v", err)
			}
			world.line("a client sends the request as %s to %s", id, edge.name)
			a := channel.send("POST", "/look/deadly", id, 1500*time.Millisecond, "the same body")
			world.line("it gets: %v", a)
			channel.close()
			if a.err == nil && a.status == 200 {
				break
			}
		}
		time.Sleep(6 * time.Second)
	}
	mutex.Lock()
	defer mutex.Unlock()
	if len(reached) < 3 {
		return ""
	}
	late := 0
	for _, at := range reached[3:] {
		if at.Sub(reached[2]) > 3*time.Second {
			late++
		}
	}
	world.line("%d sends reached runners, %d of them later than 3 s after the third crash", len(reached), late)
	if late > 3 {
		return fmt.Sprint(late, " sends")
	}
	return ""
}

func init() { cases["14"] = deadly }
