// Package storestandin is a small stand-in for the metadata store of the users'
// platform: objects with revisions, paged listings, watches and conditional
// writes over HTTP, with the faults that the platform's documentation names.
//
// Faults are set per endpoint. A test gives each node an endpoint of its own to
// make the store fail for that node only; the store itself serves a default
// endpoint.
//
//	node 1 -- endpoint 1, FaultBusy -- store     calls are refused with status 503
//	node 2 -- endpoint 2, FaultNone -- store     calls succeed
package storestandin

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
)

// Fault is a failure mode of the store.
type Fault int

// The faults.
const (
	// FaultNone: calls succeed.
	FaultNone Fault = iota
	// FaultBusy: every call is refused with status 503.
	FaultBusy
	// FaultRateLimited: every call is refused with status 429.
	FaultRateLimited
	// FaultSilent: calls get no response.
	FaultSilent
	// FaultReset: every call's connection is closed.
	FaultReset
	// FaultLostResponse: writes are applied and their responses lost.
	FaultLostResponse
	// FaultDelayed: writes get no response and are delayed until the test applies them,
	// if their condition holds then.
	FaultDelayed
)

// breaksReads reports whether reads and watches fail as well as writes.
func (fault Fault) breaksReads() bool {
	switch fault {
	case FaultNone, FaultLostResponse, FaultDelayed:
		return false
	default:
		return true
	}
}

type object struct {
	name     string
	kind     string
	spec     json.RawMessage
	status   json.RawMessage
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
	era               int64
	pageSize          int
	watchCuts         int
	delayedWrites     []func()
	rollouts          []*Rollout
	changed           chan struct{}
	defaultEndpoint   *Endpoint
}

// defaultPageSize is the number of objects in a page.
const defaultPageSize = 500

// New returns an empty store.
func New() *Store {
	store := &Store{revision: 1, era: 1, objects: map[string]object{}, pageSize: defaultPageSize, changed: make(chan struct{})}
	store.defaultEndpoint = store.NewEndpoint()
	return store
}

// NewEndpoint returns a new endpoint of the store with a fault of its own.
func (store *Store) NewEndpoint() *Endpoint { return &Endpoint{store: store} }

// SetPageSize bounds the objects in each page of a listing.
func (store *Store) SetPageSize(size int) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.pageSize = size
}

// Set writes an object unconditionally, as another writer would.
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
		store.remove(existing)
	}
}

// remove removes an object. The caller holds the mutex.
func (store *Store) remove(existing object) {
	store.revision++
	delete(store.objects, existing.kind+"/"+existing.name)
	existing.revision = store.revision
	store.appendChange(change{object: existing, deleted: true})
}

// Spec returns an object's spec, or an empty string if there is no such object.
func (store *Store) Spec(kind, name string) string {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return string(store.objects[kind+"/"+name].spec)
}

// Status returns an object's status, or an empty string if it has none.
func (store *Store) Status(kind, name string) string {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return string(store.objects[kind+"/"+name].status)
}

// SetFault sets the fault of the default endpoint.
func (store *Store) SetFault(fault Fault) { store.defaultEndpoint.SetFault(fault) }

// Compact drops the history. Watches from an older revision get status 410.
func (store *Store) Compact() {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.changes, store.compactedRevision = nil, store.revision
	store.wakeWatches()
}

// CutWatches closes the connections of waiting watches but keeps the history.
func (store *Store) CutWatches() {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.watchCuts++
	store.wakeWatches()
}

// Copy is the state of a store that it can be restored to.
type Copy struct {
	revision int64
	objects  map[string]object
	changes  []change
}

// Copy returns a copy of the state.
func (store *Store) Copy() *Copy {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return &Copy{revision: store.revision, objects: maps.Clone(store.objects), changes: slices.Clone(store.changes)}
}

// Restore goes back to the copy and begins a new era. Watches are cut. The objects of the
// rewritten kinds are then written again as they were, as by writers of their own.
func (store *Store) Restore(older *Copy, rewritten ...string) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	latest := store.objects
	store.era++
	store.revision, store.objects, store.changes = older.revision, maps.Clone(older.objects), slices.Clone(older.changes)
	store.watchCuts++
	store.wakeWatches()
	for key, existing := range store.objects {
		if _, ok := latest[key]; !ok && slices.Contains(rewritten, existing.kind) {
			store.remove(existing)
		}
	}
	for key, lost := range latest {
		if slices.Contains(rewritten, lost.kind) && string(lost.spec) != string(store.objects[key].spec) {
			store.write(lost.kind, lost.name, lost.spec)
		}
	}
}

// Revision returns the current revision.
func (store *Store) Revision() int64 {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.revision
}

// currentEra returns the number of restores, from 1.
func (store *Store) currentEra() int64 {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.era
}

// ApplyDelayed applies the delayed writes, oldest first, and returns their number.
func (store *Store) ApplyDelayed() int {
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
	written := object{kind: kind, name: name, spec: spec, status: store.objects[kind+"/"+name].status, revision: store.revision}
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
	Status   json.RawMessage `json:"status,omitempty"`
}

func (object object) form() objectForm {
	return objectForm{Metadata: metadataForm{Name: object.name, Revision: object.revision}, Spec: object.spec, Status: object.status}
}

type eventForm struct {
	Object  objectForm `json:"object"`
	Deleted bool       `json:"deleted"`
}

// ServeHTTP handles one call at the default endpoint.
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

// watchSnapshot is the state of the store that a watch checks in each round.
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
	snapshot := watchSnapshot{events: []eventForm{}, asOf: store.revision, compacted: since < store.compactedRevision || since > store.revision, watchCuts: store.watchCuts, changed: store.changed}
	for _, change := range store.changes {
		if change.object.kind == kind && change.object.revision > since {
			snapshot.events = append(snapshot.events, eventForm{Object: change.object.form(), Deleted: change.deleted})
		}
	}
	return snapshot
}

// put applies a write if its condition holds. It returns the status of the
// response and the object's current state. The caller holds the mutex.
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

// putStatus replaces an object's status if its condition holds. It returns the status of
// the response and the object's current state. The caller holds the mutex.
func (store *Store) putStatus(kind, name string, form objectForm) (int, object) {
	existing, exists := store.objects[kind+"/"+name]
	switch {
	case !exists:
		return http.StatusNotFound, existing
	case form.Metadata.Revision != existing.revision:
		return http.StatusConflict, existing
	}
	store.revision++
	existing.status, existing.revision = form.Status, store.revision
	store.objects[kind+"/"+name] = existing
	store.appendChange(change{object: existing})
	store.playRollouts(existing)
	return http.StatusOK, existing
}

func writeJSON(writer http.ResponseWriter, status int, form any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	// A write error means that the caller has closed the connection.
	_ = json.NewEncoder(writer).Encode(form)
}
