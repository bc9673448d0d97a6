//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"sapphirehead/internal/standin/storestandin"
)

const (
	drillLength = 20 * time.Second
	drillRate   = 31.0
	chatSlots   = 64
	// leaveAt is when the runner leaves: it removes its entry, as some runners do that never
	// report draining, and serves on for servesOn.
	leaveAt  = 8 * time.Second
	servesOn = drainTime + 2*time.Second
	// copyBefore is how much older than the drill the copy is, awayAfter when after the
	// runner's leaving the store goes away, awayFor for how long, and againAfter when after
	// the store's return the runner's removal is written again.
	copyBefore = 2 * time.Second
	awayAfter  = 1400 * time.Millisecond
	awayFor    = 1000 * time.Millisecond
	againAfter = 600 * time.Millisecond
)

const drillConfiguration = `{"version":1,"routes":[
	{"name":"chat","host":"desk.example","pathPrefix":"/chat/","kind":"streaming","timeoutMs":15000,"targetLatencyMs":400,"priority":2,"service":"pool","maxAttempts":1,"public":false,"sessionAffinity":false,"resumable":false,"targetGapMs":300}],
	"services":[{"name":"pool","healthPath":"/healthz","maxConnections":360,"protocol":"h1","tls":false}],
	"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
	"tenants":[{"name":"garage","apiKeys":["key-of-garage"],"priority":1,"unit":"tokens","plainTokens":200,"ratePerS":234901,"burst":234901}]}`

// drillCase lets a runner leave and, in between, restores the store from a copy in which
// the runner's entry still stands.
func drillCase(env *env, trouble bool) int {
	env.store.Set("config", "main", drillConfiguration)
	var runners []*runner
	for i := range 3 {
		runners = append(runners, env.addRunner(fmt.Sprintf("i-%d", i+1), "pool", "lhr-a", chatSlots))
	}
	for i := range 3 {
		env.addNode(fmt.Sprintf("edge-lhr-a-%d", i+1), "lhr-a").begin()
	}
	env.awaitReady()
	time.Sleep(contactTime)
	var attempts []*sent
	var mutex sync.Mutex
	var clients sync.WaitGroup
	send := func() {
		defer clients.Done()
		attempt := env.attempt(env.nodes[rand.IntN(len(env.nodes))], http.MethodPost, "/chat/2f", chatDeadline)
		mutex.Lock()
		attempts = append(attempts, attempt)
		mutex.Unlock()
	}
	began := time.Now()
	at := func(after time.Duration, act func()) { time.AfterFunc(after-time.Since(began), act) }
	leaver := runners[2]
	var older *storestandin.Copy
	at(leaveAt, func() {
		env.note("%s leaves: its entry is removed, and it says so in all its answers", leaver.id)
		leaver.leave()
		env.store.Remove("servers", leaver.id)
	})
	at(leaveAt+servesOn, func() {
		env.note("%s ends", leaver.id)
		leaver.end()
	})
	if trouble {
		back := leaveAt + awayAfter + awayFor
		at(leaveAt+awayAfter-copyBefore, func() { older = env.store.Copy() })
		at(leaveAt+awayAfter, func() {
			env.note("the store is away")
			env.setFault(storestandin.FaultReset)
		})
		at(back, func() {
			env.note("the store is back from a copy of %.3f", env.at(began.Add(leaveAt+awayAfter-copyBefore)))
			env.store.Restore(older, "config")
			env.setFault(storestandin.FaultNone)
		})
		at(back+againAfter, func() {
			env.note("the removal of %s is written again", leaver.id)
			env.store.Remove("servers", leaver.id)
		})
	}
	for time.Since(began) < drillLength {
		clients.Add(1)
		go send()
		time.Sleep(time.Duration(rand.ExpFloat64() / drillRate * float64(time.Second)))
	}
	clients.Wait()
	return judgeLeaving(env, attempts, leaver, runsByID(runners))
}

func (env *env) setFault(fault storestandin.Fault) {
	for _, node := range env.nodes {
		node.endpoint.SetFault(fault)
	}
}

// judgeLeaving applies DRAIN: a request that a client sent later than drainMs after a
// machine had passed on an answer with Server-Leaving reaches that runner from that machine.
func judgeLeaving(env *env, attempts []*sent, leaver *runner, runs map[string][]*run) int {
	passedOn := map[*node]time.Time{}
	served := 0
	for _, attempt := range attempts {
		if attempt.complete && attempt.status == http.StatusOK {
			served++
		}
		if first, ok := passedOn[attempt.node]; attempt.leaving && (!ok || attempt.headAt.Before(first)) {
			passedOn[attempt.node] = attempt.headAt
		}
	}
	for node, when := range passedOn {
		env.note("%s first passed on an answer with Server-Leaving at %.3f", node.name, env.at(when))
	}
	broken, lost := 0, 0
	for _, attempt := range attempts {
		env.note("%s to %s: sent %.3f, ended %.3f, status %d, complete %t %s", attempt.id, attempt.node.name,
			env.at(attempt.sentAt), env.at(attempt.endedAt), attempt.status, attempt.complete, attempt.failure)
		first, ok := passedOn[attempt.node]
		if !ok || attempt.sentAt.Before(first.Add(drainTime)) {
			continue
		}
		for _, run := range runs[attempt.id] {
			if run.runner != leaver.id {
				continue
			}
			broken++
			if run.cut {
				lost++
			}
			env.note("DRAIN: %s of %s: answer with Server-Leaving passed on at %.3f, request sent at %.3f reached %s at %.3f; cut: %t",
				attempt.id, attempt.node.name, env.at(first), env.at(attempt.sentAt), run.runner, env.at(run.began), run.cut)
		}
	}
	summary := fmt.Sprintf("%d requests, %d served; %d of %d machines passed on Server-Leaving; %d requests break DRAIN, %d of them were cut when the runner ended",
		len(attempts), served, len(passedOn), len(env.nodes), broken, lost)
	env.note("%s", summary)
	fmt.Println(summary)
	switch {
	case served == 0 || len(passedOn) == 0:
		return statusNotRun
	case broken > 0:
		return statusBroken
	default:
		return statusHeld
	}
}
