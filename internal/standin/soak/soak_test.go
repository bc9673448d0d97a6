package soak_test

import (
	"os"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/standin/soak"
)

// defaultSeed is the seed of the short run in CI. With it, application services send
// bad responses for a long time.
const defaultSeed = 3000

// defaultSeconds is the duration of the short run in CI.
const defaultSeconds = 8

func envNumber(t *testing.T, name string, defaultValue uint64) uint64 {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return defaultValue
	}
	value, err := strconv.ParseUint(text, 10, 64)
	require.NoError(t, err, name)
	return value
}

// expectNoViolations runs the seed and fails if a guarantee was violated. It also
// fails if no request was served or no leader task ran, as the run proves nothing
// then.
func expectNoViolations(t *testing.T, seed, seconds uint64) {
	t.Helper()
	bin := os.Getenv("SAPPHIRE_BIN")
	require.NotEmpty(t, bin, "SAPPHIRE_BIN must name the folder of the built programs: make test sets it")
	tally, logs, err := soak.Run(bin, t.TempDir(), seed, clock.Millis(seconds)*clock.Second, func(line string) { t.Log(line) })
	if err != nil || len(tally.Violations()) > 0 {
		keepLogs(t, seed, logs)
	}
	require.NoError(t, err)
	t.Logf("seed %d: %s", seed, tally)
	require.Empty(t, tally.Violations())
	require.Positive(t, tally.Count("served"))
	require.Positive(t, tally.Count("duties"))
}

// keepLogs writes the processes' logs to the folder SOAK_LOGS, or to the test's log
// if it is not set.
func keepLogs(t *testing.T, seed uint64, logs string) {
	t.Helper()
	folder := os.Getenv("SOAK_LOGS")
	if folder == "" {
		t.Log(logs)
		return
	}
	require.NoError(t, os.WriteFile(folder+"/soak-"+strconv.FormatUint(seed, 10)+".log", []byte(logs), 0o600))
}

// regressionSeeds are seeds that failed once.
var regressionSeeds = []uint64{
	9119,  // A window whose commit got no answer was reported again after a restore.
	9226,  // No leader task ran in a short run with three restores.
	20001, // A node that ended early cut off bookings that it had just accepted.
	9123,  // A reload signal ended a process that had no handler for it yet.
	55043, // Windows that a restore took back were reported again while their holder stopped.
}

// TestSoakRegressions runs the seeds that failed once.
func TestSoakRegressions(t *testing.T) {
	for _, seed := range regressionSeeds {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) { expectNoViolations(t, seed, defaultSeconds) })
	}
}

// TestSoak injects faults into real processes for SOAK_SECONDS, in an order given by
// the seed. It does SOAK_RUNS runs with consecutive seeds, beginning with SOAK_SEED.
func TestSoak(t *testing.T) {
	seed, seconds := envNumber(t, "SOAK_SEED", defaultSeed), envNumber(t, "SOAK_SECONDS", defaultSeconds)
	for i := range envNumber(t, "SOAK_RUNS", 1) {
		t.Run(strconv.FormatUint(seed+i, 10), func(t *testing.T) { expectNoViolations(t, seed+i, seconds) })
	}
}
