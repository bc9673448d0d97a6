package backend_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"sapphirehead/internal/backend"
	"sapphirehead/internal/clock"
	"sapphirehead/internal/runner"
)

func newListings(leaving bool, ids ...string) []backend.Listing {
	var list []backend.Listing
	for _, id := range ids {
		list = append(list, backend.NewListing(backend.NewServer(id, id+":1", "lj-a", "gpu-small", "runners"), leaving))
	}
	return list
}

func expectLeaving(t *testing.T, fleet *backend.Fleet, id string, leaving bool) {
	t.Helper()
	require.Equal(t, leaving, fleet.Current().Server(id).Leaving())
}

func TestLeaving(t *testing.T) {
	t.Run("an older list does not clear the mark", func(t *testing.T) {
		fleet := backend.NewFleet()
		fleet.Update(newListings(false, "a"))
		require.True(t, fleet.MarkLeaving("a"))
		fleet.Update(newListings(false, "a"))
		expectLeaving(t, fleet, "a", true)
	})
	t.Run("evidence before the server is listed", func(t *testing.T) {
		fleet := backend.NewFleet()
		require.True(t, fleet.MarkLeaving("a"))
		require.False(t, fleet.MarkLeaving("a"))
		fleet.Update(newListings(false, "a"))
		expectLeaving(t, fleet, "a", true)
	})
	t.Run("the mark outlasts lists without the server", func(t *testing.T) {
		fleet := backend.NewFleet()
		fleet.Update(newListings(true, "a"))
		for range 100 {
			fleet.Update(nil)
		}
		fleet.Update(newListings(false, "a"))
		expectLeaving(t, fleet, "a", true)
	})
	t.Run("the list is reported as first evidence once", func(t *testing.T) {
		fleet := backend.NewFleet()
		require.Equal(t, []string{"a"}, fleet.Update(newListings(true, "a")))
		require.Empty(t, fleet.Update(newListings(true, "a")))
	})
	t.Run("evidence from a peer outlasts lists without the server", func(t *testing.T) {
		fleet := backend.NewFleet()
		fleet.Update(newListings(false, "a"))
		fleet.Current().Server("a").MarkLeaving()
		fleet.Update(nil)
		fleet.Update(newListings(false, "a"))
		expectLeaving(t, fleet, "a", true)
	})
	t.Run("an answer shows it after the entry was removed", func(t *testing.T) {
		fleet := backend.NewFleet()
		fleet.Update(newListings(false, "a"))
		server := fleet.Current().Server("a")
		end := server.Begin()
		for range 3 {
			fleet.Update(nil)
		}
		server.MarkLeaving()
		end()
		for range 3 {
			fleet.Update(nil)
		}
		fleet.Update(newListings(false, "a"))
		expectLeaving(t, fleet, "a", true)
	})
	t.Run("a mark belongs to one run of a server", func(t *testing.T) {
		registry := backend.NewRegistry(0)
		list := func(start clock.Millis, revision int64) []backend.Listing {
			registry.Set(backend.NewEntry("a", "a:1", "lj-a", "runners", revision).WithStart(start), 0)
			return registry.List(0)
		}
		fleet := backend.NewFleet()
		fleet.Update(list(100, 1))
		require.True(t, fleet.MarkLeaving("a"))
		fleet.Update(nil)
		fleet.Update(list(100, 1))
		expectLeaving(t, fleet, "a", true)
		fleet.Update(list(200, 2))
		expectLeaving(t, fleet, "a", false)
	})
	t.Run("the mark of a server that is no longer listed expires", func(t *testing.T) {
		fleet := backend.NewFleet()
		fleet.MarkLeaving("a")
		for range 10_000 {
			fleet.Update(nil)
		}
		require.Equal(t, []string{"a"}, fleet.Leaving())
		fleet.Update(nil)
		require.Empty(t, fleet.Leaving())
	})
}

func TestEvidence(t *testing.T) {
	t.Run("evidence is stored once for each id, with the notice", func(t *testing.T) {
		evidence := backend.NewEvidence()
		for range 5_000 {
			evidence.Add("a", 0)
		}
		evidence.Add("b", 3*clock.Second)
		evidence.Add("b", 0)
		<-evidence.Wake()
		require.Equal(t, map[string]clock.Millis{"a": 0, "b": 3 * clock.Second}, evidence.Take())
		require.Empty(t, evidence.Take())
	})
	t.Run("no evidence is lost during concurrent calls of Take", func(t *testing.T) {
		evidence := backend.NewEvidence()
		const writers, perWriter = 4, 500
		done := make(chan struct{})
		for writer := range writers {
			go func() {
				for i := range perWriter {
					evidence.Add(fmt.Sprintf("%d-%d", writer, i), 0)
				}
				done <- struct{}{}
			}()
		}
		collected := map[string]clock.Millis{}
		for ended := 0; ended < writers; {
			select {
			case <-done:
				ended++
			case <-evidence.Wake():
				for id, notice := range evidence.Take() {
					collected[id] = notice
				}
			}
		}
		for id, notice := range evidence.Take() {
			collected[id] = notice
		}
		require.Len(t, collected, writers*perWriter)
	})
}

