// Package storestandin is a small stand-in for the users' platform's metadata
// store: objects with revisions, listings in pages, watches and conditional
// writes over HTTP, with the faults that the platform's pages name.
//
// A fault is one of the whole store, or of one door: a test gives each node a
// door of its own and lets the store refuse that node alone.
//
//	store := storestandin.New()
//	first, second := store.Door(), store.Door()
//	first.Break(storestandin.FaultBusy) // The second node is served.
package storestandin

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
)

// Fault is how the store misbehaves.
type Fault int

// The faults.
const (
	// FaultNone: the store works.
	FaultNone Fault = iota
	// FaultBusy: every call is refused with 503.
	FaultBusy
	// FaultRate: every call is refused with 429.
	FaultRate
	// FaultSilent: calls get no answer.
	FaultSilent
	// FaultReset: every call's connection is closed.
	FaultReset
	// FaultLost: writes are done and not answered.
	FaultLost
	// FaultLate: writes are not answered, and done once Settle is called, if their
	// condition holds then.
	FaultLate
)

// breaksReads reports whether reads and watches fail too.
func (fault Fault) breaksReads() bool {
	switch fault {
	case FaultNone, FaultLost, FaultLate:
		return false
	default:
		return true
	}
}

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
	mutex             sync.Mutex
	revision          int64
	objects           map[string]object
	changes           []change
	compactedRevision int64
	pageSize          int
	watchCuts         int
	delayedWrites     []func()
	changed           chan struct{}
	defaultEndpoint   *Door
}

// defaultPageSize is the number of objects in a page.
const defaultPageSize = 500

// New returns an empty store.
func New() *Store {
	store := &Store{revision: 1, objects: map[string]object{}, pageSize: defaultPageSize, changed: make(chan struct{})}
	store.defaultEndpoint = store.Door()
	return store
}

// Door returns a way to the store that can fail by itself.
func (store *Store) Door() *Door { return &Door{store: store} }

// SetPageSize bounds the objects in each page of a listing.
func (store *Store) SetPageSize(size int) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.pageSize = size
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
	if existing, ok := store.objects[kind+"/"+name]; ok {
		store.revision++
		delete(store.objects, kind+"/"+name)
		existing.revision = store.revision
		store.appendChange(change{object: existing, deleted: true})
	}
}

// Spec returns what an object holds, or empty.
func (store *Store) Spec(kind, name string) string {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return string(store.objects[kind+"/"+name].spec)
}

// Break lets the store's own door misbehave from now on.
func (store *Store) Break(fault Fault) { store.defaultEndpoint.Break(fault) }

// Compact drops the history and cuts waiting watches.
func (store *Store) Compact() {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.changes, store.compactedRevision = nil, store.revision
	store.wakeWatches()
}

// CutWatches closes the connections of waiting watches and keeps the history.
func (store *Store) CutWatches() {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.watchCuts++
	store.wakeWatches()
}

// Settle does the late writes, oldest first, and returns how many there were.
func (store *Store) Settle() int {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	delayedWrites := store.delayedWrites
	store.delayedWrites = nil
	for _, write := range delayedWrites {
		write()
	}
	return len(delayedWrites)
}

func (store *Store) write(kind, name string, spec json.RawMessage) object {
	store.revision++
	written := object{kind: kind, name: name, spec: spec, revision: store.revision}
	store.objects[kind+"/"+name] = written
	store.appendChange(change{object: written})
	return written
}

func (store *Store) appendChange(change change) {
	store.changes = append(store.changes, change)
	store.wakeWatches()
}

func (store *Store) wakeWatches() {
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

// ServeHTTP answers one call at the store's own door.
func (store *Store) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	store.defaultEndpoint.ServeHTTP(writer, request)
}

func (store *Store) get(writer http.ResponseWriter, kind, name string) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	existing, ok := store.objects[kind+"/"+name]
	if !ok {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(writer, http.StatusOK, existing.form())
}

func (store *Store) list(writer http.ResponseWriter, kind, after string) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	items := []objectForm{}
	for _, existing := range store.objects {
		if existing.kind == kind && existing.name > after {
			items = append(items, existing.form())
		}
	}
	slices.SortFunc(items, func(a, b objectForm) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	truncated := len(items) > store.pageSize
	if truncated {
		items = items[:store.pageSize]
	}
	writeJSON(writer, http.StatusOK, map[string]any{"items": items, "truncated": truncated, "asOf": store.revision})
}

// watchSnapshot is what a watch sees at one moment.
type watchSnapshot struct {
	events    []eventForm
	asOf      int64
	compacted bool
	watchCuts int
	changed   chan struct{}
}

func (store *Store) snapshotSince(kind string, since int64) watchSnapshot {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	snapshot := watchSnapshot{events: []eventForm{}, asOf: store.revision, compacted: since < store.compactedRevision, watchCuts: store.watchCuts, changed: store.changed}
	for _, change := range store.changes {
		if change.object.kind == kind && change.object.revision > since {
			snapshot.events = append(snapshot.events, eventForm{Object: change.object.form(), Deleted: change.deleted})
		}
	}
	return snapshot
}

// put does a write if its condition holds. The status is what the store answers,
// with the object as it is then.
func (store *Store) put(method, kind, name string, form objectForm) (int, object) {
	existing, exists := store.objects[kind+"/"+name]
	switch {
	case method == http.MethodPut && !exists:
		return http.StatusNotFound, existing
	case method == http.MethodPost && exists, exists && form.Metadata.Revision != 0 && form.Metadata.Revision != existing.revision:
		return http.StatusConflict, existing
	default:
		return http.StatusOK, store.write(kind, name, form.Spec)
	}
}

func writeJSON(writer http.ResponseWriter, status int, form any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	// The caller may have gone; there is nobody left to tell.
	_ = json.NewEncoder(writer).Encode(form)
}
