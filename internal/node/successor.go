package node

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Tag returns the number by which request ids identify the host of a node.
func Tag(host string) uint32 { return uint32(xxhash.Sum64String(host)) }

// Successors returns up to count members in the order in which they take over
// from the node with the tag. The order is by rendezvous hashing, so all nodes
// with the same members agree on it, and the loss of one member does not
// reorder the others. The node itself is left out.
//
// All streams of a node have the same first successor, so that the hints of a
// node go to one peer in one message, whatever the number of nodes.
func Successors(tag uint32, members []Member, count int) []Member {
	type ranked struct {
		member Member
		weight uint64
	}
	var order []ranked
	for _, member := range members {
		if Tag(member.host) != tag {
			order = append(order, ranked{member: member, weight: xxhash.Sum64String(member.host + "\x00" + strconv.FormatUint(uint64(tag), 16))})
		}
	}
	slices.SortFunc(order, func(a, b ranked) int { return cmp.Compare(b.weight, a.weight) })
	var successors []Member
	for _, ranked := range order[:min(count, len(order))] {
		successors = append(successors, ranked.member)
	}
	return successors
}
