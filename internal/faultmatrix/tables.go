package faultmatrix

import (
	"context"

	"sapphirehead/internal/platform/platformhttp"
	"sapphirehead/internal/table"
)

func storeTables(ctx context.Context, store *objectStore, tables *table.Tables) error {
	return platformhttp.CommitTables(ctx, store.client(func(context.Context) error { return nil }), tables, 0)
}

// storedTables returns the tables as the platform has them, or nil.
func (world *world) storedTables() *table.Tables {
	open := func(context.Context) error { return nil }
	tables, _, err := platformhttp.LoadTables(context.Background(), world.store.client(open))
	if err != nil {
		return nil
	}
	return tables
}
