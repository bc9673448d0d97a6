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
	rowDesk     = "desk"
	rowBookings = "bookings"
	rowStatus   = "booking-status"
)

// Bounds of the scenario.
const (
	// minHosts is the number of runners that the stewards keep.
	minHosts = 4
	// callersAtOnce send the same key, chatsAtOnce a chat each.
	callersAtOnce = 2
	chatsAtOnce   = 4
	// stepWait bounds the wait for a step of a background loop.
	stepWait = 8 * clock.Second
	pollWait = 20 * clock.Millisecond
	// settleWait bounds the time until everything has converged after faults.
	settleWait = 40 * clock.Second
	// inForceWait is the time in which an edit is in force everywhere.
	inForceWait = 4 * clock.Second
	maxTries    = 40
	// maxEditTries bounds the tries of an edit; they outlast the faults.
	maxEditTries = 2000
	tryWait      = 100 * clock.Millisecond
	// tryTimeout is when a caller gives a connection up.
	tryTimeout      = 15 * clock.Second
	chatDeadline    = 30 * clock.Second
	serviceDeadline = 3 * clock.Second
)

// instructions begin every prompt, and fill some blocks of a prefix cache.
var instructions = strings.Repeat("You read logs of bake cycles and draft cleaning reports for garages. ", 6)

func firstModels() []pool.Model { return []pool.Model{pool.NewModel(modelName, firstVersion)} }

// firstTables are the tables at the beginning.
func firstTables() *table.Tables {
	routes := []route.Route{
		route.New(rowDesk, route.KindChat, poolRunners).WithModel(modelName).WithTargets(route.DefaultFirstToken, route.DefaultBetweenTokens, chatDeadline),
		route.New(rowBookings, route.KindService, poolBooking).WithPath("/bookings").WithNonIdempotent(true).
			WithTargets(route.DefaultFirstToken, route.DefaultBetweenTokens, serviceDeadline),
		route.New(rowStatus, route.KindService, poolBooking).WithPath("/status").
			WithTargets(route.DefaultFirstToken, route.DefaultBetweenTokens, serviceDeadline),
	}
	pools := []pool.Pool{
		pool.New(poolRunners, pool.KindRunner).WithHosts(hostClass, minHosts, 8).WithModels(firstModels()...),
		pool.New(poolBooking, pool.KindService).WithHosts("plain", 2, 2),
	}
	return table.New(1, routes, pools, []string{"edit-first"})
}

// Run passes through every step twice: first with the faults coming at the
// step, then without. It returns what was violated.
func Run(clock *clock.Clock, seed uint64, step Step, faults ...Fault) []string {
	world := newWorld(clock, seed)
	defer world.close()
	world.inject = func(passed Step, at moment) {
		if passed != step {
			return
		}
		for _, fault := range faults {
			world.strike(fault, at)
		}
	}
	world.begin()
	world.round(1)
	if !world.passed(step) {
		world.check(func(tally *tally) { tally.violate("scenario: step %s was not passed", step) })
	}
	world.await(stepWait, func() bool { return world.pauses.Load() == 0 })
	world.heal()
	world.await(settleWait, func() bool { return world.edits.Load() == 0 })
	world.settle("after the faults", settleWait)
	world.inject = func(Step, moment) {}
	world.round(2)
	if !world.await(settleWait, func() bool { return world.edits.Load() == 0 }) {
		world.check(func(tally *tally) { tally.violate("edit: one is neither accepted nor refused at the end") })
	}
	world.settle("at the end", settleWait)
	world.verdict()
	world.tally.mutex.Lock()
	defer world.tally.mutex.Unlock()
	return world.tally.violations
}

// begin stores the first tables and waits until all nodes are ready.
func (world *world) begin() {
	ctx := context.Background()
	if err := storeTables(ctx, world.store, firstTables()); err != nil {
		world.check(func(tally *tally) { tally.violate("scenario: %v", err) })
	}
	world.settle("at the beginning", settleWait)
}

