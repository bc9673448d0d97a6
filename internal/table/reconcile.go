package table

import (
	"hash/fnv"
	"maps"
	"slices"
	"strconv"

	"sapphirehead/internal/pool"
	"sapphirehead/internal/route"
)

// A platform's store may be restored from a backup at an older version than the
// nodes' active tables. There are then two histories, the active and the stored
// one. Reconcile determines their relation by the edit ids that both contain.
//
// The last id of a history was committed at its version, the one before it one
// version earlier, and so on. A row's revision therefore identifies the edit that
// last changed it, and a history that contains this edit is not older than that
// state of the row:
//
//	active  v7: ... e5 e6 e7    row "desk" at 7, so changed by e7
//	stored  v6: ... e5 f6       row "desk" at 4, changed by e4
//
// Here the histories diverged after e5. The active one contains e4, so its row is
// the newer one. Edits accepted in either history must be preserved, so the two
// are merged to v8 with the ids ... e5 e6 e7 f6.

// Relation is the relation of the stored tables to the active ones.
type Relation int

// The relations.
const (
	// RelationSame: both are the same.
	RelationSame Relation = iota + 1
	// RelationStoredNewer: the stored tables continue the active ones.
	RelationStoredNewer
	// RelationStoredOlder: the store has lost versions, which must be restored.
	RelationStoredOlder
	// RelationDiverged: each side has edits that the other lacks, or both have the
	// same ones in another order.
	RelationDiverged
)

// Relate returns the relation of the stored tables to these, which are active.
func (tables *Tables) Relate(stored *Tables) Relation {
	switch {
	case stored.version == tables.version && slices.Equal(stored.recentEdits, tables.recentEdits):
		// Comparing the last edit is not enough: merges of different histories may
		// end with the same one.
		return RelationSame
	case stored.version > tables.version && continues(stored, tables):
		return RelationStoredNewer
	case stored.version < tables.version && continues(tables, stored):
		return RelationStoredOlder
	default:
		return RelationDiverged
	}
}

// Reconcile returns the tables that contain all edits of both sides: one of the
// two, or a merge at a version above both. Write reports whether the result must be
// written to the store.
func (tables *Tables) Reconcile(stored *Tables) (result *Tables, write bool) {
	switch tables.Relate(stored) {
	case RelationSame, RelationStoredNewer:
		return stored, false
	case RelationStoredOlder:
		return tables, true
	default:
		return merge(tables, stored), true
	}
}

// editAt returns the id of the edit that created the version, and false if it is
// not among the recent ones.
func (tables *Tables) editAt(version int64) (string, bool) {
	index := int64(len(tables.recentEdits)) - 1 - (tables.version - version)
	if index < 0 || index >= int64(len(tables.recentEdits)) {
		return "", false
	}
	return tables.recentEdits[index], true
}

// continues reports whether the newer tables contain all edits of the older ones.
// Edits from before the recent ones count as contained.
func continues(newer, older *Tables) bool {
	if _, ok := newer.editAt(older.version); !ok {
		return true
	}
	return len(missingEdits(newer, older)) == 0
}

// missingEdits returns the recent edits of one history that the other lacks.
func missingEdits(history, other *Tables) []string {
	horizon := history.version - int64(len(history.recentEdits))
	var missing []string
	for i, edit := range other.recentEdits {
		version := other.version - int64(len(other.recentEdits)-1-i)
		if version > horizon && !history.HasEdit(edit) {
			missing = append(missing, edit)
		}
	}
	return missing
}

// merge merges two diverged histories. The edits of the lower one count as
// committed after those of the higher, so that each edit keeps a version of its
// own. If the result is not valid, all rows are those of the higher one.
func merge(active, stored *Tables) *Tables {
	higher, lower := active, stored
	if stored.version > active.version || (stored.version == active.version && slices.Compare(stored.recentEdits, active.recentEdits) > 0) {
		higher, lower = stored, active
	}
	missing := missingEdits(higher, lower)
	if len(missing) == 0 {
		// Both have the same edits in another order. The result needs a version above
		// both, and must be the same at every node that merges.
		missing = []string{mergeEdit(higher, lower)}
	}
	edits := append(higher.RecentEdits(), missing...)
	version := higher.version + int64(len(edits)-len(higher.recentEdits))
	numbers := &Tables{version: version, recentEdits: edits}
	routes := mergeRows(higher, lower, higher.routes, lower.routes, route.Route.Revision, func(row route.Route) route.Route {
		return row.WithRevision(numbers.renumber(lower, row.Revision()))
	})
	pools := mergeRows(higher, lower, higher.pools, lower.pools, pool.Pool.Revision, func(row pool.Pool) pool.Pool {
		return row.WithRevision(numbers.renumber(lower, row.Revision()))
	})
	merged := newIndexed(version, routes, pools, edits)
	if merged.Check() != nil {
		merged = newIndexed(version, higher.routes, higher.pools, edits)
	}
	return merged
}

// mergeEdit returns the edit id for the merge of two histories with the same edits.
func mergeEdit(higher, lower *Tables) string {
	return "merge-" + strconv.FormatUint(higher.Fingerprint(), 36) + "-" + strconv.FormatUint(lower.Fingerprint(), 36)
}

// renumber returns the version in this history of the edit that has the given
// version in the other one. An unknown edit keeps its version.
func (tables *Tables) renumber(other *Tables, version int64) int64 {
	edit, ok := other.editAt(version)
	index := slices.Index(tables.recentEdits, edit)
	if !ok || index < 0 {
		return version
	}
	return tables.version - int64(len(tables.recentEdits)-1-index)
}

// hasSeen reports whether this history contains the edit that has the revision in
// the other one. An edit from before the other's recent ones counts as contained.
func (tables *Tables) hasSeen(other *Tables, revision int64) bool {
	edit, ok := other.editAt(revision)
	return !ok || tables.HasEdit(edit)
}

// mergeRows merges the rows of two diverged histories by name. If one history has
// seen the other's row, its own row or removal is the newer one. If neither has,
// the row with the higher revision is kept.
func mergeRows[R any](higher, lower *Tables, higherRows, lowerRows map[string]R, revision func(R) int64, renumber func(R) R) map[string]R {
	merged := maps.Clone(higherRows)
	for name, row := range higherRows {
		if _, found := lowerRows[name]; !found && lower.hasSeen(higher, revision(row)) {
			delete(merged, name)
		}
	}
	for name, row := range lowerRows {
		if higher.hasSeen(lower, revision(row)) {
			continue
		}
		higherRow, ok := higherRows[name]
		if !ok || lower.hasSeen(higher, revision(higherRow)) || revision(row) > revision(higherRow) {
			merged[name] = renumber(row)
		}
	}
	return merged
}

// Fingerprint returns a 64-bit hash of the version, the rows' revisions and the
// recent edits. It also distinguishes two histories at the same version.
func (tables *Tables) Fingerprint() uint64 {
	hash := fnv.New64a()
	write := func(text string, number int64) {
		hash.Write([]byte(text))
		hash.Write([]byte{0})
		hash.Write(strconv.AppendInt(nil, number, 10))
		hash.Write([]byte{0})
	}
	write("version", tables.version)
	for _, name := range slices.Sorted(maps.Keys(tables.routes)) {
		write(RouteRow(name), tables.routes[name].Revision())
	}
	for _, name := range slices.Sorted(maps.Keys(tables.pools)) {
		write(PoolRow(name), tables.pools[name].Revision())
	}
	for _, edit := range tables.recentEdits {
		write(edit, 0)
	}
	return hash.Sum64()
}
