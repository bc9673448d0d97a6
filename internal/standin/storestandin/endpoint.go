package storestandin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"

	"sapphirehead/internal/clock"
)

// Door is an endpoint of the store with a fault of its own, which does not affect
// other endpoints.
type Door struct {
	store      *Store
	fault      Fault
	mutedKinds map[string]bool
	// refused counts the calls that failed because of a read fault.
	refused int
}

// Break sets the endpoint's fault and wakes waiting watches. Their connections are
// closed if the fault affects reads.
func (door *Door) Break(fault Fault) {
	door.store.mutex.Lock()
	defer door.store.mutex.Unlock()
	door.fault = fault
	door.store.wakeWatches()
}

// Mute stops or resumes the delivery of events to watches of the given kinds, by
// default of all kinds. A waiting watch that a change wakes while it is muted stays
// open without a response until its caller closes it.
func (door *Door) Mute(muted bool, kinds ...string) {
	door.store.mutex.Lock()
	defer door.store.mutex.Unlock()
	if len(kinds) == 0 {
		kinds = []string{"config", "servers"}
	}
	door.mutedKinds = map[string]bool{}
	for _, kind := range kinds {
		door.mutedKinds[kind] = muted
	}
}

// Refused returns the number of calls that failed because of a read fault.
func (door *Door) Refused() int {
	door.store.mutex.Lock()
	defer door.store.mutex.Unlock()
	return door.refused
}

func (door *Door) countRefused() {
	door.store.mutex.Lock()
	defer door.store.mutex.Unlock()
	door.refused++
}

func (door *Door) isMuted(kind string) bool {
	door.store.mutex.Lock()
	defer door.store.mutex.Unlock()
	return door.mutedKinds[kind]
}

func (door *Door) currentFault() Fault {
	door.store.mutex.Lock()
	defer door.store.mutex.Unlock()
	return door.fault
}

// ServeHTTP handles one call.
func (door *Door) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(request.URL.Path, "/api/objects/"), "/")
	if fault := door.currentFault(); fault.breaksReads() {
		door.countRefused()
		refuse(fault, writer, request)
		return
	}
	switch request.Method {
	case http.MethodGet:
		door.read(writer, request, kind, name)
	case http.MethodPost, http.MethodPut:
		door.put(writer, request, kind, name)
	default:
		writer.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func refuse(fault Fault, writer http.ResponseWriter, request *http.Request) {
	switch fault {
	case FaultBusy:
		writer.WriteHeader(http.StatusServiceUnavailable)
	case FaultRate:
		writer.WriteHeader(http.StatusTooManyRequests)
	case FaultSilent:
		// net/http detects a closed connection only after the body has been read.
		_, _ = io.Copy(io.Discard, request.Body)
		<-request.Context().Done()
	default:
		panic(http.ErrAbortHandler)
	}
}

func (door *Door) read(writer http.ResponseWriter, request *http.Request, kind, name string) {
	query := request.URL.Query()
	switch {
	case query.Get("watch") != "":
		door.watch(writer, request, kind)
	case name != "":
		door.store.get(writer, kind, name)
	default:
		door.store.list(writer, kind, query.Get("after"))
	}
}

func (door *Door) watch(writer http.ResponseWriter, request *http.Request, kind string) {
	since, err := strconv.ParseInt(request.URL.Query().Get("watch"), 10, 64)
	wait, waitErr := strconv.Atoi(request.URL.Query().Get("waitMs"))
	if err != nil || waitErr != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	timedOut := make(chan struct{})
	defer clock.System().AfterFunc(clock.Millis(wait), func() { close(timedOut) })()
	initialCuts := door.store.snapshotSince(kind, since).watchCuts
	for expired := false; ; {
		snapshot := door.store.snapshotSince(kind, since)
		switch {
		case door.currentFault().breaksReads(), snapshot.watchCuts != initialCuts:
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
			if door.isMuted(kind) {
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

func (door *Door) put(writer http.ResponseWriter, request *http.Request, kind, name string) {
	var form objectForm
	if err := json.NewDecoder(request.Body).Decode(&form); err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	if name == "" {
		name = form.Metadata.Name
	}
	store := door.store
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if door.fault == FaultLate {
		store.delayedWrites = append(store.delayedWrites, func() { store.put(request.Method, kind, name, form) })
		panic(http.ErrAbortHandler)
	}
	status, existing := store.put(request.Method, kind, name, form)
	if door.fault == FaultLost {
		panic(http.ErrAbortHandler)
	}
	if status == http.StatusNotFound {
		writer.WriteHeader(status)
		return
	}
	writeJSON(writer, status, existing.form())
}
