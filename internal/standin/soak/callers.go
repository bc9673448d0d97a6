package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/standin/enginestandin"
	"sapphirehead/internal/standin/harness"
)

// kind is the kind of a caller's request.
type kind int

const (
	kindBook kind = iota
	kindLook
	kindChat
	kindResume
)

// requestMix is the distribution of the callers' requests. Half of them are bookings,
// which may run only once.
var requestMix = []kind{kindBook, kindBook, kindBook, kindLook, kindChat, kindResume}

func (kind kind) method() string {
	if kind == kindLook {
		return http.MethodGet
	}
	return http.MethodPost
}

func (kind kind) path() string {
	switch kind {
	case kindLook:
		return "/look/a"
	case kindChat:
		return "/chat/a"
	case kindResume:
		return "/resume/a"
	default:
		return "/book/a"
	}
}

// outcome is the result of a request according to its response.
type outcome int

const (
	outcomeUnknown outcome = iota
	outcomeServed
	outcomeNotRun
)

const (
	// callTimeout is the caller's timeout. It exceeds the longest timeout of a route,
	// 4 s.
	callTimeout = 6 * clock.Second
	// maxPause is the maximum time between two requests of a caller.
	maxPause = 40 * clock.Millisecond
)

// caller sends requests one after the other and checks each response.
type caller struct {
	system *system
	number int
	random *rand.Rand
	client *http.Client
	serial int
	// session is the session of the caller's chats. If isFatal is set, they always have
	// the fatal part, and lookups are always the fatal request.
	session int
	isFatal bool
	// broken is the latest stream that broke off and may be resumed, if any.
	broken brokenStream
}

// brokenStream is the part of a stream that a caller has.
type brokenStream struct {
	id     string
	events string
	at     clock.Millis
}

// takeUpTime is the time within which callers take a stream up.
const takeUpTime = 2 * clock.Second

// newCaller returns a caller that keeps its connections open until the process at the other
// end is gone, or opens one for each request.
func newCaller(system *system, number int, keepsOpen bool, random *rand.Rand) *caller {
	refuseRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &caller{
		system: system, number: number, random: random,
		session: number % sessions,
		client:  &http.Client{Transport: &http.Transport{DisableKeepAlives: !keepsOpen}, CheckRedirect: refuseRedirect},
	}
}

func (caller *caller) close() { caller.client.CloseIdleConnections() }

// run sends requests to random nodes until the context ends, stopping ones among them, as
// behind a load balancer that has too few others.
func (caller *caller) run(ctx context.Context) {
	defer caller.close()
	for ctx.Err() == nil {
		node := caller.system.nodes[caller.random.IntN(nodeCount)]
		caller.call(ctx, node.process.Load(), requestMix[caller.random.IntN(len(requestMix))])
		if caller.system.clock.Wait(ctx, clock.Millis(caller.random.Int64N(int64(maxPause)))) != nil {
			return
		}
	}
}

// call sends one request and reports whether it was served.
func (caller *caller) call(ctx context.Context, process *harness.Process, kind kind) bool {
	caller.serial++
	id := fmt.Sprintf("c%d-%d", caller.number, caller.serial)
	ctx, cancel := caller.system.clock.WithTimeout(ctx, callTimeout)
	defer cancel()
	path, content := kind.path(), "body of "+id
	if kind == kindLook && caller.sendsFatal(&caller.system.fatalLooks) {
		path, content = fatalTarget, fatalTarget
	}
	request, err := http.NewRequestWithContext(ctx, kind.method(), "http://"+process.Address("caller")+path, strings.NewReader(content))
	if err != nil {
		caller.system.tally.addViolation("request %s could not be created: %v", id, err)
		return false
	}
	request.Host = "desk.example"
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", "3000")
	request.Header.Set("Authorization", "Token key-of-garage")
	if kind == kindChat || kind == kindResume {
		request.Header.Set("X-Prompt-Prefix", caller.prompt(id))
		request.Header.Set("X-Token-Counts", "50,10")
	}
	if kind == kindResume {
		caller.takeUp(request)
	}
	// Without GetBody the transport can't repeat a request by itself, as a booking may
	// run only once.
	request.GetBody = nil
	outcome, answered := caller.send(request, id, kind)
	if kind == kindBook {
		caller.system.bookings.Store(id, outcome)
		if !answered && ctx.Err() == nil {
			caller.system.cut.Store(id, process)
		}
	}
	return outcome == outcomeServed
}

