package measure

import (
	"fmt"

	"github.com/pkg/errors"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/caller"
	"sapphirehead/internal/request"
	"sapphirehead/internal/route"
	"sapphirehead/internal/runner"
)

// singleToken is the token of which all responses consist.
var singleToken = []string{"t"}

// node is an entry host with its own view of the backend servers and its own
// decisions.
type node struct {
	run        *run
	name       string
	dataCentre string
	fleet      *backend.Fleet
	accounts   []*caller.Account
	decisions  decisions
}

func newNode(run *run, name, dataCentre string, policy Policy) *node {
	node := &node{run: run, name: name, dataCentre: dataCentre, fleet: backend.NewFleet()}
	var list []backend.Listing
	for _, engine := range run.engines {
		list = append(list, backend.NewListing(backend.NewServer(engine.id, engine.id+":1", engine.dataCentre, engine.class, runnerPool), false))
	}
	for _, service := range run.services {
		list = append(list, backend.NewListing(backend.NewServer(service.id, service.id+":1", service.dataCentre, "cpu-small", servicePool), false))
	}
	node.fleet.Update(list)
	for i := range run.deployment.accounts {
		node.accounts = append(node.accounts, caller.NewAccount(fmt.Sprintf("account-%d", i+1), 0))
	}
	node.decisions = policy.build(node)
	return node
}

func (node *node) latency(dataCentre string) micros {
	if dataCentre == node.dataCentre {
		return node.run.deployment.oneWayLatency / 5
	}
	return node.run.deployment.oneWayLatency
}

// call is a request in progress at a node.
type call struct {
	node       *node
	arrival    arrival
	req        *request.Request
	flow       *request.Flow
	chain      runner.Chain
	attempt    request.Attempt
	endAttempt func()
	release    func()
	engine     *engine
	job        *job
	firstToken micros
	lastToken  micros
	sentAt     micros
	ended      bool
	movedFrom  int
	estimate   runner.Estimate
}

// offset returns the number of tokens that the caller has received.
func (call *call) offset() int { return len(call.flow.Tokens()) }

// start admits a request and runs it.
func (node *node) start(arrival arrival) {
	run := node.run
	run.serial++
	req := request.New(fmt.Sprintf("req-%d", run.serial), node.accounts[arrival.account].Name(), arrival.kind.route,
		keyOf(arrival, run.serial), request.NewPrompt(arrival.kind.route.Model(), nil, arrival.kind.responseTokens, 0), run.clock.Now())
	blocks := chainOf(arrival.segments)
	created := &call{node: node, arrival: arrival, req: req, chain: runner.NewChain(blocks, len(blocks)*runner.BlockTokens)}
	run.result.offered(created)
	release, err := node.decisions.admit(created)
	if err != nil {
		run.result.refused(created)
		return
	}
	created.release = release
	choose := func(_ *request.Request, exclude []string) (*backend.Server, bool) {
		return node.decisions.choose(created, exclude)
	}
	created.flow = request.NewFlow(req, run.clock, choose, func(*request.Request) bool { return node.decisions.retry(created) })
	run.openCalls[created] = true
	run.timeline.after(microsOf(arrival.kind.route.Deadline()), func() { created.handle(created.flow.Expire()) })
	created.handle(created.flow.Start())
}

func keyOf(arrival arrival, serial int) string {
	if !arrival.kind.route.NonIdempotent() {
		return ""
	}
	return fmt.Sprintf("key-%d", serial)
}

// handle executes an action of the flow.
func (call *call) handle(action request.Action) {
	if call.ended {
		return
	}
	switch action.Kind() {
	case request.ActionClaim:
		call.node.run.timeline.after(4*microsPerMilli, func() { call.handle(call.flow.Claimed(request.ClaimGranted)) })
	case request.ActionAttempt:
		call.startAttempt(action.Attempt())
	case request.ActionFinish:
		call.finish(nil)
	case request.ActionFail:
		call.finish(action.Err())
	default:
	}
}

func (call *call) startAttempt(attempt request.Attempt) {
	call.dropAttempt()
	call.attempt = attempt
	call.endAttempt = attempt.Server().Begin()
	call.sentAt = call.node.run.timeline.now
	run := call.node.run
	if call.arrival.kind.route.Kind() == route.KindService {
		service := run.serviceByID[attempt.Server().ID()]
		run.timeline.after(call.node.latency(service.dataCentre), func() { service.receive(call, attempt.Number()) })
		return
	}
	engine := run.engineByID[attempt.Server().ID()]
	latency := call.node.latency(engine.dataCentre)
	if attempt.Mode() == request.AttemptTransfer {
		latency += call.transferTime(attempt)
	}
	run.timeline.after(latency, func() { call.handleArrival(engine, attempt) })
}

