package faultmatrix

import (
	"context"
	"fmt"
	"strings"
	"sync"

	"github.com/pkg/errors"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/pool"
	"sapphirehead/internal/request"
	"sapphirehead/internal/route"
	"sapphirehead/internal/service"
	"sapphirehead/internal/table"
)

// Names of routes.
const (
	routeDesk     = "desk"
	routeBookings = "bookings"
	routeStatus   = "booking-status"
)

// Sizes and limits of the scenario.
const (
	// minHosts is the number of runners that the stewards keep.
	minHosts = 4
	// concurrentCallers send the same key; concurrentChats are sent at the same time.
	concurrentCallers = 2
	concurrentChats   = 4
	// stepTimeout bounds the wait for a step of a background loop.
	stepTimeout  = 8 * clock.Second
	pollInterval = 20 * clock.Millisecond
	// convergeTimeout bounds the time until the system has converged.
	convergeTimeout = 40 * clock.Second
	// activeTimeout bounds the time until an edit is active at every node.
	activeTimeout = 4 * clock.Second
	maxAttempts   = 40
	// maxEditAttempts bounds the attempts at an edit; together they outlast the faults.
	maxEditAttempts = 2000
	retryDelay      = 100 * clock.Millisecond
	// attemptTimeout is how long a caller waits before it gives a connection up.
	attemptTimeout  = 15 * clock.Second
	chatDeadline    = 30 * clock.Second
	serviceDeadline = 3 * clock.Second
)

// systemPrompt begins every prompt, and is long enough to fill some blocks of a
// prefix cache.
var systemPrompt = strings.Repeat("You read logs of bake cycles and draft cleaning reports for garages. ", 6)

func initialModels() []pool.Model { return []pool.Model{pool.NewModel(modelName, initialVersion)} }

// initialTables returns the tables that are stored before the first round.
func initialTables() *table.Tables {
	routes := []route.Route{
		route.New(routeDesk, route.KindChat, poolRunners).WithModel(modelName).WithTargets(route.DefaultFirstToken, route.DefaultBetweenTokens, chatDeadline),
		route.New(routeBookings, route.KindService, poolBooking).WithPath("/bookings").WithNonIdempotent(true).
			WithTargets(route.DefaultFirstToken, route.DefaultBetweenTokens, serviceDeadline),
		route.New(routeStatus, route.KindService, poolBooking).WithPath("/status").
			WithTargets(route.DefaultFirstToken, route.DefaultBetweenTokens, serviceDeadline),
	}
	pools := []pool.Pool{
		pool.New(poolRunners, pool.KindRunner).WithHosts(hostClass, minHosts, 8).WithModels(initialModels()...),
		pool.New(poolBooking, pool.KindService).WithHosts("plain", 2, 2),
	}
	return table.New(1, routes, pools, []string{"edit-first"})
}

// Run runs the scenario's two rounds, the first with the faults injected at the
// step, the second without. It returns the violations.
func Run(clock *clock.Clock, seed uint64, step Step, faults ...Fault) []string {
	simulation := newSimulation(clock, seed)
	defer simulation.close()
	simulation.onArmedStep = func(passed Step, involved participants) {
		if passed != step {
			return
		}
		for _, fault := range faults {
			simulation.injectFault(fault, involved)
		}
	}
	simulation.start()
	simulation.runRound(1)
	if !simulation.passed(step) {
		simulation.withOracle(func(oracle *oracle) { oracle.addViolation("scenario: step %s was not passed", step) })
	}
	simulation.waitUntil(stepTimeout, func() bool { return simulation.pausedStewards.Load() == 0 })
	simulation.endFaults()
	simulation.waitUntil(convergeTimeout, func() bool { return simulation.pendingEdits.Load() == 0 })
	simulation.expectConverged("after the faults", convergeTimeout)
	simulation.onArmedStep = func(Step, participants) {}
	simulation.runRound(2)
	if !simulation.waitUntil(convergeTimeout, func() bool { return simulation.pendingEdits.Load() == 0 }) {
		simulation.withOracle(func(oracle *oracle) { oracle.addViolation("edit: an edit is neither accepted nor refused at the end") })
	}
	simulation.expectConverged("at the end", convergeTimeout)
	simulation.checkStoredEdits()
	simulation.oracle.mutex.Lock()
	defer simulation.oracle.mutex.Unlock()
	return simulation.oracle.violations
}

