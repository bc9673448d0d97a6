package faultmatrix

import (
	"fmt"
	"sync"

	"sapphirehead/internal/request"
)

// oracle records the runs of requests, the responses to their callers and the
// violations of invariants.
type oracle struct {
	mutex         sync.Mutex
	runsByID      map[string]int
	runsByKey     map[string]int
	notRun        map[string]bool
	responses     map[string]string
	acceptedEdits map[string]int
	violations    []string
}

func newOracle() *oracle {
	return &oracle{
		runsByID: map[string]int{}, runsByKey: map[string]int{}, notRun: map[string]bool{}, responses: map[string]string{}, acceptedEdits: map[string]int{},
	}
}

// addViolation records that an invariant was violated.
func (oracle *oracle) addViolation(format string, arguments ...any) {
	oracle.violations = append(oracle.violations, fmt.Sprintf(format, arguments...))
}

// countRun records that a request began to run at a backend server.
func (oracle *oracle) countRun(to *request.Request) {
	id := to.ID()
	oracle.runsByID[id]++
	if oracle.notRun[id] {
		oracle.addViolation("notRun: %s ran after its caller was answered that it did not run", id)
	}
	if !to.Route().NonIdempotent() {
		return
	}
	if oracle.runsByID[id] > 1 {
		oracle.addViolation("doubled: %s ran twice", id)
	}
	if to.Key() == "" {
		return
	}
	oracle.runsByKey[to.Key()]++
	if oracle.runsByKey[to.Key()] > 1 {
		oracle.addViolation("doubled: key %s ran twice", to.Key())
	}
}

// recordNotRun records that a caller received a response that its request did not
// run.
func (oracle *oracle) recordNotRun(id string) {
	oracle.notRun[id] = true
	if oracle.runsByID[id] > 0 {
		oracle.addViolation("notRun: the caller of %s was answered that it did not run, but it ran", id)
	}
}

// recordResponse records a complete response to a call with a key.
func (oracle *oracle) recordResponse(key, text string) {
	if oracle.runsByKey[key] == 0 {
		oracle.addViolation("answer: key %s was answered but never ran", key)
	}
	if earlier, ok := oracle.responses[key]; ok && earlier != text {
		oracle.addViolation("answer: key %s was answered %q and %q", key, earlier, text)
	}
	oracle.responses[key] = text
}
