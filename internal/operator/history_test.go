package operator_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"sapphirehead/internal/operator"
	"sapphirehead/internal/platform"
	"sapphirehead/internal/route"
	"sapphirehead/internal/table"
)

func rowsOf(names ...string) *table.Tables {
	var rows []route.Route
	for _, name := range names {
		rows = append(rows, route.New(name, route.KindChat, "runners"))
	}
	return table.New(0, rows, nil, nil)
}

func recordAt(version int64, names ...string) operator.Record {
	return operator.NewRecord(version, fmt.Sprintf("edit-%d", version), "desk", 1000, 0, rowsOf(), rowsOf(names...))
}

// pages is an in-memory store of a history.
type pages struct {
	records    map[int64][]operator.Record
	versions   map[int64]int64
	conflicts  int
	unreadable bool
}

func newPages() *pages {
	return &pages{records: map[int64][]operator.Record{}, versions: map[int64]int64{}}
}

func (pages *pages) history() *operator.History {
	return operator.NewHistory(
		func(_ context.Context, page int64) ([]operator.Record, int64, error) {
			if pages.unreadable {
				return nil, 0, platform.NewUnavailableError(false, errors.New("down"))
			}
			return pages.records[page], pages.versions[page], nil
		},
		func(_ context.Context, page int64, records []operator.Record, condition int64) error {
			if pages.conflicts > 0 {
				pages.conflicts--
				pages.versions[page]++
			}
			if condition != pages.versions[page] {
				return platform.NewConflictError("history", "page", condition)
			}
			pages.records[page] = records
			pages.versions[page]++
			return nil
		},
	)
}

// expectVersions checks which records of the row are read.
func expectVersions(t *testing.T, pages *pages, row string, newest int64, limit int, want ...int64) {
	t.Helper()
	records, err := pages.history().Read(context.Background(), row, newest, limit)
	require.NoError(t, err)
	var have []int64
	for _, record := range records {
		have = append(have, record.Version())
	}
	require.Equal(t, want, have)
}

func TestHistory(t *testing.T) {
	write := func(t *testing.T, pages *pages, records ...operator.Record) {
		for _, record := range records {
			require.NoError(t, pages.history().Write(context.Background(), record))
		}
	}
	t.Run("newest first, over pages", func(t *testing.T) {
		pages := newPages()
		write(t, pages, recordAt(62, "a"), recordAt(64, "a"), recordAt(63, "a"))
		expectVersions(t, pages, "", 64, 10, 64, 63, 62)
	})
	t.Run("limit", func(t *testing.T) {
		pages := newPages()
		write(t, pages, recordAt(1, "a"), recordAt(2, "a"), recordAt(3, "a"))
		expectVersions(t, pages, "", 3, 2, 3, 2)
	})
	t.Run("one row", func(t *testing.T) {
		pages := newPages()
		write(t, pages, recordAt(1, "a"), recordAt(2, "b"), recordAt(3, "a", "b"))
		expectVersions(t, pages, "route/b", 3, 10, 3, 2)
	})
	t.Run("a page is overwritten in the next cycle", func(t *testing.T) {
		const cycle = operator.RecordsPerPage * operator.HistoryPages
		pages := newPages()
		write(t, pages, recordAt(5, "a"), recordAt(cycle+6, "a"))
		expectVersions(t, pages, "", cycle+6, 10, cycle+6)
		require.Len(t, pages.records[0], 1)
	})
	t.Run("an old cycle's page is not read as new", func(t *testing.T) {
		const cycle = operator.RecordsPerPage * operator.HistoryPages
		pages := newPages()
		write(t, pages, recordAt(5, "a"))
		expectVersions(t, pages, "", cycle+6, 10)
	})
	t.Run("a conflict is retried", func(t *testing.T) {
		pages := newPages()
		pages.conflicts = 3
		write(t, pages, recordAt(1, "a"))
		expectVersions(t, pages, "", 1, 10, 1)
	})
	t.Run("a record is stored once", func(t *testing.T) {
		pages := newPages()
		write(t, pages, recordAt(1, "a"), recordAt(1, "a"))
		expectVersions(t, pages, "", 1, 10, 1)
	})
	t.Run("an unreadable page is an error", func(t *testing.T) {
		pages := newPages()
		pages.unreadable = true
		require.Error(t, pages.history().Write(context.Background(), recordAt(1, "a")))
	})
}

func TestRecordOf(t *testing.T) {
	before, edit, after := rowsOf("a", "b"), table.NewEdit("edit-1"), rowsOf("a")
	edit.Remove("route/b", 1)
	t.Run("only the rows of the edit", func(t *testing.T) {
		record := operator.RecordOf(edit, "desk", 1000, before, after)
		require.Len(t, record.Before().Routes(), 1)
		require.Empty(t, record.After().Routes())
		require.True(t, record.Affects("route/b"))
		require.False(t, record.Affects("route/a"))
	})
	t.Run("rows beyond the bound are counted", func(t *testing.T) {
		large := table.NewEdit("edit-2")
		for i := range operator.MaxRecordRows + 3 {
			large.SetRoute(route.New(fmt.Sprintf("row-%02d", i), route.KindChat, "runners"), 0)
		}
		require.Equal(t, 3, operator.RecordOf(large, "desk", 1000, before, after).Omitted())
	})
}