// prompt returns the parts of a chat's prompt.
func (caller *caller) prompt(id string) string {
	fatal := ""
	if caller.sendsFatal(&caller.system.fatal) {
		fatal = fatalPart + ":10,"
	}
	return fmt.Sprintf("first:20,session-%d:10,%s%s:10", caller.session, fatal, id)
}

// sendsFatal draws whether the next request crashes its server while the incident is on.
func (caller *caller) sendsFatal(isOn *atomic.Bool) bool {
	return caller.isFatal || (isOn.Load() && caller.random.Float64() < fatalShare)
}

// send sends the request and returns its outcome, and whether there was a whole answer.
func (caller *caller) send(request *http.Request, id string, kind kind) (outcome outcome, answered bool) {
	tally := caller.system.tally
	response, err := caller.client.Do(request)
	if err != nil {
		tally.count("noAnswer")
		return outcomeUnknown, false
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if response.Header.Get("X-Request-Id") != id {
		tally.addViolation("request %s got a response with the request id %q", id, response.Header.Get("X-Request-Id"))
	}
	switch {
	case err != nil:
		tally.count("brokenOff")
		if kind == kindChat || kind == kindResume {
			caller.checkStream(id, caller.takenUp(request)+string(body), false)
		}
		if kind == kindResume {
			caller.breakOff(request, string(body))
		}
		return outcomeUnknown, false
	case response.StatusCode == http.StatusOK:
		tally.count("served")
		caller.checkSuccess(id, kind, response, caller.takenUp(request)+string(body))
		if kind == kindResume {
			caller.broken = brokenStream{}
		}
		return outcomeServed, true
	case response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests:
		tally.count("refused")
		return outcomeNotRun, true
	case response.StatusCode < http.StatusInternalServerError:
		tally.addViolation("request %s was denied with %d: %s", id, response.StatusCode, body)
		return outcomeUnknown, true
	default:
		tally.count("failed")
		return outcomeUnknown, true
	}
}

func (caller *caller) checkSuccess(id string, kind kind, response *http.Response, body string) {
	if response.Header.Get("X-Response-Stamp") == "" {
		caller.system.tally.addViolation("successful response to request %s has no X-Response-Stamp", id)
	}
	switch kind {
	case kindChat, kindResume:
		caller.checkStream(id, body, true)
	default:
		if body != "answer to "+id {
			caller.system.tally.addViolation("request %s got the body %q", id, body)
		}
	}
}

// takeUp makes the request take up the stream that broke off last, if it is recent.
func (caller *caller) takeUp(request *http.Request) {
	if caller.broken.id == "" || caller.system.clock.Now() > caller.broken.at+takeUpTime {
		caller.broken = brokenStream{}
		return
	}
	request.Header.Set("Resumes", caller.broken.id)
	request.Header.Set("Last-Event-Id", strconv.Itoa(strings.Count(caller.broken.events, "\n\n")-1))
}

// takenUp returns the events that the caller had before a request that takes up a stream.
func (caller *caller) takenUp(request *http.Request) string {
	if request.Header.Get("Resumes") == "" {
		return ""
	}
	caller.system.tally.count("takenUp")
	return caller.broken.events
}

// breakOff keeps the whole events of a stream that broke off.
func (caller *caller) breakOff(request *http.Request, body string) {
	if request.Header.Get("Resumes") != "" {
		caller.broken = brokenStream{}
		return
	}
	if end := strings.LastIndex(body, "\n\n"); end >= 0 {
		caller.broken = brokenStream{id: request.Header.Get("X-Request-Id"), events: body[:end+2], at: caller.system.clock.Now()}
	}
}

// checkStream checks that each event was received once and in order, all of one software
// version, and that a
// stream that ended without an error is complete.
func (caller *caller) checkStream(id, body string, complete bool) {
	isStream := slices.ContainsFunc(versions, func(version string) bool {
		var events strings.Builder
		for event := range enginestandin.StreamEvents {
			fmt.Fprintf(&events, "id: %d\ndata: %s %d\n\n", event, version, event)
		}
		return strings.HasPrefix(events.String(), body) && (!complete || body == events.String())
	})
	if !isStream {
		caller.system.tally.addViolation("stream %s is out of order or incomplete (ended without error: %t): %q", id, complete, body)
	}
}
