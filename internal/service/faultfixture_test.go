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

// fault is the fault injected into one step of one node.
type fault int

const (
	faultNone fault = iota
	// faultResponseLost performs the step and loses its response.
	faultResponseLost
	// faultNotPerformed does not perform the step and reports that.
	faultNotPerformed
	// faultDelayed reports an unknown outcome now and performs the step later, or
	// never.
	faultDelayed
	// faultDuplicated performs the step twice.
	faultDuplicated
	// faultStaleRead returns the object's first content to a read.
	faultStaleRead
	faultCount
)

// step is a call of a node that waits until the test decides on a fault. A node is
// paused while its steps wait.
type step struct {
	label string
	fault chan fault
}

type version struct {
	shard  service.Shard
	number int64
}

// faultFixture is several nodes with one store and one service. Each call between
// them waits at a step until the test decides on a fault.
type faultFixture struct {
	mutex          sync.Mutex
	manual         *clock.Manual
	steps          []*step
	objects        map[string][]version
	delayed        []func()
	nodes          []*claimNode
	active         int
	requestCount   int
	runs           map[string]int
	answers        map[string]string
	ended          map[string]bool
	outcomeUnknown map[string]bool
	violations     []string
	slowClock      bool
}

// namePeriod is the time after which object names repeat.
const namePeriod = service.RingBuckets * service.BucketWidth

// startTime is the time at which each fixture begins.
const startTime = 1_000 * clock.Hour

func newFaultFixture(nodes int, slowClock bool) *faultFixture {
	fixture := &faultFixture{
		manual: clock.NewManual(startTime), objects: map[string][]version{}, runs: map[string]int{},
		answers: map[string]string{}, ended: map[string]bool{}, outcomeUnknown: map[string]bool{}, slowClock: slowClock,
	}
	for i := range nodes {
		fixture.nodes = append(fixture.nodes, newClaimNode(fixture, i, 1))
	}
	return fixture
}

// cycle returns the number of name periods that have passed.
func (fixture *faultFixture) cycle() int { return int((fixture.manual.Now() - startTime) / namePeriod) }

// keys returns the dated keys of this cycle and the previous one, and two undated
// ones that share an object.
func (fixture *faultFixture) keys() []string {
	keys := append([]string{"renewal-17", "renewal-190"}, datedKeys(fixture.cycle())...)
	if fixture.cycle() > 0 {
		keys = append(keys, datedKeys(fixture.cycle()-1)...)
	}
	return keys
}

// datedKeys returns two keys created in the cycle. Those of all cycles share an
// object.
func datedKeys(cycle int) []string {
	var keys []string
	for i := 0; len(keys) < 2; i++ {
		key := fmt.Sprintf("%012x", int64(startTime+clock.Millis(cycle)*namePeriod))
		key = fmt.Sprintf("%s-%s-7000-8000-%012d", key[:8], key[8:], i)
		if strings.HasSuffix(service.NewKey("garage", key).Place().Object(), "-7") {
			keys = append(keys, key)
		}
	}
	return keys
}

// claimNode is one process. A killed node is replaced by a new one.
type claimNode struct {
	fixture     *faultFixture
	index       int
	incarnation int
	owner       atomic.Int64
	ctx         context.Context
	cancel      func()
	ledger      *service.Ledger
	clock       *clock.Clock
	// unsettled are the keys of requests whose outcome would be unknown after a kill.
	unsettled map[string]bool
}

func newClaimNode(fixture *faultFixture, index, incarnation int) *claimNode {
	node := &claimNode{fixture: fixture, index: index, incarnation: incarnation, unsettled: map[string]bool{}}
	node.owner.Store(int64(index))
	node.ctx, node.cancel = context.WithCancel(context.Background())
	skew := clock.Millis(index) * clock.Minute
	if index == 2 && fixture.slowClock {
		skew = -namePeriod
	}
	wall := func() clock.Millis { return fixture.manual.Now() + skew }
	node.clock = clock.New(fixture.manual.Now, wall, fixture.manual.AfterFunc)
	node.ledger = service.NewLedger(node.clock, service.DefaultWindow, fmt.Sprintf("%d/%d", index, incarnation), node.load, node.store).
		WithPeers(node.forward, node.queryNeverRuns, func() int { return 3 }, func(wait clock.Millis) clock.Millis { return wait })
	return node
}

