package chaos

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/standin/callerstandin"
	"sapphirehead/internal/standin/harness"
)

// Bounds of the load.
const (
	// workers is the number of requests in flight.
	workers = 48
	// maxTries bounds the tries of one request.
	maxTries = 30
	// maxRefusals bounds the tries of a booking that is refused.
	maxRefusals = 3
	// tryTimeout is when a caller gives a connection up and tries another
	// entry host.
	tryTimeout = 9 * clock.Second
	// backoff is the wait after a failed try, times the number of tries.
	backoff    = 20 * clock.Millisecond
	maxBackoff = 500 * clock.Millisecond
	// One request of longEvery asks for longTokens, which take longer than the
	// grace of an entry host that stops.
	longEvery  = 5
	longTokens = 400
)

// kindUnavailable is the error for a caller that is to return later.
const kindUnavailable = "unavailable"

// outcome is what one try came to.
type outcome int

const (
	outcomeWhole outcome = iota + 1
	outcomeNotRun
	outcomeUnknown
	outcomeIncomplete
	outcomeBroken
	outcomeLate
	outcomeMoved
	outcomeWrong
)

// load sends requests to the entry hosts and checks each answer.
type load struct {
	system *system
	tally  *Tally
	caller *callerstandin.Caller
	next   atomic.Int64
	total  int64
	done   chan struct{}
	mutex  sync.Mutex
	whole  map[string]string
	notRun map[string]bool
}

func newLoad(system *system, tally *Tally, total int) *load {
	return &load{
		system: system, tally: tally, caller: callerstandin.New(harness.CallerKey), total: int64(total),
		done: make(chan struct{}, total), whole: map[string]string{}, notRun: map[string]bool{},
	}
}

// run sends every request and returns when all have ended.
func (load *load) run(ctx context.Context) {
	var group sync.WaitGroup
	for range workers {
		group.Go(func() {
			for {
				number := load.next.Add(1)
				if number > load.total || ctx.Err() != nil {
					return
				}
				load.request(ctx, int(number))
				load.done <- struct{}{}
			}
		})
	}
	group.Wait()
}

// request sends one request: of 10, 4 are streamed chats, 2 whole chats, 2
// bookings and 2 status lookups.
func (load *load) request(ctx context.Context, number int) {
	switch number % 10 {
	case 0, 1, 2, 3:
		load.chat(ctx, number, true)
	case 4, 5:
		load.chat(ctx, number, false)
	case 6, 7:
		load.booking(ctx, number)
	default:
		load.status(ctx, number)
	}
}

// pick returns an entry host that is ready as the balancer sees it.
func (load *load) pick(number int) *target {
	entries := load.system.entries
	for i := range entries {
		if target := entries[(number+i)%len(entries)].target.Load(); target.ready.Load() {
			return target
		}
	}
	return entries[number%len(entries)].target.Load()
}

// repeat tries a request at one entry host after another until its answer is
// whole or wrong, or the function stop ends the tries.
func (load *load) repeat(ctx context.Context, number int, name string, try func(ctx context.Context, address string) (outcome, string), stop func(outcome) bool) {
	last, why := outcomeBroken, ""
	for attempt := range maxTries {
		target := load.pick(number + attempt)
		last, why = load.try(ctx, target, name, try)
		if last == outcomeWhole || last == outcomeWrong || stop(last) {
			return
		}
		load.system.clock.Wait(ctx, min(maxBackoff, clock.Millis(attempt+1)*backoff))
	}
	if last == outcomeNotRun {
		load.tally.add("refused", "")
		return
	}
	load.tally.add(countLost, "%s: %s", name, why)
}

// try makes one try and counts a connection that broke though nobody had
// killed the entry host. One that stops may hand a chat over, to which the
// caller returns; it may not break a call with side effects off.
func (load *load) try(ctx context.Context, target *target, name string, try func(ctx context.Context, address string) (outcome, string)) (outcome, string) {
	ctx, cancel := load.system.clock.WithTimeout(ctx, tryTimeout)
	defer cancel()
	result, why := try(ctx, target.address())
	if result == outcomeBroken && errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		result = outcomeLate
	}
	if result == outcomeBroken && target.stopping.Load() && strings.HasPrefix(name, "chat") {
		result = outcomeMoved
		load.tally.add("handedOver", "")
	}
	if result == outcomeBroken && !target.killed.Load() && !notAccepted(why) {
		load.tally.add(countCut, "%s at %s: %s", name, target.process.Name(), why)
	}
	switch result {
	case outcomeNotRun:
		load.tally.add("triesNotRun", "")
	case outcomeUnknown:
		load.tally.add("triesOutcomeUnknown", "")
	case outcomeIncomplete:
		load.tally.add("triesIncomplete", "%s: %s", name, why)
	case outcomeBroken:
		load.tally.add("triesBroken", "")
	case outcomeLate:
		load.tally.add("triesGivenUp", "")
	case outcomeWhole, outcomeWrong, outcomeMoved:
	}
	return result, why
}

// notAccepted reports whether a try never reached an entry host.
func notAccepted(why string) bool { return strings.Contains(why, "connection refused") }

// refusal sorts an answer that is not the wanted one.
func refusal(answer callerstandin.Response) (outcome, string) {
	why := fmt.Sprintf("status %d %s: %s", answer.Status(), answer.Kind(), answer.Text())
	if answer.Location() != "" {
		return outcomeMoved, "moved to " + answer.Location()
	}
	switch answer.Kind() {
	case "notRun":
		return outcomeNotRun, why
	case "outcomeUnknown":
		return outcomeUnknown, why
	case "incomplete":
		return outcomeIncomplete, why
	case "streamNotFound", kindUnavailable:
		return outcomeMoved, why
	default:
		return outcomeWrong, why
	}
}

