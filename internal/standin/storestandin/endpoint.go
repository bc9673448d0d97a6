package storestandin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"

	"sapphirehead/internal/clock"
)

// Endpoint is an endpoint of the store with a fault of its own, which does not affect
// other endpoints.
type Endpoint struct {
	store      *Store
	fault      Fault
	mutedKinds map[string]bool
	// refused counts the calls that failed because of a read fault.
	refused int
	// longestWatch is the longest wait of a watch by kind.
	longestWatch map[string]clock.Millis
}

// SetFault sets the endpoint's fault and wakes waiting watches. Their connections are
// closed if the fault affects reads.
func (endpoint *Endpoint) SetFault(fault Fault) {
	endpoint.store.mutex.Lock()
	defer endpoint.store.mutex.Unlock()
	endpoint.fault = fault
	endpoint.store.wakeWatches()
}

// MuteWatches stops or resumes the delivery of events to watches of the given kinds, by
// default of all kinds. A waiting watch that a change wakes while it is muted stays
// open without a response until its caller closes it.
func (endpoint *Endpoint) MuteWatches(muted bool, kinds ...string) {
	endpoint.store.mutex.Lock()
	defer endpoint.store.mutex.Unlock()
	if len(kinds) == 0 {
		kinds = []string{"config", "servers", "rollouts"}
	}
	endpoint.mutedKinds = map[string]bool{}
	for _, kind := range kinds {
		endpoint.mutedKinds[kind] = muted
	}
}

// Refused returns the number of calls that failed because of a read fault.
func (endpoint *Endpoint) Refused() int {
	endpoint.store.mutex.Lock()
	defer endpoint.store.mutex.Unlock()
	return endpoint.refused
}

// LongestWatch returns the longest wait that a watch of the kind asked for.
func (endpoint *Endpoint) LongestWatch(kind string) clock.Millis {
	endpoint.store.mutex.Lock()
	defer endpoint.store.mutex.Unlock()
	return endpoint.longestWatch[kind]
}

func (endpoint *Endpoint) recordWatch(kind string, wait clock.Millis) {
	endpoint.store.mutex.Lock()
	defer endpoint.store.mutex.Unlock()
	if endpoint.longestWatch == nil {
		endpoint.longestWatch = map[string]clock.Millis{}
	}
	endpoint.longestWatch[kind] = max(endpoint.longestWatch[kind], wait)
}

func (endpoint *Endpoint) countRefused() {
	endpoint.store.mutex.Lock()
	defer endpoint.store.mutex.Unlock()
	endpoint.refused++
}

func (endpoint *Endpoint) isMuted(kind string) bool {
	endpoint.store.mutex.Lock()
	defer endpoint.store.mutex.Unlock()
	return endpoint.mutedKinds[kind]
}

func (endpoint *Endpoint) currentFault() Fault {
	endpoint.store.mutex.Lock()
	defer endpoint.store.mutex.Unlock()
	return endpoint.fault
}

// ServeHTTP handles one call.
func (endpoint *Endpoint) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(request.URL.Path, "/api/objects/"), "/")
	if fault := endpoint.currentFault(); fault.breaksReads() {
		endpoint.countRefused()
		refuse(fault, writer, request)
		return
	}
	writer.Header().Set("Store-Era", strconv.FormatInt(endpoint.store.currentEra(), 10))
	switch request.Method {
	case http.MethodGet:
		endpoint.read(writer, request, kind, name)
	case http.MethodPost, http.MethodPut:
		endpoint.put(writer, request, kind, name)
	default:
		writer.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func refuse(fault Fault, writer http.ResponseWriter, request *http.Request) {
	switch fault {
	case FaultBusy:
		writer.WriteHeader(http.StatusServiceUnavailable)
	case FaultRateLimited:
		writer.WriteHeader(http.StatusTooManyRequests)
	case FaultSilent:
		// net/http detects a closed connection only after the body has been read.
		_, _ = io.Copy(io.Discard, request.Body)
		<-request.Context().Done()
	default:
		panic(http.ErrAbortHandler)
	}
}

func (endpoint *Endpoint) read(writer http.ResponseWriter, request *http.Request, kind, name string) {
	query := request.URL.Query()
	switch {
	case query.Get("watch") != "":
		endpoint.watch(writer, request, kind)
	case name != "":
		endpoint.store.get(writer, kind, name)
	default:
		endpoint.store.list(writer, kind, query.Get("after"))
	}
}

func (endpoint *Endpoint) watch(writer http.ResponseWriter, request *http.Request, kind string) {
	since, err := strconv.ParseInt(request.URL.Query().Get("watch"), 10, 64)
	wait, waitErr := strconv.Atoi(request.URL.Query().Get("waitMs"))
	if err != nil || waitErr != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	endpoint.recordWatch(kind, clock.Millis(wait))
	timedOut := make(chan struct{})
	defer clock.System().AfterFunc(clock.Millis(wait), func() { close(timedOut) })()
	initialCuts := endpoint.store.snapshotSince(kind, since).watchCuts
	for expired := false; ; {
		snapshot := endpoint.store.snapshotSince(kind, since)
		switch {
		case endpoint.currentFault().breaksReads(), snapshot.watchCuts != initialCuts:
			panic(http.ErrAbortHandler)
		case snapshot.compacted:
			writer.WriteHeader(http.StatusGone)
			return
		case len(snapshot.events) > 0 || expired:
			writeJSON(writer, http.StatusOK, map[string]any{"events": snapshot.events, "asOf": snapshot.asOf})
			return
		}
		select {
		case <-snapshot.changed:
			if endpoint.isMuted(kind) {
				<-request.Context().Done()
				return
			}
		case <-timedOut:
			expired = true
		case <-request.Context().Done():
			return
		}
	}
}

func (endpoint *Endpoint) put(writer http.ResponseWriter, request *http.Request, kind, name string) {
	var form objectForm
	if err := json.NewDecoder(request.Body).Decode(&form); err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	if name == "" {
		name = form.Metadata.Name
	}
	store := endpoint.store
	apply := func() (int, object) { return store.put(request.Method, kind, name, form) }
	if objectName, ok := strings.CutSuffix(name, "/status"); ok && request.Method == http.MethodPut {
		apply = func() (int, object) { return store.putStatus(kind, objectName, form) }
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if endpoint.fault == FaultDelayed {
		store.delayedWrites = append(store.delayedWrites, func() { apply() })
		panic(http.ErrAbortHandler)
	}
	status, existing := apply()
	if endpoint.fault == FaultLostResponse {
		panic(http.ErrAbortHandler)
	}
	if status == http.StatusNotFound {
		writer.WriteHeader(status)
		return
	}
	writeJSON(writer, status, existing.form())
}
