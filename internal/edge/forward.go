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
	"sapphirehead/internal/canary"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/logging"
	"sapphirehead/internal/placement"
	"sapphirehead/internal/pool"
	"sapphirehead/internal/release"
	"sapphirehead/internal/request"
	"sapphirehead/platform/callers"
	"sapphirehead/platform/runners"
)

const (
	// maxBufferedBytes is the size up to which a response is read completely before
	// any of it is sent to the caller, so that the request can be retried if the
	// response breaks off.
	maxBufferedBytes = 256 << 10
	// relayBytes is the size of the parts in which a longer response is passed on.
	relayBytes = 32 << 10
	// writeTimeout is how long a caller may leave a part of a response unread.
	writeTimeout = 10 * clock.Second
)

// noDeadline removes the deadline of a connection.
var noDeadline time.Time

// deadlineIn returns a deadline for connections of package net, which use the
// clock of the Go runtime.
func deadlineIn(wait clock.Millis) time.Time { return clock.RuntimeDeadline(wait) }

// bufferedResponse is a response of a backend server that was read completely.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// forward sends the request to backend servers until there is a response.
func (requestContext *requestContext) forward() {
	edge := requestContext.edge
	retrier := request.NewRetrier(requestContext.route, requestContext.deadline())
	requestContext.pool = requestContext.route.PickPool(rand.Float64())
	ctx, cancel := edge.clock.WithTimeout(requestContext.request.Context(), retrier.Deadline()-edge.clock.Now())
	defer cancel()
	attempts := &attempts{requestContext: requestContext, retrier: retrier, ctx: ctx, hold: newResponseHold(edge.responseMemory)}
	defer attempts.hold.release()
	mayGoOn := !requestContext.takesUp() || attempts.pinRelease()
	defer attempts.planRollout()()
	edge.countRequest(requestContext.pool)
	if !mayGoOn {
		requestContext.refuse("the software version that began the stream is not known", shortRetryAfter)
		return
	}
	if !requestContext.offer() {
		return
	}
	defer requestContext.endTicket()
	for {
		outcome := attempts.sendOnce()
		if requestContext.callerLeft() {
			requestContext.status, requestContext.reason = statusCallerLeft, "the caller left"
			panic(http.ErrAbortHandler)
		}
		step := retrier.Next(outcome, edge.clock.Now(), func() bool { return edge.spendRetry(requestContext.pool) })
		requestContext.logStep(retrier, outcome, step)
		switch step {
		case request.StepRetry:
			if retrier.MayHaveRun() && requestContext.account != nil {
				edge.chargeRepeat(requestContext.account, requestContext.cost)
			}
			continue
		case request.StepDeliver:
			attempts.deliver()
		case request.StepRefuse:
			requestContext.recordBound(outcome)
			wait := shortRetryAfter
			switch outcome {
			case request.OutcomeNoServer:
				wait = requestContext.serverStartWait()
			case request.OutcomeTooLate, request.OutcomeQuarantined, request.OutcomeLimited:
				wait = attempts.retryAfter
			default:
			}
			requestContext.refuse("no backend server ran the request: "+outcome.String(), wait)
		case request.StepUnknown:
			requestContext.writeProblem(http.StatusBadGateway, "outcomeUnknown", "the backend server's answer is lost", 0)
		case request.StepTimeout:
			requestContext.writeProblem(http.StatusGatewayTimeout, "outcomeUnknown", "no answer in time", 0)
		case request.StepBreak:
			requestContext.status, requestContext.reason = statusBroken, "the answer broke off"
			panic(http.ErrAbortHandler)
		}
		return
	}
}

// serverStartWait returns the Retry-After while the pool has no server: half of
// the start-up time of ordered servers, as some are probably starting.
func (requestContext *requestContext) serverStartWait() clock.Millis {
	poolConfig, ok := requestContext.directory.Pool(requestContext.pool)
	if !ok {
		return shortRetryAfter
	}
	return max(shortRetryAfter, poolConfig.Rental().Startup()/2)
}

