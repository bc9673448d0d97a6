package node_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/node"
)

// newMember returns a member in the data centre with an update of the sequence.
func newMember(host, dataCentre string, sequence int64) node.Member {
	return node.NewMember(host, host+":1", dataCentre, 1).WithState(sequence, sequence, true, false)
}

func stopping(member node.Member) node.Member {
	return member.WithState(member.Sequence()+1, member.TablesVersion(), false, true)
}

// newMembers returns the state of the host after one digest from each member.
func newMembers(manual *clock.Manual, host, dataCentre string, peers ...node.Member) *node.Members {
	self := func() node.Member { return node.NewMember(host, host+":1", dataCentre, 1) }
	members := node.NewMembers(manual.Clock(), self, func(n int) int { return int(manual.Now()) % n }, []string{"seed:1"})
	for _, member := range peers {
		members.Apply(node.NewDigest(member, nil, nil, node.Sums{}), true)
	}
	return members
}

// expectLive checks which members are live.
func expectLive(t *testing.T, members *node.Members, hosts ...string) {
	t.Helper()
	live := []string{}
	for _, member := range members.Live() {
		live = append(live, member.Host())
	}
	require.Equal(t, append([]string{}, hosts...), live)
}

// expectUrgent checks whether an update of a member has to be pushed.
func expectUrgent(t *testing.T, members *node.Members, update node.Member, urgent bool) {
	t.Helper()
	got, _ := members.Apply(node.NewDigest(newMember("teller", "lj-a", 1), []node.Member{update}, nil, node.Sums{}), false)
	require.Equal(t, urgent, got)
}

// push returns the digest to push.
func push(members *node.Members) node.Digest {
	digest, _ := members.Push()
	return digest
}

func TestMemberUpdates(t *testing.T) {
	b := newMember("b", "lj-a", 5)
	setUp := func() *node.Members {
		return newMembers(clock.NewManual(1000), "a", "lj-a", newMember("teller", "lj-a", 1), b)
	}
	for name, check := range map[string]struct {
		update node.Member
		urgent bool
		live   []string
	}{
		"a new member":                {newMember("c", "lj-b", 1), true, []string{"b", "c", "teller"}},
		"a later start":               {node.NewMember("b", "b:2", "lj-a", 2), true, []string{"b", "teller"}},
		"newer tables":                {b.WithState(6, 6, true, false), false, []string{"b", "teller"}},
		"stopping":                    {stopping(b), true, []string{"teller"}},
		"stopping, but older":         {b.WithState(4, 4, false, true), false, []string{"b", "teller"}},
		"silent at the same sequence": {b.WithSilent(true), true, []string{"teller"}},
		"silent, but at an older one": {newMember("b", "lj-a", 4).WithSilent(true), false, []string{"b", "teller"}},
		"silent, of an unknown node":  {newMember("z", "lj-a", 4).WithSilent(true), false, []string{"b", "teller"}},
	} {
		t.Run(name, func(t *testing.T) {
			members := setUp()
			expectUrgent(t, members, check.update, check.urgent)
			expectLive(t, members, check.live...)
		})
	}
	t.Run("an older update never undoes stopping", func(t *testing.T) {
		members := setUp()
		expectUrgent(t, members, stopping(b), true)
		expectUrgent(t, members, b, false)
		expectLive(t, members, "teller")
	})
	t.Run("wrongly reported as silent: raises its sequence", func(t *testing.T) {
		members := setUp()
		before := members.Self()
		expectUrgent(t, members, before.WithSilent(true), true)
		require.Greater(t, members.Self().Sequence(), before.Sequence())
	})
	t.Run("digest from a silent member: the report is pushed again", func(t *testing.T) {
		members := setUp()
		expectUrgent(t, members, b.WithSilent(true), true)
		for range 20 {
			members.Digest()
		}
		members.Apply(node.NewDigest(b, nil, nil, node.Sums{}), true)
		require.True(t, slices.ContainsFunc(push(members).Members(), func(member node.Member) bool { return member.Host() == "b" && member.Silent() }))
	})
}

