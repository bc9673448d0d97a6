package operator_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/operator"
	"sapphirehead/internal/platform"
	"sapphirehead/internal/pool"
	"sapphirehead/internal/route"
	"sapphirehead/internal/table"
)

// desk is an editor over a store without drawn faults. The function fault, if
// set, takes the place of the next write; reads come before the store's own.
type desk struct {
	store   *fakeStore
	inForce *table.Tables
	highest int64
	alarms  int
	fault   func(tables *table.Tables, condition int64) error
	reads   []stored
}

func newDesk() *desk {
	base := table.New(1, nil, []pool.Pool{pool.New("booking", pool.KindService).WithRevision(1)}, []string{"base"})
	return &desk{store: &fakeStore{history: []stored{{tables: base, version: 1}}, counter: 1}, inForce: table.Empty()}
}

func (desk *desk) commit(edit *table.Edit) (*table.Tables, error) {
	load := func(context.Context) (*table.Tables, int64, error) {
		if desk.store.down {
			return nil, 0, platform.NewUnavailableError(false, errFault)
		}
		read := desk.store.now()
		if len(desk.reads) > 0 {
			read, desk.reads = desk.reads[0], desk.reads[1:]
		}
		return read.tables, read.version, nil
	}
	write := func(_ context.Context, tables *table.Tables, condition int64) error {
		if fault := desk.fault; fault != nil {
			desk.fault = nil
			return fault(tables, condition)
		}
		return desk.store.write(tables, condition)
	}
	newest := func(context.Context) (*table.Tables, int64) {
		return desk.inForce, max(desk.highest, desk.inForce.Version())
	}
	alarm := func(*table.Tables, *table.Tables) { desk.alarms++ }
	return operator.NewEditor(load, write, newest, alarm).Commit(context.Background(), edit)
}

func bookings(id string, worth float64, revision int64) *table.Edit {
	edit := table.NewEdit(id)
	edit.SetRoute(route.New("bookings", route.KindService, "booking").WithPath("/bookings").WithWorth(worth), revision)
	return edit
}

// loseAnswer writes and then fails as if the answer had been lost.
func (desk *desk) loseAnswer(then func()) {
	desk.fault = func(tables *table.Tables, condition int64) error {
		if err := desk.store.write(tables, condition); err != nil {
			return err
		}
		then()
		return platform.NewUnavailableError(true, errFault)
	}
}

func expectCommitted(t *testing.T, desk *desk, edit *table.Edit, version int64) {
	t.Helper()
	committed, err := desk.commit(edit)
	require.NoError(t, err)
	require.Equal(t, version, committed.Version())
	require.Equal(t, committed, desk.store.now().tables)
}

func expectUnknown(t *testing.T, desk *desk, edit *table.Edit) {
	t.Helper()
	_, err := desk.commit(edit)
	var unavailable *platform.UnavailableError
	require.ErrorAs(t, err, &unavailable)
	require.True(t, unavailable.OutcomeUnknown())
}

func TestCommit(t *testing.T) {
	t.Run("lost answer: committed once", func(t *testing.T) {
		desk := newDesk()
		desk.loseAnswer(func() {})
		expectCommitted(t, desk, bookings("e2", 5, 0), 2)
	})
	t.Run("lost answer, then outage: unknown, settled by repeating", func(t *testing.T) {
		desk := newDesk()
		desk.loseAnswer(func() { desk.store.down = true })
		expectUnknown(t, desk, bookings("e2", 5, 0))
		desk.store.down = false
		expectCommitted(t, desk, bookings("e2", 5, 0), 2)
	})
	t.Run("lost answer, then an older read: read again", func(t *testing.T) {
		desk := newDesk()
		expectCommitted(t, desk, bookings("e2", 5, 0), 2)
		desk.loseAnswer(func() { desk.reads = desk.store.history[:1] })
		expectCommitted(t, desk, bookings("e3", 7, 2), 3)
	})
	t.Run("lost answer, then more edits than are kept: unknown", func(t *testing.T) {
		desk := newDesk()
		desk.loseAnswer(func() {
			for i := range table.MaxRecentEdits {
				row, _ := desk.store.now().tables.Route("bookings")
				changed, err := desk.store.now().tables.Apply(bookings(fmt.Sprint("other-", i), float64(i+1), row.Revision()))
				require.NoError(t, err)
				require.NoError(t, desk.store.write(changed, desk.store.now().version))
			}
		})
		_, err := desk.commit(bookings("e2", 5, 0))
		var unknown *operator.UnknownError
		require.ErrorAs(t, err, &unknown)
	})
	t.Run("two operators, same row: conflict shows both rows", func(t *testing.T) {
		desk := newDesk()
		expectCommitted(t, desk, bookings("e2", 5, 0), 2)
		_, err := desk.commit(bookings("f2", 7, 0))
		var conflict *table.ConflictError
		require.ErrorAs(t, err, &conflict)
		require.ErrorContains(t, err, "worth: stored 5, wanted 7")
	})
	t.Run("store came back older: one write repairs it and commits", func(t *testing.T) {
		desk := newDesk()
		expectCommitted(t, desk, bookings("e2", 5, 0), 2)
		desk.inForce = desk.store.now().tables
		desk.store.history = append(desk.store.history, stored{tables: desk.store.history[0].tables, version: 9})
		desk.store.counter = 9
		expectCommitted(t, desk, bookings("e3", 7, 2), 3)
		require.Equal(t, 1, desk.alarms)
	})
	t.Run("committed before, then the repair of an older store meets a conflict and an outage: unknown", func(t *testing.T) {
		desk := newDesk()
		older := desk.store.now().tables
		expectCommitted(t, desk, bookings("edit-1", 2, 0), 2)
		desk.inForce = desk.store.now().tables
		require.NoError(t, desk.store.write(older, desk.store.now().version))
		desk.fault = func(_ *table.Tables, condition int64) error {
			desk.store.down = true
			return platform.NewConflictError(platform.KindTables, platform.TablesName, condition)
		}
		expectUnknown(t, desk, bookings("edit-1", 2, 0))
	})
	t.Run("a fellow node has a higher version that can't be had: not committed", func(t *testing.T) {
		desk := newDesk()
		desk.highest = 5
		_, err := desk.commit(bookings("e2", 5, 0))
		var behind *operator.BehindError
		require.ErrorAs(t, err, &behind)
		require.Len(t, desk.store.history, 1)
	})
	t.Run("outage: unavailable and not unknown", func(t *testing.T) {
		desk := newDesk()
		desk.store.down = true
		_, err := desk.commit(bookings("e2", 5, 0))
		var unavailable *platform.UnavailableError
		require.ErrorAs(t, err, &unavailable)
		require.False(t, unavailable.OutcomeUnknown())
	})
}