// statusCallerLeft and statusBroken are logged for responses without a status.
const (
	statusCallerLeft = 499
	statusBroken     = 599
)

// attempts is the state of all attempts of one request.
type attempts struct {
	requestContext *requestContext
	retrier        *request.Retrier
	ctx            context.Context
	triedServers   []string
	buffered       bufferedResponse
	// hold is the memory of buffered, or of a stream's current event.
	hold      *responseHold
	lastEvent string
	// release is the one that began the stream, or 0 if any server may begin it.
	release    release.ID
	delivered  bool
	sentAt     clock.Millis
	retryAfter clock.Millis
	// repeated tells that the request was at a crash before it was sent.
	repeated bool
	// beganAt is when the latest response began, or 0 if nothing shows that it did.
	beganAt clock.Millis
	// evidence is that of the latest attempt about its server's version.
	evidence *attemptEvidence
	// plan says which servers the next attempt may use during a rollout.
	plan canary.Plan
}

// sendOnce sends the request to one server.
func (attempts *attempts) sendOnce() request.Outcome {
	requestContext, edge := attempts.requestContext, attempts.requestContext.edge
	poolConfig, ok := requestContext.directory.Pool(requestContext.pool)
	if !ok {
		return request.OutcomeNoServer
	}
	if attempts.checkQuarantine() {
		return request.OutcomeQuarantined
	}
	choice, outcome := attempts.choose(poolConfig)
	if outcome == request.OutcomeNoServer && attempts.resolvesDoubts() {
		choice, outcome = attempts.choose(poolConfig)
	}
	if outcome != 0 {
		return outcome
	}
	server := choice.Server()
	attempts.triedServers = append(attempts.triedServers, server.Key())
	requestContext.attemptCount++
	requestContext.logChoice(choice)
	requestContext.countDemand(choice)
	end := server.Begin()
	markRead := attempts.watchSlowness(server, server.Work().Queue(choice.UncachedTokens()))
	defer end()
	defer markRead()
	server.Circuit().Begin(edge.clock.Now())
	attempts.retrier.RecordSend()
	attempts.sentAt = edge.clock.Now()
	attempts.countCanary()
	response, err := edge.links.Send(attempts.ctx, server, attempts.encode(choice))
	if err != nil {
		return attempts.handleSendError(server, err)
	}
	defer response.Close()
	edge.recordLoad(server, response.Header())
	attempts.recordStatements(server, response)
	attempts.beganAt = edge.clock.Now()
	outcome = attempts.handleResponse(server, response, markRead)
	attempts.recordOutcome(server, outcome)
	attempts.recordAnswer(server, outcome, attempts.beganAt)
	attempts.recordEvidence(server, response, outcome)
	return outcome
}

// choose returns the server for the attempt, or the outcome if there is none. It takes
// the request from the limit that the server named.
func (attempts *attempts) choose(poolConfig pool.Pool) (placement.Choice, request.Outcome) {
	requestContext, edge := attempts.requestContext, attempts.requestContext.edge
	rank := requestContext.rank()
	attempts.planRetry()
	for {
		choice, ok := edge.placement.ChooseAmong(attempts.usableServers(), poolConfig, requestContext.call.Prompt(), rank, attempts.triedServers, attempts.release, requestContext.slack())
		outcome, wait := requestContext.judge(choice, ok, attempts.retrier.Sends() == 0)
		switch {
		case outcome == 0:
		case attempts.leaveCanary():
			continue
		case outcome == request.OutcomeNoServer:
			return choice, outcome
		default:
			if ok {
				requestContext.logChoice(choice)
			}
			attempts.retryAfter = wait
			return choice, outcome
		}
		if choice.Server().RateLimit().Take(rank, edge.clock.Now()) {
			requestContext.logLimitedSend(choice.Server())
			return choice, 0
		}
		// Another request has just taken the last of the server's limit.
	}
}

