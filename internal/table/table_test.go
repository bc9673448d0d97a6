package table_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/pool"
	"sapphirehead/internal/route"
	"sapphirehead/internal/table"
)

func chatRoute(name string, worth float64) route.Route {
	return route.New(name, route.KindChat, "runners").WithModel(name).WithWorth(worth)
}

func runnerPool(models ...string) pool.Pool {
	row := pool.New("runners", pool.KindRunner)
	var served []pool.Model
	for _, model := range models {
		served = append(served, pool.NewModel(model, "v1"))
	}
	return row.WithModels(served...)
}

// newBaseTables returns tables at version 1 with one pool, which serves the models
// a, b and c.
func newBaseTables(t *testing.T) *table.Tables {
	t.Helper()
	edit := table.NewEdit("first")
	edit.SetPool(runnerPool("a", "b", "c"), 0)
	return expectApplied(t, table.Empty(), edit)
}

func setRoute(id string, row route.Route, revision int64) *table.Edit {
	edit := table.NewEdit(id)
	edit.SetRoute(row, revision)
	return edit
}

func expectApplied(t *testing.T, tables *table.Tables, edits ...*table.Edit) *table.Tables {
	t.Helper()
	for _, edit := range edits {
		changed, err := tables.Apply(edit)
		require.NoError(t, err)
		require.Equal(t, tables.Version()+1, changed.Version())
		tables = changed
	}
	return tables
}

func expectProblem(t *testing.T, edit *table.Edit, row, field string) {
	t.Helper()
	_, err := newBaseTables(t).Apply(edit)
	var check *table.CheckError
	require.ErrorAs(t, err, &check)
	for _, problem := range check.Problems() {
		if problem.Row() == row && problem.Field() == field {
			return
		}
	}
	require.Failf(t, "problem missing", "%s %s in:\n%v", row, field, err)
}

func TestCheck(t *testing.T) {
	desk := chatRoute("a", 1)
	for name, invalid := range map[string]struct {
		row   route.Route
		field string
	}{
		"dangling pool":        {route.New("a", route.KindChat, "none").WithModel("a"), "pool"},
		"unknown kind":         {route.New("a", 0, "runners"), "kind"},
		"model not served":     {desk.WithModel("z"), "model"},
		"no model":             {desk.WithModel(""), "model"},
		"chat with a path":     {desk.WithPath("/a"), "path"},
		"zero worth":           {desk.WithWorth(0), "worth"},
		"space in a name":      {chatRoute("a b", 1), "name"},
		"name too long":        {chatRoute(strings.Repeat("a", 129), 1), "name"},
		"target over deadline": {desk.WithTargets(61_000, 52, 60_000), "firstTokenMillis"},
		"negative in flight":   {desk.WithLimits(-1, 0), "maxInFlight"},
		"negative rate":        {desk.WithLimits(0, -1), "ratePerSecond"},
		"gap over deadline":    {desk.WithTargets(1000, 61_000, 60_000), "betweenTokensMillis"},
		"no deadline":          {desk.WithTargets(1000, 52, -1), "deadlineMillis"},
		"service on runners":   {route.New("a", route.KindService, "runners").WithPath("/a"), "pool"},
		"relative path":        {route.New("a", route.KindService, "runners").WithPath("a"), "path"},
	} {
		t.Run(name, func(t *testing.T) {
			expectProblem(t, setRoute("edit", invalid.row, 0), table.RouteRow(invalid.row.Name()), invalid.field)
		})
	}
	for name, invalid := range map[string]struct {
		row   pool.Pool
		field string
	}{
		"no model":               {runnerPool(), "models"},
		"model twice":            {runnerPool("a", "a"), "models.name"},
		"maximum below minimum":  {runnerPool("a").WithHosts("gpu", 3, 2), "maxHosts"},
		"minimum below zero":     {runnerPool("a").WithHosts("gpu", -1, 2), "minHosts"},
		"no slots":               {runnerPool("a").WithSlots(0), "slots"},
		"runners refuse repeats": {runnerPool("a").WithRefusesRepeat(true), "refusesRepeat"},
	} {
		t.Run(name, func(t *testing.T) {
			edit := table.NewEdit("edit")
			edit.SetPool(invalid.row, 1)
			expectProblem(t, edit, "pool/runners", invalid.field)
		})
	}
	t.Run("row named twice", func(t *testing.T) {
		edit := setRoute("edit", desk, 0)
		edit.Remove(table.RouteRow("a"), 0)
		expectProblem(t, edit, "edit", "routes")
	})
	t.Run("no id", func(t *testing.T) { expectProblem(t, setRoute("", desk, 0), "edit", "id") })
}

