package edge

import (
	"bufio"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/backend/backendlink"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/placement"
	"sapphirehead/internal/request"
	"sapphirehead/platform/callers"
	"sapphirehead/platform/runners"
)

const (
	// heldBytes is the size up to which an answer is read whole before any of it
	// goes to the caller, so that a broken one can be replaced.
	heldBytes = 256 << 10
	// writeTimeout is how long a caller may leave a part of an answer unread.
	writeTimeout = 10 * clock.Second
)

// noDeadline removes a deadline.
var noDeadline time.Time

// deadlineIn returns a deadline for the connections of net, which know the time
// of the Go runtime alone.
func deadlineIn(wait clock.Millis) time.Time { return clock.RuntimeDeadline(wait) }

// held is an answer of a backend server that was read whole.
type held struct {
	status int
	header http.Header
	body   []byte
}

// forward sends the request to backend servers until it has an answer.
func (visit *visit) forward() {
	edge := visit.edge
	retrier := request.NewRetrier(visit.route, visit.deadline())
	visit.pool = visit.route.PickPool(rand.Float64())
	edge.countRequest(visit.pool)
	ctx, cancel := edge.clock.WithTimeout(visit.request.Context(), retrier.Deadline()-visit.arrived)
	defer cancel()
	try := &try{visit: visit, retrier: retrier, ctx: ctx}
	for {
		outcome := try.attempt()
		if visit.left() {
			visit.status, visit.reason = statusCallerLeft, "the caller left"
			panic(http.ErrAbortHandler)
		}
		step := retrier.Next(outcome, edge.clock.Now(), func() bool { return edge.takeRetry(visit.pool) })
		visit.logStep(retrier, outcome, step)
		switch step {
		case request.StepRetry:
			continue
		case request.StepDeliver:
			try.deliver()
		case request.StepRefuse:
			wait := retrySoon
			switch outcome {
			case request.OutcomeNoServer:
				wait = visit.untilServers()
			case request.OutcomeTooLate:
				wait = try.late
			default:
			}
			visit.refuse("no backend server ran the request: "+outcome.String(), wait)
		case request.StepUnknown:
			visit.answer(http.StatusBadGateway, "outcomeUnknown", "the backend server's answer is lost", 0)
		case request.StepTimeout:
			visit.answer(http.StatusGatewayTimeout, "outcomeUnknown", "no answer in time", 0)
		case request.StepBreak:
			visit.status, visit.reason = statusBroken, "the answer broke off"
			panic(http.ErrAbortHandler)
		}
		return
	}
}

// untilServers returns what a caller is told to wait while the pool has no
// server: half of the time in which ordered ones start, as some are on their way.
func (visit *visit) untilServers() clock.Millis {
	row, ok := visit.directory.Pool(visit.pool)
	if !ok {
		return retrySoon
	}
	return max(retrySoon, row.Rental().Startup()/2)
}

// statusCallerLeft and statusBroken stand in the log for answers without a
// status.
const (
	statusCallerLeft = 499
	statusBroken     = 599
)

// try is the attempts for one request.
type try struct {
	visit     *visit
	retrier   *request.Retrier
	ctx       context.Context
	tried     []string
	answer    held
	lastEvent string
	delivered bool
	late      clock.Millis
}

// attempt sends the request to one server.
func (try *try) attempt() request.Outcome {
	visit, edge := try.visit, try.visit.edge
	row, ok := visit.directory.Pool(visit.pool)
	if !ok {
		return request.OutcomeNoServer
	}
	choice, ok := edge.placement.Choose(row, visit.call.Prompt(), try.tried)
	if !ok {
		return request.OutcomeNoServer
	}
	if late := choice.Lateness(visit.route, visit.urgency(), edge.clock.Now()-visit.arrived); late > 0 && try.retrier.Sends() == 0 {
		visit.logChoice(choice)
		try.late = late
		return request.OutcomeTooLate
	}
	server := choice.Server()
	try.tried = append(try.tried, server.Key())
	visit.attempts++
	visit.logChoice(choice)
	visit.countDemand(choice)
	end := server.Begin()
	read := server.Work().Queue(choice.UncachedTokens())
	defer end()
	defer read()
	server.Circuit().Begin(edge.clock.Now())
	try.retrier.RecordSend()
	response, err := edge.links.Send(try.ctx, server, try.encode(choice))
	if err != nil {
		return try.failed(server, err)
	}
	defer response.Close()
	edge.noteLoad(server, response.Header())
	outcome := try.judge(server, response, read)
	try.noteOutcome(server, outcome)
	return outcome
}

