package node_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/node"
)

func membersOf(count int) []node.Member {
	var members []node.Member
	for i := range count {
		members = append(members, node.NewMember(fmt.Sprint("entry-", i), "", "lj-a", 1))
	}
	return members
}

func hostsOf(members []node.Member) []string {
	var hosts []string
	for _, member := range members {
		hosts = append(hosts, member.Host())
	}
	return hosts
}

func TestSuccessors(t *testing.T) {
	members := membersOf(7)
	tag := node.Tag("entry-3")
	order := hostsOf(node.Successors(tag, members, 7))
	t.Run("the node itself is left out", func(t *testing.T) {
		require.Len(t, order, 6)
		require.NotContains(t, order, "entry-3")
	})
	t.Run("the same from any order of members", func(t *testing.T) {
		require.Equal(t, order[:3], hostsOf(node.Successors(tag, append(membersOf(7)[4:], members[:4]...), 3)))
	})
	t.Run("the loss of one member reorders no other", func(t *testing.T) {
		var fewer []node.Member
		for _, member := range members {
			if member.Host() != order[0] {
				fewer = append(fewer, member)
			}
		}
		require.Equal(t, order[1:], hostsOf(node.Successors(tag, fewer, 7)))
	})
	t.Run("nodes have different first successors", func(t *testing.T) {
		first := map[string]bool{}
		for _, member := range membersOf(50) {
			first[node.Successors(node.Tag(member.Host()), membersOf(50), 1)[0].Host()] = true
		}
		require.Greater(t, len(first), 20)
	})
}

func TestHints(t *testing.T) {
	manual := clock.NewManual(1000)
	hints := node.NewHints(manual.Clock())
	expectStream := func(streamID string, found bool) {
		t.Helper()
		hint, ok := hints.Find("req-1")
		require.Equal(t, found, ok)
		require.Equal(t, streamID, hint.StreamID())
	}
	hints.Store(node.NewHint("req-1", 1, 2, 3, 4, "stream-1", 2000))
	expectStream("stream-1", true)
	hints.Store(node.NewHint("req-1", 1, 2, 3, 5, "stream-2", 3000))
	manual.Advance(1000)
	expectStream("stream-2", true)
	manual.Advance(1000)
	expectStream("", false)
}