// TestRecordFailure checks that a member counts as silent after failed calls over
// two connections, but not if this node itself has lost contact.
func TestRecordFailure(t *testing.T) {
	expectFailed := func(t *testing.T, members *node.Members, retry, urgent bool) {
		t.Helper()
		gotRetry, gotUrgent := members.RecordFailure("b:1")
		require.Equal(t, []bool{retry, urgent}, []bool{gotRetry, gotUrgent})
	}
	t.Run("retried, then silent", func(t *testing.T) {
		members := newMembers(clock.NewManual(1000), "a", "lj-a", newMember("b", "lj-a", 1))
		expectFailed(t, members, true, false)
		expectFailed(t, members, false, true)
		expectLive(t, members)
	})
	t.Run("a digest in between", func(t *testing.T) {
		members := newMembers(clock.NewManual(1000), "a", "lj-a", newMember("b", "lj-a", 1))
		expectFailed(t, members, true, false)
		members.Apply(node.NewDigest(newMember("b", "lj-a", 1), nil, nil, node.Sums{}), false)
		expectFailed(t, members, true, false)
	})
	t.Run("a node without contact reports no member as silent", func(t *testing.T) {
		manual := clock.NewManual(1000)
		members := newMembers(manual, "a", "lj-a", newMember("b", "lj-a", 1))
		manual.Advance(6 * clock.Second)
		expectFailed(t, members, true, false)
		expectFailed(t, members, false, false)
		expectLive(t, members, "b")
	})
	t.Run("a member that stopped its rounds is called once", func(t *testing.T) {
		manual := clock.NewManual(1000)
		members := newMembers(manual, "a", "lj-a", newMember("b", "lj-b", 1), newMember("c", "lj-c", 1), newMember("d", "lj-c", 1))
		manual.Advance(13 * clock.Second)
		members.Apply(node.NewDigest(newMember("e", "lj-b", 1), nil, nil, node.Sums{}), false)
		partners := len(members.Partners())
		require.Greater(t, partners, 3)
		require.Len(t, members.Partners(), 1)
	})
	t.Run("dropped after long silence", func(t *testing.T) {
		manual := clock.NewManual(1000)
		members := newMembers(manual, "a", "lj-a", newMember("b", "lj-a", 1))
		expectFailed(t, members, true, false)
		expectFailed(t, members, false, true)
		require.Len(t, members.All().Members(), 1)
		manual.Advance(31 * clock.Minute)
		members.Partners()
		require.Empty(t, members.All().Members())
	})
}

func TestLeavingServers(t *testing.T) {
	apply := func(members *node.Members, evidence ...node.LeavingEvidence) (bool, []node.LeavingEvidence) {
		return members.Apply(node.NewDigest(newMember("b", "lj-a", 1), nil, evidence, node.Sums{}), true)
	}
	t.Run("first evidence is urgent, the second is not", func(t *testing.T) {
		members := newMembers(clock.NewManual(100_000), "a", "lj-a", newMember("b", "lj-a", 1))
		urgent, first := apply(members, node.NewLeavingEvidence("runner-1", 5, 3000))
		require.True(t, urgent)
		require.Len(t, first, 1)
		urgent, first = apply(members, node.NewLeavingEvidence("runner-1", 9, 3000))
		require.False(t, urgent)
		require.Empty(t, first)
	})
	t.Run("sent with its age and notice, until it is old", func(t *testing.T) {
		manual := clock.NewManual(100_000)
		members := newMembers(manual, "a", "lj-a", newMember("b", "lj-a", 1))
		apply(members, node.NewLeavingEvidence("runner-1", 5, 3000))
		manual.Advance(10 * clock.Second)
		require.Equal(t, []node.LeavingEvidence{node.NewLeavingEvidence("runner-1", 10_005, 3000)}, members.Evidence().Leaving())
		manual.Advance(evidenceAge)
		require.Empty(t, members.Digest().Leaving())
	})
	t.Run("bounded", func(t *testing.T) {
		members := newMembers(clock.NewManual(100_000), "a", "lj-a")
		for i := range 10_000 {
			members.AddLeaving(fmt.Sprint("runner-", i), 0)
		}
		require.Len(t, members.Digest().Leaving(), 8)
		digest, more := members.Push()
		require.Len(t, digest.Leaving(), 512)
		require.True(t, more)
		require.Len(t, members.Evidence().Leaving(), 4096)
	})
	t.Run("the sum is that of the servers, in any order", func(t *testing.T) {
		a, b := newMembers(clock.NewManual(100_000), "a", "lj-a"), newMembers(clock.NewManual(200_000), "b", "lj-a")
		for i := range 3 {
			a.AddLeaving(fmt.Sprint("runner-", i), 0)
			require.True(t, b.LacksEvidence(a.Digest()))
		}
		for i := range 3 {
			b.AddLeaving(fmt.Sprint("runner-", 2-i), 0)
		}
		require.False(t, b.LacksEvidence(a.Digest()))
	})
}

