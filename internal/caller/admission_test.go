package caller_test

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/caller"
)

// TestAdmissionCloses guards against a request that is admitted after a stopping entry
// host has found none in progress.
func TestAdmissionCloses(t *testing.T) {
	account := caller.NewAccount("garage", 0)
	for range 20000 {
		admission := caller.NewAdmission(1)
		var admitted bool
		var ended sync.WaitGroup
		ended.Go(func() {
			_, err := admission.Admit(account)
			admitted = err == nil
		})
		admission.Close()
		idle := admission.InFlight() == 0
		ended.Wait()
		require.False(t, idle && admitted, "admitted after the host found no request in progress")
	}
}
