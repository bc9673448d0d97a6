package admission

import (
	"math"

	"sapphirehead/internal/clock"
)

// UpdateInterval is the interval at which Update is called.
const UpdateInterval = 50 * clock.Millisecond

const (
	// window is the age up to which the sums of a peer count. Peers of nodes without
	// requests send bulletins every 0.6 s, of which two may be lost.
	window = 2 * clock.Second
	// rateMillis is the time constant of the rates of cost: about two bulletins of a node
	// in a deployment of 74.
	rateMillis = 600.0
	// usualMillis is the time constant of the usual rate of a class.
	usualMillis = 20_000.0
	// calmMillis is the time constant of the usual wait of a rank.
	calmMillis = 5000.0
	// gain is the share of the capacity by which the admitted rate exceeds it while no
	// request waits, and by which it is lower while they wait for twice as long as they
	// should. The loop has a delay of about 0.35 s (the age of the figures) and a time
	// constant of the wait divided by the gain; more than 0.6 oscillates.
	gain = 0.4
	// maxWaitShare and minWaitShare bound the wait to which an overloaded pool is
	// regulated, as a share of the target. It falls while responses begin late.
	maxWaitShare = 0.5
	minWaitShare = 0.25
	// calmMargin is the least distance of that wait from the usual one.
	calmMargin = 0.15
	// maxCalmShare bounds the usual wait as a share of the target.
	maxCalmShare = 0.5
	// maxLateShare is the share of responses that may begin late.
	maxLateShare = 0.01
	// waitShareFall and waitShareRise are the rates per second at which the wait to which
	// the pool is regulated falls and rises.
	waitShareFall = 0.5
	waitShareRise = 0.05
	// minBegun is the least number of responses in the time constant of the rates from
	// which the wait of a rank is known.
	minBegun = 8.0
	// peakFall is the rate per second at which the highest recent rate of responses
	// decays, and floorShare the share of it that is always admitted, so that wrong
	// figures cannot close a pool.
	peakFall   = 0.1
	floorShare = 0.4
	// holdMillis is the time for which the pool counts as overloaded after all offered
	// requests were admitted.
	holdMillis = 600.0
	// usualShare is the multiple of the usual cost of rank 0 that is admitted before the
	// other ranks of all accounts.
	usualRankShare = 2.0
)

// rate is a rate per second with exponential decay.
type rate struct {
	pending   float64
	perSecond float64
}

// update decays the rate over the elapsed milliseconds and adds what is pending.
func (rate *rate) update(elapsed float64) {
	decay := math.Exp(-elapsed / rateMillis)
	if elapsed > 0 {
		rate.perSecond = rate.perSecond*decay + (1-decay)*rate.pending*1000/elapsed
		rate.pending = 0
	}
}

// rankControl holds the figures of a rank over all nodes.
type rankControl struct {
	own        RankSums
	begun      rate
	late       rate
	turnedAway rate
	// calm is the usual wait in milliseconds while the pool is not overloaded.
	calm float64
}

// add adds the increase of the counts at a node.
func (rank *rankControl) add(latest, previous RankSums) {
	rank.begun.pending += float64(max(0, latest.begun-previous.begun))
	rank.late.pending += float64(max(0, latest.late-previous.late))
	rank.turnedAway.pending += float64(max(0, latest.turnedAway-previous.turnedAway))
}

// classControl holds the rates of a class over all nodes.
type classControl struct {
	own      ClassSums
	offered  rate
	returned rate
	admitted rate
	// usual is the rate of the offered cost while the pool is not overloaded, and known
	// the milliseconds for which it was observed.
	usual float64
	known float64
}

func (class *classControl) add(latest, previous ClassSums) {
	class.offered.pending += float64(max(0, latest.offered-previous.offered))
	class.returned.pending += float64(max(0, latest.returned-previous.returned))
	// Requests that were turned away are taken from the admitted cost again.
	class.admitted.pending += float64(latest.admitted - previous.admitted)
}

