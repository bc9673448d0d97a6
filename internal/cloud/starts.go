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
	mutex   sync.Mutex
	prefix  string
	fence   int64
	slot    int64
	unknown map[string]Kind
}

// NewStartRequests returns a ledger whose names begin with the prefix.
func NewStartRequests(prefix string) *StartRequests {
	return &StartRequests{prefix: prefix, unknown: map[string]Kind{}}
}

// SetFence takes in the fencing number of the lease. A new one starts new names.
func (starts *StartRequests) SetFence(fence int64) {
	starts.mutex.Lock()
	defer starts.mutex.Unlock()
	if fence != starts.fence {
		starts.fence, starts.slot = fence, 0
		clear(starts.unknown)
	}
}

// Reconcile takes in the cloud's list, which settles calls with lost answers.
func (starts *StartRequests) Reconcile(hosts []Host) {
	starts.mutex.Lock()
	defer starts.mutex.Unlock()
	for _, host := range hosts {
		delete(starts.unknown, host.requestID)
	}
}

// Next returns the name for a call: that of an earlier call for the kind whose
// outcome is unknown, or a new one. It counts as unknown until Settled.
func (starts *StartRequests) Next(kind Kind, taken []string) string {
	starts.mutex.Lock()
	defer starts.mutex.Unlock()
	least := ""
	for name, other := range starts.unknown {
		if other == kind && !slices.Contains(taken, name) && (least == "" || name < least) {
			least = name
		}
	}
	if least == "" {
		starts.slot++
		least = starts.prefix + "." + strconv.FormatInt(starts.fence, 10) + "." + strconv.FormatInt(starts.slot, 10)
		starts.unknown[least] = kind
	}
	return least
}

// Resolve takes in that the outcome of the call is known.
func (starts *StartRequests) Resolve(name string) {
	starts.mutex.Lock()
	defer starts.mutex.Unlock()
	delete(starts.unknown, name)
}
