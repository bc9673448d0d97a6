package edge

import (
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/clock"
	"sapphirehead/internal/directory"
	"sapphirehead/internal/pool"
	"sapphirehead/internal/route"
)

// TestTightestTargets guards against prompts that are taken for long by the target of a
// route which does not use the pool's engines, or not by that of one which does.
func TestTightestTargets(t *testing.T) {
	newRoute := func(name string, kind route.Kind, pool string, target clock.Millis) route.Route {
		return route.New(name, kind, pool).WithHost(name).WithTargets(target, 0, 0)
	}
	routes := []route.Route{
		newRoute("urgent", route.KindChat, "engines", 400), newRoute("bulk", route.KindChat, "engines", 1000),
		newRoute("split", route.KindChat, "others", 700).WithShares([]route.Share{route.NewShare("others", 1), route.NewShare("spare", 1)}),
		newRoute("app", route.KindService, "app", 300),
	}
	current := directory.New(1, routes, []pool.Pool{pool.New("engines", pool.KindRunner)}, nil, directory.NewLimits(0))
	require.Equal(t, map[string]clock.Millis{"engines": 400, "others": 700, "spare": 700}, tightestTargets(current))
}