// await blocks until the step's fault is decided. It ends the goroutine of a killed
// process, and returns faultDelayed once the context ends.
func (node *claimNode) await(ctx context.Context, label string) fault {
	step := &step{label: fmt.Sprintf("%d/%d %s", node.index, node.incarnation, label), fault: make(chan fault, 1)}
	node.fixture.locked(func() { node.fixture.steps = append(node.fixture.steps, step) })
	select {
	case fault := <-step.fault:
		return fault
	case <-ctx.Done():
	case <-node.ctx.Done():
	}
	node.fixture.drop(step)
	if node.ctx.Err() != nil {
		runtime.Goexit()
	}
	return faultDelayed
}

func (fixture *faultFixture) locked(change func()) {
	fixture.mutex.Lock()
	defer fixture.mutex.Unlock()
	change()
}

func (fixture *faultFixture) drop(dropped *step) {
	fixture.locked(func() {
		fixture.steps = slices.DeleteFunc(fixture.steps, func(step *step) bool { return step == dropped })
	})
}

var errDown = errors.New("down")

func (node *claimNode) load(ctx context.Context, object string) (service.Shard, int64, error) {
	fault := node.await(ctx, "load "+object)
	node.fixture.mutex.Lock()
	defer node.fixture.mutex.Unlock()
	versions := node.fixture.objects[object]
	switch {
	case fault == faultResponseLost || fault == faultNotPerformed || fault == faultDelayed:
		return service.Shard{}, 0, platform.NewUnavailableError(false, errDown)
	case len(versions) == 0:
		return service.NewShard(0, nil, nil), platform.VersionNone, nil
	case fault == faultStaleRead:
		return versions[0].shard, versions[0].number, nil
	default:
		return versions[len(versions)-1].shard, versions[len(versions)-1].number, nil
	}
}

func (node *claimNode) store(ctx context.Context, object string, shard service.Shard, condition int64) (int64, error) {
	write := func() error { return node.fixture.write(object, shard, condition) }
	switch node.await(ctx, "store "+object) {
	case faultResponseLost, faultDuplicated:
		node.fixture.locked(func() { _ = write() })
		return 0, platform.NewUnavailableError(true, errDown)
	case faultNotPerformed, faultStaleRead:
		return 0, platform.NewUnavailableError(false, errDown)
	case faultDelayed:
		node.fixture.locked(func() {
			node.fixture.delayed = append(node.fixture.delayed, func() { node.fixture.locked(func() { _ = write() }) })
		})
		return 0, platform.NewUnavailableError(true, errDown)
	default:
		var err error
		node.fixture.locked(func() { err = write() })
		return condition + 1, err
	}
}

func (fixture *faultFixture) write(object string, shard service.Shard, condition int64) error {
	versions := fixture.objects[object]
	current := platform.VersionNone
	if len(versions) > 0 {
		current = versions[len(versions)-1].number
	}
	if current != condition {
		return platform.NewConflictError(platform.KindClaims, object, condition)
	}
	fixture.objects[object] = append(versions, version{shard: shard, number: condition + 1})
	return nil
}