// judge returns the outcome if the request is not to be sent to the server of the choice,
// of which there is none unless found is set, and the time after which it may be repeated.
func (requestContext *requestContext) judge(choice placement.Choice, found, isFirst bool) (outcome request.Outcome, wait clock.Millis) {
	switch {
	case !found && choice.LimitWait() > 0:
		return request.OutcomeLimited, choice.LimitWait()
	case !found:
		return request.OutcomeNoServer, 0
	}
	elapsed := requestContext.edge.clock.Now() - requestContext.arrived
	if lateness := choice.Lateness(requestContext.route, requestContext.rank(), elapsed); lateness > 0 && isFirst {
		return request.OutcomeTooLate, lateness
	}
	return 0, 0
}

func (attempts *attempts) encode(choice placement.Choice) backendlink.Request {
	requestContext := attempts.requestContext
	metadata := runners.NewMetadata(choice.Server(), requestContext.accountName(), attempts.retrier.Deadline()-requestContext.edge.clock.Now())
	if requestContext.route.Streaming() {
		metadata = metadata.WithPriority(requestContext.rank())
	}
	if attempts.lastEvent != "" {
		metadata = metadata.WithResume(attempts.lastEvent)
	}
	head := runners.EncodeHead(requestContext.request, requestContext.target, requestContext.request.Header, len(requestContext.body), metadata)
	return backendlink.NewRequest(requestContext.request.Method, head, requestContext.body, !requestContext.route.Repeatable() && !requestContext.route.Streaming())
}

// handleSendError handles an attempt without a response.
func (attempts *attempts) handleSendError(server *backend.Server, err error) request.Outcome {
	requestContext := attempts.requestContext
	var unsent *backendlink.UnsentError
	outcome := request.OutcomeLost
	if errors.As(err, &unsent) {
		outcome = request.OutcomeUnsent
	}
	if requestContext.callerLeft() {
		return outcome
	}
	requestContext.edge.log.Warn().Str("requestId", requestContext.call.ID()).Str("backendServer", server.ID()).Err(err).
		Strs("parts", requestContext.sharedParts()).Str(logging.FieldRequestHash, requestContext.requestHash()).Str("outcome", outcome.String()).Msg("attempt failed")
	switch {
	case outcome == request.OutcomeLost:
		attempts.recordCrash(server, err, 0)
	case !isTimeUp(attempts.ctx):
		// The connection was refused, or not answered in time.
		requestContext.edge.doubt(server)
	}
	var lost *backendlink.ResponseLostError
	if errors.As(err, &lost) && lost.Reused() && !isTimeUp(attempts.ctx) {
		// The failure of a reused connection says little about the server.
		return outcome
	}
	if !isTimeUp(attempts.ctx) || outcome == request.OutcomeUnsent {
		attempts.recordOutcome(server, outcome)
	}
	return outcome
}

func isTimeUp(ctx context.Context) bool { return ctx.Err() != nil }

// recordOutcome reports the outcome to the server's circuit breaker.
func (attempts *attempts) recordOutcome(server *backend.Server, outcome request.Outcome) {
	now := attempts.requestContext.edge.clock.Now()
	switch outcome {
	case request.OutcomeAnswered:
		server.Circuit().Succeeded(now)
	case request.OutcomeUnsent, request.OutcomeMisdirected:
		server.Circuit().Trip(now)
	case request.OutcomeLost, request.OutcomeCut, request.OutcomeFailed:
		if !isTimeUp(attempts.ctx) {
			server.Circuit().Failed(now)
		}
	default:
	}
}

