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
// now with the sum of the times for which they have, and since the start those whose responses began, those that began late, and those
// that were admitted and turned away as they would have been late.
type RankSums struct {
	rank       int
	waiting    int64
	waited     clock.Millis
	begun      int64
	late       int64
	turnedAway int64
	target     clock.Millis
}

// NewRankSums returns the counts of the rank, whose requests have the mean target.
func NewRankSums(rank int, waiting int64, waited clock.Millis, begun, late, turnedAway int64, target clock.Millis) RankSums {
	return RankSums{rank: min(max(rank, 0), ranks-1), waiting: waiting, waited: waited, begun: begun, late: late, turnedAway: turnedAway, target: target}
}

// Rank returns the rank.
func (sums RankSums) Rank() int { return sums.rank }

// Waiting returns the number of requests that wait for their responses to begin.
func (sums RankSums) Waiting() int64 { return sums.waiting }

// Waited returns the sum of the times for which the waiting requests have waited.
func (sums RankSums) Waited() clock.Millis { return sums.waited }

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
	pool       string
	overloaded bool
	begun      int64
	ranks      []RankSums
	classes    []ClassSums
}

// NewSums returns the sums of the pool: the cost of the requests whose responses began, and
// the counts by rank and by class.
func NewSums(pool string, begun int64, rankSums []RankSums, classSums []ClassSums) Sums {
	return Sums{pool: pool, begun: begun, ranks: rankSums, classes: classSums}
}

// WithOverload returns a copy of a node at which the pool counts as overloaded.
func (sums Sums) WithOverload() Sums {
	sums.overloaded = true
	return sums
}

// Overloaded reports whether the pool counts as overloaded at the sender.
func (sums Sums) Overloaded() bool { return sums.overloaded }

// Pool returns the name of the pool.
func (sums Sums) Pool() string { return sums.pool }

// Begun returns the cost of the requests whose responses began.
func (sums Sums) Begun() int64 { return sums.begun }

// Ranks returns the counts by rank.
func (sums Sums) Ranks() []RankSums { return sums.ranks }

// Classes returns the sums by class.
func (sums Sums) Classes() []ClassSums { return sums.classes }

// Sums returns the sums of this node for its peers, in order of class. Classes without
// requests within the window are left out: each node gets few of most classes, and many
// bulletins are sent.
func (admission *Admission) Sums(pool string, now clock.Millis) Sums {
	sums := NewSums(pool, admission.begun.Load(), nil, nil)
	sums.overloaded = admission.overloaded.Load()
	for i := range admission.ranks {
		rank := admission.rankSums(i, now)
		if rank.waiting != 0 || rank.begun != 0 || rank.turnedAway != 0 {
			sums.ranks = append(sums.ranks, rank)
		}
	}
	for class, state := range *admission.classes.Load() {
		if now-clock.Millis(state.changedAt.Load()) < window {
			sums.classes = append(sums.classes, state.sums(class))
		}
	}
	slices.SortFunc(sums.classes, compareClasses)
	return sums
}

// ClassTotals returns the sums of all classes at this node, in order of class.
func (admission *Admission) ClassTotals() []ClassSums {
	var totals []ClassSums
	for class, state := range *admission.classes.Load() {
		totals = append(totals, state.sums(class))
	}
	slices.SortFunc(totals, compareClasses)
	return totals
}

func compareClasses(a, b ClassSums) int {
	return cmp.Or(cmp.Compare(a.class.account, b.class.account), cmp.Compare(a.class.rank, b.class.rank))
}

func (state *classState) sums(class Class) ClassSums {
	return NewClassSums(class, state.offered.Load(), state.returned.Load(), state.admitted.Load())
}

func (admission *Admission) rankSums(index int, now clock.Millis) RankSums {
	rank := &admission.ranks[index]
	waiting, waited := rank.waitingNow(now)
	return NewRankSums(index, waiting, clock.Millis(waited), rank.begun.Load(), rank.late.Load(), rank.turnedAway.Load(), rank.meanTarget())
}
