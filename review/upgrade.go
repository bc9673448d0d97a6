//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"sapphirehead/internal/standin/storestandin"
)

const upgradeConfiguration = `{"version":1,"routes":[
	{"name":"advice","host":"desk.example","pathPrefix":"/chat/","kind":"streaming","timeoutMs":6000,"targetLatencyMs":600,"priority":0,"service":"pool","maxAttempts":2,"public":false,"sessionAffinity":false,"resumable":true,"targetGapMs":300}],
	"services":[{"name":"pool","healthPath":"/healthz","maxConnections":360,"protocol":"h1","tls":false}],
	"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
	"tenants":[{"name":"garage","apiKeys":["key-of-garage"],"priority":1,"unit":"tokens","plainTokens":200,"ratePerS":234901,"burst":234901}]}`

const (
	upgradeLength   = 20 * time.Second
	upgradeRate     = 12.0
	upgradeSlots    = 64
	upgradeDeadline = 6 * time.Second
	// The store is away from outageAt for outageFor. Meanwhile the runners are upgraded in
	// place, one at a time: each ends and is back under its id after downFor, with the next
	// version.
	outageAt  = 8 * time.Second
	outageFor = 5700 * time.Millisecond
	firstAt   = outageAt + 200*time.Millisecond
	nextAfter = 2300 * time.Millisecond
	downFor   = 500 * time.Millisecond
	// maxMixed is the number of streams of two versions that the rule allows.
	maxMixed = 2
)

// upgradeCase lets the runners start again with another version, one at a time, while the
// store is away.
func upgradeCase(env *env, trouble bool) int {
	env.store.Set("config", "main", upgradeConfiguration)
	var runners []*runner
	for i := range 3 {
		runners = append(runners, env.addRunner(fmt.Sprintf("i-%d", i+1), "pool", "lhr-a", upgradeSlots))
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
		attempt := env.attempt(env.nodes[rand.IntN(len(env.nodes))], http.MethodPost, "/chat/2f", upgradeDeadline)
		mutex.Lock()
		attempts = append(attempts, attempt)
		mutex.Unlock()
	}
	began := time.Now()
	at := func(after time.Duration, act func()) { time.AfterFunc(after-time.Since(began), act) }
	if trouble {
		at(outageAt, func() {
			env.note("the store is away")
			env.setFault(storestandin.FaultSilent)
		})
		for i := range runners {
			when := firstAt + time.Duration(i)*nextAfter
			at(when, func() {
				env.note("%s of version v1 ends", runners[i].id)
				runners[i].end()
			})
			at(when+downFor, func() {
				env.note("%s is back with version v2 and can't tell the store", runners[i].id)
				runners[i].startAgain("v2")
			})
		}
		at(outageAt+outageFor, func() {
			env.note("the store is back, and the runners write their entries")
			for _, runner := range runners {
				env.publish(runner, "ready", 2)
			}
			env.setFault(storestandin.FaultNone)
		})
	}
	for time.Since(began) < upgradeLength {
		clients.Add(1)
		go send()
		time.Sleep(time.Duration(rand.ExpFloat64() / upgradeRate * float64(time.Second)))
	}
	clients.Wait()
	return judgeVersions(env, attempts, runsByID(runners))
}

// judgeVersions applies ORDER: more than two streams hold events of two versions.
func judgeVersions(env *env, attempts []*sent, runs map[string][]*run) int {
	mixed, whole, served := 0, 0, 0
	for _, attempt := range attempts {
		env.note("%s to %s: sent %.3f, ended %.3f, status %d, complete %t %s", attempt.id, attempt.node.name,
			env.at(attempt.sentAt), env.at(attempt.endedAt), attempt.status, attempt.complete, attempt.failure)
		if attempt.complete && attempt.status == http.StatusOK {
			served++
		}
		first, second := strings.Count(attempt.body, "by v1"), strings.Count(attempt.body, "by v2")
		if first == 0 || second == 0 {
			continue
		}
		mixed++
		if attempt.complete {
			whole++
		}
		for _, run := range runs[attempt.id] {
			env.note("  %s ran at %s from %.3f to %.3f", attempt.id, run.runner, env.at(run.began), env.at(run.ended))
		}
		env.note("ORDER: %s got %d events of v1 and %d of v2 in one answer, complete: %t", attempt.id, first, second, attempt.complete)
	}
	summary := fmt.Sprintf("%d streams, %d served; %d hold events of two versions, %d of these complete; %d allowed", len(attempts), served, mixed, whole, maxMixed)
	env.note("%s", summary)
	fmt.Println(summary)
	switch {
	case served == 0:
		return statusNotRun
	case mixed > maxMixed:
		return statusBroken
	default:
		return statusHeld
	}
}