// handleResponse classifies the response by its head, and discards, buffers or
// relays its body.
func (attempts *attempts) handleResponse(server *backend.Server, response *backendlink.Response, markRead func()) request.Outcome {
	requestContext := attempts.requestContext
	switch verdict := runners.Classify(response.Status(), response.Header(), requestContext.call.ID()); verdict {
	case runners.VerdictNotRun, runners.VerdictMisdirected:
		if err := response.Discard(); err != nil {
			requestContext.edge.log.Debug().Err(err).Str("requestId", requestContext.call.ID()).Msg("cannot read the rest of a refusal")
		}
		if verdict == runners.VerdictMisdirected {
			return request.OutcomeMisdirected
		}
		return request.OutcomeRefused
	case runners.VerdictMismatched, runners.VerdictUnknown:
		requestContext.edge.log.Warn().Str("requestId", requestContext.call.ID()).Str("backendServer", server.ID()).
			Int("status", response.Status()).Msg("response cannot be attributed to the request")
		return request.OutcomeLost
	case runners.VerdictFailure:
		if attempts.retrier.ResponseStarted() {
			return attempts.rejectContinuation(server, response)
		}
		if outcome := attempts.buffer(response); outcome != request.OutcomeAnswered {
			return outcome
		}
		if response.Status() >= http.StatusInternalServerError {
			requestContext.countRun()
			return request.OutcomeFailed
		}
		return request.OutcomeAnswered
	default:
		if attempts.retrier.ResponseStarted() && !backendlink.IsEventStream(response.Header()) {
			return attempts.rejectContinuation(server, response)
		}
		if requestContext.route.Streaming() {
			return attempts.stream(response, markRead)
		}
		requestContext.countRun()
		outcome := attempts.buffer(response)
		if outcome == request.OutcomeAnswered {
			attempts.observeTime(requestContext.edge.placement.ObserveResponse, requestContext.edge.clock.Now()-attempts.sentAt)
		}
		return outcome
	}
}

// rejectContinuation handles a response that can't be the rest of the stream that the
// caller has a part of.
func (attempts *attempts) rejectContinuation(server *backend.Server, response *backendlink.Response) request.Outcome {
	attempts.requestContext.edge.log.Warn().Str("requestId", attempts.requestContext.call.ID()).Str("backendServer", server.ID()).
		Int("status", response.Status()).Str("contentType", response.Header().Get("Content-Type")).Str("lastEvent", attempts.lastEvent).
		Msg("response does not continue the stream")
	return request.OutcomeFailed
}

// speed returns what this node has learned about the pool's servers.
func (attempts *attempts) speed() *placement.Speed {
	return attempts.requestContext.edge.placement.Speed(attempts.requestContext.pool)
}

// buffer reads the whole response, or begins to relay it if it is long.
func (attempts *attempts) buffer(response *backendlink.Response) request.Outcome {
	body, err := attempts.hold.readAll(response, maxBufferedBytes+1)
	if err != nil {
		attempts.logBroken(err, "response broke off")
		attempts.recordCrash(attempts.requestContext.choice.Server(), err, 0)
		return request.OutcomeLost
	}
	attempts.buffered = bufferedResponse{status: response.Status(), header: response.Header(), body: body}
	if len(body) <= maxBufferedBytes {
		return request.OutcomeAnswered
	}
	return attempts.relay(response)
}

// relay sends a long response to the caller as it arrives.
func (attempts *attempts) relay(response *backendlink.Response) request.Outcome {
	attempts.writeHead(response.Status(), response.Header(), response.Length())
	err := attempts.requestContext.write(attempts.buffered.body)
	part := make([]byte, relayBytes)
	for err == nil {
		var count int
		count, err = response.Read(part)
		if writeErr := attempts.requestContext.write(part[:count]); writeErr != nil {
			err = writeErr
		}
	}
	if !errors.Is(err, io.EOF) {
		attempts.logBroken(err, "response broke off")
		return request.OutcomeCut
	}
	attempts.delivered = true
	return request.OutcomeAnswered
}

// logBroken logs why a response ended before its end, unless its caller left.
func (attempts *attempts) logBroken(err error, message string) {
	requestContext := attempts.requestContext
	if requestContext.callerLeft() {
		return
	}
	requestContext.edge.log.Warn().Str("requestId", requestContext.call.ID()).Str("backendServer", requestContext.choice.Server().ID()).Err(err).
		Strs("parts", requestContext.sharedParts()).Str(logging.FieldRequestHash, requestContext.requestHash()).Str("lastEvent", attempts.lastEvent).Msg(message)
}

