package cloud

import (
	"slices"
	"strconv"
	"sync"
)

// StartRequests assigns request ids to the calls that start hosts under one lease.
// A call whose response was lost is repeated with the same id, so that it starts no
// second host.
//
//	hosts.runners.41.1   started
//	hosts.runners.41.2   response lost: repeated, or found in the list of hosts
//
// It is safe for concurrent use.
type StartRequests struct {
	mutex      sync.Mutex
	prefix     string
	fence      int64
	sequence   int64
	unresolved map[string]Kind
}

// NewStartRequests returns start requests whose ids begin with the prefix.
func NewStartRequests(prefix string) *StartRequests {
	return &StartRequests{prefix: prefix, unresolved: map[string]Kind{}}
}

// SetFence sets the fencing token of the lease. A new one starts new ids.
func (startRequests *StartRequests) SetFence(fence int64) {
	startRequests.mutex.Lock()
	defer startRequests.mutex.Unlock()
	if fence != startRequests.fence {
		startRequests.fence, startRequests.sequence = fence, 0
		clear(startRequests.unresolved)
	}
}

// Reconcile resolves the calls whose hosts are in the cloud's list.
func (startRequests *StartRequests) Reconcile(hosts []Host) {
	startRequests.mutex.Lock()
	defer startRequests.mutex.Unlock()
	for _, host := range hosts {
		delete(startRequests.unresolved, host.requestID)
	}
}

// Next returns the request id for a call: the id of an earlier call for the kind
// whose outcome is unknown, except the excluded ids, or else a new id. The outcome
// counts as unknown until Resolve or Reconcile.
func (startRequests *StartRequests) Next(kind Kind, exclude []string) string {
	startRequests.mutex.Lock()
	defer startRequests.mutex.Unlock()
	requestID := ""
	for candidate, unresolvedKind := range startRequests.unresolved {
		if unresolvedKind == kind && !slices.Contains(exclude, candidate) && (requestID == "" || candidate < requestID) {
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

// Resolve records that the outcome of the call is known.
func (startRequests *StartRequests) Resolve(requestID string) {
	startRequests.mutex.Lock()
	defer startRequests.mutex.Unlock()
	delete(startRequests.unresolved, requestID)
}
