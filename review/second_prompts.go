//go:build review2

package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/standin/enginestandin"
	"sapphirehead/internal/standin/storestandin"
)

const (
	// promptRoutes is a manifest with the limits and the allotment that the pages show. A
	// request of a few tokens is far below the allotment.
	promptRoutes = `{"version":1,"routes":[
	{"name":"status","host":"desk.example","pathPrefix":"/status/","kind":"idempotent","timeoutMs":1500,"targetLatencyMs":300,"priority":2,"service":"app","maxAttempts":2}],
	"services":[{"name":"app"}],
	"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
	"tenants":[{"name":"garage","apiKeys":["key-of-garage"],"unit":"tokens","plainTokens":200,"ratePerS":125766,"burst":125766}]}`

	// The crowd: callers whose prompts have very many short parts. Each request is inside the
	// limits of the manifest: a head below 16 KiB, a body below 4 MiB that stops one byte short of its end.
	crowdSize    = 2400
	longPrompts  = 820
	longBodies   = 540
	longPrompt   = 15500
	shortPrompt  = 6500
	longBody     = 128 << 10
	shortBody    = 10
	promptPart   = ":0,"
	crowdSeconds = 6
	// endsAllowed is how often the rule lets the processes of a machine end, and maxRounds how
	// often the crowd comes to each machine at most.
	endsAllowed = 3
	maxRounds   = 6
	// shortDelay is the time after which the callers with shorter prompts come.
	shortDelay = 300 * clock.Millisecond
	// attacked is the number of machines that the crowd goes to, one after the other.
	attacked = 2
	// restartDelay is the time after which the platform starts an ended process again.
	restartDelay = 500 * clock.Millisecond
	// settleTime lets a started process come to rest.
	settleTime  = 1 * clock.Second
	watchTime   = 10 * clock.Millisecond
	callerPause = 100 * clock.Millisecond
)

// crowdHeader is the field with the many short parts. With HEAD=plain it is a field that
// the system only passes on, to compare.
func crowdHeader() string {
	if os.Getenv("HEAD") == "plain" {
		return "X-Note"
	}
	return "X-Prompt-Prefix"
}

// keeper does what the platform does: it kills a process that exceeds the memory of its
// machine, and starts it again.
type keeper struct {
	play    *play
	machine *machine
	ends    atomic.Int64
	peak    atomic.Int64
}

// residentBytes returns the resident memory of the process, or 0 if it has ended.
func residentBytes(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize())
}

// keep watches the process until the context ends.
func (keeper *keeper) keep(ctx context.Context) {
	const limit = memoryMegabytes << 20
	for keeper.play.clock.Wait(ctx, watchTime) == nil {
		resident := residentBytes(keeper.machine.pid())
		keeper.peak.Store(max(keeper.peak.Load(), resident))
		if resident <= limit {
			continue
		}
		keeper.machine.kill()
		keeper.ends.Add(1)
		keeper.play.record("%s: the process holds %d MB, the machine has %d: the platform kills it", keeper.machine.name, resident>>20, memoryMegabytes)
		if keeper.play.clock.Wait(ctx, restartDelay) != nil {
			return
		}
		if err := keeper.machine.run(); err != nil {
			keeper.play.record("%v", err)
			return
		}
	}
}

// crowdRequest returns the request of one caller of the crowd.
func crowdRequest(number int) string {
	length, body := shortPrompt, shortBody
	if number < longPrompts {
		length = longPrompt
	}
	if number < longBodies {
		body = longBody
	}
	return fmt.Sprintf("POST /status/a HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: crowd-%d\r\nAuthorization: Token key-of-garage\r\n"+
		"X-Deadline-Ms: 6000\r\nX-Token-Counts: 1,1\r\n%s: %s0:0\r\nContent-Length: %d\r\n\r\n%s",
		number, crowdHeader(), strings.Repeat(promptPart, length/len(promptPart)), body, strings.Repeat("x", body-1))
}