func TestConflict(t *testing.T) {
	tables := expectApplied(t, newBaseTables(t), setRoute("one", chatRoute("a", 5), 0))
	expectConflict := func(t *testing.T, edit *table.Edit, message string) {
		t.Helper()
		_, err := tables.Apply(edit)
		var conflict *table.ConflictError
		require.ErrorAs(t, err, &conflict)
		require.ErrorContains(t, err, message)
	}
	t.Run("differing field", func(t *testing.T) {
		expectConflict(t, setRoute("two", chatRoute("a", 7), 1), "route/a has revision 2, the edit names 1: worth: stored 5, wanted 7;")
	})
	t.Run("row missing", func(t *testing.T) {
		expectConflict(t, setRoute("two", chatRoute("b", 7), 1), "row: stored none, wanted present")
	})
	t.Run("no differing field", func(t *testing.T) {
		expectConflict(t, setRoute("two", chatRoute("a", 5), 0), "already says")
	})
}

func TestLookup(t *testing.T) {
	service := func(name, path string) route.Route {
		return route.New(name, route.KindService, "booking").WithPath(path)
	}
	tables := table.New(1, []route.Route{chatRoute("a", 1), service("book", "/book"), service("one", "/book/one"), service("slash", "/s/")}, nil, nil)
	for path, name := range map[string]string{"/book": "book", "/book/2": "book", "/booking": "", "/book/one/x": "one", "/s/x": "slash", "/s": "", "": ""} {
		t.Run("path "+path, func(t *testing.T) {
			row, _ := tables.RouteForPath(path)
			require.Equal(t, name, row.Name())
		})
	}
	t.Run("no allocation", func(t *testing.T) {
		require.Zero(t, testing.AllocsPerRun(100, func() {
			tables.RouteForModel("a")
			tables.RouteForPath("/book/one/x")
		}))
	})
}

