package admission

import (
	"math"

	"sapphirehead/internal/clock"
)

const (
	// window is the age up to which the figures of a peer count. A node without requests
	// sends bulletins every 0.6 s, of which two may be lost.
	window = 2 * clock.Second
	// rateMillis is the time constant of the rates: one bulletin of a node in a deployment
	// of 74. With 600 ms the estimate of the capacity was too low in the first second of an
	// overload, and the loop recovered from 2.5 times the capacity in more than 2 s.
	rateMillis = 300.0
)

const (
	// gapWeight is the weight of one bulletin in the mean time between them, and minGap the
	// least such time in milliseconds.
	gapWeight = 0.2
	minGap    = 100.0
	// recentGaps is the age, in mean times between bulletins, up to which figures are
	// recent.
	recentGaps = 2.5
)

// rate is a rate per second with exponential decay, of a sum that is read at intervals.
type rate struct {
	sum       int64
	perSecond float64
}

// elapse is a time that has elapsed, with its decay.
type elapse struct {
	millis float64
	decay  float64
}

func newElapse(millis float64) elapse {
	return elapse{millis: millis, decay: math.Exp(-millis / rateMillis)}
}

// update moves the rate on by the elapsed time, in which the sum has changed to the latest
// one.
func (rate *rate) update(sum int64, elapsed elapse) {
	rate.perSecond = rate.perSecond*elapsed.decay + (1-elapsed.decay)*float64(max(0, sum-rate.sum))*1000/elapsed.millis
	rate.sum = sum
}

// rankRates are the figures of a rank at one node.
type rankRates struct {
	latest     RankSums
	begun      rate
	late       rate
	turnedAway rate
}

func (rates *rankRates) update(latest RankSums, elapsed elapse) {
	rates.latest = latest
	rates.begun.update(latest.begun, elapsed)
	rates.late.update(latest.late, elapsed)
	rates.turnedAway.update(latest.turnedAway, elapsed)
}

// classRates are the rates of a class at one node.
type classRates struct {
	class Class
	// total are the rates over all nodes to which these are added.
	total     *classControl
	updatedAt clock.Millis
	offered   rate
	returned  rate
}

// nodeRates are the figures of one node, this one or a peer. The rates of a peer are those
// of the time before its latest bulletin, so what waits and what begins there are always
// of the same age.
type nodeRates struct {
	incarnation int64
	sequence    int64
	receivedAt  clock.Millis
	// gap is the mean time between two bulletins.
	gap        float64
	overloaded bool
	begun      rate
	ranks      [ranks]rankRates
	classes    map[Class]*classRates
	// list has the classes in the order in which they were first seen. Sums over all peers
	// are formed from it, as iterating over maps took most of the time of an update.
	list []*classRates
}

func newNodeRates(incarnation int64) *nodeRates {
	return &nodeRates{incarnation: incarnation, classes: map[Class]*classRates{}}
}

// update applies sums that were read now. FromStart tells that a class that is seen for
// the first time counts from 0; otherwise it is not known when its cost was offered, and
// the sums only set what to count from.
func (rates *nodeRates) update(sums Sums, fromStart bool, now clock.Millis) {
	elapsed := newElapse(float64(now - rates.receivedAt))
	isFirst := rates.receivedAt == 0
	rates.receivedAt, rates.overloaded = now, sums.overloaded
	if isFirst {
		rates.begun.sum = sums.begun
	} else if rates.gap += gapWeight * (elapsed.millis - rates.gap); rates.gap < minGap {
		rates.gap = minGap
	}
	rates.begun.update(sums.begun, elapsed)
	for i := range rates.ranks {
		rates.ranks[i].latest.waiting = 0
	}
	for _, rank := range sums.ranks {
		known := &rates.ranks[rank.rank]
		if isFirst {
			known.begun.sum, known.late.sum, known.turnedAway.sum = rank.begun, rank.late, rank.turnedAway
		}
		known.update(rank, elapsed)
	}
	for _, class := range sums.classes {
		known := rates.classes[class.class]
		if known == nil {
			known = &classRates{class: class.class}
			if !fromStart {
				known.offered.sum, known.returned.sum = class.offered, class.returned
			}
			rates.classes[class.class] = known
			rates.list = append(rates.list, known)
		}
		known.updatedAt = now
		known.offered.update(class.offered, elapsed)
		known.returned.update(class.returned, elapsed)
	}
	for _, known := range rates.list {
		if known.updatedAt != now {
			known.offered.update(known.offered.sum, elapsed)
			known.returned.update(known.returned.sum, elapsed)
		}
	}
}

// isRecent reports whether the figures of a peer are recent enough to be added to those of
// others. A peer that is silent for longer than one lost bulletin explains may be cut off,
// and the load of the nodes that are left may have changed.
func (rates *nodeRates) isRecent(now clock.Millis) bool {
	return float64(now-rates.receivedAt) <= recentGaps*max(rates.gap, minGap)
}

// Merge applies the sums that a peer sent with the bulletin of the numbers. The sums of a
// peer that is new, or was silent for longer than the window, only set what to count from.
func (admission *Admission) Merge(host string, incarnation, sequence int64, sums Sums, now clock.Millis) {
	admission.mutex.Lock()
	defer admission.mutex.Unlock()
	peer := admission.peers[host]
	switch {
	case peer == nil || now-peer.receivedAt >= window:
		peer = newNodeRates(incarnation)
		admission.peers[host] = peer
	case incarnation < peer.incarnation || (incarnation == peer.incarnation && sequence <= peer.sequence) || now <= peer.receivedAt:
		return
	case incarnation > peer.incarnation:
		restarted := newNodeRates(incarnation)
		restarted.receivedAt = peer.receivedAt
		peer = restarted
		admission.peers[host] = peer
	}
	peer.sequence = sequence
	peer.update(sums, false, now)
}
