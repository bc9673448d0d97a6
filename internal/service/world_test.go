package service_test

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/platform"
	"sapphirehead/internal/request"
	"sapphirehead/internal/route"
	"sapphirehead/internal/service"
)

// fate is what a fault machine lets happen to one step of one node.
type fate int

const (
	fateDone fate = iota
	// fateLost performs the step and loses its answer.
	fateLost
	// fateFailed does not perform the step, which is known.
	fateFailed
	// fateLate reports a failure now and performs the step later, or never.
	fateLate
	// fateTwice performs the step twice.
	fateTwice
	// fateOld answers a read with the object's first content.
	fateOld
	fates
)

// step is a call of a node that waits for its fate. A node is paused as long
// as its steps are left waiting.
type step struct {
	label string
	fate  chan fate
}

type version struct {
	shard  service.Shard
	number int64
}

// world is several nodes over one store and one service. Every call between
// them stops at a step whose fate the test decides.
type world struct {
	mutex      sync.Mutex
	manual     *clock.Manual
	steps      []*step
	objects    map[string][]version
	late       []func()
	nodes      []*claimNode
	active     int
	serial     int
	runs       map[string]int
	answers    map[string]string
	ended      map[string]bool
	doubtful   map[string]bool
	violations []string
	lateClock  bool
}

// ring is the time after which object names repeat.
const ring = service.RingBuckets * service.BucketWidth

// firstDay is when each world begins.
const firstDay = 1_000 * clock.Hour

func newWorld(nodes int, lateClock bool) *world {
	world := &world{
		manual: clock.NewManual(firstDay), objects: map[string][]version{}, runs: map[string]int{},
		answers: map[string]string{}, ended: map[string]bool{}, doubtful: map[string]bool{}, lateClock: lateClock,
	}
	for i := range nodes {
		world.nodes = append(world.nodes, newClaimNode(world, i, 1))
	}
	return world
}

// day returns how many rings have passed.
func (world *world) day() int { return int((world.manual.Now() - firstDay) / ring) }

// keys returns the dated keys of this day and the one before, and two undated
// ones that share an object.
func (world *world) keys() []string {
	keys := append([]string{"renewal-17", "renewal-190"}, datedKeys(world.day())...)
	if world.day() > 0 {
		keys = append(keys, datedKeys(world.day()-1)...)
	}
	return keys
}

// datedKeys returns two keys created on the day, all of which share an object.
func datedKeys(day int) []string {
	var keys []string
	for i := 0; len(keys) < 2; i++ {
		key := fmt.Sprintf("%012x", int64(firstDay+clock.Millis(day)*ring))
		key = fmt.Sprintf("%s-%s-7000-8000-%012d", key[:8], key[8:], i)
		if strings.HasSuffix(service.NewKey("garage", key).Place().Object(), "-7") {
			keys = append(keys, key)
		}
	}
	return keys
}

// claimNode is one process. A node that is killed is replaced by another.
type claimNode struct {
	world  *world
	index  int
	life   int
	owner  atomic.Int64
	ctx    context.Context
	end    func()
	ledger *service.Ledger
	clock  *clock.Clock
	// unsettled are the keys of requests that a kill would leave in doubt.
	unsettled map[string]bool
}

func newClaimNode(world *world, index, life int) *claimNode {
	node := &claimNode{world: world, index: index, life: life, unsettled: map[string]bool{}}
	node.owner.Store(int64(index))
	node.ctx, node.end = context.WithCancel(context.Background())
	skew := clock.Millis(index) * clock.Minute
	if index == 2 && world.lateClock {
		skew = -ring
	}
	wall := func() clock.Millis { return world.manual.Now() + skew }
	node.clock = clock.New(world.manual.Now, wall, world.manual.AfterFunc)
	node.ledger = service.NewLedger(node.clock, service.DefaultWindow, fmt.Sprintf("%d/%d", index, life), node.load, node.store).
		WithPeers(node.forward, node.unrun, func() int { return 3 }, func(wait clock.Millis) clock.Millis { return wait })
	return node
}

