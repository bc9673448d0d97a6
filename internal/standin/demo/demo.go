// Package demo is the demonstration. It starts the stand-ins and two entry hosts in
// different data centres, each with a steward, writes the tables with sapphirectl,
// sends real requests through the entry hosts, injects faults, and checks each
// response word for word.
package demo

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"syscall"

	"github.com/pkg/errors"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/standin/callerstandin"
	"sapphirehead/internal/standin/harness"
)

const (
	model = harness.Model
	// runTimeout bounds the whole demonstration.
	runTimeout = 55 * clock.Second
	// pollInterval is the time between two checks of a condition.
	pollInterval = 50 * clock.Millisecond
)

type step struct {
	name string
	run  func(ctx context.Context) error
}

// Run starts the programs in bin and runs every step. If a check fails, its error
// contains the logs of all processes.
func Run(bin string) error {
	folder, err := os.MkdirTemp("", "sapphirehead-demo")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	system := newSystem(bin, folder)
	defer system.harness.Close()
	if err := system.start(); err != nil {
		return errors.Wrap(err, system.harness.Logs())
	}
	ctx, cancel := clock.System().WithTimeout(context.Background(), runTimeout)
	defer cancel()
	fmt.Println("ok  started the stand-ins, two entry hosts and two stewards; tables active")
	session := &session{system: system, caller: callerstandin.New(harness.CallerKey)}
	for _, step := range session.steps() {
		if err := step.run(ctx); err != nil {
			return errors.Wrapf(err, "%s\nfailed: %s", system.harness.Logs(), step.name)
		}
		fmt.Println("ok  " + step.name)
	}
	fmt.Println("demo passed")
	return nil
}

type session struct {
	system  *system
	caller  *callerstandin.Caller
	booking string
}

func (session *session) steps() []step {
	return []step{
		{"a steward started the third runner and ordered its model", session.awaitThirdRunner},
		{"streamed chat through entry-a", session.streamedChat},
		{"unstreamed chat through entry-b", session.wholeChat},
		{"booking through entry-a", session.bookOnce},
		{"same booking through entry-b: same response, run once", session.bookAgain},
		{"status lookup through entry-b", session.lookUp},
		{"requests refused: unknown model, wrong key, unknown route", session.refusals},
		{"runner killed in mid-stream: response complete", session.killRunner},
		{"runner reclaimed by the cloud in mid-stream: responses complete", session.reclaimRunner},
		{"entry-c stopped with a stream too long for its grace: rest through entry-b", session.handOver},
		{"entry-a stopped gracefully with a stream in progress: response complete", session.stopEntry},
		{"chat through entry-b after that", session.wholeChat},
	}
}

func (session *session) entryA() string { return session.system.entryA.Address("caller") }

func (session *session) entryB() string { return session.system.entryB.Address("caller") }

func (session *session) awaitThirdRunner(ctx context.Context) error {
	system := clock.System()
	for {
		output, err := session.system.operate(session.system.entryB, "status")
		if err == nil && strings.Contains(output, "host-1") {
			return nil
		}
		if err := system.Wait(ctx, pollInterval); err != nil {
			return errors.Wrap(err, output)
		}
	}
}

func (session *session) streamedChat(ctx context.Context) error {
	const content = "Summarise the bake cycle of filter 118"
	response, err := session.caller.StreamChat(ctx, session.entryA(), model, content, 40, func(int) {})
	if err != nil {
		return err
	}
	return callerstandin.CheckText(response, callerstandin.Expected(model, content, 40))
}

func (session *session) wholeChat(ctx context.Context) error {
	const content = "When is the filter of the white truck ready?"
	response, err := session.caller.Chat(ctx, session.entryB(), model, content, 0)
	if err != nil {
		return err
	}
	return callerstandin.CheckText(response, callerstandin.Expected(model, content, 0))
}

