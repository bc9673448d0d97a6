package faultmatrix_test

import (
	"fmt"
	"os"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/faultmatrix"
)

const seed = 20261204

// bubbleClock reads the virtual time of the bubble.
func bubbleClock() *clock.Clock {
	system := clock.System()
	return clock.New(system.Wall, system.Wall, system.AfterFunc)
}

// expectHolds runs one cell and fails with the violations found.
func expectHolds(t *testing.T, report func(result faultmatrix.Result), step faultmatrix.Step, faults ...faultmatrix.Fault) {
	t.Helper()
	report(faultmatrix.ResultFails)
	synctest.Test(t, func(t *testing.T) {
		require.Empty(t, faultmatrix.Run(bubbleClock(), seed, step, faults...))
	})
	report(faultmatrix.ResultPasses)
}

// results holds the results of both tests; make matrix writes them into docs/PROOF.md.
var results = faultmatrix.NewResults()

func TestMain(m *testing.M) {
	code := m.Run()
	if page := os.Getenv("MATRIX_PAGE"); page != "" && code == 0 {
		code = writePage(page)
	}
	os.Exit(code)
}

func writePage(page string) int {
	text, err := os.ReadFile(page)
	if err == nil {
		var changed string
		changed, err = results.Insert(string(text))
		if err == nil {
			err = os.WriteFile(page, []byte(changed), 0o600)
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

// TestSingle runs one cell for every fault at every step.
func TestSingle(t *testing.T) {
	for _, fault := range faultmatrix.Faults() {
		for _, step := range faultmatrix.Steps() {
			t.Run(fault.String()+"/"+step.String(), func(t *testing.T) {
				t.Parallel()
				expectHolds(t, func(result faultmatrix.Result) { results.Single(fault, step, result) }, step, fault)
			})
		}
	}
}

// TestPair runs one cell for every pair of faults, including a fault with itself,
// at every step.
func TestPair(t *testing.T) {
	for i, first := range faultmatrix.Faults() {
		for _, second := range faultmatrix.Faults()[i:] {
			for _, step := range faultmatrix.Steps() {
				t.Run(first.String()+" + "+second.String()+"/"+step.String(), func(t *testing.T) {
					t.Parallel()
					expectHolds(t, func(result faultmatrix.Result) { results.Pair(first, second, step, result) }, step, first, second)
				})
			}
		}
	}
}
