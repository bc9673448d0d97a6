package faultmatrix

import (
	"fmt"
	"sync"

	"sapphirehead/internal/request"
)

// tally is the oracle: what ran, what was said, and what was violated.
type tally struct {
	mutex      sync.Mutex
	runsByID   map[string]int
	runsByKey  map[string]int
	notRun     map[string]bool
	answered   map[string]string
	accepted   map[string]int
	violations []string
}

func newTally() *tally {
	return &tally{
		runsByID: map[string]int{}, runsByKey: map[string]int{}, notRun: map[string]bool{}, answered: map[string]string{}, accepted: map[string]int{},
	}
}

// violate notes that something that must always hold did not.
func (tally *tally) violate(format string, arguments ...any) {
	tally.violations = append(tally.violations, fmt.Sprintf(format, arguments...))
}

// run notes that a request began to run at a backend server.
func (tally *tally) run(to *request.Request) {
	id := to.ID()
	tally.runsByID[id]++
	if tally.notRun[id] {
		tally.violate("notRun: %s ran after it was said not to run", id)
	}
	if !to.Route().NonIdempotent() {
		return
	}
	if tally.runsByID[id] > 1 {
		tally.violate("doubled: %s ran twice", id)
	}
	if to.Key() == "" {
		return
	}
	tally.runsByKey[to.Key()]++
	if tally.runsByKey[to.Key()] > 1 {
		tally.violate("doubled: key %s ran twice", to.Key())
	}
}

// saidNotRun notes that a caller was told that its request did not run.
func (tally *tally) saidNotRun(id string) {
	tally.notRun[id] = true
	if tally.runsByID[id] > 0 {
		tally.violate("notRun: %s was said not to run, but ran", id)
	}
}

// answer notes a whole answer to a call under a key.
func (tally *tally) answer(key, text string) {
	if tally.runsByKey[key] == 0 {
		tally.violate("answer: key %s was answered but never ran", key)
	}
	if known, ok := tally.answered[key]; ok && known != text {
		tally.violate("answer: key %s was answered %q and %q", key, known, text)
	}
	tally.answered[key] = text
}