// await stops until the step's fate is decided. A killed process goes no
// further, and a call whose context ends is late.
func (node *claimNode) await(ctx context.Context, label string) fate {
	step := &step{label: fmt.Sprintf("%d/%d %s", node.index, node.life, label), fate: make(chan fate, 1)}
	node.world.locked(func() { node.world.steps = append(node.world.steps, step) })
	select {
	case fate := <-step.fate:
		return fate
	case <-ctx.Done():
	case <-node.ctx.Done():
	}
	node.world.drop(step)
	if node.ctx.Err() != nil {
		runtime.Goexit()
	}
	return fateLate
}

func (world *world) locked(change func()) {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	change()
}

func (world *world) drop(gone *step) {
	world.locked(func() {
		world.steps = slices.DeleteFunc(world.steps, func(step *step) bool { return step == gone })
	})
}

var errDown = errors.New("down")

func (node *claimNode) load(ctx context.Context, object string) (service.Shard, int64, error) {
	fate := node.await(ctx, "load "+object)
	node.world.mutex.Lock()
	defer node.world.mutex.Unlock()
	kept := node.world.objects[object]
	switch {
	case fate == fateLost || fate == fateFailed || fate == fateLate:
		return service.Shard{}, 0, platform.NewUnavailableError(false, errDown)
	case len(kept) == 0:
		return service.NewShard(0, nil, nil), platform.VersionNone, nil
	case fate == fateOld:
		return kept[0].shard, kept[0].number, nil
	default:
		return kept[len(kept)-1].shard, kept[len(kept)-1].number, nil
	}
}

func (node *claimNode) store(ctx context.Context, object string, shard service.Shard, condition int64) (int64, error) {
	write := func() error { return node.world.write(object, shard, condition) }
	switch node.await(ctx, "store "+object) {
	case fateLost, fateTwice:
		node.world.locked(func() { _ = write() })
		return 0, platform.NewUnavailableError(true, errDown)
	case fateFailed, fateOld:
		return 0, platform.NewUnavailableError(false, errDown)
	case fateLate:
		node.world.locked(func() {
			node.world.late = append(node.world.late, func() { node.world.locked(func() { _ = write() }) })
		})
		return 0, platform.NewUnavailableError(true, errDown)
	default:
		var err error
		node.world.locked(func() { err = write() })
		return condition + 1, err
	}
}

func (world *world) write(object string, shard service.Shard, condition int64) error {
	kept := world.objects[object]
	current := platform.VersionNone
	if len(kept) > 0 {
		current = kept[len(kept)-1].number
	}
	if current != condition {
		return platform.NewConflictError(platform.KindClaims, object, condition)
	}
	world.objects[object] = append(kept, version{shard: shard, number: condition + 1})
	return nil
}

// forward hands the operation to the node that this one believes to be owner.
func (node *claimNode) forward(ctx context.Context, operation service.Operation) (service.Verdict, bool) {
	var owner *claimNode
	node.world.locked(func() { owner = node.world.nodes[node.owner.Load()] })
	if owner == node {
		return service.Verdict{}, false
	}
	ctx, cancel := node.clock.WithTimeout(ctx, 500*clock.Millisecond)
	defer cancel()
	verdicts := make(chan service.Verdict, 2)
	deliver := func() {
		owner.world.spawn(func() { verdicts <- owner.ledger.HandleForwarded(owner.ctx, operation) })
	}
	switch node.await(ctx, "forward "+operation.Nonce()) {
	case fateDone, fateOld:
		deliver()
	case fateTwice:
		deliver()
		deliver()
	case fateLost:
		deliver()
		return service.Verdict{}, true
	case fateLate:
		node.world.locked(func() { node.world.late = append(node.world.late, deliver) })
		return service.Verdict{}, true
	default:
		return service.Verdict{}, true
	}
	select {
	case verdict := <-verdicts:
		return verdict, true
	case <-ctx.Done():
		return service.Verdict{}, true
	}
}

