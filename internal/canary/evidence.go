package canary

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"

	"sapphirehead/internal/clock"
)

const (
	// failedAlarm and slowAlarm are the probabilities with which one Wald test takes a
	// version for bad whose rate of bad answers is that of the others. Slow answers are
	// frequent in a burst, so that test starts often; with 1e-3 a burst after the promotion
	// was taken for a fault in 3 of 50 plays.
	failedAlarm = 1e-3
	slowAlarm   = 1e-4
	// minBad is the least number of bad answers that show a bad version: a handful on a
	// route with little traffic shows nothing.
	minBad = 6
	// oddsRatio tells a bad version from a good one: its odds of a bad answer are so many
	// times higher.
	oddsRatio = 6
	// The rates of the others count as at least the floors, as they aren't known exactly
	// and a new version begins with empty caches. While no others serve, nothing shows
	// whether a burst slows the answers, so the floor of slow ones is higher.
	failedFloor               = 0.02
	slowFloor, slowFloorAlone = 0.05, 0.6
	// rateMargin is by how much the rate of the others is overestimated.
	rateMargin = 1.2
	// The rate of the others is the higher one of those among the latest answers in a long
	// and in a short window: with the long one alone, a burst that slowed all versions
	// counted against the new one at its begin. It is current for baselineAge.
	longWindow, shortWindow = 200, 40
	baselineAge             = 2 * clock.Second
	// excessBad is the number of bad answers at which a version is bad, however many were
	// good, if it is excessFactor times what the rate of the others explains. The page sets
	// 50 answers.
	excessBad    = 40
	excessFactor = 3
	// minCrashes is the least number of crashes that show a bad version, by a Poisson test
	// with the error rate crashAlarm.
	minCrashes = 3
	crashAlarm = 1e-3
	// suspicion is the log-likelihood ratio, two bad answers in close succession, from
	// which on a promotion or a success waits.
	suspicion = 2
	// doubt is the ratio, three bad answers, from which on they wait longer.
	doubt = 4
	// nodeMargin is by how much the log-likelihood ratio must be higher for a node to stop
	// using the version by itself than for the lease holder to roll it back: as each node
	// merges in another order, the highest ratio of many nodes is above that of one.
	nodeMargin = 2
	// allRoutes has the answers of all routes together.
	allRoutes = ""
)

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

// isBad reports whether the evidence shows a bad version at the error rate, and with the
// margin beyond it.
func (test *test) isBad(alarm, margin float64) bool {
	return test.ratio >= math.Log(1/alarm)+margin && test.bad >= minBad
}

// isDoubtful reports whether there is much evidence against the version.
func (test *test) isDoubtful() bool { return test.ratio >= doubt }

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
	return rateMargin * (bad + math.Sqrt(bad)) / max(1, window.answers)
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
	name                string
	candidate, baseline Count
	usual               rates
	baselineAt          clock.Millis
	failed, slow        test
	// compared is the answers of the version while others served as well, and explained
	// the number of bad ones by the rate of the others at the time.
	compared  Count
	explained float64
}

// observe adds the increase of the counts of one node. After the promotion the others only
// finish what they have: these are the slowest ones, and no comparison any more.
func (route *routeEvidence) observe(candidate, baseline Count, promoted bool, now clock.Millis) {
	route.candidate, route.baseline = route.candidate.plus(candidate), route.baseline.plus(baseline)
	if baseline.answers > 0 && !promoted {
		route.usual.add(baseline)
		route.baselineAt = now
	}
}

// expectation is the rates of bad answers of a good version on a route.
type expectation struct {
	failed, slow float64
	// isCompared reports whether others show the rate of slow answers at this time.
	isCompared bool
}

// expect returns what the others show.
func (route *routeEvidence) expect(promoted bool, now clock.Millis) expectation {
	return expectation{
		failed: route.usual.failed(), slow: route.usual.slow(),
		isCompared: !promoted && route.baselineAt > 0 && now-route.baselineAt <= baselineAge,
	}
}

// try adds the answers of one node to the tests.
func (route *routeEvidence) try(candidate Count, expected expectation) {
	answers, slowRate := float64(candidate.answers), max(expected.slow, slowFloorAlone)
	if expected.isCompared {
		slowRate = max(expected.slow, slowFloor)
		route.compared = route.compared.plus(candidate)
		route.explained += answers * route.usual.long.slow / max(1, route.usual.long.answers)
	}
	route.explained += answers * route.usual.long.failed / max(1, route.usual.long.answers)
	route.failed.add(answers, candidate.failures(), max(expected.failed, failedFloor))
	route.slow.add(answers, float64(candidate.slow), slowRate)
}

