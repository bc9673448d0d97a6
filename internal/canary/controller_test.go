package canary_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"sapphirehead/internal/canary"
	"sapphirehead/internal/clock"
)

// given is what a lease holder sees of an order that was made at 5 s, at a share of its
// duration.
type given struct {
	order         canary.Order
	noPool        bool
	old, fresh    int
	agreement     canary.Agreement
	verdict       canary.Verdict
	slots, load   int
	elapsedShares float64
}

func (given given) step(controller *canary.Controller) canary.Decision {
	listed := []canary.Listed{canary.NewListed("engines", "v1", given.old), canary.NewListed("engines", "v2", given.fresh)}
	now := 5000 + clock.Millis(given.elapsedShares*float64(duration))
	inputs := canary.NewInputs(given.order, !given.noPool, listed, given.agreement, given.verdict)
	return controller.Step(now, inputs.WithLoad(given.slots, given.load))
}

func TestDecisions(t *testing.T) {
	bad := canary.NewVerdict(true, true, "failures", nil)
	ordered := canary.NewOrder("engines", "v2", duration, 1)
	drained := canary.NewAgreement(7, 7, 0, 0)
	const (
		isServing    = canary.StateServing
		isRolledBack = canary.StateRolledBack
		isSucceeded  = canary.StateSucceeded
	)
	for name, test := range map[string]struct {
		given given
		state canary.State
		share float64
		write bool
		cause canary.Cause
	}{
		"first sight":             {given{order: ordered, old: 5}, isServing, 0, true, canary.CauseOrdered},
		"changed":                 {given{order: ordered.WithStatus("v9", isServing, 1, 5000), old: 5}, isServing, 0, true, canary.CauseChanged},
		"withdrawn":               {given{order: serving(0.08, 1).WithWithdrawn(2), old: 5, fresh: 5}, isServing, 0.08, false, canary.CauseWithdrawn},
		"no pool":                 {given{order: serving(0, 1), noPool: true, elapsedShares: 0.5}, isServing, 0, false, canary.CauseNoPool},
		"no pool for long":        {given{order: serving(0, 1), noPool: true, elapsedShares: 0.75}, isRolledBack, 0, true, canary.CauseNoPool},
		"alone":                   {given{order: serving(0, 1), fresh: 5}, isSucceeded, 0, true, canary.CauseAlone},
		"no servers yet":          {given{order: serving(0, 1), old: 5, elapsedShares: 0.3}, isServing, 0, false, canary.CauseNoServers},
		"no servers for long":     {given{order: serving(0, 1), old: 5, elapsedShares: 0.75}, isRolledBack, 0, true, canary.CauseNoServers},
		"servers joined":          {given{order: serving(0, 1), old: 5, fresh: 1, elapsedShares: 0.3}, isServing, 0.08, true, canary.CauseServing},
		"evidence":                {given{order: serving(0.08, 1), old: 5, fresh: 5, verdict: bad, elapsedShares: 0.4}, isRolledBack, 0, true, canary.CauseEvidence},
		"evidence after all":      {given{order: serving(1, 1), old: 5, fresh: 5, verdict: bad, elapsedShares: 0.9}, isRolledBack, 0, true, canary.CauseEvidence},
		"a node halted":           {given{order: serving(0.08, 1), old: 5, fresh: 5, agreement: canary.NewAgreement(7, 6, 1, 0)}, isRolledBack, 0, true, canary.CauseEvidence},
		"watching":                {given{order: serving(0.08, 1), old: 5, fresh: 5, elapsedShares: 0.6}, isServing, 0.08, false, canary.CauseWatching},
		"promotion":               {given{order: serving(0.08, 1), old: 5, fresh: 5, elapsedShares: 0.82}, isServing, 1, true, canary.CausePromoted},
		"suspicion":               {given{order: serving(0.08, 1), old: 5, fresh: 5, verdict: canary.NewVerdict(false, true, "", nil), elapsedShares: 0.82}, isServing, 0.08, false, canary.CauseWatching},
		"too few servers":         {given{order: serving(0.08, 1), old: 5, fresh: 1, slots: 16, load: 20, elapsedShares: 0.82}, isServing, 0.08, false, canary.CauseCapacity},
		"too few to the end":      {given{order: serving(0.08, 1), old: 5, fresh: 1, slots: 16, load: 20, elapsedShares: 0.9}, isRolledBack, 0, true, canary.CauseCapacity},
		"store out until the end": {given{order: serving(0.08, 1), old: 5, fresh: 5, elapsedShares: 1.5}, isRolledBack, 0, true, canary.CauseDeadline},
		"in progress":             {given{order: serving(1, 1), old: 5, fresh: 5, agreement: canary.NewAgreement(7, 7, 0, 3), elapsedShares: 0.94}, isServing, 1, false, canary.CauseDraining},
		"not yet carried":         {given{order: serving(1, 1), old: 5, fresh: 5, agreement: drained, elapsedShares: 0.9}, isServing, 1, false, canary.CauseDraining},
		"near the deadline":       {given{order: serving(1, 1), old: 5, fresh: 5, agreement: canary.NewAgreement(7, 5, 0, 0), elapsedShares: 0.94}, isSucceeded, 1, true, canary.CauseSucceeded},
		"doubt at the deadline":   {given{order: serving(1, 1), old: 5, fresh: 5, verdict: canary.NewVerdict(false, true, "", nil).WithDoubt(true), elapsedShares: 0.97}, isRolledBack, 0, true, canary.CauseEvidence},
		"final":                   {given{order: canary.NewOrder("engines", "v2", duration, 1).WithStatus("v2", isSucceeded, 1, 5000)}, isSucceeded, 1, false, canary.CauseFinal},
	} {
		t.Run(name, func(t *testing.T) {
			decision := test.given.step(canary.NewController(exposure))
			require.Equal(t, test.cause, decision.Cause(), decision.Reason())
			require.Equal(t, test.state, decision.State())
			require.InDelta(t, test.share, decision.Share(), 1e-9)
			require.Equal(t, test.write, decision.MustWrite())
			require.NotEqual(t, "none", decision.Cause().String())
		})
	}
	t.Run("a version that has carried the load for a while succeeds", func(t *testing.T) {
		controller := canary.NewController(exposure)
		promoted := given{order: serving(1, 1), old: 5, fresh: 5, agreement: drained, elapsedShares: 0.6}
		require.False(t, promoted.step(controller).MustWrite())
		promoted.elapsedShares = 0.69
		require.Equal(t, canary.CauseSucceeded, promoted.step(controller).Cause())
	})
	t.Run("a long order is promoted at half of its duration once it was watched for long enough", func(t *testing.T) {
		controller, long := canary.NewController(exposure), canary.NewOrder("engines", "v2", 60*second, 1).WithStatus("v2", isServing, 0.08, 5000)
		watched := given{order: long, old: 5, fresh: 5}
		listed := []canary.Listed{canary.NewListed("engines", "v1", 5), canary.NewListed("engines", "v2", 5)}
		inputs := canary.NewInputs(watched.order, true, listed, drained, canary.Verdict{})
		require.Equal(t, canary.CauseWatching, controller.Step(34*second, inputs).Cause())
		require.Equal(t, canary.CauseWatching, controller.Step(41*second, inputs).Cause())
		require.Equal(t, canary.CausePromoted, controller.Step(42*second, inputs).Cause())
	})
	t.Run("a successor keeps the time of an order that its predecessor has not written", func(t *testing.T) {
		inputs := canary.NewInputs(ordered, true, nil, drained, canary.Verdict{}).WithAge(700)
		require.Equal(t, 9300*clock.Millisecond, canary.NewController(exposure).Step(10*second, inputs).Order().OrderedAt())
	})
}