func (node *claimNode) unrun(ctx context.Context, holder, nonce string) bool {
	if node.await(ctx, "query "+nonce) != fateDone {
		return false
	}
	node.world.mutex.Lock()
	nodes := slices.Clone(node.world.nodes)
	node.world.mutex.Unlock()
	for _, other := range nodes {
		if other.ledger.Holder() == holder {
			return other.ledger.NeverRuns(nonce)
		}
	}
	return false
}

// spawn runs part of a process; it ends early if the process is killed.
func (world *world) spawn(work func()) {
	world.locked(func() { world.active++ })
	go func() {
		defer world.locked(func() { world.active-- })
		work()
	}()
}

var charge = route.New("charges", route.KindService, "booking").WithNonIdempotent(true)

// attempt sends one request with the key through the node, as an entry host
// does, and notes what the caller is told.
func (world *world) attempt(node *claimNode, key string) {
	world.serial++
	id := fmt.Sprintf("req-%d", world.serial)
	to := request.New(id, "garage", charge, key, request.Prompt{}, world.manual.Now()).WithFingerprint("f")
	ledger := node.ledger
	node.unsettled[key] = true
	world.spawn(func() {
		ctx, cancel := node.clock.WithTimeout(node.ctx, 3*clock.Second)
		defer cancel()
		claim, answer := ledger.Claim(ctx, to, false)
		if node.ctx.Err() != nil {
			return
		}
		switch claim {
		case request.ClaimGranted:
			node.send(ctx, ledger, to)
		case request.ClaimUnavailable:
			world.tellNotRun(id)
			ledger.End(to, true)
		case request.ClaimRecorded:
			world.expectReplay(key, string(answer.Body()))
			ledger.End(to, false)
		default:
			ledger.End(to, false)
		}
	})
}

// send checks the deadline at the moment of sending, as a flow does, and runs
// the call at the service.
func (node *claimNode) send(ctx context.Context, ledger *service.Ledger, to *request.Request) {
	fate := node.await(context.Background(), "send "+to.ID())
	if ctx.Err() != nil || fate == fateFailed {
		node.world.tellNotRun(to.ID())
		ledger.End(to, true)
		return
	}
	answer := "outcome of " + to.ID()
	node.world.run(to.Key(), to.ID(), answer)
	if fate != fateDone {
		node.world.locked(func() { node.world.doubtful[to.Key()] = true })
		ledger.End(to, false)
		return
	}
	_ = ledger.Record(ctx, to, service.NewAnswer(201, "text/plain", []byte(answer)), false)
	ledger.End(to, false)
}

func (world *world) run(key, id, answer string) {
	world.locked(func() {
		world.runs[key]++
		world.answers[key] = answer
		if world.runs[key] > 1 {
			world.violations = append(world.violations, "key "+key+" ran twice")
		}
		if world.ended[id] {
			world.violations = append(world.violations, id+" ran after its caller was told that it was not run")
		}
	})
}

func (world *world) tellNotRun(id string) {
	world.locked(func() { world.ended[id] = true })
}

func (world *world) expectReplay(key, answer string) {
	world.locked(func() {
		if world.answers[key] != answer {
			world.violations = append(world.violations, "key "+key+" replayed "+answer)
		}
	})
}

// kill ends the process of the node and starts another.
func (node *claimNode) kill() {
	node.world.locked(func() {
		for key := range node.unsettled {
			node.world.doubtful[key] = true
		}
	})
	node.end()
	node.world.locked(func() { node.world.nodes[node.index] = newClaimNode(node.world, node.index, node.life+1) })
}

// waiting returns the steps in an order that does not depend on scheduling.
func (world *world) waiting() []*step {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	steps := slices.Clone(world.steps)
	slices.SortStableFunc(steps, func(a, b *step) int {
		if a.label < b.label {
			return -1
		}
		return 1
	})
	return steps
}

func (world *world) decide(step *step, fate fate) {
	world.drop(step)
	step.fate <- fate
}