func TestReconcile(t *testing.T) {
	base := expectApplied(t, newBaseTables(t), setRoute("e2", chatRoute("a", 1), 0))
	ahead := expectApplied(t, base, setRoute("e3", chatRoute("b", 1), 0))
	expectReconciled := func(t *testing.T, active, stored, wanted *table.Tables, write bool) {
		t.Helper()
		result, needed := active.Reconcile(stored)
		require.Equal(t, wanted.Fingerprint(), result.Fingerprint())
		require.Equal(t, write, needed)
	}
	t.Run("same", func(t *testing.T) { expectReconciled(t, ahead, ahead, ahead, false) })
	t.Run("stored newer", func(t *testing.T) { expectReconciled(t, base, ahead, ahead, false) })
	t.Run("stored older", func(t *testing.T) { expectReconciled(t, ahead, base, ahead, true) })
	t.Run("diverged with the same version and last edit", func(t *testing.T) {
		one, other := table.New(5, nil, nil, []string{"e1", "e5", "e2"}), table.New(5, nil, nil, []string{"e1", "e6", "e2"})
		require.Equal(t, table.RelationDiverged, one.Relate(other))
		merged, write := one.Reconcile(other)
		require.True(t, write)
		require.Subset(t, merged.RecentEdits(), []string{"e1", "e2", "e5", "e6"})
		reversed, _ := other.Reconcile(one)
		require.Equal(t, merged.Fingerprint(), reversed.Fingerprint())
	})
	t.Run("same edits in another order", func(t *testing.T) {
		one, other := table.New(4, nil, nil, []string{"e1", "e2", "e3"}), table.New(4, nil, nil, []string{"e1", "e3", "e2"})
		merged, _ := one.Reconcile(other)
		require.Greater(t, merged.Version(), one.Version())
		expectReconciled(t, one, merged, merged, false)
		expectReconciled(t, other, merged, merged, false)
	})
	t.Run("store empty", func(t *testing.T) { expectReconciled(t, ahead, table.Empty(), ahead, true) })
	t.Run("a merge keeps the edits of both sides", func(t *testing.T) {
		stored := expectApplied(t, base, setRoute("f3", chatRoute("c", 9), 0), setRoute("f4", chatRoute("a", 7), 2))
		merged, write := ahead.Reconcile(stored)
		require.True(t, write)
		require.Greater(t, merged.Version(), stored.Version())
		for _, edit := range []string{"e2", "e3", "f3", "f4"} {
			require.True(t, merged.HasEdit(edit), edit)
		}
		require.Len(t, merged.Routes(), 3)
		row, _ := merged.Route("a")
		require.InDelta(t, 7, row.Worth(), 0)
		expectReconciled(t, ahead, merged, merged, false)
		expectReconciled(t, stored, merged, merged, false)
	})
	t.Run("a merge keeps a removal", func(t *testing.T) {
		removal := table.NewEdit("f3")
		removal.Remove(table.RouteRow("a"), 2)
		merged, _ := ahead.Reconcile(expectApplied(t, base, removal))
		_, found := merged.Route("a")
		require.False(t, found)
	})
}

func TestDelta(t *testing.T) {
	base := expectApplied(t, newBaseTables(t), setRoute("e2", chatRoute("a", 1), 0))
	removal := table.NewEdit("e4")
	removal.Remove(table.RouteRow("a"), 2)
	ahead := expectApplied(t, base, setRoute("e3", chatRoute("b", 1), 0), removal)
	t.Run("results in the same tables", func(t *testing.T) {
		changed, err := base.ApplyDelta(ahead.DeltaSince(base))
		require.NoError(t, err)
		require.Equal(t, ahead, changed)
	})
	t.Run("refused on another history", func(t *testing.T) {
		other := expectApplied(t, newBaseTables(t), setRoute("f2", chatRoute("c", 1), 0))
		_, err := other.ApplyDelta(ahead.DeltaSince(base))
		var delta *table.DeltaError
		require.ErrorAs(t, err, &delta)
	})
	t.Run("recent edits overflow", func(t *testing.T) {
		long := base
		for i := range table.MaxRecentEdits + 10 {
			row, _ := long.Route("a")
			long = expectApplied(t, long, setRoute(fmt.Sprint("g", i), chatRoute("a", float64(i+1)), row.Revision()))
		}
		changed, err := base.ApplyDelta(long.DeltaSince(base))
		require.NoError(t, err)
		require.Equal(t, long.Fingerprint(), changed.Fingerprint())
		require.Equal(t, table.RelationStoredNewer, base.Relate(long))
	})
}

func TestActive(t *testing.T) {
	active := table.NewActive()
	base := newBaseTables(t)
	ahead := expectApplied(t, base, setRoute("e2", chatRoute("a", 1), 0))
	require.Equal(t, table.OfferAccepted, active.Offer(ahead))
	require.Equal(t, table.OfferRedundant, active.Offer(base))
	require.Equal(t, table.OfferDiverged, active.Offer(expectApplied(t, base, setRoute("f2", chatRoute("b", 1), 0), setRoute("f3", chatRoute("c", 1), 0))))
	require.Equal(t, ahead, active.Current())
	_, found := active.Earlier(0)
	require.True(t, found)
}
