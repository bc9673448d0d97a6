// Package dutystandin is a small stand-in for the users' platform's API for
// duties, which checks fencing numbers and keeps what it accepted. Calls may be
// lost or done late, which is when their fencing numbers are checked.
package dutystandin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
)

// Call is one accepted call.
type Call struct {
	path   string
	holder string
	fence  int64
	body   string
}

// Path returns the path of the call.
func (call Call) Path() string { return call.path }

// Holder returns the name of the node that made it.
func (call Call) Holder() string { return call.holder }

// Fence returns the fencing number.
func (call Call) Fence() int64 { return call.fence }

// Body returns the call's body.
func (call Call) Body() string { return call.body }

// Fault is how the API misbehaves.
type Fault int

// The faults.
const (
	// FaultNone: the API works.
	FaultNone Fault = iota
	// FaultBusy: every call is refused with 503.
	FaultBusy
	// FaultRate: every call is refused with 429.
	FaultRate
	// FaultLost: calls are done and not answered.
	FaultLost
	// FaultLate: calls are not answered, and done once Settle is called.
	FaultLate
)

// Duty is the stand-in.
type Duty struct {
	mutex        sync.Mutex
	fault        Fault
	delayedCalls []func()
	highestFence map[string]int64
	reports      map[int64]string
	conflicts    int
	accepted     chan Call
	refusesSpot  bool
}

// acceptedQueueLength is more calls than a test makes.
const acceptedQueueLength = 1024

// New returns an API that has seen no call.
func New() *Duty {
	return &Duty{highestFence: map[string]int64{}, reports: map[int64]string{}, accepted: make(chan Call, acceptedQueueLength)}
}

// Accepted tells of each accepted call.
func (duty *Duty) Accepted() <-chan Call { return duty.accepted }

// Break lets the API misbehave from now on.
func (duty *Duty) Break(fault Fault) {
	duty.mutex.Lock()
	defer duty.mutex.Unlock()
	duty.fault = fault
}

// Settle does the late calls, oldest first, and returns how many there were.
func (duty *Duty) Settle() int {
	duty.mutex.Lock()
	defer duty.mutex.Unlock()
	delayedCalls := duty.delayedCalls
	duty.delayedCalls = nil
	for _, call := range delayedCalls {
		call()
	}
	return len(delayedCalls)
}

// Refuse lets the API have no reclaimable servers, or have them again.
func (duty *Duty) Refuse(refusesSpot bool) {
	duty.mutex.Lock()
	defer duty.mutex.Unlock()
	duty.refusesSpot = refusesSpot
}

// Conflicts returns how many usage reports differed from an earlier one of the
// same window.
func (duty *Duty) Conflicts() int {
	duty.mutex.Lock()
	defer duty.mutex.Unlock()
	return duty.conflicts
}

type callForm struct {
	Window int64  `json:"windowId"`
	Spot   bool   `json:"spot"`
	Zone   string `json:"zone"`
}

// ServeHTTP answers one call.
func (duty *Duty) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	fence, fenceErr := strconv.ParseInt(request.Header.Get("X-Fencing-Token"), 10, 64)
	var form callForm
	if err != nil || fenceErr != nil || json.Unmarshal(body, &form) != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	call := Call{path: request.URL.Path, holder: request.Header.Get("X-Duty-Holder"), fence: fence, body: string(body)}
	duty.mutex.Lock()
	defer duty.mutex.Unlock()
	switch duty.fault {
	case FaultBusy:
		writer.WriteHeader(http.StatusServiceUnavailable)
	case FaultRate:
		writer.WriteHeader(http.StatusTooManyRequests)
	case FaultLate:
		duty.delayedCalls = append(duty.delayedCalls, func() { duty.execute(call, form) })
		panic(http.ErrAbortHandler)
	case FaultLost:
		duty.execute(call, form)
		panic(http.ErrAbortHandler)
	default:
		writer.WriteHeader(duty.execute(call, form))
	}
}

// execute carries a call out, or refuses it, and returns the status.
func (duty *Duty) execute(call Call, form callForm) int {
	subject := call.path + form.Zone
	if call.fence < duty.highestFence[subject] || (form.Spot && duty.refusesSpot) {
		return http.StatusConflict
	}
	duty.highestFence[subject] = call.fence
	if call.path == "/usage" {
		if known, ok := duty.reports[form.Window]; ok && known != call.body {
			duty.conflicts++
		}
		duty.reports[form.Window] = call.body
	}
	duty.accepted <- call
	return http.StatusOK
}
