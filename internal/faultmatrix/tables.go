package faultmatrix

import (
	"context"

	"sapphirehead/internal/platform/platformhttp"
	"sapphirehead/internal/table"
)

func commitTables(ctx context.Context, store *objectStore, tables *table.Tables) error {
	return platformhttp.CommitTables(ctx, store.client(func(context.Context) error { return nil }), tables, 0)
}

// loadTables returns the tables that the platform has stored, or nil on an error.
func (simulation *simulation) loadTables() *table.Tables {
	alwaysRunning := func(context.Context) error { return nil }
	tables, _, err := platformhttp.LoadTables(context.Background(), simulation.store.client(alwaysRunning))
	if err != nil {
		return nil
	}
	return tables
}
