package cloud

import (
	"slices"
	"strconv"
	"sync"
)

// StartRequests names the calls that start hosts under one lease, so that a call whose
// answer was lost is repeated under the same name and starts no second host.
//
//	hosts.runners.41.1   started
//	hosts.runners.41.2   answer lost: repeated, or found in the list of hosts
//
// It is safe for use by several goroutines.
type StartRequests struct {
	mutex      sync.Mutex
	prefix     string
	fence      int64
	sequence   int64
	unresolved map[string]Kind
}

// NewStartRequests returns a ledger whose names begin with the prefix.
func NewStartRequests(prefix string) *StartRequests {
	return &StartRequests{prefix: prefix, unresolved: map[string]Kind{}}
}

// SetFence takes in the fencing number of the lease. A new one starts new names.
func (startRequests *StartRequests) SetFence(fence int64) {
	startRequests.mutex.Lock()
	defer startRequests.mutex.Unlock()
	if fence != startRequests.fence {
		startRequests.fence, startRequests.sequence = fence, 0
		clear(startRequests.unresolved)
	}
}

// Reconcile takes in the cloud's list, which settles calls with lost answers.
func (startRequests *StartRequests) Reconcile(hosts []Host) {
	startRequests.mutex.Lock()
	defer startRequests.mutex.Unlock()
	for _, host := range hosts {
		delete(startRequests.unresolved, host.requestID)
	}
}

// Next returns the name for a call: that of an earlier call for the kind whose
// outcome is unknown, or a new one. It counts as unknown until Settled.
func (startRequests *StartRequests) Next(kind Kind, taken []string) string {
	startRequests.mutex.Lock()
	defer startRequests.mutex.Unlock()
	requestID := ""
	for candidate, other := range startRequests.unresolved {
		if other == kind && !slices.Contains(taken, candidate) && (requestID == "" || candidate < requestID) {
			requestID = candidate
		}
	}
	if requestID == "" {
		startRequests.sequence++
		requestID = startRequests.prefix + "." + strconv.FormatInt(startRequests.fence, 10) + "." + strconv.FormatInt(startRequests.sequence, 10)
		startRequests.unresolved[requestID] = kind
	}
	return requestID
}

// Resolve takes in that the outcome of the call is known.
func (startRequests *StartRequests) Resolve(name string) {
	startRequests.mutex.Lock()
	defer startRequests.mutex.Unlock()
	delete(startRequests.unresolved, name)
}
