package admission

import (
	"math"

	"sapphirehead/internal/clock"
)

// UpdateInterval is the interval at which Update is called.
const UpdateInterval = 50 * clock.Millisecond

const (
	// usualMillis is the time constant of the usual rate of a class.
	usualMillis = 20_000.0
	// calmMillis is the time constant of the usual wait of a rank.
	calmMillis = 5000.0
	// gainUp is the share of the capacity by which the admitted rate exceeds it while no
	// request waits, and gainDown the share by which it is lower while they wait for twice
	// as long as they should. The loop has a delay of about 0.35 s (the age of the figures)
	// and a time constant of the wait divided by the gain. With gainDown 0.4 other accounts
	// than the greedy ones got 0.80 in the first second of 2.5 times the capacity, with 0.25
	// 0.93 or more.
	gainUp   = 0.4
	gainDown = 0.25
	// maxExcess bounds the excess of the wait, in multiples of the one to which the pool is
	// regulated. From the simple excess on, gainDown grows with it.
	maxExcess = 2.0
	// waitedFactor is the multiple of the mean time for which requests have waited so far
	// that bounds the estimated wait. In a stationary queue the wait is twice that time; with
	// 2.0 an overload was noticed 0.1 s later.
	waitedFactor = 4.0
	// quietMillis is the time without long waits after which gainUp doubles, so that a
	// refused share that nothing supports any more is gone within a second or two.
	quietMillis = 500.0
	quietShare  = 0.5
	// maxWaitShare and minWaitShare bound the wait to which an overloaded pool is
	// regulated, as a share of the target. It falls while responses begin late.
	maxWaitShare = 0.45
	minWaitShare = 0.25
	// calmMargin is the least distance of that wait from the usual one.
	calmMargin = 0.15
	// maxCalmShare bounds the usual wait as a share of the target.
	maxCalmShare = 0.5
	// maxLateShare is the share of responses that may begin late.
	maxLateShare = 0.01
	// overloadLateShare is the share of late responses from which a pool counts as
	// overloaded at a shorter wait than maxWaitShare.
	overloadLateShare = 0.1
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
	// calmClassInterval is the interval at which the rates of the classes are summed up
	// while the pool is not overloaded. The work grows with the number of nodes.
	calmClassInterval = 500 * clock.Millisecond
	// usualSlack is the multiple of its usual cost that an account may ask for and is given
	// before others get more than that. The rate of an account with 40 requests a second
	// varies by a fifth.
	usualSlack = 1.5
	// usualRankShare is the multiple of the usual cost of rank 0 that is admitted before the
	// other ranks of all accounts: that of an account at seven times its usual load. Without
	// a bound other accounts got 0.85 of what they asked for at 2.5 times the capacity, of
	// which three greedy accounts sent the excess.
	usualRankShare = 8.0
)

// rankControl holds the figures of a rank over all nodes.
type rankControl struct {
	// calm is the usual wait in milliseconds while the pool is not overloaded.
	calm float64
}

// classControl holds the rates of a class over all nodes.
type classControl struct {
	offered  float64
	returned float64
	// usual is the rate of the offered cost while the pool is not overloaded, and known
	// the milliseconds for which it was observed.
	usual float64
	known float64
}

// control is the state of the regulation, which belongs to the holder of the mutex.
type control struct {
	updatedAt clock.Millis
	// own are the rates of this node, and begun the cost per second of responses begun at
	// all nodes, with its recent maximum.
	own     *nodeRates
	begun   float64
	peak    float64
	ranks   [ranks]rankControl
	classes map[Class]*classControl
	// offered is the cost per second offered to all nodes, of the time at which the classes
	// were last summed up.
	offered   float64
	classesAt clock.Millis
	// active is set while the pool counts as overloaded, and fits is the time in
	// milliseconds for which all that is offered has fitted.
	active bool
	fits   float64
	// waitShare is the wait to which the pool is regulated, as a share of the target.
	waitShare float64
	// quiet is the time in milliseconds for which waits have been shorter than quietShare
	// of that.
	quiet  float64
	latest Figures
}

