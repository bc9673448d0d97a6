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
	// contact is contactMs.
	contact = 3000 * time.Millisecond
	// machines is the number of machines, and startPause keeps their starts apart where they
	// don't start at the same moment, all within the 0.3 s of DEPLOY.md.
	machines   = 3
	startPause = 100 * time.Millisecond
	// watchTime is how long a deployment is watched. Where two machines were holders in this
	// time, it is watched for longerTime. No deployment begins later than lastStart.
	watchTime  = 7 * time.Second
	longerTime = 36 * time.Second
	lastStart  = 66 * time.Second
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

// holders starts deployments, one after the other, and looks for duties that move to another
// machine and back.
func holders(world *world) string {
	for number := 1; time.Since(world.start) < lastStart; number++ {
		world.line("deployment %d", number)
		if found := watchDeployment(world); found != "" {
			return found
		}
		if !world.trouble && number == 3 {
			break
		}
	}
	return ""
}

// watchDeployment starts the machines of a deployment whose store is empty, at the same moment
// or a little apart, and watches the calls that its platform accepts.
func watchDeployment(parent *world) string {
	world := newWorld(parent.record, parent.folder, parent.trouble)
	parent.edges = nil
	world.configure(1, `{"name":"gen","host":"d.example","pathPrefix":"/gen/","kind":"streaming","timeoutMs":6000,"targetLatencyMs":800,"targetGapMs":300,"service":"pool","maxAttempts":1}`,
		`{"name":"pool","engine":{"batchSlots":64,"kvCapacity":323717},"scaling":{"minCount":1,"maxCount":12,"startupS":4.0,"spotPrice":0.18,"zonePrices":{"lhr-a":1.0}}}`)
	for i := range 6 {
		world.addRunner("pool", fmt.Sprint("i-pool-", i), func(_ *runner, writer http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(writer, "id: 1\ndata: x\n\n")
		})
	}
	calls := &dutyCalls{}
	world.onCall = func(path, holder string, fence int64, body string) {
		var form struct {
			Service string `json:"service"`
			Zone    string `json:"zone"`
		}
		_ = json.Unmarshal([]byte(body), &form)
		calls.add(dutyCall{at: time.Now(), holder: holder, subject: strings.TrimSpace(strings.Join([]string{path, form.Service, form.Zone}, " ")), fence: fence})
	}
	if !world.trouble {
		world.startPause = startPause
	}
	started := time.Now()
	world.addEdges(machines)
	parent.edges = world.edges
	defer world.close()
	stop := make(chan struct{})
	defer close(stop)
	go recordLease(world, stop)
	inTouch := time.Now().Add(contact)
	time.Sleep(watchTime)
	found := calls.backAndForth(inTouch)
	for found == nil && calls.holdersSince(started) > 1 && time.Since(started) < longerTime {
		time.Sleep(500 * time.Millisecond)
		found = calls.backAndForth(inTouch)
	}
	if found == nil {
		return ""
	}
	return fmt.Sprintf("%v, %v, %v within %.2f s on %q, the first of them %.1f s after the start", found[0], found[1], found[2],
		found[2].at.Sub(found[0].at).Seconds(), found[0].subject, found[0].at.Sub(started).Seconds())
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

func init() { cases["11"] = holders }
