package platformhttp

import (
	"context"
	"fmt"

	"github.com/pkg/errors"

	"sapphirehead/internal/platform"
	"sapphirehead/internal/table"
	"sapphirehead/internal/table/tablecodec"
)

// LoadTables reads the tables object and the object's version, which is the
// condition of the next write. The tables' own version is in the body, so that
// it keeps increasing even if the platform restores an older object. An object
// that does not exist yields empty tables at platform.VersionNone.
func LoadTables(ctx context.Context, store *platform.Store) (*table.Tables, int64, error) {
	object, err := store.Get(ctx, platform.KindTables, platform.TablesName)
	return decodeTables(object, err)
}

// WatchTables waits until the object's version differs from the given one.
func WatchTables(ctx context.Context, store *platform.Store, after int64) (*table.Tables, int64, error) {
	object, err := store.Watch(ctx, platform.KindTables, platform.TablesName, after)
	return decodeTables(object, err)
}

func decodeTables(object platform.Object, err error) (*table.Tables, int64, error) {
	var missing *platform.NotFoundError
	if errors.As(err, &missing) {
		return table.Empty(), platform.VersionNone, nil
	}
	if err != nil {
		return nil, 0, err
	}
	tables, err := tablecodec.DecodeJSON(object.Body())
	return tables, object.Version(), err
}

// CommitTables writes the tables object under the condition. Tables that exceed
// the size limit of an object are refused with a *table.CheckError.
func CommitTables(ctx context.Context, store *platform.Store, tables *table.Tables, condition int64) error {
	body, err := tablecodec.EncodeJSON(tables)
	if err != nil {
		return err
	}
	if len(body) > maxObjectBytes {
		return table.NewCheckError([]table.Problem{table.NewProblem("tables", "rows", fmt.Sprintf("both tables have %d bytes: allowed are %d or fewer", len(body), maxObjectBytes))})
	}
	_, err = store.Put(ctx, platform.KindTables, platform.TablesName, body, condition)
	return err
}
