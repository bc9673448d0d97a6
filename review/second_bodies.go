//go:build review2

package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/standin/enginestandin"
	"sapphirehead/internal/standin/storestandin"
)

const (
	// slowCallers is the number of callers whose short bodies stop one byte short of their
	// end, and slowTime the time for which they come.
	slowCallers = 2500
	slowTime    = 20 * clock.Second
	// ordinaryCallers is the number of callers that open a channel for each request, each
	// after ordinaryPause. The rule needs seven.
	ordinaryCallers = 10
	ordinaryPause   = 200 * clock.Millisecond
	// contactSpan is contactMs.
	contactSpan = 3 * clock.Second
	// takenTime is the time after which a channel of a slow caller that is still open counts as
	// taken; refused ones are closed at once.
	takenTime = 200 * clock.Millisecond
	slowPause = 250 * clock.Millisecond
)

// door records what ordinary callers and the balancer see of a machine.
type door struct {
	play    *play
	machine *machine
	mutex   sync.Mutex
	// marks holds when channels were taken, be it of an ordinary or of a slow caller, and when
	// the machine didn't say that it is ready.
	marks   []clock.Millis
	served  int
	refused int
	lastErr string
}

// see records a try of an ordinary caller.
func (door *door) see(taken bool, reason string) {
	door.mutex.Lock()
	defer door.mutex.Unlock()
	if taken {
		door.served++
		door.marks = append(door.marks, door.play.clock.Now())
		return
	}
	door.refused++
	door.lastErr = reason
}

// mark records a time at which the machine took a channel, or wasn't ready.
func (door *door) mark(at clock.Millis) {
	door.mutex.Lock()
	defer door.mutex.Unlock()
	door.marks = append(door.marks, at)
}

// longest returns the longest time without a mark until now.
func (door *door) longest() clock.Millis {
	door.mutex.Lock()
	defer door.mutex.Unlock()
	marks := append(slices.Clone(door.marks), door.play.clock.Now())
	slices.Sort(marks)
	longest := clock.Millis(0)
	for i := 1; i < len(marks); i++ {
		longest = max(longest, marks[i]-marks[i-1])
	}
	return longest
}

// probe asks as the balancer does, once a second.
func (door *door) probe(ctx context.Context) {
	client := &http.Client{Timeout: (1 * clock.Second).Duration()}
	for door.play.clock.Wait(ctx, 1*clock.Second) == nil {
		response, err := client.Get("http://" + door.machine.address("ready") + "/api/readyz")
		if err != nil {
			door.mark(door.play.clock.Now())
			door.play.record("the balancer: %v", err)
			continue
		}
		response.Body.Close()
		door.play.record("the balancer: ready says %d", response.StatusCode)
		if response.StatusCode != http.StatusOK {
			door.mark(door.play.clock.Now())
		}
	}
}

// call sends ordinary requests, each on a new channel.
func (door *door) call(ctx context.Context, number int) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: (2 * clock.Second).Duration()}
	for serial := 0; door.play.clock.Wait(ctx, ordinaryPause) == nil; serial++ {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+door.machine.address("caller")+"/status/a", nil)
		if err != nil {
			return
		}
		request.Host = "desk.example"
		request.Header.Set("X-Request-Id", fmt.Sprintf("c%d-%d", number, serial))
		request.Header.Set("X-Deadline-Ms", "1500")
		request.Header.Set("Authorization", "Token key-of-garage")
		response, err := client.Do(request)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			door.see(false, err.Error())
			continue
		}
		response.Body.Close()
		door.see(true, "")
	}
}

// slowCaller sends a request whose body stops one byte short of its end, again and again.
func (door *door) slowCaller(ctx context.Context, number int, opened *atomic.Int64) {
	machine := door.machine
	for serial := 0; ctx.Err() == nil; serial++ {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", machine.address("caller"))
		if err == nil {
			opened.Add(1)
			openedAt := machine.play.clock.Now()
			forget := machine.play.clock.AfterFunc(takenTime, func() { door.mark(openedAt) })
			stop := context.AfterFunc(ctx, func() { conn.Close() })
			_, err = fmt.Fprintf(conn, "POST /status/a HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: slow-%d-%d\r\nAuthorization: Token key-of-garage\r\n"+
				"X-Deadline-Ms: 15000\r\nX-Token-Counts: 1,1\r\nContent-Length: 10\r\n\r\n%s", number, serial, strings.Repeat("x", 9))
			if err == nil {
				// It waits for the answer, which says that the body can't be read.
				_, _ = io.Copy(io.Discard, conn)
			}
			stop()
			conn.Close()
			forget()
		}
		if machine.play.clock.Wait(ctx, slowPause) != nil {
			return
		}
	}
}

// processorTime returns the processor time that the process has used, in ticks of a hundredth
// of a second, as text.
func processorTime(pid int) string {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return err.Error()
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	const userTicks, systemTicks = 11, 12
	if len(fields) <= systemTicks {
		return "no fields"
	}
	return fields[userTicks] + " + " + fields[systemTicks] + " ticks"
}

// playBodies plays callers that stop just short of the end of short bodies and stay, and looks
// for a time in which the machine says that it is ready and takes no channel.
func playBodies(ctx context.Context, play *play) (broken bool, err error) {
	if err := needDescriptors(descriptors); err != nil {
		return false, err
	}
	store := storestandin.New()
	address, err := play.serve(enginestandin.New("i-1", false))
	if err != nil {
		return false, err
	}
	store.Set("servers", "i-1", fmt.Sprintf(
		`{"service":"app","address":%q,"zone":"lj-a","version":"1","batchSlots":6,"state":"ready","coldRemainingMs":0,"sequence":1,"born":1}`, address))
	store.Set("config", "main", promptRoutes)
	storeAddress, err := play.serve(store)
	if err != nil {
		return false, err
	}
	machine, err := play.startMachine("edge-1", storeAddress)
	if err != nil {
		return false, err
	}
	if err := machine.awaitReady(ctx); err != nil {
		return false, err
	}
	ctx, end := context.WithCancel(ctx)
	var group sync.WaitGroup
	defer group.Wait()
	defer end()
	door := &door{play: play, machine: machine, marks: []clock.Millis{play.clock.Now()}}
	group.Go(func() { door.probe(ctx) })
	for number := range ordinaryCallers {
		group.Go(func() { door.call(ctx, number) })
	}
	if err := play.clock.Wait(ctx, contactSpan+contactSpan/2); err != nil {
		return false, errors.Wrap(err, "no time is left")
	}
	play.record("before: %d ordinary requests answered, %d not", door.served, door.refused)
	var opened atomic.Int64
	if play.trouble {
		for number := range slowCallers {
			group.Go(func() { door.slowCaller(ctx, number, &opened) })
		}
	}
	if err := play.clock.Wait(ctx, slowTime); err != nil {
		return false, errors.Wrap(err, "no time is left")
	}
	longest := door.longest()
	play.record("%s holds %d MB and has used %s of processor time", machine.name, residentBytes(machine.pid())>>20, processorTime(machine.pid()))
	play.record("%d channels of slow callers; %d ordinary requests answered, %d not (%s); longest time without a channel taken, of whomever, while ready: %d ms",
		opened.Load(), door.served, door.refused, door.lastErr, longest)
	return longest > contactSpan, nil
}
