package chaos

import (
	"fmt"
	"slices"
	"strings"
	"sync"
)

// Names of what a tally counts. The first group must be zero.
const (
	// countLost is a request without a whole answer and without an error that
	// the contract allows.
	countLost = "lost"
	// countDoubled is a side effect that ran twice.
	countDoubled = "doubled"
	// countCrossed is an answer with text that is not of its request.
	countCrossed = "crossed"
	// countTruncated is an incomplete answer given as a whole one.
	countTruncated = "truncated"
	// countNotRunRan is a request said not to be run whose side effect ran.
	countNotRunRan = "notRunRan"
	// countCut is a request cut by an entry host that nobody broke.
	countCut = "cut"
	// countAnsweredWithoutRun is a whole answer to a call whose side effect never ran.
	countAnsweredWithoutRun = "answeredWithoutRun"
	// countReverted is an accepted edit that is not in force at the end, or a
	// node that put a lower version in force.
	countReverted = "reverted"
	// countProcessesLeft is a process that is still there after the end.
	countProcessesLeft = "processesLeft"
)

// faultCounts are the counts that must be zero.
var faultCounts = []string{
	countLost, countDoubled, countCrossed, countTruncated, countNotRunRan, countCut, countAnsweredWithoutRun, countReverted, countProcessesLeft,
}

// maxNotes bounds the notes kept for each count.
const maxNotes = 8

// Tally counts what callers and operators saw. It is used from many
// goroutines.
type Tally struct {
	mutex  sync.Mutex
	counts map[string]int
	notes  map[string][]string
}

func newTally() *Tally { return &Tally{counts: map[string]int{}, notes: map[string][]string{}} }

// add counts an event and keeps a note of the first ones.
func (tally *Tally) add(count, format string, arguments ...any) {
	tally.mutex.Lock()
	defer tally.mutex.Unlock()
	tally.counts[count]++
	if format != "" && len(tally.notes[count]) < maxNotes {
		tally.notes[count] = append(tally.notes[count], fmt.Sprintf(format, arguments...))
	}
}

// Count returns how often an event was counted.
func (tally *Tally) Count(name string) int {
	tally.mutex.Lock()
	defer tally.mutex.Unlock()
	return tally.counts[name]
}

// Faults returns the counts that must be zero and are not, with notes.
func (tally *Tally) Faults() []string {
	tally.mutex.Lock()
	defer tally.mutex.Unlock()
	var faults []string
	for _, name := range faultCounts {
		if count := tally.counts[name]; count > 0 {
			faults = append(faults, fmt.Sprintf("%s %d: %s", name, count, strings.Join(tally.notes[name], "; ")))
		}
	}
	return faults
}

// String returns every count on one line.
func (tally *Tally) String() string {
	tally.mutex.Lock()
	defer tally.mutex.Unlock()
	names := slices.Clone(faultCounts)
	for name := range tally.counts {
		if !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names[len(faultCounts):])
	parts := make([]string, 0, len(names))
	for _, name := range names {
		parts = append(parts, fmt.Sprintf("%s %d", name, tally.counts[name]))
	}
	return strings.Join(parts, ", ")
}