// round passes through every step once.
func (world *world) round(number int) {
	world.arm(StepBoot)
	booted := world.addNode(fmt.Sprintf("entry-new-%d", number), "lj-a")
	world.at(StepBoot, moment{node: booted})
	world.arm(StepEdit, StepSpread, StepRenew, StepOrder)
	world.edit(number)
	world.await(stepWait, func() bool {
		return world.edited(number) && world.passed(StepSpread) && world.passed(StepRenew) && world.passed(StepOrder)
	})
	world.arm(StepAccept, StepClaim, StepChoose, StepConnect, StepSend, StepRecord)
	world.bookings(number)
	world.invoice(number)
	world.arm(StepFirstToken, StepMidStream, StepFinish)
	world.chats("report", number)
	world.arm(StepHandOver)
	world.chat(fmt.Sprintf("history-%d", number), number+1, true)
	world.clock.Wait(context.Background(), leavingBound+tryWait)
	world.chats("advice", number)
}

// bookings sends one key from two callers at the same time, as a caller does
// that repeats a call whose answer it still waits for.
func (world *world) bookings(number int) {
	world.together(callersAtOnce, func(caller int) {
		world.book(fmt.Sprintf("key-%d", number), fmt.Sprintf("key-%d/%d", number, caller), number+caller)
	})
}

// chats sends a chat through each of several nodes at the same time.
func (world *world) chats(name string, number int) {
	world.together(chatsAtOnce, func(caller int) {
		world.chat(fmt.Sprintf("%s-%d-%d", name, number, caller), number+caller, false)
	})
}

// together runs the function for several callers and waits for all.
func (world *world) together(callers int, run func(caller int)) {
	var group sync.WaitGroup
	for caller := range callers {
		group.Go(func() { run(caller) })
	}
	group.Wait()
}

// await polls until the condition holds, and reports whether it did in time.
func (world *world) await(limit clock.Millis, holds func() bool) bool {
	until := world.clock.Now() + limit
	for !holds() {
		if world.clock.Now() >= until {
			return false
		}
		world.clock.Wait(context.Background(), pollWait)
	}
	return true
}

// edit gives the runners' pool another adapter, so that they have to be ordered
// to load it.
func (world *world) edit(number int) {
	node := world.pick(number)
	world.group.Go(func() {
		world.commit(node, fmt.Sprintf("edit-%d", number), poolRunners, func(stored *table.Tables, edit *table.Edit) {
			row, _ := stored.Pool(poolRunners)
			edit.SetPool(row.WithModels(pool.NewModel(modelName, firstVersion, fmt.Sprintf("bench-%d", number))), row.Revision())
		})
	})
}

// edited reports whether the edit of the round was accepted.
func (world *world) edited(number int) bool {
	world.tally.mutex.Lock()
	defer world.tally.mutex.Unlock()
	return world.tally.accepted[poolRunners] >= number
}

// increment adds one to the worth of a route.
func (world *world) increment(node *entryNode, id, row string) {
	world.commit(node, id, row, func(stored *table.Tables, edit *table.Edit) {
		known, _ := stored.Route(row)
		edit.SetRoute(known.WithWorth(known.Worth()+1), known.Revision())
	})
}

// commit tries an edit at one node after another until it is accepted. It is
// made anew after a conflict.
func (world *world) commit(node *entryNode, id, row string, change func(stored *table.Tables, edit *table.Edit)) {
	world.edits.Add(1)
	defer world.edits.Add(-1)
	var edit *table.Edit
	for try := range maxEditTries {
		if world.ended.Load() {
			return
		}
		if try > 0 {
			node = world.pick(try)
		}
		if edit == nil {
			stored := node.active.Current()
			if stored.Version() == 0 {
				world.clock.Wait(node.life, tryWait)
				continue
			}
			edit = table.NewEdit(id)
			change(stored, edit)
		}
		_, err := node.tables.Commit(node.life, edit)
		if err == nil {
			world.check(func(tally *tally) { tally.accepted[row]++ })
			return
		}
		var conflict *table.ConflictError
		if errors.As(err, &conflict) {
			edit = nil
		}
		world.clock.Wait(context.Background(), tryWait)
	}
	world.check(func(tally *tally) { tally.violate("edit: %s was neither accepted nor refused", id) })
}