func (try *try) encode(choice placement.Choice) backendlink.Request {
	visit := try.visit
	metadata := runners.NewMetadata(choice.Server(), visit.accountName(), try.retrier.Deadline()-visit.edge.clock.Now())
	if visit.route.Streaming() {
		metadata = metadata.WithPriority(visit.urgency())
	}
	if try.lastEvent != "" {
		metadata = metadata.WithResume(try.lastEvent)
	}
	head := runners.EncodeHead(visit.request, visit.target, visit.request.Header, len(visit.body), metadata)
	return backendlink.NewRequest(visit.request.Method, head, visit.body, !visit.route.Repeatable() && !visit.route.Streaming())
}

// failed takes in that no answer came.
func (try *try) failed(server *backend.Server, err error) request.Outcome {
	visit := try.visit
	var unsent *backendlink.UnsentError
	outcome := request.OutcomeLost
	if errors.As(err, &unsent) {
		outcome = request.OutcomeUnsent
	}
	if visit.left() {
		return outcome
	}
	visit.edge.log.Warn().Str("requestId", visit.call.ID()).Str("backendServer", server.ID()).Err(err).
		Str("outcome", outcome.String()).Msg("attempt failed")
	var lost *backendlink.ResponseLostError
	if errors.As(err, &lost) && lost.Reused() && !isTimeUp(try.ctx) {
		// An old connection says little of the server.
		return outcome
	}
	if !isTimeUp(try.ctx) || outcome == request.OutcomeUnsent {
		try.noteOutcome(server, outcome)
	}
	return outcome
}

func isTimeUp(ctx context.Context) bool { return ctx.Err() != nil }

// noteOutcome tells the server's circuit.
func (try *try) noteOutcome(server *backend.Server, outcome request.Outcome) {
	now := try.visit.edge.clock.Now()
	switch outcome {
	case request.OutcomeAnswered:
		server.Circuit().Succeeded(now)
	case request.OutcomeUnsent, request.OutcomeMisdirected:
		server.Circuit().Trip(now)
	case request.OutcomeLost, request.OutcomeCut, request.OutcomeFailed:
		if !isTimeUp(try.ctx) {
			server.Circuit().Failed(now)
		}
	default:
	}
}

// judge reads the answer as far as its head tells what it is.
func (try *try) judge(server *backend.Server, response *backendlink.Response, read func()) request.Outcome {
	visit := try.visit
	switch verdict := runners.Classify(response.Status(), response.Header(), visit.call.ID()); verdict {
	case runners.VerdictNotRun, runners.VerdictMisdirected:
		if _, err := io.Copy(io.Discard, io.LimitReader(response, heldBytes)); err != nil {
			visit.edge.log.Debug().Err(err).Str("requestId", visit.call.ID()).Msg("rest of a refusal is lost")
		}
		if verdict == runners.VerdictMisdirected {
			return request.OutcomeMisdirected
		}
		return request.OutcomeRefused
	case runners.VerdictMismatched, runners.VerdictUnknown:
		visit.edge.log.Warn().Str("requestId", visit.call.ID()).Str("backendServer", server.ID()).
			Int("status", response.Status()).Msg("answer is not one to the request")
		return request.OutcomeLost
	case runners.VerdictFailure:
		if outcome := try.hold(response); outcome != request.OutcomeAnswered {
			return outcome
		}
		if response.Status() >= http.StatusInternalServerError {
			visit.countRun()
			return request.OutcomeFailed
		}
		return request.OutcomeAnswered
	default:
		if visit.route.Streaming() {
			return try.stream(response, read)
		}
		visit.countRun()
		return try.hold(response)
	}
}