func newControl() control {
	return control{own: newNodeRates(0), classes: map[Class]*classControl{}, waitShare: maxWaitShare}
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
		elapsed, control.own.receivedAt = float64(UpdateInterval), now-UpdateInterval
	}
	if elapsed <= 0 {
		return
	}
	control.updatedAt = now
	control.own.update(admission.allSums(now), true, now)
	totals, age := admission.totals(now)
	if control.active || now-control.classesAt >= calmClassInterval {
		admission.sumClasses(float64(now-control.classesAt), now)
		control.classesAt = now
	}
	control.begun = totals.begun
	control.peak = max(totals.begun, control.peak*math.Exp(-peakFall*elapsed/1000))
	wait, late := control.pressure(totals, elapsed)
	control.regulateWait(late, elapsed)
	control.latest = Figures{offered: control.offered, wait: wait, late: late, age: age}
	if control.quiet += elapsed; wait > quietShare*control.waitShare {
		control.quiet = 0
	}
	limit := control.limit(wait)
	wasActive := control.active
	control.setActive(wait, late, limit, elapsed, totals)
	admission.overloaded.Store(control.active)
	if control.active && !wasActive {
		admission.sumClasses(0, now)
	}
	if !control.active {
		admission.plan.Store(nil)
		return
	}
	control.latest.overloaded, control.latest.capacity = true, limit
	made := control.newPlan(admission.weight, limit)
	made.madeAt, made.age, made.offered = now, age, control.offered
	admission.plan.Store(made)
}

// allSums returns the sums of this node with all classes.
func (admission *Admission) allSums(now clock.Millis) Sums {
	sums := NewSums("", admission.begun.Load(), nil, admission.ClassTotals())
	for i := range admission.ranks {
		sums.ranks = append(sums.ranks, admission.rankSums(i, now))
	}
	return sums
}

// rankTotals are the figures of a rank over all nodes: the requests that wait, their mean
// target in milliseconds, and responses per second.
type rankTotals struct {
	waiting    float64
	waited     float64
	target     float64
	weight     float64
	begun      float64
	late       float64
	turnedAway float64
}

// totals are the figures over all nodes.
type totals struct {
	begun float64
	ranks [ranks]rankTotals
	// peers is the number of peers, and overloaded that of those at which the pool counts
	// as overloaded.
	peers      int
	overloaded int
}

// totals returns the figures over all nodes that were heard of within the window, and the
// age of the oldest ones. It drops the other peers.
func (admission *Admission) totals(now clock.Millis) (totals totals, age clock.Millis) {
	control := &admission.control
	totals.add(control.own)
	for host, peer := range admission.peers {
		if now-peer.receivedAt >= window {
			delete(admission.peers, host)
			continue
		}
		if !peer.isRecent(now) {
			continue
		}
		age = max(age, now-peer.receivedAt)
		totals.add(peer)
		totals.peers++
		if peer.overloaded {
			totals.overloaded++
		}
	}
	for i := range totals.ranks {
		if rank := &totals.ranks[i]; rank.weight > 0 {
			rank.target /= rank.weight
		}
	}
	return totals, age
}

// add adds the figures of one node.
func (totals *totals) add(node *nodeRates) {
	totals.begun += node.begun.perSecond
	for i := range node.ranks {
		rates, total := &node.ranks[i], &totals.ranks[i]
		total.waiting += float64(max(0, rates.latest.waiting))
		total.waited += float64(max(0, rates.latest.waited))
		total.begun += rates.begun.perSecond
		total.late += rates.late.perSecond
		total.turnedAway += rates.turnedAway.perSecond
		if weight := float64(rates.latest.begun + rates.latest.waiting); weight > 0 && rates.latest.target > 0 {
			total.target += weight * float64(rates.latest.target)
			total.weight += weight
		}
	}
}

