//go:build ignore

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// leaseTTL is leaseTtlMs of the small deployments.
	leaseTTL = 3000 * time.Millisecond
	// roundTime is the time from a start of all processes to the next kill, restartDelay that
	// from the kill to the start, and lastKill when they are killed no more. Where two machines
	// were holders in a round, it is watched for longerTime.
	roundTime    = 4 * time.Second
	longerTime   = 34 * time.Second
	restartDelay = 300 * time.Millisecond
	lastKill     = 70 * time.Second
	// machines is the number of machines.
	machines = 3
	// startPause keeps the first starts apart, all within the 0.3 s of DEPLOY.md.
	startPause = 100 * time.Millisecond
)

// dutyCall is a call that the platform accepted.
type dutyCall struct {
	at      time.Time
	holder  string
	subject string
	fence   int64
}

func (call dutyCall) String() string {
	return fmt.Sprintf("%s with generation %d", call.holder, call.fence)
}

// dutyCalls collects the calls that the platform accepts.
type dutyCalls struct {
	mutex sync.Mutex
	calls []dutyCall
}

func (calls *dutyCalls) add(call dutyCall) {
	calls.mutex.Lock()
	defer calls.mutex.Unlock()
	calls.calls = append(calls.calls, call)
}

// backAndForth returns three calls since the time, of holders in the order A, B, A on one
// subject, inside leaseTtlMs, or nil.
func (calls *dutyCalls) backAndForth(since time.Time) []dutyCall {
	calls.mutex.Lock()
	defer calls.mutex.Unlock()
	for i, first := range calls.calls {
		for j := i + 1; j < len(calls.calls); j++ {
			second := calls.calls[j]
			for _, third := range calls.calls[j+1:] {
				if !first.at.Before(since) && first.subject == second.subject && second.subject == third.subject &&
					first.holder != second.holder && first.holder == third.holder && third.at.Sub(first.at) < leaseTTL {
					return []dutyCall{first, second, third}
				}
			}
		}
	}
	return nil
}

// holders kills all processes at the same moment, some times, and looks for duties that move
// to another machine and back.
func holders(world *world) string {
	world.configure(1, `{"name":"gen","host":"d.example","pathPrefix":"/gen/","kind":"streaming","timeoutMs":6000,"targetLatencyMs":800,"targetGapMs":300,"service":"pool","maxAttempts":1}`,
		`{"name":"pool","engine":{"batchSlots":64,"kvCapacity":323717},"scaling":{"minCount":1,"maxCount":12,"startupS":4.0,"spotPrice":0.18,"zonePrices":{"lhr-a":1.0}}}`)
	for i := range 6 {
		world.addRunner("pool", fmt.Sprint("i-pool-", i), func(_ *runner, writer http.ResponseWriter, _ *http.Request) {
			writer.Header().Set("Content-Type", "text/event-stream")
			for event := range 10 {
				time.Sleep(20 * time.Millisecond)
				_, _ = io.WriteString(writer, fmt.Sprintf("id: %d\ndata: x\n\n", event+1))
				writer.(http.Flusher).Flush()
			}
		})
	}
	calls := &dutyCalls{}
	world.onCall = func(path, holder string, fence int64, body string) {
		var form struct {
			Service string `json:"service"`
			Zone    string `json:"zone"`
		}
		_ = json.Unmarshal([]byte(body), &form)
		calls.add(dutyCall{at: time.Now(), holder: holder, subject: strings.Join([]string{path, form.Service, form.Zone}, " "), fence: fence})
	}
	world.startPause = startPause
	world.addEdges(machines)
	world.awaitReady()
	started := time.Now()
	stop := make(chan struct{})
	defer close(stop)
	go recordLease(world, stop)
	for {
		time.Sleep(time.Until(started.Add(roundTime)))
		found := calls.backAndForth(started.Add(contact))
		for found == nil && calls.holdersSince(started) > 1 && time.Since(started) < longerTime {
			time.Sleep(500 * time.Millisecond)
			found = calls.backAndForth(started.Add(contact))
		}
		if found != nil {
			return fmt.Sprintf("%v, %v, %v within %.2f s on %q, the first of them %.1f s after the latest start", found[0], found[1], found[2],
				found[2].at.Sub(found[0].at).Seconds(), found[0].subject, found[0].at.Sub(started).Seconds())
		}
		if time.Since(world.start) > lastKill {
			return ""
		}
		if world.trouble {
			started = world.restartAll()
		} else {
			started = time.Now()
		}
	}
}

// holdersSince returns the number of machines whose calls the platform has accepted since the
// time.
func (calls *dutyCalls) holdersSince(since time.Time) int {
	calls.mutex.Lock()
	defer calls.mutex.Unlock()
	holders := map[string]bool{}
	for _, call := range calls.calls {
		if call.at.After(since) {
			holders[call.holder] = true
		}
	}
	return len(holders)
}

// recordLease records the holder and the incarnation that the lease in the store names, each
// time that they change.
func recordLease(world *world, stop <-chan struct{}) {
	last := ""
	for {
		var form struct {
			Holder      string `json:"holder"`
			Incarnation string `json:"incarnation"`
		}
		_ = json.Unmarshal([]byte(world.store.Spec("leases", "duties")), &form)
		if text := fmt.Sprintf("holder %s, incarnation %s", form.Holder, form.Incarnation); text != last {
			last = text
			world.line("the lease in the store: %s", text)
		}
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// restartAll kills the processes of all machines at the same moment, and starts them again at
// the same moment, as the platform does. It returns when it started them.
func (world *world) restartAll() time.Time {
	world.line("all processes are killed")
	world.each(func(edge *edge) { edge.kill() })
	starts := make([]func(), 0, len(world.edges))
	for _, edge := range world.edges {
		starts = append(starts, edge.prepare())
	}
	time.Sleep(restartDelay)
	started := time.Now()
	world.line("all processes are started")
	for _, start := range starts {
		start()
	}
	world.awaitReady()
	return started
}

// each calls the function for all machines at once.
func (world *world) each(do func(edge *edge)) {
	var group sync.WaitGroup
	for _, edge := range world.edges {
		group.Go(func() { do(edge) })
	}
	group.Wait()
}

func init() { cases["11"] = holders }
