package chaos_test

import (
	"os"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/standin/chaos"
)

const (
	defaultRequests = 2000
	defaultSeed     = 20261204
)

func envNumber(t *testing.T, name string, defaultValue uint64) uint64 {
	text := os.Getenv(name)
	if text == "" {
		return defaultValue
	}
	value, err := strconv.ParseUint(text, 10, 64)
	require.NoError(t, err, name)
	return value
}

// expectNoViolations fails if a count that must be zero is not. It also fails if too
// few requests, side effects, replays or edits ran, as the counts prove nothing then.
func expectNoViolations(t *testing.T, tally *chaos.Tally, requests int) {
	t.Helper()
	require.Empty(t, tally.Faults())
	require.GreaterOrEqual(t, tally.Count("whole")+tally.Count("refused")+tally.Count("bookingsUnknown"), requests)
	require.Positive(t, tally.Count("sideEffects"))
	require.Positive(t, tally.Count("replayed"))
	require.Positive(t, tally.Count("editsAccepted"))
}

// TestProcesses runs the real programs and injects every fault. SAPPHIRE_BIN is the
// folder of the built programs; CHAOS_REQUESTS and CHAOS_SEED set the number of
// requests and the seed.
func TestProcesses(t *testing.T) {
	bin := os.Getenv("SAPPHIRE_BIN")
	require.NotEmpty(t, bin, "SAPPHIRE_BIN must name the folder of the built programs: make test sets it")
	requests := int(envNumber(t, "CHAOS_REQUESTS", defaultRequests))
	seed := envNumber(t, "CHAOS_SEED", defaultSeed)
	tally, logs, err := chaos.Run(bin, requests, seed, func(line string) { t.Log(line) })
	if t.Failed() || err != nil || len(tally.Faults()) > 0 {
		t.Log(logs)
	}
	require.NoError(t, err)
	t.Logf("%d requests, seed %d: %s", requests, seed, tally)
	expectNoViolations(t, tally, requests)
}
