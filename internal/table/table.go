// Package table holds the table of routes and the table of pools as one immutable
// value with one version, and the rules by which edits change it.
//
// Both tables are stored in one object of the platform's object API, so one version
// orders all edits. An edit states the revision of each row that it changes. Edits
// of different rows are merged; two edits of the same row conflict:
//
//	version 7: route "desk" has revision 5
//	edit A (desk at 5) commits as version 8; desk now has revision 8
//	edit B (desk at 5) fails with a ConflictError for row route/desk
//
// The object contains the ids of the committed edits. If the response to a commit
// is lost, the editor reads the object again and searches it for the edit's id.
package table

import (
	"maps"
	"slices"

	"sapphirehead/internal/pool"
	"sapphirehead/internal/route"
)

// MaxRecentEdits is the number of edit ids that the object keeps.
const MaxRecentEdits = 256

// Tables holds both tables at one version. It is immutable; the indexes for the
// path of a request are built on creation.
type Tables struct {
	version     int64
	routes      map[string]route.Route
	pools       map[string]pool.Pool
	recentEdits []string
	byModel     map[string]route.Route
	byPath      map[string]route.Route
}

// New returns tables with the rows. It does not check them; see Check.
func New(version int64, routes []route.Route, pools []pool.Pool, recentEdits []string) *Tables {
	byName := make(map[string]route.Route, len(routes))
	for _, row := range routes {
		byName[row.Name()] = row
	}
	poolsByName := make(map[string]pool.Pool, len(pools))
	for _, row := range pools {
		poolsByName[row.Name()] = row
	}
	return newIndexed(version, byName, poolsByName, slices.Clone(recentEdits))
}

// newIndexed returns tables that own the maps and the slice.
func newIndexed(version int64, routes map[string]route.Route, pools map[string]pool.Pool, recentEdits []string) *Tables {
	if excess := len(recentEdits) - MaxRecentEdits; excess > 0 {
		recentEdits = recentEdits[excess:]
	}
	tables := &Tables{
		version:     version,
		routes:      routes,
		pools:       pools,
		recentEdits: recentEdits,
		byModel:     map[string]route.Route{},
		byPath:      map[string]route.Route{},
	}
	for _, row := range tables.Routes() {
		switch row.Kind() {
		case route.KindChat:
			addFirst(tables.byModel, row.Model(), row)
		case route.KindService:
			addFirst(tables.byPath, row.Path(), row)
		}
	}
	return tables
}

func addFirst(index map[string]route.Route, key string, row route.Route) {
	if _, exists := index[key]; !exists {
		index[key] = row
	}
}

// Empty returns tables without rows at version 0.
func Empty() *Tables { return New(0, nil, nil, nil) }

// Version returns the version, which increases by one with each committed edit.
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

// RouteForModel returns the chat route of the model.
func (tables *Tables) RouteForModel(model string) (route.Route, bool) {
	row, ok := tables.byModel[model]
	return row, ok
}

// RouteForPath returns the service route with the longest matching prefix. A
// prefix matches whole segments: "/book" matches "/book/1" but not "/booking".
func (tables *Tables) RouteForPath(path string) (route.Route, bool) {
	for end := len(path); end > 0; end-- {
		if end < len(path) && path[end] != '/' && path[end-1] != '/' {
			continue
		}
		if row, ok := tables.byPath[path[:end]]; ok {
			return row, true
		}
	}
	return route.Route{}, false
}

func sortedRows[R any](rows map[string]R) []R {
	sorted := make([]R, 0, len(rows))
	for _, name := range slices.Sorted(maps.Keys(rows)) {
		sorted = append(sorted, rows[name])
	}
	return sorted
}