// leavingNode is the state of one node in the state machine test.
type leavingNode struct {
	fleet    *backend.Fleet
	evidence *backend.Evidence
	chooser  *runner.Chooser
}

// leavingMachine holds several nodes that receive evidence of leaving servers in
// any order: from notices, runners' responses, each other, and lists that lag by
// any number of versions. The oracle is the time at which the first node received
// evidence of each leaving server.
type leavingMachine struct {
	manual        *clock.Manual
	nodes         []*leavingNode
	lists         [][]backend.Listing
	leaving       map[string]bool
	firstEvidence map[string]clock.Millis
}

var machineServers = []string{"a", "b", "c", "d"}

func newLeavingMachine() *leavingMachine {
	machine := &leavingMachine{manual: clock.NewManual(1000), leaving: map[string]bool{}, firstEvidence: map[string]clock.Millis{}}
	machine.publishList()
	for range 3 {
		fleet := backend.NewFleet()
		fleet.Update(machine.lists[0])
		machine.nodes = append(machine.nodes, &leavingNode{
			fleet: fleet, evidence: backend.NewEvidence(), chooser: runner.NewChooser(fleet, "lj-a", func(int) int { return 0 }),
		})
	}
	return machine
}

// publishList adds the current state of the servers as the latest version of the
// platform's list.
func (machine *leavingMachine) publishList() {
	var list []backend.Listing
	for _, id := range machineServers {
		list = append(list, newListings(machine.leaving[id], id)...)
	}
	machine.lists = append(machine.lists, list)
}

// recordEvidence adds evidence at a node and keeps the time of the first.
func (machine *leavingMachine) recordEvidence(node *leavingNode, id string) {
	if _, recorded := machine.firstEvidence[id]; !recorded {
		machine.firstEvidence[id] = machine.manual.Now()
	}
	if server := node.fleet.Current().Server(id); server != nil {
		server.MarkLeaving()
	}
	node.evidence.Add(id, 0)
}

// runWriter runs a node's writer once and sends first evidence to all nodes.
func (machine *leavingMachine) runWriter(node *leavingNode, list []backend.Listing) {
	firstEvidence := node.fleet.Update(list)
	for id := range node.evidence.Take() {
		if node.fleet.MarkLeaving(id) {
			firstEvidence = append(firstEvidence, id)
		}
	}
	for _, id := range firstEvidence {
		for _, other := range machine.nodes {
			machine.recordEvidence(other, id)
		}
	}
}

// TestLeavingMachine checks that no node chooses a server from two seconds after
// the first evidence at any node, whichever lists and reports follow.
func TestLeavingMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machine := newLeavingMachine()
		drawNode := func(t *rapid.T) *leavingNode { return rapid.SampledFrom(machine.nodes).Draw(t, "node") }
		drawServer := func(t *rapid.T) string { return rapid.SampledFrom(machineServers).Draw(t, "server") }
		t.Repeat(map[string]func(*rapid.T){
			"": machine.check,
			"leaves": func(t *rapid.T) {
				machine.leaving[drawServer(t)] = true
				machine.publishList()
			},
			"evidence": func(t *rapid.T) { machine.recordEvidence(drawNode(t), drawServer(t)) },
			"write": func(t *rapid.T) {
				machine.runWriter(drawNode(t), rapid.SampledFrom(machine.lists).Draw(t, "list"))
			},
			"write without the list's servers": func(t *rapid.T) { machine.runWriter(drawNode(t), nil) },
			"two seconds": func(t *rapid.T) {
				for range 2 {
					for _, node := range machine.nodes {
						machine.runWriter(node, rapid.SampledFrom(machine.lists).Draw(t, "list"))
					}
				}
				machine.manual.Advance(2 * clock.Second)
			},
		})
	})
}

func (machine *leavingMachine) check(t *rapid.T) {
	for _, node := range machine.nodes {
		var exclude []string
		for {
			chosen, ok := node.chooser.Choose("runners", exclude)
			if !ok {
				break
			}
			exclude = append(exclude, chosen.ID())
			firstEvidence, hasEvidence := machine.firstEvidence[chosen.ID()]
			require.False(t, hasEvidence && machine.manual.Now() >= firstEvidence+2*clock.Second, "%s is leaving since %d and is chosen at %d", chosen.ID(), firstEvidence, machine.manual.Now())
		}
	}
}