// control is the state of the regulation, which belongs to the holder of the mutex.
type control struct {
	updatedAt clock.Millis
	ownBegun  int64
	begun     rate
	peak      float64
	ranks     [ranks]rankControl
	classes   map[Class]*classControl
	// active is set while the pool counts as overloaded, and fits is the time in
	// milliseconds for which all that is offered has fitted.
	active bool
	fits   float64
	// waitShare is the wait to which the pool is regulated, as a share of the target.
	waitShare float64
	latest    Figures
}

func newControl() control {
	return control{classes: map[Class]*classControl{}, waitShare: maxWaitShare}
}

func (control *control) class(class Class) *classControl {
	if control.classes[class] == nil {
		control.classes[class] = &classControl{}
	}
	return control.classes[class]
}

// Figures are the figures of the latest update, for the metrics.
type Figures struct {
	overloaded bool
	capacity   float64
	offered    float64
	wait       float64
	late       float64
	age        clock.Millis
}

// Overloaded reports whether the pool counts as overloaded.
func (figures Figures) Overloaded() bool { return figures.overloaded }

// Capacity returns the rate in cost per second that may be admitted, or 0 while the pool
// is not overloaded.
func (figures Figures) Capacity() float64 { return figures.capacity }

// Offered returns the rate in cost per second that all nodes are offered.
func (figures Figures) Offered() float64 { return figures.offered }

// WaitShare returns the wait of the rank that waits longest, as a share of its target.
func (figures Figures) WaitShare() float64 { return figures.wait }

// LateShare returns the share of the responses that began late.
func (figures Figures) LateShare() float64 { return figures.late }

// Age returns the age of the oldest figures of a peer.
func (figures Figures) Age() clock.Millis { return figures.age }

// Figures returns the figures of the latest update.
func (admission *Admission) Figures() Figures {
	admission.mutex.Lock()
	defer admission.mutex.Unlock()
	return admission.control.latest
}

// Update estimates the capacity and the shares anew.
func (admission *Admission) Update(now clock.Millis) {
	admission.mutex.Lock()
	defer admission.mutex.Unlock()
	control := &admission.control
	elapsed := float64(now - control.updatedAt)
	if control.updatedAt == 0 {
		elapsed = float64(UpdateInterval)
	}
	if elapsed <= 0 {
		return
	}
	control.updatedAt = now
	admission.addOwn()
	control.decay(elapsed)
	waiting, age := admission.waiting(now)
	wait, late := control.pressure(waiting, elapsed)
	offered := 0.0
	for _, class := range control.classes {
		offered += class.offered.perSecond
	}
	control.regulateWait(late, elapsed)
	control.latest = Figures{offered: offered, wait: wait, late: late, age: age}
	limit := control.limit(wait)
	control.setActive(wait, offered, limit, elapsed)
	if !control.active {
		control.learnUsual(elapsed)
		admission.plan.Store(nil)
		return
	}
	control.latest.overloaded, control.latest.capacity = true, limit
	made := control.newPlan(admission.weight, limit)
	made.madeAt, made.age, made.offered = now, age, offered
	admission.plan.Store(made)
}

// addOwn adds what this node has counted since the latest update.
func (admission *Admission) addOwn() {
	control := &admission.control
	begun := admission.begun.Load()
	control.begun.pending += float64(begun - control.ownBegun)
	control.ownBegun = begun
	for i := range control.ranks {
		latest := admission.rankSums(i)
		control.ranks[i].add(latest, control.ranks[i].own)
		control.ranks[i].own = latest
	}
	for class, state := range *admission.classes.Load() {
		latest := NewClassSums(class, state.offered.Load(), state.returned.Load(), state.admitted.Load())
		sums := control.class(class)
		sums.add(latest, sums.own)
		sums.own = latest
	}
}

// decay moves all rates on by the elapsed milliseconds.
func (control *control) decay(elapsed float64) {
	control.begun.update(elapsed)
	control.peak = max(control.begun.perSecond, control.peak*math.Exp(-peakFall*elapsed/1000))
	for i := range control.ranks {
		rank := &control.ranks[i]
		rank.begun.update(elapsed)
		rank.late.update(elapsed)
		rank.turnedAway.update(elapsed)
	}
	for _, class := range control.classes {
		class.offered.update(elapsed)
		class.returned.update(elapsed)
		class.admitted.update(elapsed)
	}
}

