package canary

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"sapphirehead/internal/clock"
)

const (
	// falseAlarm is the probability with which one Wald test takes a version for bad whose
	// rate of bad answers is that of the others.
	falseAlarm = 1e-4
	// minBad is the least number of bad answers that show a bad version: a handful on a
	// route with little traffic shows nothing.
	minBad = 8
	// oddsRatio tells a bad version from a good one: its odds of a bad answer are so many
	// times higher.
	oddsRatio = 6
	// The rates of the others count as at least the floors, as they aren't known exactly
	// and a new version begins with empty caches. While no others serve, nothing shows
	// what a disturbance does, so the floors are higher.
	failedFloor, failedFloorAlone = 0.02, 0.05
	slowFloor, slowFloorAlone     = 0.05, 0.5
	// rateMargin is by how much the rate of the others is overestimated.
	rateMargin = 1.2
	// The rate of the others is the higher one of those among the latest answers in a long
	// and in a short window: with the long one alone, a burst that slowed all versions
	// counted against the new one at its begin. It is current for baselineAge.
	longWindow, shortWindow = 200, 40
	baselineAge             = 2 * clock.Second
	// excessBad is the number of bad answers beyond those to be expected at which a
	// version is bad, however many answers were good: the page sets 50.
	excessBad = 40
	// minCrashes is the least number of crashes that show a bad version, by a Poisson test
	// with the error rate crashAlarm.
	minCrashes = 3
	crashAlarm = 1e-5
	// suspicion is the log-likelihood ratio, about three bad answers in close succession,
	// from which on a promotion or a success waits.
	suspicion = 4
	// allRoutes has the answers of all routes together.
	allRoutes = ""
)

// alarm is the log-likelihood ratio at which a test takes a version for bad.
var alarm = math.Log(1 / falseAlarm)

// test is a sequential probability ratio test that starts again whenever the evidence
// favours the version, so that good answers before a fault don't hide it.
type test struct {
	ratio float64
	bad   float64
}

// add adds answers, where a good version has bad ones at the rate.
func (test *test) add(answers, bad, rate float64) {
	rate = min(rate, 0.8)
	odds := oddsRatio * rate / (1 - rate)
	badRate := odds / (1 + odds)
	test.ratio += bad*math.Log(badRate/rate) + max(0, answers-bad)*math.Log((1-badRate)/(1-rate))
	test.bad += bad
	if test.ratio <= 0 {
		test.ratio, test.bad = 0, 0
	}
}

func (test *test) isBad() bool { return test.ratio >= alarm && test.bad >= minBad }

// window has the latest answers.
type window struct {
	answers, failed, slow float64
}

func (window *window) add(count Count, size float64) {
	window.answers += float64(count.answers)
	window.failed += count.failures()
	window.slow += float64(count.slow)
	if window.answers > size {
		scale := size / window.answers
		window.answers, window.failed, window.slow = size, window.failed*scale, window.slow*scale
	}
}

// upper returns an upper estimate of the portion of bad answers.
func (window *window) upper(bad float64) float64 {
	if window.answers == 0 {
		return 0
	}
	return rateMargin * (bad + math.Sqrt(bad)) / window.answers
}

// rates are the portions of bad answers of the other versions.
type rates struct {
	long, short window
}

func (rates *rates) add(count Count) {
	rates.long.add(count, longWindow)
	rates.short.add(count, shortWindow)
}

func (rates *rates) failed() float64 {
	return max(rates.long.upper(rates.long.failed), rates.short.upper(rates.short.failed))
}

func (rates *rates) slow() float64 {
	return max(rates.long.upper(rates.long.slow), rates.short.upper(rates.short.slow))
}

// failures returns the answers that failed and the crashes.
func (count Count) failures() float64 {
	return float64(count.failed) + float64(count.crashes)/crashUnit
}

// routeEvidence is the merged evidence on a route.
type routeEvidence struct {
	candidate, baseline Count
	usual               rates
	baselineAt          clock.Millis
	failed, slow        test
	// excess is the number of bad answers, and expected how many of them the rate of the
	// others explains.
	excess, expected float64
}

