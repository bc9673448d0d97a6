package nodeslope

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"sapphirehead/internal/platform"
)

// errDown is the error of all calls during an outage.
var errDown = errors.New("the store is down")

// Store is an in-memory object API with one object. It counts its calls; a
// waiting watch counts as one.
type Store struct {
	mutex   sync.Mutex
	version int64
	body    []byte
	changed chan struct{}
	down    atomic.Bool
	calls   atomic.Int64
	watches atomic.Int64
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{changed: make(chan struct{})} }

// Calls returns the number of calls so far.
func (store *Store) Calls() int64 { return store.calls.Load() }

// Watches returns the number of waiting watches.
func (store *Store) Watches() int64 { return store.watches.Load() }

// SetDown starts or ends an outage.
func (store *Store) SetDown(down bool) { store.down.Store(down) }

// Object returns the stored body.
func (store *Store) Object() []byte {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.body
}

// Restore replaces the object by an older body, as a restore from a backup
// does.
func (store *Store) Restore(body []byte) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.set(body)
}

func (store *Store) set(body []byte) {
	store.version++
	store.body = body
	close(store.changed)
	store.changed = make(chan struct{})
}

// Platform returns the object API over this store.
func (store *Store) Platform() *platform.Store {
	return platform.NewStore(store.get, store.put, store.watch)
}

func (store *Store) get(_ context.Context, kind, name string) (platform.Object, error) {
	store.calls.Add(1)
	return store.read(kind, name)
}

func (store *Store) read(kind, name string) (platform.Object, error) {
	if store.down.Load() {
		return platform.Object{}, platform.NewUnavailableError(false, errDown)
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if store.version == 0 {
		return platform.Object{}, platform.NewNotFoundError(kind, name)
	}
	return platform.NewObject(store.version, store.body), nil
}

func (store *Store) put(_ context.Context, kind, name string, body []byte, condition int64) (int64, error) {
	store.calls.Add(1)
	if store.down.Load() {
		return 0, platform.NewUnavailableError(false, errDown)
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if store.version != condition {
		return 0, platform.NewConflictError(kind, name, condition)
	}
	store.set(body)
	return store.version, nil
}

// watch waits until the object changes or the context ends, and then reads it.
func (store *Store) watch(ctx context.Context, kind, name string, after int64) (platform.Object, error) {
	store.calls.Add(1)
	store.mutex.Lock()
	version, changed := store.version, store.changed
	store.mutex.Unlock()
	if version == after && !store.down.Load() {
		store.watches.Add(1)
		defer store.watches.Add(-1)
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
	return store.read(kind, name)
}
