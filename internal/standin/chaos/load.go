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
	requestsInFlight = 48
	// maxAttempts bounds the attempts of one request.
	maxAttempts = 30
	// maxRefusals bounds the refused attempts of a booking.
	maxRefusals = 3
	// attemptTimeout is the time after which a caller closes the connection and tries
	// another entry host.
	attemptTimeout = 9 * clock.Second
	// backoff is the wait after a failed attempt, times the number of attempts.
	backoff    = 20 * clock.Millisecond
	maxBackoff = 500 * clock.Millisecond
	// A chat whose number is a multiple of longEvery requests longTokens, which take
	// longer than the grace period of a stopping entry host.
	longEvery  = 5
	longTokens = 400
)

// kindUnavailable is the error type that asks a caller to retry later.
const kindUnavailable = "unavailable"

// outcome is the result of one attempt.
type outcome int

const (
	outcomeComplete outcome = iota + 1
	outcomeNotRun
	outcomeUnknown
	outcomeIncomplete
	outcomeBroken
	outcomeTimedOut
	outcomeMoved
	outcomeWrong
)

// load sends requests to the entry hosts and checks each response.
type load struct {
	system           *system
	tally            *Tally
	caller           *callerstandin.Caller
	next             atomic.Int64
	total            int64
	done             chan struct{}
	mutex            sync.Mutex
	bookingResponses map[string]string
	notRun           map[string]bool
}

func newLoad(system *system, tally *Tally, total int) *load {
	return &load{
		system: system, tally: tally, caller: callerstandin.New(harness.CallerKey), total: int64(total),
		done: make(chan struct{}, total), bookingResponses: map[string]string{}, notRun: map[string]bool{},
	}
}

