// Package dutystandin is a small stand-in for the API that the users' platform has
// for leader tasks. It checks fencing tokens and records accepted calls. Responses
// may be lost and calls delayed; a delayed call's fencing token is checked when the
// call is executed.
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

// Holder returns the name of the lease holder that made the call.
func (call Call) Holder() string { return call.holder }

// Fence returns the fencing token.
func (call Call) Fence() int64 { return call.fence }

// Body returns the call's body.
func (call Call) Body() string { return call.body }

// Fault is a failure mode of the API.
type Fault int

// The faults.
const (
	// FaultNone: calls succeed.
	FaultNone Fault = iota
	// FaultBusy: every call is refused with status 503.
	FaultBusy
	// FaultRate: every call is refused with status 429.
	FaultRate
	// FaultLost: calls are executed and their responses lost.
	FaultLost
	// FaultLate: calls get no response and are delayed until the test executes them.
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

// acceptedQueueLength exceeds the number of calls that a test makes.
const acceptedQueueLength = 1024

// New returns an API that has received no calls.
func New() *Duty {
	return &Duty{highestFence: map[string]int64{}, reports: map[int64]string{}, accepted: make(chan Call, acceptedQueueLength)}
}

// Accepted returns a channel that receives each accepted call.
func (duty *Duty) Accepted() <-chan Call { return duty.accepted }

// Break sets the failure mode.
func (duty *Duty) Break(fault Fault) {
	duty.mutex.Lock()
	defer duty.mutex.Unlock()
	duty.fault = fault
}

// Settle executes the delayed calls, oldest first, and returns their number.
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

// Refuse sets whether calls for reclaimable (spot) servers are refused with status
// 409, as without capacity.
func (duty *Duty) Refuse(refusesSpot bool) {
	duty.mutex.Lock()
	defer duty.mutex.Unlock()
	duty.refusesSpot = refusesSpot
}

// Conflicts returns the number of usage reports that differed from the previous
// report of the same window.
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

// ServeHTTP handles one call.
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

// execute executes a call unless its fencing token is lower than one seen before for
// the same path and zone, or its capacity is refused. It returns the response's
// status. The caller holds the mutex.
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