// crowd opens the connections of the crowd to the machine, and closes them when the context
// ends.
func crowd(ctx context.Context, machine *machine) {
	var group sync.WaitGroup
	dialling := make(chan struct{}, 64)
	var opened, answered, ended atomic.Int64
	address := machine.address("caller")
	for number := range crowdSize {
		if number == longPrompts && machine.play.clock.Wait(ctx, shortDelay) != nil {
			break
		}
		group.Go(func() {
			dialling <- struct{}{}
			conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
			<-dialling
			if err != nil {
				return
			}
			defer conn.Close()
			defer context.AfterFunc(ctx, func() { conn.Close() })()
			opened.Add(1)
			if _, err := io.WriteString(conn, crowdRequest(number)); err != nil {
				ended.Add(1)
				return
			}
			if _, err := conn.Read(make([]byte, 1)); err == nil {
				answered.Add(1)
			} else if ctx.Err() == nil {
				ended.Add(1)
			}
			<-ctx.Done()
		})
	}
	<-ctx.Done()
	group.Wait()
	machine.play.record("crowd at %s: %d connections opened, %d got an answer, %d were closed", machine.name, opened.Load(), answered.Load(), ended.Load())
}

// callers sends an ordinary request to the machine again and again until the context ends.
func callers(ctx context.Context, machine *machine, served, lost *atomic.Int64) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: (2 * clock.Second).Duration()}
	for serial := 0; machine.play.clock.Wait(ctx, callerPause) == nil; serial++ {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+machine.address("caller")+"/status/a", nil)
		if err != nil {
			return
		}
		request.Host = "desk.example"
		request.Header.Set("X-Request-Id", fmt.Sprintf("%s-%d", machine.name, serial))
		request.Header.Set("X-Deadline-Ms", "1500")
		request.Header.Set("Authorization", "Token key-of-garage")
		response, err := client.Do(request)
		if err != nil {
			lost.Add(1)
			continue
		}
		// What counts is the status.
		_, _ = io.Copy(io.Discard, response.Body)
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			served.Add(1)
		} else {
			lost.Add(1)
		}
	}
}

// playPrompts plays crowds of callers whose prompts have very many short parts.
func playPrompts(ctx context.Context, play *play) (broken bool, err error) {
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
	ctx, end := context.WithCancel(ctx)
	defer end()
	var keepers []*keeper
	var served, lost atomic.Int64
	for number := range attacked {
		machine, err := play.startMachine(fmt.Sprint("edge-", number+1), storeAddress)
		if err != nil {
			return false, err
		}
		if err := machine.awaitReady(ctx); err != nil {
			return false, err
		}
		keeper := &keeper{play: play, machine: machine}
		keepers = append(keepers, keeper)
		go keeper.keep(ctx)
		go callers(ctx, machine, &served, &lost)
	}
	for range maxRounds {
		for _, keeper := range keepers {
			if keeper.ends.Load() >= endsAllowed {
				continue
			}
			if err := playRound(ctx, keeper); err != nil {
				return false, err
			}
		}
	}
	ended := 0
	for _, keeper := range keepers {
		play.record("%s: %d ends, at most %d MB of %d", keeper.machine.name, keeper.ends.Load(), keeper.peak.Load()>>20, memoryMegabytes)
		if keeper.ends.Load() >= endsAllowed {
			ended++
		}
	}
	play.record("ordinary requests: %d served, %d not", served.Load(), lost.Load())
	end()
	return ended >= attacked, nil
}

// playRound lets the machine come to rest and sends the crowd to it.
func playRound(ctx context.Context, keeper *keeper) error {
	if err := keeper.machine.awaitReady(ctx); err != nil {
		return err
	}
	if err := keeper.play.clock.Wait(ctx, settleTime); err != nil {
		return errors.Wrap(err, "no time is left")
	}
	before := keeper.ends.Load()
	round, endRound := keeper.play.clock.WithTimeout(ctx, crowdSeconds*clock.Second)
	defer endRound()
	if keeper.play.trouble {
		go func() {
			for keeper.play.clock.Wait(round, watchTime) == nil {
				if keeper.ends.Load() > before {
					endRound()
				}
			}
		}()
		crowd(round, keeper.machine)
	}
	<-round.Done()
	return nil
}
