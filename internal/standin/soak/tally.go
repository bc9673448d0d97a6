package soak

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
)

// Tally is what a run saw. It may be used from any goroutine.
type Tally struct {
	mutex      sync.Mutex
	counts     map[string]int
	violations []string
}

func newTally() *Tally { return &Tally{counts: map[string]int{}} }

func (tally *Tally) count(what string) {
	tally.mutex.Lock()
	defer tally.mutex.Unlock()
	tally.counts[what]++
}

func (tally *Tally) violate(form string, arguments ...any) {
	tally.mutex.Lock()
	defer tally.mutex.Unlock()
	tally.violations = append(tally.violations, fmt.Sprintf(form, arguments...))
}

// Count returns how often something was seen.
func (tally *Tally) Count(what string) int {
	tally.mutex.Lock()
	defer tally.mutex.Unlock()
	return tally.counts[what]
}

// Violations returns every promise that was broken.
func (tally *Tally) Violations() []string {
	tally.mutex.Lock()
	defer tally.mutex.Unlock()
	return slices.Clone(tally.violations)
}

// String returns the counts in one line.
func (tally *Tally) String() string {
	tally.mutex.Lock()
	defer tally.mutex.Unlock()
	var parts []string
	for _, what := range slices.Sorted(maps.Keys(tally.counts)) {
		parts = append(parts, fmt.Sprintf("%s %d", what, tally.counts[what]))
	}
	return strings.Join(parts, ", ")
}