// sumClasses adds up the rates of the classes over all nodes. The elapsed milliseconds
// count for the usual rates.
func (admission *Admission) sumClasses(elapsed float64, now clock.Millis) {
	control := &admission.control
	for _, class := range control.classes {
		class.offered, class.returned = 0, 0
	}
	control.offered = 0
	control.addClasses(control.own)
	for _, peer := range admission.peers {
		if peer.isRecent(now) {
			control.addClasses(peer)
		}
	}
	if !control.active {
		control.learnUsual(elapsed)
	}
}

func (control *control) addClasses(node *nodeRates) {
	for _, rates := range node.list {
		if rates.total == nil {
			rates.total = control.class(rates.class)
		}
		rates.total.offered += rates.offered.perSecond
		rates.total.returned += rates.returned.perSecond
		control.offered += rates.offered.perSecond
	}
}

// pressure returns the longest wait of a rank as a share of its target, and the share of
// responses that begin late.
func (control *control) pressure(totals totals, elapsed float64) (wait, late float64) {
	begun, lateBegun, turnedAway := 0.0, 0.0, 0.0
	for i := range control.ranks {
		rank, total := &control.ranks[i], &totals.ranks[i]
		begun += total.begun
		lateBegun += total.late
		turnedAway += total.turnedAway
		if total.target == 0 || total.begun*rateMillis/1000+total.waiting < minBegun {
			continue
		}
		millis := total.wait()
		wait = max(wait, millis/total.target)
		if !control.active {
			usual := min(millis, maxCalmShare*total.target)
			rank.calm += (1 - math.Exp(-elapsed/calmMillis)) * (usual - rank.calm)
		}
		// The usual wait is no sign of overload.
		control.waitShare = max(control.waitShare, rank.calm/total.target+calmMargin)
	}
	if begun+turnedAway == 0 {
		return wait, 0
	}
	// Requests that are turned away at the chosen server no longer wait.
	return wait + turnedAway/(begun+turnedAway), lateBegun / max(begun, 1)
}

// wait returns the mean wait in milliseconds: by Little's law, the number that wait divided
// by the rate at which responses begin. In a queue that is stationary or grows, the mean
// time for which requests have waited so far is at least half of it, unlike in a burst
// that has just come. While few responses begin, only that time is known.
func (rank *rankTotals) wait() float64 {
	if rank.waiting == 0 {
		return 0
	}
	waited := rank.waited / rank.waiting
	if rank.begun*rateMillis/1000 < minBegun/2 {
		return waited
	}
	return min(rank.waiting/rank.begun*1000, waitedFactor*waited)
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
	excess := min(max((control.waitShare-wait)/control.waitShare, -maxExcess), 1)
	gain := gainUp * (1 + control.quiet/quietMillis)
	if excess < 0 {
		gain = gainDown * max(1, -excess)
	}
	return max(control.begun*(1+gain*excess), floorShare*control.peak)
}

// setActive decides whether the pool counts as overloaded. A mere share of late responses
// is no overload: some prompts are long, and some servers slow. A process that has just
// started joins its peers, whose queues may be short as they refuse requests.
func (control *control) setActive(wait, late, limit, elapsed float64, totals totals) {
	joins := control.offered > limit && 2*totals.overloaded > totals.peers
	switch {
	case joins || wait > max(maxWaitShare, control.waitShare) || (wait > control.waitShare && (control.active || late > overloadLateShare)):
		control.active, control.fits = true, 0
	case control.active && control.offered <= limit:
		if control.fits += elapsed; control.fits >= holdMillis {
			control.active = false
		}
	default:
		control.fits = 0
	}
}

// learnUsual learns the usual rates of the classes.
func (control *control) learnUsual(elapsed float64) {
	if elapsed <= 0 {
		return
	}
	for _, class := range control.classes {
		class.known += elapsed
		weight := max(1-math.Exp(-elapsed/usualMillis), elapsed/(class.known+rateMillis))
		class.usual += min(weight, 1) * (class.offered - class.usual)
	}
}
