package operatorcli

import (
	"bytes"
	_ "embed"
	"fmt"
	"html/template"
	"math"
	"strings"

	"sapphirehead/internal/burn"
	"sapphirehead/internal/clock"
)

// The page is one file without external assets: tables, and for each route a plot of
// its burn rate over the last six hours as inline SVG. A plot's left edge is six
// hours ago, its right edge now. Its height is the highest possible burn rate, at
// which all requests are bad: 20 at an objective of 95 in 100.
const (
	plotWidth  = 720.0
	plotHeight = 160.0
	plotSpan   = 6 * clock.Hour
	pointSpan  = 10 * clock.Minute
)

//go:embed burnpage.html
var burnPageText string

var burnPageTemplate = template.Must(template.New("burn").Parse(burnPageText))

// pageView is the data of the template. Its fields are exported because html/template
// reads them by reflection.
type pageView struct {
	At        string
	Objective string
	Nodes     int
	Missing   int
	Width     float64
	Height    float64
	Routes    []routeView
	Rows      []rowView
}

type routeView struct {
	Name   string
	Alarm  string
	Worth  string
	Rates  []string
	Bars   []barView
	Lines  []lineView
	Hours  []lineView
	Counts []countView
}

type barView struct {
	X, Y, Width, Height float64
	Title               string
}

type lineView struct {
	At    float64
	Label string
}

type countView struct {
	Name  string
	Count int64
}

type rowView struct {
	Route   string
	Account string
	Alarm   string
	Rates   []string
	Counts  []int64
	Worth   string
}

// burnPage returns the report as one HTML page.
func burnPage(report burn.Report, now clock.Millis) ([]byte, error) {
	view := pageView{
		At: timeText(int64(now)), Objective: fmt.Sprintf("%g", report.Objective()*100), Nodes: report.Nodes(), Missing: report.Missing(),
		Width: plotWidth, Height: plotHeight,
	}
	for _, row := range report.Routes() {
		view.Routes = append(view.Routes, routeViewOf(report, row, now))
	}
	for _, row := range report.Rows() {
		hour := row.Counts(burn.Window1Hour)
		shown := rowView{Route: row.Route(), Account: row.Account(), Alarm: row.Alarm(report.Objective()).String(), Rates: rates(row, report.Objective()), Worth: fmt.Sprintf("%g", hour.Worth())}
		for outcome := range burn.OutcomeCount {
			shown.Counts = append(shown.Counts, hour.Count(burn.Outcome(outcome)))
		}
		view.Rows = append(view.Rows, shown)
	}
	var page bytes.Buffer
	err := burnPageTemplate.Execute(&page, view)
	return page.Bytes(), err
}

func rates(row burn.Row, objective float64) []string {
	var texts []string
	for window := range burn.WindowCount {
		texts = append(texts, fmt.Sprintf("%.2f", row.Counts(burn.Window(window)).Rate(objective)))
	}
	return texts
}

func routeViewOf(report burn.Report, row burn.Row, now clock.Millis) routeView {
	counts := row.Counts(burn.Window6Hours)
	view := routeView{
		Name: row.Route(), Alarm: row.Alarm(report.Objective()).String(), Worth: fmt.Sprintf("%g", counts.Worth()), Rates: rates(row, report.Objective()),
	}
	for outcome := range burn.OutcomeCount {
		view.Counts = append(view.Counts, countView{Name: burn.Outcome(outcome).String(), Count: counts.Count(burn.Outcome(outcome))})
	}
	highest := 1 / (1 - report.Objective())
	for _, mark := range []float64{1, burn.SlowRate, burn.FastRate} {
		view.Lines = append(view.Lines, lineView{At: rounded(plotHeight * (1 - mark/highest)), Label: fmt.Sprintf("%g", mark)})
	}
	for hour := range 7 {
		view.Hours = append(view.Hours, lineView{At: plotWidth * float64(hour) / 6, Label: fmt.Sprintf("-%d h", 6-hour)})
	}
	for _, point := range report.Points() {
		if point.Route() == row.Route() {
			view.Bars = append(view.Bars, barOf(point, report.Objective(), highest, now))
		}
	}
	return view
}

func barOf(point burn.Point, objective, highest float64, now clock.Millis) barView {
	rate := point.Counts().Rate(objective)
	leftEdge := plotWidth * float64(point.At()-(now-plotSpan)) / float64(plotSpan)
	rightEdge := min(leftEdge+plotWidth*float64(pointSpan)/float64(plotSpan), plotWidth)
	leftEdge = max(leftEdge, 0)
	height := max(plotHeight*rate/highest, 1)
	return barView{
		X: rounded(leftEdge), Y: rounded(plotHeight - height), Width: rounded(max(rightEdge-leftEdge-1, 0)), Height: rounded(height),
		Title: strings.Join([]string{timeText(int64(point.At())), fmt.Sprintf("burn rate %.2f", rate), fmt.Sprintf("%d of %d bad", point.Counts().Bad(), point.Counts().Total())}, ", "),
	}
}

// rounded rounds a coordinate to a tenth, which is finer than a pixel.
func rounded(coordinate float64) float64 { return math.Round(coordinate*10) / 10 }
