package soak

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
)

// Tally counts the events and violations of a run. It is safe for concurrent use.
type Tally struct {
	mutex      sync.Mutex
	counts     map[string]int
	violations []string
}

func newTally() *Tally { return &Tally{counts: map[string]int{}} }

func (tally *Tally) count(event string) {
	tally.mutex.Lock()
	defer tally.mutex.Unlock()
	tally.counts[event]++
}

func (tally *Tally) addViolation(format string, arguments ...any) {
	tally.mutex.Lock()
	defer tally.mutex.Unlock()
	tally.violations = append(tally.violations, fmt.Sprintf(format, arguments...))
}

// Count returns the number of occurrences of an event.
func (tally *Tally) Count(event string) int {
	tally.mutex.Lock()
	defer tally.mutex.Unlock()
	return tally.counts[event]
}

// Violations returns a description of each violated guarantee.
func (tally *Tally) Violations() []string {
	tally.mutex.Lock()
	defer tally.mutex.Unlock()
	return slices.Clone(tally.violations)
}

// String returns all counts in one line.
func (tally *Tally) String() string {
	tally.mutex.Lock()
	defer tally.mutex.Unlock()
	var parts []string
	for _, event := range slices.Sorted(maps.Keys(tally.counts)) {
		parts = append(parts, fmt.Sprintf("%s %d", event, tally.counts[event]))
	}
	return strings.Join(parts, ", ")
}