// TestLacksMembers checks that a node queries a peer for all members only if the
// difference of their sets lasts longer than updates are in transit, and not too
// often.
func TestLacksMembers(t *testing.T) {
	manual := clock.NewManual(100_000)
	a, b := newMember("a", "lj-a", 1), newMember("b", "lj-a", 1)
	membersA, membersB := newMembers(manual, "a", "lj-a", b), newMembers(manual, "b", "lj-a", a)
	expectLacks := func(t *testing.T, wait clock.Millis, lacks bool) {
		t.Helper()
		manual.Advance(wait)
		require.Equal(t, lacks, membersB.LacksMembers(membersA.Digest()))
	}
	t.Run("same members", func(t *testing.T) { expectLacks(t, clock.Minute, false) })
	t.Run("updates may be in transit", func(t *testing.T) {
		membersA.Apply(node.NewDigest(newMember("c", "lj-a", 1), nil, nil, node.Sums{}), false)
		membersB.Apply(node.NewDigest(newMember("d", "lj-a", 1), nil, nil, node.Sums{}), false)
		expectLacks(t, 0, false)
	})
	t.Run("no update in transit explains the difference", func(t *testing.T) { expectLacks(t, 4*clock.Second, true) })
	t.Run("no second query at once", func(t *testing.T) { expectLacks(t, clock.Second, false) })
	t.Run("another query after the interval", func(t *testing.T) { expectLacks(t, 10*clock.Second, true) })
	t.Run("same members again", func(t *testing.T) {
		membersB.Apply(membersA.All(), false)
		membersA.Apply(membersB.All(), false)
		expectLacks(t, clock.Minute, false)
	})
}

// expectPushed checks whose updates are pushed.
func expectPushed(t *testing.T, members *node.Members, hosts ...string) {
	t.Helper()
	pushed := []string{}
	for _, member := range push(members).Members() {
		pushed = append(pushed, member.Host())
	}
	require.Equal(t, append([]string{}, hosts...), pushed)
}

// TestApplyAll checks that a starting node applies the members that a seed returns
// without pushing them again, which would load all links when many nodes start.
func TestApplyAll(t *testing.T) {
	b, c := newMember("b", "lj-a", 5), newMember("c", "lj-b", 5)
	setUp := func() *node.Members {
		members := newMembers(clock.NewManual(1000), "a", "lj-a")
		members.ApplyAll(node.NewDigest(newMember("seed", "lj-a", 1), []node.Member{b, c}, nil, node.Sums{}))
		return members
	}
	t.Run("all are live", func(t *testing.T) { expectLive(t, setUp(), "b", "c", "seed") })
	t.Run("the members are not pushed again", func(t *testing.T) { expectPushed(t, setUp(), "seed") })
	t.Run("their later updates are pushed", func(t *testing.T) {
		members := setUp()
		push(members)
		expectUrgent(t, members, stopping(c), true)
		expectPushed(t, members, "c", "teller")
	})
}

// evidenceAge is how long evidence is gossiped.
const evidenceAge = clock.Minute

// TestBoundsAtScale checks the bounds that must not grow with the deployment,
// at 380 nodes in 5 data centres.
func TestBoundsAtScale(t *testing.T) {
	const nodes = 380
	var all []node.Member
	for i := range nodes {
		dataCentre := []string{"lj-a", "lj-b", "lj-c", "lhr-a", "lhr-b"}[i%5]
		all = append(all, newMember(fmt.Sprintf("%s-entry-%d", dataCentre, i), dataCentre, 1))
	}
	watchers, inLinks := map[string]int{}, map[string]int{}
	for _, self := range all {
		members := newMembers(clock.NewManual(1000), self.Host(), self.DataCentre())
		members.Apply(node.NewDigest(all[0], all, nil, node.Sums{}), false)
		members.Apply(node.NewDigest(all[1], all, nil, node.Sums{}), false)
		if members.IsWatcher() {
			watchers[self.DataCentre()]++
		}
		for _, link := range members.Links() {
			inLinks[link.Host()]++
		}
		require.Len(t, members.Links(), 4)
		require.Len(t, members.Digest().Members(), 4)
		require.LessOrEqual(t, len(push(members).Members()), 32)
	}
	require.Equal(t, map[string]int{"lj-a": 2, "lj-b": 2, "lj-c": 2, "lhr-a": 2, "lhr-b": 2}, watchers)
	require.Len(t, inLinks, nodes, "some node has no link to it")
}
