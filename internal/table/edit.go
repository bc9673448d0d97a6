package table

import (
	"maps"
	"slices"
	"strings"

	"sapphirehead/internal/pool"
	"sapphirehead/internal/route"
)

// Prefixes of row names, as in "route/desk".
const (
	rowPrefixRoute = "route/"
	rowPrefixPool  = "pool/"
)

// RouteRow returns the name of a route's row.
func RouteRow(name string) string { return rowPrefixRoute + name }

// PoolRow returns the name of a pool's row.
func PoolRow(name string) string { return rowPrefixPool + name }

// Edit is a set of row changes that are committed together. Revision 0 of a row
// means that it must not exist yet.
type Edit struct {
	id        string
	routes    []route.Route
	pools     []pool.Pool
	removed   []string
	revisions map[string]int64
}

// NewEdit returns an edit without changes.
func NewEdit(id string) *Edit {
	return &Edit{id: id, revisions: map[string]int64{}}
}

// ID returns the edit's id, which is stored with the committed tables.
func (edit *Edit) ID() string { return edit.id }

// SetRoute writes a route whose row was last seen at the revision.
func (edit *Edit) SetRoute(row route.Route, revision int64) {
	edit.routes = append(edit.routes, row)
	edit.revisions[RouteRow(row.Name())] = revision
}

// SetPool writes a pool whose row was last seen at the revision.
func (edit *Edit) SetPool(row pool.Pool, revision int64) {
	edit.pools = append(edit.pools, row)
	edit.revisions[PoolRow(row.Name())] = revision
}

// Remove deletes a row, named as by RouteRow or PoolRow, that was last seen
// at the revision.
func (edit *Edit) Remove(row string, revision int64) {
	edit.removed = append(edit.removed, row)
	edit.revisions[row] = revision
}

// Routes returns the routes that the edit writes.
func (edit *Edit) Routes() []route.Route { return slices.Clone(edit.routes) }

// Pools returns the pools that the edit writes.
func (edit *Edit) Pools() []pool.Pool { return slices.Clone(edit.pools) }

// Removed returns the names of the rows that the edit deletes.
func (edit *Edit) Removed() []string { return slices.Clone(edit.removed) }

// Revision returns the revision at which the editor last saw the row.
func (edit *Edit) Revision(row string) int64 { return edit.revisions[row] }

// Rows returns the names of the changed rows in order.
func (edit *Edit) Rows() []string {
	rows := make([]string, 0, len(edit.revisions))
	for row := range edit.revisions {
		rows = append(rows, row)
	}
	slices.Sort(rows)
	return rows
}

// Check returns a *CheckError if the edit is not valid by itself, or nil.
func (edit *Edit) Check() error {
	var problems []Problem
	if edit.id == "" {
		problems = append(problems, NewProblem("edit", "id", "missing: an edit needs an id"))
	}
	if len(edit.id) > maxNameLength {
		problems = append(problems, NewProblem("edit", "id", tooLong(len(edit.id))))
	}
	if len(edit.revisions) == 0 {
		problems = append(problems, NewProblem("edit", "routes", "an edit needs a row"))
	}
	if len(edit.revisions) < len(edit.routes)+len(edit.pools)+len(edit.removed) {
		problems = append(problems, NewProblem("edit", "routes", "names a row twice: each row may appear once"))
	}
	for _, row := range edit.removed {
		if !strings.HasPrefix(row, rowPrefixRoute) && !strings.HasPrefix(row, rowPrefixPool) {
			problems = append(problems, NewProblem(row, "row", "allowed are names that begin with route/ or pool/"))
		}
	}
	if len(problems) > 0 {
		return NewCheckError(problems)
	}
	return nil
}

// Apply returns the tables after the edit, one version higher, or the unchanged
// tables if they have the edit already. It returns a *ConflictError if a row has
// another revision than in the edit, and a *CheckError if the edit or the result is
// not valid.
func (tables *Tables) Apply(edit *Edit) (*Tables, error) {
	if tables.HasEdit(edit.id) {
		return tables, nil
	}
	if err := edit.Check(); err != nil {
		return nil, err
	}
	for _, row := range edit.Rows() {
		if tables.revision(row) != edit.revisions[row] {
			return nil, newConflictError(row, tables, edit)
		}
	}
	version := tables.version + 1
	routes, pools := maps.Clone(tables.routes), maps.Clone(tables.pools)
	for _, row := range edit.routes {
		routes[row.Name()] = row.WithRevision(version)
	}
	for _, row := range edit.pools {
		pools[row.Name()] = row.WithRevision(version)
	}
	removeRows(routes, pools, edit.removed)
	changed := newIndexed(version, routes, pools, append(tables.RecentEdits(), edit.id))
	if err := changed.Check(); err != nil {
		return nil, err
	}
	return changed, nil
}

func (tables *Tables) revision(row string) int64 {
	if name, ok := strings.CutPrefix(row, rowPrefixRoute); ok {
		return tables.routes[name].Revision()
	}
	name, _ := strings.CutPrefix(row, rowPrefixPool)
	return tables.pools[name].Revision()
}

func removeRows(routes map[string]route.Route, pools map[string]pool.Pool, rows []string) {
	for _, row := range rows {
		if name, ok := strings.CutPrefix(row, rowPrefixRoute); ok {
			delete(routes, name)
			continue
		}
		name, _ := strings.CutPrefix(row, rowPrefixPool)
		delete(pools, name)
	}
}
