package operator_test

import (
	"context"
	"fmt"
	"slices"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"sapphirehead/internal/operator"
	"sapphirehead/internal/platform"
	"sapphirehead/internal/pool"
	"sapphirehead/internal/route"
	"sapphirehead/internal/table"
)

// stored is one version of the object in the fake store.
type stored struct {
	tables  *table.Tables
	version int64
}

// fakeStore is the object API with faults; its versions never repeat.
type fakeStore struct {
	history []stored
	counter int64
	down    bool
	delayed []func()
}

func (store *fakeStore) current() stored { return store.history[len(store.history)-1] }

func (store *fakeStore) write(tables *table.Tables, condition int64) error {
	if store.current().version != condition {
		return platform.NewConflictError(platform.KindTables, platform.TablesName, condition)
	}
	store.counter++
	store.history = append(store.history, stored{tables: tables, version: store.counter})
	return nil
}

// fakeNode is the state of the tables at an entry host.
type fakeNode struct {
	active   *table.Active
	isolated bool
	highest  int64
}

// machine is three nodes that share one store, each with an operator. The oracle
// consists of accepted, the edits that were reported as committed, and values, the
// values that each row may have after them.
type machine struct {
	rapid    *rapid.T
	store    *fakeStore
	nodes    []*fakeNode
	accepted map[string]bool
	values   map[string][]float64
	edits    int
	nested   bool
}

func newMachine(t *rapid.T) *machine {
	base := table.New(1, nil, []pool.Pool{pool.New("booking", pool.KindService).WithRevision(1)}, []string{"base"})
	machine := &machine{
		rapid:    t,
		store:    &fakeStore{history: []stored{{tables: base, version: 1}}, counter: 1},
		accepted: map[string]bool{},
		values:   map[string][]float64{"a": {0}, "b": {0}, "c": {0}},
	}
	for range 3 {
		machine.nodes = append(machine.nodes, &fakeNode{active: table.NewActive()})
	}
	return machine
}

var errFault = errors.New("fault drawn by the machine")

func (machine *machine) load(context.Context) (*table.Tables, int64, error) {
	if machine.store.down || machine.draw("load fails", 12) {
		return nil, 0, platform.NewUnavailableError(false, errFault)
	}
	read := machine.store.current()
	if len(machine.store.history) > 1 && machine.draw("older read", 8) {
		read = machine.store.history[len(machine.store.history)-2]
	}
	return read.tables, read.version, nil
}

func (machine *machine) commit(_ context.Context, tables *table.Tables, condition int64) error {
	if !machine.nested && machine.draw("another operator comes between", 3) {
		machine.nested = true
		machine.edit(machine.rapid)
		machine.nested = false
	}
	if machine.store.down {
		return platform.NewUnavailableError(true, errFault)
	}
	unknown := platform.NewUnavailableError(true, errFault)
	switch rapid.SampledFrom([]string{"works", "works", "works", "answer lost", "call lost", "delayed", "answer lost, then outage"}).Draw(machine.rapid, "write") {
	case "answer lost":
		_ = machine.store.write(tables, condition)
		return unknown
	case "answer lost, then outage":
		_ = machine.store.write(tables, condition)
		machine.store.down = true
		return unknown
	case "call lost":
		return unknown
	case "delayed":
		machine.store.delayed = append(machine.store.delayed, func() { _ = machine.store.write(tables, condition) })
		return unknown
	}
	return machine.store.write(tables, condition)
}

func (machine *machine) draw(label string, oneIn int) bool {
	return rapid.IntRange(1, oneIn).Draw(machine.rapid, label) == 1
}

func (machine *machine) editor(node *fakeNode) *operator.Editor {
	newest := func(context.Context) (*table.Tables, int64) {
		tables := machine.newest(node)
		return tables, tables.Version()
	}
	return operator.NewEditor(machine.load, machine.commit, newest, func(*table.Tables, *table.Tables) {})
}

// newest returns the newest active tables of the node and the peers that it reaches.
func (machine *machine) newest(node *fakeNode) *table.Tables {
	best := node.active.Current()
	for _, peer := range machine.nodes {
		if !node.isolated && !peer.isolated {
			best, _ = best.Reconcile(peer.active.Current())
		}
	}
	return best
}

// edit lets the operator of a node change one row in the tables that the store or
// the node returned.
func (machine *machine) edit(t *rapid.T) {
	node := rapid.SampledFrom(machine.nodes).Draw(t, "node")
	name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "row")
	read := rapid.SampledFrom([]*table.Tables{machine.store.current().tables, machine.newest(node)}).Draw(t, "read")
	machine.edits++
	value, id := float64(machine.edits), fmt.Sprint("edit-", machine.edits)
	before, _ := read.Route(name)
	edit := table.NewEdit(id)
	edit.SetRoute(route.New(name, route.KindService, "booking").WithPath("/"+name).WithWorth(value), before.Revision())

	activeVersion := machine.newest(node).Version()
	committed, err := machine.editor(node).Commit(context.Background(), edit)
	var unavailable *platform.UnavailableError
	switch {
	case err == nil:
		require.Greater(t, committed.Version(), activeVersion, "committed at a version that is already active")
		require.True(t, committed.HasEdit(id))
		machine.accepted[id] = true
		machine.replace(name, before, value, false)
		node.active.Offer(committed)
	case errors.As(err, &unavailable) && unavailable.OutcomeUnknown():
		machine.replace(name, before, value, true)
	}
}

