package faultmatrix

import (
	"context"
	"slices"
	"sync"

	"github.com/pkg/errors"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/platform"
)

const (
	// storeTimeout is how long a client waits for a response of the object API.
	storeTimeout = 1 * clock.Second
	// slowWriteDelay is the time that a write takes while the object API is slow. It
	// is longer than storeTimeout, so the write is applied after its client has given
	// up.
	slowWriteDelay = 1500 * clock.Millisecond
	// storeLatency is the duration of an ordinary call.
	storeLatency = 4 * clock.Millisecond
)

var (
	errStoreDown    = errors.New("the object API is down")
	errResponseLost = errors.New("the response was lost")
)

type objectName struct {
	kind string
	name string
}

// objectStore simulates the platform's object API in memory.
type objectStore struct {
	clock           *clock.Clock
	mutex           sync.Mutex
	objects         map[objectName]platform.Object
	changed         chan struct{}
	down            bool
	slow            bool
	responsesToLose int
	responsesLost   int
}

func newObjectStore(clock *clock.Clock) *objectStore {
	return &objectStore{clock: clock, objects: map[objectName]platform.Object{}, changed: make(chan struct{})}
}

// client returns one process's client of the API. The function awaitRunning fails if
// the process is dead and blocks while it is paused.
func (store *objectStore) client(awaitRunning func(ctx context.Context) error) *platform.Store {
	get := func(ctx context.Context, kind, name string) (platform.Object, error) {
		if err := awaitRunning(ctx); err != nil {
			return platform.Object{}, platform.NewUnavailableError(false, err)
		}
		object, err := store.get(ctx, objectName{kind: kind, name: name})
		if stateErr := awaitRunning(ctx); stateErr != nil {
			return platform.Object{}, platform.NewUnavailableError(false, stateErr)
		}
		return object, err
	}
	put := func(ctx context.Context, kind, name string, body []byte, condition int64) (int64, error) {
		if err := awaitRunning(ctx); err != nil {
			return 0, platform.NewUnavailableError(false, err)
		}
		version, err := store.put(ctx, objectName{kind: kind, name: name}, body, condition)
		if stateErr := awaitRunning(ctx); stateErr != nil {
			return 0, platform.NewUnavailableError(true, stateErr)
		}
		return version, err
	}
	watch := func(ctx context.Context, kind, name string, after int64) (platform.Object, error) {
		if err := awaitRunning(ctx); err != nil {
			return platform.Object{}, platform.NewUnavailableError(false, err)
		}
		store.awaitChange(ctx, objectName{kind: kind, name: name}, after)
		return get(ctx, kind, name)
	}
	return platform.NewStore(get, put, watch)
}

// simulateCall waits as long as a call takes, and returns the error that the client
// gets.
func (store *objectStore) simulateCall(ctx context.Context, write bool) error {
	store.mutex.Lock()
	down, slow := store.down, store.slow
	store.mutex.Unlock()
	switch {
	case down:
		return platform.NewUnavailableError(false, errStoreDown)
	case slow:
		store.clock.Wait(ctx, storeTimeout)
		return platform.NewUnavailableError(write, errResponseLost)
	}
	if err := store.clock.Wait(ctx, storeLatency); err != nil {
		return platform.NewUnavailableError(write, err)
	}
	return nil
}

func (store *objectStore) get(ctx context.Context, name objectName) (platform.Object, error) {
	if err := store.simulateCall(ctx, false); err != nil {
		return platform.Object{}, err
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	object, ok := store.objects[name]
	if !ok {
		return platform.Object{}, platform.NewNotFoundError(name.kind, name.name)
	}
	return object, nil
}

func (store *objectStore) put(ctx context.Context, name objectName, body []byte, condition int64) (int64, error) {
	store.mutex.Lock()
	slow := store.slow && !store.down
	store.mutex.Unlock()
	if slow {
		store.clock.AfterFunc(slowWriteDelay, func() { store.write(name, body, condition) })
	}
	if err := store.simulateCall(ctx, true); err != nil {
		return 0, err
	}
	version, ok := store.write(name, body, condition)
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if store.responsesToLose > 0 {
		store.responsesToLose--
		store.responsesLost++
		return 0, platform.NewUnavailableError(true, errResponseLost)
	}
	if !ok {
		return 0, platform.NewConflictError(name.kind, name.name, condition)
	}
	return version, nil
}

// write stores the body if the object's version is still the condition.
func (store *objectStore) write(name objectName, body []byte, condition int64) (int64, bool) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if store.objects[name].Version() != condition {
		return 0, false
	}
	store.objects[name] = platform.NewObject(condition+1, slices.Clone(body))
	close(store.changed)
	store.changed = make(chan struct{})
	return condition + 1, true
}

// awaitChange blocks until the object's version differs from after.
func (store *objectStore) awaitChange(ctx context.Context, name objectName, after int64) {
	ctx, cancel := store.clock.WithTimeout(ctx, maxWatchTime)
	defer cancel()
	for ctx.Err() == nil {
		store.mutex.Lock()
		version, changed := store.objects[name].Version(), store.changed
		store.mutex.Unlock()
		if version != after {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// maxWatchTime bounds how long one watch waits for a change.
const maxWatchTime = 5 * clock.Second

// update calls the function with the store locked.
func (store *objectStore) update(change func(store *objectStore)) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	change(store)
}