// hold reads the whole answer, or, if it is long, begins to pass it on.
func (try *try) hold(response *backendlink.Response) request.Outcome {
	body, err := io.ReadAll(io.LimitReader(response, heldBytes+1))
	if err != nil {
		return request.OutcomeLost
	}
	try.answer = held{status: response.Status(), header: response.Header(), body: body}
	if len(body) <= heldBytes {
		return request.OutcomeAnswered
	}
	return try.pass(response)
}

// pass hands a long answer on as it comes.
func (try *try) pass(response *backendlink.Response) request.Outcome {
	try.begin(response.Status(), response.Header(), response.Length())
	_, err := try.visit.writer.Write(try.answer.body)
	if err == nil {
		_, err = io.Copy(try.visit.writer, response)
	}
	if err != nil {
		return request.OutcomeCut
	}
	try.delivered = true
	return request.OutcomeAnswered
}

// begin sends the head of an answer to the caller.
func (try *try) begin(status int, header http.Header, length int64) {
	try.retrier.StartResponse()
	visit := try.visit
	visit.status = status
	callers.StripConnection(header)
	own := visit.writer.Header()
	for name, values := range header {
		own[name] = values
	}
	visit.closeIfStopping()
	if header.Get("Content-Type") == "" {
		own["Content-Type"] = nil
	}
	if length >= 0 {
		own.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	visit.writer.WriteHeader(status)
}

// deliver passes on the answer in hand.
func (try *try) deliver() {
	if try.delivered {
		return
	}
	try.begin(try.answer.status, try.answer.header, int64(len(try.answer.body)))
	try.visit.writer.Write(try.answer.body)
}

// stream passes on the events of a stream as they come, each whole.
func (try *try) stream(response *backendlink.Response, read func()) request.Outcome {
	visit := try.visit
	reader := bufio.NewReader(response)
	defer visit.clearWriteDeadline()
	for {
		event, err := backendlink.ReadEvent(reader)
		if errors.Is(err, io.EOF) {
			if !try.retrier.ResponseStarted() {
				try.begin(response.Status(), response.Header(), -1)
			}
			try.delivered = true
			return request.OutcomeAnswered
		}
		if err != nil {
			return try.cut(err)
		}
		read()
		if !try.retrier.ResponseStarted() {
			visit.countRun()
			visit.noteFirstEvent()
			try.begin(response.Status(), response.Header(), -1)
		}
		if err := try.passEvent(event); err != nil {
			return request.OutcomeCut
		}
	}
}

// cut takes in that a stream broke off.
func (try *try) cut(err error) request.Outcome {
	visit := try.visit
	if !visit.left() {
		visit.edge.log.Warn().Str("requestId", visit.call.ID()).Str("backendServer", visit.choice.Server().ID()).Err(err).
			Str("lastEvent", try.lastEvent).Msg("stream broke off")
	}
	if !try.retrier.ResponseStarted() {
		return request.OutcomeLost
	}
	return request.OutcomeCut
}

func (try *try) passEvent(event []byte) error {
	visit := try.visit
	if id, ok := backendlink.EventID(event); ok {
		try.lastEvent = id
	}
	control := http.NewResponseController(visit.writer)
	if err := control.SetWriteDeadline(deadlineIn(writeTimeout)); err != nil {
		return errors.Wrap(err, "set a deadline")
	}
	if _, err := visit.writer.Write(event); err != nil {
		return errors.Wrap(err, "write an event")
	}
	return errors.Wrap(control.Flush(), "flush an event")
}

// clearWriteDeadline lets the connection's next answer take its time.
func (visit *visit) clearWriteDeadline() {
	if err := http.NewResponseController(visit.writer).SetWriteDeadline(noDeadline); err != nil {
		visit.edge.log.Error().Err(err).Msg("deadline of a stream stays")
	}
}
