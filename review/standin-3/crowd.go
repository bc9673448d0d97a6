//go:build ignore

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// memoryMegabytes is the memory of a machine, as in the sheets of the small deployments.
const memoryMegabytes = 284

// memory returns a line of the process's status in KB.
func (edge *edge) memory(field string) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", edge.process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, field+":"); ok {
			kilobytes, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kilobytes
		}
	}
	return 0
}

// group is a part of a crowd: connections that each send one request, legal in size, whose
// prompt has so many parts, and stop one byte before the end of its body.
type group struct {
	connections int
	parts       int
	body        int
}

// promptParts returns the field X-Prompt-Prefix with so many parts in the form ID:TOKENS.
func promptParts(count int) string {
	return "X-Prompt-Prefix: " + strings.TrimSuffix(strings.Repeat("a:0,", count), ",")
}

// crowd plays clients that aren't controlled at one machine, and measures its memory.
func crowd(world *world) string {
	world.configure(1, `{"name":"book","host":"d.example","pathPrefix":"/b/","kind":"non_idempotent","timeoutMs":1500,"targetLatencyMs":300,"service":"app","maxAttempts":1}`, `{"name":"app"}`)
	for i := range 3 {
		world.addRunner("app", fmt.Sprint("i-app-", i), func(_ *runner, writer http.ResponseWriter, _ *http.Request) {
			time.Sleep(20 * time.Millisecond)
			_, _ = io.WriteString(writer, "fine")
		})
	}
	world.addEdges(1)
	world.awaitReady()
	time.Sleep(4 * time.Second)
	edge := world.edges[0]
	groups := []group{{connections: 960, parts: 3414, body: 74 << 10}, {connections: 1450, parts: 1707, body: 4 << 10}}
	if !world.trouble {
		groups = nil
	}
	var mutex sync.Mutex
	var open []net.Conn
	var sent, ended atomic.Int64
	defer func() {
		mutex.Lock()
		defer mutex.Unlock()
		for _, conn := range open {
			conn.Close()
		}
	}()
	stop := make(chan struct{})
	peak, peakAll := 0, 0
	sampled := make(chan struct{})
	go func() {
		defer close(sampled)
		for i := 0; ; i++ {
			anonymous, all := edge.memory("RssAnon"), edge.memory("VmRSS")
			peak, peakAll = max(peak, anonymous), max(peakAll, all)
			if i%20 == 0 {
				world.line("%d requests of the crowd sent, %d of its channels ended; %s has %d MB resident, %d MB of them anonymous", sent.Load(), ended.Load(), edge.name, all>>10, anonymous>>10)
			}
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
			}
		}
	}()
	for number, group := range groups {
		body := strings.Repeat("x", group.body-1)
		for i := range group.connections {
			conn, err := net.DialTimeout("tcp", edge.caller, time.Second)
			if err != nil {
				ended.Add(1)
				continue
			}
			mutex.Lock()
			open = append(open, conn)
			mutex.Unlock()
			go func() {
				head := fmt.Sprintf("POST /b/ HTTP/1.1\r\nHost: d.example\r\nX-Request-Id: c%d%d\r\nAuthorization: Token k\r\n%s\r\nContent-Length: %d\r\n\r\n", number, i, promptParts(group.parts), group.body)
				_, err := io.WriteString(conn, head)
				time.Sleep(100 * time.Millisecond)
				if err == nil {
					_, err = io.WriteString(conn, body)
				}
				if err == nil {
					sent.Add(1)
				}
				_, _ = io.Copy(io.Discard, conn)
				ended.Add(1)
			}()
			time.Sleep(time.Millisecond)
		}
	}
	time.Sleep(3 * time.Second)
	// An ordinary caller.
	channel, err := edge.open()
	if err == nil {
		world.line("an ordinary caller gets: %v", channel.send(http.MethodPost, "/b/x", "ordinary", 1500*time.Millisecond, "hello"))
		channel.close()
	}
	time.Sleep(3 * time.Second)
	close(stop)
	<-sampled
	world.line("peak: %d MB resident, %d MB of them anonymous; the machine has %d MB", peakAll>>10, peak>>10, memoryMegabytes)
	if peak > memoryMegabytes<<10 {
		return fmt.Sprintf("the process has %d MB of anonymous memory on a machine of %d MB", peak>>10, memoryMegabytes)
	}
	return ""
}

func init() { cases["12"] = crowd }