func (session *session) bookOnce(ctx context.Context) error {
	response, err := session.caller.Call(ctx, http.MethodPost, session.entryA(), "/bookings", "booking-1", []byte("truck 7, Tuesday"))
	if err != nil {
		return err
	}
	if response.Status() != http.StatusCreated || !strings.Contains(response.Text(), "truck 7, Tuesday") {
		return errors.Errorf("status %d: %s", response.Status(), response.Text())
	}
	session.booking = response.Text()
	return nil
}

func (session *session) bookAgain(ctx context.Context) error {
	response, err := session.caller.Call(ctx, http.MethodPost, session.entryB(), "/bookings", "booking-1", []byte("truck 7, Tuesday"))
	if err != nil {
		return err
	}
	if response.Status() != http.StatusCreated || response.Text() != session.booking {
		return errors.Errorf("status %d: %s", response.Status(), response.Text())
	}
	runs, err := session.caller.Call(ctx, http.MethodGet, session.system.booking.Address("api"), "/control/runs", "", nil)
	if err != nil {
		return err
	}
	if !strings.Contains(runs.Text(), `"garage-north/booking-1":1`) {
		return errors.Errorf("runs of the booking: %s", runs.Text())
	}
	return nil
}

func (session *session) lookUp(ctx context.Context) error {
	response, err := session.caller.Call(ctx, http.MethodGet, session.entryB(), "/status/118", "", nil)
	if err != nil {
		return err
	}
	return callerstandin.CheckText(response, "status of /status/118\n")
}

func (session *session) refusals(ctx context.Context) error {
	response, err := session.caller.Chat(ctx, session.entryA(), "no-such-model", "hello", 0)
	if err := expectRefusal(response, err, http.StatusNotFound, "modelNotFound"); err != nil {
		return err
	}
	response, err = callerstandin.New("wrong-key").Chat(ctx, session.entryA(), model, "hello", 0)
	if err := expectRefusal(response, err, http.StatusUnauthorized, "unauthorized"); err != nil {
		return err
	}
	response, err = session.caller.Call(ctx, http.MethodGet, session.entryA(), "/nowhere", "", nil)
	return expectRefusal(response, err, http.StatusNotFound, "routeNotFound")
}

func expectRefusal(response callerstandin.Response, err error, status int, kind string) error {
	if err != nil {
		return err
	}
	if response.Status() != status || response.Kind() != kind {
		return errors.Errorf("status %d %q: expected %d %q", response.Status(), response.Kind(), status, kind)
	}
	return nil
}

// killRunner kills runner-a while several streams are in progress, so that at least
// one of them runs there.
func (session *session) killRunner(ctx context.Context) error {
	const streams = 8
	const killAfter = 10
	started := make(chan struct{}, streams*200)
	results := make(chan error, streams)
	for i := range streams {
		go func() {
			content := fmt.Sprintf("Draft the cleaning report of filter %d", i)
			response, err := session.caller.StreamChat(ctx, session.entryA(), model, content, 80, func(events int) {
				if events == killAfter {
					started <- struct{}{}
				}
			})
			if err == nil {
				err = callerstandin.CheckText(response, callerstandin.Expected(model, content, 80))
			}
			results <- err
		}()
	}
	for range streams {
		select {
		case <-started:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	session.system.runnerA.Kill()
	for range streams {
		if err := <-results; err != nil {
			return err
		}
	}
	return nil
}

func (session *session) stopEntry(ctx context.Context) error {
	const content = "Summarise the renewal history of account 5"
	var signalled error
	response, err := session.caller.StreamChat(ctx, session.entryA(), model, content, 120, func(events int) {
		if events == 5 {
			signalled = session.system.entryA.Signal(syscall.SIGTERM)
		}
	})
	if err != nil {
		return err
	}
	if signalled != nil {
		return signalled
	}
	if err := callerstandin.CheckText(response, callerstandin.Expected(model, content, 120)); err != nil {
		return err
	}
	return errors.Wrap(session.system.entryA.Wait(), "entry-a did not stop cleanly")
}
