package entry

import (
	"context"
	"strconv"

	"github.com/pkg/errors"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/operator"
	"sapphirehead/internal/operator/operatorhttp"
	"sapphirehead/internal/platform"
	"sapphirehead/internal/table"
)

const (
	// historyTimeout bounds how long the response to an edit waits for its
	// record.
	historyTimeout = 2 * clock.Second
	// maxHistoryBytes is the maximum size of a page of more than one record. The
	// oldest records are dropped to fit.
	maxHistoryBytes = 1 << 20
)

// editBase captures the tables that an edit was applied to, for its record.
type editBase struct {
	loaded *table.Tables
	before *table.Tables
}

// commitEdit commits an operator's edit, makes it active at this node and
// records it. A record that cannot be written does not fail the edit: the error
// is logged, and the history lacks the version.
func (entry *Entry) commitEdit(ctx context.Context, by string, edit *table.Edit) (*table.Tables, error) {
	base := &editBase{}
	editor := entry.tables.NewEditor(
		func(ctx context.Context) (*table.Tables, int64, error) {
			tables, condition, err := entry.loadTables(ctx)
			base.loaded = tables
			return tables, condition, err
		},
		func(ctx context.Context, tables *table.Tables, condition int64) error {
			base.before = base.loaded
			if current := entry.active.Current(); current.Version() > base.before.Version() && current.Version() < tables.Version() {
				base.before = current
			}
			return entry.commitTables(ctx, tables, condition)
		},
	)
	tables, err := editor.Commit(ctx, edit)
	if err != nil {
		return nil, err
	}
	entry.tables.Offer(tables)
	if base.before != nil {
		entry.recordEdit(ctx, by, edit, base.before, tables)
	}
	return tables, nil
}

func (entry *Entry) recordEdit(ctx context.Context, by string, edit *table.Edit, before, after *table.Tables) {
	ctx, cancel := entry.clock.WithTimeout(context.WithoutCancel(ctx), historyTimeout)
	defer cancel()
	entry.log.Info().Str("operator", by).Str("editId", edit.ID()).Int64("version", after.Version()).Strs("rows", edit.Rows()).Msg("edit committed")
	err := entry.history.Write(ctx, operator.RecordOf(edit, by, entry.clock.Wall(), before, after))
	if err != nil {
		entry.counters.Add("historyNotWritten", 1)
		entry.log.Warn().Err(err).Int64("version", after.Version()).Msg("edit committed, but its record in the history was not written")
	}
}

func (entry *Entry) readHistory(ctx context.Context, row string, limit int) ([]operator.Record, error) {
	return entry.history.Read(ctx, row, entry.active.Current().Version(), limit)
}

func historyName(page int64) string { return "page-" + strconv.FormatInt(page, 10) }

func (entry *Entry) loadHistory(ctx context.Context, page int64) ([]operator.Record, int64, error) {
	object, err := entry.store.Get(ctx, platform.KindHistory, historyName(page))
	var missing *platform.NotFoundError
	if errors.As(err, &missing) {
		return nil, platform.VersionNone, nil
	}
	if err != nil {
		return nil, 0, err
	}
	records, err := operatorhttp.DecodeHistory(object.Body())
	return records, object.Version(), err
}

func (entry *Entry) commitHistory(ctx context.Context, page int64, records []operator.Record, condition int64) error {
	body, err := encodePage(records)
	if err != nil {
		return err
	}
	_, err = entry.store.Put(ctx, platform.KindHistory, historyName(page), body, condition)
	return err
}

// encodePage encodes a page, without its oldest records if it would exceed
// maxHistoryBytes. The latest record is always included.
func encodePage(records []operator.Record) ([]byte, error) {
	for {
		body, err := operatorhttp.EncodeHistory(records)
		if err != nil || len(body) <= maxHistoryBytes || len(records) == 1 {
			return body, err
		}
		records = records[1:]
	}
}