func never(outcome) bool { return false }

// chat sends a chat. A caller whose stream broke off returns with what it
// holds; one that was sent elsewhere asks there.
func (load *load) chat(ctx context.Context, number int, streamed bool) {
	content := fmt.Sprintf("Draft the cleaning report of filter %d", number)
	tokens := 0
	if number%longEvery == 0 {
		tokens = longTokens
	}
	expected := callerstandin.Expected(model, content, tokens)
	name := fmt.Sprintf("chat %d", number)
	held, path := callerstandin.Response{}, ""
	load.repeat(ctx, number, name, func(ctx context.Context, address string) (outcome, string) {
		var answer callerstandin.Response
		var err error
		switch {
		case held.LastEventID() != "":
			load.tally.add("returns", "")
			answer, err = load.caller.ResumeChat(ctx, address, model, content, tokens, held)
		case path != "":
			load.tally.add("redirects", "")
			answer, err = load.caller.Result(ctx, address, path)
		case streamed:
			answer, err = load.caller.StreamChat(ctx, address, model, content, tokens, func(int) {})
		default:
			answer, err = load.caller.Chat(ctx, address, model, content, tokens)
		}
		if answer.Kind() != kindUnavailable {
			held, path = callerstandin.Response{}, answer.Location()
		}
		if err != nil {
			held = answer
		}
		return load.checkText(name, answer, expected, err)
	}, never)
}

func (load *load) status(ctx context.Context, number int) {
	path := fmt.Sprintf("/status/%d", number)
	load.repeat(ctx, number, path, func(ctx context.Context, address string) (outcome, string) {
		answer, err := load.caller.Call(ctx, http.MethodGet, address, path, "", nil)
		return load.checkText(path, answer, "status of "+path+"\n", err)
	}, never)
}

// checkText compares an answer with the expected text. What came before an
// error must still be its beginning.
func (load *load) checkText(name string, answer callerstandin.Response, expected string, err error) (outcome, string) {
	if answer.Status() != http.StatusOK && err == nil {
		result, why := refusal(answer)
		if result == outcomeWrong {
			load.tally.add(countLost, "%s: %s", name, why)
		}
		return result, why
	}
	if !strings.HasPrefix(expected, answer.Text()) {
		load.tally.add(countCrossed, "%s: got %q, expected %q", name, answer.Text(), expected)
		return outcomeWrong, "crossed"
	}
	var failed *callerstandin.EventError
	switch {
	case errors.As(err, &failed):
		return outcomeIncomplete, err.Error()
	case err != nil:
		return outcomeBroken, err.Error()
	case answer.Text() != expected:
		load.tally.add(countTruncated, "%s: got %q, expected %q", name, answer.Text(), expected)
		return outcomeWrong, "truncated"
	}
	load.tally.add("whole", "")
	return outcomeWhole, ""
}

type actionForm struct {
	Body string `json:"body"`
}

// booking sends a call with a side effect under one key at every entry host.
// A whole answer is asked for again, and must be the same.
func (load *load) booking(ctx context.Context, number int) {
	key := fmt.Sprintf("booking-%d", number)
	body := fmt.Sprintf("truck %d, Tuesday", number)
	refusals, maybe := 0, false
	try := func(ctx context.Context, address string) (outcome, string) {
		answer, err := load.caller.Call(ctx, http.MethodPost, address, "/bookings", key, []byte(body))
		return load.checkBooking(key, body, answer, err)
	}
	stop := func(result outcome) bool {
		switch result {
		case outcomeNotRun:
			refusals++
		case outcomeUnknown:
			load.tally.add("bookingsUnknown", "")
			maybe = true
			return true
		default:
			maybe = true
		}
		if refusals < maxRefusals {
			return false
		}
		load.tally.add("refused", "")
		return true
	}
	load.repeat(ctx, number, key, try, stop)
	load.mutex.Lock()
	_, whole := load.whole[key]
	load.notRun[key] = refusals > 0 && !maybe && !whole
	load.mutex.Unlock()
	if whole && number%4 == 0 {
		load.try(ctx, load.pick(number+1), key, try)
	}
}

func (load *load) checkBooking(key, body string, answer callerstandin.Response, err error) (outcome, string) {
	if err != nil {
		return outcomeBroken, err.Error()
	}
	if answer.Status() != http.StatusCreated {
		result, why := refusal(answer)
		if result == outcomeWrong {
			load.tally.add(countLost, "%s: %s", key, why)
		}
		return result, why
	}
	var form actionForm
	if json.Unmarshal([]byte(answer.Text()), &form) != nil || form.Body != body {
		load.tally.add(countCrossed, "%s: got %q", key, answer.Text())
		return outcomeWrong, "crossed"
	}
	load.mutex.Lock()
	defer load.mutex.Unlock()
	if earlier, ok := load.whole[key]; ok {
		if earlier != answer.Text() {
			load.tally.add(countDoubled, "%s: answers %q and %q", key, earlier, answer.Text())
		}
		load.tally.add("replayed", "")
		return outcomeWhole, ""
	}
	load.whole[key] = answer.Text()
	load.tally.add("whole", "")
	return outcomeWhole, ""
}