// add adds the increase of the counts of one node. After the promotion the others only
// finish what they have, and are no comparison any more.
func (route *routeEvidence) add(candidate, baseline Count, promoted bool, now clock.Millis) {
	route.candidate, route.baseline = route.candidate.plus(candidate), route.baseline.plus(baseline)
	if baseline.answers > 0 {
		route.usual.add(baseline)
		route.baselineAt = now
	}
	answers := float64(candidate.answers)
	if answers == 0 {
		return
	}
	usualFailed, usualSlow := route.usual.failed(), route.usual.slow()
	failedRate, slowRate := max(usualFailed, failedFloorAlone), max(usualSlow, slowFloorAlone)
	if !promoted && route.baselineAt > 0 && now-route.baselineAt <= baselineAge {
		failedRate, slowRate = max(usualFailed, failedFloor), max(usualSlow, slowFloor)
		route.excess += float64(candidate.slow)
		route.expected += answers * usualSlow
	}
	route.failed.add(answers, candidate.failures(), failedRate)
	route.slow.add(answers, float64(candidate.slow), slowRate)
	route.excess += candidate.failures()
	route.expected += answers * usualFailed
}

// isExcessive reports whether there are so many bad answers that their portion doesn't
// matter.
func (route *routeEvidence) isExcessive() bool {
	return route.excess >= excessBad && route.excess > 2*route.expected+excessBad/4
}

// crashesMore reports whether the version's servers crash more often than the others, by
// answers.
func (route *routeEvidence) crashesMore() bool {
	crashes := route.candidate.crashes / crashUnit
	if crashes < minCrashes {
		return false
	}
	perAnswer := (float64(route.baseline.crashes)/crashUnit + 1) / float64(route.baseline.answers+1)
	return poissonTail(crashes, rateMargin*perAnswer*float64(route.candidate.answers)) < crashAlarm
}

// poissonTail returns the probability of at least the number of events.
func poissonTail(events int64, expected float64) float64 {
	term, below := math.Exp(-expected), 0.0
	for i := range events {
		below += term
		term *= expected / float64(i+1)
	}
	return 1 - below
}

// problem returns what shows that the version is bad, or "".
func (route *routeEvidence) problem() string {
	switch {
	case route.failed.isBad():
		return "failures"
	case route.slow.isBad():
		return "slowness"
	case route.isExcessive():
		return "the number of bad answers"
	case route.crashesMore():
		return "crashes"
	default:
		return ""
	}
}

// evidence is the merged evidence of all nodes in one run of an order.
type evidence struct {
	byRoute map[string]*routeEvidence
	// isBad reports that the version was shown to be bad, for good.
	isBad bool
}

func newEvidence() *evidence { return &evidence{byRoute: map[string]*routeEvidence{}} }

// add adds the increase of the counts of one node on a route.
func (evidence *evidence) add(route string, candidate, baseline Count, promoted bool, now clock.Millis) {
	if candidate.IsZero() && baseline.IsZero() {
		return
	}
	for _, name := range [...]string{route, allRoutes} {
		known, ok := evidence.byRoute[name]
		if !ok {
			known = &routeEvidence{}
			evidence.byRoute[name] = known
		}
		known.add(candidate, baseline, promoted, now)
		evidence.isBad = evidence.isBad || !candidate.IsZero() && known.problem() != ""
	}
}

// verdict returns what the evidence shows.
func (evidence *evidence) verdict() Verdict {
	verdict := Verdict{}
	for _, name := range slices.Sorted(maps.Keys(evidence.byRoute)) {
		route := evidence.byRoute[name]
		where := "route " + name
		if name == allRoutes {
			where = "all routes"
		} else {
			verdict.routes = append(verdict.routes, NewSum(name, route.candidate, route.baseline))
		}
		suspect := route.failed.ratio >= suspicion || route.slow.ratio >= suspicion
		problem := route.problem()
		if problem == "" && !suspect || verdict.halted || problem == "" && verdict.suspect {
			continue
		}
		verdict.halted, verdict.suspect = problem != "", true
		if problem == "" {
			problem = "few bad answers so far"
		}
		verdict.reason = fmt.Sprintf("%s on %s: %s of the version, %s of others", problem, where, route.candidate.describe(), route.baseline.describe())
	}
	return verdict
}

func (count Count) describe() string {
	return fmt.Sprintf("%d failed, %d slow, %.1f crashes in %d answers", count.failed, count.slow, float64(count.crashes)/crashUnit, count.answers)
}
