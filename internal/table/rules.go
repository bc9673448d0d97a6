package table

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"unicode"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/pool"
	"sapphirehead/internal/route"
)

// Bounds of the fields of a row.
const (
	// maxNameLength and maxPathLength are in bytes.
	maxNameLength = 128
	maxPathLength = 1024
	maxWorth      = 1e9
	maxHosts      = 100_000
	maxSlots      = 100_000
	// maxDeadline bounds every time in a route.
	maxDeadline = clock.Hour
)

// Check returns a *CheckError with the problems of all rows, or nil.
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

// checker collects the problems of one row.
type checker struct {
	row      string
	problems []Problem
}

func (checker *checker) report(field, format string, arguments ...any) {
	checker.problems = append(checker.problems, NewProblem(checker.row, field, fmt.Sprintf(format, arguments...)))
}

// name checks a name by which other rows or callers refer to something.
func (checker *checker) name(field, value string) {
	switch {
	case value == "":
		checker.report(field, "missing")
	case len(value) > maxNameLength:
		checker.report(field, "%s", tooLong(len(value)))
	case strings.ContainsFunc(value, func(r rune) bool { return unicode.IsSpace(r) || unicode.IsControl(r) || r == unicode.ReplacementChar }):
		checker.report(field, "is %q: allowed are names without spaces and control characters", value)
	}
}

func tooLong(length int) string {
	return fmt.Sprintf("has %d bytes: allowed are %d or fewer", length, maxNameLength)
}

func (tables *Tables) checkRoute(row route.Route) []Problem {
	checker := &checker{row: RouteRow(row.Name())}
	checker.name("name", row.Name())
	checker.routeNumbers(row)
	poolConfig, ok := tables.pools[row.Pool()]
	if !ok {
		checker.report("pool", "there is no pool %q", row.Pool())
	}
	switch row.Kind() {
	case route.KindChat:
		checker.chatRoute(row, poolConfig, ok)
	case route.KindService:
		checker.serviceRoute(row, poolConfig, ok)
	default:
		checker.report("kind", "allowed are chat and service")
	}
	return checker.problems
}

func (checker *checker) routeNumbers(row route.Route) {
	if worth := row.Worth(); math.IsNaN(worth) || worth <= 0 || worth > maxWorth {
		checker.report("worth", "is %v: allowed is more than 0, up to %v", worth, float64(maxWorth))
	}
	if row.Deadline() <= 0 || row.Deadline() > maxDeadline {
		checker.report("deadlineMillis", "is %d: allowed is 1 to %d", row.Deadline(), maxDeadline)
	}
	if row.FirstToken() <= 0 || row.FirstToken() > row.Deadline() {
		checker.report("firstTokenMillis", "is %d: allowed is 1 to deadlineMillis (%d)", row.FirstToken(), row.Deadline())
	}
	if row.MaxInFlight() < 0 {
		checker.report("maxInFlight", "is %d: allowed is 0 for any number, or more", row.MaxInFlight())
	}
	if row.RatePerSecond() < 0 {
		checker.report("ratePerSecond", "is %v: allowed is 0 for any number, or more", row.RatePerSecond())
	}
	if row.BetweenTokens() <= 0 || row.BetweenTokens() > row.Deadline() {
		checker.report("betweenTokensMillis", "is %d: allowed is 1 to deadlineMillis (%d)", row.BetweenTokens(), row.Deadline())
	}
}

func (checker *checker) chatRoute(row route.Route, poolConfig pool.Pool, poolFound bool) {
	checker.name("model", row.Model())
	if row.Path() != "" {
		checker.report("path", "is %q: a chat route has a model and no path", row.Path())
	}
	switch {
	case !poolFound:
	case poolConfig.Kind() != pool.KindRunner:
		checker.report("pool", "pool %q holds services: a chat route needs a pool of runners", row.Pool())
	case !poolConfig.Serves(row.Model()):
		checker.report("model", "pool %q does not serve model %q", row.Pool(), row.Model())
	}
}

func (checker *checker) serviceRoute(row route.Route, poolConfig pool.Pool, poolFound bool) {
	if row.Model() != "" {
		checker.report("model", "is %q: a service route has a path and no model", row.Model())
	}
	if !strings.HasPrefix(row.Path(), "/") || strings.ContainsAny(row.Path(), "?# ") || len(row.Path()) > maxPathLength {
		checker.report("path", "is %q: allowed is a path that begins with /, without ?, # and spaces, of at most %d bytes", row.Path(), maxPathLength)
	}
	if poolFound && poolConfig.Kind() != pool.KindService {
		checker.report("pool", "pool %q holds runners: a service route needs a pool of services", row.Pool())
	}
}

func checkPool(row pool.Pool) []Problem {
	checker := &checker{row: PoolRow(row.Name())}
	checker.name("name", row.Name())
	if row.MinHosts() < 0 {
		checker.report("minHosts", "is %d: allowed is 0 or more", row.MinHosts())
	}
	if row.MaxHosts() < row.MinHosts() || row.MaxHosts() > maxHosts {
		checker.report("maxHosts", "is %d with minHosts %d: allowed is minHosts to %d", row.MaxHosts(), row.MinHosts(), maxHosts)
	}
	if row.Slots() <= 0 || row.Slots() > maxSlots {
		checker.report("slots", "is %d: allowed is 1 to %d", row.Slots(), maxSlots)
	}
	if len(row.OtherClasses()) > 0 && row.HostClass() == "" {
		checker.report("otherClasses", "a pool with other classes needs a hostClass")
	}
	for i, class := range row.HostClasses() {
		if class == "" || slices.Contains(row.HostClasses()[:i], class) {
			checker.report("otherClasses", "%q is empty or named twice", class)
		}
	}
	switch row.Kind() {
	case pool.KindRunner:
		checker.models(row)
		if row.RefusesRepeat() {
			checker.report("refusesRepeat", "is true: only pools of services may say so")
		}
	case pool.KindService:
		if len(row.Models()) > 0 {
			checker.report("models", "a pool of services has no models")
		}
		if row.IgnoresFence() {
			checker.report("ignoresFence", "is true: only pools of runners may say so")
		}
	default:
		checker.report("kind", "allowed are runner and service")
	}
	return checker.problems
}

func (checker *checker) models(row pool.Pool) {
	if len(row.Models()) == 0 {
		checker.report("models", "missing: a pool of runners needs a model")
	}
	served := map[string]bool{}
	serve := func(field, name string) {
		checker.name(field, name)
		if served[name] {
			checker.report(field, "%q stands twice: each model and adapter must be unique in its pool", name)
		}
		served[name] = true
	}
	for _, model := range row.Models() {
		serve("models.name", model.Name())
		checker.name("models.version", model.Version())
		for _, adapter := range model.Adapters() {
			serve("models.adapters", adapter)
		}
	}
}