// start stores the initial tables and waits until all nodes use them.
func (simulation *simulation) start() {
	ctx := context.Background()
	if err := commitTables(ctx, simulation.store, initialTables()); err != nil {
		simulation.withOracle(func(oracle *oracle) { oracle.addViolation("scenario: %v", err) })
	}
	simulation.expectConverged("at the beginning", convergeTimeout)
}

// runRound passes through every step once.
func (simulation *simulation) runRound(number int) {
	simulation.arm(StepBoot)
	booted := simulation.addNode(fmt.Sprintf("entry-new-%d", number), "lj-a")
	simulation.passStep(StepBoot, participants{node: booted})
	simulation.arm(StepEdit, StepSpread, StepRenew, StepOrder)
	simulation.editRunners(number)
	simulation.waitUntil(stepTimeout, func() bool {
		return simulation.runnersEdited(number) && simulation.passed(StepSpread) && simulation.passed(StepRenew) && simulation.passed(StepOrder)
	})
	simulation.arm(StepAccept, StepClaim, StepChoose, StepConnect, StepSend, StepRecord)
	simulation.sendBookings(number)
	simulation.sendInvoice(number)
	simulation.arm(StepFirstToken, StepMidStream, StepFinish)
	simulation.sendChats("report", number)
	simulation.arm(StepHandOver)
	simulation.sendChat(fmt.Sprintf("history-%d", number), number+1, true)
	simulation.clock.Wait(context.Background(), leavingBound+retryDelay)
	simulation.sendChats("advice", number)
}

// sendBookings sends one key from two callers at the same time, as a caller does
// that repeats a call while it still waits for the response.
func (simulation *simulation) sendBookings(number int) {
	simulation.runConcurrently(concurrentCallers, func(caller int) {
		simulation.sendBooking(fmt.Sprintf("key-%d", number), fmt.Sprintf("key-%d/%d", number, caller), number+caller)
	})
}

// sendChats sends several chats at the same time, spread over the ready nodes.
func (simulation *simulation) sendChats(name string, number int) {
	simulation.runConcurrently(concurrentChats, func(caller int) {
		simulation.sendChat(fmt.Sprintf("%s-%d-%d", name, number, caller), number+caller, false)
	})
}

// runConcurrently runs the function for several callers and waits for all.
func (simulation *simulation) runConcurrently(callers int, run func(caller int)) {
	var group sync.WaitGroup
	for caller := range callers {
		group.Go(func() { run(caller) })
	}
	group.Wait()
}

// waitUntil polls until the condition holds, and reports whether it held in time.
func (simulation *simulation) waitUntil(limit clock.Millis, holds func() bool) bool {
	until := simulation.clock.Now() + limit
	for !holds() {
		if simulation.clock.Now() >= until {
			return false
		}
		simulation.clock.Wait(context.Background(), pollInterval)
	}
	return true
}

// editRunners gives the runners' pool another adapter, so that the steward has to
// order the runners to load it.
func (simulation *simulation) editRunners(number int) {
	node := simulation.pickNode(number)
	simulation.group.Go(func() {
		simulation.commitEdit(node, fmt.Sprintf("edit-%d", number), poolRunners, func(stored *table.Tables, edit *table.Edit) {
			runners, _ := stored.Pool(poolRunners)
			edit.SetPool(runners.WithModels(pool.NewModel(modelName, initialVersion, fmt.Sprintf("bench-%d", number))), runners.Revision())
		})
	})
}

// runnersEdited reports whether the round's edit of the runners' pool was accepted.
func (simulation *simulation) runnersEdited(number int) bool {
	simulation.oracle.mutex.Lock()
	defer simulation.oracle.mutex.Unlock()
	return simulation.oracle.acceptedEdits[poolRunners] >= number
}

// incrementWorth adds one to the worth of a route.
func (simulation *simulation) incrementWorth(node *entryNode, id, routeName string) {
	simulation.commitEdit(node, id, routeName, func(stored *table.Tables, edit *table.Edit) {
		current, _ := stored.Route(routeName)
		edit.SetRoute(current.WithWorth(current.Worth()+1), current.Revision())
	})
}