// run sends all requests and returns when they have finished.
func (load *load) run(ctx context.Context) {
	var group sync.WaitGroup
	for range requestsInFlight {
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

// request sends one request. Of 10 requests, 4 are streamed chats, 2 unstreamed
// chats, 2 bookings and 2 status lookups.
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

// pickEntry returns an entry host that is ready according to the balancer, or any if
// none is.
func (load *load) pickEntry(number int) *entryProcess {
	entries := load.system.entries
	for i := range entries {
		if entryProcess := entries[(number+i)%len(entries)].process.Load(); entryProcess.ready.Load() {
			return entryProcess
		}
	}
	return entries[number%len(entries)].process.Load()
}

// retry sends a request to one entry host after another until its response is
// complete or wrong, the function stop returns true, or maxAttempts is reached.
func (load *load) retry(ctx context.Context, number int, name string, send func(ctx context.Context, address string) (outcome, string), stop func(outcome) bool) {
	result, reason := outcomeBroken, ""
	for attempt := range maxAttempts {
		entryProcess := load.pickEntry(number + attempt)
		result, reason = load.attempt(ctx, entryProcess, name, send)
		if result == outcomeComplete || result == outcomeWrong || stop(result) {
			return
		}
		load.system.clock.Wait(ctx, min(maxBackoff, clock.Millis(attempt+1)*backoff))
	}
	if result == outcomeNotRun {
		load.tally.add("refused", "")
		return
	}
	load.tally.add(countLost, "%s: %s", name, reason)
}

// attempt makes one attempt and counts a connection that broke although the entry
// host was not killed. A stopping entry host may hand over a chat, which the caller
// resumes elsewhere; it may not cut any other request.
func (load *load) attempt(ctx context.Context, entryProcess *entryProcess, name string, send func(ctx context.Context, address string) (outcome, string)) (outcome, string) {
	ctx, cancel := load.system.clock.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	result, reason := send(ctx, entryProcess.address())
	if result == outcomeBroken && errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		result = outcomeTimedOut
	}
	if result == outcomeBroken && entryProcess.stopping.Load() && strings.HasPrefix(name, "chat") {
		result = outcomeMoved
		load.tally.add("handedOver", "")
	}
	if result == outcomeBroken && !entryProcess.killed.Load() && !notAccepted(reason) {
		load.tally.add(countCut, "%s at %s: %s", name, entryProcess.process.Name(), reason)
	}
	switch result {
	case outcomeNotRun:
		load.tally.add("triesNotRun", "")
	case outcomeUnknown:
		load.tally.add("triesOutcomeUnknown", "")
	case outcomeIncomplete:
		load.tally.add("triesIncomplete", "%s: %s", name, reason)
	case outcomeBroken:
		load.tally.add("triesBroken", "")
	case outcomeTimedOut:
		load.tally.add("triesGivenUp", "")
	case outcomeComplete, outcomeWrong, outcomeMoved:
	}
	return result, reason
}

// notAccepted reports whether an attempt never reached an entry host.
func notAccepted(reason string) bool { return strings.Contains(reason, "connection refused") }

// classifyError returns the outcome of a response without the requested content.
func classifyError(response callerstandin.Response) (outcome, string) {
	reason := fmt.Sprintf("status %d %s: %s", response.Status(), response.Kind(), response.Text())
	if response.Location() != "" {
		return outcomeMoved, "moved to " + response.Location()
	}
	switch response.Kind() {
	case "notRun":
		return outcomeNotRun, reason
	case "outcomeUnknown":
		return outcomeUnknown, reason
	case "incomplete":
		return outcomeIncomplete, reason
	case "streamNotFound", kindUnavailable:
		return outcomeMoved, reason
	default:
		return outcomeWrong, reason
	}
}

func neverStop(outcome) bool { return false }

// chat sends a chat. After a broken stream, the caller resumes it after the events
// that it has received; after a redirect, it requests the response at the new path.
func (load *load) chat(ctx context.Context, number int, streamed bool) {
	content := fmt.Sprintf("Draft the cleaning report of filter %d", number)
	tokens := 0
	if number%longEvery == 0 {
		tokens = longTokens
	}
	expected := callerstandin.Expected(model, content, tokens)
	name := fmt.Sprintf("chat %d", number)
	partial, path := callerstandin.Response{}, ""
	load.retry(ctx, number, name, func(ctx context.Context, address string) (outcome, string) {
		var response callerstandin.Response
		var err error
		switch {
		case partial.LastEventID() != "":
			load.tally.add("returns", "")
			response, err = load.caller.ResumeChat(ctx, address, model, content, tokens, partial)
		case path != "":
			load.tally.add("redirects", "")
			response, err = load.caller.Result(ctx, address, path)
		case streamed:
			response, err = load.caller.StreamChat(ctx, address, model, content, tokens, func(int) {})
		default:
			response, err = load.caller.Chat(ctx, address, model, content, tokens)
		}
		if response.Kind() != kindUnavailable {
			partial, path = callerstandin.Response{}, response.Location()
		}
		if err != nil {
			partial = response
		}
		return load.checkText(name, response, expected, err)
	}, neverStop)
}

func (load *load) status(ctx context.Context, number int) {
	path := fmt.Sprintf("/status/%d", number)
	load.retry(ctx, number, path, func(ctx context.Context, address string) (outcome, string) {
		response, err := load.caller.Call(ctx, http.MethodGet, address, path, "", nil)
		return load.checkText(path, response, "status of "+path+"\n", err)
	}, neverStop)
}

// checkText compares a response with the expected text. The text received before an
// error must be a prefix of it.
func (load *load) checkText(name string, response callerstandin.Response, expected string, err error) (outcome, string) {
	if response.Status() != http.StatusOK && err == nil {
		result, reason := classifyError(response)
		if result == outcomeWrong {
			load.tally.add(countLost, "%s: %s", name, reason)
		}
		return result, reason
	}
	if !strings.HasPrefix(expected, response.Text()) {
		load.tally.add(countCrossed, "%s: got %q, expected %q", name, response.Text(), expected)
		return outcomeWrong, "crossed"
	}
	var failed *callerstandin.EventError
	switch {
	case errors.As(err, &failed):
		return outcomeIncomplete, err.Error()
	case err != nil:
		return outcomeBroken, err.Error()
	case response.Text() != expected:
		load.tally.add(countTruncated, "%s: got %q, expected %q", name, response.Text(), expected)
		return outcomeWrong, "truncated"
	}
	load.tally.add("whole", "")
	return outcomeComplete, ""
}

type actionForm struct {
	Body string `json:"body"`
}

// booking sends a call with a side effect, with the same idempotency key at every
// attempt. Some completed bookings are sent once more and must return the same
// response.
func (load *load) booking(ctx context.Context, number int) {
	key := fmt.Sprintf("booking-%d", number)
	body := fmt.Sprintf("truck %d, Tuesday", number)
	refusals, mayHaveRun := 0, false
	send := func(ctx context.Context, address string) (outcome, string) {
		response, err := load.caller.Call(ctx, http.MethodPost, address, "/bookings", key, []byte(body))
		return load.checkBooking(key, body, response, err)
	}
	stop := func(result outcome) bool {
		switch result {
		case outcomeNotRun:
			refusals++
		case outcomeUnknown:
			load.tally.add("bookingsUnknown", "")
			mayHaveRun = true
			return true
		default:
			mayHaveRun = true
		}
		if refusals < maxRefusals {
			return false
		}
		load.tally.add("refused", "")
		return true
	}
	load.retry(ctx, number, key, send, stop)
	load.mutex.Lock()
	_, completed := load.bookingResponses[key]
	load.notRun[key] = refusals > 0 && !mayHaveRun && !completed
	load.mutex.Unlock()
	if completed && number%4 == 0 {
		load.attempt(ctx, load.pickEntry(number+1), key, send)
	}
}

func (load *load) checkBooking(key, body string, response callerstandin.Response, err error) (outcome, string) {
	if err != nil {
		return outcomeBroken, err.Error()
	}
	if response.Status() != http.StatusCreated {
		result, reason := classifyError(response)
		if result == outcomeWrong {
			load.tally.add(countLost, "%s: %s", key, reason)
		}
		return result, reason
	}
	var form actionForm
	if json.Unmarshal([]byte(response.Text()), &form) != nil || form.Body != body {
		load.tally.add(countCrossed, "%s: got %q", key, response.Text())
		return outcomeWrong, "crossed"
	}
	load.mutex.Lock()
	defer load.mutex.Unlock()
	if earlier, ok := load.bookingResponses[key]; ok {
		if earlier != response.Text() {
			load.tally.add(countDoubled, "%s: responses %q and %q", key, earlier, response.Text())
		}
		load.tally.add("replayed", "")
		return outcomeComplete, ""
	}
	load.bookingResponses[key] = response.Text()
	load.tally.add("whole", "")
	return outcomeComplete, ""
}
