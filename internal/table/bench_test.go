package table

import (
	"fmt"
	"testing"

	"sapphirehead/internal/pool"
	"sapphirehead/internal/route"
)

// benchTables returns tables with the number of chat routes and one pool for each.
func benchTables(version int64, rows int) *Tables {
	var routes []route.Route
	var pools []pool.Pool
	for i := range rows {
		name := fmt.Sprintf("row-%d", i)
		routes = append(routes, route.New(name, route.KindChat, name).WithModel(name))
		pools = append(pools, pool.New(name, pool.KindRunner).WithModels(pool.NewModel(name, "v1")))
	}
	return New(version, routes, pools, nil)
}

func BenchmarkLookup(b *testing.B) {
	for _, rows := range []int{10, 1000} {
		b.Run(fmt.Sprintf("rows=%d", rows), func(b *testing.B) {
			active := NewActive()
			active.Offer(benchTables(1, rows))
			b.ReportAllocs()
			b.RunParallel(func(loop *testing.PB) {
				for loop.Next() {
					active.Current().RouteForModel("row-7")
				}
			})
		})
	}
}

// BenchmarkSwap measures the activation of newer tables.
func BenchmarkSwap(b *testing.B) {
	active := NewActive()
	versions := make([]*Tables, b.N)
	for i := range versions {
		versions[i] = &Tables{version: int64(i + 1)}
	}
	b.ReportAllocs()
	b.ResetTimer()
	for _, tables := range versions {
		active.Offer(tables)
	}
}
