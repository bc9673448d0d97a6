package admission

import (
	"cmp"
	"slices"

	"sapphirehead/internal/clock"
)

// ClassSums are the sums of a class at a node since its start, as cost.
type ClassSums struct {
	class    Class
	offered  int64
	returned int64
	admitted int64
}

// NewClassSums returns the sums of the class: the cost that was offered, the part of it by
// returned callers, and the cost that was admitted.
func NewClassSums(class Class, offered, returned, admitted int64) ClassSums {
	return ClassSums{class: class, offered: offered, returned: returned, admitted: admitted}
}

// Class returns the class.
func (sums ClassSums) Class() Class { return sums.class }

// Offered returns the cost that was offered.
func (sums ClassSums) Offered() int64 { return sums.offered }

// Returned returns the part of the offered cost that came with returned requests.
func (sums ClassSums) Returned() int64 { return sums.returned }

// Admitted returns the cost that was admitted.
func (sums ClassSums) Admitted() int64 { return sums.admitted }

// RankSums are the counts of the requests of a rank that have a target: those that wait
// now, and since the start those whose responses began, those that began late, and those
// that were admitted and turned away as they would have been late.
type RankSums struct {
	rank       int
	waiting    int64
	begun      int64
	late       int64
	turnedAway int64
	target     clock.Millis
}

// NewRankSums returns the counts of the rank, whose requests have the mean target.
func NewRankSums(rank int, waiting, begun, late, turnedAway int64, target clock.Millis) RankSums {
	return RankSums{rank: min(max(rank, 0), ranks-1), waiting: waiting, begun: begun, late: late, turnedAway: turnedAway, target: target}
}

// Rank returns the rank.
func (sums RankSums) Rank() int { return sums.rank }

// Waiting returns the number of requests that wait for their responses to begin.
func (sums RankSums) Waiting() int64 { return sums.waiting }

// Begun returns the number of responses begun.
func (sums RankSums) Begun() int64 { return sums.begun }

// Late returns the number of responses that began after their targets.
func (sums RankSums) Late() int64 { return sums.late }

// TurnedAway returns the number of admitted requests that were then refused.
func (sums RankSums) TurnedAway() int64 { return sums.turnedAway }

// Target returns the mean target.
func (sums RankSums) Target() clock.Millis { return sums.target }

// Sums are what a node tells its peers about a pool.
type Sums struct {
	pool    string
	begun   int64
	ranks   []RankSums
	classes []ClassSums
}

// NewSums returns the sums of the pool: the cost of the requests whose responses began, and
// the counts by rank and by class.
func NewSums(pool string, begun int64, rankSums []RankSums, classSums []ClassSums) Sums {
	return Sums{pool: pool, begun: begun, ranks: rankSums, classes: classSums}
}

// Pool returns the name of the pool.
func (sums Sums) Pool() string { return sums.pool }

// Begun returns the cost of the requests whose responses began.
func (sums Sums) Begun() int64 { return sums.begun }

// Ranks returns the counts by rank.
func (sums Sums) Ranks() []RankSums { return sums.ranks }

// Classes returns the sums by class.
func (sums Sums) Classes() []ClassSums { return sums.classes }

// Sums returns the sums of this node for its peers, in order of class.
func (admission *Admission) Sums(pool string) Sums {
	sums := NewSums(pool, admission.begun.Load(), nil, nil)
	for i := range admission.ranks {
		rank := admission.rankSums(i)
		if rank.waiting != 0 || rank.begun != 0 || rank.turnedAway != 0 {
			sums.ranks = append(sums.ranks, rank)
		}
	}
	for class, state := range *admission.classes.Load() {
		if offered := state.offered.Load(); offered != 0 {
			sums.classes = append(sums.classes, NewClassSums(class, offered, state.returned.Load(), state.admitted.Load()))
		}
	}
	slices.SortFunc(sums.classes, func(a, b ClassSums) int {
		return cmp.Or(cmp.Compare(a.class.account, b.class.account), cmp.Compare(a.class.rank, b.class.rank))
	})
	return sums
}

func (admission *Admission) rankSums(index int) RankSums {
	rank := &admission.ranks[index]
	return NewRankSums(index, rank.waiting.Load(), rank.begun.Load(), rank.late.Load(), rank.turnedAway.Load(), rank.meanTarget())
}

// peerState is what a peer told last.
type peerState struct {
	incarnation int64
	sequence    int64
	receivedAt  clock.Millis
	begun       int64
	ranks       [ranks]RankSums
	classes     map[Class]ClassSums
}

// Merge applies the sums that a peer sent with the bulletin of the numbers. The first sums
// of a peer, and those after a silence of more than the window, only set what to count
// from, as it is not known when their costs were offered.
func (admission *Admission) Merge(host string, incarnation, sequence int64, sums Sums, now clock.Millis) {
	admission.mutex.Lock()
	defer admission.mutex.Unlock()
	peer := admission.peers[host]
	known := peer != nil && now-peer.receivedAt < window
	switch {
	case peer == nil || (peer.incarnation != incarnation && !known):
		peer = &peerState{incarnation: incarnation, classes: map[Class]ClassSums{}}
	case incarnation < peer.incarnation || (incarnation == peer.incarnation && sequence <= peer.sequence):
		return
	case incarnation > peer.incarnation:
		peer = &peerState{incarnation: incarnation, classes: map[Class]ClassSums{}}
	}
	admission.peers[host] = peer
	peer.sequence, peer.receivedAt = sequence, now
	control := &admission.control
	if known {
		control.begun.pending += float64(max(0, sums.begun-peer.begun))
	}
	peer.begun = sums.begun
	for _, rank := range sums.ranks {
		if known {
			control.ranks[rank.rank].add(rank, peer.ranks[rank.rank])
		}
		peer.ranks[rank.rank] = rank
	}
	for _, class := range sums.classes {
		if known {
			control.class(class.class).add(class, peer.classes[class.class])
		}
		peer.classes[class.class] = class
	}
}
