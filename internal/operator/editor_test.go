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

// fixture is an editor over a store without drawn faults. The function fault, if set,
// replaces the next write; reads are returned before the store's own.
type fixture struct {
	store        *fakeStore
	active       *table.Tables
	highest      int64
	staleReports int
	fault        func(tables *table.Tables, condition int64) error
	reads        []stored
}

func newFixture() *fixture {
	base := table.New(1, nil, []pool.Pool{pool.New("booking", pool.KindService).WithRevision(1)}, []string{"base"})
	return &fixture{store: &fakeStore{history: []stored{{tables: base, version: 1}}, counter: 1}, active: table.Empty()}
}

func (fixture *fixture) commit(edit *table.Edit) (*table.Tables, error) {
	load := func(context.Context) (*table.Tables, int64, error) {
		if fixture.store.down {
			return nil, 0, platform.NewUnavailableError(false, errFault)
		}
		read := fixture.store.current()
		if len(fixture.reads) > 0 {
			read, fixture.reads = fixture.reads[0], fixture.reads[1:]
		}
		return read.tables, read.version, nil
	}
	write := func(_ context.Context, tables *table.Tables, condition int64) error {
		if fault := fixture.fault; fault != nil {
			fixture.fault = nil
			return fault(tables, condition)
		}
		return fixture.store.write(tables, condition)
	}
	newest := func(context.Context) (*table.Tables, int64) {
		return fixture.active, max(fixture.highest, fixture.active.Version())
	}
	reportStale := func(*table.Tables, *table.Tables) { fixture.staleReports++ }
	return operator.NewEditor(load, write, newest, reportStale).Commit(context.Background(), edit)
}

func bookings(id string, worth float64, revision int64) *table.Edit {
	edit := table.NewEdit(id)
	edit.SetRoute(route.New("bookings", route.KindService, "booking").WithPath("/bookings").WithWorth(worth), revision)
	return edit
}

// loseResponse lets the next write take effect and then fail as if its response had
// been lost.
func (fixture *fixture) loseResponse(then func()) {
	fixture.fault = func(tables *table.Tables, condition int64) error {
		if err := fixture.store.write(tables, condition); err != nil {
			return err
		}
		then()
		return platform.NewUnavailableError(true, errFault)
	}
}

func expectCommitted(t *testing.T, fixture *fixture, edit *table.Edit, version int64) {
	t.Helper()
	committed, err := fixture.commit(edit)
	require.NoError(t, err)
	require.Equal(t, version, committed.Version())
	require.Equal(t, committed, fixture.store.current().tables)
}

func expectUnknown(t *testing.T, fixture *fixture, edit *table.Edit) {
	t.Helper()
	_, err := fixture.commit(edit)
	var unavailable *platform.UnavailableError
	require.ErrorAs(t, err, &unavailable)
	require.True(t, unavailable.OutcomeUnknown())
}

func TestCommit(t *testing.T) {
	t.Run("lost response: committed once", func(t *testing.T) {
		fixture := newFixture()
		fixture.loseResponse(func() {})
		expectCommitted(t, fixture, bookings("e2", 5, 0), 2)
	})
	t.Run("lost response, then outage: unknown, resolved by repeating", func(t *testing.T) {
		fixture := newFixture()
		fixture.loseResponse(func() { fixture.store.down = true })
		expectUnknown(t, fixture, bookings("e2", 5, 0))
		fixture.store.down = false
		expectCommitted(t, fixture, bookings("e2", 5, 0), 2)
	})
	t.Run("lost response, then an older read: read again", func(t *testing.T) {
		fixture := newFixture()
		expectCommitted(t, fixture, bookings("e2", 5, 0), 2)
		fixture.loseResponse(func() { fixture.reads = fixture.store.history[:1] })
		expectCommitted(t, fixture, bookings("e3", 7, 2), 3)
	})
	t.Run("lost response, then more edits than are kept: unknown", func(t *testing.T) {
		fixture := newFixture()
		fixture.loseResponse(func() {
			for i := range table.MaxRecentEdits {
				row, _ := fixture.store.current().tables.Route("bookings")
				changed, err := fixture.store.current().tables.Apply(bookings(fmt.Sprint("other-", i), float64(i+1), row.Revision()))
				require.NoError(t, err)
				require.NoError(t, fixture.store.write(changed, fixture.store.current().version))
			}
		})
		_, err := fixture.commit(bookings("e2", 5, 0))
		var unknown *operator.UnknownOutcomeError
		require.ErrorAs(t, err, &unknown)
	})
	t.Run("two operators, same row: conflict shows both rows", func(t *testing.T) {
		fixture := newFixture()
		expectCommitted(t, fixture, bookings("e2", 5, 0), 2)
		_, err := fixture.commit(bookings("f2", 7, 0))
		var conflict *table.ConflictError
		require.ErrorAs(t, err, &conflict)
		require.ErrorContains(t, err, "worth: stored 5, wanted 7")
	})
	t.Run("store returned to an older version: one write restores it and commits", func(t *testing.T) {
		fixture := newFixture()
		expectCommitted(t, fixture, bookings("e2", 5, 0), 2)
		fixture.active = fixture.store.current().tables
		fixture.store.history = append(fixture.store.history, stored{tables: fixture.store.history[0].tables, version: 9})
		fixture.store.counter = 9
		expectCommitted(t, fixture, bookings("e3", 7, 2), 3)
		require.Equal(t, 1, fixture.staleReports)
	})
	t.Run("committed before, then restoring an older store fails by a conflict and an outage: unknown", func(t *testing.T) {
		fixture := newFixture()
		older := fixture.store.current().tables
		expectCommitted(t, fixture, bookings("edit-1", 2, 0), 2)
		fixture.active = fixture.store.current().tables
		require.NoError(t, fixture.store.write(older, fixture.store.current().version))
		fixture.fault = func(_ *table.Tables, condition int64) error {
			fixture.store.down = true
			return platform.NewConflictError(platform.KindTables, platform.TablesName, condition)
		}
		expectUnknown(t, fixture, bookings("edit-1", 2, 0))
	})
	t.Run("a peer node has a higher version that can't be read: not committed", func(t *testing.T) {
		fixture := newFixture()
		fixture.highest = 5
		_, err := fixture.commit(bookings("e2", 5, 0))
		var staleTables *operator.StaleTablesError
		require.ErrorAs(t, err, &staleTables)
		require.Len(t, fixture.store.history, 1)
	})
	t.Run("outage: unavailable and not unknown", func(t *testing.T) {
		fixture := newFixture()
		fixture.store.down = true
		_, err := fixture.commit(bookings("e2", 5, 0))
		var unavailable *platform.UnavailableError
		require.ErrorAs(t, err, &unavailable)
		require.False(t, unavailable.OutcomeUnknown())
	})
}
