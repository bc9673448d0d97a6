package faultmatrix

import (
	"fmt"
	"slices"
	"strings"
	"sync"

	"github.com/pkg/errors"
)

// Result is the outcome of a cell.
type Result string

// The results.
const (
	ResultPasses   Result = "passes"
	ResultFails    Result = "fails"
	ResultKnownRed Result = "known red"
)

// Results collects the results of cells from many goroutines.
type Results struct {
	mutex  sync.Mutex
	single map[Fault]map[Step]Result
	pairs  map[[2]Fault]map[Step]Result
}

// NewResults returns results in which every cell is known red until it is
// reported, since a run skips only such cells.
func NewResults() *Results {
	return &Results{single: map[Fault]map[Step]Result{}, pairs: map[[2]Fault]map[Step]Result{}}
}

// Single records the result of a cell with one fault.
func (results *Results) Single(fault Fault, step Step, result Result) {
	results.mutex.Lock()
	defer results.mutex.Unlock()
	if results.single[fault] == nil {
		results.single[fault] = map[Step]Result{}
	}
	results.single[fault][step] = result
}

// Pair records the result of a cell with two faults.
func (results *Results) Pair(first, second Fault, step Step, result Result) {
	results.mutex.Lock()
	defer results.mutex.Unlock()
	pair := [2]Fault{first, second}
	if results.pairs[pair] == nil {
		results.pairs[pair] = map[Step]Result{}
	}
	results.pairs[pair][step] = result
}

// Markers of the generated section of docs/PROOF.md.
const (
	markBegin = "<!-- matrix: written by make matrix -->"
	markEnd   = "<!-- end of matrix -->"
)

// Insert returns the page with its generated section replaced.
func (results *Results) Insert(page string) (string, error) {
	before, rest, ok := strings.Cut(page, markBegin)
	_, after, closed := strings.Cut(rest, markEnd)
	if !ok || !closed {
		return "", errors.Errorf("the page lacks the lines %q and %q", markBegin, markEnd)
	}
	return before + markBegin + "\n\n" + results.Markdown() + "\n" + markEnd + after, nil
}

// Markdown returns the tables of single faults and of pairs.
func (results *Results) Markdown() string {
	results.mutex.Lock()
	defer results.mutex.Unlock()
	var text strings.Builder
	results.writeSingle(&text)
	results.writePairs(&text)
	return text.String()
}

func (results *Results) writeSingle(text *strings.Builder) {
	counts := map[Result]int{}
	rows := ""
	for _, fault := range Faults() {
		rows += "| " + fault.String()
		for _, step := range Steps() {
			result := resultOf(results.single[fault], step)
			counts[result]++
			rows += " | " + mark(result)
		}
		rows += " |\n"
	}
	fmt.Fprintf(text, "One fault (%s). `+` passes, `red` known red, `FAILS` fails.\n\n", summary(counts))
	fmt.Fprintf(text, "| fault | %s |\n|%s\n%s\n", strings.Join(stepNames, " | "), strings.Repeat("---|", len(stepNames)+1), rows)
}

// writePairs writes for each pair of faults the number of steps that pass.
func (results *Results) writePairs(text *strings.Builder) {
	counts := map[Result]int{}
	rows := ""
	for i, first := range Faults() {
		rows += "| " + first.String()
		for j, second := range Faults() {
			if j < i {
				rows += " | "
				continue
			}
			passes := 0
			for _, step := range Steps() {
				result := resultOf(results.pairs[[2]Fault{first, second}], step)
				counts[result]++
				if result == ResultPasses {
					passes++
				}
			}
			rows += fmt.Sprintf(" | %d", passes)
		}
		rows += " |\n"
	}
	numbers := make([]string, len(faultNames))
	for i := range numbers {
		numbers[i] = fmt.Sprint(i + 1)
	}
	fmt.Fprintf(text, "Two faults together (%s). Each number counts the steps, of %d, at which the two pass; columns are the faults in the order of the rows.\n\n", summary(counts), len(stepNames))
	fmt.Fprintf(text, "| fault | %s |\n|%s\n%s", strings.Join(numbers, " | "), strings.Repeat("---|", len(faultNames)+1), rows)
}

func resultOf(row map[Step]Result, step Step) Result {
	if result, ok := row[step]; ok {
		return result
	}
	return ResultKnownRed
}

func mark(result Result) string {
	switch result {
	case ResultPasses:
		return "+"
	case ResultKnownRed:
		return "red"
	default:
		return "FAILS"
	}
}

func summary(counts map[Result]int) string {
	var parts []string
	for result, count := range counts {
		parts = append(parts, fmt.Sprintf("%d %s", count, result))
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}
