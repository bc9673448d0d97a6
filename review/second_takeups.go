//go:build review2

package main

import (
	"context"
	"fmt"
	"strconv"
	"sync"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/standin/storestandin"
)

const (
	takeupRoutes = `{"version":1,"routes":[
	{"name":"chat","host":"desk.example","pathPrefix":"/report/","kind":"streaming","timeoutMs":15000,"targetLatencyMs":400,"targetGapMs":300,"priority":2,"service":"engines","maxAttempts":2,"resumable":true}],
	"services":[{"name":"engines","engine":{"batchSlots":64,"kvCapacity":337483}}],
	"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
	"tenants":[{"name":"garage","apiKeys":["key-of-garage"],"unit":"tokens","plainTokens":200,"ratePerS":125766,"burst":125766}]}`
	// brokenStreams is the number of streams that break off; the rule needs 12. newStreams
	// is the number of those that begin when the others are taken up.
	brokenStreams = 24
	newStreams    = 24
	takeupRunners = 3
	// downTime is how long the processes are down, and streamTime the time that a client of
	// desk-chat has.
	downTime   = 1 * clock.Second
	streamTime = 15 * clock.Second
	// againPause is the least time after which a client tries again.
	againPause = 2500 * clock.Millisecond
	// warmTime is the time for which the one software version has served before.
	warmTime = 35 * clock.Second
)

// takeup is a client that takes its stream up until it goes on or its time is over.
type takeup struct {
	client   *streamClient
	inTouch  bool
	wentOn   bool
	attempts int
}

// run takes the stream up at the machines in turn, for the first time at once and then after
// againPause. The machines are in touch from the time on.
func (takeup *takeup) run(ctx context.Context, play *play, machines []*machine, touch, end clock.Millis) {
	client := takeup.client
	for !client.complete && play.clock.Now() < end {
		before, sent := len(client.events), play.clock.Now()
		takeup.attempts++
		pause := client.read(ctx, machines[takeup.attempts%len(machines)], fmt.Sprintf("%s-try-%d", client.id, takeup.attempts))
		if sent >= touch {
			takeup.inTouch = true
			takeup.wentOn = takeup.wentOn || len(client.events) > before
		}
		if play.clock.Wait(ctx, max(pause, againPause)) != nil {
			return
		}
	}
}

// startTakeups starts the runners, all of one version, and the machines.
func startTakeups(ctx context.Context, play *play) ([]*machine, error) {
	store := storestandin.New()
	for number := range takeupRunners {
		runner := &versionedRunner{play: play, store: store, id: fmt.Sprint("i-", number)}
		if err := runner.start("1"); err != nil {
			return nil, err
		}
	}
	store.Set("config", "main", takeupRoutes)
	address, err := play.serve(store)
	if err != nil {
		return nil, err
	}
	var machines []*machine
	for number := range versionMachines {
		machine, err := play.startMachine(fmt.Sprint("edge-", number+1), address)
		if err != nil {
			return nil, err
		}
		machines = append(machines, machine)
	}
	for _, machine := range machines {
		if err := machine.awaitReady(ctx); err != nil {
			return nil, err
		}
	}
	return machines, play.clock.Wait(ctx, warmTime)
}

// restartAll kills the processes of all machines and starts them again.
func restartAll(ctx context.Context, play *play, machines []*machine) error {
	for _, machine := range machines {
		machine.kill()
	}
	play.record("the processes of all machines are killed")
	if err := play.clock.Wait(ctx, downTime); err != nil {
		return err
	}
	for _, machine := range machines {
		if err := machine.run(); err != nil {
			return err
		}
	}
	return nil
}

// playTakeups plays streams that break off as all processes are killed, and are taken up.
func playTakeups(ctx context.Context, play *play) (broken bool, err error) {
	machines, err := startTakeups(ctx, play)
	if err != nil {
		return false, err
	}
	begun := play.clock.Now()
	takeups := make([]*takeup, brokenStreams)
	var group sync.WaitGroup
	for number := range takeups {
		takeups[number] = &takeup{client: &streamClient{play: play, id: fmt.Sprint("s", number)}}
		group.Go(func() {
			takeups[number].client.read(ctx, machines[number%versionMachines], takeups[number].client.id)
		})
	}
	if err := play.clock.Wait(ctx, crashAfter); err != nil {
		return false, err
	}
	if play.trouble {
		if err := restartAll(ctx, play, machines); err != nil {
			return false, err
		}
	}
	group.Wait()
	touch := play.clock.Now() + contactTime
	for _, takeup := range takeups {
		group.Go(func() { takeup.run(ctx, play, machines, touch, begun+streamTime) })
	}
	if err := play.clock.Wait(ctx, contactTime); err != nil {
		return false, err
	}
	fresh := make([]*streamClient, newStreams)
	for number := range fresh {
		fresh[number] = &streamClient{play: play, id: "new-" + strconv.Itoa(number)}
		group.Go(func() { fresh[number].read(ctx, machines[number%versionMachines], fresh[number].id) })
	}
	group.Wait()
	return play.judgeTakeups(takeups, fresh), nil
}

// judgeTakeups reports whether the streams that were taken up at machines in touch went on
// less than half as often as new streams began.
func (play *play) judgeTakeups(takeups []*takeup, fresh []*streamClient) (broken bool) {
	const needed = 12
	taken, wentOn, began := 0, 0, 0
	for _, takeup := range takeups {
		if takeup.inTouch {
			taken++
		}
		if takeup.wentOn {
			wentOn++
		}
	}
	for _, client := range fresh {
		if len(client.events) > 0 {
			began++
		}
	}
	play.record("%d streams taken up at machines in touch, %d went on; %d new streams, %d began", taken, wentOn, len(fresh), began)
	return taken >= needed && wentOn*len(fresh)*2 < began*taken
}
