package chaos

import (
	"fmt"
	"slices"
	"strings"
	"sync"
)

// Names of the counts that must be zero.
const (
	// countLost is a request without a complete response and without an error that
	// the API allows.
	countLost = "lost"
	// countDoubled is a side effect that ran more than once, or a repeated booking
	// whose response differed from the first one.
	countDoubled = "doubled"
	// countCrossed is a response with text of another request.
	countCrossed = "crossed"
	// countTruncated is an incomplete response that was presented as complete.
	countTruncated = "truncated"
	// countNotRunRan is a request that was refused as not run although its side effect
	// ran.
	countNotRunRan = "notRunRan"
	// countCut is a request whose connection broke at an entry host that was not
	// killed.
	countCut = "cut"
	// countAnsweredWithoutRun is a complete response to a call whose side effect never
	// ran.
	countAnsweredWithoutRun = "answeredWithoutRun"
	// countReverted is an accepted edit that is not active at the end, or a node that
	// activated a lower version.
	countReverted = "reverted"
	// countProcessesLeft is a process that is still running after the end.
	countProcessesLeft = "processesLeft"
)

// faultCounts are the counts that must be zero.
var faultCounts = []string{
	countLost, countDoubled, countCrossed, countTruncated, countNotRunRan, countCut, countAnsweredWithoutRun, countReverted, countProcessesLeft,
}

// maxNotes bounds the notes of each count.
const maxNotes = 8

// Tally counts the results of callers and operators. It is safe for concurrent use.
type Tally struct {
	mutex  sync.Mutex
	counts map[string]int
	notes  map[string][]string
}

func newTally() *Tally { return &Tally{counts: map[string]int{}, notes: map[string][]string{}} }

// add counts an event and keeps notes of the first ones.
func (tally *Tally) add(count, format string, arguments ...any) {
	tally.mutex.Lock()
	defer tally.mutex.Unlock()
	tally.counts[count]++
	if format != "" && len(tally.notes[count]) < maxNotes {
		tally.notes[count] = append(tally.notes[count], fmt.Sprintf(format, arguments...))
	}
}

// Count returns the number of occurrences of an event.
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

// String returns all counts in one line.
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
