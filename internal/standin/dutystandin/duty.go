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
	// FaultRateLimited: every call is refused with status 429.
	FaultRateLimited
	// FaultLostResponse: calls are executed and their responses lost.
	FaultLostResponse
	// FaultDelayed: calls get no response and are delayed until the test executes them.
	FaultDelayed
)

// API is the stand-in.
type API struct {
	mutex        sync.Mutex
	fault        Fault
	delayedCalls []func()
	highestFence map[string]int64
	reports      map[int64]string
	conflicts    int
	accepted     chan Call
	refusesSpot  bool
}

// acceptedQueueLength is the number of accepted calls that a test may leave unread.
// Further calls are refused, so that no call waits for a reader.
const acceptedQueueLength = 1024

// New returns an API that has received no calls.
func New() *API {
	return &API{highestFence: map[string]int64{}, reports: map[int64]string{}, accepted: make(chan Call, acceptedQueueLength)}
}

// Accepted returns a channel that receives each accepted call.
func (api *API) Accepted() <-chan Call { return api.accepted }

// SetFault sets the failure mode.
func (api *API) SetFault(fault Fault) {
	api.mutex.Lock()
	defer api.mutex.Unlock()
	api.fault = fault
}

// ApplyDelayed executes the delayed calls, oldest first, and returns their number.
func (api *API) ApplyDelayed() int {
	api.mutex.Lock()
	defer api.mutex.Unlock()
	delayedCalls := api.delayedCalls
	api.delayedCalls = nil
	for _, call := range delayedCalls {
		call()
	}
	return len(delayedCalls)
}

// RefuseSpot sets whether calls for reclaimable (spot) servers are refused with status
// 409, as without capacity.
func (api *API) RefuseSpot(refusesSpot bool) {
	api.mutex.Lock()
	defer api.mutex.Unlock()
	api.refusesSpot = refusesSpot
}

// Conflicts returns the number of usage reports that differed from the previous
// report of the same window.
func (api *API) Conflicts() int {
	api.mutex.Lock()
	defer api.mutex.Unlock()
	return api.conflicts
}

type callForm struct {
	Window int64  `json:"windowId"`
	Spot   bool   `json:"spot"`
	Zone   string `json:"zone"`
}

// ServeHTTP handles one call.
func (api *API) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	fence, fenceErr := strconv.ParseInt(request.Header.Get("X-Fencing-Token"), 10, 64)
	var form callForm
	if err != nil || fenceErr != nil || json.Unmarshal(body, &form) != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	call := Call{path: request.URL.Path, holder: request.Header.Get("X-Duty-Holder"), fence: fence, body: string(body)}
	api.mutex.Lock()
	defer api.mutex.Unlock()
	switch api.fault {
	case FaultBusy:
		writer.WriteHeader(http.StatusServiceUnavailable)
	case FaultRateLimited:
		writer.WriteHeader(http.StatusTooManyRequests)
	case FaultDelayed:
		api.delayedCalls = append(api.delayedCalls, func() { api.execute(call, form) })
		panic(http.ErrAbortHandler)
	case FaultLostResponse:
		api.execute(call, form)
		panic(http.ErrAbortHandler)
	default:
		writer.WriteHeader(api.execute(call, form))
	}
}

// execute executes a call unless its fencing token is lower than one seen before for
// the same path and zone, its capacity is refused, or the queue of accepted calls is
// full. It returns the response's
// status. The caller holds the mutex.
func (api *API) execute(call Call, form callForm) int {
	if len(api.accepted) == cap(api.accepted) {
		return http.StatusServiceUnavailable
	}
	subject := call.path + form.Zone
	if call.fence < api.highestFence[subject] || (form.Spot && api.refusesSpot) {
		return http.StatusConflict
	}
	api.highestFence[subject] = call.fence
	if call.path == "/usage" {
		if known, ok := api.reports[form.Window]; ok && known != call.body {
			api.conflicts++
		}
		api.reports[form.Window] = call.body
	}
	api.accepted <- call
	return http.StatusOK
}
