// Package operator decides what an operator's edit of the tables does. An edit
// counts as accepted only once the platform has it.
package operator

import (
	"context"

	"github.com/pkg/errors"

	"sapphirehead/internal/platform"
	"sapphirehead/internal/table"
)

// maxRounds bounds how often an edit is merged and tried again.
const maxRounds = 32

// Editor commits edits by conditional writes to the platform.
type Editor struct {
	load   func(ctx context.Context) (tables *table.Tables, condition int64, err error)
	commit func(ctx context.Context, tables *table.Tables, condition int64) error
}

// NewEditor returns an editor. Load returns the tables with the version of the
// object that holds them, or empty tables with platform.VersionNone; commit
// returns the errors of platform.Store.
func NewEditor(
	load func(ctx context.Context) (tables *table.Tables, condition int64, err error),
	commit func(ctx context.Context, tables *table.Tables, condition int64) error,
) *Editor {
	return &Editor{load: load, commit: commit}
}

// Commit applies the edit to the stored tables and returns them as committed.
// Edits of other rows that come between are merged. A lost answer is settled
// by reading the object back and looking for the edit's id. Errors:
// *table.ConflictError, *table.CheckError, *platform.UnavailableError.
func (editor *Editor) Commit(ctx context.Context, edit *table.Edit) (*table.Tables, error) {
	var last error
	for range maxRounds {
		stored, condition, err := editor.load(ctx)
		if err != nil {
			if last != nil {
				return nil, last
			}
			return nil, err
		}
		if stored.HasEdit(edit.ID()) {
			return stored, nil
		}
		changed, err := stored.Apply(edit)
		if err != nil {
			return nil, err
		}
		err = editor.commit(ctx, changed, condition)
		if err == nil {
			return changed, nil
		}
		if !mayRead(err) {
			return nil, err
		}
		last = err
	}
	return nil, last
}

func mayRead(err error) bool {
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		return true
	}
	var unavailable *platform.UnavailableError
	return errors.As(err, &unavailable) && unavailable.Unknown()
}
