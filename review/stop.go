//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const stopConfiguration = `{"version":1,"routes":[
	{"name":"charge","host":"desk.example","pathPrefix":"/charge/","kind":"non_idempotent","timeoutMs":1500,"targetLatencyMs":300,"priority":2,"service":"app","maxAttempts":1,"public":false},
	{"name":"lookup","host":"desk.example","pathPrefix":"/lookup/","kind":"idempotent","timeoutMs":1500,"targetLatencyMs":300,"priority":2,"service":"app","maxAttempts":2,"public":false}],
	"services":[{"name":"app","healthPath":"/healthz","maxConnections":96,"protocol":"h1","tls":false}],
	"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
	"tenants":[{"name":"garage","apiKeys":["key-of-garage"],"priority":1,"unit":"tokens","plainTokens":200,"ratePerS":234901,"burst":234901}]}`

const (
	stopLength = 92 * time.Second
	// rollPause is gap_s of roll_term, and cyclePause the time between two restarts of the
	// same machine.
	rollPause   = 1 * time.Second
	cyclePause  = 11 * time.Second
	requestRate = 90.0
)

// stopCase restarts two of three machines of a zone, one second apart, again and again,
// while clients send charges, each on a channel of its own.
func stopCase(env *env, trouble bool) int {
	env.store.Set("config", "main", stopConfiguration)
	var runners []*runner
	for i := range 3 {
		runners = append(runners, env.addRunner(fmt.Sprintf("i-%d", i+1), "app", "lhr-a", runnerSlots))
	}
	for i := range 3 {
		env.addNode(fmt.Sprintf("edge-lhr-a-%d", i+1), "lhr-a").begin()
	}
	env.awaitReady()
	time.Sleep(contactTime)
	end := make(chan struct{})
	env.balance(end)
	var attempts []*sent
	var mutex sync.Mutex
	var clients, rolls sync.WaitGroup
	send := func() {
		defer clients.Done()
		method, path := http.MethodPost, "/charge/2f"
		if rand.IntN(4) == 0 {
			method, path = http.MethodGet, "/lookup/2f"
		}
		attempt := env.attempt(env.pick("lhr-a", rand.IntN(1<<20)), method, path, chargeDeadline)
		mutex.Lock()
		attempts = append(attempts, attempt)
		mutex.Unlock()
	}
	began := time.Now()
	if trouble {
		rolls.Add(1)
		go func() {
			defer rolls.Done()
			for cycle := 0; time.Since(began)+cyclePause < stopLength; cycle++ {
				for i := range 2 {
					rolls.Add(1)
					go func() {
						defer rolls.Done()
						env.nodes[(cycle+i)%3].terminate()
					}()
					time.Sleep(rollPause)
				}
				time.Sleep(cyclePause - 2*rollPause)
			}
		}()
	}
	for time.Since(began) < stopLength {
		clients.Add(1)
		go send()
		time.Sleep(time.Duration(rand.ExpFloat64() / requestRate * float64(time.Second)))
	}
	clients.Wait()
	rolls.Wait()
	close(end)
	return judgeStops(env, attempts, runsByID(runners))
}

// judgeStops applies LOST around a SIGTERM: a request that a process has read whole and
// passed on to a runner, and whose channel ends without a complete answer.
func judgeStops(env *env, attempts []*sent, runs map[string][]*run) int {
	served, refused, broken, excused := 0, 0, 0, 0
	for _, attempt := range attempts {
		env.note("%s to %s: sent %.3f, ended %.3f, status %d, complete %t %s", attempt.id, attempt.node.name,
			env.at(attempt.sentAt), env.at(attempt.endedAt), attempt.status, attempt.complete, attempt.failure)
		switch {
		case attempt.complete && attempt.status == http.StatusOK:
			served++
		case attempt.complete && attempt.status == http.StatusServiceUnavailable:
			refused++
		}
		if !attempt.whole || attempt.complete || len(runs[attempt.id]) == 0 {
			continue
		}
		run := runs[attempt.id][0]
		term, ok := attempt.node.termBefore(attempt.endedAt)
		switch late := attempt.endedAt.Sub(term); {
		case !ok || late > gracePeriod+time.Second:
			env.note("  %s: cut, but not around a SIGTERM", attempt.id)
			continue
		case attempt.endedAt.Sub(attempt.sentAt) >= 1500*time.Millisecond:
			excused++
			continue
		case late > gracePeriod*5/6 && attempt.sentAt.Before(term.Add(3*time.Second)):
			excused++
			continue
		}
		broken++
		text := fmt.Sprintf("LOST: %s got SIGTERM at %.3f; %s sent whole at %.3f, begun by %s at %.3f, channel closed without an answer at %.3f (%s); the run was cut: %t",
			attempt.node.name, env.at(term), attempt.id, env.at(attempt.sentAt), run.runner, env.at(run.began), env.at(attempt.endedAt), attempt.failure, run.cut)
		env.note("%s", text)
		fmt.Println(text)
	}
	summary := fmt.Sprintf("%d requests, %d served, %d refused as not run, %d cut within the rule's excuses, %d break LOST", len(attempts), served, refused, excused, broken)
	env.note("%s", summary)
	fmt.Println(summary)
	if served == 0 {
		return statusNotRun
	}
	if broken > 0 {
		return statusBroken
	}
	return statusHeld
}

// termBefore returns the node's latest SIGTERM before the time.
func (node *node) termBefore(when time.Time) (time.Time, bool) {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	for i := len(node.terms) - 1; i >= 0; i-- {
		if node.terms[i].Before(when) {
			return node.terms[i], true
		}
	}
	return time.Time{}, false
}
