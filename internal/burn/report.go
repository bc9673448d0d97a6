package burn

import (
	"cmp"
	"slices"

	"sapphirehead/internal/clock"
)

// Burn rates from which an alarm is raised. A fast alarm needs FastRate in the
// windows of both 5 minutes and 1 hour, so that it ends soon after its cause. A
// slow one needs SlowRate in those of 1 hour and 6 hours. At rate 14.4, one hour
// spends 2 % of the budget of 30 days.
const (
	FastRate = 14.4
	SlowRate = 6.0
)

// Counts is the number of requests by outcome and the worth served.
type Counts struct {
	byOutcome [OutcomeCount]int64
	worth     int64
}

// NewCounts returns counts in the order of the outcomes. The worth is in
// thousandths of the operator's unit.
func NewCounts(byOutcome [OutcomeCount]int64, worthMillis int64) Counts {
	return Counts{byOutcome: byOutcome, worth: worthMillis}
}

// Count returns the number of requests with the outcome.
func (counts Counts) Count(outcome Outcome) int64 { return counts.byOutcome[outcome] }

// Worth returns the worth served, in the operator's unit.
func (counts Counts) Worth() float64 { return float64(counts.worth) / worthScale }

// WorthMillis returns the worth served, in thousandths of the unit.
func (counts Counts) WorthMillis() int64 { return counts.worth }

// Total returns the number of requests.
func (counts Counts) Total() int64 {
	total := int64(0)
	for _, count := range counts.byOutcome {
		total += count
	}
	return total
}

// Bad returns the number of requests that spent the error budget.
func (counts Counts) Bad() int64 { return counts.Total() - counts.byOutcome[Good] }

// Add returns the sum of both.
func (counts Counts) Add(other Counts) Counts {
	for i := range counts.byOutcome {
		counts.byOutcome[i] += other.byOutcome[i]
	}
	counts.worth += other.worth
	return counts
}

// Rate returns the burn rate for the objective, or 0 if there are no requests.
func (counts Counts) Rate(objective float64) float64 {
	total := counts.Total()
	if total == 0 {
		return 0
	}
	return float64(counts.Bad()) / float64(total) / (1 - objective)
}

// Row holds the counts of one route and client account over each window.
type Row struct {
	route   string
	account string
	windows [WindowCount]Counts
}

// NewRow returns a row with counts in the order of the windows.
func NewRow(route, account string, windows [WindowCount]Counts) Row {
	return Row{route: route, account: account, windows: windows}
}

// Route returns the name of the route.
func (row Row) Route() string { return row.route }

// Account returns the name of the client account.
func (row Row) Account() string { return row.account }

// Counts returns the counts over the window.
func (row Row) Counts(window Window) Counts { return row.windows[window] }

// Alarm returns the alarm level of the row's burn rates.
func (row Row) Alarm(objective float64) Alarm {
	rate := func(window Window) float64 { return row.windows[window].Rate(objective) }
	switch {
	case rate(Window5Minutes) >= FastRate && rate(Window1Hour) >= FastRate:
		return AlarmFast
	case rate(Window1Hour) >= SlowRate && rate(Window6Hours) >= SlowRate:
		return AlarmSlow
	default:
		return AlarmNone
	}
}

// Alarm is the urgency of a burn rate.
type Alarm int

// The alarms.
const (
	AlarmNone Alarm = iota
	// AlarmSlow requires attention within the working day.
	AlarmSlow
	// AlarmFast requires action at once.
	AlarmFast
)

// String returns the name of the alarm.
func (alarm Alarm) String() string { return [...]string{"none", "slow", "fast"}[alarm] }

// Point holds the counts of one route over ten minutes.
type Point struct {
	route    string
	startsAt clock.Millis
	counts   Counts
}

// NewPoint returns a point that begins at the wall time.
func NewPoint(route string, startsAt clock.Millis, counts Counts) Point {
	return Point{route: route, startsAt: startsAt, counts: counts}
}

// Route returns the name of the route.
func (point Point) Route() string { return point.route }

// At returns the wall time at which the ten minutes begin.
func (point Point) At() clock.Millis { return point.startsAt }

// Counts returns the counts over the ten minutes.
func (point Point) Counts() Counts { return point.counts }

type pointKey struct {
	route    string
	startsAt clock.Millis
}

// Report holds the counts of one or several nodes.
type Report struct {
	objective float64
	nodes     int
	missing   int
	rows      []Row
	points    []Point
}

// NewReport returns a report of the given number of nodes. Missing is the number of
// live nodes without a report.
func NewReport(objective float64, nodes, missing int, rows []Row, points []Point) Report {
	return Report{objective: objective, nodes: nodes, missing: missing, rows: rows, points: points}
}

// Objective returns the share of requests that must meet their targets.
func (report Report) Objective() float64 { return report.objective }

// Nodes returns the number of nodes in the report.
func (report Report) Nodes() int { return report.nodes }

// Missing returns the number of live nodes without a report.
func (report Report) Missing() int { return report.missing }

// Rows returns the rows in order of route and account.
func (report Report) Rows() []Row { return report.rows }

// Points returns the points in order of route and time.
func (report Report) Points() []Point { return report.points }

// Routes returns one row for each route, over all its accounts.
func (report Report) Routes() []Row {
	byRoute := map[seriesKey]Row{}
	for _, row := range report.rows {
		addRow(byRoute, seriesKey{route: row.route}, row)
	}
	return sortedRows(byRoute)
}

// WithMissing returns a copy with the number of live nodes without a report.
func (report Report) WithMissing(missing int) Report {
	report.missing = missing
	return report
}

// Merge returns the sum of the reports of different nodes.
func Merge(reports ...Report) Report {
	merged := Report{}
	rows, points := map[seriesKey]Row{}, map[pointKey]Counts{}
	for _, report := range reports {
		merged.objective = max(merged.objective, report.objective)
		merged.nodes += report.nodes
		merged.missing += report.missing
		for _, row := range report.rows {
			addRow(rows, seriesKey{route: row.route, account: row.account}, row)
		}
		for _, point := range report.points {
			key := pointKey{route: point.route, startsAt: point.startsAt}
			points[key] = points[key].Add(point.counts)
		}
	}
	merged.rows, merged.points = sortedRows(rows), sortedPoints(points)
	return merged
}

func addRow(rows map[seriesKey]Row, key seriesKey, row Row) {
	sum := rows[key]
	sum.route, sum.account = key.route, key.account
	for window := range sum.windows {
		sum.windows[window] = sum.windows[window].Add(row.windows[window])
	}
	rows[key] = sum
}

func sortedRows(byKey map[seriesKey]Row) []Row {
	rows := make([]Row, 0, len(byKey))
	for _, row := range byKey {
		rows = append(rows, row)
	}
	report := Report{rows: rows}
	report.sort()
	return report.rows
}

func (report *Report) sort() {
	slices.SortFunc(report.rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.route, b.route), cmp.Compare(a.account, b.account))
	})
}

func sortedPoints(byKey map[pointKey]Counts) []Point {
	points := make([]Point, 0, len(byKey))
	for key, counts := range byKey {
		points = append(points, Point{route: key.route, startsAt: key.startsAt, counts: counts})
	}
	slices.SortFunc(points, func(a, b Point) int {
		return cmp.Or(cmp.Compare(a.route, b.route), cmp.Compare(a.startsAt, b.startsAt))
	})
	return points
}