// commitEdit sends an edit to one node after another until it is accepted. After a
// conflict it builds the edit again from the node's active tables.
func (simulation *simulation) commitEdit(node *entryNode, id, name string, change func(stored *table.Tables, edit *table.Edit)) {
	simulation.pendingEdits.Add(1)
	defer simulation.pendingEdits.Add(-1)
	var edit *table.Edit
	for attempt := range maxEditAttempts {
		if simulation.ended.Load() {
			return
		}
		if attempt > 0 {
			node = simulation.pickNode(attempt)
		}
		if edit == nil {
			stored := node.active.Current()
			if stored.Version() == 0 {
				simulation.clock.Wait(node.ctx, retryDelay)
				continue
			}
			edit = table.NewEdit(id)
			change(stored, edit)
		}
		_, err := node.tables.Commit(node.ctx, edit)
		if err == nil {
			simulation.withOracle(func(oracle *oracle) { oracle.acceptedEdits[name]++ })
			return
		}
		var conflict *table.ConflictError
		if errors.As(err, &conflict) {
			edit = nil
		}
		simulation.clock.Wait(context.Background(), retryDelay)
	}
	simulation.withOracle(func(oracle *oracle) { oracle.addViolation("edit: %s was neither accepted nor refused", id) })
}

// pickNode returns a live node that is ready, and waits until there is one.
func (simulation *simulation) pickNode(number int) *entryNode {
	for !simulation.ended.Load() {
		var ready []*entryNode
		for _, node := range simulation.liveNodes() {
			if node.ready() {
				ready = append(ready, node)
			}
		}
		if len(ready) > 0 {
			return ready[number%len(ready)]
		}
		simulation.clock.Wait(context.Background(), pollInterval)
	}
	return simulation.nodes[0]
}

func (simulation *simulation) newRequest(node *entryNode, id, routeName, key, content string) *request.Request {
	target, _ := node.active.Current().Route(routeName)
	prompt := request.NewPrompt(target.Model(), []request.Message{request.NewMessage("system", systemPrompt), request.NewMessage("user", content)}, 0, 1)
	return request.New(id, "garage-north", target, key, prompt, simulation.clock.Now())
}

// admit asks the node to admit a request. The function release is nil if the node
// refuses it.
func (simulation *simulation) admit(node *entryNode, id string) (release func()) {
	simulation.passStep(StepAccept, participants{node: node})
	if node.awaitRunning(node.ctx) != nil {
		return nil
	}
	release, err := node.admission.Admit(node.account)
	if err != nil {
		simulation.withOracle(func(oracle *oracle) { oracle.recordNotRun(id) })
		return nil
	}
	return release
}

// sendBooking sends a call with side effects and a key until it gets a response, and
// then until it gets the response again. It gives up if the outcome stays unknown.
func (simulation *simulation) sendBooking(key, id string, number int) {
	body := "truck of " + key
	settled := false
	for attempt := range maxAttempts {
		node := simulation.pickNode(number + attempt)
		answer, err := simulation.callService(node, fmt.Sprintf("%s/%d", id, attempt), routeBookings, key, body)
		if err == nil {
			simulation.withOracle(func(oracle *oracle) { oracle.recordResponse(key, string(answer.Body())) })
			if settled || attempt > maxAttempts/2 {
				return
			}
			settled = true
			continue
		}
		var unknown *request.OutcomeUnknownError
		if errors.As(err, &unknown) && (settled || attempt > maxAttempts/4) {
			return
		}
		simulation.clock.Wait(context.Background(), retryDelay)
	}
}

// sendInvoice sends a call with side effects once, without a key.
func (simulation *simulation) sendInvoice(number int) {
	id := fmt.Sprintf("invoice-%d", number)
	_, _ = simulation.callService(simulation.pickNode(number), id, routeBookings, "", id)
}

// callService makes one call to a service and records whether the caller was
// answered that it did not run.
func (simulation *simulation) callService(node *entryNode, id, routeName, key, body string) (service.Answer, error) {
	release := simulation.admit(node, id)
	if release == nil {
		return service.Answer{}, errNotRun
	}
	defer release()
	to := simulation.newRequest(node, id, routeName, key, body)
	answer, err := node.driver.Call(node.ctx, to, service.NewCall("POST", "/bookings", "text/plain", []byte(body)))
	node.endClaim(to, err)
	if !node.alive() {
		return service.Answer{}, errDead
	}
	var notRun *request.NotRunError
	if errors.As(err, &notRun) {
		simulation.withOracle(func(oracle *oracle) { oracle.recordNotRun(id) })
	}
	return answer, err
}

// callerState is what the caller of a chat has received.
type callerState struct {
	id     string
	tokens []string
}

