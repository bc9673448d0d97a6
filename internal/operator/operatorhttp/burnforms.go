package operatorhttp

import (
	"math"

	"sapphirehead/internal/burn"
	"sapphirehead/internal/clock"
)

type countsForm struct {
	Outcomes map[string]int64 `json:"outcomes"`
	Worth    float64          `json:"worth"`
	BurnRate float64          `json:"burnRate"`
}

type burnRowForm struct {
	Route   string                `json:"route"`
	Account string                `json:"account"`
	Alarm   string                `json:"alarm"`
	Windows map[string]countsForm `json:"windows"`
}

type burnPointForm struct {
	Route    string     `json:"route"`
	AtMillis int64      `json:"atMillis"`
	Counts   countsForm `json:"counts"`
}

type burnForm struct {
	Objective float64         `json:"objective"`
	Nodes     int             `json:"nodes"`
	Missing   int             `json:"missing"`
	Rows      []burnRowForm   `json:"rows"`
	Points    []burnPointForm `json:"points"`
}

func countsFormOf(counts burn.Counts, objective float64) countsForm {
	form := countsForm{Outcomes: map[string]int64{}, Worth: counts.Worth(), BurnRate: counts.Rate(objective)}
	for outcome := range burn.OutcomeCount {
		form.Outcomes[burn.Outcome(outcome).String()] = counts.Count(burn.Outcome(outcome))
	}
	return form
}

// worthUnit is the number of thousandths in one unit of worth.
const worthUnit = 1000

func (form countsForm) counts() burn.Counts {
	var by [burn.OutcomeCount]int64
	for outcome := range by {
		by[outcome] = form.Outcomes[burn.Outcome(outcome).String()]
	}
	return burn.NewCounts(by, int64(math.Round(form.Worth*worthUnit)))
}

func burnFormOf(report burn.Report) burnForm {
	form := burnForm{Objective: report.Objective(), Nodes: report.Nodes(), Missing: report.Missing(), Rows: []burnRowForm{}, Points: []burnPointForm{}}
	for _, row := range report.Rows() {
		encoded := burnRowForm{Route: row.Route(), Account: row.Account(), Alarm: row.Alarm(report.Objective()).String(), Windows: map[string]countsForm{}}
		for window := range burn.WindowCount {
			encoded.Windows[burn.Window(window).String()] = countsFormOf(row.Counts(burn.Window(window)), report.Objective())
		}
		form.Rows = append(form.Rows, encoded)
	}
	for _, point := range report.Points() {
		form.Points = append(form.Points, burnPointForm{Route: point.Route(), AtMillis: int64(point.At()), Counts: countsFormOf(point.Counts(), report.Objective())})
	}
	return form
}

func (form burnForm) report() burn.Report {
	rows := make([]burn.Row, 0, len(form.Rows))
	for _, row := range form.Rows {
		var windows [burn.WindowCount]burn.Counts
		for window := range windows {
			windows[window] = row.Windows[burn.Window(window).String()].counts()
		}
		rows = append(rows, burn.NewRow(row.Route, row.Account, windows))
	}
	points := make([]burn.Point, 0, len(form.Points))
	for _, point := range form.Points {
		points = append(points, burn.NewPoint(point.Route, clock.Millis(point.AtMillis), point.Counts.counts()))
	}
	return burn.NewReport(form.Objective, form.Nodes, form.Missing, rows, points)
}

// BurnJSON returns the report in the form of the operators' API.
func BurnJSON(report burn.Report) any { return burnFormOf(report) }
