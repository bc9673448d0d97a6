// Package table holds the table of routes and the table of pools as one
// immutable value with one version, and the rules by which edits change it.
//
// Both tables live in one object of the platform's object API, so one version
// orders every edit. An edit names the revision of each row that it changes.
// Edits to different rows merge; two edits of the same row conflict:
//
//	version 7: route "desk" has revision 5
//	edit A (desk at 5) commits as version 8; desk now has revision 8
//	edit B (desk at 5) fails with ConflictError{Row: route/desk}
//
// Each committed edit leaves its id in the object. After a lost answer the
// operator's side reads the object back and looks for the id.
package table

import (
	"maps"
	"slices"
	"strings"
	"sync/atomic"

	"sapphirehead/internal/pool"
	"sapphirehead/internal/route"
)

// MaxRecentEdits is the number of edit ids kept in the object.
const MaxRecentEdits = 256

// Tables is both tables at one version.
type Tables struct {
	version     int64
	routes      map[string]route.Route
	pools       map[string]pool.Pool
	recentEdits []string
}

// New returns tables with the given rows. It does not check them; see Check.
func New(version int64, routes []route.Route, pools []pool.Pool, recentEdits []string) *Tables {
	tables := &Tables{
		version:     version,
		routes:      make(map[string]route.Route, len(routes)),
		pools:       make(map[string]pool.Pool, len(pools)),
		recentEdits: slices.Clone(recentEdits),
	}
	for _, row := range routes {
		tables.routes[row.Name()] = row
	}
	for _, row := range pools {
		tables.pools[row.Name()] = row
	}
	return tables
}

// Empty returns tables without rows at version 0.
func Empty() *Tables { return New(0, nil, nil, nil) }

// Version returns the version, which rises by one with each committed edit.
func (tables *Tables) Version() int64 { return tables.version }

// Route returns the route with the name.
func (tables *Tables) Route(name string) (route.Route, bool) {
	row, ok := tables.routes[name]
	return row, ok
}

// Pool returns the pool with the name.
func (tables *Tables) Pool(name string) (pool.Pool, bool) {
	row, ok := tables.pools[name]
	return row, ok
}

// Routes returns all routes in order of name.
func (tables *Tables) Routes() []route.Route {
	return sortedRows(tables.routes)
}

// Pools returns all pools in order of name.
func (tables *Tables) Pools() []pool.Pool {
	return sortedRows(tables.pools)
}

// RecentEdits returns the ids of the latest committed edits, oldest first.
func (tables *Tables) RecentEdits() []string { return slices.Clone(tables.recentEdits) }

// HasEdit reports whether the edit with the id is among the recent ones.
func (tables *Tables) HasEdit(id string) bool { return slices.Contains(tables.recentEdits, id) }

// RouteForModel returns the chat route that callers select by model.
func (tables *Tables) RouteForModel(model string) (route.Route, bool) {
	for _, row := range tables.Routes() {
		if row.Kind() == route.KindChat && row.Model() == model {
			return row, true
		}
	}
	return route.Route{}, false
}

// RouteForPath returns the service route with the longest matching prefix.
func (tables *Tables) RouteForPath(path string) (route.Route, bool) {
	best, found := route.Route{}, false
	for _, row := range tables.routes {
		if row.Kind() != route.KindService || !pathHasPrefix(path, row.Path()) {
			continue
		}
		if !found || len(row.Path()) > len(best.Path()) {
			best, found = row, true
		}
	}
	return best, found
}

func pathHasPrefix(path, prefix string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || path[len(prefix)] == '/'
}

func sortedRows[R any](rows map[string]R) []R {
	sorted := make([]R, 0, len(rows))
	for _, name := range slices.Sorted(maps.Keys(rows)) {
		sorted = append(sorted, rows[name])
	}
	return sorted
}

// InForce publishes the tables that a node acts on. Its version only rises.
type InForce struct {
	current atomic.Pointer[Tables]
}

// NewInForce returns a holder of empty tables.
func NewInForce() *InForce {
	inForce := &InForce{}
	inForce.current.Store(Empty())
	return inForce
}

// Current returns the tables in force.
func (inForce *InForce) Current() *Tables { return inForce.current.Load() }

// Offer puts the tables in force if their version is higher than the current
// one, and reports whether it did.
func (inForce *InForce) Offer(tables *Tables) bool {
	for {
		current := inForce.current.Load()
		if tables.version <= current.version {
			return false
		}
		if inForce.current.CompareAndSwap(current, tables) {
			return true
		}
	}
}