// isExcessive reports whether there are so many bad answers that their portion doesn't
// matter. Slow ones only count while others serve as well. The rate of the others over the
// whole run alone is too low for a version that got most of its requests in a burst.
func (route *routeEvidence) isExcessive() bool {
	bad := route.candidate.failures() + float64(route.compared.slow)
	others := float64(route.baseline.answers + 1)
	expected := float64(route.candidate.answers)*(route.baseline.failures()+1)/others +
		float64(route.compared.answers)*float64(route.baseline.slow+1)/others
	return bad >= excessBad && bad > excessFactor*max(expected, route.explained)
}

// crashesMore reports whether the version's servers crash more often than the others, by
// answers.
func (route *routeEvidence) crashesMore() bool {
	crashes := (route.candidate.crashes + crashUnit/2) / crashUnit
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

// problem returns what shows that the version is bad with a margin, or "".
func (route *routeEvidence) problem(margin float64) string {
	switch {
	case route.failed.isBad(failedAlarm, margin):
		return "failures"
	case route.slow.isBad(slowAlarm, margin):
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
	// shown is what showed the version to be bad, for good, and isCertain whether it did
	// with the margin of nodes.
	shown     string
	isCertain bool
}

func newEvidence() *evidence { return &evidence{byRoute: map[string]*routeEvidence{}} }

// add adds the increase of the counts of one node on a route. The test over all routes
// uses the rates of each route, as the new version gets them in other portions.
func (evidence *evidence) add(name string, candidate, baseline Count, promoted bool, now clock.Millis) {
	if candidate.IsZero() && baseline.IsZero() {
		return
	}
	route, all := evidence.route(name), evidence.route(allRoutes)
	route.observe(candidate, baseline, promoted, now)
	all.observe(candidate, baseline, promoted, now)
	if candidate.IsZero() {
		return
	}
	expected := route.expect(promoted, now)
	// A burst shows in the answers of all routes before it does on each.
	overall := all.expect(promoted, now)
	overall.failed, overall.slow = max(overall.failed, expected.failed), max(overall.slow, expected.slow)
	overall.isCompared = overall.isCompared && expected.isCompared
	route.try(candidate, expected)
	all.try(candidate, overall)
	for _, tested := range [...]*routeEvidence{route, all} {
		if problem := tested.problem(0); problem != "" && evidence.shown == "" {
			evidence.shown = tested.describe(problem)
		}
		evidence.isCertain = evidence.isCertain || tested.problem(nodeMargin) != ""
	}
}

func (evidence *evidence) route(name string) *routeEvidence {
	known, ok := evidence.byRoute[name]
	if !ok {
		known = &routeEvidence{name: name}
		evidence.byRoute[name] = known
	}
	return known
}

// verdict returns what the evidence shows.
func (evidence *evidence) verdict() Verdict {
	verdict := Verdict{halted: evidence.shown != "", reason: evidence.shown}
	for _, name := range slices.Sorted(maps.Keys(evidence.byRoute)) {
		route := evidence.byRoute[name]
		if name != allRoutes {
			verdict.routes = append(verdict.routes, NewSum(name, route.candidate, route.baseline))
		}
		if route.failed.ratio >= suspicion || route.slow.ratio >= suspicion {
			verdict.suspect = true
			verdict.reason = cmp.Or(verdict.reason, route.describe("some bad answers"))
		}
		verdict.doubtful = verdict.doubtful || route.failed.isDoubtful() || route.slow.isDoubtful()
		// Slow answers may be due to a burst that nothing shows any more.
		verdict.grave = verdict.grave || route.failed.isDoubtful() && route.failed.bad >= minBad
	}
	return verdict
}

// describe returns the counts of the route as text.
func (route *routeEvidence) describe(problem string) string {
	where := "route " + route.name
	if route.name == allRoutes {
		where = "all routes"
	}
	return fmt.Sprintf("%s on %s: %s of the version, %s of others", problem, where, route.candidate.describe(), route.baseline.describe())
}

func (count Count) describe() string {
	return fmt.Sprintf("%d failed, %d slow, %.1f crashes in %d answers", count.failed, count.slow, float64(count.crashes)/crashUnit, count.answers)
}
