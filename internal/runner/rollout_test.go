package runner_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"sapphirehead/internal/pool"
	"sapphirehead/internal/runner"
)

var (
	deskV1  = pool.NewModel("desk", "v1")
	deskV2  = pool.NewModel("desk", "v2")
	reports = pool.NewModel("reports", "v1", "filters")
)

// servingCondition returns the condition of a runner that serves the models.
func servingCondition(id string, models ...pool.Model) runner.Condition {
	return runner.NewCondition(id).WithState(runner.NewState(1, models, runner.RoleServe))
}

func describeStep(step runner.Step) string {
	var models []string
	for _, model := range step.Models() {
		models = append(models, model.Name()+"-"+model.Version())
	}
	return fmt.Sprintf("%s: %s %s, loads %d", step.ID(), step.Role(), strings.Join(models, "+"), len(step.Loads()))
}

// expectSteps checks the orders of a rollout with a surge of one runner, in which
// the model desk has a worth of 5 and every other 1.
func expectSteps(t *testing.T, wanted []pool.Model, conditions []runner.Condition, steps ...string) {
	t.Helper()
	worth := func(model pool.Model) float64 {
		if model.Name() == "desk" {
			return 5
		}
		return 1
	}
	var got []string
	for _, step := range runner.NewRollout(wanted, worth, 1).Steps(conditions) {
		got = append(got, describeStep(step))
	}
	require.Equal(t, steps, got)
}

func TestRollout(t *testing.T) {
	one := []pool.Model{deskV1}
	both := []pool.Model{deskV1, reports}
	t.Run("no order without a difference", func(t *testing.T) {
		expectSteps(t, one, []runner.Condition{servingCondition("a", deskV1)})
	})
	t.Run("a runner that does not respond gets no order", func(t *testing.T) {
		expectSteps(t, one, []runner.Condition{runner.NewCondition("a")})
	})
	t.Run("new runners load at once", func(t *testing.T) {
		expectSteps(t, one, []runner.Condition{servingCondition("a"), servingCondition("b")}, "a: serve desk-v1, loads 1", "b: serve desk-v1, loads 1")
	})
	t.Run("a new version is loaded by one runner at a time", func(t *testing.T) {
		conditions := []runner.Condition{servingCondition("a", deskV1), servingCondition("b", deskV1), servingCondition("c", deskV1)}
		expectSteps(t, []pool.Model{deskV2}, conditions, "a: serve desk-v2, loads 1")
		conditions[0] = conditions[0].WithChanging(true)
		expectSteps(t, []pool.Model{deskV2}, conditions)
	})
	t.Run("the last runner keeps the old version until the new one is loaded", func(t *testing.T) {
		expectSteps(t, []pool.Model{deskV2}, []runner.Condition{servingCondition("a", deskV1)}, "a: serve desk-v2+desk-v1, loads 1")
		expectSteps(t, []pool.Model{deskV2}, []runner.Condition{servingCondition("a", deskV2, deskV1)}, "a: serve desk-v2, loads 0")
	})
	t.Run("a missing adapter is loaded", func(t *testing.T) {
		bare := pool.NewModel("reports", "v1")
		expectSteps(t, []pool.Model{reports}, []runner.Condition{servingCondition("a", bare), servingCondition("b", reports)}, "a: serve reports-v1, loads 1")
	})
	t.Run("an unserved model is loaded first, then the model of the highest worth", func(t *testing.T) {
		conditions := []runner.Condition{servingCondition("a", reports), servingCondition("b"), servingCondition("c", deskV1)}
		expectSteps(t, both, conditions, "b: serve desk-v1+reports-v1, loads 2", "a: serve desk-v1+reports-v1, loads 1")
		expectSteps(t, both, []runner.Condition{servingCondition("a", deskV1), servingCondition("b", deskV1)}, "a: serve desk-v1+reports-v1, loads 1")
	})
	t.Run("a drained runner keeps its models and its role", func(t *testing.T) {
		conditions := []runner.Condition{servingCondition("a", deskV1).WithDraining(true), servingCondition("b", deskV1)}
		expectSteps(t, one, conditions, "a: drain desk-v1, loads 0")
		drained := runner.NewCondition("a").WithState(runner.NewState(1, one, runner.RoleDrain))
		expectSteps(t, one, []runner.Condition{drained, servingCondition("b", deskV1)})
	})
	t.Run("the last runner of a model is not drained", func(t *testing.T) {
		expectSteps(t, one, []runner.Condition{servingCondition("a", deskV1).WithDraining(true), servingCondition("b", reports)}, "b: serve desk-v1, loads 1")
	})
}

// loadingRunner is a runner that changes its models after a time to load.
type loadingRunner struct {
	models []pool.Model
	next   []pool.Model
	wait   int
}

// TestRolloutKeepsServing rolls out new models to runners with drawn load times.
// It checks that a model that is wanted throughout is always served, by a runner
// that does not load or by one that keeps it while loading, and that all runners
// reach the wanted models.
func TestRolloutKeepsServing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		runners := make([]loadingRunner, rapid.IntRange(1, 6).Draw(t, "runners"))
		for i := range runners {
			runners[i].models = []pool.Model{deskV1, reports}
		}
		wanted := [][]pool.Model{{deskV2, reports}, {deskV1}, {reports, deskV2}}[rapid.IntRange(0, 2).Draw(t, "wanted")]
		rollout := runner.NewRollout(wanted, func(pool.Model) float64 { return 1 }, rapid.IntRange(1, 3).Draw(t, "surge"))
		for range 60 {
			var conditions []runner.Condition
			served := false
			for i := range runners {
				current := &runners[i]
				if current.wait--; current.wait == 0 {
					current.models = current.next
				}
				state := runner.NewState(1, current.models, runner.RoleServe)
				conditions = append(conditions, runner.NewCondition(string(rune('a'+i))).WithState(state).WithChanging(current.wait > 0))
				kept := current.wait <= 0 || runner.NewState(1, current.next, "").Serves(deskV1) && len(current.next) > len(wanted)
				served = served || kept && state.ServesName("desk")
			}
			if !served {
				t.Fatal("no runner serves the desk model")
			}
			for _, step := range rollout.Steps(conditions) {
				target := &runners[step.ID()[0]-'a']
				target.next, target.wait = step.Models(), 1
				if len(step.Loads()) > 0 {
					target.wait = rapid.IntRange(1, 4).Draw(t, "load time")
				}
			}
		}
		for i := range runners {
			if !runner.NewState(1, runners[i].models, "").Matches(runner.NewOrder(1, wanted, "")) {
				t.Fatalf("runner %d serves %v: wanted %v", i, runners[i].models, wanted)
			}
		}
	})
}
