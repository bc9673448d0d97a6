// Package storestandin is a small stand-in for the users' platform's metadata
// store: objects with revisions, listings, watches and conditional writes over
// HTTP, with the faults that the platform's pages name.
package storestandin

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"

	"sapphirehead/internal/clock"
)

// Fault is how the store misbehaves.
type Fault int

// The faults.
const (
	// FaultNone: the store works.
	FaultNone Fault = iota
	// FaultBusy: every call is refused with 503.
	FaultBusy
	// FaultReset: every call's connection is closed.
	FaultReset
	// FaultLost: writes are done and not answered.
	FaultLost
)

type object struct {
	name     string
	kind     string
	spec     json.RawMessage
	revision int64
}

type change struct {
	object  object
	deleted bool
}

// Store is the stand-in.
type Store struct {
	mutex    sync.Mutex
	revision int64
	objects  map[string]object
	changes  []change
	oldest   int64
	fault    Fault
	changed  chan struct{}
}

// New returns an empty store.
func New() *Store {
	return &Store{revision: 1, objects: map[string]object{}, changed: make(chan struct{})}
}

// Set writes an object without a condition, as another writer would.
func (store *Store) Set(kind, name, spec string) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.write(kind, name, json.RawMessage(spec))
}

// Remove removes an object.
func (store *Store) Remove(kind, name string) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if known, ok := store.objects[kind+"/"+name]; ok {
		store.revision++
		delete(store.objects, kind+"/"+name)
		known.revision = store.revision
		store.tell(change{object: known, deleted: true})
	}
}

// Spec returns what an object holds, or empty.
func (store *Store) Spec(kind, name string) string {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return string(store.objects[kind+"/"+name].spec)
}

// Break lets the store misbehave from now on and cuts waiting watches.
func (store *Store) Break(fault Fault) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.fault = fault
	store.wake()
}

// Compact drops the history and cuts waiting watches.
func (store *Store) Compact() {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.changes, store.oldest = nil, store.revision
	store.wake()
}

func (store *Store) write(kind, name string, spec json.RawMessage) object {
	store.revision++
	written := object{kind: kind, name: name, spec: spec, revision: store.revision}
	store.objects[kind+"/"+name] = written
	store.tell(change{object: written})
	return written
}

func (store *Store) tell(change change) {
	store.changes = append(store.changes, change)
	store.wake()
}

func (store *Store) wake() {
	close(store.changed)
	store.changed = make(chan struct{})
}

type metadataForm struct {
	Name     string `json:"name"`
	Revision int64  `json:"revision"`
}

type objectForm struct {
	Metadata metadataForm    `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
}

func (object object) form() objectForm {
	return objectForm{Metadata: metadataForm{Name: object.name, Revision: object.revision}, Spec: object.spec}
}

type eventForm struct {
	Object  objectForm `json:"object"`
	Deleted bool       `json:"deleted"`
}

// ServeHTTP answers one call.
func (store *Store) ServeHTTP(writer http.ResponseWriter, call *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(call.URL.Path, "/api/objects/"), "/")
	switch store.currentFault() {
	case FaultBusy:
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	case FaultReset:
		panic(http.ErrAbortHandler)
	default:
	}
	switch call.Method {
	case http.MethodGet:
		store.read(writer, call, kind, name)
	case http.MethodPost, http.MethodPut:
		store.put(writer, call, kind, name)
	default:
		writer.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func (store *Store) currentFault() Fault {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.fault
}

func (store *Store) read(writer http.ResponseWriter, call *http.Request, kind, name string) {
	if since := call.URL.Query().Get("watch"); since != "" {
		store.watch(writer, call, kind, since)
		return
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if name != "" {
		known, ok := store.objects[kind+"/"+name]
		if !ok {
			writer.WriteHeader(http.StatusNotFound)
			return
		}
		answer(writer, http.StatusOK, known.form())
		return
	}
	items := []objectForm{}
	for _, known := range store.objects {
		if known.kind == kind {
			items = append(items, known.form())
		}
	}
	slices.SortFunc(items, func(a, b objectForm) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	answer(writer, http.StatusOK, map[string]any{"items": items, "truncated": false, "asOf": store.revision})
}

func (store *Store) watch(writer http.ResponseWriter, call *http.Request, kind, text string) {
	since, err := strconv.ParseInt(text, 10, 64)
	wait, waitErr := strconv.Atoi(call.URL.Query().Get("waitMs"))
	if err != nil || waitErr != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	fired := make(chan struct{})
	defer clock.System().AfterFunc(clock.Millis(wait), func() { close(fired) })()
	for expired := false; ; {
		events, asOf, gone, changed := store.since(kind, since)
		switch {
		case store.currentFault() != FaultNone && store.currentFault() != FaultLost:
			panic(http.ErrAbortHandler)
		case gone:
			writer.WriteHeader(http.StatusGone)
			return
		case len(events) > 0 || expired:
			answer(writer, http.StatusOK, map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-fired:
			expired = true
		case <-call.Context().Done():
			return
		}
	}
}

func (store *Store) since(kind string, since int64) (events []eventForm, asOf int64, gone bool, changed chan struct{}) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	events = []eventForm{}
	for _, change := range store.changes {
		if change.object.kind == kind && change.object.revision > since {
			events = append(events, eventForm{Object: change.object.form(), Deleted: change.deleted})
		}
	}
	return events, store.revision, since < store.oldest, store.changed
}

func (store *Store) put(writer http.ResponseWriter, call *http.Request, kind, name string) {
	var form objectForm
	if err := json.NewDecoder(call.Body).Decode(&form); err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if name == "" {
		name = form.Metadata.Name
	}
	known, exists := store.objects[kind+"/"+name]
	switch {
	case call.Method == http.MethodPut && !exists:
		writer.WriteHeader(http.StatusNotFound)
		return
	case call.Method == http.MethodPost && exists, exists && form.Metadata.Revision != 0 && form.Metadata.Revision != known.revision:
		answer(writer, http.StatusConflict, known.form())
		return
	}
	written := store.write(kind, name, form.Spec)
	if store.fault == FaultLost {
		panic(http.ErrAbortHandler)
	}
	answer(writer, http.StatusOK, written.form())
}

func answer(writer http.ResponseWriter, status int, form any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	// The caller may have gone; there is nobody left to tell.
	_ = json.NewEncoder(writer).Encode(form)
}
