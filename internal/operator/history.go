package operator

import (
	"context"
	"slices"

	"github.com/pkg/errors"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/platform"
	"sapphirehead/internal/pool"
	"sapphirehead/internal/route"
	"sapphirehead/internal/table"
)

// The history of edits is stored in a ring of pages, each an object of the
// platform. Version 130 is on page 2 of cycle 0, which has the versions 128 to
// 191. A page with versions of an earlier cycle is overwritten, so the number of
// pages limits the history.
const (
	// RecordsPerPage is the number of versions on one page.
	RecordsPerPage = 64
	// HistoryPages is the number of pages.
	HistoryPages = 64
	// MaxRecordRows limits the rows in one record.
	MaxRecordRows = 16
	// maxHistoryRounds limits how often a record is written while other nodes write
	// the same page.
	maxHistoryRounds = 8
)

// HistoryPage returns the page of a version.
func HistoryPage(version int64) int64 { return version / RecordsPerPage % HistoryPages }

// Record is one committed edit with its operator, its time and the changed rows.
type Record struct {
	version int64
	editID  string
	by      string
	at      clock.Millis
	omitted int
	before  *table.Tables
	after   *table.Tables
}

// NewRecord returns a record as it was stored.
func NewRecord(version int64, editID, by string, at clock.Millis, omitted int, before, after *table.Tables) Record {
	return Record{version: version, editID: editID, by: by, at: at, omitted: omitted, before: before, after: after}
}

// RecordOf returns the record of an edit that changed the tables from before to
// after. It has only the rows of the edit, and at most MaxRecordRows of them.
func RecordOf(edit *table.Edit, by string, at clock.Millis, before, after *table.Tables) Record {
	rows := edit.Rows()
	omitted := max(len(rows)-MaxRecordRows, 0)
	rows = rows[:len(rows)-omitted]
	return NewRecord(after.Version(), edit.ID(), by, at, omitted, selectRows(before, rows), selectRows(after, rows))
}

func selectRows(tables *table.Tables, rows []string) *table.Tables {
	var routes []route.Route
	var pools []pool.Pool
	for _, row := range tables.Routes() {
		if slices.Contains(rows, table.RouteRow(row.Name())) {
			routes = append(routes, row)
		}
	}
	for _, row := range tables.Pools() {
		if slices.Contains(rows, table.PoolRow(row.Name())) {
			pools = append(pools, row)
		}
	}
	return table.New(tables.Version(), routes, pools, nil)
}

// Version returns the version of the tables that the edit committed.
func (record Record) Version() int64 { return record.version }

// EditID returns the ID of the edit.
func (record Record) EditID() string { return record.editID }

// By returns the name of the operator.
func (record Record) By() string { return record.by }

// At returns the time of the commit by the clock of the node that committed the
// edit.
func (record Record) At() clock.Millis { return record.at }

// Omitted returns the number of changed rows that the record lacks.
func (record Record) Omitted() int { return record.omitted }

// Before returns the changed rows before the edit, without new rows.
func (record Record) Before() *table.Tables { return record.before }

// After returns the changed rows after the edit, without deleted rows.
func (record Record) After() *table.Tables { return record.after }

// Affects reports whether the edit changed the row, as in "route/desk".
func (record Record) Affects(row string) bool {
	return hasRow(record.before, row) || hasRow(record.after, row)
}

func hasRow(tables *table.Tables, row string) bool {
	selected := selectRows(tables, []string{row})
	return len(selected.Routes())+len(selected.Pools()) > 0
}

// AddRecord returns the page with the record, in order of version and without
// records of other cycles. A record with the same version is not replaced.
func AddRecord(page []Record, record Record) []Record {
	first := record.version - record.version%RecordsPerPage
	records := slices.DeleteFunc(slices.Clone(page), func(other Record) bool { return other.version < first || other.version >= first+RecordsPerPage })
	if slices.ContainsFunc(records, func(other Record) bool { return other.version == record.version }) {
		return records
	}
	records = append(records, record)
	slices.SortFunc(records, func(a, b Record) int { return int(a.version - b.version) })
	return records
}

// History stores the records of committed edits with conditional writes to the
// platform: two calls for each edit, and one for each page that is read.
type History struct {
	load   func(ctx context.Context, page int64) (records []Record, condition int64, err error)
	commit func(ctx context.Context, page int64, records []Record, condition int64) error
}

// NewHistory returns a history. The function load returns a page with the version of
// the object that holds it, or no records with platform.VersionNone; commit returns
// the errors of platform.Store.
func NewHistory(
	load func(ctx context.Context, page int64) (records []Record, condition int64, err error),
	commit func(ctx context.Context, page int64, records []Record, condition int64) error,
) *History {
	return &History{load: load, commit: commit}
}

// Write adds a record. After a lost response the object is not read back: at worst
// the history lacks the version.
func (history *History) Write(ctx context.Context, record Record) error {
	page := HistoryPage(record.version)
	var lastErr error
	for range maxHistoryRounds {
		records, condition, err := history.load(ctx, page)
		if err != nil {
			return err
		}
		lastErr = history.commit(ctx, page, AddRecord(records, record), condition)
		var conflict *platform.ConflictError
		if !errors.As(lastErr, &conflict) {
			return lastErr
		}
	}
	return lastErr
}

// Read returns the latest records up to the version that affect the row, or any row
// if it is empty, newest first. It returns at most limit records.
func (history *History) Read(ctx context.Context, row string, version int64, limit int) ([]Record, error) {
	var found []Record
	for range HistoryPages {
		records, _, err := history.load(ctx, HistoryPage(version))
		if err != nil {
			return nil, err
		}
		first := version - version%RecordsPerPage
		for _, record := range slices.Backward(records) {
			if len(found) == limit {
				return found, nil
			}
			if record.version >= first && (row == "" || record.Affects(row)) {
				found = append(found, record)
			}
		}
		if version = first - 1; version < 0 {
			break
		}
	}
	return found, nil
}
