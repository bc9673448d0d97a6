package table

import (
	"fmt"
	"slices"
	"strings"

	"sapphirehead/internal/pool"
	"sapphirehead/internal/route"
)

// Problem is one fault of one field of one row.
type Problem struct {
	row     string
	field   string
	message string
}

// NewProblem returns a problem with the field of the row.
func NewProblem(row, field, message string) Problem {
	return Problem{row: row, field: field, message: message}
}

// Row returns the name of the row, as in "route/desk".
func (problem Problem) Row() string { return problem.row }

// Field returns the name of the field as the tables write it.
func (problem Problem) Field() string { return problem.field }

// Message returns what is wrong and what is allowed.
func (problem Problem) Message() string { return problem.message }

// CheckError lists every fault found in the tables.
type CheckError struct {
	problems []Problem
}

// NewCheckError returns an error with the problems.
func NewCheckError(problems []Problem) *CheckError { return &CheckError{problems: problems} }

// Problems returns the faults in order of row.
func (err *CheckError) Problems() []Problem { return err.problems }

func (err *CheckError) Error() string {
	lines := make([]string, 0, len(err.problems))
	for _, problem := range err.problems {
		lines = append(lines, fmt.Sprintf("%s: %s: %s", problem.row, problem.field, problem.message))
	}
	return strings.Join(lines, "\n")
}

// Check returns a *CheckError if a row is not valid, or nil.
func (tables *Tables) Check() error {
	var problems []Problem
	models, paths := map[string]string{}, map[string]string{}
	for _, row := range tables.Routes() {
		problems = append(problems, tables.checkRoute(row)...)
		problems = append(problems, checkUnique(models, row, "model", row.Model())...)
		problems = append(problems, checkUnique(paths, row, "path", row.Path())...)
	}
	for _, row := range tables.Pools() {
		problems = append(problems, checkPool(row)...)
	}
	if len(problems) == 0 {
		return nil
	}
	return NewCheckError(problems)
}

func checkUnique(seen map[string]string, row route.Route, field, value string) []Problem {
	if value == "" {
		return nil
	}
	if other, ok := seen[value]; ok {
		return []Problem{NewProblem(RouteRow(row.Name()), field, fmt.Sprintf("%q is also the %s of route %q: each must be unique", value, field, other))}
	}
	seen[value] = row.Name()
	return nil
}

func (tables *Tables) checkRoute(row route.Route) []Problem {
	var problems []Problem
	report := func(field, message string) {
		problems = append(problems, NewProblem(RouteRow(row.Name()), field, message))
	}
	if row.Name() == "" {
		report("name", "missing: a row needs a name")
	}
	target, ok := tables.pools[row.Pool()]
	if !ok {
		report("pool", fmt.Sprintf("there is no pool %q", row.Pool()))
	}
	if row.Worth() <= 0 {
		report("worth", fmt.Sprintf("is %v: allowed is more than 0", row.Worth()))
	}
	if row.FirstToken() <= 0 || row.FirstToken() > row.Deadline() {
		report("firstTokenMillis", fmt.Sprintf("is %d: allowed is 1 to deadlineMillis (%d)", row.FirstToken(), row.Deadline()))
	}
	if row.BetweenTokens() <= 0 {
		report("betweenTokensMillis", fmt.Sprintf("is %d: allowed is more than 0", row.BetweenTokens()))
	}
	switch row.Kind() {
	case route.KindChat:
		if ok && target.Kind() != pool.KindRunner {
			report("pool", fmt.Sprintf("pool %q holds services: a chat route needs a pool of runners", row.Pool()))
		} else if ok && !target.Serves(row.Model()) {
			report("model", fmt.Sprintf("pool %q does not serve model %q", row.Pool(), row.Model()))
		}
	case route.KindService:
		if ok && target.Kind() != pool.KindService {
			report("pool", fmt.Sprintf("pool %q holds runners: a service route needs a pool of services", row.Pool()))
		}
		if !strings.HasPrefix(row.Path(), "/") {
			report("path", fmt.Sprintf("is %q: allowed is a path that begins with /", row.Path()))
		}
	default:
		report("kind", "allowed are chat and service")
	}
	return problems
}

func checkPool(row pool.Pool) []Problem {
	var problems []Problem
	report := func(field, message string) {
		problems = append(problems, NewProblem(PoolRow(row.Name()), field, message))
	}
	if row.Name() == "" {
		report("name", "missing: a row needs a name")
	}
	if row.MinHosts() < 0 || row.MaxHosts() < row.MinHosts() {
		report("maxHosts", fmt.Sprintf("is %d with minHosts %d: allowed is minHosts or more", row.MaxHosts(), row.MinHosts()))
	}
	if row.Slots() <= 0 {
		report("slots", fmt.Sprintf("is %d: allowed is 1 or more", row.Slots()))
	}
	if len(row.OtherClasses()) > 0 && row.HostClass() == "" {
		report("otherClasses", "a pool with other classes needs a hostClass")
	}
	for i, class := range row.HostClasses() {
		if class == "" || slices.Contains(row.HostClasses()[:i], class) {
			report("otherClasses", fmt.Sprintf("%q is empty or named twice", class))
		}
	}
	switch row.Kind() {
	case pool.KindRunner:
		if len(row.Models()) == 0 {
			report("models", "missing: a pool of runners needs a model")
		}
	case pool.KindService:
	default:
		report("kind", "allowed are runner and service")
	}
	return problems
}