// replace records that the row may now have the value, and, unless that is uncertain,
// no longer the value that it had before.
func (machine *machine) replace(row string, before route.Route, value float64, uncertain bool) {
	worth := before.Worth()
	if !uncertain {
		machine.values[row] = slices.DeleteFunc(machine.values[row], func(candidate float64) bool { return candidate == worth })
	}
	machine.values[row] = append(machine.values[row], value)
}

// watch lets a node apply the stored tables, and restore a store that returned to an
// older version.
func (machine *machine) watch(t *rapid.T) {
	machine.writeBack(rapid.SampledFrom(machine.nodes).Draw(t, "node"))
}

func (machine *machine) writeBack(node *fakeNode) {
	if tables, err := machine.editor(node).WriteBack(context.Background()); err == nil {
		node.active.Offer(tables)
	}
}

// receive lets a node apply the active tables of a peer.
func (machine *machine) receive(t *rapid.T) {
	node := rapid.SampledFrom(machine.nodes).Draw(t, "node")
	peer := rapid.SampledFrom(machine.nodes).Draw(t, "fellow")
	if node.isolated || peer.isolated {
		return
	}
	if node.active.Offer(peer.active.Current()) == table.OfferDiverged {
		machine.writeBack(node)
	}
}

// restart replaces a node unless it is the only one with the newest tables.
func (machine *machine) restart(t *rapid.T) {
	node := rapid.SampledFrom(machine.nodes).Draw(t, "node")
	for _, peer := range machine.nodes {
		if peer != node && peer.active.Current().Relate(node.active.Current()) != table.RelationStoredNewer &&
			peer.active.Current().Relate(node.active.Current()) != table.RelationDiverged {
			node.active, node.highest = table.NewActive(), 0
			return
		}
	}
}

// restore returns the store to an older object if the newest tables are active on
// some node.
func (machine *machine) restore(t *rapid.T) {
	now := machine.store.current().tables
	for _, node := range machine.nodes {
		if relation := node.active.Current().Relate(now); relation == table.RelationSame || relation == table.RelationStoredOlder {
			older := rapid.SampledFrom(machine.store.history).Draw(t, "restored").tables
			machine.store.counter++
			machine.store.history = append(machine.store.history, stored{tables: older, version: machine.store.counter})
			return
		}
	}
}

// check is the invariant after each step: no node's version ever decreases.
func (machine *machine) check(t *rapid.T) {
	for _, node := range machine.nodes {
		require.GreaterOrEqual(t, node.active.Current().Version(), node.highest)
		node.highest = node.active.Current().Version()
	}
}

// settle ends all faults and lets all nodes apply the stored tables.
func (machine *machine) settle(t *rapid.T) {
	machine.store.down = false
	for _, node := range machine.nodes {
		node.isolated = false
	}
	for range 4 {
		for _, node := range machine.nodes {
			base, write := machine.newest(node).Reconcile(machine.store.current().tables)
			if write {
				require.NoError(t, machine.store.write(base, machine.store.current().version))
			}
			node.active.Offer(base)
		}
	}
}

// TestEdits checks that no accepted edit is lost despite outages, restarts, restored
// objects and lost responses.
func TestEdits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machine := newMachine(t)
		t.Repeat(map[string]func(*rapid.T){
			"":        machine.check,
			"edit":    machine.edit,
			"watch":   machine.watch,
			"hear":    machine.receive,
			"restart": machine.restart,
			"restore": machine.restore,
			"outage":  func(*rapid.T) { machine.store.down = !machine.store.down },
			"isolate": func(t *rapid.T) {
				node := rapid.SampledFrom(machine.nodes).Draw(t, "node")
				node.isolated = !node.isolated
			},
			"late write": func(t *rapid.T) {
				if len(machine.store.delayed) == 0 {
					t.Skip("nothing delayed")
				}
				machine.store.delayed[0]()
				machine.store.delayed = machine.store.delayed[1:]
			},
		})
		machine.settle(t)
		final := machine.store.current().tables
		for id := range machine.accepted {
			require.True(t, final.HasEdit(id), "accepted edit %s is lost", id)
		}
		for name, allowed := range machine.values {
			row, _ := final.Route(name)
			require.Contains(t, allowed, row.Worth(), "row %s", name)
		}
		for _, node := range machine.nodes {
			require.Equal(t, final.Fingerprint(), node.active.Current().Fingerprint())
		}
	})
}