// forward sends the operation to the owner according to this node.
func (node *claimNode) forward(ctx context.Context, operation service.Operation) (service.Verdict, bool) {
	var owner *claimNode
	node.fixture.locked(func() { owner = node.fixture.nodes[node.owner.Load()] })
	if owner == node {
		return service.Verdict{}, false
	}
	ctx, cancel := node.clock.WithTimeout(ctx, 500*clock.Millisecond)
	defer cancel()
	verdicts := make(chan service.Verdict, 2)
	deliver := func() {
		owner.fixture.spawn(func() { verdicts <- owner.ledger.HandleForwarded(owner.ctx, operation) })
	}
	switch node.await(ctx, "forward "+operation.Nonce()) {
	case faultNone, faultStaleRead:
		deliver()
	case faultDuplicated:
		deliver()
		deliver()
	case faultResponseLost:
		deliver()
		return service.Verdict{}, true
	case faultDelayed:
		node.fixture.locked(func() { node.fixture.delayed = append(node.fixture.delayed, deliver) })
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

func (node *claimNode) queryNeverRuns(ctx context.Context, holder, nonce string) bool {
	if node.await(ctx, "query "+nonce) != faultNone {
		return false
	}
	node.fixture.mutex.Lock()
	nodes := slices.Clone(node.fixture.nodes)
	node.fixture.mutex.Unlock()
	for _, other := range nodes {
		if other.ledger.Holder() == holder {
			return other.ledger.NeverRuns(nonce)
		}
	}
	return false
}

// spawn runs a goroutine of a process. It ends early if the process is killed.
func (fixture *faultFixture) spawn(work func()) {
	fixture.locked(func() { fixture.active++ })
	go func() {
		defer fixture.locked(func() { fixture.active-- })
		work()
	}()
}

var charge = route.New("charges", route.KindService, "booking").WithNonIdempotent(true)

// attempt sends one request with the key through the node, as an entry host does,
// and records the result for the caller.
func (fixture *faultFixture) attempt(node *claimNode, key string) {
	fixture.requestCount++
	id := fmt.Sprintf("req-%d", fixture.requestCount)
	req := request.New(id, "garage", charge, key, request.Prompt{}, fixture.manual.Now()).WithFingerprint("f")
	ledger := node.ledger
	node.unsettled[key] = true
	fixture.spawn(func() {
		ctx, cancel := node.clock.WithTimeout(node.ctx, 3*clock.Second)
		defer cancel()
		claim, answer := ledger.Claim(ctx, req, false)
		if node.ctx.Err() != nil {
			return
		}
		switch claim {
		case request.ClaimGranted:
			node.send(ctx, ledger, req)
		case request.ClaimUnavailable:
			fixture.reportNotRun(id)
			ledger.End(req, true)
		case request.ClaimRecorded:
			fixture.expectReplay(key, string(answer.Body()))
			ledger.End(req, false)
		default:
			ledger.End(req, false)
		}
	})
}

// send checks the deadline before sending, as a flow does, and runs the call at the
// service.
func (node *claimNode) send(ctx context.Context, ledger *service.Ledger, req *request.Request) {
	fault := node.await(context.Background(), "send "+req.ID())
	if ctx.Err() != nil || fault == faultNotPerformed {
		node.fixture.reportNotRun(req.ID())
		ledger.End(req, true)
		return
	}
	answer := "outcome of " + req.ID()
	node.fixture.run(req.Key(), req.ID(), answer)
	if fault != faultNone {
		node.fixture.locked(func() { node.fixture.outcomeUnknown[req.Key()] = true })
		ledger.End(req, false)
		return
	}
	_ = ledger.Record(ctx, req, service.NewAnswer(201, "text/plain", []byte(answer)), false)
	ledger.End(req, false)
}

func (fixture *faultFixture) run(key, id, answer string) {
	fixture.locked(func() {
		fixture.runs[key]++
		fixture.answers[key] = answer
		if fixture.runs[key] > 1 {
			fixture.violations = append(fixture.violations, "key "+key+" ran twice")
		}
		if fixture.ended[id] {
			fixture.violations = append(fixture.violations, id+" ran after it was reported to its caller as not run")
		}
	})
}

func (fixture *faultFixture) reportNotRun(id string) {
	fixture.locked(func() { fixture.ended[id] = true })
}

func (fixture *faultFixture) expectReplay(key, answer string) {
	fixture.locked(func() {
		if fixture.answers[key] != answer {
			fixture.violations = append(fixture.violations, "key "+key+" replayed "+answer)
		}
	})
}

// kill ends the process of the node and starts a new one.
func (node *claimNode) kill() {
	node.fixture.locked(func() {
		for key := range node.unsettled {
			node.fixture.outcomeUnknown[key] = true
		}
	})
	node.cancel()
	node.fixture.locked(func() { node.fixture.nodes[node.index] = newClaimNode(node.fixture, node.index, node.incarnation+1) })
}

// waitingSteps returns the steps in an order that does not depend on scheduling.
func (fixture *faultFixture) waitingSteps() []*step {
	fixture.mutex.Lock()
	defer fixture.mutex.Unlock()
	steps := slices.Clone(fixture.steps)
	slices.SortStableFunc(steps, func(a, b *step) int {
		if a.label < b.label {
			return -1
		}
		return 1
	})
	return steps
}

func (fixture *faultFixture) decide(step *step, fault fault) {
	fixture.drop(step)
	step.fault <- fault
}
