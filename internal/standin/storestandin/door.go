package storestandin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"

	"sapphirehead/internal/clock"
)

// Door is a way to the store. What breaks it does not break others.
type Door struct {
	store *Store
	fault Fault
	muted map[string]bool
	// refused counts the calls that the fault refused.
	refused int
}

// Break lets the door misbehave from now on and cuts waiting watches.
func (door *Door) Break(fault Fault) {
	door.store.mutex.Lock()
	defer door.store.mutex.Unlock()
	door.fault = fault
	door.store.wake()
}

// Mute lets watches that have begun before hear nothing more, of the kinds or, if
// none is named, of all. They neither end nor break.
func (door *Door) Mute(muted bool, kinds ...string) {
	door.store.mutex.Lock()
	defer door.store.mutex.Unlock()
	if len(kinds) == 0 {
		kinds = []string{"config", "servers"}
	}
	door.muted = map[string]bool{}
	for _, kind := range kinds {
		door.muted[kind] = muted
	}
}

// Refused returns how many calls the fault refused.
func (door *Door) Refused() int {
	door.store.mutex.Lock()
	defer door.store.mutex.Unlock()
	return door.refused
}

func (door *Door) count() {
	door.store.mutex.Lock()
	defer door.store.mutex.Unlock()
	door.refused++
}

func (door *Door) isMuted(kind string) bool {
	door.store.mutex.Lock()
	defer door.store.mutex.Unlock()
	return door.muted[kind]
}

func (door *Door) current() Fault {
	door.store.mutex.Lock()
	defer door.store.mutex.Unlock()
	return door.fault
}

// ServeHTTP answers one call.
func (door *Door) ServeHTTP(writer http.ResponseWriter, call *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(call.URL.Path, "/api/objects/"), "/")
	if fault := door.current(); fault.breaksReads() {
		door.count()
		refuse(fault, writer, call)
		return
	}
	switch call.Method {
	case http.MethodGet:
		door.read(writer, call, kind, name)
	case http.MethodPost, http.MethodPut:
		door.put(writer, call, kind, name)
	default:
		writer.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func refuse(fault Fault, writer http.ResponseWriter, call *http.Request) {
	switch fault {
	case FaultBusy:
		writer.WriteHeader(http.StatusServiceUnavailable)
	case FaultRate:
		writer.WriteHeader(http.StatusTooManyRequests)
	case FaultSilent:
		// The server notices that a caller has gone only once the body is read.
		_, _ = io.Copy(io.Discard, call.Body)
		<-call.Context().Done()
	default:
		panic(http.ErrAbortHandler)
	}
}

func (door *Door) read(writer http.ResponseWriter, call *http.Request, kind, name string) {
	query := call.URL.Query()
	switch {
	case query.Get("watch") != "":
		door.watch(writer, call, kind)
	case name != "":
		door.store.get(writer, kind, name)
	default:
		door.store.list(writer, kind, query.Get("after"))
	}
}

func (door *Door) watch(writer http.ResponseWriter, call *http.Request, kind string) {
	since, err := strconv.ParseInt(call.URL.Query().Get("watch"), 10, 64)
	wait, waitErr := strconv.Atoi(call.URL.Query().Get("waitMs"))
	if err != nil || waitErr != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	fired := make(chan struct{})
	defer clock.System().AfterFunc(clock.Millis(wait), func() { close(fired) })()
	begun := door.store.since(kind, since).cuts
	for expired := false; ; {
		history := door.store.since(kind, since)
		switch {
		case door.current().breaksReads(), history.cuts != begun:
			panic(http.ErrAbortHandler)
		case history.gone:
			writer.WriteHeader(http.StatusGone)
			return
		case len(history.events) > 0 || expired:
			answer(writer, http.StatusOK, map[string]any{"events": history.events, "asOf": history.asOf})
			return
		}
		select {
		case <-history.changed:
			if door.isMuted(kind) {
				<-call.Context().Done()
				return
			}
		case <-fired:
			expired = true
		case <-call.Context().Done():
			return
		}
	}
}

func (door *Door) put(writer http.ResponseWriter, call *http.Request, kind, name string) {
	var form objectForm
	if err := json.NewDecoder(call.Body).Decode(&form); err != nil {
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
		store.late = append(store.late, func() { store.put(call.Method, kind, name, form) })
		panic(http.ErrAbortHandler)
	}
	status, known := store.put(call.Method, kind, name, form)
	if door.fault == FaultLost {
		panic(http.ErrAbortHandler)
	}
	if status == http.StatusNotFound {
		writer.WriteHeader(status)
		return
	}
	answer(writer, status, known.form())
}
