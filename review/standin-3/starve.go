//go:build ignore

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
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
	// takenAfter is how long a channel must stay open, or bring an answer, to count as taken.
	takenAfter = 300 * time.Millisecond
	// contact and fewestClients are contactMs and the clients that the rule names.
	contact       = 3000 * time.Millisecond
	fewestClients = 7
)

// channelLog is when channels were taken by the machine, and when ordinary callers tried.
type channelLog struct {
	mutex sync.Mutex
	taken []time.Time
	tried []time.Time
}

func (log *channelLog) take(at time.Time) {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	log.taken = append(log.taken, at)
}

func (log *channelLog) try(at time.Time) {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	log.tried = append(log.tried, at)
}

// longestGap returns the longest time in which no channel was taken, of anybody, and the
// number of ordinary callers that tried in it.
func (log *channelLog) longestGap() (from time.Time, gap time.Duration, callers int) {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	slices.SortFunc(log.taken, time.Time.Compare)
	for i := 1; i < len(log.taken); i++ {
		if between := log.taken[i].Sub(log.taken[i-1]); between > gap {
			from, gap = log.taken[i-1], between
		}
	}
	for _, at := range log.tried {
		if at.After(from) && at.Before(from.Add(gap)) {
			callers++
		}
	}
	return from, gap, callers
}

// starve plays clients that leave the bodies of short requests unfinished, and looks for a
// time in which the machine takes no new channel although it says that it is ready.
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
	edge, log := world.edges[0], &channelLog{}
	var sent, turnedAway, served, unready atomic.Int64
	stop := make(chan struct{})
	go watchReady(edge, stop, &unready)
	if world.trouble {
		for i := range crowdSize {
			go leaveUnfinished(edge, i, stop, log, &sent, &turnedAway)
			time.Sleep(time.Millisecond)
		}
	}
	world.line("the crowd has sent %d requests without the end of their bodies; %d of its channels ended without an answer", sent.Load(), turnedAway.Load())
	var callers sync.WaitGroup
	for i := range ordinaryCallers {
		callers.Go(func() {
			if callTwice(world, edge, i, log) {
				served.Add(1)
			}
		})
		time.Sleep(ordinaryPause)
	}
	callers.Wait()
	close(stop)
	from, gap, tried := log.longestGap()
	world.line("%d of %d ordinary requests were served; the crowd has sent %d requests, %d of its channels ended without an answer", served.Load(), ordinaryCallers, sent.Load(), turnedAway.Load())
	world.line("from %.3f s on no channel was taken for %.3f s; %d ordinary callers tried; %d times the machine did not say that it is ready", from.Sub(world.start).Seconds(), gap.Seconds(), tried, unready.Load())
	if gap >= contact && tried >= fewestClients && unready.Load() == 0 {
		return fmt.Sprintf("no new channel was taken for %.1f s while %d ordinary callers tried; %d of %d ordinary requests were served", gap.Seconds(), tried, served.Load(), ordinaryCallers)
	}
	return ""
}

// watchReady asks the machine once a second whether it is ready, as the platform does.
func watchReady(edge *edge, stop <-chan struct{}, unready *atomic.Int64) {
	client := &http.Client{Timeout: time.Second}
	for {
		response, err := client.Get("http://" + edge.ready + "/api/readyz")
		if err != nil || response.StatusCode != http.StatusOK {
			unready.Add(1)
		}
		if err == nil {
			response.Body.Close()
		}
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
	}
}

// leaveUnfinished sends requests that stop one byte before the end of their bodies. When its
// channel ends it waits a second and opens another one.
func leaveUnfinished(edge *edge, number int, stop <-chan struct{}, log *channelLog, sent, turnedAway *atomic.Int64) {
	for i := 0; ; i++ {
		begun := time.Now()
		conn, err := net.DialTimeout("tcp", edge.caller, time.Second)
		if err == nil {
			_, err = fmt.Fprintf(conn, "POST /look/x HTTP/1.1\r\nHost: d.example\r\nX-Request-Id: c-%d-%d\r\nAuthorization: Token k\r\nContent-Length: 600\r\n\r\n%0599d", number, i, 0)
			if err == nil {
				sent.Add(1)
			}
			taken := time.AfterFunc(takenAfter, func() { log.take(begun) })
			if count, _ := io.Copy(io.Discard, conn); count == 0 {
				turnedAway.Add(1)
			}
			taken.Stop()
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
func callTwice(world *world, edge *edge, number int, log *channelLog) bool {
	log.try(time.Now())
	for try := range 2 {
		begun := time.Now()
		channel, err := edge.open()
		if err != nil {
			world.line("ordinary request %d, try %d: no channel (%v)", number, try, err)
			continue
		}
		answer := channel.send(http.MethodPost, "/look/x", fmt.Sprintf("o-%d-%d", number, try), 1500*time.Millisecond, "hello")
		channel.close()
		world.line("ordinary request %d, try %d: %v", number, try, answer)
		if answer.err == nil {
			log.take(begun)
		}
		if answer.err == nil && answer.status == http.StatusOK {
			return true
		}
	}
	return false
}

func init() { cases["14"] = starve }
