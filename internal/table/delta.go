package table

import (
	"fmt"
	"maps"
	"slices"

	"sapphirehead/internal/pool"
	"sapphirehead/internal/route"
)

// Delta is the difference between two versions. A node that is a few versions
// behind is sent a delta instead of the tables, so that the bytes sent for an edit
// depend on the size of the edit and not on that of the tables.
type Delta struct {
	from        int64
	to          int64
	fingerprint uint64
	routes      []route.Route
	pools       []pool.Pool
	removed     []string
	edits       []string
}

// NewDelta returns the changes from one version to another. The fingerprint is that
// of the tables after the changes.
func NewDelta(from, to int64, fingerprint uint64, routes []route.Route, pools []pool.Pool, removed, edits []string) *Delta {
	return &Delta{from: from, to: to, fingerprint: fingerprint, routes: routes, pools: pools, removed: removed, edits: edits}
}

// From returns the version to which the changes apply.
func (delta *Delta) From() int64 { return delta.from }

// To returns the version after the changes.
func (delta *Delta) To() int64 { return delta.to }

// Fingerprint returns the fingerprint of the tables after the changes.
func (delta *Delta) Fingerprint() uint64 { return delta.fingerprint }

// Routes returns the changed routes with their revisions.
func (delta *Delta) Routes() []route.Route { return delta.routes }

// Pools returns the changed pools with their revisions.
func (delta *Delta) Pools() []pool.Pool { return delta.pools }

// Removed returns the names of the removed rows.
func (delta *Delta) Removed() []string { return delta.removed }

// Edits returns the ids of the edits between the versions, oldest first.
func (delta *Delta) Edits() []string { return delta.edits }

// DeltaSince returns the changes from the older tables to these.
func (tables *Tables) DeltaSince(older *Tables) *Delta {
	delta := &Delta{from: older.version, to: tables.version, fingerprint: tables.Fingerprint()}
	delta.routes = changedRows(tables.routes, older.routes, route.Route.Revision)
	delta.pools = changedRows(tables.pools, older.pools, pool.Pool.Revision)
	for _, row := range slices.Sorted(maps.Keys(older.routes)) {
		if _, ok := tables.routes[row]; !ok {
			delta.removed = append(delta.removed, RouteRow(row))
		}
	}
	for _, row := range slices.Sorted(maps.Keys(older.pools)) {
		if _, ok := tables.pools[row]; !ok {
			delta.removed = append(delta.removed, PoolRow(row))
		}
	}
	added := min(int(tables.version-older.version), len(tables.recentEdits))
	delta.edits = slices.Clone(tables.recentEdits[len(tables.recentEdits)-added:])
	return delta
}

func changedRows[R any](rows, older map[string]R, revision func(R) int64) []R {
	var changed []R
	for _, name := range slices.Sorted(maps.Keys(rows)) {
		if olderRow, ok := older[name]; !ok || revision(olderRow) != revision(rows[name]) {
			changed = append(changed, rows[name])
		}
	}
	return changed
}

// DeltaError reports that a delta does not apply to the tables. The complete tables
// must be fetched instead.
type DeltaError struct {
	from int64
	have int64
}

func (err *DeltaError) Error() string {
	return fmt.Sprintf("a delta from version %d does not fit the tables at version %d", err.from, err.have)
}

// ApplyDelta returns the tables after the delta. It verifies their fingerprint.
// Error: *DeltaError.
func (tables *Tables) ApplyDelta(delta *Delta) (*Tables, error) {
	if delta.from != tables.version {
		return nil, &DeltaError{from: delta.from, have: tables.version}
	}
	routes, pools := maps.Clone(tables.routes), maps.Clone(tables.pools)
	for _, row := range delta.routes {
		routes[row.Name()] = row
	}
	for _, row := range delta.pools {
		pools[row.Name()] = row
	}
	removeRows(routes, pools, delta.removed)
	changed := newIndexed(delta.to, routes, pools, append(tables.RecentEdits(), delta.edits...))
	if changed.Fingerprint() != delta.fingerprint {
		return nil, &DeltaError{from: delta.from, have: tables.version}
	}
	return changed, nil
}
