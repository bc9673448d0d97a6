package program

import (
	"context"
	"os"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestRepeatedStopCutsRequests guards against a stop that is signalled twice and cuts off
// the requests in progress.
func TestRepeatedStopCutsRequests(t *testing.T) {
	// expectKilled checks whether the last of the signals ends the process at once.
	expectKilled := func(t *testing.T, killed bool, received ...os.Signal) {
		t.Helper()
		signals := make(chan os.Signal)
		stop, kill := contextsOf(signals)
		for _, signal := range received {
			signals <- signal
		}
		<-stop.Done()
		if killed {
			<-kill.Done()
			return
		}
		// The receiver is ready for another signal only after it has handled the last one.
		signals <- syscall.SIGTERM
		require.NoError(t, kill.Err())
		signals <- syscall.SIGINT
		<-kill.Done()
		require.ErrorIs(t, kill.Err(), context.Canceled)
	}
	t.Run("one SIGTERM", func(t *testing.T) { expectKilled(t, false, syscall.SIGTERM) })
	t.Run("SIGTERM twice", func(t *testing.T) { expectKilled(t, false, syscall.SIGTERM, syscall.SIGTERM) })
	t.Run("SIGINT, then SIGTERM", func(t *testing.T) { expectKilled(t, false, syscall.SIGINT, syscall.SIGTERM) })
	t.Run("SIGTERM, then SIGINT", func(t *testing.T) { expectKilled(t, true, syscall.SIGTERM, syscall.SIGINT) })
}