// sendChat sends a streamed chat until the response is complete. After an error that
// the contract allows, the caller resumes at another node after the tokens it has
// received. With stop, its first node is stopped in mid-stream.
func (simulation *simulation) sendChat(content string, number int, stop bool) {
	received := &callerState{}
	for attempt := range maxAttempts {
		node := simulation.pickNode(number + attempt)
		if received.id == "" || len(received.tokens) == 0 {
			received.id = fmt.Sprintf("%s/%d", content, attempt)
		}
		if simulation.attemptChat(node, content, received, stop && attempt == 0) {
			if got, expected := strings.Join(received.tokens, ""), strings.Join(expectedTokens(content), ""); got != expected {
				simulation.withOracle(func(oracle *oracle) { oracle.addViolation("answer: %s got %q", content, got) })
			}
			return
		}
		simulation.clock.Wait(context.Background(), retryDelay)
	}
	simulation.withOracle(func(oracle *oracle) { oracle.addViolation("lost: %s got no complete response", content) })
}

// attemptChat makes one attempt and reports whether the response is complete.
func (simulation *simulation) attemptChat(node *entryNode, content string, received *callerState, stop bool) bool {
	ctx, cancel := simulation.clock.WithTimeout(node.ctx, attemptTimeout)
	defer cancel()
	response, found := node.responses.Find(received.id)
	if found {
		_, err := response.Journal().State().Finished()
		found = err == nil
	}
	if !found {
		release := simulation.admit(node, received.id)
		if release == nil {
			return false
		}
		defer release()
		to := simulation.newRequest(node, received.id, routeDesk, "", content).WithStreamed(true).WithDelivered(len(received.tokens))
		response = node.responses.Begin(to)
	}
	err := response.Follow(ctx, len(received.tokens), func(offset int, tokens []string) error {
		if !node.alive() {
			return errDead
		}
		if offset != len(received.tokens) {
			simulation.withOracle(func(oracle *oracle) {
				oracle.addViolation("answer: %s got offset %d after %d", received.id, offset, len(received.tokens))
			})
		}
		received.tokens = append(received.tokens, tokens...)
		if stop && len(received.tokens) >= midToken {
			node.stop()
		}
		return nil
	})
	var notRun *request.NotRunError
	if errors.As(err, &notRun) && node.alive() {
		simulation.withOracle(func(oracle *oracle) { oracle.recordNotRun(received.id) })
		received.id, received.tokens = "", nil
	}
	return err == nil && node.alive()
}

// divergence describes the first difference from the state that the system must
// reach after all faults have ended. It returns an empty text if there is none.
func (simulation *simulation) divergence() string {
	stored := simulation.loadTables()
	if stored == nil {
		return "no tables are stored"
	}
	runners, _ := stored.Pool(poolRunners)
	for _, node := range simulation.liveNodes() {
		if node.active.Current().Version() != stored.Version() {
			return fmt.Sprintf("%s uses version %d of the tables, the stored version is %d", node.name, node.active.Current().Version(), stored.Version())
		}
		for _, host := range simulation.allHosts() {
			server := node.fleet.Current().Server(host.id)
			if host.alive() && server == nil {
				return fmt.Sprintf("%s does not list %s", node.name, host.id)
			}
			if host.leaving() >= 0 && server != nil && !server.Leaving() {
				return fmt.Sprintf("%s has not recorded that %s is leaving", node.name, host.id)
			}
		}
	}
	live := 0
	for _, host := range simulation.allHosts() {
		if host.pool != poolRunners || !host.alive() || host.leaving() >= 0 {
			continue
		}
		live++
		if !host.servesExactly(runners.Models()) {
			return host.id + " does not serve exactly the wanted models"
		}
	}
	if live < minHosts {
		return fmt.Sprintf("%d runners live, %d are wanted", live, minHosts)
	}
	return ""
}

func (simulation *simulation) expectConverged(when string, limit clock.Millis) {
	if !simulation.waitUntil(limit, func() bool { return simulation.divergence() == "" }) {
		simulation.withOracle(func(oracle *oracle) { oracle.addViolation("not converged %s: %s", when, simulation.divergence()) })
	}
}

// checkStoredEdits checks that every accepted edit is in the stored tables.
func (simulation *simulation) checkStoredEdits() {
	stored := simulation.loadTables()
	simulation.withOracle(func(oracle *oracle) {
		for _, name := range []string{routeDesk, routeStatus} {
			edited, _ := stored.Route(name)
			if expected := route.DefaultWorth + float64(oracle.acceptedEdits[name]); edited.Worth() != expected {
				oracle.addViolation("reverted: %s has worth %g, the accepted edits make %g", name, edited.Worth(), expected)
			}
		}
		runners, _ := stored.Pool(poolRunners)
		if adapters := runners.Models()[0].Adapters(); len(adapters) != 1 || adapters[0] != "bench-2" {
			oracle.addViolation("reverted: the pool has adapters %v", adapters)
		}
	})
}