// pick returns a live node.
func (world *world) pick(number int) *entryNode {
	for !world.ended.Load() {
		var ready []*entryNode
		for _, node := range world.liveNodes() {
			if node.ready() {
				ready = append(ready, node)
			}
		}
		if len(ready) > 0 {
			return ready[number%len(ready)]
		}
		world.clock.Wait(context.Background(), pollWait)
	}
	return world.nodes[0]
}

func (world *world) newRequest(node *entryNode, id, row, key, content string) *request.Request {
	on, _ := node.active.Current().Route(row)
	prompt := request.NewPrompt(on.Model(), []request.Message{request.NewMessage("system", instructions), request.NewMessage("user", content)}, 0, 1)
	return request.New(id, "garage-north", on, key, prompt, world.clock.Now())
}

// accept asks the node to take a request. The function release is nil if it
// refuses.
func (world *world) accept(node *entryNode, id string) (release func()) {
	world.at(StepAccept, moment{node: node})
	if node.gate(node.life) != nil {
		return nil
	}
	release, err := node.admission.Admit(node.account)
	if err != nil {
		world.check(func(tally *tally) { tally.saidNotRun(id) })
		return nil
	}
	return release
}

// book sends a call with side effects under a key until its answer is known,
// and then once more.
func (world *world) book(key, id string, number int) {
	body := "truck of " + key
	settled := false
	for try := range maxTries {
		node := world.pick(number + try)
		answer, err := world.send(node, fmt.Sprintf("%s/%d", id, try), rowBookings, key, body)
		if err == nil {
			world.check(func(tally *tally) { tally.answer(key, string(answer.Body())) })
			if settled || try > maxTries/2 {
				return
			}
			settled = true
			continue
		}
		var unknown *request.OutcomeUnknownError
		if errors.As(err, &unknown) && (settled || try > maxTries/4) {
			return
		}
		world.clock.Wait(context.Background(), tryWait)
	}
}

// invoice sends a call with side effects once, without a key.
func (world *world) invoice(number int) {
	id := fmt.Sprintf("invoice-%d", number)
	_, _ = world.send(world.pick(number), id, rowBookings, "", id)
}

// send makes one call to a service and notes what the caller is told.
func (world *world) send(node *entryNode, id, row, key, body string) (service.Answer, error) {
	release := world.accept(node, id)
	if release == nil {
		return service.Answer{}, errNotRun
	}
	defer release()
	to := world.newRequest(node, id, row, key, body)
	answer, err := node.driver.Call(node.life, to, service.NewCall("POST", "/bookings", "text/plain", []byte(body)))
	node.endClaim(to, err)
	if !node.alive() {
		return service.Answer{}, errDead
	}
	var notRun *request.NotRunError
	if errors.As(err, &notRun) {
		world.check(func(tally *tally) { tally.saidNotRun(id) })
	}
	return answer, err
}

// callerState is what the caller of a chat holds.
type callerState struct {
	id     string
	tokens []string
}

// chat sends a streamed chat until the answer is whole. After an error that the
// contract allows, the caller returns at another node with what it holds. With
// stop, its first node is stopped in mid-stream.
func (world *world) chat(content string, number int, stop bool) {
	held := &callerState{}
	for try := range maxTries {
		node := world.pick(number + try)
		if held.id == "" || len(held.tokens) == 0 {
			held.id = fmt.Sprintf("%s/%d", content, try)
		}
		if world.follow(node, content, held, stop && try == 0) {
			if got, expected := strings.Join(held.tokens, ""), strings.Join(expectedTokens(content), ""); got != expected {
				world.check(func(tally *tally) { tally.violate("answer: %s got %q", content, got) })
			}
			return
		}
		world.clock.Wait(context.Background(), tryWait)
	}
	world.check(func(tally *tally) { tally.violate("lost: %s got no whole answer", content) })
}