// handleArrival handles the request's arrival at a runner.
func (call *call) handleArrival(engine *engine, attempt request.Attempt) {
	if call.ended || call.attempt.Number() != attempt.Number() {
		return
	}
	returnLatency := call.node.latency(engine.dataCentre)
	after := call.node.run.timeline.after
	switch {
	case !engine.alive:
		after(returnLatency, func() { call.attemptFailed(attempt, request.CauseNotSent) })
	case attempt.Mode() == request.AttemptResume:
		after(returnLatency, func() { call.attemptFailed(attempt, request.CauseGone) })
	case engine.leaving:
		after(returnLatency, func() {
			call.node.fleet.MarkLeaving(engine.id)
			call.attemptFailed(attempt, request.CauseRefused)
		})
	default:
		call.engine = engine
		call.job = call.newJob(attempt)
		engine.enqueue(call.job)
		after(returnLatency, func() {
			engine.reportLoad(attempt.Server())
			call.flow.Sent(attempt.Number())
			call.flow.Stream(attempt.Number(), "stream")
		})
	}
}

func (call *call) newJob(attempt request.Attempt) *job {
	blocks := call.chain.Blocks()
	tail := 0
	if attempt.Offset() > 0 {
		segments := append(append([]segment{}, call.arrival.segments...), segment{source: call.arrival.source, blocks: attempt.Offset() / runner.BlockTokens})
		blocks, tail = chainOf(segments), attempt.Offset()%runner.BlockTokens
	}
	imported := attempt.Mode() == request.AttemptTransfer
	return &job{
		call: call, attempt: attempt.Number(), blocks: blocks, tailTokens: tail, responseTokens: call.arrival.responseTokens - attempt.Offset(),
		priority: call.node.decisions.priority(call), imported: imported,
	}
}

// responseBlocks returns the blocks of prompt and response.
func (call *call) responseBlocks() []uint64 {
	response := segment{source: call.arrival.source, blocks: call.arrival.responseTokens / runner.BlockTokens}
	return chainOf(append(append([]segment{}, call.arrival.segments...), response))
}

// handleToken handles one generated token. Its time is that of its arrival at
// the node.
func (call *call) handleToken(engine *engine, from *job) {
	if call.ended || call.job != from {
		return
	}
	arrivedAt := call.node.run.timeline.now + call.node.latency(engine.dataCentre)
	if call.firstToken == 0 {
		call.firstToken = arrivedAt
		call.node.run.result.firstToken(call, arrivedAt-call.arrival.time)
	} else {
		call.node.run.result.gap(arrivedAt - call.lastToken)
	}
	if from.decodedTokens == 1 {
		call.node.decisions.firstToken(call, from)
	}
	call.lastToken = arrivedAt
	number, offset := from.attempt, len(call.flow.Tokens())
	if _, action := call.flow.Chunk(number, offset, singleToken); action.Kind() == request.ActionFail {
		call.handle(action)
		return
	}
	if from.decodedTokens == from.responseTokens {
		call.node.run.timeline.after(call.node.latency(engine.dataCentre), func() {
			engine.reportLoad(call.attempt.Server())
			call.handle(call.flow.Ended(number, call.arrival.responseTokens))
		})
	}
}

// connectionLost handles the loss of the connection to a runner that died.
func (call *call) connectionLost(engine *engine, from *job) {
	attempt := call.attempt
	if call.ended || call.job != from {
		return
	}
	call.node.run.timeline.after(call.node.latency(engine.dataCentre), func() { call.attemptFailed(attempt, request.CauseCut) })
}

func (call *call) attemptFailed(attempt request.Attempt, cause request.Cause) {
	if call.ended || call.attempt.Number() != attempt.Number() {
		return
	}
	call.node.decisions.attemptEnded(call, attempt.Server(), cause)
	call.handle(call.flow.Broken(attempt.Number(), cause))
	if previous := call.movedFrom; previous != 0 && !call.ended {
		call.movedFrom = 0
		call.handle(call.flow.Broken(previous, request.CauseCut))
	}
}

func (call *call) dropAttempt() {
	if call.endAttempt != nil {
		call.endAttempt()
		call.endAttempt = nil
	}
	if call.job != nil {
		call.job.dropped = true
		call.job = nil
	}
}

func (call *call) finish(err error) {
	call.ended = true
	delete(call.node.run.openCalls, call)
	call.dropAttempt()
	call.release()
	var notRun *request.NotRunError
	switch {
	case err == nil:
		call.node.decisions.attemptEnded(call, call.attempt.Server(), 0)
		call.node.run.result.completed(call, call.node.run.timeline.now)
	case errors.As(err, &notRun):
		call.node.run.result.refused(call)
	default:
		call.node.run.result.lost(call)
	}
}