// rankWait is what waits of a rank over all nodes, and the mean target there.
type rankWait struct {
	waiting float64
	target  float64
}

// waiting returns the requests that wait over all nodes that were heard of within the
// window, and the age of the oldest figures. It drops the other peers.
func (admission *Admission) waiting(now clock.Millis) (waiting [ranks]rankWait, age clock.Millis) {
	var weights [ranks]float64
	add := func(sums RankSums) {
		wait := &waiting[sums.rank]
		wait.waiting += float64(max(0, sums.waiting))
		if weight := float64(sums.begun + sums.waiting); weight > 0 && sums.target > 0 {
			wait.target += weight * float64(sums.target)
			weights[sums.rank] += weight
		}
	}
	for i := range admission.ranks {
		add(admission.rankSums(i))
	}
	for host, peer := range admission.peers {
		if now-peer.receivedAt >= window {
			delete(admission.peers, host)
			continue
		}
		age = max(age, now-peer.receivedAt)
		for _, sums := range peer.ranks {
			add(sums)
		}
	}
	for i := range waiting {
		if weights[i] > 0 {
			waiting[i].target /= weights[i]
		}
	}
	return waiting, age
}

// pressure returns the longest wait of a rank as a share of its target, and the share of
// responses that begin late. The mean wait of a rank is, by Little's law, the number that
// wait divided by the rate at which responses begin.
func (control *control) pressure(waiting [ranks]rankWait, elapsed float64) (wait, late float64) {
	begun, lateBegun, turnedAway := 0.0, 0.0, 0.0
	for i := range control.ranks {
		rank := &control.ranks[i]
		begun += rank.begun.perSecond
		lateBegun += rank.late.perSecond
		turnedAway += rank.turnedAway.perSecond
		if waiting[i].target == 0 || rank.begun.perSecond*rateMillis/1000+waiting[i].waiting < minBegun {
			continue
		}
		millis := waiting[i].waiting / max(rank.begun.perSecond, 1000/rateMillis) * 1000
		wait = max(wait, millis/waiting[i].target)
		if !control.active {
			usual := min(millis, maxCalmShare*waiting[i].target)
			rank.calm += (1 - math.Exp(-elapsed/calmMillis)) * (usual - rank.calm)
		}
		if calm := rank.calm / waiting[i].target; calm+calmMargin > control.waitShare {
			// The usual wait is no sign of overload.
			control.waitShare = calm + calmMargin
		}
	}
	if begun+turnedAway == 0 {
		return wait, 0
	}
	// Requests that are turned away at the chosen server no longer wait.
	return wait + turnedAway/(begun+turnedAway), lateBegun / max(begun, 1)
}

// regulateWait lowers the wait to which the pool is regulated while responses begin late.
func (control *control) regulateWait(late, elapsed float64) {
	if late > maxLateShare {
		control.waitShare = max(minWaitShare, control.waitShare-waitShareFall*min(1, late/maxLateShare-1)*elapsed/1000)
		return
	}
	control.waitShare = min(maxWaitShare, control.waitShare+waitShareRise*elapsed/1000)
}

// limit returns the rate of cost that may be admitted: the rate at which responses begin,
// and less or more of it as requests wait longer or shorter than they should.
func (control *control) limit(wait float64) float64 {
	excess := min(max((control.waitShare-wait)/control.waitShare, -1), 1)
	return max(control.begun.perSecond*(1+gain*excess), floorShare*control.peak)
}

// setActive decides whether the pool counts as overloaded.
func (control *control) setActive(wait, offered, limit, elapsed float64) {
	switch {
	case wait > control.waitShare:
		control.active, control.fits = true, 0
	case control.active && offered <= limit:
		if control.fits += elapsed; control.fits >= holdMillis {
			control.active = false
		}
	default:
		control.fits = 0
	}
}

// learnUsual learns the usual rates of the classes.
func (control *control) learnUsual(elapsed float64) {
	for _, class := range control.classes {
		class.known += elapsed
		weight := max(1-math.Exp(-elapsed/usualMillis), elapsed/(class.known+rateMillis))
		class.usual += min(weight, 1) * (class.offered.perSecond - class.usual)
	}
}
