package table

import (
	"fmt"
	"slices"
	"strings"

	"sapphirehead/internal/pool"
	"sapphirehead/internal/route"
)

// Names of the two tables in row names, as in "route/desk".
const (
	rowPrefixRoute = "route/"
	rowPrefixPool  = "pool/"
)

// RouteRow returns the name of a route's row.
func RouteRow(name string) string { return rowPrefixRoute + name }

// PoolRow returns the name of a pool's row.
func PoolRow(name string) string { return rowPrefixPool + name }

// Edit is a set of row changes that commit together. Revision 0 means that
// the row must not exist yet.
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

// ID returns the id that the committed object keeps.
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

// Apply returns the tables after the edit, one version higher. It returns a
// *ConflictError if a row has another revision than the edit names, and a
// *CheckError if the result would not be valid.
func (tables *Tables) Apply(edit *Edit) (*Tables, error) {
	if tables.HasEdit(edit.id) {
		return tables, nil
	}
	for _, row := range edit.Rows() {
		if have, named := tables.revision(row), edit.revisions[row]; have != named {
			return nil, newConflictError(row, have, named)
		}
	}
	changed := New(tables.version+1, tables.Routes(), tables.Pools(), tables.recentEdits)
	for _, row := range edit.routes {
		changed.routes[row.Name()] = row.WithRevision(changed.version)
	}
	for _, row := range edit.pools {
		changed.pools[row.Name()] = row.WithRevision(changed.version)
	}
	for _, row := range edit.removed {
		changed.remove(row)
	}
	changed.recentEdits = append(changed.recentEdits, edit.id)
	if excess := len(changed.recentEdits) - MaxRecentEdits; excess > 0 {
		changed.recentEdits = changed.recentEdits[excess:]
	}
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

func (tables *Tables) remove(row string) {
	if name, ok := strings.CutPrefix(row, rowPrefixRoute); ok {
		delete(tables.routes, name)
		return
	}
	name, _ := strings.CutPrefix(row, rowPrefixPool)
	delete(tables.pools, name)
}

// ConflictError says that a row was changed since the editor read it.
type ConflictError struct {
	row   string
	have  int64
	named int64
}

func newConflictError(row string, have, named int64) *ConflictError {
	return &ConflictError{row: row, have: have, named: named}
}

// Row returns the name of the row, as in "route/desk".
func (err *ConflictError) Row() string { return err.row }

// Have returns the revision that the tables hold.
func (err *ConflictError) Have() int64 { return err.have }

// Named returns the revision that the edit named.
func (err *ConflictError) Named() int64 { return err.named }

func (err *ConflictError) Error() string {
	return fmt.Sprintf("row %s has revision %d, the edit names %d: read the row again and repeat the edit", err.row, err.have, err.named)
}