// follow makes one try and reports whether the answer is whole.
func (world *world) follow(node *entryNode, content string, held *callerState, stop bool) bool {
	ctx, cancel := world.clock.WithTimeout(node.life, tryTimeout)
	defer cancel()
	answer, found := node.responses.Find(held.id)
	if found {
		_, err := answer.Journal().State().Finished()
		found = err == nil
	}
	if !found {
		release := world.accept(node, held.id)
		if release == nil {
			return false
		}
		defer release()
		to := world.newRequest(node, held.id, rowDesk, "", content).WithStreamed(true).WithDelivered(len(held.tokens))
		answer = node.responses.Begin(to)
	}
	err := answer.Follow(ctx, len(held.tokens), func(offset int, tokens []string) error {
		if !node.alive() {
			return errDead
		}
		if offset != len(held.tokens) {
			world.check(func(tally *tally) {
				tally.violate("answer: %s got offset %d after %d", held.id, offset, len(held.tokens))
			})
		}
		held.tokens = append(held.tokens, tokens...)
		if stop && len(held.tokens) >= midToken {
			node.stop()
		}
		return nil
	})
	var notRun *request.NotRunError
	if errors.As(err, &notRun) && node.alive() {
		world.check(func(tally *tally) { tally.saidNotRun(held.id) })
		held.id, held.tokens = "", nil
	}
	return err == nil && node.alive()
}

// converged returns what is not as it must be once all faults have ended.
func (world *world) converged() string {
	stored := world.storedTables()
	if stored == nil {
		return "no tables are stored"
	}
	row, _ := stored.Pool(poolRunners)
	for _, node := range world.liveNodes() {
		if node.active.Current().Version() != stored.Version() {
			return fmt.Sprintf("%s has version %d in force, stored is %d", node.name, node.active.Current().Version(), stored.Version())
		}
		for _, host := range world.allHosts() {
			server := node.fleet.Current().Server(host.id)
			if host.alive() && server == nil {
				return fmt.Sprintf("%s does not list %s", node.name, host.id)
			}
			if host.leaving() >= 0 && server != nil && !server.Leaving() {
				return fmt.Sprintf("%s does not know that %s leaves", node.name, host.id)
			}
		}
	}
	live := 0
	for _, host := range world.allHosts() {
		if host.pool != poolRunners || !host.alive() || host.leaving() >= 0 {
			continue
		}
		live++
		if !host.fulfils(row.Models()) {
			return host.id + " is not in the wanted condition"
		}
	}
	if live < minHosts {
		return fmt.Sprintf("%d runners live, %d are wanted", live, minHosts)
	}
	return ""
}

func (world *world) settle(when string, limit clock.Millis) {
	if !world.await(limit, func() bool { return world.converged() == "" }) {
		world.check(func(tally *tally) { tally.violate("not converged %s: %s", when, world.converged()) })
	}
}

// verdict checks that every accepted edit is in the stored tables.
func (world *world) verdict() {
	stored := world.storedTables()
	world.check(func(tally *tally) {
		for _, name := range []string{rowDesk, rowStatus} {
			row, _ := stored.Route(name)
			if expected := route.DefaultWorth + float64(tally.accepted[name]); row.Worth() != expected {
				tally.violate("reverted: %s has worth %g, the accepted edits make %g", name, row.Worth(), expected)
			}
		}
		row, _ := stored.Pool(poolRunners)
		if adapters := row.Models()[0].Adapters(); len(adapters) != 1 || adapters[0] != "bench-2" {
			tally.violate("reverted: the pool has adapters %v", adapters)
		}
	})
}
