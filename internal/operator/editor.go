// Package operator applies operators' edits to the tables. An edit is accepted only
// once the platform has stored it.
package operator

import (
	"context"
	"fmt"

	"github.com/pkg/errors"

	"sapphirehead/internal/platform"
	"sapphirehead/internal/table"
)

// maxCommitRounds limits how often an edit is merged and written.
const maxCommitRounds = 32

// UnknownOutcomeError says that an edit may or may not have been committed, and that
// reading back can't decide it because the edit's ID would no longer be among the
// recent ones. No repair is needed: the rows show the current state.
type UnknownOutcomeError struct {
	edit string
}

// Edit returns the ID of the edit.
func (err *UnknownOutcomeError) Edit() string { return err.edit }

func (err *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("edit %s may have been committed, but more than %d edits followed: read the rows again", err.edit, table.MaxRecentEdits)
}

// StaleTablesError says that a node has an active version of the tables that neither
// the store nor the node itself returns, so that an edit could be committed with a
// lower version.
type StaleTablesError struct {
	have    int64
	highest int64
}

func (err *StaleTablesError) Error() string {
	return fmt.Sprintf("a fellow node has version %d in force, the newest at hand is %d", err.highest, err.have)
}

// Editor commits edits by conditional writes to the platform.
type Editor struct {
	load        func(ctx context.Context) (tables *table.Tables, condition int64, err error)
	commit      func(ctx context.Context, tables *table.Tables, condition int64) error
	newest      func(ctx context.Context) (tables *table.Tables, highest int64)
	reportStale func(active, stored *table.Tables)
}

// NewEditor returns an editor. The function load returns the tables with the version
// of the object that holds them, or empty tables with platform.VersionNone; commit
// returns the errors of platform.Store; newest returns the newest active tables
// available to this node and the highest active version of any known node. The
// function reportStale is called when the store lacks edits that are active.
func NewEditor(
	load func(ctx context.Context) (tables *table.Tables, condition int64, err error),
	commit func(ctx context.Context, tables *table.Tables, condition int64) error,
	newest func(ctx context.Context) (tables *table.Tables, highest int64),
	reportStale func(active, stored *table.Tables),
) *Editor {
	return &Editor{load: load, commit: commit, newest: newest, reportStale: reportStale}
}

// Commit applies the edit to the stored tables and returns them as committed.
// Concurrent edits of other rows are merged. If a response is lost, the object is
// read back and searched for the edit's ID. If the store has returned to tables
// older than the active ones, the same write restores those, so that no edit is
// committed with a version that is already active on some node. Errors:
// *table.ConflictError, *table.CheckError, *platform.UnavailableError,
// *UnknownOutcomeError.
func (editor *Editor) Commit(ctx context.Context, edit *table.Edit) (*table.Tables, error) {
	if err := edit.Check(); err != nil {
		return nil, err
	}
	pendingEdit := &pendingEdit{edit: edit}
	for range maxCommitRounds {
		base, condition, write, err := editor.base(ctx)
		if err != nil {
			return nil, pendingEdit.resultError(err)
		}
		if pendingEdit.isStale(condition) {
			continue
		}
		changed, err := pendingEdit.apply(base, condition)
		if err != nil {
			return nil, err
		}
		if changed == base && !write {
			return base, nil
		}
		err = editor.commit(ctx, changed, condition)
		if err == nil {
			return changed, nil
		}
		if !mayRetry(err) {
			return nil, pendingEdit.resultError(err)
		}
		pendingEdit.recordFailure(err, changed.Version(), condition)
	}
	return nil, pendingEdit.resultError(pendingEdit.lastErr)
}

// WriteBack writes the active tables to the store if it lacks some of their edits,
// and returns the newest tables.
func (editor *Editor) WriteBack(ctx context.Context) (*table.Tables, error) {
	base, condition, write, err := editor.base(ctx)
	if err != nil || !write {
		return base, err
	}
	return base, editor.commit(ctx, base, condition)
}

// base returns the tables to which the edit is applied and the condition of the next
// write. The result write is set if the store lacks these tables.
func (editor *Editor) base(ctx context.Context) (base *table.Tables, condition int64, write bool, err error) {
	stored, condition, err := editor.load(ctx)
	if err != nil {
		return nil, 0, false, err
	}
	active, highest := editor.newest(ctx)
	base, write = active.Reconcile(stored)
	if base.Version() < highest {
		return nil, 0, false, platform.NewUnavailableError(false, &StaleTablesError{have: base.Version(), highest: highest})
	}
	if write {
		editor.reportStale(active, stored)
	}
	return base, condition, write, nil
}

// pendingEdit is the state of an edit that is being committed. A read at a version of
// the object after the write's condition shows the outcome of a write whose
// response was lost: either the tables have the edit's ID, or the write can no
// longer take effect.
type pendingEdit struct {
	edit    *table.Edit
	lastErr error
	// unresolved is set while the outcome of a write is unknown. The fields
	// version and condition are the tables' version that this write would have
	// committed and its condition.
	unresolved bool
	version    int64
	condition  int64
}

// isStale reports whether a read is too old to show the outcome of the unresolved
// write.
func (pendingEdit *pendingEdit) isStale(condition int64) bool {
	return pendingEdit.unresolved && condition < pendingEdit.condition
}

// apply returns the base tables after the edit. If they already have the edit, it was
// committed, and no later failure may be reported as if it was not.
func (pendingEdit *pendingEdit) apply(base *table.Tables, condition int64) (*table.Tables, error) {
	changed, err := base.Apply(pendingEdit.edit)
	switch {
	case base.HasEdit(pendingEdit.edit.ID()):
		pendingEdit.unresolved = true
	case pendingEdit.unresolved && condition > pendingEdit.condition:
		if err != nil && base.Version()-pendingEdit.version >= table.MaxRecentEdits {
			return nil, &UnknownOutcomeError{edit: pendingEdit.edit.ID()}
		}
		pendingEdit.unresolved = false
	}
	return changed, err
}

// recordFailure records a write that was refused or whose response was lost.
func (pendingEdit *pendingEdit) recordFailure(err error, version, condition int64) {
	pendingEdit.lastErr = err
	if isUnknown(err) {
		pendingEdit.unresolved, pendingEdit.version, pendingEdit.condition = true, version, condition
	}
}

// resultError returns the error to report. While a write is unresolved, the outcome is
// unknown, regardless of the results of later calls.
func (pendingEdit *pendingEdit) resultError(err error) error {
	if pendingEdit.unresolved && !isUnknown(err) {
		return platform.NewUnavailableError(true, err)
	}
	return err
}

func mayRetry(err error) bool {
	var conflict *platform.ConflictError
	return errors.As(err, &conflict) || isUnknown(err)
}

func isUnknown(err error) bool {
	var unavailable *platform.UnavailableError
	return errors.As(err, &unavailable) && unavailable.OutcomeUnknown()
}
