// Package operator decides what an operator's edit of the tables does. An edit
// counts as accepted only once the platform has it.
package operator

import (
	"context"
	"fmt"

	"github.com/pkg/errors"

	"sapphirehead/internal/platform"
	"sapphirehead/internal/table"
)

// maxCommitRounds bounds how often an edit is merged and tried again.
const maxCommitRounds = 32

// UnknownOutcomeError says that an edit may or may not have been committed and that
// reading back can't tell, because its id would no longer be among the recent
// ones. Nobody has to act: the rows show what holds.
type UnknownOutcomeError struct {
	edit string
}

// Edit returns the id of the edit.
func (err *UnknownOutcomeError) Edit() string { return err.edit }

func (err *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("edit %s may have been committed, but more than %d edits followed: read the rows again", err.edit, table.MaxRecentEdits)
}

// StaleTablesError says that a node has a version in force that neither the store
// nor the node itself gives, so an edit could commit below it.
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

// NewEditor returns an editor. Load returns the tables with the version of the
// object that holds them, or empty tables with platform.VersionNone; commit
// returns the errors of platform.Store. Newest returns the newest tables in
// force that can be had here, and the highest version in force at any known
// node; alarm is told of a store that lacks edits which are in force.
func NewEditor(
	load func(ctx context.Context) (tables *table.Tables, condition int64, err error),
	commit func(ctx context.Context, tables *table.Tables, condition int64) error,
	newest func(ctx context.Context) (tables *table.Tables, highest int64),
	reportStale func(active, stored *table.Tables),
) *Editor {
	return &Editor{load: load, commit: commit, newest: newest, reportStale: reportStale}
}

// Commit applies the edit to the stored tables and returns them as committed.
// Edits of other rows that come between are merged. A lost answer is settled
// by reading the object back and looking for the edit's id. A store that came
// back older than what is in force is brought up to it by the same write, so
// no edit commits at a version that some node already has in force. Errors:
// *table.ConflictError, *table.CheckError, *platform.UnavailableError,
// *UnknownError.
func (editor *Editor) Commit(ctx context.Context, edit *table.Edit) (*table.Tables, error) {
	if err := edit.Check(); err != nil {
		return nil, err
	}
	pending := &pendingEdit{edit: edit}
	for range maxCommitRounds {
		base, condition, write, err := editor.base(ctx)
		if err != nil {
			return nil, pending.resultError(err)
		}
		if pending.isStale(condition) {
			continue
		}
		changed, err := pending.apply(base, condition)
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
			return nil, pending.resultError(err)
		}
		pending.recordFailure(err, changed.Version(), condition)
	}
	return nil, pending.resultError(pending.lastErr)
}

// WriteBack brings the store up to what is in force, if it lacks some of it,
// and returns the tables that then are the newest.
func (editor *Editor) WriteBack(ctx context.Context) (*table.Tables, error) {
	base, condition, write, err := editor.base(ctx)
	if err != nil || !write {
		return base, err
	}
	return base, editor.commit(ctx, base, condition)
}

// base returns the tables to build on and the condition of the next write.
// Write is set if the store lacks them.
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

// pendingEdit is what is known of an edit that is being committed. A write whose
// answer was lost is settled by a read at a later version of the object than
// the write's condition: it has the edit's id, or the write can't take effect
// any more.
type pendingEdit struct {
	edit    *table.Edit
	lastErr error
	// unresolved is set while a write with a lost answer is not settled, with the
	// version that it would have committed and its condition.
	unresolved bool
	version    int64
	condition  int64
}

// isStale reports whether a read is too old to settle the open write.
func (pending *pendingEdit) isStale(condition int64) bool {
	return pending.unresolved && condition < pending.condition
}

// apply returns the tables after the edit, built on what was read. Tables that
// hold the edit already prove that it was committed, so no later failure may
// say that it was not.
func (pending *pendingEdit) apply(base *table.Tables, condition int64) (*table.Tables, error) {
	changed, err := base.Apply(pending.edit)
	switch {
	case base.HasEdit(pending.edit.ID()):
		pending.unresolved = true
	case pending.unresolved && condition > pending.condition:
		if err != nil && base.Version()-pending.version >= table.MaxRecentEdits {
			return nil, &UnknownOutcomeError{edit: pending.edit.ID()}
		}
		pending.unresolved = false
	}
	return changed, err
}

// recordFailure notes a write that was refused or whose answer was lost.
func (pending *pendingEdit) recordFailure(err error, version, condition int64) {
	pending.lastErr = err
	if isUnknown(err) {
		pending.unresolved, pending.version, pending.condition = true, version, condition
	}
}

// resultError returns the error to report: while a write with a lost answer is
// open, the outcome is unknown, whatever the platform said later.
func (pending *pendingEdit) resultError(err error) error {
	if pending.unresolved && !isUnknown(err) {
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