// writeHead sends the head of a response to the caller.
func (attempts *attempts) writeHead(status int, header http.Header, length int64) {
	attempts.retrier.StartResponse()
	requestContext := attempts.requestContext
	requestContext.status = status
	callers.StripConnection(header)
	own := requestContext.writer.Header()
	for name, values := range header {
		own[name] = values
	}
	requestContext.closeIfStopping()
	if header.Get("Content-Type") == "" {
		own["Content-Type"] = nil
	}
	if length >= 0 {
		own.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	requestContext.writer.WriteHeader(status)
}

// deliver sends the buffered response to the caller, unless it was relayed.
func (attempts *attempts) deliver() {
	if attempts.delivered {
		return
	}
	attempts.writeHead(attempts.buffered.status, attempts.buffered.header, int64(len(attempts.buffered.body)))
	if err := attempts.requestContext.write(attempts.buffered.body); err != nil && !attempts.requestContext.callerLeft() {
		attempts.requestContext.edge.log.Warn().Str("requestId", attempts.requestContext.call.ID()).Err(err).Msg("caller does not read the response")
	}
}

// stream relays the events of a stream as they arrive, and never part of an
// event.
func (attempts *attempts) stream(response *backendlink.Response, markRead func()) request.Outcome {
	requestContext := attempts.requestContext
	reader := bufio.NewReader(response)
	var firstEvent clock.Millis
	for events := 0; ; events++ {
		attempts.hold.release()
		event, err := backendlink.ReadEvent(reader, attempts.hold.grow)
		if errors.Is(err, io.EOF) && events == 0 && attempts.retrier.ResponseStarted() {
			// It doesn't show that the events before it were all.
			return attempts.rejectContinuation(requestContext.choice.Server(), response)
		}
		if errors.Is(err, io.EOF) {
			attempts.speed().ObserveStream(firstEvent, requestContext.edge.clock.Now()-attempts.sentAt, events)
			if !attempts.retrier.ResponseStarted() {
				attempts.writeHead(response.Status(), response.Header(), -1)
			}
			attempts.delivered = true
			if events == 0 {
				attempts.beganAt = 0
			}
			return request.OutcomeAnswered
		}
		if err != nil {
			attempts.recordCrash(requestContext.choice.Server(), err, events)
			return attempts.handleStreamError(err)
		}
		markRead()
		if events == 0 {
			attempts.beganAt = requestContext.edge.clock.Now()
			firstEvent = requestContext.edge.clock.Now() - attempts.sentAt
			attempts.speed().ObserveBeginning(requestContext.choice.Wait(), firstEvent)
			if attempts.lastEvent == "" {
				attempts.observeTime(requestContext.edge.placement.ObserveFirstEvent, firstEvent)
			}
		}
		if !attempts.retrier.ResponseStarted() {
			requestContext.countRun()
			requestContext.recordFirstEvent()
			attempts.recordBeginning(requestContext.choice.Server())
			attempts.writeHead(response.Status(), response.Header(), -1)
		}
		if err := attempts.writeEvent(event); err != nil {
			return request.OutcomeCut
		}
	}
}

// handleStreamError handles a stream that broke off.
func (attempts *attempts) handleStreamError(err error) request.Outcome {
	attempts.logBroken(err, "stream broke off")
	if !attempts.retrier.ResponseStarted() {
		return request.OutcomeLost
	}
	return request.OutcomeCut
}

func (attempts *attempts) writeEvent(event []byte) error {
	requestContext := attempts.requestContext
	if id, ok := backendlink.EventID(event); ok {
		attempts.lastEvent = id
	}
	if err := requestContext.write(event); err != nil {
		return err
	}
	return errors.Wrap(http.NewResponseController(requestContext.writer).Flush(), "flush an event")
}

// write sends a part of the response to the caller, who may leave it unread for
// writeTimeout: callerlink.Guard sets the deadline for each write to the connection.
func (requestContext *requestContext) write(part []byte) error {
	_, err := requestContext.writer.Write(part)
	return errors.Wrap(err, "write a part of the response")
}
